"""Tests with entries and replies that no server or sound store sends."""

import json

import gevent
import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.platform import configurations
from jayseam.platform import entries
from jayseam.platform import errors
from jayseam.platform import mirrors
from jayseam.platform import source
from jayseam.platform import store
from jayseam.platform.tests import samples
from jayseam.presets import documents
from jayseam.presets import verification
from jayseam.source import endpoints
from jayseam.source import errors as source_errors
from jayseam.standins import kvstore
from jayseam.standins import waits

REGIONS = {'a': 'r', 'b': 'r'}
DEPLOYMENT_FACTS = mirrors.DeploymentFacts(REGIONS, 8543)
SOUND_HOSTS = ['10.0.0.1', '10.0.0.2']
ODD_HOST = '10.0.0.9'
MANY_DIGITS = '9' * 5000

ODD_CHANGES = [
    {'address': f'{ODD_HOST}:0'},
    {'address': f'{ODD_HOST}:65536'},
    {'address': f'{ODD_HOST}:-1'},
    {'address': f'{ODD_HOST}:²'},
    {'address': f'{ODD_HOST}:{MANY_DIGITS}'},
    {'address': f'{ODD_HOST}'},
    {'address': 'localhost:80'},
    {'address': '0.0.0.0:80'},
    {'address': '224.0.0.1:80'},
    {'address': '[::1]:80'},
    {'address': f'{ODD_HOST}\n:80'},
    {'address': '\ud800:80'},
    {'address': None},
    {'slots': 0},
    {'slots': -1},
    {'slots': 2**70},
    {'slots': 4.5},
    {'service': ''},
    {'service': 's' * 65},
    {'service': 'a/b'},
    {'service': '\ud800'},
    {'zone': 'moon'},
    {'zone': '\ud800'},
    {'zone': ['a']},
    {'state': 'sleeping'},
    {'state': {}},
    {'cold_remaining': 'nan'},
    {'cold_remaining': '-1s'},
    {'cold_remaining': '²s'},
    {'cold_remaining': None},
    {'born': -1},
    {'born': 2**70},
    {'born': 1.5},
    {'version': 7},
    {'version': None},
    {'sequence': 'one'},
    {'sequence': None},
]
ODD_VALUES = [
    b'',
    b'\xff',
    b'null',
    b'[]',
    b'[' * 100_000,
    b'{"a":' * 100_000,
    b'{"slots": %s}' % MANY_DIGITS.encode(),
    json.dumps(samples.build_entry(f'{ODD_HOST}:80')).encode()[:-1]
    + b', "other": ' + b'[' * 50_000 + b']' * 50_000 + b'}',
    json.dumps(samples.build_entry(f'{ODD_HOST}:80')).encode()[:-1]
    + b', "other": ' + MANY_DIGITS.encode() + b'}',
    json.dumps(samples.build_entry(f'{ODD_HOST}:80'))
    .replace('"slots": 4', '"slots": 1e999')
    .encode(),
    json.dumps(samples.build_entry(f'{ODD_HOST}:80'))
    .replace('"slots": 4', '"slots": NaN')
    .encode(),
    *(
        json.dumps(
            {**samples.build_entry(f'{ODD_HOST}:80'), **change}
        ).encode()
        for change in ODD_CHANGES
    ),
]  # fmt: skip
ODD_KEYS = ['', '\ud800', 'a/b', 'x' * 300]

FIELDS = list(samples.build_entry('10.0.0.1:1'))
JSON_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(2**80), 2**80)
    | st.floats()
    | st.text(st.characters(), max_size=80)
    | st.sampled_from(
        ['ready', 'draining', 'a', '0ms', MANY_DIGITS + 's', '1.2.3.4:5']
    )
)
JSON_VALUES = st.recursive(
    JSON_SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)
ADDRESSES = st.builds(
    lambda host, port: f'{host}:{port}',
    st.sampled_from(['10.0.0.1', '::1', '[::1]', '', 'a', '0.0.0.0', '1.2']),
    st.integers(-1, 70_000) | st.text(st.characters(), max_size=5),
)


