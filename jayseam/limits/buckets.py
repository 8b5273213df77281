"""An immutable token bucket that reserves capacity for outstanding tokens.

The window bound of a single bucket: if ``level`` plus the outstanding tokens
never exceeds ``burst``, and the level grows by at most ``rate_per_s`` a second,
then the tokens spent in any window of length w are at most
``burst + rate_per_s * w``.
"""

import attrs


@attrs.frozen(slots=True)
class Bucket:
    """State of a token bucket at one time.

    Attributes:
      rate_per_s: Tokens that accrue in one second.
      burst: Capacity, in tokens.
      level: Tokens that can be taken.
      updated: Time to which accrual has been counted, in seconds.
    """

    rate_per_s: float
    burst: float
    level: float
    updated: float

    def refill(self, now: float, outstanding: float = 0.0) -> 'Bucket':
        """Returns the bucket at ``now``.

        Args:
          now: Time in seconds. A time before `updated` changes nothing.
          outstanding: Tokens handed out that count against the capacity.

        >>> Bucket(10.0, 5.0, 0.0, 0.0).refill(0.2).level
        2.0
        >>> Bucket(10.0, 5.0, 0.0, 0.0).refill(9.0, outstanding=1.5).level
        3.5
        """
        elapsed = max(0.0, now - self.updated)
        room = max(0.0, self.burst - outstanding)
        level = min(room, self.level + elapsed * self.rate_per_s)
        return Bucket(
            self.rate_per_s, self.burst, level, max(now, self.updated)
        )

    def resize(
        self, rate_per_s: float, burst: float, outstanding: float = 0.0
    ) -> 'Bucket':
        """Returns the bucket with another rate and capacity.

        A larger capacity adds no tokens; a smaller one discards the excess.

        >>> Bucket(1.0, 5.0, 4.0, 0.0).resize(1.0, 3.0).level
        3.0
        """
        level = min(self.level, max(0.0, burst - outstanding))
        return Bucket(rate_per_s, burst, level, self.updated)

    def add(self, tokens: float) -> 'Bucket':
        """Returns the bucket with ``tokens`` added, or removed if negative.

        >>> Bucket(1.0, 5.0, 4.0, 0.0).add(-1.5).level
        2.5
        """
        return attrs.evolve(self, level=max(0.0, self.level + tokens))
