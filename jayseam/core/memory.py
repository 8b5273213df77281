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
# Part of the budget that heads of requests in progress may take, so that
# callers that don't finish their heads leave room for bodies and answers.
HEAD_SHARE = 0.125
# Uses of the budget: answers that are read, answers that are written, bodies
# of requests, and heads of requests that aren't complete.
READING = 'reading'
WRITING = 'writing'
REQUEST = 'request'
HEAD = 'head'

ENDED = prometheus_client.Counter(
    'jayseam_messages_ended_for_memory',
    'Messages that were refused or ended because the budget of bytes was used '
    'up, by use.',
    ['use'],
)

_log = logs.get_logger(__name__)


@attrs.define(eq=False)
class Holding:
    """Bytes that an answer or head in progress holds.

    Attributes:
      use: ``READING``, ``WRITING`` or ``HEAD``.
      end: Ends the answer or head at once; must not block.
      n_bytes: Bytes held.
    """

    use: str
    end: Callable[[], None]
    n_bytes: int = 0


class ByteBudget:
    """Grants bytes to messages and ends answers when too many are held.

    An answer whose caller doesn't read it is ended first, the oldest before
    the others; then the greatest answer that is being read. Heads have a share
    of their own: beyond it the greatest head is ended in favour of a smaller.

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
        self._max_head_bytes = int(size_bytes * HEAD_SHARE)
        self._request_bytes = 0
        self._answer_bytes = 0
        self._head_bytes = 0
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
        """Takes more bytes for an answer or head; may end others.

        Returns:
          Whether they were granted. If not, the answer or head itself must end.
          In both cases `release` gives back all its bytes.
        """
        while (
            self.held_bytes + n_bytes > self._size_bytes
            or self._is_beyond_share(holding, n_bytes)
        ):
            victim = self._choose_victim(holding, n_bytes)
            if victim is None:
                self._record_end(holding)
                return False
            self._record_end(victim)
            self.release(victim)
            victim.end()
        holding.n_bytes += n_bytes
        self._answer_bytes += n_bytes
        if holding.use == HEAD:
            self._head_bytes += n_bytes
        self._holdings[holding] = None
        return True

    def release(self, holding: Holding) -> None:
        """Gives back all bytes of an answer or head."""
        if holding in self._holdings:
            del self._holdings[holding]
            self._answer_bytes -= holding.n_bytes
            if holding.use == HEAD:
                self._head_bytes -= holding.n_bytes
            holding.n_bytes = 0

    def _is_beyond_share(self, holding: Holding, n_bytes: int) -> bool:
        """Returns whether more bytes of a head exceed the share of heads."""
        return (
            holding.use == HEAD
            and self._head_bytes + n_bytes > self._max_head_bytes
        )

    def _choose_victim(self, holding: Holding, n_bytes: int) -> Holding | None:
        """Returns what to end in favour of another answer or head, or None."""
        if holding.n_bytes + n_bytes > self._size_bytes:
            return None
        others = [other for other in self._holdings if other is not holding]
        if self._is_beyond_share(holding, n_bytes):
            heads = [other for other in others if other.use == HEAD]
            head = max(heads, key=lambda other: other.n_bytes, default=None)
            if head is None or head.n_bytes <= holding.n_bytes + n_bytes:
                return None
            return head
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
        if holding.use == HEAD:
            # A crowd of callers must not flood the log; the reader of the head
            # reports its end.
            return
        _log.warning(
            'memory.answer_ended',
            extra={
                'use': holding.use,
                'answer_bytes': holding.n_bytes,
                'held_bytes': self.held_bytes,
                'budget_bytes': self._size_bytes,
            },
        )