@st.composite
def build_odd_values(draw):
    """Draws a sound entry with some of its fields replaced or removed."""
    fields = samples.build_entry(draw(ADDRESSES))
    changes = draw(
        st.dictionaries(st.sampled_from(FIELDS), JSON_VALUES, max_size=3)
    )
    removed = draw(st.sets(st.sampled_from(FIELDS), max_size=2))
    fields = {
        k: v for k, v in {**fields, **changes}.items() if k not in removed
    }
    return json.dumps(fields).encode()


def encode_entry(host, **fields):
    """Returns the stored bytes of the entry of a VM."""
    return json.dumps(samples.build_entry(f'{host}:8080', **fields)).encode()


def build_mirror(values, revision=9):
    """Returns a mirror of stored values by key."""
    items = {
        key: store.Item(key, value, number)
        for number, (key, value) in enumerate(values.items(), 1)
    }
    return mirrors.Mirror(items, revision, 1.0)


def read_vms(channels):
    """Returns the VM list that all nodes accept, by VM."""
    parts = channels['vms'].bundle.parts.values()
    vms = [vm for part in parts for vm in documents.decode_list(part)]
    verified = verification.verify_vms({'vms': vms})
    return {entry.vm: entry for entry in verified.vms}


def list_with(**odd):
    """Returns the VM list of two sound entries and some odd ones."""
    values = {
        f'servers/i-{number}': encode_entry(host)
        for number, host in enumerate(SOUND_HOSTS)
    }
    odd = {f'servers/{key}': value for key, value in odd.items()}
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    return read_vms(translator.translate(build_mirror({**values, **odd})))


