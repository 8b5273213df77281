"""Bounds the bytes of the messages that a process holds at once.

A bound for each message is none for the process: many messages may be in
progress, and the process ends when it exceeds the memory of its VM.
"""

from collections.abc import Callable

import attrs
import prometheus_client

from jayseam.core import logs

DEFAULT_BUDGET_BYTES = 40_000_000
# Part of the budget that bodies of requests may take, so that callers that
# send slowly leave room for answers.
REQUEST_SHARE = 0.5
# Uses of the budget: answers that are read, and answers that are written.
READING = 'reading'
WRITING = 'writing'
REQUEST = 'request'

ENDED = prometheus_client.Counter(
    'jayseam_messages_ended_for_memory',
    'Messages that were refused or ended because the budget of bytes was used '
    'up, by use.',
    ['use'],
)

_log = logs.get_logger(__name__)


@attrs.define(eq=False)
class Holding:
    """Bytes that an answer in progress holds.

    Attributes:
      use: ``READING`` or ``WRITING``.
      end: Ends the answer at once; must not block.
      n_bytes: Bytes held.
    """

    use: str
    end: Callable[[], None]
    n_bytes: int = 0


class ByteBudget:
    """Grants bytes to messages and ends answers when too many are held.

    An answer whose caller doesn't read it is ended first, the oldest before
    the others; then the greatest answer that is being read.

    >>> budget = ByteBudget(100)
    >>> small, great = Holding(READING, print), Holding(READING, print)
    >>> budget.extend(small, 30), budget.extend(great, 60)
    (True, True)
    >>> budget.extend(great, 20)
    False
    >>> budget.release(great)
    >>> budget.take_request(51), budget.take_request(50)
    (False, True)

    Args:
      size_bytes: Bytes that all messages together may hold.
    """

    def __init__(self, size_bytes: int = DEFAULT_BUDGET_BYTES):
        self._size_bytes = size_bytes
        self._max_request_bytes = int(size_bytes * REQUEST_SHARE)
        self._request_bytes = 0
        self._answer_bytes = 0
        # In the order in which they began; a dict keeps it.
        self._holdings: dict[Holding, None] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._request_bytes + self._answer_bytes

    def take_request(self, n_bytes: int) -> bool:
        """Takes bytes for the body of a request.

        Returns:
          Whether they were granted. If so, `return_request` gives them back.
        """
        if (
            self._request_bytes + n_bytes > self._max_request_bytes
            or self.held_bytes + n_bytes > self._size_bytes
        ):
            ENDED.labels(REQUEST).inc()
            return False
        self._request_bytes += n_bytes
        return True

    def return_request(self, n_bytes: int) -> None:
        """Gives back the bytes of the body of a request."""
        self._request_bytes -= n_bytes

    def extend(self, holding: Holding, n_bytes: int) -> bool:
        """Takes more bytes for an answer; may end other answers.

        Returns:
          Whether they were granted. If not, the answer itself must end. In
          both cases `release` gives back all bytes of the answer.
        """
        while self.held_bytes + n_bytes > self._size_bytes:
            victim = self._choose_victim(holding, n_bytes)
            if victim is None:
                self._record_end(holding)
                return False
            self._record_end(victim)
            self.release(victim)
            victim.end()
        holding.n_bytes += n_bytes
        self._answer_bytes += n_bytes
        self._holdings[holding] = None
        return True

    def release(self, holding: Holding) -> None:
        """Gives back all bytes of an answer."""
        if holding in self._holdings:
            del self._holdings[holding]
            self._answer_bytes -= holding.n_bytes
            holding.n_bytes = 0

    def _choose_victim(self, holding: Holding, n_bytes: int) -> Holding | None:
        """Returns the answer to end in favour of another, or None."""
        if holding.n_bytes + n_bytes > self._size_bytes:
            return None
        others = [other for other in self._holdings if other is not holding]
        for other in others:
            if other.use == WRITING:
                return other
        greatest = max(others, key=lambda other: other.n_bytes, default=None)
        if greatest is None or (
            holding.use == READING
            and greatest.n_bytes <= holding.n_bytes + n_bytes
        ):
            return None
        return greatest

    def _record_end(self, holding: Holding) -> None:
        ENDED.labels(holding.use).inc()
        _log.warning(
            'memory.answer_ended',
            extra={
                'use': holding.use,
                'answer_bytes': holding.n_bytes,
                'held_bytes': self.held_bytes,
                'budget_bytes': self._size_bytes,
            },
        )
