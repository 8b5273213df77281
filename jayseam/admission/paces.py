"""The rate at which a cold backend server is given calls.

A server in cold start falls over at a rate that its slots would allow, so
calls in flight don't bound it well enough.
"""

import math

import attrs


@attrs.frozen
class Pace:
    """Spaces calls evenly until a time.

    Attributes:
      rate_per_s: Calls per second; 0 if they aren't spaced.
      until: Time at which the pace ends, in seconds.
      next_at: Time of the next call, in seconds.
    """

    rate_per_s: float = 0.0
    until: float = -math.inf
    next_at: float = -math.inf

    def is_over(self, now: float) -> bool:
        """Tells whether calls aren't spaced any more."""
        return self.rate_per_s <= 0 or now >= self.until

    def allows(self, now: float) -> bool:
        """Tells whether a call may begin now."""
        return self.is_over(now) or now >= self.next_at

    def take(self, now: float) -> 'Pace':
        """Returns the pace after a call that begins now.

        >>> pace = Pace(rate_per_s=10.0, until=5.0).take(1.0)
        >>> pace.allows(1.05), pace.allows(1.1), pace.allows(5.0)
        (False, True, True)
        """
        if self.is_over(now):
            return self
        begun_at = max(now, self.next_at)
        return attrs.evolve(self, next_at=begun_at + 1.0 / self.rate_per_s)

    def estimate_wait(self, ahead: float, now: float) -> float:
        """Returns how long a call waits behind others, in seconds.

        >>> Pace(rate_per_s=10.0, until=5.0).estimate_wait(3, now=1.0)
        0.3
        """
        if self.is_over(now):
            return 0.0
        return min(ahead / self.rate_per_s, self.until - now)

    def compute_limit(self, service_s: float, now: float) -> float:
        """Returns the calls in flight that the pace leads to.

        Args:
          service_s: Mean time of a call, in seconds.
          now: Current time in seconds.
        """
        if self.is_over(now) or service_s <= 0:
            return math.inf
        return math.ceil(self.rate_per_s * service_s) + 1
