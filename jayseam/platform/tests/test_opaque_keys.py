"""Keys of the platform, which may have any characters and any length."""

import json

import pytest

from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import requests
from jayseam.platform import mirrors
from jayseam.platform import store
from jayseam.platform.tests import samples
from jayseam.presets import documents
from jayseam.presets import verification

DEPLOYMENT_FACTS = mirrors.DeploymentFacts({'a': 'r', 'b': 'r'}, 8543)


def _translate(documents_in_order):
    """Returns the channels after configurations were read one by one."""
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    channels = {}
    for revision, document in enumerate(documents_in_order, 1):
        value = json.dumps(document).encode()
        item = store.Item('op/config', value, revision)
        mirror = mirrors.Mirror({item.key: item}, revision, 1.0)
        channels = translator.translate(mirror)
    return channels


def _read_key_set(channels):
    bundle = channels['keys'].bundle
    document = documents.join_parts(bundle.manifest, bundle.parts)
    return verification.verify_keys(document)


def _read_manifest(channels):
    return documents.parse_manifest(channels['preset'].bundle.manifest)


def _build_with_keys(version, added, tenant='museum'):
    document = samples.build_configuration(version)
    samples.add_keys(document, tenant, added)
    return document


def _identify(key_set, key, target='/view/2'):
    """Returns the workspace for which a caller's request would run."""
    # A server gives a field's bytes as Latin-1.
    value = f'Bearer {key}'.encode().decode('latin-1')
    request = requests.CallRequest(
        'GET', target, '', [('authorization', value)], b''
    )
    return keys.identify_caller(request, key_set, (), 0).workspace


OPAQUE_KEYS = [
    ['reprise.6wsjnbanfqasnmgkcuyj', 'reprise.8pjbvk9m68k7b2ex5wa5'],
    ['x' * 65 + '.1'],
    ['a b.c'],
    ['.'],
    ['a.'],
    ['.a', '.b'],
    ['cl\u00e9.\u4e16'],
    ['k' * 4000],
    ['~!@#$%^&*()+=/\\|:;<>,?"\''],
]


@pytest.mark.parametrize('added', OPAQUE_KEYS, ids=range(len(OPAQUE_KEYS)))
def test_keys_of_any_form_are_in_force(added):
    """Two keys with one part before their dots kept a version out for good."""
    before = samples.build_configuration('r2')
    channels = _translate([before, _build_with_keys('r5', added)])
    assert _read_manifest(channels).name == 'r5'
    key_set = _read_key_set(channels)
    for key in [samples.KEYS['museum'], *added]:
        assert _identify(key_set, key) == 'museum'
    assert _identify(key_set, samples.KEYS['school']) == 'school'
    with pytest.raises(errors.KeyRefusedError):
        _identify(key_set, added[0] + 'x')


@pytest.mark.parametrize(
    'added',
    [[None], [17], [''], [['a']], ['\ud800'], ['twice', 'twice']],
    ids=['null', 'number', 'empty', 'list', 'surrogate', 'repeated'],
)
def test_one_odd_key_leaves_the_others(added):
    """The other keys and routes of a version must take effect."""
    before = samples.build_configuration('r2')
    channels = _translate([before, _build_with_keys('r5', added)])
    assert _read_manifest(channels).name == 'r5'
    key_set = _read_key_set(channels)
    assert _identify(key_set, samples.KEYS['museum']) == 'museum'
    if 'twice' in added:
        assert _identify(key_set, 'twice') == 'museum'


def test_key_of_two_tenants_identifies_neither():
    """A call must not run for a tenant that its caller may not belong to."""
    document = _build_with_keys('r5', ['shared'])
    samples.add_keys(document, 'school', ['shared'])
    channels = _translate([samples.build_configuration('r2'), document])
    assert _read_manifest(channels).name == 'r5'
    key_set = _read_key_set(channels)
    assert _identify(key_set, samples.KEYS['school']) == 'school'
    with pytest.raises(errors.KeyRefusedError):
        _identify(key_set, 'shared')


def test_short_part_of_an_opaque_key_may_occur_elsewhere():
    """Requests with the characters after a key's dot in their path failed."""
    channels = _translate([_build_with_keys('r5', ['acme.2'])])
    key_set = _read_key_set(channels)
    assert _identify(key_set, 'acme.2', '/view/2') == 'museum'


def test_generated_key_must_not_occur_elsewhere():
    """The secret of such a key would reach backend servers and their logs."""
    secret = 'x' * 43
    with pytest.raises(errors.KeyMisplacedError):
        _identify(
            _read_key_set(_translate([samples.build_configuration()])),
            f'k1.{secret}',
            f'/view/{secret}',
        )
