"""Ends calls whose callers have closed their connections."""

import itertools
import select
from typing import Any

import gevent

from jayseam.calls import errors
from jayseam.core import loops
from jayseam.core import tickers

# Key of a connection's socket in a WSGI environment.
SOCKET_KEY = 'jayseam.socket'
_POLL_S = 0.1
_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP


class DisconnectMonitor:
    """Interrupts calls whose callers have closed their connections.

    Polling all connections every 100 ms costs less on the call path than a
    watcher for each call.
    """

    def __init__(self):
        # File descriptor and greenlet by handle; a connection may have several
        # calls.
        self._watched: dict[int, tuple[int, gevent.Greenlet]] = {}
        self._handles = itertools.count()
        self._greenlet: gevent.Greenlet | None = None

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
        handle = next(self._handles)
        descriptor = environ[SOCKET_KEY].fileno()
        self._watched[handle] = descriptor, gevent.getcurrent()
        return handle

    def unwatch(self, handle: int) -> None:
        """Stops watching a caller's connection."""
        self._watched.pop(handle, None)

    def _run(self) -> None:
        while True:
            tickers.sleep_until_tick(_POLL_S)
            if self._watched:
                self._interrupt_disconnected()

    def _interrupt_disconnected(self) -> None:
        poller = select.poll()
        for descriptor, _ in self._watched.values():
            poller.register(descriptor, _EVENTS)
        ended = {descriptor for descriptor, _ in poller.poll(0)}
        for handle, (descriptor, greenlet) in list(self._watched.items()):
            if descriptor in ended:
                del self._watched[handle]
                greenlet.kill(
                    errors.CallerGoneError('the caller disconnected'),
                    block=False,
                )
