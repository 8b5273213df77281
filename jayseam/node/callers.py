"""The HTTP server for callers, and the parsing of their requests."""

import contextlib
import errno
import io
import itertools
import logging
import re
import select
import socket
from collections.abc import Iterable
from typing import Any, BinaryIO

import gevent
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.calls import problems
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.core import loops
from jayseam.core import memory
from jayseam.core import sockets
from jayseam.core import tickers
from jayseam.node import fields
from jayseam.node import pipelines

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADERS_BYTES = 16 * 1024
# Bytes of a body that are read to drop them, and bytes of chunk sizes,
# extensions and trailers.
MAX_INPUT_BYTES = 8 * MAX_BODY_BYTES
MAX_FRAMING_BYTES = 1024 * 1024
_READ_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 75.0
_DISCONNECT_POLL_S = 0.1
_HEADER_SWEEP_INTERVAL_S = 0.5
_CLOSE_POLL_S = 0.01
# Each accepts up to 100 connections.
_MAX_BACKLOG_READS = 20
_BLOCK_BYTES = 65536
# Reading one byte by itself takes as long as reading many at once.
_SINGLE_BYTE_COST = 16
# Answers up to this size are written without being counted.
_UNCOUNTED_BYTES = 16 * 1024
_BODY_RETRY_AFTER_S = 1.0
_COST_PER_PAUSE = 256 * 1024
_PAUSE_S = 0.001
# Longest wait for callers to close their side after an answer that closes the
# connection, and most blocks that are read from them meanwhile.
_LINGER_S = 1.0
_MAX_LINGER_BLOCKS = 16
_FORBIDDEN_CHARACTERS = re.compile('[\0\r\n]')
_SOCKET_KEY = 'jayseam.socket'
_HANDLER_KEY = 'jayseam.handler'
# The request target as it was sent; PATH_INFO of WSGI is decoded.
_TARGET_KEY = 'jayseam.target'
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP

logging.getLogger('gevent.pywsgi').setLevel(logging.CRITICAL)


