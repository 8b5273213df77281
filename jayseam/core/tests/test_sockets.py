"""Options of sockets that a machine refuses."""

import errno
import os
import socket

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
