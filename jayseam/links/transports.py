"""Websocket connections on gevent sockets.

The websockets library parses and builds frames; this module does the I/O.
Compression is off: bodies are small or already compressed, and a compression
context would take memory for each link.

References:
  RFC 6455 (The WebSocket Protocol).
"""

import collections
import contextlib

from gevent import socket
from websockets import client
from websockets import exceptions
from websockets import frames as websocket_frames
from websockets import protocol as websocket_protocol
from websockets import server
from websockets import uri

from jayseam.core import sockets
from jayseam.links import errors
from jayseam.links import frames

READ_BYTES = 65536
# Bytes that a connection may send before it is authenticated.
MAX_HANDSHAKE_BYTES = 8192
# Time after which a link is tried without an event, in seconds. A node of a
# large fleet has many idle links.
_RECHECK_S = 1.0
_PATH = '/link'
_MASK_BYTES = 4
_Opcode = websocket_frames.Opcode


class Transport:
    """A websocket connection whose methods block only the calling greenlet.

    Args:
      sock: A connected gevent socket; the transport takes ownership of it.
      protocol: The websockets protocol object of this side.

    Attributes:
      sock: The socket.
      remaining_handshake_bytes: Bytes that may still be read before
        authentication; None once authenticated.
      control_bytes: Bytes of the control frames received since the owner last
        reset this count.
    """

    def __init__(
        self, sock: socket.socket, protocol: websocket_protocol.Protocol
    ):
        sockets.set_nodelay(sock)
        self.sock = sock
        self.remaining_handshake_bytes: int | None = MAX_HANDSHAKE_BYTES
        self.control_bytes = 0
        self._protocol = protocol
        self._payloads: collections.deque[bytes] = collections.deque()
        self._failure: Exception | None = None

    def receive(self) -> list[bytes]:
        """Waits for bytes and returns the complete payloads.

        The list is empty if only control frames or part of a frame arrived.

        Raises:
          TransportClosedError: If the connection has ended.
          ProtocolError: If the peer broke the websocket protocol.
        """
        if not self._payloads:
            self._read()
        payloads = list(self._payloads)
        self._payloads.clear()
        return payloads

    def receive_one(self) -> bytes:
        """Waits for one payload and returns it; others stay queued.

        Raises:
          TransportClosedError: If the connection has ended.
          ProtocolError: If the peer broke the websocket protocol.
        """
        while not self._payloads:
            self._read()
        return self._payloads.popleft()

    def encode(self, payload: bytes) -> bytes:
        """Returns the websocket frame of a binary payload.

        Raises:
          TransportClosedError: If the websocket is closing.
        """
        try:
            self._protocol.send_binary(payload)
        except exceptions.InvalidState as error:
            raise errors.TransportClosedError('peer_closed') from error
        return b''.join(self._protocol.data_to_send())

    def encode_ping(self) -> bytes:
        """Returns a ping frame without payload.

        Raises:
          TransportClosedError: If the websocket is closing.
        """
        try:
            self._protocol.send_ping(b'')
        except exceptions.InvalidState as error:
            raise errors.TransportClosedError('peer_closed') from error
        return b''.join(self._protocol.data_to_send())

    def pop_control_frames(self) -> bytes:
        """Returns and removes the control frames to send, such as pongs."""
        return b''.join(self._protocol.data_to_send())

    def send_nowait(self, data: bytes) -> int:
        """Writes without blocking and returns the number of bytes written.

        Raises:
          TransportClosedError: If the connection has ended.
        """
        try:
            return self.sock.send(data, 0, timeout=0.0)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise errors.TransportClosedError('reset') from error

    def send_partial(self, data: memoryview) -> int:
        """Waits until the socket is writable and writes as much as it accepts.

        Returns:
          The number of bytes written; zero if it has to be tried again.

        Raises:
          TransportClosedError: If the connection has ended.
        """
        try:
            return self.sock.send(data)
        except TimeoutError as error:
            if error.errno is None:
                # The reader's time between two tries holds for writes, too.
                return 0
            raise errors.TransportClosedError('reset') from error
        except OSError as error:
            raise errors.TransportClosedError('reset') from error

    def send_all(self, payload: bytes) -> None:
        """Writes one binary payload completely; used during the handshake.

        Raises:
          TransportClosedError: If the connection has ended.
        """
        self._flush(self.encode(payload))

    def close(self) -> None:
        """Closes the socket, after a close frame if it needs no waiting."""
        with contextlib.suppress(OSError, exceptions.WebSocketException):
            self._protocol.fail(websocket_frames.CloseCode.GOING_AWAY)
            self.sock.send(self.pop_control_frames(), 0, timeout=0.0)
        self.abort()

    def shut_down_writing(self) -> None:
        """Shuts down writing; the peer closes after reading everything."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Closes the socket without a close frame."""
        sockets.shut_down(self.sock)
        self.sock.close()

    def _flush(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise errors.TransportClosedError('reset') from error

    def _read(self) -> None:
        for event in self._read_events():
            if not isinstance(event, websocket_frames.Frame):
                self._failure = errors.ProtocolError('unexpected HTTP message')
            elif event.opcode is _Opcode.BINARY and event.fin:
                self._payloads.append(event.data)
            elif event.opcode is _Opcode.CLOSE:
                self._failure = errors.TransportClosedError('peer_closed')
            elif event.opcode in (_Opcode.PING, _Opcode.PONG):
                is_masked = self._protocol.side is websocket_protocol.SERVER
                self.control_bytes += compute_frame_size(
                    len(event.data), is_masked
                )
            else:
                self._failure = errors.ProtocolError('unexpected frame type')

    def _read_events(self) -> list:
        if self._failure is not None:
            raise self._failure
        # Frames may directly follow the handshake, so the limit applies to the
        # bytes read before authentication, not to those that have arrived.
        size = (
            READ_BYTES
            if self.remaining_handshake_bytes is None
            else self.remaining_handshake_bytes
        )
        if size == 0:
            raise errors.HandshakeError('handshake exceeds the size limit')
        try:
            data = sockets.receive(self.sock, size, _RECHECK_S, 'link')
        except OSError as error:
            raise errors.TransportClosedError('reset') from error
        if not data:
            raise errors.TransportClosedError('peer_closed')
        if self.remaining_handshake_bytes is not None:
            self.remaining_handshake_bytes -= len(data)
        self._protocol.receive_data(data)
        problem = self._protocol.parser_exc
        if isinstance(problem, exceptions.PayloadTooBig):
            self._failure = errors.TooLargeError(str(problem))
        elif problem is not None and not isinstance(problem, EOFError):
            self._failure = errors.ProtocolError(str(problem))
        return self._protocol.events_received()

    def _read_http(self) -> object:
        while True:
            events = self._read_events()
            if events:
                return events[0]
            if self._protocol.handshake_exc is not None:
                raise errors.HandshakeError(str(self._protocol.handshake_exc))

    def _upgrade_as_client(self) -> None:
        self._protocol.send_request(self._protocol.connect())
        self._flush(self.pop_control_frames())
        self._read_http()
        if self._protocol.handshake_exc is not None:
            raise errors.HandshakeError(str(self._protocol.handshake_exc))

    def _upgrade_as_server(self) -> None:
        request = self._read_http()
        response = self._protocol.accept(request)
        self._protocol.send_response(response)
        self._flush(self.pop_control_frames())
        if response.status_code != 101:
            raise errors.HandshakeError('websocket upgrade refused')


def compute_frame_size(payload_size: int, is_masked: bool) -> int:
    """Returns the size of a websocket frame with its header, in bytes.

    >>> compute_frame_size(100, is_masked=True)
    106
    """
    extended = 0 if payload_size < 126 else 2 if payload_size < 65536 else 8
    return payload_size + 2 + extended + (_MASK_BYTES if is_masked else 0)


def dial(host: str, port: int) -> Transport:
    """Connects to ``host``:``port`` and upgrades to a websocket.

    The caller sets a timeout, for example with ``gevent.Timeout``.

    Raises:
      TransportClosedError: If no connection can be made.
      HandshakeError: If the other side refuses the upgrade.
    """
    try:
        sock = sockets.connect(host, port)
    except OSError as error:
        raise errors.TransportClosedError('unreachable') from error
    authority = f'[{host}]' if ':' in host else host
    protocol = client.ClientProtocol(
        uri.parse_uri(f'ws://{authority}:{port}{_PATH}'),
        max_size=frames.MAX_FRAME_BYTES,
    )
    transport = Transport(sock, protocol)
    try:
        transport._upgrade_as_client()
    except BaseException:
        transport.abort()
        raise
    return transport


def accept(sock: socket.socket) -> Transport:
    """Upgrades an accepted socket to a websocket.

    The caller sets a timeout and closes the socket after an error.

    Raises:
      TransportClosedError: If the connection ends.
      HandshakeError: If the peer does not request a websocket.
    """
    protocol = server.ServerProtocol(max_size=frames.MAX_FRAME_BYTES)
    transport = Transport(sock, protocol)
    transport._upgrade_as_server()
    return transport
