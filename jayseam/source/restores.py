"""Reading a source that was restored from a copy."""

import math

import attrs


@attrs.frozen
class RestoreHold:
    """Time in which nothing is taken from a source that was restored.

    What was written after the copy was made is missing at first, although it
    was confirmed; its writers write it again.

    >>> hold = RestoreHold(grace_s=1.5).start(now=10.0)
    >>> hold.compute_wait(now=11.0), hold.compute_wait(now=12.0)
    (0.5, 0.0)

    Attributes:
      grace_s: Time that the writers have, in seconds.
      until: End of the hold, in seconds.
    """

    grace_s: float
    until: float = -math.inf

    def start(self, now: float) -> 'RestoreHold':
        """Returns the hold after a restore was noticed."""
        return attrs.evolve(self, until=now + self.grace_s)

    def compute_wait(self, now: float) -> float:
        """Returns the seconds until the end of the hold, zero after it."""
        return max(0.0, self.until - now)
