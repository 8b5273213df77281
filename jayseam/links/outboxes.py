"""Bounds the bytes that wait to be written to all peers together."""

from typing import Any

MAX_TOTAL_BYTES = 16 * 1024 * 1024
# Smaller messages are always queued: heartbeats and configurations must not
# wait for the answers of calls.
MIN_BOUNDED_BYTES = 16 * 1024


class OutboxTotal:
    """Counts the bytes that each link has not written yet.

    >>> total = OutboxTotal(max_bytes=100_000)
    >>> total.add('a', 70_000)
    >>> total.has_space(40_000), total.has_space(200)
    (False, True)
    >>> total.find_longest()
    'a'
    >>> total.remove('a')
    >>> total.n_bytes
    0

    Args:
      max_bytes: Bytes that may wait in all outboxes together.
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES):
        self._max_bytes = max_bytes
        self._bytes_by_link: dict[Any, int] = {}
        self.n_bytes = 0

    def add(self, link: Any, n_bytes: int) -> None:
        """Adds bytes of a link; a negative number takes them away."""
        self.n_bytes += n_bytes
        self._bytes_by_link[link] = self._bytes_by_link.get(link, 0) + n_bytes

    def remove(self, link: Any) -> None:
        """Takes away all bytes of a link that was closed."""
        self.n_bytes -= self._bytes_by_link.pop(link, 0)

    def has_space(self, n_bytes: int) -> bool:
        """Returns whether a message may be queued."""
        return (
            n_bytes < MIN_BOUNDED_BYTES
            or self.n_bytes + n_bytes <= self._max_bytes
        )

    def find_longest(self) -> Any:
        """Returns the link with the most bytes, or None."""
        return max(
            self._bytes_by_link, key=self._bytes_by_link.get, default=None
        )
