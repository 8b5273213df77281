"""Estimates how long messages from other nodes were delayed in transit.

An age in a message was computed when the message was sent. If the network
delays the message, the confirmation in it would look younger by that delay.
"""

import attrs

# Beyond this number, the least recently heard-from sender is forgotten.
_MAX_SENDERS = 1024
_MS_PER_S = 1000


@attrs.frozen
class _Offset:
    """Clock difference between two nodes, plus the shortest transit time.

    Attributes:
      incarnation: Incarnation of the sender's process; a new process may have
        another clock.
      min_offset_s: Smallest time of receipt minus time of sending, in seconds.
    """

    incarnation: int
    min_offset_s: float


class DelayTable:
    """Compares each message with the fastest message of its sender.

    >>> table = DelayTable()
    >>> table.measure('vm-1', 7, sent_ms=1000, now=50.25)
    0.0
    >>> table.measure('vm-1', 7, sent_ms=2000, now=53.25)
    2.0
    """

    def __init__(self):
        self._offsets: dict[str, _Offset] = {}

    def measure(
        self, vm: str, incarnation: int, sent_ms: int, now: float
    ) -> float:
        """Returns the delay of a message over the fastest one, in seconds.

        Args:
          vm: VM of the sender.
          incarnation: Incarnation of the sender's process.
          sent_ms: Time of sending on the sender's clock, in milliseconds.
          now: Time of receipt on this node's clock, in seconds.
        """
        offset_s = now - sent_ms / _MS_PER_S
        known = self._offsets.get(vm)
        if known is None or known.incarnation != incarnation:
            min_offset_s = offset_s
        else:
            min_offset_s = min(known.min_offset_s, offset_s)
        self._offsets.pop(vm, None)
        if len(self._offsets) >= _MAX_SENDERS:
            del self._offsets[next(iter(self._offsets))]
        self._offsets[vm] = _Offset(incarnation, min_offset_s)
        return offset_s - min_offset_s
