"""The HTTP server for callers."""

import contextlib
import errno
import io
import logging
import socket
from typing import Any

import gevent
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.core import clocks
from jayseam.core import hangups
from jayseam.core import loops
from jayseam.core import memory
from jayseam.core import sockets
from jayseam.core import tickers
from jayseam.node import bodies
from jayseam.node import connectionlimits
from jayseam.node import disconnects
from jayseam.node import fields
from jayseam.node import heads
from jayseam.node import pipelines
from jayseam.node import refusals

_READ_TIMEOUT_S = bodies.READ_TIMEOUT_S
_IDLE_TIMEOUT_S = 75.0
_HEADER_SWEEP_INTERVAL_S = 0.5
_CLOSE_POLL_S = 0.01
_PAUSE_S = 0.001
# Each accepts up to 100 connections.
_MAX_BACKLOG_READS = 20
_BODY_RETRY_AFTER_S = 1.0
# Longest wait for callers to close their side after an answer that closes the
# connection, and most blocks that are read from them meanwhile.
_LINGER_S = 1.0
_MAX_LINGER_BLOCKS = 16
# Part of the allowed connections that is freed at once when all are in use,
# and the time in which their callers may close them.
_FREED_SHARE = 1 / 32
_CLOSE_GRACE_S = 0.5
# Status of gevent's answer to a request line that is too long.
_LINE_TOO_LONG = '414'

logging.getLogger('gevent.pywsgi').setLevel(logging.CRITICAL)


class CallerHandler(pywsgi.WSGIHandler):
    """Parses requests strictly, to prevent request smuggling.

    The handler of a connection reads and answers one request after the other.
    Requests that arrive meanwhile have handlers of their own, see `pipelines`.
    """

    # Whether the connection was refused while it was idle.
    is_refused = False
    # Bytes of the budget that the body of the current request holds.
    _body_bytes = 0
    # Size of the head of the current request.
    _head_bytes = 0
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
                if not self.socket.recv(bodies.BLOCK_BYTES):
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

    def hold_head(self) -> None:
        """Takes memory for a large head, until its request is answered.

        Raises:
          NotRunError: If bodies of other requests take too much.
        """
        if self._head_bytes > heads.UNCOUNTED_BYTES:
            self.hold_body(self._head_bytes)

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
        if len(data) <= bodies.UNCOUNTED_BYTES:
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
        with self.server.head_bounds.open(args[0], self.close_input) as head:
            head.count(len(self.requestline))
            headers = fields.read_fields(head)
            self._head_bytes = head.n_bytes
            bodies.check_framing(headers.items())
        return headers

    def handle_one_request(self) -> Any:
        """Reads and begins a request; counts one whose line is too long."""
        result = super().handle_one_request()
        if isinstance(result, tuple) and result[0] == _LINE_TOO_LONG:
            now = clocks.read_now()
            self.server.refusal_log.record(refusals.REQUEST_LINE, now)
        return result

    def read_requestline(self) -> str:
        """Reads the request line; returns '' at the end of the connection."""
        if self._exchange is not None and self._exchange.is_follower:
            # The connection isn't idle.
            return super().read_requestline()
        self.server.idle_handlers[self] = None
        try:
            line = super().read_requestline()
        finally:
            self.server.idle_handlers.pop(self, None)
        if self.is_refused:
            # Closing a socket with unread bytes resets the connection, and the
            # caller could lose the refusal.
            while line:
                line = self.rfile.read(bodies.BLOCK_BYTES)
            return ''
        return line

    def has_input(self) -> bool:
        """Returns whether bytes of a request have arrived."""
        return bool(hangups.has_input(self.socket))

    def refuse_next_request(self) -> None:
        """Sends a refusal on an idle connection and closes it for sending.

        A request that the caller sends at the same moment is read but never
        run, so the refusal ("not run") is a correct answer to it. A caller that
        has sent no request takes the unsolicited bytes for the end of the
        connection.

        References:
          RFC 9112, section 9.2, on answers without a request.
        """
        self.is_refused = True
        error = errors.NotRunError('the connection is being closed', 1.0)
        _, answer = self._handle_client_error(error)
        sock = self.socket
        with contextlib.suppress(OSError):
            sock.sendall(answer)
            sock.shutdown(socket.SHUT_WR)

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
        environ[disconnects.SOCKET_KEY] = self.socket
        environ[bodies.HANDLER_KEY] = self
        environ[bodies.HEADERS_KEY] = self.headers.items()
        environ[bodies.TARGET_KEY] = self.path
        return environ

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Returns a problem document for a malformed request."""
        return heads.render_refusal(ex)

    def log_request(self) -> None:
        """Writes no access log; the metrics count requests."""


class CallerServer(connectionlimits.LimitedServer):
    """A WSGI server whose connections have TCP_NODELAY and time limits."""

    handler_class = CallerHandler

    def __init__(
        self,
        *args: Any,
        budget: memory.ByteBudget | None = None,
        max_head_bytes: int = heads.DEFAULT_MAX_BYTES,
        **options: Any,
    ):
        super().__init__(*args, listener_name='callers', **options)
        self.budget = memory.ByteBudget() if budget is None else budget
        self.head_bounds = heads.HeadBounds(
            self.budget, max_head_bytes, self.refusal_log
        )
        self.open_connections: set[Any] = set()
        # In the order in which they became idle; a dict keeps it.
        self.idle_handlers: dict[CallerHandler, None] = {}
        self.header_read_starts: dict[CallerHandler, float] = {}

    def make_room(self) -> None:
        """Closes the connections that have been idle for longest.

        A request that arrives at that moment is refused as not run.
        """
        n_freed = max(1, int(self.max_connections * _FREED_SHARE))
        for handler in list(self.idle_handlers):
            if n_freed == 0:
                break
            if handler.is_refused or handler.has_input():
                continue
            n_freed -= 1
            self.refusal_log.record(refusals.IDLE_CLOSED, clocks.read_now())
            handler.is_refused = True
            # The event loop, which accepts connections, must not wait.
            gevent.spawn(self._close_idle, handler, handler.socket)

    def _close_idle(self, handler: CallerHandler, sock: Any) -> None:
        """Refuses the next request of an idle connection and ends it."""
        handler.refuse_next_request()
        gevent.sleep(_CLOSE_GRACE_S)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)

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
        self.remove_limit()
        # Without the filter, callers that connect at once after a refusal
        # could fill the backlog as fast as it is emptied; and a connection
        # stays in it while accepting fails.
        for _ in range(_MAX_BACKLOG_READS):
            if not self.has_backlog():
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

    def _abort_slow_requests(self) -> None:
        """Ends the input of slow requests, which then fail as malformed.

        A periodic sweep is used because a timer for each request would take 2%
        of the processor time of the call path.
        """
        while self.started or self.open_connections:
            tickers.sleep_until_tick(_HEADER_SWEEP_INTERVAL_S)
            if self.is_paused:
                self.make_room()
            oldest_start = clocks.read_now() - _READ_TIMEOUT_S
            for handler, started_at in list(self.header_read_starts.items()):
                if started_at < oldest_start + _HEADER_SWEEP_INTERVAL_S:
                    now = clocks.read_now()
                    self.refusal_log.record(refusals.HEAD_TIME, now)
                    handler.close_input()
