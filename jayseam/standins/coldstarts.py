"""Cold starts of the backend stand-in: capacity that grows after a start."""

import attrs


@attrs.frozen
class ColdStart:
    """Growth of the capacity after a start.

    Attributes:
      initial_slots: Capacity at the start.
      duration_s: Seconds until the capacity reaches all slots; with 0 the
        server starts warm.
      fall_over_s: Seconds for which every request fails after a request exceeds
        the capacity of a cold server. The cold start then begins again.
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
        """Ends the period in which every request fails."""
        self._failing_until = 0.0

    def fall_over(self, now: float) -> None:
        """Fails every request for `fall_over_s`, then starts cold again."""
        self._failing_until = now + self._cold_start.fall_over_s
        self._cold_since = self._failing_until

    def is_failing(self, now: float) -> bool:
        """Returns whether every request fails at ``now``."""
        return now < self._failing_until

    def capacity(self, now: float) -> float:
        """Returns how many requests can run at ``now``."""
        settings = self._cold_start
        if settings.duration_s <= 0:
            return self._slots
        progress = min(1.0, (now - self._cold_since) / settings.duration_s)
        span = self._slots - settings.initial_slots
        return settings.initial_slots + span * max(0.0, progress)

    def is_cold(self, now: float) -> bool:
        """Returns whether the capacity is below the number of slots."""
        return self.capacity(now) < self._slots
