"""Start, reload and stop of the program where something unexpected fails."""

import io
import json
import sys

import gevent
import prometheus_client
import pytest
from gevent import socket

from jayseam.core import logs
from jayseam.node import composition
from jayseam.node import main
from jayseam.node.tests import samples


@pytest.fixture(name='settings')
def settings_fixture():
    """Returns settings of a node with a stop of half a second."""
    return samples.build_settings()


@pytest.fixture(name='stream')
def stream_fixture():
    """Sends the log to a stream."""
    stream = io.StringIO()
    logs.configure_logs('INFO', stream)
    return stream


@pytest.fixture(name='node')
def node_fixture(settings, monkeypatch):
    """Builds a node, which isn't started."""
    # Each node registers its metrics.
    registry = prometheus_client.CollectorRegistry()
    monkeypatch.setattr(prometheus_client, 'REGISTRY', registry)
    return composition.Node(settings)


def read_events(stream):
    """Returns the events of a log."""
    return [json.loads(l)['event'] for l in stream.getvalue().splitlines()]


@pytest.mark.parametrize(
    'error', [PermissionError(1, 'refused'), RecursionError(), KeyError('a')]
)
def test_failed_reload_changes_nothing_and_says_so(
    node, settings, stream, error
):
    """Settings that can't be read must not end the reload without a word."""

    def fail():
        raise error

    main._reload(node, fail)
    assert node._settings == settings
    assert read_events(stream) == ['node.reload_failed']


def test_reload_during_a_stop_changes_nothing_and_says_so(
    node, settings, stream
):
    """The times of a stop are planned when it begins."""
    node.request_stop()
    main._reload(node, lambda: settings)
    assert 'node.reload_failed' in read_events(stream)
    assert 'node.reloaded' not in read_events(stream)


@pytest.mark.parametrize(
    'error, status, event',
    [
        (RuntimeError('a bug'), 4, 'node.start_failed'),
        (OSError(98, 'in use'), 3, 'node.bind_failed'),
    ],
)
def test_failed_start_has_a_status_and_a_log_line(
    settings, monkeypatch, error, status, event
):
    """A traceback in plain text is no line of the log."""

    class _FailingNode:
        request_stop = None

        def __init__(self, *_):
            pass

        def run(self):
            """Fails as the start of a node."""
            raise error

    monkeypatch.setattr(composition, 'Node', _FailingNode)
    monkeypatch.setattr(gevent, 'signal_handler', lambda *_: None)
    monkeypatch.setattr(gevent.get_hub(), 'print_exception', None)
    monkeypatch.setattr(sys, 'stderr', sys.__stderr__)
    stream = io.StringIO()
    assert main.run_node(settings, stream) == status
    assert read_events(stream) == [event]


def test_stop_requested_before_the_start_ends_the_node(node, stream):
    """A node that was told to stop must not take calls first."""
    node.request_stop()
    with gevent.Timeout(0.5):
        node.run()
    assert 'node.stopped' in read_events(stream)
    assert 'node.started' not in read_events(stream)


def test_stop_requested_during_the_start_ends_the_node(
    node, stream, monkeypatch
):
    """A stop that runs beside the start would leave listeners open."""
    start = node._guard.start

    def start_and_yield():
        start()
        node.request_stop()
        node.request_stop()
        gevent.sleep(0.3)

    monkeypatch.setattr(node._guard, 'start', start_and_yield)
    with gevent.Timeout(3.0):
        node.run()
    assert not node._listeners.caller_server.started
    events = read_events(stream)
    assert events.count('node.stopped') == 1
    assert 'node.stop_step_failed' not in events


def test_start_asks_no_name_service(node, monkeypatch):
    """A name service that is away must not hold up the start."""
    asked = []
    for name in ('getfqdn', 'gethostbyaddr', 'getaddrinfo'):
        monkeypatch.setattr(socket, name, lambda *a: asked.append(a) or 'name')
    node.start()
    node.request_stop()
    assert not asked
    node._stopped.wait(2.0)


def test_start_without_reuse_of_addresses(node, monkeypatch):
    """A refused option of listeners must not keep a node from starting."""

    def refuse(*_):
        raise PermissionError(1, 'Operation not permitted')

    monkeypatch.setattr(socket.socket, 'setsockopt', refuse)
    node.start()
    node.request_stop()
    assert node._listeners.caller_server.started
    node._stopped.wait(2.0)
