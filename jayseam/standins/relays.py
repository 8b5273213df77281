"""Connections of the fault proxy, whose bytes can be delayed or held back."""

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
    """Copies bytes in one direction, with delay and silence."""

    def __init__(self, reader: Any, writer: Any):
        self._reader = reader
        self._writer = writer
        self._delay_s = 0.0
        self._not_silenced = event.Event()
        self._not_silenced.set()
        self._delayed_blocks: queue.Queue = queue.Queue(
            maxsize=_MAX_DELAYED_BLOCKS
        )
        self._sender: gevent.Greenlet | None = None

    def apply(self, delay_s: float, silent: bool) -> None:
        """Sets the delay and silence for the bytes that follow."""
        self._delay_s = delay_s
        if silent:
            self._not_silenced.clear()
        else:
            self._not_silenced.set()

    def copy(self) -> None:
        """Copies until the reader is closed or either socket fails."""
        try:
            while True:
                self._not_silenced.wait()
                block = self._reader.recv(_BLOCK_BYTES)
                # Silence may have begun while `recv` waited for this block.
                self._not_silenced.wait()
                self._forward_block(block)
                if not block:
                    break
            if self._sender is not None:
                self._sender.join()
        except OSError:
            pass

    def stop(self) -> None:
        """Kills the greenlet that sends delayed blocks."""
        if self._sender is not None:
            self._sender.kill()

    def _forward_block(self, block: bytes) -> None:
        if self._sender is None and not self._delay_s:
            self._write(block)
            return
        if self._sender is None:
            self._sender = gevent.spawn(self._send_delayed)
        self._delayed_blocks.put((clocks.read_now() + self._delay_s, block))

    def _send_delayed(self) -> None:
        while True:
            send_at, block = self._delayed_blocks.get()
            gevent.sleep(max(0.0, send_at - clocks.read_now()))
            self._not_silenced.wait()
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
      dead: Whether both directions stay silent until the connection is closed.

    Args:
      source: See above.
      target: See above.
      source_socket: Socket towards the source.
      target_socket: Socket towards the target.
    """

    def __init__(
        self,
        source: faultrules.Endpoint,
        target: faultrules.Endpoint,
        source_socket: Any,
        target_socket: Any,
    ):
        self.source = source
        self.target = target
        self.dead = False
        self._sockets = (source_socket, target_socket)
        self._directions = (
            _Direction(source_socket, target_socket),
            _Direction(target_socket, source_socket),
        )

    def apply(self, faults: faultrules.ConnectionFaults) -> None:
        """Applies faults; a dead connection stays silent."""
        forward, backward = self._directions
        forward.apply(faults.delay_s, self.dead or faults.forward_silent)
        backward.apply(faults.delay_s, self.dead or faults.backward_silent)

    def run(self) -> None:
        """Copies in both directions until both have ended."""
        copiers = [gevent.spawn(d.copy) for d in self._directions]
        try:
            gevent.joinall(copiers)
        finally:
            gevent.killall(copiers)
            for direction in self._directions:
                direction.stop()
            self.close(reset=False)

    def close(self, reset: bool) -> None:
        """Closes both sockets, which ends the copying."""
        for sock in self._sockets:
            try:
                if reset:
                    serving.set_reset_on_close(sock)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
