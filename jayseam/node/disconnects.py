"""Ends calls whose callers have closed their connections.

A closed connection is found in two ways that share neither a timer nor a call
of the system: a periodic look at all connections with calls, and the reader of
a connection, which the event loop tells of the end of its input. The periodic
look itself knows several signs; see `jayseam.core.hangups`.
"""

import itertools
from collections.abc import Collection
from typing import Any

import attrs
import gevent
import prometheus_client
from gevent import socket

from jayseam.calls import errors
from jayseam.core import clocks
from jayseam.core import hangups
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import tickers
from jayseam.node import pipelines

# Key of a connection's socket in a WSGI environment.
SOCKET_KEY = 'jayseam.socket'
# The sign by which the reader of a connection finds its end.
READ_END = 'read'
_POLL_S = 0.1
# Each so many polls, all connections are examined for all signs. The deadline
# for ending the work of a caller that has left is 0.5 s.
_POLLS_PER_EXAMINATION = 2

CALLERS_GONE = prometheus_client.Counter(
    'jayseam_callers_gone',
    'Calls whose callers had closed their connections, by the sign found first',
    ('sign',),
)

_log = logs.get_logger(__name__)


@attrs.frozen
class _Watch:
    """A call whose caller is watched.

    Attributes:
      connection: Socket of the caller's connection.
      greenlet: Greenlet of the call.
      began_at: Time from which it is watched, in seconds.
    """

    connection: socket.socket
    greenlet: gevent.Greenlet
    began_at: float


class DisconnectMonitor:
    """Interrupts calls whose callers have closed their connections.

    Polling all connections every 100 ms costs less on the call path than a
    watcher for each call.
    """

    def __init__(self):
        # By handle; a connection may have several calls.
        self._watched: dict[int, _Watch] = {}
        # Handles of calls that the event loop is about to interrupt.
        self._interrupted: set[int] = set()
        self._handles = itertools.count()
        self._greenlet: gevent.Greenlet | None = None
        # Signs other than that of the poll that are in the log.
        self._reported: set[str] = set()

    def start(self) -> None:
        """Starts the periodic poll."""
        self._greenlet = loops.spawn_loop(self._run)

    def stop(self) -> None:
        """Ends the periodic poll."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def watch(self, environ: dict[str, Any]) -> int:
        """Watches the connection of the current greenlet's caller.

        Returns:
          A handle for `unwatch`.
        """
        exchange = environ.get(pipelines.EXCHANGE_KEY)
        handle = next(self._handles)
        self._watched[handle] = _Watch(
            environ[SOCKET_KEY], gevent.getcurrent(), clocks.read_now()
        )
        if exchange is not None:
            exchange.notify_of_end(self.report_end)
        return handle

    def check(self, environ: dict[str, Any]) -> None:
        """Checks the connection of a caller whose call has not begun.

        A node that is behind reads requests that were sent long ago.

        Raises:
          CallerGoneError: If the caller has closed its connection.
        """
        connection = environ[SOCKET_KEY]
        sign = hangups.find_sign(connection)
        if sign is None:
            return
        signs = hangups.examine(connection)
        self._report_other_sign(sign, signs)
        CALLERS_GONE.labels(sign).inc()
        raise errors.CallerGoneError(
            'the caller disconnected', sign=sign, signs=signs, watched_s=0.0
        )

    def unwatch(self, handle: int) -> None:
        """Stops watching a caller's connection."""
        self._watched.pop(handle, None)
        self._interrupted.discard(handle)

    def report_end(self, connection: socket.socket) -> None:
        """Interrupts the calls of a connection whose input has ended."""
        self._interrupt(connection, READ_END, clocks.read_now())

    def _run(self) -> None:
        for number in itertools.count():
            tickers.sleep_until_tick(_POLL_S)
            if self._watched:
                is_examination = number % _POLLS_PER_EXAMINATION == 0
                self._interrupt_disconnected(is_examination, clocks.read_now())

    def _interrupt_disconnected(self, is_examination: bool, now: float) -> None:
        """Looks for closed connections.

        Args:
          is_examination: Whether connections without an event are examined
            too.
          now: Present time in seconds.
        """
        connections = {watch.connection for watch in self._watched.values()}
        for connection, sign in _find_closed(connections, is_examination):
            self._interrupt(connection, sign, now)

    def _interrupt(
        self, connection: socket.socket, sign: str, now: float
    ) -> None:
        ended = [
            (handle, watch)
            for handle, watch in self._watched.items()
            if watch.connection is connection
        ]
        if not ended:
            return
        signs = hangups.examine(connection)
        self._report_other_sign(sign, signs)
        for handle, watch in ended:
            del self._watched[handle]
            CALLERS_GONE.labels(sign).inc()
            error = errors.CallerGoneError(
                'the caller disconnected',
                sign=sign,
                signs=signs,
                watched_s=now - watch.began_at,
            )
            self._interrupted.add(handle)
            gevent.get_hub().loop.run_callback(
                self._throw, handle, watch.greenlet, error
            )

    def _throw(
        self,
        handle: int,
        greenlet: gevent.Greenlet,
        error: errors.CallerGoneError,
    ) -> None:
        """Ends a call from the event loop, unless it has ended meanwhile."""
        if handle in self._interrupted:
            self._interrupted.discard(handle)
            greenlet.throw(error)

    def _report_other_sign(
        self, sign: str, signs: dict[str, bool | None]
    ) -> None:
        """Logs once that the poll alone would not have found a connection."""
        if signs.get(hangups.HANG_UP) or sign in self._reported:
            return
        self._reported.add(sign)
        _log.warning(
            'callers.end_not_reported', extra={'sign': sign, 'signs': signs}
        )


def _find_closed(
    connections: Collection[socket.socket], is_examination: bool
) -> list[tuple[socket.socket, str]]:
    """Returns the closed connections with the sign by which they were found."""
    reported = hangups.list_readable(connections)
    closed = []
    for connection in connections:
        is_ended = reported.get(connection) if reported is not None else None
        if is_ended:
            closed.append((connection, hangups.HANG_UP))
        elif is_ended is False or reported is None or is_examination:
            # A caller's next request makes a connection readable, too.
            sign = hangups.find_sign(connection)
            if sign is not None:
                closed.append((connection, sign))
    return closed
