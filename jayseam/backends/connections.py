"""A bounded pool of connections to one backend server."""

import collections
import math
import socket as std_socket
from collections.abc import Callable

from gevent import event
from gevent import socket

from jayseam.backends import errors
from jayseam.core import hangups
from jayseam.core import sockets

_BLOCK_BYTES = 65536
# Time after which a connection is tried without an event, in seconds.
_RECHECK_S = 0.25


class Connection:
    """One connected TCP socket with TCP_NODELAY set.

    Attributes:
      opened_at: Time at which the connection was opened, in seconds.
      last_used_at: Time of the last complete answer, in seconds; None before
        the first.
      answered_id: Identifier of the request that was answered last; None if
        there is none, or its answer had no body by its method.
    """

    def __init__(self, address: tuple[str, int], timeout_s: float, now: float):
        """Opens the connection.

        Raises:
          OSError: If the connection is refused or takes too long.
        """
        family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
        self.opened_at = now
        self.last_used_at: float | None = None
        self.answered_id: str | None = None
        # Error of a failure, which the kernel reports only once.
        self._failure: OSError | None = None
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            self._socket.settimeout(timeout_s)
            self._socket.connect(address)
            sockets.set_nodelay(self._socket)
        except BaseException:
            self._socket.close()
            raise

    @property
    def socket(self) -> std_socket.socket:
        """The connected socket."""
        return self._socket

    def send(self, data: bytes | memoryview, timeout_s: float) -> int:
        """Writes at least one byte; returns the number written."""
        self._socket.settimeout(timeout_s)
        try:
            return self._socket.send(data)
        except ConnectionResetError as error:
            self._record_failure(error)
            raise

    def receive(self, timeout_s: float) -> bytes:
        """Reads at least one byte; empty when the other side has closed.

        Raises:
          TimeoutError: If nothing arrives in time.
          OSError: If the connection has failed, also if the failure was found
            before.
        """
        data = sockets.receive(
            self._socket, _BLOCK_BYTES, _RECHECK_S, 'backend', timeout_s
        )
        if not data and self._failure is not None:
            raise self._failure
        return data

    def is_idle(self) -> bool:
        """Returns whether the connection is open and has nothing to read.

        Bytes that arrive without a request would be taken for the answer to
        the next request.
        """
        return not hangups.has_input(self._socket)

    def is_open(self) -> bool:
        """Returns whether the other side has not closed the connection.

        The connection may be in use by another greenlet.
        """
        is_ended = hangups.shows_end_of_input(
            self._socket, self._record_failure
        )
        if is_ended is None:
            is_ended = hangups.shows_hang_up(self._socket)
        return not is_ended

    def close(self) -> None:
        """Closes the socket; a greenlet blocked on it gets an OSError."""
        sockets.shut_down(self._socket)
        self._socket.close()

    def _record_failure(self, error: OSError) -> None:
        self._failure = error


class ConnectionPool:
    """Opens at most ``size`` connections and keeps idle ones for reuse.

    The most recently used connection is reused first, so a falling load lets
    the others reach the backend server's idle time-out.
    """

    def __init__(
        self,
        size: int,
        report_loss: Callable[[Connection], None],
    ) -> None:
        """Creates an empty pool.

        Args:
          size: Greatest number of connections open or being opened.
          report_loss: Receives a connection that was lost while idle.
        """
        self._size = size
        self._report_loss = report_loss
        # Places in use, and how many of them were handed over to waiters that
        # have not resumed yet.
        self._n_in_use = 0
        self._n_handed_over = 0
        self._idle: list[Connection] = []
        self._busy: set[Connection] = set()
        self._waiters: collections.deque[event.Event] = collections.deque()

    @property
    def in_use(self) -> int:
        """Number of connections that carry a request or are being opened."""
        return self._n_in_use

    def resize(self, size: int) -> None:
        """Changes the bound; connections in use beyond it close on return."""
        self._size = size
        self._close_excess()
        while self._waiters and self._n_in_use < self._size:
            self._n_in_use += 1
            self._hand_over_place()

    def acquire(
        self, wait_s: float, connect: Callable[[], Connection]
    ) -> Connection:
        """Returns an idle connection, or opens one.

        Args:
          wait_s: Longest wait for a place, in seconds.
          connect: Opens a connection.

        Raises:
          NotRunError: If no place is free within ``wait_s`` seconds, or as
            ``connect`` raises it.
        """
        if self._n_in_use < self._size:
            self._n_in_use += 1
        else:
            self._wait(wait_s)
        try:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_idle():
                    break
                connection.close()
                self._report_loss(connection)
            else:
                connection = connect()
            self._busy.add(connection)
            return connection
        except BaseException:
            self._release_place()
            raise

    def release(
        self, connection: Connection, reusable: bool, now: float
    ) -> None:
        """Puts a connection back into the pool after its request."""
        self._busy.discard(connection)
        if reusable:
            connection.last_used_at = now
            self._idle.append(connection)
        else:
            connection.close()
        self._release_place()
        self._close_excess()

    def has_survivor(self, lost_at: float) -> bool:
        """Returns whether a connection opened before a time is still open."""
        return any(
            connection.opened_at < lost_at and connection.is_open()
            for connection in [*self._idle, *self._busy]
        )

    def close_lost(self) -> None:
        """Closes and reports the idle connections that were lost."""
        lost = [c for c in self._idle if not c.is_idle()]
        self._idle = [c for c in self._idle if c not in lost]
        for connection in lost:
            connection.close()
            self._report_loss(connection)

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Closes the idle connections that were not used since a given time."""
        idle, self._idle = self._idle, []
        for connection in idle:
            if connection.last_used_at >= unused_since:
                self._idle.append(connection)
            else:
                connection.close()

    def _wait(self, wait_s: float) -> None:
        """Waits until a finished request hands over its place."""
        waiter = event.Event()
        self._waiters.append(waiter)
        try:
            if not waiter.wait(wait_s) and not waiter.is_set():
                raise errors.NotRunError('no-connection')
        except BaseException:
            if waiter.is_set():
                self._n_handed_over -= 1
                self._release_place()
            else:
                self._waiters.remove(waiter)
            raise
        self._n_handed_over -= 1

    def _release_place(self) -> None:
        if self._waiters and self._n_in_use <= self._size:
            self._hand_over_place()
        else:
            self._n_in_use -= 1

    def _hand_over_place(self) -> None:
        self._n_handed_over += 1
        self._waiters.popleft().set()

    def _close_excess(self) -> None:
        active = self._n_in_use - self._n_handed_over
        while self._idle and active + len(self._idle) > self._size:
            self._idle.pop(0).close()
