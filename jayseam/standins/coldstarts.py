"""Cold starts of the backend stand-in: capacity that grows after a start."""

import attrs


@attrs.frozen
class ColdStart:
    """How capacity grows after a start.

    Attributes:
      initial_slots: Capacity at the start.
      duration_s: Seconds until the capacity is all slots; 0 starts warm.
      fall_over_s: Seconds for which every request fails after one request
        too many. The cold start then begins again.
    """

    initial_slots: int = 1
    duration_s: float = 0.0
    fall_over_s: float = 1.0


class ColdStartModel:
    """The capacity of one backend server over time.

    Times are seconds of `clocks.read_now`.

    >>> model = ColdStartModel(ColdStart(2, duration_s=4.0), slots=10)
    >>> model.begin(now=100.0)
    >>> model.capacity(100.0), model.capacity(102.0), model.capacity(104.0)
    (2.0, 6.0, 10.0)

    Args:
      cold_start: How the capacity grows.
      slots: Capacity of a warm server.
    """

    def __init__(self, cold_start: ColdStart, slots: int):
        self._cold_start = cold_start
        self._slots = slots
        self._cold_since = 0.0
        self._failing_until = 0.0

    def begin(self, now: float) -> None:
        """Begins a cold start."""
        self._cold_since = now

    def recover(self) -> None:
        """Ends the failures that follow a fall."""
        self._failing_until = 0.0

    def fall_over(self, now: float) -> None:
        """Fails every request for a while, then starts cold again."""
        self._failing_until = now + self._cold_start.fall_over_s
        self._cold_since = self._failing_until

    def is_failing(self, now: float) -> bool:
        """Tells whether every request fails at ``now``."""
        return now < self._failing_until

    def capacity(self, now: float) -> float:
        """Returns how many requests can run at ``now``."""
        cold = self._cold_start
        if cold.duration_s <= 0:
            return self._slots
        grown = min(1.0, (now - self._cold_since) / cold.duration_s)
        span = self._slots - cold.initial_slots
        return cold.initial_slots + span * max(0.0, grown)

    def is_cold(self, now: float) -> bool:
        """Tells whether the capacity is less than all slots."""
        return self.capacity(now) < self._slots
