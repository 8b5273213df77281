"""Tests of how a watcher handles a VM list after an outage."""

import gevent
import pytest

from jayseam.core import clocks
from jayseam.presets import documents
from jayseam.source import client as source_client
from jayseam.source import watchers
from jayseam.standins import waits

# Deadline of the platform for a change of the configuration, in seconds.
CONFIG_APPLY_S = 2.0


class _Source:
    """Answers reads of the VM list from a script, then waits for ever."""

    min_read_interval_s = 1.0
    is_local = False

    def __init__(self, script):
        self._script = list(script)

    def read_vms(self, after_revision=None, wait_s=0.0, after_digest=''):
        """Returns the next reply of the script."""
        del after_revision, wait_s, after_digest
        if not self._script:
            gevent.sleep(60.0)
        return self._script.pop(0)


def _build_reply(revision, vms, at):
    entries = [
        {
            'vm': vm,
            'upstream': vm,
            'zone': 'z',
            'region': 'r',
            'host': '127.0.0.1',
            'port': 1,
            'state': state,
        }
        for vm, state in vms.items()
    ]
    body = documents.encode_json({'vms': entries})
    return source_client.Reply(revision, body, at, at)


def _watch(script, grace, known=watchers.KnownVms()):
    updates = []
    watcher = watchers.SourceWatcher(
        _Source(script),
        'vms',
        0.1,
        updates.append,
        lambda confirmation: None,
        lambda: watchers.NO_VERSION,
        grace=grace,
        read_known_vms=lambda: known,
    )
    watcher.start()
    return watcher, updates


@pytest.mark.parametrize(
    'silent_s, state, versions',
    [
        # An entry that expired in an outage reappears.
        (6.0, 'live', [1, 3]),
        # Without an outage, a missing VM is removed immediately.
        (1.0, 'live', [1, 2, 3]),
        # The watcher does not wait for a VM that was leaving.
        (6.0, 'leaving', [1, 2, 3]),
    ],
)
def test_lapsed_vm_may_come_back(silent_s, state, versions):
    """A list read right after an outage may lack VMs that are still running."""
    now = clocks.read_now()
    both = {'vm-1': 'live', 'vm-2': state}
    script = [
        _build_reply(1, both, now),
        _build_reply(2, {'vm-1': 'live'}, now + silent_s),
        _build_reply(3, both, now + silent_s + 0.2),
    ]
    watcher, updates = _watch(script, watchers.OutageGrace(4.5, 0.2))
    waits.wait_until(lambda: updates and updates[-1].version == 3, 5.0)
    watcher.stop()
    assert [update.version for update in updates] == versions


def test_vm_that_stays_away_is_taken_for_gone():
    """After the grace period, the list is used as it is."""
    now = clocks.read_now()
    gone = _build_reply(2, {'vm-1': 'live'}, now + 6.0)
    script = [
        _build_reply(1, {'vm-1': 'live', 'vm-2': 'live'}, now),
        gone,
        gone,
    ]
    watcher, updates = _watch(script, watchers.OutageGrace(4.5, 0.2))
    waits.wait_until(lambda: updates and updates[-1].version == 2, 5.0)
    watcher.stop()


@pytest.mark.parametrize(
    'entry', [{'vm': 'vm-1'}, {'state': 'live'}, {'vm': [], 'state': 'live'}]
)
def test_malformed_list_does_not_end_the_watch(entry):
    """After a malformed VM list, the versions that follow must arrive."""
    now = clocks.read_now()
    body = documents.encode_json({'vms': [{'zone': 'z', **entry}]})
    script = [
        source_client.Reply(1, body, now, now),
        _build_reply(2, {'vm-1': 'live'}, now),
    ]
    watcher, updates = _watch(script, watchers.OutageGrace(4.5, 0.2))
    waits.wait_until(lambda: updates and updates[-1].version == 2, 5.0)
    watcher.stop()
    assert updates[0].version == 1