class CallerHandler(pywsgi.WSGIHandler):
    """Parses requests strictly, to prevent request smuggling.

    The handler of a connection reads and answers one request after the other.
    Requests that arrive meanwhile have handlers of their own, see `pipelines`.
    """

    _refused = False
    # Bytes of the budget that the body of the current request holds.
    _body_bytes = 0
    # Whether the caller has asked to close the connection.
    _caller_closes = False
    _exchange: pipelines.Exchange | None = None

    def __init__(self, sock, address, server, pipeline=None, rfile=None):
        if rfile is None:
            rfile = io.BufferedReader(pipelines.SocketInput(sock))
        super().__init__(sock, address, server, rfile)
        if pipeline is None:
            pipeline = pipelines.Pipeline(sock, rfile, self._read_next)
        self._pipeline = pipeline

    def handle(self) -> None:
        """Serves the connection."""
        try:
            super().handle()
        finally:
            self._pipeline.close()

    def handle_one_response(self) -> None:
        """Answers a request, or has it answered beside earlier ones."""
        if self._exchange is not None and self._exchange.is_follower:
            self._pipeline.run(self._exchange, self._answer_beside)
            return
        self._exchange = self._pipeline.begin()
        try:
            self._answer()
        finally:
            self._pipeline.end(self._exchange, self.close_connection)
        if self._pipeline.is_closing:
            self.close_connection = True
            if not self._caller_closes:
                self._linger()

    def _answer(self) -> None:
        self.environ[pipelines.EXCHANGE_KEY] = self._exchange
        if not self.content_length and not self._is_chunked():
            self._exchange.finish_input()
        super().handle_one_response()

    def _answer_beside(self) -> bool:
        self._answer()
        return self.close_connection

    def _is_chunked(self) -> bool:
        return self.headers.get('Transfer-Encoding') is not None

    def finish_input(self) -> None:
        """Lets the requests behind this one be read, as its body is read.

        The end of a chunked body is found only when the answer is written.
        """
        if not self._is_chunked():
            self._exchange.finish_input()

    def _read_next(self, exchange: pipelines.Exchange) -> bool:
        """Reads a request behind unanswered ones and begins it.

        Returns:
          Whether another request may follow.
        """
        handler = type(self)(
            self.socket,
            self.client_address,
            self.server,
            self._pipeline,
            self.rfile,
        )
        handler._exchange = exchange
        result = handler.handle_one_request()
        if isinstance(result, tuple):
            _, answer = result
            self._pipeline.run(exchange, lambda: handler.send_refusal(answer))
            return False
        return result is True

    def send_refusal(self, answer: bytes) -> bool:
        """Sends the answer to a malformed request when its turn comes.

        Returns:
          True, as the connection ends with it.
        """
        with contextlib.suppress(OSError):
            self._exchange.wait_for_turn()
            self.socket.sendall(answer)
        return True

    def finalize_headers(self) -> None:
        """Waits for the answer's turn and decides on its connection."""
        if self._exchange.is_follower:
            self._wait_for_turn()
        is_last = self._exchange.settle_closing(self.close_connection)
        if is_last or self.close_connection:
            self.response_headers = [
                pair
                for pair in self.response_headers
                if pair[0].lower() != b'connection'
            ]
        if is_last:
            self.response_headers.append((b'Connection', b'close'))
        self.close_connection = is_last
        super().finalize_headers()

    def _wait_for_turn(self) -> None:
        """Waits until earlier answers are written; holds memory meanwhile."""
        size = sum(len(block) for block in self.result or ())
        holding = memory.Holding(memory.READING, self._end_output)
        if not self.server.budget.extend(holding, size):
            self._end_output()
            raise BrokenPipeError(errno.EPIPE, 'too many answers in progress')
        try:
            self._exchange.wait_for_turn()
        finally:
            self.server.budget.release(holding)

    def _linger(self) -> None:
        """Reads what a caller still sends after the last answer.

        Closing a socket with unread bytes, or before bytes arrive, resets the
        connection, and the caller could lose the answer.

        References:
          RFC 9112, section 9.6.
        """
        with contextlib.suppress(OSError), gevent.Timeout(_LINGER_S, False):
            self.socket.shutdown(socket.SHUT_WR)
            for _ in range(_MAX_LINGER_BLOCKS):
                if not self.socket.recv(_BLOCK_BYTES):
                    break

    def hold_body(self, n_bytes: int) -> None:
        """Takes memory for the body of a request, until it is answered.

        Raises:
          NotRunError: If bodies of other requests take too much.
        """
        if not self.server.budget.take_request(n_bytes):
            raise errors.NotRunError(
                'too many bodies of requests in progress', _BODY_RETRY_AFTER_S
            )
        self._body_bytes += n_bytes

    def return_body(self, n_bytes: int) -> None:
        """Gives back memory that `hold_body` took."""
        self.server.budget.return_request(n_bytes)
        self._body_bytes -= n_bytes

    def run_application(self) -> None:
        """Answers a request; its body is held until the answer is written."""
        try:
            super().run_application()
        finally:
            self.return_body(self._body_bytes)

    def _sendall(self, data: bytes) -> None:
        """Writes data, which a caller that doesn't read it holds in memory."""
        if len(data) <= _UNCOUNTED_BYTES:
            super()._sendall(data)
            return
        holding = memory.Holding(memory.WRITING, self._end_output)
        if not self.server.budget.extend(holding, len(data)):
            raise BrokenPipeError(errno.EPIPE, 'too many answers in progress')
        try:
            super()._sendall(data)
        finally:
            self.server.budget.release(holding)

    def _end_output(self) -> None:
        """Ends the connection in the middle of an answer."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def MessageClass(self, *args):  # pylint: disable=invalid-name
        """Parses the header fields and refuses ambiguous framing."""
        headers = fields.read_fields(args[0])
        check_framing(headers.items())
        return headers

    def read_requestline(self) -> str:
        """Reads the request line; returns '' at the end of the connection."""
        if self._exchange is not None and self._exchange.is_follower:
            # The connection isn't idle.
            return super().read_requestline()
        self.server.idle_handlers.add(self)
        try:
            line = super().read_requestline()
        finally:
            self.server.idle_handlers.discard(self)
        if self._refused:
            # Closing a socket with unread bytes resets the connection, and the
            # caller could lose the refusal.
            while line:
                line = self.rfile.read(_BLOCK_BYTES)
            return ''
        return line

    def has_input(self) -> bool:
        """Returns whether bytes of a request have arrived."""
        poller = select.poll()
        poller.register(self.socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def refuse_next_request(self) -> None:
        """Sends a refusal on an idle connection and closes it for sending.

        A request that the caller sends at the same moment is read but never
        run, so the refusal ("not run") is a correct answer to it. A caller that
        has sent no request takes the unsolicited bytes for the end of the
        connection.

        References:
          RFC 9112, section 9.2, on answers without a request.
        """
        self._refused = True
        error = errors.NotRunError('this node is shutting down', 1.0)
        _, answer = self._handle_client_error(error)
        with contextlib.suppress(OSError):
            self.socket.sendall(answer)
            self.socket.shutdown(socket.SHUT_WR)

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the header fields within about `_READ_TIMEOUT_S`."""
        self.server.header_read_starts[self] = clocks.read_now()
        try:
            is_valid = super().read_request(raw_requestline)
        finally:
            del self.server.header_read_starts[self]
        self._caller_closes = self.close_connection
        return is_valid

    def close_input(self) -> None:
        """Ends the input, so that reading the header fields fails."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket, the header fields and the undecoded target."""
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        environ[_HANDLER_KEY] = self
        environ['jayseam.headers'] = self.headers.items()
        environ[_TARGET_KEY] = self.path
        return environ

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Returns a problem document for a malformed request."""
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
        """Writes no access log; the metrics count requests."""


class CallerServer(pywsgi.WSGIServer):
    """A WSGI server whose connections have TCP_NODELAY and time limits."""

    handler_class = CallerHandler

    def __init__(
        self,
        *args: Any,
        budget: memory.ByteBudget | None = None,
        **options: Any,
    ):
        super().__init__(*args, **options)
        self.budget = memory.ByteBudget() if budget is None else budget
        self.open_connections: set[Any] = set()
        self.idle_handlers: set[CallerHandler] = set()
        self.header_read_starts: dict[CallerHandler, float] = {}

    @classmethod
    def get_listener(cls, address, backlog=None, family=None) -> socket.socket:
        """Returns the listening socket."""
        return sockets.open_listener(address, backlog, family)

    def start(self) -> None:
        """Listens, and aborts requests whose header fields come too slowly."""
        super().start()
        loops.spawn_loop(self._abort_slow_requests)

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

        Every request that a caller could send is answered: requests in the
        listener's backlog, and requests that arrive while their connection is
        being closed.

        Args:
          timeout_s: Longest wait for callers to disconnect, in seconds.
        """
        sockets.drop_new_connections(self.socket)
        # Without the filter, callers that connect at once after a refusal
        # could fill the backlog as fast as it is emptied; and a connection
        # stays in it while accepting fails.
        for _ in range(_MAX_BACKLOG_READS):
            if not self._has_backlog():
                break
            self._do_read()
        self.stop()
        with gevent.Timeout(timeout_s, False):
            gevent.sleep(_PAUSE_S)
            for handler in list(self.idle_handlers):
                if not handler.has_input():
                    handler.refuse_next_request()
            while self.open_connections:
                gevent.sleep(_CLOSE_POLL_S)

    def _has_backlog(self) -> bool:
        return bool(select.select([self.socket.fileno()], [], [], 0)[0])

    def _abort_slow_requests(self) -> None:
        """Ends the input of slow requests, which then fail as malformed.

        A periodic sweep is used because a timer for each request would take 2%
        of the processor time of the call path.
        """
        while self.started or self.open_connections:
            tickers.sleep_until_tick(_HEADER_SWEEP_INTERVAL_S)
            oldest_start = clocks.read_now() - _READ_TIMEOUT_S
            for handler, started_at in list(self.header_read_starts.items()):
                if started_at < oldest_start + _HEADER_SWEEP_INTERVAL_S:
                    handler.close_input()