@pytest.mark.parametrize('value', ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_odd_entry_names_no_upstream(value):
    """One odd entry must not hide the others or add a backend server."""
    assert sorted(list_with(odd=value)) == SOUND_HOSTS


def test_many_odd_entries_name_no_upstream():
    """Several odd entries at once must not hide the others either."""
    odd = {f'odd-{n}': value for n, value in enumerate(ODD_VALUES)}
    assert sorted(list_with(**odd)) == SOUND_HOSTS


@pytest.mark.parametrize('key', ODD_KEYS, ids=range(len(ODD_KEYS)))
def test_odd_key_names_no_upstream(key):
    """A server id that no call can name must not hide the other entries."""
    assert sorted(list_with(**{key: encode_entry(ODD_HOST)})) == SOUND_HOSTS


@hypothesis.given(build_odd_values() | st.binary(max_size=60))
def test_entries_decode_or_are_refused(value):
    """Any other exception would end the greenlet that reads the store."""
    try:
        entry = entries.decode_entry('i-1', value)
    except errors.ValueFormatError as error:
        assert len(str(error)) < 1000
    else:
        assert entry.slots > 0 and 0 < entry.port < 65536


@hypothesis.given(build_odd_values())
def test_any_entry_leaves_a_list_that_nodes_accept(value):
    """One refused item would make every node refuse the whole VM list."""
    assert set(SOUND_HOSTS) <= set(list_with(odd=value))


def test_entry_of_an_unknown_service_displaces_no_server():
    """An entry at a used address wins by its start time, unless it is odd."""
    values = {
        'op/config': json.dumps(samples.build_configuration()).encode(),
        'servers/i-1': encode_entry('10.0.0.1', born=1000),
        'servers/i-2': encode_entry('10.0.0.1', born=2000, service='nowhere'),
    }
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    vms = read_vms(translator.translate(build_mirror(values)))
    assert vms['10.0.0.1'].instance == 'i-1'


def test_service_of_a_later_configuration_counts():
    """A server of a service that is added later must get its address then."""
    values = {
        'op/config': json.dumps(samples.build_configuration()).encode(),
        'servers/i-1': encode_entry('10.0.0.1', born=1000),
        'servers/i-2': encode_entry('10.0.0.1', born=2000, service='later'),
    }
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    translator.translate(build_mirror(values))
    document = samples.build_configuration('r3')
    service = next(
        resource
        for resource in document['resources']
        if resource['resource_type'] == 'services'
    )
    document['resources'].append({**service, 'metadata': {'name': 'later'}})
    values['op/config'] = json.dumps(document).encode()
    vms = read_vms(translator.translate(build_mirror(values, 10)))
    assert vms['10.0.0.1'].instance == 'i-2'


@pytest.mark.parametrize(
    'value',
    [
        b'[' * 100_000,
        b'{"version": "r1", "resources": ' + b'[' * 100_000,
        b'{"version": ["r1"], "resources": []}',
        b'{"version": "\\ud800", "resources": []}',
        json.dumps(
            samples.build_configuration(
                routes=[samples.build_route('x', timeout='9' * 400 + 's')]
            )
        ).encode(),
        json.dumps(
            samples.build_configuration(
                routes=[samples.build_route('x', path_prefix='/\ud800/')]
            )
        ).encode(),
        *(
            json.dumps(samples.build_configuration(rate_per_s=rate)).encode()
            for rate in (float('nan'), float('inf'))
        ),
    ],
    ids=range(8),
)  # fmt: skip
def test_odd_configuration_changes_nothing(value):
    """The preset in force stays, and VMs are still followed."""
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    sound = {
        'op/config': json.dumps(samples.build_configuration()).encode(),
        'servers/i-1': encode_entry('10.0.0.1'),
    }
    before = translator.translate(build_mirror(sound))
    odd = {**sound, 'op/config': value, 'servers/i-2': encode_entry('10.0.0.2')}
    after = translator.translate(build_mirror(odd, 10))
    assert after['preset'] == before['preset']
    assert after['keys'] == before['keys']
    assert sorted(read_vms(after)) == ['10.0.0.1', '10.0.0.2']


@hypothesis.given(JSON_VALUES, st.sampled_from(['', 'routes', 'tenants']))
def test_configurations_decode_or_are_refused(value, section):
    """Any other exception would end the greenlet that reads the store."""
    document = samples.build_configuration()
    for resource in document['resources']:
        if resource['resource_type'] == section:
            resource['spec'] = {**resource['spec'], 'priority': value}
            resource['metadata']['name'] = value
    if not section:
        document['version'] = value
    data = json.dumps(document).encode()
    try:
        configurations.decode_configuration(data, REGIONS, ())
    except errors.ValueFormatError:
        pass
    mirror = build_mirror({'op/config': data})
    mirrors.Translator(DEPLOYMENT_FACTS).translate(mirror)


@pytest.mark.parametrize('zone', ['moon', '', '\ud800', 'a/b', 'x' * 200])
def test_odd_evacuation_leaves_the_zones(zone):
    """An evacuation of no known zone must take none out of service."""
    values = {
        'op/config': json.dumps(samples.build_configuration()).encode(),
        f'op/evacuate/{zone}': b'[' * 100_000,
    }
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    bundle = translator.translate(build_mirror(values))['preset'].bundle
    preset = verification.verify_preset(
        documents.join_parts(bundle.manifest, bundle.parts)
    )
    assert all(zone.in_service for zone in preset.zones.values())


def serve(monkeypatch, body, headers=None):
    """Returns a client of a store that always sends one reply."""
    client = store.StoreClient('127.0.0.1:1')
    reply = endpoints.RawReply(200, headers or {}, body, 1.0, 2.0)
    monkeypatch.setattr(client._endpoint, 'fetch', lambda *_: reply)
    return client


@pytest.mark.parametrize(
    'body, headers',
    [
        (b'[' * 100_000, {}),
        (b'{"as_of": 1, "items": [' + b'{"a":' * 100_000, {}),
        (b'{"as_of": %s, "items": []}' % MANY_DIGITS.encode(), {}),
        (b'{"as_of": 1%s, "items": []}' % (b'0' * 400), {}),
        (b'{"as_of": -1, "items": []}', {}),
        (b'{"as_of": 1e999, "items": []}', {}),
        (b'{"as_of": NaN, "items": []}', {}),
        (b'{"as_of": 1, "items": [[]]}', {}),
        (b'{"as_of": 1, "items": [{"key": 1, "revision": 1}]}', {}),
        (b'{"as_of": 1, "items": []}', {'Store-Era': MANY_DIGITS}),
        (b'{"as_of": 1, "items": []}', {'Store-Era': '²'}),
        (b'{"as_of": 1, "items": []}', {'Store-Era': ['1', '2']}),
    ],
    ids=range(12),
)
def test_odd_reply_of_the_store_is_a_source_error(monkeypatch, body, headers):
    """Readers handle only source errors, so each fault must become one."""
    client = serve(monkeypatch, body, headers)
    with pytest.raises(source_errors.SourceError):
        client.list_items('')


def test_odd_key_at_the_end_of_a_page_is_passed(monkeypatch):
    """The next page begins after the key, which a URL must be able to hold."""
    paths = []

    def fetch(path, *_):
        paths.append(path)
        more = len(paths) == 1
        item = {'key': '\ud800', 'value': '', 'revision': 1}
        body = {'as_of': 1, 'items': [item], 'more_pages': more}
        return endpoints.RawReply(200, {}, json.dumps(body).encode(), 1.0, 2.0)

    client = store.StoreClient('127.0.0.1:1')
    monkeypatch.setattr(client._endpoint, 'fetch', fetch)
    assert len(client.list_items('').items) == 2


def test_odd_entry_in_the_store_is_survived():
    """A reader must follow the store while odd entries lie in it."""
    kv_store = kvstore.KeyValueStore()
    server = kvstore.serve_store(kv_store, '127.0.0.1')
    client = store.StoreClient(f'127.0.0.1:{server.server_port}')
    store_source = source.StoreSource(client, DEPLOYMENT_FACTS)
    try:
        kv_store.put('op/config', samples.build_configuration())
        kv_store.put('servers/i-1', samples.build_entry('10.0.0.1:8080'))
        for number, value in enumerate(ODD_VALUES):
            kv_store.put(f'servers/odd-{number}', value)
        kv_store.put('op/evacuate/\ud800', b'\xff')
        with gevent.Timeout(5.0):
            first = store_source.read_vms()
            kv_store.put('servers/i-2', samples.build_entry('10.0.0.2:8080'))
            second = store_source.read_vms(first.revision, 1.0)
            while second.body is None:
                second = store_source.read_vms(first.revision, 1.0)
        vms = documents.decode_json(second.body)['vms']
        assert sorted(vm['vm'] for vm in vms) == SOUND_HOSTS
    finally:
        store_source.close()
        server.stop_at_once()


def test_unexpected_error_does_not_end_the_reader(monkeypatch, caplog):
    """Reads that wait for a reader that has ended would wait in vain."""
    kv_store = kvstore.KeyValueStore()
    server = kvstore.serve_store(kv_store, '127.0.0.1')
    client = store.StoreClient(f'127.0.0.1:{server.server_port}')
    store_source = source.StoreSource(client, DEPLOYMENT_FACTS)
    listed = client.list_items
    failures = [OverflowError('odd'), RecursionError('deep')]

    def fail_at_first(prefix):
        if failures:
            raise failures.pop()
        return listed(prefix)

    monkeypatch.setattr(client, 'list_items', fail_at_first)
    try:
        kv_store.put('op/config', samples.build_configuration())
        with gevent.Timeout(5.0):
            reply = store_source.read_value('channels/preset')
        assert reply.body is not None and not failures
        waits.wait_until(lambda: 'platform.read_crashed' in caplog.text, 1.0)
    finally:
        store_source.close()
        server.stop_at_once()
