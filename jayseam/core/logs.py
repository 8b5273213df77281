"""Structured logs with one JSON object per line."""

import errno
import logging
import os
import select
import sys
from collections.abc import Callable
from typing import Any, TextIO

import prometheus_client
from pythonjsonlogger import json as json_logger

from jayseam.core import clocks

_ROOT = 'jayseam'
# A call writes about three lines, and a node serves about 54 calls per second.
LINES_PER_S = 400.0
BURST_LINES = 800.0

DROPPED_LINES = prometheus_client.Counter(
    'jayseam_log_lines_dropped',
    'Log lines that the output did not take, by reason',
    ('reason',),
)


def configure_logs(level: str, stream: Any = None, **context: str) -> None:
    """Sends the logs of jayseam to a stream as JSON lines.

    Args:
      level: A level name of the standard library, such as ``INFO``.
      stream: Text file or `NonBlockingStream` to write to; standard error by
        default.
      **context: Fields added to every line, for example ``vm`` and ``zone``.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
                'message': 'event',
            },
            static_fields=context,
        )
    )
    handler.addFilter(RateLimitFilter())
    root = logging.getLogger(_ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


class RateLimitFilter(logging.Filter):
    """Limits the lines per second, so that load can't flood the output.

    The filter is a token bucket. Warnings and errors always pass. The next line
    that passes reports the number of lines that were dropped before it.

    >>> limiter = RateLimitFilter(1.0, burst=1.0, read_now=lambda: 5.0)
    >>> record = logging.makeLogRecord({'levelno': logging.INFO})
    >>> limiter.filter(record), limiter.filter(record), limiter.dropped
    (True, False, 1)
    """

    def __init__(
        self,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        read_now: Callable[[], float] = clocks.read_now,
    ):
        super().__init__()
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._read_now = read_now
        self._tokens = burst
        self._updated_at = read_now()
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a line may be written."""
        now = self._read_now()
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        tokens = self._tokens + elapsed_s * self._lines_per_s
        self._tokens = min(self._burst, tokens)
        if record.levelno < logging.WARNING and self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        if self.dropped:
            record.dropped_lines, self.dropped = self.dropped, 0
        return True


class NonBlockingStream:
    """Writes to a file descriptor without ever blocking the process.

    Drops whole lines while the reader is too slow, and lines whose write fails.
    Where a descriptor can't be made non-blocking, writes are of a size for
    which a pipe that is ready has room.

    Args:
      file: An open file, whose descriptor becomes non-blocking; None if the
        process was started without this stream, so that all lines are dropped.

    Attributes:
      dropped: Number of lines that were dropped.
      blocking_reason: Why the descriptor can't be made non-blocking; None if it
        is non-blocking.

    References:
      ``pipe(7)``, PIPE_BUF.
    """

    def __init__(self, file: TextIO | None):
        self._descriptor = None if file is None else file.fileno()
        self._unwritten = b''
        self.dropped = 0
        self.blocking_reason: str | None = None
        if self._descriptor is None:
            return
        try:
            os.set_blocking(self._descriptor, False)
        except OSError as error:
            self.blocking_reason = str(error)

    def write(self, text: str) -> None:
        """Writes a line, or drops it if there is no room."""
        if self._unwritten and not self._write(b''):
            self._drop('full')
            return
        self._write(text.encode('utf-8', 'backslashreplace'))

    def flush(self) -> None:
        """Does nothing: only the rest of a partly written line is buffered."""

    def _write(self, data: bytes) -> bool:
        """Returns whether all was written; buffers the rest of a cut line."""
        data = self._unwritten + data
        reason = 'full'
        written = 0
        try:
            written = self._write_part(data)
        except BlockingIOError:
            pass
        except OSError as error:
            reason = errno.errorcode.get(error.errno, 'unknown')
        if not written and not self._unwritten:
            self._drop(reason)
            return False
        self._unwritten = data[written:]
        return not self._unwritten

    def _write_part(self, data: bytes) -> int:
        """Returns the number of bytes that were written without blocking."""
        if self._descriptor is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        if self.blocking_reason is None:
            return os.write(self._descriptor, data)
        written = 0
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        while written < len(data) and poller.poll(0):
            part = data[written : written + select.PIPE_BUF]
            written += os.write(self._descriptor, part)
        return written

    def _drop(self, reason: str) -> None:
        self.dropped += 1
        DROPPED_LINES.labels(reason).inc()


def get_logger(name: str) -> logging.Logger:
    """Returns the logger of a module of jayseam.

    The message of each log record is a stable event name; details are passed in
    ``extra``.
    """
    return logging.getLogger(name if name.startswith(_ROOT) else _ROOT)