class BoundedInput:
    """Reads a body, and bounds what a caller may send with it.

    The server reads chunk sizes, extensions and trailers byte by byte. While
    there is always more to read, it would let no other greenlet run.

    Args:
      stream: The input of the connection.
      handler: Handler of the connection, which ends with an unread body.

    Attributes:
      is_kept: Whether the bytes read are kept, so that the handler has to take
        memory for them.
    """

    def __init__(self, stream: BinaryIO, handler: pywsgi.WSGIHandler):
        self._stream = stream
        self._handler = handler
        self.is_kept = False
        self._n_bytes = 0
        self._n_framing_bytes = 0
        self._cost = 0
        self._closed = False

    def read(self, size: int = -1) -> bytes:
        """Reads up to ``size`` bytes; empty at the end or beyond a bound.

        Raises:
          NotRunError: If the bytes are kept and there is no memory for them.
        """
        if self.is_kept and size > _BLOCK_BYTES:
            return self._read_blocks(size)
        if self._closed:
            return b''
        data = self._stream.read(size)
        if self.is_kept:
            self._handler.hold_body(len(data))
        self._n_bytes += len(data)
        self._cost += len(data)
        if size == 1:
            self._n_framing_bytes += 1
            self._cost += _SINGLE_BYTE_COST
        if (
            self._n_bytes > MAX_INPUT_BYTES
            or self._n_framing_bytes > MAX_FRAMING_BYTES
        ):
            self.close()
        if self._cost >= _COST_PER_PAUSE:
            self._cost = 0
            # Timers don't fire during a sleep of no time.
            gevent.sleep(_PAUSE_S)
        return data

    def _read_blocks(self, size: int) -> bytes:
        """Reads block by block, so that only bytes that came are held."""
        data = bytearray()
        while len(data) < size:
            block = self.read(min(_BLOCK_BYTES, size - len(data)))
            if not block:
                break
            data += block
        return bytes(data)

    def close(self) -> None:
        """Ends the input, and the connection after the answer."""
        self._closed = True
        self._handler.close_connection = True