def test_new_reader_waits_for_lapsed_vms():
    """A node that becomes a reader in an outage must not spread its gaps.

    It has read no list itself, but holds one that peers have sent.
    """
    now = clocks.read_now()
    both = {'vm-1': 'live', 'vm-2': 'live'}
    script = [
        _build_reply(2, {'vm-1': 'live'}, now),
        _build_reply(3, both, now + 0.2),
    ]
    known = watchers.KnownVms(now - 6.0, frozenset(both))
    watcher, updates = _watch(script, watchers.OutageGrace(4.5, 0.2), known)
    waits.wait_until(lambda: updates and updates[-1].version == 3, 5.0)
    watcher.stop()
    assert [update.version for update in updates] == [3]


def test_unexpected_error_does_not_end_the_watch():
    """A channel without a watcher would keep its version for ever."""
    source = _Source([_build_reply(2, {'vm-1': 'live'}, clocks.read_now())])
    read, failures = source.read_vms, [OverflowError('odd'), KeyError('odd')]

    def fail_at_first(after_revision=None, wait_s=0.0, after_digest=''):
        if failures:
            raise failures.pop()
        return read(after_revision, wait_s, after_digest)

    source.read_vms = fail_at_first
    updates = []
    watcher = watchers.SourceWatcher(
        source,
        'vms',
        0.1,
        updates.append,
        lambda _: None,
        lambda: watchers.NO_VERSION,
    )
    watcher.start()
    waits.wait_until(lambda: updates and updates[-1].version == 2, 8.0)
    watcher.stop()


def test_odd_item_in_a_list_does_not_end_the_watch():
    """An item without a name is for the verification to reject."""
    now = clocks.read_now()
    item = {'zone': 'z', 'vm': ['odd']}
    odd = documents.encode_json({'vms': [item, {'zone': 'z'}]})
    script = [
        source_client.Reply(1, odd, now, now),
        _build_reply(2, {'vm-1': 'live'}, now),
    ]
    watcher, updates = _watch(script, watchers.OutageGrace(4.5, 0.2))
    waits.wait_until(lambda: updates and updates[-1].version == 2, 8.0)
    watcher.stop()
    assert [update.version for update in updates] == [1, 2]


class _PacedSource:
    """Confirms the version of a channel at a steady pace, as a mirror does.

    Attributes:
      version: Version of the content.
      started_at: Times at which reads began, in seconds.
    """

    def __init__(self, interval_s, min_read_interval_s):
        self._interval_s = interval_s
        self.min_read_interval_s = min_read_interval_s
        self.version = 1
        self.started_at = []

    def read_value(self, key, after_revision=None, wait_s=0.0, after_digest=''):
        """Returns the next confirmation, or a newer version."""
        del key, wait_s, after_digest
        self.started_at.append(clocks.read_now())
        gevent.sleep(self._interval_s)
        now = clocks.read_now()
        if self.version == after_revision:
            return source_client.Reply(self.version, None, now, now)
        body = documents.encode_json({'manifest': 'ab' * 16})
        return source_client.Reply(self.version, body, now, now)


def _watch_channel(source, channel):
    updates = []
    watcher = watchers.SourceWatcher(
        source,
        channel,
        10.0,
        updates.append,
        lambda confirmation: None,
        lambda: watchers.NO_VERSION,
        # The longest waits that a back-off may draw.
        uniform=lambda: 0.999,
    )
    watcher.start()
    return watcher, updates


@pytest.mark.parametrize('channel', ['preset', 'keys'])
def test_confirmations_in_quick_succession_delay_no_change(channel):
    """While other channels change, a mirror confirms this one several times.

    A withdrawn key went on working when that made the watcher back off.
    """
    source = _PacedSource(0.05, 0.0)
    watcher, updates = _watch_channel(source, channel)
    waits.wait_until(lambda: len(source.started_at) > 1, 2.0)
    # A back-off would have grown to 4 s by then.
    gevent.sleep(4.0)
    source.version = 2
    waits.wait_until(lambda: updates[-1].version == 2, CONFIG_APPLY_S)
    watcher.stop()


def test_source_that_does_not_wait_is_read_at_a_steady_pace():
    """Such a replica must not be read in a loop, nor its changes be missed."""
    source = _PacedSource(0.01, 0.3)
    watcher, updates = _watch_channel(source, 'keys')
    gevent.sleep(2.0)
    source.version = 2
    waits.wait_until(lambda: updates[-1].version == 2, CONFIG_APPLY_S)
    watcher.stop()
    assert 5 <= len(source.started_at) <= 10
