"""Content that the store has had only between two reads of a reader.

One node reads it and tells the others, and is lost before it reads the change
back. The others find the same content before and after.
"""

import contextlib

import gevent
import pytest
from gevent import event

from jayseam.core import clocks
from jayseam.distribution.tests import fakes
from jayseam.platform import mirrors
from jayseam.platform import settings
from jayseam.platform import source
from jayseam.platform import store
from jayseam.platform.tests import samples
from jayseam.presets import documents
from jayseam.standins import kvstore

DEPLOYMENT_FACTS = mirrors.DeploymentFacts({'a': 'r', 'b': 'r'}, 8543)
# Deadline of the platform for a key that was withdrawn, in seconds.
REVOKE_S = 5.0
# Time after the return of a restored store until nodes take all that it has.
RESTORE_S = settings.RESTORE_HOLD_S + 4.5 + REVOKE_S
ENTRY = samples.build_entry('10.0.0.1:8080')


class _PausableClient(store.StoreClient):
    """A client whose reads wait while `running` is cleared."""

    def __init__(self, address):
        super().__init__(address)
        self.running = event.Event()
        self.running.set()

    def list_items(self, prefix):
        """Lists the items once reads go on."""
        self.running.wait()
        return super().list_items(prefix)

    def watch(self, prefix, after_revision, wait_s):
        """Waits for changes; what comes during a pause is kept back."""
        changes = super().watch(prefix, after_revision, wait_s)
        if not self.running.is_set():
            self.running.wait()
            return super().read_changes(prefix, after_revision)
        return changes

    def read_changes(self, prefix, after_revision):
        """Reads changes once reads go on."""
        self.running.wait()
        return super().read_changes(prefix, after_revision)


@contextlib.contextmanager
def _run_nodes(kv_store):
    """Yields two nodes that read a store, and their clients."""
    server = kvstore.serve_store(kv_store, '127.0.0.1')
    address = f'127.0.0.1:{server.server_port}'
    clients = [_PausableClient(address), _PausableClient(address)]
    net = fakes.FakeNet()
    nodes = [
        net.add(
            vm,
            source.StoreSource(
                client, DEPLOYMENT_FACTS, settings.RESTORE_HOLD_S, 4.5
            ),
        )
        for vm, client in zip('ab', clients)
    ]
    try:
        yield net, nodes, clients
    finally:
        for client in clients:
            client.running.set()
        net.stop()
        server.stop_at_once()


def _grant_key(kv_store):
    """Gives a tenant a second key."""
    document = samples.build_configuration('r5')
    samples.add_keys(document, 'museum', ['gggghhhhiiiijjjjkkkk'])
    kv_store.put('op/config', document)


def _withdraw_key(kv_store):
    kv_store.put('op/config', samples.build_configuration('r7'))


def _evacuate(kv_store):
    kv_store.put('op/evacuate/a', {})


def _end_evacuation(kv_store):
    kv_store.delete('op/evacuate/a')


def _remove_server(kv_store):
    kv_store.delete('servers/i-1')


def _return_server(kv_store):
    kv_store.put('servers/i-1', ENTRY)


def _describe(node, channel):
    """Returns the content of a channel that a node has in force."""
    snapshot = node.snapshot
    if channel == 'keys':
        return {entry.key_id for entry in snapshot.keys.keys}
    if channel == 'preset':
        return {z.name: z.in_service for z in snapshot.preset.zones.values()}
    return {entry.vm: entry.state for entry in snapshot.vms.vms}


@pytest.mark.parametrize(
    'channel, change, change_back',
    [
        ('keys', _grant_key, _withdraw_key),
        ('preset', _evacuate, _end_evacuation),
        ('vms', _remove_server, _return_server),
    ],
    ids=['key', 'evacuation', 'server'],
)
def test_content_that_one_reader_saw_is_outdated(channel, change, change_back):
    """A withdrawn key was confirmed for good after its reader was lost."""
    kv_store = kvstore.KeyValueStore()
    kv_store.put('op/config', samples.build_configuration('r2'))
    kv_store.put('servers/i-1', ENTRY)
    with _run_nodes(kv_store) as (net, nodes, clients):
        _play_lost_reader(
            kv_store, net, nodes, clients, (channel, change, change_back)
        )


def test_server_that_a_restore_took_away_is_outdated():
    """An entry that was written after the copy is gone with the restore."""
    kv_store = kvstore.KeyValueStore()
    kv_store.put('op/config', samples.build_configuration('r2'))
    copy = kv_store.build_copy()

    def restore(restored):
        restored.restore(copy)
        restored.put('op/config', samples.build_configuration('r2'))

    with _run_nodes(kv_store) as (net, nodes, clients):
        _play_lost_reader(
            kv_store,
            net,
            nodes,
            clients,
            ('vms', _return_server, restore),
            RESTORE_S,
        )


def _play_lost_reader(
    kv_store, net, nodes, clients, scenario, timeout_s=REVOKE_S
):
    """Lets one of two readers see a change alone, and loses that reader."""
    channel, change, change_back = scenario
    lost, survivor = nodes
    for node in nodes:
        node.start()
    fakes.wait_until(
        lambda: all(
            node.is_reader and node.snapshot.vms_version for node in nodes
        )
        and all(node.snapshot.preset and node.snapshot.keys for node in nodes)
    )
    before = _describe(survivor, channel)
    clients[1].running.clear()
    change(kv_store)
    fakes.wait_until(lambda: _describe(survivor, channel) != before)
    clients[0].running.clear()
    lost.stop()
    del net.nodes['a']
    change_back(kv_store)
    gevent.sleep(0.1)
    clients[1].running.set()
    fakes.wait_until(lambda: _describe(survivor, channel) == before, timeout_s)
    version = getattr(survivor.snapshot, f'{channel}_version')
    fakes.wait_until(
        lambda: survivor.compute_confirmation_age(channel, clocks.read_now())
        < 0.5
    )
    assert getattr(survivor.snapshot, f'{channel}_version') == version


def test_list_is_derived_alike_by_all_readers():
    """A version would be published again and again if digests differed."""
    kv_store = kvstore.KeyValueStore()
    for number in range(300):
        entry = samples.build_entry(f'10.0.{number // 200}.{number % 200}:80')
        kv_store.put(f'servers/i-{number}', entry)
    translator = mirrors.Translator(DEPLOYMENT_FACTS)
    server = kvstore.serve_store(kv_store, '127.0.0.1')
    client = store.StoreClient(f'127.0.0.1:{server.server_port}')
    mirror = mirrors.build_mirror(client.list_items(''))
    client.close()
    server.stop_at_once()
    bundle = translator.translate(mirror)['vms'].bundle
    vms = [
        v for part in bundle.parts.values() for v in documents.decode_list(part)
    ]
    assert documents.split_vms({'vms': vms[::-1]}).digest == bundle.digest
