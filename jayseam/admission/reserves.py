"""Starts reserved for short calls, such as nested ones.

A running request may be blocked on nested calls to other backend servers. They
have short timeouts and would fail behind longer calls, and the work of the
request would be lost.

See Also:
  ``docs/design/order-of-service.md``.
"""

import attrs

# Kinds with a timeout under this number of mean service times are short.
SHORT_SERVICE_TIMES = 2.0
# Weight of a new sample in the moving averages of service times.
SAMPLE_WEIGHT = 0.05
# Weight of a shorter timeout in the timeout of a kind, and most kinds tracked.
TIMEOUT_WEIGHT = 0.01
MAX_KINDS = 1024
# With a limit of one, every start would be reserved.
MIN_ROUND = 2


@attrs.frozen
class Occupancy:
    """Mean service time of the calls that occupy the slots.

    A call that waits finds long calls in the slots more often than short ones,
    so this mean is weighted by the service times themselves. With the plain
    mean, many nested calls would make each other appear long.

    Attributes:
      first_s: Moving average of the service times, in seconds.
      second_s2: Moving average of their squares, in seconds squared.
    """

    first_s: float = 0.0
    second_s2: float = 0.0

    @property
    def mean_s(self) -> float:
        """The mean in seconds; zero if no call has been measured.

        >>> round(Occupancy().add_sample(0.1).add_sample(0.1).mean_s, 3)
        0.1
        """
        return self.second_s2 / self.first_s if self.first_s else 0.0

    def add_sample(self, service_s: float) -> 'Occupancy':
        """Returns the occupancy after another call."""
        if not self.first_s:
            return Occupancy(service_s, service_s**2)
        return Occupancy(
            self.first_s + SAMPLE_WEIGHT * (service_s - self.first_s),
            self.second_s2 + SAMPLE_WEIGHT * (service_s**2 - self.second_s2),
        )


@attrs.frozen
class Reserve:
    """The time of one slot in each round of the limit, for short calls.

    A round is as many starts as the limit. Counted in time rather than in
    starts, a round has room for several calls that are much shorter than the
    others.

    Attributes:
      credit_s: Reserved service time that short calls haven't used, in seconds.
    """

    credit_s: float = 0.0

    def is_due(self) -> bool:
        """Returns whether the next start is reserved for a short call.

        >>> reserve = Reserve().record_start(0.02, True, limit=6, mean_s=0.12)
        >>> reserve.is_due()
        False
        >>> reserve.record_start(0.12, False, limit=6, mean_s=0.12).is_due()
        True
        """
        return self.credit_s >= 0

    def record_start(
        self, service_s: float, is_short_call: bool, limit: int, mean_s: float
    ) -> 'Reserve':
        """Returns the reserve after a start.

        Args:
          service_s: Expected service time of the call, in seconds.
          is_short_call: Whether it is a short call.
          limit: Calls allowed in flight.
          mean_s: Mean service time of the calls in the slots, in seconds.
        """
        credit_s = self.credit_s + service_s / max(MIN_ROUND, limit)
        if is_short_call:
            credit_s -= service_s
        return Reserve(min(credit_s, mean_s))


class Timeouts:
    """Timeouts of the kinds of calls.

    A call of a kind with a long timeout may have little time left, for example
    when its caller has retried. It isn't a nested call for that.

    >>> timeouts = Timeouts()
    >>> timeouts.record('h', 2.0)
    2.0
    >>> round(timeouts.record('h', 0.1), 2)
    1.98
    """

    def __init__(self):
        self._by_kind: dict[str, float] = {}

    def record(self, kind: str, timeout_s: float) -> float:
        """Adds a call and returns the timeout of its kind, in seconds.

        It follows a longer timeout at once and shorter ones slowly.
        """
        known_s = self._by_kind.get(kind, 0.0)
        if timeout_s < known_s:
            timeout_s = known_s + TIMEOUT_WEIGHT * (timeout_s - known_s)
        elif len(self._by_kind) >= MAX_KINDS:
            self._by_kind.clear()
        self._by_kind[kind] = timeout_s
        return timeout_s


def is_short(timeout_s: float, mean_s: float) -> bool:
    """Returns whether calls of a kind may use reserved starts.

    >>> is_short(0.258, mean_s=0.15), is_short(1.2, mean_s=0.15)
    (True, False)

    Args:
      timeout_s: Timeout of the kind in seconds.
      mean_s: Mean service time of the calls in the slots, in seconds.
    """
    return timeout_s < SHORT_SERVICE_TIMES * mean_s
