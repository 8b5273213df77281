"""An adaptive limit on the calls in flight at one backend server.

The limit falls by a tenth when the backend server sheds a call and rises by
one for each full window of successes, between 1 and the number of slots.

References:
  Chiu and Jain, "Analysis of the increase and decrease algorithms for
  congestion avoidance in computer networks", 1989.
"""

import math

import attrs

CUT_FACTOR = 0.9
MIN_LIMIT = 1.0
# Weight of a new sample in the moving average of the round-trip time.
ROUND_TRIP_WEIGHT = 0.1
# Least time between two cuts until a call has been measured.
DEFAULT_ROUND_TRIP_S = 0.05


@attrs.frozen
class AdaptiveLimit:
    """The limit and the values from which the next limit is computed.

    Attributes:
      ceiling: Greatest limit, the number of slots.
      value: Current limit before rounding down.
      round_trip_s: Moving average of the time of a call in seconds.
      cut_at: Time of the last cut, in seconds; None if there was none.
    """

    ceiling: int
    value: float
    round_trip_s: float = DEFAULT_ROUND_TRIP_S
    cut_at: float | None = None

    def compute_limit(self) -> int:
        """Returns the limit as a whole number of calls, at least 1.

        >>> AdaptiveLimit(ceiling=10, value=9.0).compute_limit()
        9
        """
        return max(1, math.floor(self.value))

    def record_shed(self, now: float) -> 'AdaptiveLimit':
        """Returns the limit after the backend server shed a call.

        Calls in flight together are often shed together, so the limit falls
        at most once per round trip.

        >>> once = AdaptiveLimit(ceiling=10, value=10.0).record_shed(now=5.0)
        >>> once.value, once.record_shed(now=5.01).value
        (9.0, 9.0)
        """
        if self.cut_at is not None and now < self.cut_at + self.round_trip_s:
            return self
        value = max(MIN_LIMIT, self.value * CUT_FACTOR)
        return attrs.evolve(self, value=value, cut_at=now)

    def record_success(
        self, latency_s: float, in_flight: int
    ) -> 'AdaptiveLimit':
        """Returns the limit after a call succeeded.

        The limit only rises while it is reached: a success with fewer calls in
        flight doesn't show that a higher limit is safe.

        Args:
          latency_s: Time the call took, in seconds.
          in_flight: Calls in flight including the one that has finished.
        """
        round_trip_s = self.round_trip_s + ROUND_TRIP_WEIGHT * (
            latency_s - self.round_trip_s
        )
        value = self.value
        if in_flight >= self.compute_limit():
            value = min(float(self.ceiling), value + 1.0 / value)
        return AdaptiveLimit(self.ceiling, value, round_trip_s, self.cut_at)

    def resize(self, ceiling: int) -> 'AdaptiveLimit':
        """Returns the limit under another number of slots.

        A limit that no shed has lowered follows the slots; a lowered one
        grows by successes only.
        """
        follows_slots = self.value >= self.ceiling
        value = float(ceiling) if follows_slots else min(self.value, ceiling)
        return attrs.evolve(self, ceiling=ceiling, value=max(MIN_LIMIT, value))


def build_limit(slots: int) -> AdaptiveLimit:
    """Returns the limit of a backend server that has shed nothing yet."""
    return AdaptiveLimit(slots, max(MIN_LIMIT, float(slots)))
