"""Servers that hold a limited number of connections open."""

import select
from typing import Any

import prometheus_client
from gevent import pywsgi

from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.node import refusals

CONNECTIONS = prometheus_client.Gauge(
    'jayseam_connections_open',
    'Connections that are open, by listener.',
    ['listener'],
)
MAX_CONNECTIONS = prometheus_client.Gauge(
    'jayseam_connections_allowed',
    'Connections that may be open, by listener.',
    ['listener'],
)


class LimitedServer(pywsgi.WSGIServer):
    """A server that holds a limited number of connections.

    At the limit it closes connections that a subclass chooses, and pauses
    accepting until one has ended. Connections wait in the backlog meanwhile.

    Args:
      *args: Arguments of the server of gevent.
      listener_name: Name in metrics and the log.
      max_connections: Most open connections; None for no limit.
      **options: Further arguments of the server of gevent.

    Attributes:
      refusal_log: Reports refusals of this server.
      max_connections: Most open connections; None for no limit.
      is_paused: Whether it doesn't accept connections until one has ended.
    """

    def __init__(
        self,
        *args: Any,
        listener_name: str = '',
        max_connections: int | None = None,
        **options: Any,
    ):
        super().__init__(*args, **options)
        self.refusal_log = refusals.RefusalLog(listener_name)
        self.is_paused = False
        self._listener_name = listener_name
        self.max_connections = max_connections
        self._connections: dict[Any, None] = {}
        if max_connections is not None:
            MAX_CONNECTIONS.labels(listener_name).set(max_connections)

    @classmethod
    def get_listener(cls, address, backlog=None, family=None):
        """Returns the listening socket."""
        return sockets.open_listener(address, backlog, family)

    def has_backlog(self) -> bool:
        """Returns whether a connection waits to be accepted."""
        poller = select.poll()
        poller.register(self.socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def make_room(self) -> None:
        """Begins to close connections in favour of new ones."""

    def remove_limit(self) -> None:
        """Accepts all connections, as is needed to empty the backlog."""
        self.max_connections = None

    def get_oldest_connection(self) -> Any:
        """Returns the connection that was accepted first; None if none is."""
        return next(iter(self._connections), None)

    def full(self) -> bool:
        """Returns whether waiting connections may not be accepted.

        If so, it makes room for them.
        """
        if self._has_room() or not self.has_backlog():
            return False
        self.make_room()
        if self._has_room():
            return False
        if not self.is_paused:
            self.is_paused = True
            self.refusal_log.record(
                refusals.ACCEPTING_PAUSED, clocks.read_now()
            )
        return True

    def do_handle(self, *args: Any) -> None:
        """Counts an accepted connection and serves it."""
        self._connections[args[0]] = None
        CONNECTIONS.labels(self._listener_name).set(len(self._connections))
        super().do_handle(*args)

    def do_close(self, sock: Any, *args: Any) -> None:
        """Closes a served connection, and accepts others again."""
        super().do_close(sock, *args)
        self._connections.pop(sock, None)
        CONNECTIONS.labels(self._listener_name).set(len(self._connections))
        if self.is_paused and self._has_room():
            self.is_paused = False
            if self.started:
                self.start_accepting()

    def _has_room(self) -> bool:
        return (
            self.max_connections is None
            or len(self._connections) < self.max_connections
        )
