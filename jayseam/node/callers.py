"""The HTTP listener for callers."""

import contextlib
import logging
import re
import select
import socket
from collections.abc import Iterable
from typing import Any

import gevent
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.calls import problems
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.core import tickers
from jayseam.node import fields

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADERS_BYTES = 16 * 1024
_READ_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 75.0
_SWEEP_INTERVAL_S = 0.1
_SLOW_SWEEP_INTERVAL_S = 0.5
_CLOSE_POLL_S = 0.01
_BLOCK_BYTES = 65536
_FORBIDDEN = re.compile('[\0\r\n]')
_SOCKET_KEY = 'jayseam.socket'
# The target as it was sent; WSGI's own path is decoded.
_TARGET_KEY = 'jayseam.target'
_POLL_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP

logging.getLogger('gevent.pywsgi').setLevel(logging.CRITICAL)


class CallerHandler(pywsgi.WSGIHandler):
    """Reads requests strictly, so that no two readers disagree on them."""

    _ended = False

    def MessageClass(self, *args):  # pylint: disable=invalid-name
        """Parses the header fields and refuses ambiguous framing."""
        headers = fields.read_fields(args[0])
        check_framing(headers.items())
        return headers

    def read_requestline(self) -> str:
        """Reads the first line of a request; empty after the last one."""
        self.server.idle.add(self)
        try:
            line = super().read_requestline()
        finally:
            self.server.idle.discard(self)
        if self._ended:
            # A close with unread bytes resets the connection, and the caller
            # could lose the refusal.
            while line:
                line = self.rfile.read(_BLOCK_BYTES)
            return ''
        return line

    def has_input(self) -> bool:
        """Tells whether bytes of a request have arrived."""
        poller = select.poll()
        poller.register(self.socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def refuse_further(self) -> None:
        """Ends an idle connection with a refusal.

        A request that the caller sends at the same moment is never read as
        one, so the refusal answers it truthfully. A caller without a request
        takes the bytes for the end of the connection.

        References:
          RFC 9112, section 9.2, on answers without a request.
        """
        self._ended = True
        error = errors.NotRunError('this node is shutting down', 1.0)
        _, answer = self._handle_client_error(error)
        with contextlib.suppress(OSError):
            self.socket.sendall(answer)
            self.socket.shutdown(socket.SHUT_WR)

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the header fields within a bounded time."""
        self.server.reading[self] = clocks.read_now()
        try:
            return super().read_request(raw_requestline)
        finally:
            del self.server.reading[self]

    def end_input(self) -> None:
        """Lets the reader of the header fields see the end of the input."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket, by which a caller's departure is noticed."""
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        environ['jayseam.headers'] = self.headers.items()
        environ[_TARGET_KEY] = self.path
        return environ

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Answers malformed requests with a problem document."""
        error = errors.BadRequestError('the request is malformed')
        if isinstance(ex, errors.CallError):
            error = ex
        answer = problems.render_problem(error, '')
        head = ''.join(f'{name}: {value}\r\n' for name, value in answer.headers)
        reason = f'{answer.status} Refused'
        return (
            reason,
            (
                f'HTTP/1.1 {reason}\r\n{head}Connection: close\r\n'
                f'Content-Length: {len(answer.body)}\r\n\r\n'
            ).encode()
            + answer.body,
        )

    def log_request(self) -> None:
        """Leaves the access log to the metrics."""


class CallerServer(pywsgi.WSGIServer):
    """A WSGI server whose connections have TCP_NODELAY and time limits."""

    handler_class = CallerHandler

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self.open_connections: set[Any] = set()
        self.idle: set[CallerHandler] = set()
        self.reading: dict[CallerHandler, float] = {}

    def start(self) -> None:
        """Listens, and ends requests whose header fields come too slowly."""
        super().start()
        gevent.spawn(self._end_slow_requests)

    def handle(self, sock, address) -> None:
        """Serves one accepted connection."""
        sockets.set_nodelay(sock)
        sock.settimeout(_IDLE_TIMEOUT_S)
        self.open_connections.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.open_connections.discard(sock)

    def shut_down(self, timeout_s: float) -> None:
        """Closes the listener and all connections without losing a request.

        Every request that a caller could send is answered: those in the
        listener's backlog, and those that cross the end of a connection.

        Args:
          timeout_s: Longest wait for the callers, in seconds.
        """
        sockets.refuse_connections(self.socket)
        while select.select([self.socket.fileno()], [], [], 0)[0]:
            self._do_read()
        self.stop()
        with gevent.Timeout(timeout_s, False):
            gevent.sleep(0)
            for handler in list(self.idle):
                if not handler.has_input():
                    handler.refuse_further()
            while self.open_connections:
                gevent.sleep(_CLOSE_POLL_S)

    def _end_slow_requests(self) -> None:
        """Ends the input of slow requests, which are then malformed.

        A timer for each request would take 2% of the entry's processor time.
        """
        while self.started or self.open_connections:
            tickers.wait_tick(_SLOW_SWEEP_INTERVAL_S)
            latest = clocks.read_now() - _READ_TIMEOUT_S
            for handler, started_at in list(self.reading.items()):
                if started_at < latest + _SLOW_SWEEP_INTERVAL_S:
                    handler.end_input()


def check_framing(headers: Iterable[tuple[str, str]]) -> None:
    """Refuses header fields by which a request could be read in two ways.

    >>> check_framing([('Content-Length', '3')])
    >>> check_framing([('Content-Length', '3'), ('content-length', '4')])
    Traceback (most recent call last):
    ...
    jayseam.node.fields.FramingError: two lengths

    Raises:
      FramingError: If the request's length is ambiguous.
      HeadersTooLargeError: If the fields are too large together.

    References:
      RFC 9112, section 6.3.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    size = sum(len(name) + len(value) + 4 for name, value in pairs)
    if size > MAX_HEADERS_BYTES:
        raise errors.HeadersTooLargeError(
            f'header fields exceed {MAX_HEADERS_BYTES} bytes'
        )
    lengths = [value for name, value in pairs if name == 'content-length']
    codings = [value for name, value in pairs if name == 'transfer-encoding']
    if len(lengths) > 1:
        raise fields.FramingError('two lengths')
    if lengths and codings:
        raise fields.FramingError('a length and a transfer coding')
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise fields.FramingError('a length that is not a number')
    if len(codings) > 1 or (codings and codings[0].lower() != 'chunked'):
        raise fields.FramingError('an unknown transfer coding')
    if any(_FORBIDDEN.search(value) for _, value in pairs):
        raise fields.FramingError('a folded or malformed value')


def read_request(environ: dict[str, Any]) -> requests.CallRequest:
    """Reads the whole request of a WSGI environment.

    Raises:
      CallError: If the body is too large, truncated or too slow.
    """
    headers = tuple(
        (name.lower(), value.strip())
        for name, value in environ['jayseam.headers']
    )
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'bodies end at {MAX_BODY_BYTES} bytes')
    body = b''
    if length or environ.get('HTTP_TRANSFER_ENCODING'):
        body = _read_body(environ['wsgi.input'], length)
    path, _, query = environ[_TARGET_KEY].partition('?')
    return requests.CallRequest(
        environ['REQUEST_METHOD'],
        path,
        query,
        headers,
        body,
    )


