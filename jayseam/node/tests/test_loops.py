"""Every loop of a node goes on after an unexpected error."""

import gevent
import prometheus_client
import pytest
from gevent import event

from jayseam.core import clocks
from jayseam.node import callers
from jayseam.node import composition
from jayseam.node import pauses
from jayseam.node.tests import samples
from jayseam.settings import model

_TIMEOUT_S = 5.0


class _FailingOnce:
    """A function that fails when it is first called.

    Attributes:
      called_again: Set by the second call.
    """

    def __init__(self, result):
        self._result = result
        self._n_calls = 0
        self.called_again = event.Event()

    def __call__(self, *_):
        self._n_calls += 1
        if self._n_calls == 1:
            raise PermissionError(1, 'Operation not permitted')
        self.called_again.set()
        return self._result


class _SlowRequest:
    """A request whose header fields are overdue."""

    def __init__(self, close_input):
        self.close_input = close_input


@pytest.fixture(name='node')
def node_fixture(monkeypatch):
    """Builds a node, and stops it after the test."""
    # Each node registers its metrics.
    registry = prometheus_client.CollectorRegistry()
    monkeypatch.setattr(prometheus_client, 'REGISTRY', registry)
    settings = samples.build_settings(
        seeds=(model.Seed('seed', 'a', '127.0.0.1', 9),)
    )
    node = composition.Node(settings)
    yield node
    node.request_stop()
    node._stopped.wait(2.0)


def test_loops_go_on_after_an_error(node, monkeypatch):
    """A loop for which nothing waits must not end with its first error."""
    fetcher = node._distribution._fetchers['preset']
    places = {
        'silent links': (node._links, 'list_unresponsive', set()),
        'heartbeats': (node._membership, '_choose_heartbeat_targets', ()),
        'joins': (node._membership._exchanges, 'join', False),
        'ticks of the detector': (node._membership, '_send_unless_stopped', 0),
        'join of the distribution': (
            node._distribution._joiner,
            '_has_newer_peer',
            None,
        ),
        'fetches': (fetcher._offers, 'keep', None),
        'heartbeats of the distribution': (
            node._distribution,
            '_update_role',
            None,
        ),
        'poll of limits': (node._limits, '_poll', None),
        'health': (node._backend._health, 'poll_once', None),
        'pauses': (pauses, 'detect_pause', False),
        'callers that leave': (node._monitor, '_interrupt_disconnected', None),
    }
    failing = {}
    for name, (owner, attribute, result) in places.items():
        failing[name] = _FailingOnce(result)
        monkeypatch.setattr(owner, attribute, failing[name])
    failing['slow requests'] = _FailingOnce(None)
    server = node._listeners.caller_server
    slow = _SlowRequest(failing['slow requests'])
    server.header_read_starts[slow] = -callers._READ_TIMEOUT_S
    node._monitor._watched[-1] = (-1, None)
    node.start()
    gevent.wait([f.called_again for f in failing.values()], _TIMEOUT_S)
    ended = [n for n, f in failing.items() if not f.called_again.is_set()]
    del server.header_read_starts[slow], node._monitor._watched[-1]
    monkeypatch.undo()
    assert not ended


def test_failed_refresh_after_a_pause_is_tried_again():
    """Calls must not run by the state before a pause while there is time."""
    refresh = _FailingOnce(None)
    guard = pauses.PauseGuard(refresh)
    now = clocks.read_now()
    guard._last_tick = now - 5.0
    guard.wait_for_refresh(now)
    assert refresh.called_again.is_set()
