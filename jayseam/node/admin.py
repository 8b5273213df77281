"""The HTTP listener for operators: status, explanations and metrics."""

import contextlib
import json
import socket
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

import prometheus_client
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.core import clocks
from jayseam.core import memory
from jayseam.core import sockets
from jayseam.node import bodies
from jayseam.node import connectionlimits
from jayseam.node import fields
from jayseam.node import heads
from jayseam.node import refusals
from jayseam.node import routes
from jayseam.node import status as status_documents

_JSON = 'application/json'
# Time without input or output after which a connection ends, in seconds.
_IDLE_TIMEOUT_S = 75.0


class AdminHandler(pywsgi.WSGIHandler):
    """Reads no body: a connection that sends one ends with the answer."""

    def MessageClass(self, *args):  # pylint: disable=invalid-name
        """Parses the header fields within the bounds of heads."""
        with self.server.head_bounds.open(args[0], self._close_input) as head:
            head.count(len(self.requestline))
            return fields.read_fields(head)

    def _close_input(self) -> None:
        """Ends the input, so that reading the head fails."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Returns a problem document for a malformed request."""
        return heads.render_refusal(ex)

    def get_environ(self) -> dict[str, Any]:
        """Ends the input if the request has a body."""
        environ = super().get_environ()
        stream = environ['wsgi.input']
        if stream.chunked_input or stream.content_length:
            stream.rfile = bodies.BoundedInput(stream.rfile, self)
            stream.rfile.close()
        return environ


class AdminServer(connectionlimits.LimitedServer):
    """Serves operators and the platform, with few connections.

    At the limit the oldest connection is closed. A connection without input or
    output for `_IDLE_TIMEOUT_S` ends.
    """

    handler_class = AdminHandler

    def __init__(
        self,
        *args: Any,
        budget: memory.ByteBudget | None = None,
        max_head_bytes: int = heads.DEFAULT_MAX_BYTES,
        listener_name: str = 'admin',
        **options: Any,
    ):
        super().__init__(*args, listener_name=listener_name, **options)
        self.head_bounds = heads.HeadBounds(
            memory.ByteBudget() if budget is None else budget,
            max_head_bytes,
            self.refusal_log,
        )

    def make_room(self) -> None:
        """Ends the oldest connection: requests of operators take a moment."""
        oldest = self.get_oldest_connection()
        if oldest is None:
            return
        self.refusal_log.record(refusals.OLDEST_CLOSED, clocks.read_now())
        sockets.shut_down(oldest)

    def handle(self, sock, address) -> None:
        """Serves one accepted connection."""
        sockets.set_nodelay(sock)
        sock.settimeout(_IDLE_TIMEOUT_S)
        super().handle(sock, address)


class AdminApplication:
    """Serves the resources for operators.

    These are ``/status``, ``/explain``, ``/route``, ``/healthz`` and
    ``/metrics``.

    Args:
      describe: Returns the state of the node.
      explain: Returns the route of a call and why each VM is or isn't chosen.
      decide: Returns how a call would be routed, without sending it.
    """

    def __init__(
        self,
        describe: Callable[[], dict[str, Any]],
        explain: Callable[[status_documents.RouteQuery], dict[str, Any]],
        decide: Callable[[routes.CallQuery], dict[str, Any]],
    ):
        self._describe = describe
        self._explain = explain
        self._decide = decide

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if environ['REQUEST_METHOD'] != 'GET':
            return _respond(start_response, 405, {'error': 'only GET'})
        if path == '/metrics':
            start_response(
                '200 OK',
                [('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)],
            )
            return [prometheus_client.generate_latest()]
        if path == '/status':
            return _respond(start_response, 200, self._describe())
        if path == '/healthz':
            state = self._describe()['state']
            status = 200 if state == 'serving' else 503
            return _respond(start_response, status, {'state': state})
        if path == '/explain':
            return self._answer_query(
                environ, start_response, _parse_route_query, self._explain
            )
        if path == '/route':
            return self._answer_query(
                environ, start_response, _parse_call_query, self._decide
            )
        return _respond(start_response, 404, {'error': 'unknown path'})

    def _answer_query(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        parse: Callable[[dict[str, str]], Any],
        answer: Callable[[Any], dict[str, Any]],
    ) -> Iterable[bytes]:
        parameters = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        values = {name: items[0] for name, items in parameters.items()}
        if 'path' not in values:
            return _respond(start_response, 400, {'error': 'path is missing'})
        try:
            document = answer(parse(values))
        except errors.CallError as error:
            document = {'error': error.detail, 'code': error.code}
            return _respond(start_response, 404, document)
        return _respond(start_response, 200, document)


def _parse_route_query(values: dict[str, str]) -> status_documents.RouteQuery:
    return status_documents.RouteQuery(
        values.get('workspace', ''),
        values['path'],
        values.get('method', 'GET'),
    )


def _parse_call_query(values: dict[str, str]) -> routes.CallQuery:
    names = ('path', 'method', 'host', 'zone', 'workspace')
    return routes.CallQuery(**{n: values[n] for n in names if n in values})


class ReadinessApplication:
    """Answers any request with 200 while the node is ready, else with 503.

    Args:
      is_ready: Returns whether callers may send their calls to the node.
    """

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        del environ
        ready = self._is_ready()
        return _respond(start_response, 200 if ready else 503, {'ready': ready})


def _respond(
    start_response: Callable[..., Any], status: int, document: Any
) -> Iterable[bytes]:
    reason = {200: 'OK', 400: 'Bad Request', 404: 'Not Found'}.get(
        status, 'Refused'
    )
    start_response(f'{status} {reason}', [('Content-Type', _JSON)])
    return [json.dumps(document, default=str).encode()]
