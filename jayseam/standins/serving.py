"""WSGI servers of the stand-ins, and their control listeners."""

import json
import struct
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from gevent import pool
from gevent import pywsgi
from gevent import socket

from jayseam.core import sockets
from jayseam.standins import errors

# Key of the connection's socket in the environment of a request.
SOCKET_KEY = 'standins.socket'
Action = Callable[[dict[str, Any]], Any]
StartResponse = Callable[..., Any]

_REASONS = {
    200: 'OK',
    304: 'Not Modified',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class AbortError(errors.StandinError):
    """Raised by an application to close the connection without an answer.

    Attributes:
      reset: Whether the peer sees a reset instead of an orderly close.
    """

    def __init__(self, reset: bool):
        super().__init__('connection aborted')
        self.reset = reset


def set_reset_on_close(sock: Any) -> None:
    """Makes a TCP socket send a reset when it is closed."""
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset_connection(sock: Any) -> None:
    """Closes a TCP socket with a reset."""
    set_reset_on_close(sock)
    sock.close()


class _Handler(pywsgi.WSGIHandler):
    """Closes the connection when the application raises `AbortError`."""

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket of the connection."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def run_application(self) -> None:
        try:
            super().run_application()
        except AbortError as error:
            self.close_connection = True
            self.status = 'aborted'
            if error.reset:
                set_reset_on_close(self.socket)


class Server(pywsgi.WSGIServer):
    """A WSGI server with TCP_NODELAY, whose stop closes its connections.

    Args:
      address: Host and port to listen on.
      application: A WSGI application.
    """

    def __init__(self, address: tuple[str, int], application: Any):
        super().__init__(
            address,
            application,
            log=None,
            error_log=None,
            handler_class=_Handler,
            spawn=pool.Pool(),
        )
        self._open_sockets: set[Any] = set()

    def handle(self, sock: Any, address: Any) -> None:
        """Serves an accepted connection until it is closed."""
        sockets.set_nodelay(sock)
        self._open_sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._open_sockets.discard(sock)

    def stop_at_once(self, reset: bool = False) -> None:
        """Stops listening and closes every connection.

        Args:
          reset: Whether peers see resets instead of orderly closes.
        """
        if reset:
            for sock in list(self._open_sockets):
                set_reset_on_close(sock)
        self.stop(timeout=0)


def send_answer(
    start_response: StartResponse,
    status: int,
    body: bytes = b'',
    headers: Iterable[tuple[str, str]] = (),
    content_type: str = 'application/octet-stream',
) -> list[bytes]:
    """Starts a WSGI answer and returns its body as a list of blocks."""
    fields = [('Content-Type', content_type), *headers]
    if status != 304:
        fields.append(('Content-Length', str(len(body))))
    reason = _REASONS.get(status, 'Status')
    start_response(f'{status:03} {reason}', fields)
    return [body]


def send_json(
    start_response: StartResponse,
    status: int,
    value: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answers with ``value`` as JSON."""
    data = json.dumps(value).encode()
    return send_answer(
        start_response, status, data, headers, 'application/json'
    )


def parse_query(environ: Mapping[str, Any]) -> dict[str, str]:
    """Returns the query parameters; the last value of a name is used."""
    query = environ.get('QUERY_STRING', '')
    return dict(urllib.parse.parse_qsl(query)) if query else {}


class ControlServer:
    """Serves named actions as JSON over HTTP.

    An action takes the query (GET) or the JSON body (POST) as a dict and
    returns a JSON value. A `ControlError`, `KeyError`, `TypeError` or
    `ValueError` is answered with status 400 and the error message.

    Args:
      address: Host and port to listen on.
      actions: Functions by path, such as ``/control/counts``.
    """

    def __init__(self, address: tuple[str, int], actions: Mapping[str, Action]):
        self._actions = dict(actions)
        self._server = Server(address, self._handle_request)

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop_at_once()

    @property
    def port(self) -> int:
        """The port of the listener."""
        return self._server.server_port

    def _handle_request(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Any:
        action = self._actions.get(environ['PATH_INFO'])
        if action is None:
            known = sorted(self._actions)
            return send_json(
                start_response, 404, {'error': 'unknown', 'known': known}
            )
        try:
            if environ['REQUEST_METHOD'] == 'POST':
                request = json.loads(environ['wsgi.input'].read() or b'{}')
            else:
                request = parse_query(environ)
            return send_json(start_response, 200, action(request))
        except (errors.ControlError, KeyError, TypeError, ValueError) as error:
            text = f'{type(error).__name__}: {error}'
            return send_json(start_response, 400, {'error': text})
