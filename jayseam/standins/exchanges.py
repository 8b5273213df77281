"""HTTP exchanges over one connection, without automatic retries.

``geventhttpclient.HTTPClient`` resends GET, PUT and DELETE requests when a
connection closes. A test that counts runs must know of every request, so this
module uses only the response parser of that library.
"""

import json
import select
from collections.abc import Mapping
from typing import Any

import attrs
import gevent
from gevent import socket
from geventhttpclient import response as responses

from jayseam.core import sockets
from jayseam.standins import errors

_BLOCK_BYTES = 65536


@attrs.frozen
class Answer:
    """A complete HTTP answer.

    Attributes:
      status: HTTP status code.
      headers: Header values; lookup ignores case.
      body: The complete body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def decode(self) -> Any:
        """Returns the body decoded as JSON."""
        return json.loads(self.body)


class AnswerParser(responses.HTTPResponse):
    """Parses one answer; bytes after it belong to no request.

    A node that stops sends a refusal on connections that it takes for idle. The
    caller may not have read the answer before it, and finds both at once.
    """

    def feed(self, data: bytes) -> None:
        """Parses the next bytes.

        Raises:
          HTTPParseError: If they belong to no answer.
        """
        try:
            super().feed(data)
        except responses.HTTPParseError:
            if not self.message_complete:
                raise

    def _on_message_begin(self) -> None:
        if self.message_complete:
            raise responses.HTTPParseError('a second answer')
        super()._on_message_begin()


class Connection:
    """A keep-alive connection to one address, opened when first needed."""

    def __init__(self, host: str, port: int):
        self.address = (host, port)
        self._socket: socket.socket | None = None

    def exchange(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
        timeout_s: float = 5.0,
    ) -> Answer:
        """Sends one request and returns its complete answer.

        The connection is closed after every error, and after an answer that
        asks for it.

        Args:
          method: HTTP method.
          path: Request target, starting with a slash.
          headers: Headers besides Content-Length. The default of Host is the
            address.
          body: Body of the request.
          timeout_s: Seconds for the whole exchange, connecting included.

        Raises:
          ExchangeError: If no complete answer arrived. Its attribute `sent`
            is true if the request may have reached the server.
        """
        sent = False
        timer = gevent.Timeout(timeout_s)
        try:
            with timer:
                connection = self._get_socket()
                request = self._format_request(method, path, headers, body)
                sent = True
                connection.sendall(request)
                return self._receive_answer(connection, method)
        except gevent.Timeout as error:
            self.close()
            if error is not timer:
                raise
            raise errors.ExchangeError('timeout', sent) from error
        except (OSError, responses.HTTPParseError) as error:
            self.close()
            text = f'{type(error).__name__}: {error}'
            raise errors.ExchangeError(text, sent) from error

    def close(self) -> None:
        """Closes the connection; the next exchange opens another."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _get_socket(self) -> socket.socket:
        if self._socket is not None and is_readable(self._socket):
            # An idle connection is readable only if the server closed it.
            self.close()
        if self._socket is None:
            self._socket = socket.create_connection(self.address)
            sockets.set_nodelay(self._socket)
        return self._socket

    def _format_request(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> bytes:
        lines = [f'{method} {path} HTTP/1.1']
        if 'Host' not in headers:
            lines.append(f'Host: {self.address[0]}:{self.address[1]}')
        lines.extend(f'{name}: {value}' for name, value in headers.items())
        if body or method in ('POST', 'PUT', 'PATCH'):
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body

    def _receive_answer(self, connection: socket.socket, method: str) -> Answer:
        parser = AnswerParser(method=method)
        while not parser.message_complete:
            block = connection.recv(_BLOCK_BYTES)
            if not block:
                raise ConnectionError('connection closed before the answer')
            parser.feed(block)
        if parser.should_close():
            self.close()
        body = bytes(parser._body_buffer)
        return Answer(parser.status_code, parser.info(), body)


def is_readable(sock: socket.socket) -> bool:
    """Returns whether a read from the socket would not block."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def exchange_once(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer:
    """Sends one request over a connection of its own.

    The arguments are those of `Connection.exchange`.

    Raises:
      ExchangeError: If no complete answer arrived.
    """
    connection = Connection(*address)
    try:
        return connection.exchange(method, path, headers or {}, body, timeout_s)
    finally:
        connection.close()


def call_control(
    address: tuple[str, int],
    path: str,
    body: Mapping[str, Any] | None = None,
    timeout_s: float = 10.0,
) -> Any:
    """Calls a control listener and returns the decoded JSON answer.

    Args:
      address: Host and port of the control listener.
      path: Path of the action, such as ``/control/publish``.
      body: JSON body of a POST request; None sends a GET request.
      timeout_s: Seconds for the whole exchange.

    Raises:
      ControlError: If the action was refused or no answer arrived.
    """
    method = 'GET' if body is None else 'POST'
    data = b'' if body is None else json.dumps(body).encode()
    try:
        answer = exchange_once(address, method, path, {}, data, timeout_s)
    except errors.ExchangeError as error:
        raise errors.ControlError(f'{path}: {error}') from error
    if answer.status != 200:
        text = answer.body.decode(errors='replace')
        raise errors.ControlError(f'{path}: {answer.status} {text}')
    return answer.decode()
