"""The HTTP listener for operators: status, explanations and metrics."""

import json
import socket
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

import prometheus_client
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.core import sockets
from jayseam.node import bodies
from jayseam.node import routes
from jayseam.node import status as status_documents

_JSON = 'application/json'


class AdminHandler(pywsgi.WSGIHandler):
    """Reads no body: a connection that sends one ends with the answer."""

    def get_environ(self) -> dict[str, Any]:
        """Ends the input if the request has a body."""
        environ = super().get_environ()
        stream = environ['wsgi.input']
        if stream.chunked_input or stream.content_length:
            stream.rfile = bodies.BoundedInput(stream.rfile, self)
            stream.rfile.close()
        return environ


class AdminServer(pywsgi.WSGIServer):
    """Serves the admin application, with TCP_NODELAY on its connections."""

    handler_class = AdminHandler

    @classmethod
    def get_listener(cls, address, backlog=None, family=None) -> socket.socket:
        """Returns the listening socket."""
        return sockets.open_listener(address, backlog, family)

    def handle(self, sock, address) -> None:
        """Serves one accepted connection."""
        sockets.set_nodelay(sock)
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
