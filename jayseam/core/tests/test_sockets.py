"""Options of sockets that a machine refuses."""

import errno
import os
import socket

import gevent
import pytest
from gevent import socket as gevent_socket

from jayseam.core import sockets


def refuse(*_):
    """Fails as a call that a policy refuses."""
    raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))


class _RefusingSocket:
    setsockopt = refuse


def test_refused_nodelay_is_counted_and_logged_once(monkeypatch):
    """An option that only saves time must not end a connection."""
    events = []
    monkeypatch.setattr(sockets, '_reported', set())
    monkeypatch.setattr(
        sockets._log, 'warning', lambda event, **_: events.append(event)
    )
    counter = sockets.REFUSED_OPTIONS.labels('no-delay')
    before = counter._value.get()
    for _ in range(3):
        sockets.set_nodelay(_RefusingSocket())
    assert counter._value.get() == before + 3
    assert events == ['sockets.option_refused']


def test_refused_nodelay_leaves_a_connection_usable(monkeypatch):
    """Bytes must pass over a connection without the option."""
    left, right = socket.socketpair()
    with left, right:
        # An option of TCP is refused on a socket of another family.
        monkeypatch.setattr(sockets, '_reported', set())
        sockets.set_nodelay(left)
        left.sendall(b'x')
        assert right.recv(1) == b'x'


def test_numeric_addresses_need_no_thread(monkeypatch):
    """Where threads are refused, a node must still reach other nodes."""
    monkeypatch.setattr(gevent_socket, 'getaddrinfo', lambda *_: None)
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        with sockets.connect(host, port) as connection:
            assert connection.getpeername() == (host, port)
    assert sockets.resolve('::1', 80)[0][-1][:2] == ('::1', 80)
    assert sockets.resolve('localhost', 80) is None


class _DeafSocket(gevent_socket.socket):
    """A socket whose events the event loop never tells of."""

    def _wait(self, watcher, timeout_exc=None):
        del watcher, timeout_exc
        timeout_s = self.gettimeout()
        gevent.sleep(60.0 if timeout_s is None else timeout_s)
        raise TimeoutError('timed out')


@pytest.fixture(name='deaf_pair')
def _create_deaf_pair():
    """Yields a socket, and a deaf one that is connected to it."""
    left, right = gevent_socket.socketpair()
    deaf = _DeafSocket(right.family, right.type, right.proto, right.detach())
    with left, deaf:
        yield left, deaf


@pytest.mark.parametrize('sent', [b'x', b''])
def test_input_arrives_without_an_event(deaf_pair, sent):
    """A lost event must not keep the input, or its end, from being found."""
    left, deaf = deaf_pair
    before = sockets.MISSED_INPUT.labels('test')._value.get()
    receiver = gevent.spawn(sockets.receive, deaf, 10, 0.05, 'test')
    gevent.sleep(0.12)
    assert not receiver.ready()
    left.sendall(sent)
    if not sent:
        left.close()
    assert receiver.get(timeout=0.2) == sent
    assert sockets.MISSED_INPUT.labels('test')._value.get() == before + 1
    assert deaf.gettimeout() is None


@pytest.mark.parametrize('limit_s', [0.02, 0.12])
def test_receiving_ends_in_time(deaf_pair, limit_s):
    """The limit must hold whatever the time between two tries."""
    _, deaf = deaf_pair
    receiver = gevent.spawn(
        sockets.receive, deaf, 10, 0.05, 'test', limit_s=limit_s
    )
    with pytest.raises(TimeoutError):
        receiver.get(timeout=limit_s + 0.2)
