"""Pacing of the calls to a cold backend server.

A server in cold start falls over at a rate of calls that its slots would allow,
so a limit on the calls in flight doesn't protect it well enough.
"""

import math

import attrs


@attrs.frozen
class Pacer:
    """Spaces the starts of calls evenly until the end of cold start.

    Attributes:
      rate_per_s: Calls per second; 0 if they aren't paced.
      ends_at: Time at which pacing ends, in seconds.
      next_start_at: Earliest start of the next call, in seconds.
    """

    rate_per_s: float = 0.0
    ends_at: float = -math.inf
    next_start_at: float = -math.inf

    def is_over(self, now: float) -> bool:
        """Returns whether calls are no longer paced."""
        return self.rate_per_s <= 0 or now >= self.ends_at

    def allows(self, now: float) -> bool:
        """Returns whether a call may start now."""
        return self.is_over(now) or now >= self.next_start_at

    def record_start(self, now: float) -> 'Pacer':
        """Returns the pacer after a call that starts now.

        >>> pacer = Pacer(rate_per_s=10.0, ends_at=5.0).record_start(1.0)
        >>> pacer.allows(1.05), pacer.allows(1.1), pacer.allows(5.0)
        (False, True, True)
        """
        if self.is_over(now):
            return self
        started_at = max(now, self.next_start_at)
        return attrs.evolve(
            self, next_start_at=started_at + 1.0 / self.rate_per_s
        )

    def estimate_wait(self, ahead: float, now: float) -> float:
        """Returns how long a call waits behind ``ahead`` others, in seconds.

        >>> Pacer(rate_per_s=10.0, ends_at=5.0).estimate_wait(3, now=1.0)
        0.3
        """
        if self.is_over(now):
            return 0.0
        return min(ahead / self.rate_per_s, self.ends_at - now)

    def compute_limit(self, service_s: float, now: float) -> float:
        """Returns the number of calls in flight to expect at the rate.

        Args:
          service_s: Mean time of a call, in seconds.
          now: Current time in seconds.
        """
        if self.is_over(now) or service_s <= 0:
            return math.inf
        return math.ceil(self.rate_per_s * service_s) + 1
