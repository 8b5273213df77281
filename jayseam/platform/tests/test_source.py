"""Tests of the store as a source, against a stand-in on loopback."""

import contextlib

import gevent
import pytest

from jayseam.platform import mirrors
from jayseam.platform import source
from jayseam.platform import store
from jayseam.platform.tests import samples
from jayseam.presets import documents
from jayseam.source import errors as source_errors
from jayseam.standins import kvstore
from jayseam.standins import waits

PLACE = mirrors.Place({'a': 'r', 'b': 'r'}, 8543)
# A read that waits for the next watch.
READ_S = source.WATCH_WAIT_S + 2.0


@contextlib.contextmanager
def _serve(page_items=kvstore.PAGE_ITEMS):
    """Yields a store and a client of it."""
    held = kvstore.KeyValueStore(page_items)
    server = kvstore.serve_store(held, '127.0.0.1')
    client = store.StoreClient(f'127.0.0.1:{server.server_port}')
    try:
        yield held, client
    finally:
        client.close()
        server.stop_at_once()


@contextlib.contextmanager
def _read(page_items=kvstore.PAGE_ITEMS):
    """Yields a store and a source that reads it."""
    with _serve(page_items) as (held, client):
        held.put('op/config', samples.build_configuration())
        reader = source.StoreSource(client, PLACE)
        try:
            yield held, reader
        finally:
            reader.close()


def test_listing_collects_all_pages():
    """Keys beyond the first page are read too."""
    with _serve(page_items=3) as (held, client):
        for number in range(10):
            held.put(f'servers/i-{number}', {'number': number})
        listing = client.list_items('servers/')
        assert len(listing.items) == 10
        assert listing.revision == held.revision


def test_watch_tells_changes_and_deletions():
    """A watch ends with the first change after its revision."""
    with _serve() as (held, client):
        revision = held.put('op/a', {})
        held.put('op/b', {})
        held.delete('op/a')
        changes = client.watch('op/', revision, 5.0)
        assert [event.key for event in changes.events] == ['op/b', 'op/a']
        assert isinstance(changes.events[1], store.Deletion)
        assert not client.watch('op/', changes.revision, 0.05).events


@pytest.mark.parametrize(
    'rank, gap_s', [(0, source.READ_GAP_S), (1, source.STANDBY_GAP_S)]
)
def test_changes_in_quick_succession_are_read_together(rank, gap_s):
    """A release of many VMs changes entries many times a second."""
    with _read() as (held, reader):
        reader.set_reader_rank(rank)
        version = reader.read_value('channels/preset').revision
        before = held.reads
        for number in range(50):
            held.put(f'servers/i-{number}', samples.build_entry('10.0.0.1:1'))
            gevent.sleep(0.02)
        assert held.reads - before <= 1.0 / gap_s + 2
        held.put('op/config', samples.build_configuration('r9', rate_per_s=7))
        reply = reader.read_value('channels/preset', version, READ_S)
        assert reply.revision > version


@pytest.mark.parametrize(
    'fault, kind',
    [
        ({'status': 429}, source_errors.SourceBudgetError),
        ({'status': 503}, source_errors.SourceError),
        ({'status': 500}, source_errors.SourceReplyError),
        ({'reset': True}, source_errors.SourceUnreachableError),
    ],
)
def test_faults_of_the_store_are_source_errors(fault, kind):
    """Whatever the store does wrong, readers see an error of the source."""
    with _serve() as (held, client):
        held.faults = kvstore.Faults(**fault)
        with pytest.raises(kind):
            client.list_items('')


def test_channels_are_read_with_their_parts():
    """Pointer, manifest and parts come from one copy of the store."""
    with _read() as (_, reader):
        reply = reader.read_value('channels/preset')
        digest = documents.decode_json(reply.body)['manifest']
        manifest = documents.read_manifest(reader.read_part(digest))
        assert manifest.name == 'r2'
        assert all(reader.read_part(d) for d in manifest.parts.values())
        with pytest.raises(source_errors.ValueMissingError):
            reader.read_part('0' * 64)


def test_an_unchanged_channel_is_confirmed():
    """Each watch without news renews the confirmation."""
    with _read() as (_, reader):
        held = reader.read_value('channels/keys')
        with gevent.Timeout(READ_S):
            again = reader.read_value('channels/keys', held.revision, 1.0)
        assert again.body is None
        assert again.asked_at > held.asked_at


def test_a_change_of_keys_arrives():
    """A withdrawn key is a new version of the key set."""
    with _read() as (held, reader):
        before = reader.read_value('channels/keys')
        keys = {'museum': samples.KEYS['museum']}
        held.put('op/config', samples.build_configuration('r5', keys=keys))
        with gevent.Timeout(READ_S):
            after = reader.read_value('channels/keys', before.revision, 1.0)
        assert after.body is not None and after.revision > before.revision


def test_forgotten_history_is_read_anew():
    """A 410 leads to a listing, not to a lost change."""
    with _read() as (held, reader):
        before = reader.read_vms()
        gevent.sleep(0.1)
        held.put('servers/i-1', samples.build_entry('10.0.0.1:8080'))
        held.delete('servers/i-1')
        held.put('servers/i-2', samples.build_entry('10.0.0.2:8080'))
        held.forget_history()
        with gevent.Timeout(READ_S):
            after = reader.read_vms(before.revision, 1.0)
            while after.body is None:
                after = reader.read_vms(after.revision, 1.0)
        assert b'10.0.0.2' in after.body


def test_an_outage_is_survived():
    """Reads wait while the store is away and go on after its return."""
    with _read() as (held, reader):
        before = reader.read_value('channels/preset')
        held.faults = kvstore.Faults(status=503)
        found = []
        greenlet = gevent.spawn(
            lambda: found.append(
                reader.read_value('channels/preset', before.revision, 1.0)
            )
        )
        gevent.sleep(source.WATCH_WAIT_S + 0.5)
        held.faults = kvstore.Faults()
        held.put('op/config', samples.build_configuration('r9'))
        waits.wait_until(lambda: found, READ_S + source.RETRY_MAX_CAP_S)
        greenlet.join()
        assert found[0].revision >= before.revision


def test_nobody_reads_and_the_store_is_left_alone():
    """Calls to the store are priced: without readers there are none."""
    with _read() as (held, reader):
        reader.read_value('channels/preset')
        gevent.sleep(source.IDLE_S + 2 * source.WATCH_WAIT_S + 0.5)
        reads = held.reads
        gevent.sleep(source.WATCH_WAIT_S + 0.2)
        assert held.reads == reads