def check_framing(headers: Iterable[tuple[str, str]]) -> None:
    """Checks that header fields determine the request's length unambiguously.

    >>> check_framing([('Content-Length', '3')])
    >>> check_framing([('Content-Length', '3'), ('content-length', '4')])
    Traceback (most recent call last):
    ...
    jayseam.node.fields.FramingError: two lengths

    Raises:
      FramingError: If the request's length is ambiguous.
      HeadersTooLargeError: If the total size of the fields is too large.

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
    if any(_FORBIDDEN_CHARACTERS.search(value) for _, value in pairs):
        raise fields.FramingError('a folded or malformed value')


def read_request(environ: dict[str, Any]) -> requests.CallRequest:
    """Returns the request in a WSGI environment, with its whole body.

    Raises:
      CallError: If the body is too large, truncated or too slow.
    """
    headers = tuple(
        (name.lower(), value.strip())
        for name, value in environ['jayseam.headers']
    )
    length = int(environ.get('CONTENT_LENGTH') or 0)
    is_chunked = bool(environ.get('HTTP_TRANSFER_ENCODING'))
    stream = environ['wsgi.input']
    if is_chunked or length > _UNCOUNTED_BYTES:
        stream.rfile = BoundedInput(stream.rfile, environ[_HANDLER_KEY])
    if length > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'bodies end at {MAX_BODY_BYTES} bytes')
    body = b''
    if is_chunked:
        try:
            body = _read_body(stream, 0)
        except errors.BadRequestError:
            # Where the next request begins is unknown.
            stream.rfile.close()
            raise
    elif length:
        if length <= _UNCOUNTED_BYTES:
            environ[_HANDLER_KEY].hold_body(length)
        body = _read_body(stream, length)
        environ[_HANDLER_KEY].finish_input()
    path, _, query = environ[_TARGET_KEY].partition('?')
    return requests.CallRequest(
        environ['REQUEST_METHOD'],
        path,
        query,
        headers,
        body,
    )


def _read_body(stream: Any, length: int) -> bytes:
    timeout_error = errors.BadRequestError('the body arrives too slowly')
    bounded = stream.rfile if isinstance(stream.rfile, BoundedInput) else None
    with gevent.Timeout(_READ_TIMEOUT_S, timeout_error):
        try:
            if bounded is not None:
                bounded.is_kept = True
            body = stream.read(length or MAX_BODY_BYTES + 1)
        except OSError as error:
            raise errors.BadRequestError('the body is malformed') from error
        finally:
            if bounded is not None:
                bounded.is_kept = False
    if len(body) > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'bodies end at {MAX_BODY_BYTES} bytes')
    if length and len(body) != length:
        raise errors.BadRequestError('the body is shorter than its length')
    return body


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
        descriptor = environ[_SOCKET_KEY].fileno()
        self._watched[handle] = descriptor, gevent.getcurrent()
        return handle

    def unwatch(self, handle: int) -> None:
        """Stops watching a caller's connection."""
        self._watched.pop(handle, None)

    def _run(self) -> None:
        while True:
            tickers.sleep_until_tick(_DISCONNECT_POLL_S)
            if self._watched:
                self._interrupt_disconnected()

    def _interrupt_disconnected(self) -> None:
        poller = select.poll()
        for descriptor, _ in self._watched.values():
            poller.register(descriptor, _DISCONNECT_EVENTS)
        ended = {descriptor for descriptor, _ in poller.poll(0)}
        for handle, (descriptor, greenlet) in list(self._watched.items()):
            if descriptor in ended:
                del self._watched[handle]
                greenlet.kill(
                    errors.CallerGoneError('the caller disconnected'),
                    block=False,
                )
