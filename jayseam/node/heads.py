"""Bounds the heads of requests: request line and header fields.

The bytes of one head are bounded, and those of all heads in progress are taken
from the budget of bytes of the process while they are read.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import BinaryIO

from jayseam.calls import errors
from jayseam.calls import problems
from jayseam.core import clocks
from jayseam.core import memory
from jayseam.node import refusals

DEFAULT_MAX_BYTES = 65536
# Bytes of a line that are read before they are taken from the budget.
_PART_BYTES = 4096
# Bytes that are taken from the budget at a time, to keep its cost low for the
# many short lines of ordinary heads.
_STEP_BYTES = 1024
# Size up to which a complete head is held without being counted. Heads of
# ordinary requests take 0.2 to 2 kB.
UNCOUNTED_BYTES = 4096
_RETRY_AFTER_S = 1.0


class BoundedHead:
    """Reads the lines of one head and takes memory for them.

    Args:
      stream: The input of the connection.
      budget: Bytes of all messages in progress.
      holding: Bytes of the budget that the head holds.
      max_bytes: Most bytes of the head.

    Attributes:
      n_bytes: Bytes of the head that have been read.
      is_ended: Whether the head was ended in favour of another.
    """

    def __init__(
        self,
        stream: BinaryIO,
        budget: memory.ByteBudget,
        holding: memory.Holding,
        max_bytes: int,
    ):
        self._stream = stream
        self._budget = budget
        self._holding = holding
        self._max_bytes = max_bytes
        self.n_bytes = 0
        self.is_ended = False

    def readline(self, size: int) -> bytes:
        """Reads a line of up to ``size`` bytes.

        Raises:
          HeadersTooLargeError: If the head is larger than the bound.
          NotRunError: If heads in progress take too much memory.
        """
        line = self._read_part(min(size, _PART_BYTES))
        while line and line[-1:] != b'\n' and len(line) < size:
            part = self._read_part(min(size - len(line), _PART_BYTES))
            if not part:
                break
            line += part
        return line

    def _read_part(self, size: int) -> bytes:
        """Reads and counts a part of a line."""
        try:
            part = self._stream.readline(size)
        except OSError:
            # Waiting for input fails when the head is ended for another.
            if not self.is_ended:
                raise
            part = b''
        self.count(len(part))
        return part

    def count(self, n_bytes: int) -> None:
        """Takes memory for bytes of the head.

        Raises:
          HeadersTooLargeError: If the head is larger than the bound.
          NotRunError: If heads in progress take too much memory.
        """
        self.n_bytes += n_bytes
        if self.n_bytes > self._max_bytes:
            raise errors.HeadersTooLargeError(
                f'heads end at {self._max_bytes} bytes'
            )
        n_uncounted = self.n_bytes - self._holding.n_bytes
        if self.is_ended or (
            n_uncounted >= _STEP_BYTES
            and not self._budget.extend(self._holding, n_uncounted)
        ):
            raise errors.NotRunError(
                'too many heads of requests in progress', _RETRY_AFTER_S
            )


class HeadBounds:
    """Bounds of the heads of one listener.

    Args:
      budget: Bytes of all messages in progress.
      max_bytes: Most bytes of one head.
      refusal_log: Reports refused heads.
    """

    def __init__(
        self,
        budget: memory.ByteBudget,
        max_bytes: int,
        refusal_log: refusals.RefusalLog,
    ):
        self._budget = budget
        self._max_bytes = max_bytes
        self._refusal_log = refusal_log

    @contextlib.contextmanager
    def open(
        self, stream: BinaryIO, close_input: Callable[[], None]
    ) -> Iterator[BoundedHead]:
        """Yields a reader of one head, and reports if the head is refused.

        Args:
          stream: The input of the connection.
          close_input: Ends the input, so that reading the head fails at once.
        """

        def end() -> None:
            head.is_ended = True
            close_input()

        holding = memory.Holding(memory.HEAD, end)
        head = BoundedHead(stream, self._budget, holding, self._max_bytes)
        try:
            yield head
        except errors.HeadersTooLargeError:
            self._refusal_log.record(refusals.HEAD_SIZE, clocks.read_now())
            raise
        except errors.NotRunError:
            self._refusal_log.record(refusals.HEAD_MEMORY, clocks.read_now())
            raise
        finally:
            self._budget.release(holding)


def render_refusal(error: Exception) -> tuple[str, bytes]:
    """Returns the status line and answer to a request that can't be parsed.

    Args:
      error: A `CallError`; any other is answered as a malformed request.
    """
    if not isinstance(error, errors.CallError):
        error = errors.BadRequestError('the request is malformed')
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