def _read_body(stream: Any, length: int) -> bytes:
    slow = errors.BadRequestError('the body arrives too slowly')
    with gevent.Timeout(_READ_TIMEOUT_S, slow):
        try:
            body = stream.read(length or MAX_BODY_BYTES + 1)
        except OSError as error:
            raise errors.BadRequestError('the body is malformed') from error
    if len(body) > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'bodies end at {MAX_BODY_BYTES} bytes')
    if length and len(body) != length:
        raise errors.BadRequestError('the body is shorter than its length')
    return body


class DepartureMonitor:
    """Interrupts calls whose callers have closed their connections.

    One poll for all connections every 100 ms costs less on the call path than
    a watcher for each call.
    """

    def __init__(self):
        self._watched: dict[int, gevent.Greenlet] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the periodic sweep."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the periodic sweep."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def watch(self, environ: dict[str, Any]) -> int:
        """Watches the caller of the current greenlet; returns a handle."""
        handle = environ[_SOCKET_KEY].fileno()
        self._watched[handle] = gevent.getcurrent()
        return handle

    def unwatch(self, handle: int) -> None:
        """Ends the watch of a caller."""
        self._watched.pop(handle, None)

    def _run(self) -> None:
        while True:
            tickers.wait_tick(_SWEEP_INTERVAL_S)
            if self._watched:
                self._sweep()

    def _sweep(self) -> None:
        poller = select.poll()
        for handle in self._watched:
            poller.register(handle, _POLL_EVENTS)
        for handle, _ in poller.poll(0):
            greenlet = self._watched.pop(handle, None)
            if greenlet is not None:
                greenlet.kill(
                    errors.CallerGoneError('caller left'), block=False
                )
