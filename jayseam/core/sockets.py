"""Addresses and options of TCP sockets.

Some machines refuse options to unprivileged processes, by a hook on
``setsockopt``, a locked filter or a policy on calls of the system. An option
that only improves a connection is never a reason to end it.
"""

import contextlib
import ctypes
import math
import socket
import struct
from collections.abc import Callable
from typing import Any

import prometheus_client
from gevent import socket as gevent_socket

from jayseam.core import logs

# Not in the ``socket`` module; from the Linux header asm-generic/socket.h.
_SO_ATTACH_FILTER = 26
# The BPF program "return 0", which drops every packet.
_DROP_ALL_PROGRAM = struct.pack('HBBI', 0x06, 0, 0, 0)

_log = logs.get_logger(__name__)

REFUSED_OPTIONS = prometheus_client.Counter(
    'jayseam_socket_options_refused',
    'Options of connections that the machine refused',
    ('option',),
)

MISSED_INPUT = prometheus_client.Counter(
    'jayseam_missed_input',
    'Input of connections of which the event loop had not told',
    ('connection',),
)

# Options of which a refusal is in the log.
_reported: set[str] = set()
# Kinds of connections of which missed input is in the log.
_reported_input: set[str] = set()


def resolve(host: str, port: int) -> list[tuple[Any, ...]]:
    """Returns the addresses of a host, as ``getaddrinfo`` does for TCP.

    gevent resolves names in threads, which a machine may refuse, for example
    by a limit on processes. Numeric addresses need none.

    >>> resolve('127.0.0.1', 80)[0][-1]
    ('127.0.0.1', 80)

    Raises:
      OSError: If the name is unknown.
    """
    arguments = host, port, 0, socket.SOCK_STREAM, socket.IPPROTO_TCP
    try:
        return socket.getaddrinfo(*arguments, flags=socket.AI_NUMERICHOST)
    except socket.gaierror:
        return gevent_socket.getaddrinfo(*arguments)


def connect(host: str, port: int) -> gevent_socket.socket:
    """Returns a socket that is connected to the first address that answers.

    Raises:
      OSError: If none answers.
    """
    last_error = OSError(f'{host} has no address')
    for family, kind, protocol, _, address in resolve(host, port):
        sock = gevent_socket.socket(family, kind, protocol)
        try:
            sock.connect(address)
            return sock
        except OSError as error:
            sock.close()
            last_error = error
        except BaseException:
            sock.close()
            raise
    raise last_error


def open_listener(
    address: tuple[str, int], backlog: int, family: int = socket.AF_INET
) -> gevent_socket.socket:
    """Returns a listening socket, for the servers of gevent.

    Where SO_REUSEADDR is refused, the address can't be bound for a minute after
    an earlier process closed connections on it.

    Raises:
      OSError: If the address can't be bound.
    """
    sock = gevent_socket.socket(family)
    try:
        _set_option(
            sock, 'reuse-address', socket.SOL_SOCKET, socket.SO_REUSEADDR
        )
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def set_nodelay(sock: socket.socket) -> None:
    """Disables Nagle's algorithm on a connected TCP socket.

    Nagle's algorithm combined with delayed acknowledgements adds about 43 ms
    to each hop of a call. Where the option is refused, the connection is used
    without it.
    """
    _set_option(sock, 'no-delay', socket.IPPROTO_TCP, socket.TCP_NODELAY)


def receive(
    sock: gevent_socket.socket,
    size: int,
    recheck_s: float,
    kind: str,
    limit_s: float = math.inf,
    read: Callable[[int], bytes] | None = None,
) -> bytes:
    """Receives bytes, whether or not the event loop tells of them.

    While nothing arrives, the socket itself is tried again and again. The
    timeout of the socket doesn't apply.

    Args:
      sock: A connected socket.
      size: Greatest number of bytes.
      recheck_s: Time after which the socket is tried again, in seconds.
      kind: What the connection is for, for the log and the metrics.
      limit_s: Time after which nothing has been received, in seconds.
      read: Reads up to so many bytes within the socket's timeout; by default
        the socket's ``recv``.

    Returns:
      At least one byte, or none at the end of the connection.

    Raises:
      TimeoutError: If nothing arrives in time.
      OSError: If the connection has failed.
    """
    read = read or sock.recv
    timeout_s = sock.gettimeout()
    try:
        while True:
            sock.settimeout(min(recheck_s, limit_s))
            try:
                return read(size)
            except TimeoutError as error:
                limit_s -= recheck_s
                # A connection that has timed out has an error number.
                if error.errno is not None:
                    raise
            sock.settimeout(0.0)
            try:
                data = read(size)
            except BlockingIOError as error:
                if limit_s <= 0:
                    raise TimeoutError('timed out') from error
                continue
            _report_missed_input(kind)
            return data
    finally:
        sock.settimeout(timeout_s)


def _report_missed_input(kind: str) -> None:
    MISSED_INPUT.labels(kind).inc()
    if kind not in _reported_input:
        _reported_input.add(kind)
        _log.warning('sockets.input_missed', extra={'connection': kind})


def shut_down(sock: socket.socket) -> None:
    """Tells the other side that a connection ends, before it is closed.

    Closing tells it only if nothing else has the descriptor open.
    """
    # A connection that has failed already needs no telling.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def drop_new_connections(listener: socket.socket) -> bool:
    """Makes the kernel drop all packets that reach a listening socket.

    Connections in the backlog remain, so that a server can accept all of them
    before it closes the socket. Without the filter, a connection that arrives
    between the last ``accept`` and ``close`` would be reset after its request
    was sent. With the filter, the connection is never established: the peer
    sends its SYN again after a second and is then refused.

    Where filters are refused, the backlog is reduced to its minimum, so that at
    most one connection can arrive in between.

    Returns:
      Whether the filter is in place.

    References:
      ``socket(7)``, SO_ATTACH_FILTER and SO_LOCK_FILTER; ``listen(2)``.
    """
    program = ctypes.create_string_buffer(_DROP_ALL_PROGRAM)
    header = struct.pack('HP', 1, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, header)
        return True
    except OSError as error:
        _log.warning('sockets.filter_refused', extra={'reason': str(error)})
    try:
        listener.listen(0)
    except OSError as error:
        _log.warning('sockets.backlog_refused', extra={'reason': str(error)})
    return False


def _set_option(
    sock: socket.socket, name: str, level: int, option: int
) -> None:
    """Sets an option to 1; counts a refusal, and logs the first one."""
    try:
        sock.setsockopt(level, option, 1)
    except OSError as error:
        REFUSED_OPTIONS.labels(name).inc()
        if name not in _reported:
            _reported.add(name)
            _log.warning(
                'sockets.option_refused',
                extra={'option': name, 'reason': str(error)},
            )
