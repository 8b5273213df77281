"""Requests that callers send before earlier ones have been answered.

While a request of a connection is being answered, the requests behind it are
read and run beside it, and the answers are written in the order of the
requests. A call that may run only once, and every call behind it, waits until
the answers before it are written, as it would without pipelining.

An answer that closes the connection is the last one: requests behind it are
neither run nor answered, and their callers may send them again. Requests that
have been begun are therefore answered before the connection closes.

References:
  RFC 9112, sections 9.3.2 (pipelining) and 9.6 (closing a connection).
"""

import collections
import errno
import io
from collections.abc import Callable
from typing import Any

import gevent
import prometheus_client
from gevent import event

from jayseam.calls import errors
from jayseam.core import hangups
from jayseam.core import logs

# Most requests of a connection that are begun and not answered. Those behind
# them stay in the buffers of the connection until answers are written.
MAX_UNANSWERED = 8
# Key of a request's exchange in its WSGI environment.
EXCHANGE_KEY = 'jayseam.exchange'
_READ = 1

READ_AHEAD = prometheus_client.Counter(
    'jayseam_requests_read_ahead',
    'Requests that were begun before an earlier one of their connection was '
    'answered.',
)

_log = logs.get_logger(__name__)


class SocketInput(io.RawIOBase):
    """The bytes that a caller sends.

    Attributes:
      is_held: Whether reading returns at once as if nothing had arrived, so
        that the buffer around this input can be inspected.
      is_ended: Whether the end of the input has been read.
    """

    def __init__(self, sock: Any):
        super().__init__()
        self._socket = sock
        self.is_held = False
        self.is_ended = False

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads some bytes; returns 0 at the end and None while held."""
        if self.is_held:
            return None
        n_bytes = self._socket.recv_into(buffer)
        self.is_ended |= not n_bytes
        return n_bytes


def has_buffered(stream: io.BufferedReader) -> bool:
    """Returns whether a stream holds bytes that were read from its socket.

    >>> source = SocketInput(None)
    >>> has_buffered(io.BufferedReader(source)), source.is_held
    (False, False)
    """
    stream.raw.is_held = True
    try:
        return bool(stream.peek(1))
    finally:
        stream.raw.is_held = False


def must_wait(is_repeatable: bool | None, earlier: list[bool | None]) -> bool:
    """Returns whether a call waits for answers to requests before it.

    Args:
      is_repeatable: Whether the call may run more than once; None if that
        isn't known.
      earlier: The same for each unanswered request before it.

    >>> must_wait(True, [True, True]), must_wait(False, [])
    (False, False)
    >>> must_wait(True, [False, True]), must_wait(False, [True])
    (True, True)
    """
    return bool(earlier) and not all([is_repeatable, *earlier])


class Exchange:
    """A request of a connection and the answer to it.

    Attributes:
      is_repeatable: Whether the call may run more than once; None until its
        route is known.
      is_input_read: Whether the whole request has been read.
      is_follower: Whether it was begun before an earlier one was answered.
    """

    def __init__(self, pipeline: 'Pipeline', is_follower: bool = False):
        self.is_repeatable: bool | None = None
        self.is_input_read = False
        self.is_follower = is_follower
        self._pipeline = pipeline

    def finish_input(self) -> None:
        """Lets the requests behind this one be read."""
        self.is_input_read = True
        self._pipeline.read_ahead()

    def notify_of_end(self, on_end: Callable[[Any], None]) -> None:
        """Has a function called with the socket when its input has ended."""
        self._pipeline.notify_of_end(on_end)

    def must_wait(self) -> bool:
        """Returns whether the call waits for answers before it."""
        earlier = self._pipeline.list_earlier(self)
        return must_wait(self.is_repeatable, [e.is_repeatable for e in earlier])

    def wait_to_run(self) -> None:
        """Waits until the call may run beside those that are unanswered.

        Raises:
          CallerGoneError: If the connection has ended meanwhile.
        """
        while self.must_wait():
            self._pipeline.wait_for_answer()
        if self._pipeline.is_broken:
            raise errors.CallerGoneError('the connection has ended')

    def wait_for_turn(self) -> None:
        """Waits until all answers before this one are written.

        Raises:
          BrokenPipeError: If the connection has ended meanwhile.
        """
        while self._pipeline.list_earlier(self):
            self._pipeline.wait_for_answer()
        if self._pipeline.is_broken:
            raise BrokenPipeError(errno.EPIPE, 'an earlier answer was cut')

    def settle_closing(self, wants_close: bool) -> bool:
        """Returns whether the connection closes with this answer.

        It is decided when the answer is written: requests that have been begun
        are answered first, and after a closing answer none is begun.

        Args:
          wants_close: Whether this answer was to close the connection.
        """
        self._pipeline.is_closing |= wants_close
        return self._pipeline.is_closing and self._pipeline.is_last(self)


class Pipeline:
    """The unanswered requests of one connection, in order.

    Args:
      sock: Socket of the connection.
      stream: Buffered input of the connection.
      read_next: Reads the next request and passes its handling to `run`;
        returns whether another request may follow.

    Attributes:
      is_closing: Whether no further request of the connection is begun.
      is_broken: Whether the connection has ended in the middle of an answer.
    """

    def __init__(
        self,
        sock: Any,
        stream: io.BufferedReader,
        read_next: Callable[[Exchange], bool],
    ):
        self.is_closing = False
        self.is_broken = False
        self._socket = sock
        self._stream = stream
        self._read_next = read_next
        self._unanswered: collections.deque[Exchange] = collections.deque()
        # Set by whatever may let the reader go on.
        self._wake = event.Event()
        # Replaced with each answer.
        self._answered = event.Event()
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), _READ)
        # Whether the event loop has told of input that wasn't read since.
        self._is_told_of_input = False
        self._on_end: Callable[[Any], None] | None = None
        self._reader: gevent.Greenlet | None = None

    def begin(self) -> Exchange:
        """Begins a request on a connection without unanswered requests."""
        exchange = Exchange(self)
        self._unanswered.append(exchange)
        return exchange

    def end(self, exchange: Exchange, is_closed: bool) -> None:
        """Ends the first exchange, then waits for those begun beside it.

        Args:
          exchange: The exchange that `begin` returned.
          is_closed: Whether its handler ends the connection.
        """
        self._watcher.stop()
        self._finish(exchange, is_closed)
        if self._reader is not None:
            self._reader.join()
            self._reader = None
        self._is_told_of_input = False

    def close(self) -> None:
        """Releases the resources of the event loop."""
        self._watcher.stop()
        self._watcher.close()

    def notify_of_end(self, on_end: Callable[[Any], None]) -> None:
        """Has a function called with the socket when its input has ended."""
        self._on_end = on_end
        if self._stream.raw.is_ended:
            on_end(self._socket)

    def read_ahead(self) -> None:
        """Reads requests behind the last one as soon as bytes arrive."""
        if self._reader is not None:
            self._wake.set()
        elif has_buffered(self._stream):
            self._start_reader()
        else:
            self._watcher.start(self._start_reader_with_input)

    def run(
        self, exchange: Exchange, answer_request: Callable[[], bool]
    ) -> None:
        """Begins a request beside the unanswered ones, unless closing.

        Args:
          exchange: Exchange of the request.
          answer_request: Answers the request; returns whether the connection
            ends with the answer.
        """
        if self.is_closing or self.is_broken:
            _log.info('pipeline.request_dropped', extra={'reason': 'closing'})
            return
        READ_AHEAD.inc()
        self._unanswered.append(exchange)
        gevent.spawn(self._answer, exchange, answer_request)

    def list_earlier(self, exchange: Exchange) -> list[Exchange]:
        """Returns the unanswered requests before one."""
        earlier = []
        for other in self._unanswered:
            if other is exchange:
                break
            earlier.append(other)
        return earlier

    def is_last(self, exchange: Exchange) -> bool:
        """Returns whether no request has been begun behind one."""
        return self._unanswered[-1] is exchange

    def wait_for_answer(self) -> None:
        """Waits until the next answer is written."""
        self._answered.wait()

    def _answer(
        self, exchange: Exchange, answer_request: Callable[[], bool]
    ) -> None:
        is_closed = True
        try:
            is_closed = answer_request()
        finally:
            self._finish(exchange, is_closed)

    def _finish(self, exchange: Exchange, is_closed: bool) -> None:
        self._unanswered.remove(exchange)
        if is_closed:
            self.is_closing = True
            # An answer that closes the connection as planned is the last.
            self.is_broken |= bool(self._unanswered)
        answered, self._answered = self._answered, event.Event()
        answered.set()
        self._wake.set()

    def _start_reader_with_input(self) -> None:
        self._is_told_of_input = True
        self._start_reader()

    def _start_reader(self) -> None:
        self._watcher.stop()
        self._reader = gevent.spawn(self._run_reader)

    def _run_reader(self) -> None:
        """Reads requests until all that were begun are answered."""
        while self._unanswered:
            self._wake.clear()
            if self._may_read():
                if self._has_input():
                    self._read_one()
                    continue
                self._watcher.start(self._handle_input_event)
            self._wake.wait()
            self._watcher.stop()

    def _handle_input_event(self) -> None:
        self._is_told_of_input = True
        self._wake.set()

    def _may_read(self) -> bool:
        return (
            not self.is_closing
            and self._unanswered[-1].is_input_read
            and len(self._unanswered) < MAX_UNANSWERED
        )

    def _has_input(self) -> bool:
        if self._is_told_of_input:
            # A machine may not show by other means what the event loop told.
            self._is_told_of_input = False
            return True
        if has_buffered(self._stream):
            return True
        return bool(hangups.has_input(self._socket))

    def _read_one(self) -> None:
        may_follow = False
        try:
            may_follow = self._read_next(Exchange(self, is_follower=True))
        except Exception:  # pylint: disable=broad-exception-caught
            # The requests that were begun are still answered.
            _log.exception('pipeline.read_failed')
        self.is_closing |= not may_follow
        if self._stream.raw.is_ended and self._on_end is not None:
            self._on_end(self._socket)
