"""Connections of callers that send a request in pieces and may read slowly.

Unlike `jayseam.standins.exchanges`, they record how far an exchange came and
how its connection ended, from which checks tell whether the server had read the
request.
"""

from collections.abc import Iterable, Mapping

import attrs
import gevent
from gevent import socket
from geventhttpclient import response as responses

from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.standins import exchanges

_BLOCK_BYTES = 65536
# A caller that reads slowly has small buffers and pauses between blocks.
_SLOW_BUFFER_BYTES = 8192
_SLOW_PAUSE_S = 0.02


@attrs.define
class Exchange:
    """A request and what came back on its connection.

    Attributes:
      sent_whole_at: Time at which the last byte was handed to the kernel, in
        seconds; None if that failed.
      has_begun: Whether a byte of an answer came.
      ending: ``answer`` (a complete one), ``end`` (the server closed the
        connection in order), ``reset``, ``garbled``, ``timeout`` or
        ``unreachable`` (no connection was opened).
      status: Status of a complete answer, or 0.
      headers: Headers of a complete answer.
      body_bytes: Size of the body of a complete answer.
    """

    sent_whole_at: float | None = None
    has_begun: bool = False
    ending: str = 'timeout'
    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body_bytes: int = 0

    def is_dropped(self, ended: float, slack_s: float) -> bool:
        """Returns whether the server certainly read the request and dropped it.

        The kernel resets a connection that is closed with unread bytes. One
        that ends in order ended after the request had been read, or crossed it.

        Args:
          ended: End of the exchange in seconds.
          slack_s: Longest time, in seconds, by which a request that crosses the
            end of its connection precedes what the caller sees of it.
        """
        if self.ending != 'end' or self.sent_whole_at is None:
            return False
        return self.has_begun or ended > self.sent_whole_at + slack_s


@attrs.frozen
class Piece:
    """Bytes of a request.

    Attributes:
      data: The bytes.
      pause_s: Seconds to wait before they are sent.
    """

    data: bytes
    pause_s: float = 0.0


class Wire:
    """A keep-alive connection, opened when first needed.

    Args:
      address: Host and port.
      reads_slowly: Whether answers are read in small blocks with pauses.
    """

    def __init__(self, address: tuple[str, int], reads_slowly: bool = False):
        self._address = address
        self._reads_slowly = reads_slowly
        self._socket: socket.socket | None = None

    def exchange(
        self, method: str, pieces: Iterable[Piece], timeout_s: float
    ) -> Exchange:
        """Sends one request and receives its answer.

        The connection is closed after an incomplete answer, and after one that
        asks for it.

        Args:
          method: HTTP method.
          pieces: The whole request.
          timeout_s: Seconds for the whole exchange.
        """
        exchange = Exchange()
        with gevent.Timeout(timeout_s, False):
            self._run(exchange, method, pieces)
        if exchange.ending != 'answer':
            self.close()
        return exchange

    def close(self) -> None:
        """Closes the connection; the next exchange opens another."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _run(
        self, exchange: Exchange, method: str, pieces: Iterable[Piece]
    ) -> None:
        try:
            sock = self._get_socket()
        except OSError:
            exchange.ending = 'unreachable'
            return
        try:
            for piece in pieces:
                gevent.sleep(piece.pause_s)
                sock.sendall(piece.data)
            exchange.sent_whole_at = clocks.read_now()
        except OSError:
            # An answer that came before the whole request can still be read.
            pass
        try:
            self._receive(exchange, method, sock)
        except OSError:
            exchange.ending = 'reset'
        except responses.HTTPParseError:
            exchange.ending = 'garbled'

    def _get_socket(self) -> socket.socket:
        if self._socket is not None and exchanges.is_readable(self._socket):
            # An idle connection is readable only if the server closed it.
            self.close()
        if self._socket is None:
            sock = socket.socket()
            if self._reads_slowly:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES
                )
            self._socket = sock
            sock.connect(self._address)
            sockets.set_nodelay(sock)
        return self._socket

    def _receive(
        self, exchange: Exchange, method: str, sock: socket.socket
    ) -> None:
        parser = exchanges.AnswerParser(method=method)
        size = _SLOW_BUFFER_BYTES if self._reads_slowly else _BLOCK_BYTES
        while not parser.message_complete:
            block = sock.recv(size)
            if not block:
                exchange.ending = 'end'
                return
            exchange.has_begun = True
            parser.feed(block)
            if self._reads_slowly:
                gevent.sleep(_SLOW_PAUSE_S)
        if parser.should_close():
            self.close()
        exchange.ending = 'answer'
        exchange.status = parser.status_code
        exchange.headers = parser.info()
        exchange.body_bytes = len(parser._body_buffer)


def split(data: bytes, cuts: Iterable[int], pause_s: float) -> list[Piece]:
    """Splits a request at some positions, with pauses between the pieces.

    >>> [piece.data for piece in split(b'abcdef', [4, 1], 0.1)]
    [b'a', b'bcd', b'ef']
    """
    pieces = []
    start = 0
    for end in [*sorted(cuts), len(data)]:
        pieces.append(Piece(data[start:end], pause_s if start else 0.0))
        start = end
    return pieces


def frame_chunks(body: bytes, size_bytes: int) -> bytes:
    r"""Returns a body in chunks of a size, with the last chunk.

    >>> frame_chunks(b'abc', 2)
    b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
    """
    chunks = [body[i : i + size_bytes] for i in range(0, len(body), size_bytes)]
    framed = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks]
    return b''.join([*framed, b'0\r\n\r\n'])
