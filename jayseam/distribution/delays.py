"""How long messages of other nodes were held up on their way.

An age that a message carries is that of the moment at which it was sent. A
network that holds bytes up and delivers them later would make what they
confirm look younger by that time.
"""

import attrs

# Senders beyond this number are forgotten, the oldest first.
_MAX_SENDERS = 1024
_MS_PER_S = 1000


@attrs.frozen
class _Offset:
    """Difference between the clocks of two nodes, with the way between them.

    Attributes:
      incarnation: Process of the sender; another may have another clock.
      least_s: Least time of receipt less time of sending, in seconds.
    """

    incarnation: int
    least_s: float


class DelayTable:
    """Compares each message with the quickest one of its sender.

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
        """Returns the seconds by which a message came later than the quickest.

        Args:
          vm: VM of the sender.
          incarnation: Process of the sender.
          sent_ms: Time of sending on the sender's clock, in milliseconds.
          now: Time of receipt on the own clock, in seconds.
        """
        offset_s = now - sent_ms / _MS_PER_S
        known = self._offsets.get(vm)
        if known is None or known.incarnation != incarnation:
            least_s = offset_s
        else:
            least_s = min(known.least_s, offset_s)
        self._offsets.pop(vm, None)
        if len(self._offsets) >= _MAX_SENDERS:
            del self._offsets[next(iter(self._offsets))]
        self._offsets[vm] = _Offset(incarnation, least_s)
        return offset_s - least_s
