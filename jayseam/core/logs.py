"""Structured logs: one JSON object a line."""

import logging
import os
import sys
from collections.abc import Callable
from typing import Any, TextIO

from pythonjsonlogger import json as json_logger

from jayseam.core import clocks

_ROOT = 'jayseam'
# A call takes about three lines; a node serves some 54 calls a second.
LINES_PER_S = 400.0
BURST_LINES = 800.0


def configure_logs(level: str, stream: Any = None, **context: str) -> None:
    """Sends the logs of jayseam to a stream as JSON lines.

    Args:
      level: A level name of the standard library, such as ``INFO``.
      stream: Where to write, a text file or `NonBlockingStream`; standard
        error by default.
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
    handler.addFilter(BoundedFilter())
    root = logging.getLogger(_ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


class BoundedFilter(logging.Filter):
    """Bounds the lines per second, so that load can't fill the output.

    Warnings and errors always pass. The number of lines that were dropped
    stands in the next line that passes.

    >>> bounded = BoundedFilter(1.0, burst=1.0, read_now=lambda: 5.0)
    >>> record = logging.makeLogRecord({'levelno': logging.INFO})
    >>> bounded.filter(record), bounded.filter(record), bounded.dropped
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
        self._level = burst
        self._updated = read_now()
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a line may be written."""
        now = self._read_now()
        elapsed_s = max(0.0, now - self._updated)
        self._updated = now
        accrued = self._level + elapsed_s * self._lines_per_s
        self._level = min(self._burst, accrued)
        if record.levelno < logging.WARNING and self._level < 1.0:
            self.dropped += 1
            return False
        self._level = max(0.0, self._level - 1.0)
        if self.dropped:
            record.dropped_lines, self.dropped = self.dropped, 0
        return True


class NonBlockingStream:
    """Writes to a file descriptor that never blocks the process.

    What a slow reader leaves no room for is dropped in whole lines.

    Args:
      file: An open file; its descriptor becomes non-blocking.
    """

    def __init__(self, file: TextIO):
        self._descriptor = file.fileno()
        os.set_blocking(self._descriptor, False)
        self._rest = b''
        self.dropped = 0

    def write(self, text: str) -> None:
        """Writes a line, or drops it if there is no room."""
        if self._rest and not self._write(b''):
            self.dropped += 1
            return
        self._write(text.encode())

    def flush(self) -> None:
        """Does nothing: nothing is kept but the end of a line begun."""

    def _write(self, data: bytes) -> bool:
        """Tells whether all was written; keeps the end of a line begun."""
        data = self._rest + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        if not written and not self._rest:
            self.dropped += 1
            return False
        self._rest = data[written:]
        return not self._rest


def get_logger(name: str) -> logging.Logger:
    """Returns the logger of a module of jayseam.

    The message of each record is a stable event name; details go into
    ``extra``.
    """
    return logging.getLogger(name if name.startswith(_ROOT) else _ROOT)
