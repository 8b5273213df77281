"""A bounded pool of connections to one backend server."""

import collections
import math
import select
import socket as std_socket
from collections.abc import Callable

from gevent import event
from gevent import socket

from jayseam.backends import errors
from jayseam.core import sockets

_BLOCK_BYTES = 65536


class Connection:
    """One connected TCP socket with TCP_NODELAY set.

    Attributes:
      opened_at: Time at which the connection was opened, in seconds.
      used_at: Time of the last whole answer, in seconds; None before it.
    """

    def __init__(self, address: tuple[str, int], timeout_s: float, now: float):
        """Connects.

        Raises:
          OSError: If the connection is refused or takes too long.
        """
        family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
        self.opened_at = now
        self.used_at: float | None = None
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            self._socket.settimeout(timeout_s)
            self._socket.connect(address)
            sockets.set_nodelay(self._socket)
            self._poller = select.poll()
            self._poller.register(self._socket.fileno(), select.POLLIN)
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
        return self._socket.send(data)

    def receive(self, timeout_s: float) -> bytes:
        """Reads at least one byte; empty when the other side has closed."""
        self._socket.settimeout(timeout_s)
        return self._socket.recv(_BLOCK_BYTES)

    def is_idle(self) -> bool:
        """Tells whether the connection is open with nothing to read.

        Bytes that arrive without a request would be taken for the answer to
        the next one.
        """
        return not self._poller.poll(0)

    def is_open(self) -> bool:
        """Tells whether the other side has not closed the connection.

        The connection may be in use by another greenlet.
        """
        return self._peek() != b''

    def _peek(self) -> bytes | None:
        """Returns the next byte if there is one, empty bytes at the end."""
        timeout_s = self._socket.gettimeout()
        try:
            self._socket.settimeout(0.0)
            return self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b''
        finally:
            # A greenlet that waits on the socket keeps its time-out.
            self._socket.settimeout(timeout_s)

    def close(self) -> None:
        """Closes the socket; a greenlet blocked on it gets an OSError."""
        self._socket.close()


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
        # Places in use; some were handed to waiters that have not resumed.
        self._taken = 0
        self._handed = 0
        self._idle: list[Connection] = []
        self._busy: set[Connection] = set()
        self._waiters: collections.deque[event.Event] = collections.deque()

    @property
    def in_use(self) -> int:
        """Number of connections that carry a request or are being opened."""
        return self._taken

    def resize(self, size: int) -> None:
        """Changes the bound; connections in use beyond it close on return."""
        self._size = size
        self._trim()
        while self._waiters and self._taken < self._size:
            self._taken += 1
            self._hand_over()

    def take(
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
        if self._taken < self._size:
            self._taken += 1
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
            self._leave()
            raise

    def give_back(
        self, connection: Connection, reusable: bool, now: float
    ) -> None:
        """Returns a connection after its request."""
        self._busy.discard(connection)
        if reusable:
            connection.used_at = now
            self._idle.append(connection)
        else:
            connection.close()
        self._leave()
        self._trim()

    def has_survivor(self, lost_at: float) -> bool:
        """Tells whether a connection from before ``lost_at`` is still open."""
        return any(
            connection.opened_at < lost_at and connection.is_open()
            for connection in [*self._idle, *self._busy]
        )

    def drop_lost(self) -> None:
        """Closes and reports the idle connections that were lost."""
        lost = [c for c in self._idle if not c.is_idle()]
        self._idle = [c for c in self._idle if c not in lost]
        for connection in lost:
            connection.close()
            self._report_loss(connection)

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Closes the idle connections that were not used since a time."""
        idle, self._idle = self._idle, []
        for connection in idle:
            if connection.used_at >= unused_since:
                self._idle.append(connection)
            else:
                connection.close()

    def _wait(self, wait_s: float) -> None:
        """Waits until a leaving request hands its place over."""
        waiter = event.Event()
        self._waiters.append(waiter)
        try:
            if not waiter.wait(wait_s) and not waiter.is_set():
                raise errors.NotRunError('no-connection')
        except BaseException:
            if waiter.is_set():
                self._handed -= 1
                self._leave()
            else:
                self._waiters.remove(waiter)
            raise
        self._handed -= 1

    def _leave(self) -> None:
        if self._waiters and self._taken <= self._size:
            self._hand_over()
        else:
            self._taken -= 1

    def _hand_over(self) -> None:
        self._handed += 1
        self._waiters.popleft().set()

    def _trim(self) -> None:
        active = self._taken - self._handed
        while self._idle and active + len(self._idle) > self._size:
            self._idle.pop(0).close()
