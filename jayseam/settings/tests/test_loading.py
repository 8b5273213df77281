"""Tests of reading and validating settings."""

import json

import pytest

from jayseam.admission import ramps
from jayseam.settings import errors
from jayseam.settings import loading

VALID = {
    'vm': 'vm-1',
    'region': 'r1',
    'zone': 'z1',
    'upstream': 'credits-1',
    'caller': {'host': '127.0.0.1', 'port': 8080},
    'link': {'host': '127.0.0.1', 'port': 8081},
    'admin': {'host': '127.0.0.1', 'port': 8082},
    'backend': {'host': '127.0.0.1', 'port': 8083},
    'source': {'urls': ['http://127.0.0.1:9000']},
    'fleet_secrets': ['0123456789abcdef'],
}


def test_valid_settings_get_defaults(tmp_path):
    """A minimal file must be enough to start a node."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(VALID))
    settings = loading.load_node_settings(str(path))
    assert settings.limits.strategy == 'escrow'
    assert settings.link.get_advertised_address() == ('127.0.0.1', 8081)


def test_every_problem_is_listed_with_path_and_value():
    """With only the first problem reported, each would cost another run."""
    wrong = {**VALID, 'codec': 'xml', 'stop': {'deadline_s': -1}, 'extra': 1}
    wrong['caller'] = {'host': 'example.org', 'port': 0}
    with pytest.raises(errors.SettingsError) as caught:
        loading.parse_node_settings(wrong)
    text = '\n'.join(caught.value.problems)
    assert '$.codec: "xml": allowed: enum ["cbor", "cbor-zstd", "json"]' in text
    assert '$.stop.deadline_s: -1' in text
    assert '$.caller.port: 0: allowed: minimum 1' in text
    assert '$.caller.host: "example.org"' in text
    assert "'extra' was unexpected" in text


def test_queue_is_ranked_unless_it_is_named():
    """Deployments with workspaces must be served as before."""
    settings = loading.parse_node_settings(VALID)
    assert settings.admission.get_queue() == 'ranked'
    for admission, queue in (
        ({'fair': False}, 'fifo'),
        ({'queue': 'objective'}, 'objective'),
    ):
        settings = loading.parse_node_settings(
            {**VALID, 'admission': admission}
        )
        assert settings.admission.get_queue() == queue
    with pytest.raises(errors.SettingsError):
        loading.parse_node_settings({**VALID, 'admission': {'queue': 'lifo'}})


def test_secrets_are_not_shown():
    """Settings problems are logged, so they must not contain secrets."""
    wrong = {**VALID, 'fleet_secrets': ['short-secret']}
    with pytest.raises(errors.SettingsError) as caught:
        loading.parse_node_settings(wrong)
    assert 'short-secret' not in str(caught.value)
    valid = loading.parse_node_settings(VALID)
    assert '0123456789abcdef' not in repr(valid)


@pytest.mark.parametrize(
    'admission,variant',
    [
        ({}, 'linear'),
        ({'ramp': False}, 'none'),
        ({'ramp_variant': 'answers'}, 'answers'),
        ({'ramp': False, 'ramp_variant': 'linear'}, 'linear'),
        ({'ramp_variant': None}, 'linear'),
    ],
)
def test_ramp_variant_is_named_or_follows_the_older_setting(admission, variant):
    """Existing files must keep their ramp."""
    settings = loading.parse_node_settings({**VALID, 'admission': admission})
    assert settings.admission.get_ramp_variant() == variant
    assert variant in ramps.VARIANTS.list_names()


def test_unknown_ramp_variant_is_refused():
    """A misspelt name must not be found out at the first start of a server."""
    wrong = {**VALID, 'admission': {'ramp_variant': 'answer'}}
    with pytest.raises(errors.SettingsError) as caught:
        loading.parse_node_settings(wrong)
    assert '$.admission.ramp_variant: "answer"' in str(caught.value)


def test_strategy_and_price_of_the_choice_are_read():
    """A price outside 0 to 1 has no meaning and must not start a node."""
    selection = {'strategy': 'expected_time', 'zone_price': 0.3}
    settings = loading.parse_node_settings({**VALID, 'selection': selection})
    assert settings.selection.strategy == 'expected_time'
    assert settings.selection.zone_price == 0.3
    with pytest.raises(errors.SettingsError):
        loading.parse_node_settings(
            {**VALID, 'selection': {**selection, 'zone_price': 1.5}}
        )


def test_limits_of_callers_can_be_set():
    """An operator must be able to lower what callers may hold."""
    document = {
        **VALID,
        'memory': {'head_bytes': 32_768},
        'connections': {'max_callers': 100, 'reserved': 64},
    }
    settings = loading.parse_node_settings(document)
    assert settings.memory.head_bytes == 32_768
    assert settings.connections.max_callers == 100
    assert settings.connections.reserved == 64
    # Heads within the limits of callers take up to 24 kB.
    document['memory'] = {'head_bytes': 16_384}
    with pytest.raises(errors.SettingsError):
        loading.parse_node_settings(document)
