"""Signs that the other side of a TCP connection has closed it.

Machines differ in which signs they show: POLLRDHUP may be reported only
together with POLLIN or never, and polls or MSG_PEEK may be refused. Either sign
is enough, and neither is relied on.

References:
  poll(2), recv(2) on MSG_PEEK, tcp(7) on TCP_INFO.
"""

import errno
import select
import socket
from collections.abc import Callable, Iterable

import prometheus_client

from jayseam.core import logs
from jayseam.core import registries

HANG_UP = 'hang-up'
END_OF_INPUT = 'end-of-input'
TCP_STATE = 'tcp-state'
# States of a connection whose other side has sent its last byte, or that has
# ended; from the Linux header net/tcp_states.h.
_ENDED_STATES = frozenset((6, 7, 8, 9, 11))
# Errors of a connection that has failed. The kernel reports such an error to
# one read or write, and from then on the end of the input.
_FAILURES = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNREFUSED,
        errno.ECONNRESET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EPIPE,
        errno.ETIMEDOUT,
    )
)
# POLLRDHUP may be reported only where POLLIN is asked for.
_EVENTS = select.POLLIN | select.POLLRDHUP
_ENDED_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)

_log = logs.get_logger(__name__)

SIGNS_FOUND = prometheus_client.Counter(
    'jayseam_closed_connection_signs',
    'Closed connections at which a sign was or was not shown',
    ('sign', 'result'),
)

# Returns whether a connection shows a sign; None if the machine refuses to say.
Probe = Callable[[socket.socket], bool | None]

# The probes of single connections, by the name of their sign.
registry: registries.Registry[Probe] = registries.Registry(
    'sign of a closed connection'
)


def list_readable(
    connections: Iterable[socket.socket],
) -> dict[socket.socket, bool] | None:
    """Returns the connections on which poll(2) reports something.

    Args:
      connections: Connections with distinct file descriptors.

    Returns:
      Whether each of them shows the sign `HANG_UP`; None if the machine refuses
      to say.
    """
    by_descriptor = {sock.fileno(): sock for sock in connections}
    poller = select.poll()
    try:
        for descriptor in by_descriptor:
            if descriptor >= 0:
                poller.register(descriptor, _EVENTS)
        return {
            by_descriptor[descriptor]: bool(events & _ENDED_EVENTS)
            for descriptor, events in poller.poll(0)
        }
    except OSError as error:
        _report_refusal(HANG_UP, error)
        return None


@registry.register(HANG_UP)
def shows_hang_up(sock: socket.socket) -> bool | None:
    """Returns whether poll(2) reports the end of the connection."""
    found = list_readable([sock])
    return None if found is None else found.get(sock, False)


def is_failure(error: OSError) -> bool:
    """Returns whether a connection has failed, as opposed to a refused call.

    >>> is_failure(ConnectionResetError(errno.ECONNRESET, 'reset'))
    True
    >>> is_failure(PermissionError(errno.EPERM, 'refused'))
    False
    """
    return error.errno in _FAILURES


def _ignore_failure(error: OSError) -> None:
    del error


@registry.register(END_OF_INPUT)
def shows_end_of_input(
    sock: socket.socket,
    report_failure: Callable[[OSError], None] = _ignore_failure,
) -> bool | None:
    """Returns whether there is nothing to read before the end of the input.

    Bytes that were sent before the end hide it.

    Args:
      sock: A connected socket, which may be in use by another greenlet.
      report_failure: Receives the error of a failed connection. That other
        greenlet doesn't get the error any more, but an orderly end.
    """
    try:
        return peek(sock) == b''
    except OSError as error:
        if is_failure(error):
            report_failure(error)
            return True
        _report_refusal(END_OF_INPUT, error)
        return None


@registry.register(TCP_STATE)
def shows_ended_state(sock: socket.socket) -> bool | None:
    """Returns whether the state of the connection is one of an ended one."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError as error:
        _report_refusal(TCP_STATE, error)
        return None
    return bool(info) and info[0] in _ENDED_STATES


def peek(sock: socket.socket) -> bytes | None:
    """Returns the next byte, None if there is none, empty at the end.

    The socket may be in use by another greenlet, which then doesn't get the
    error of a connection that has failed.

    Raises:
      OSError: If the connection has failed, or the machine refuses MSG_PEEK.
    """
    timeout_s = sock.gettimeout()
    try:
        sock.settimeout(0.0)
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    finally:
        sock.settimeout(timeout_s)


def has_input(sock: socket.socket) -> bool | None:
    """Returns whether a read would not wait, for bytes or the end of the input.

    Returns:
      None if the machine refuses to say.
    """
    can_peek = True
    try:
        if peek(sock) is not None:
            return True
    except OSError as error:
        if is_failure(error):
            return True
        _report_refusal(END_OF_INPUT, error)
        can_peek = False
    readable = list_readable([sock])
    if readable:
        return True
    return False if can_peek or readable is not None else None


def find_sign(sock: socket.socket) -> str | None:
    """Returns the sign by which a connection is closed; None if it is open.

    The TCP state only helps to explain what a machine shows: a machine that
    tells a wrong one would have open connections taken for closed.
    """
    if sock.fileno() < 0:
        return HANG_UP
    for name in (HANG_UP, END_OF_INPUT):
        if registry.get(name)(sock):
            return name
    return None


def examine(sock: socket.socket) -> dict[str, bool | None]:
    """Returns which signs a closed connection shows, and counts them.

    A sign that is missing at a closed connection tells how the machine differs.
    """
    shown = {name: registry.get(name)(sock) for name in registry.list_names()}
    for name, is_shown in shown.items():
        result = {True: 'shown', False: 'missing', None: 'refused'}[is_shown]
        SIGNS_FOUND.labels(name, result).inc()
    return shown


# Signs of which a refusal is in the log.
_reported: set[str] = set()


def _report_refusal(name: str, error: OSError) -> None:
    # A socket that this process has closed refuses everything.
    if error.errno != errno.EBADF and name not in _reported:
        _reported.add(name)
        _log.warning(
            'hangups.sign_refused', extra={'sign': name, 'reason': str(error)}
        )
