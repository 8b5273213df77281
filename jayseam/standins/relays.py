"""Connections of the fault proxy: bytes copied with delay and silence."""

from typing import Any

import gevent
from gevent import event
from gevent import queue
from gevent import socket

from jayseam.core import clocks
from jayseam.standins import faultrules
from jayseam.standins import serving

_BLOCK_BYTES = 65536
_MAX_DELAYED_BLOCKS = 1024


class _Direction:
    """Copies bytes one way, with delay and silence."""

    def __init__(self, reader: Any, writer: Any):
        self._reader = reader
        self._writer = writer
        self._delay_s = 0.0
        self._audible = event.Event()
        self._audible.set()
        self._delayed: queue.Queue = queue.Queue(maxsize=_MAX_DELAYED_BLOCKS)
        self._sender: gevent.Greenlet | None = None

    def apply(self, delay_s: float, silent: bool) -> None:
        """Sets the delay and silence from now on."""
        self._delay_s = delay_s
        if silent:
            self._audible.clear()
        else:
            self._audible.set()

    def copy(self) -> None:
        """Copies until the reader closes or either end fails."""
        try:
            while True:
                self._audible.wait()
                block = self._reader.recv(_BLOCK_BYTES)
                # Silence may have begun during the wait for this block.
                self._audible.wait()
                self._pass_on(block)
                if not block:
                    break
            if self._sender is not None:
                self._sender.join()
        except OSError:
            pass

    def stop(self) -> None:
        """Ends the greenlet that sends delayed blocks."""
        if self._sender is not None:
            self._sender.kill()

    def _pass_on(self, block: bytes) -> None:
        if self._sender is None and not self._delay_s:
            self._write(block)
            return
        if self._sender is None:
            self._sender = gevent.spawn(self._send_delayed)
        self._delayed.put((clocks.read_now() + self._delay_s, block))

    def _send_delayed(self) -> None:
        while True:
            due, block = self._delayed.get()
            gevent.sleep(max(0.0, due - clocks.read_now()))
            self._audible.wait()
            try:
                self._write(block)
            except OSError:
                return
            if not block:
                return

    def _write(self, block: bytes) -> None:
        if block:
            self._writer.sendall(block)
        else:
            self._writer.shutdown(socket.SHUT_WR)


class Relay:
    """One proxied connection.

    Attributes:
      source: The endpoint that connected.
      target: The endpoint that was connected to.
      dead: Whether it stays silent for good.

    Args:
      source: See above.
      target: See above.
      near: Socket towards the source.
      far: Socket towards the target.
    """

    def __init__(
        self,
        source: faultrules.Endpoint,
        target: faultrules.Endpoint,
        near: Any,
        far: Any,
    ):
        self.source = source
        self.target = target
        self.dead = False
        self._sockets = (near, far)
        self._directions = (_Direction(near, far), _Direction(far, near))

    def apply(self, condition: faultrules.Condition) -> None:
        """Puts a condition in force; a dead connection stays silent."""
        forward, backward = self._directions
        forward.apply(condition.delay_s, self.dead or condition.forward_silent)
        backward.apply(
            condition.delay_s, self.dead or condition.backward_silent
        )

    def run(self) -> None:
        """Copies both ways until both ends have closed or one failed."""
        pumps = [gevent.spawn(d.copy) for d in self._directions]
        try:
            gevent.joinall(pumps)
        finally:
            gevent.killall(pumps)
            for direction in self._directions:
                direction.stop()
            self.close(reset=False)

    def close(self, reset: bool) -> None:
        """Closes both sockets, which ends the pumps."""
        for sock in self._sockets:
            try:
                if reset:
                    serving.set_reset_on_close(sock)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
