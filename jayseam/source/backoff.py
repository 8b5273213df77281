"""Exponential backoff with full jitter.

References:
  Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
"""

from collections.abc import Callable

import attrs

DEFAULT_CAP_S = 1.0
DEFAULT_MAX_CAP_S = 8.0


@attrs.frozen
class Backoff:
    """Immutable backoff state of one activity.

    Attributes:
      cap_s: Upper bound of the first wait, in seconds.
      max_cap_s: Limit of the upper bound, which doubles with each failure, in
        seconds.
      failures: Failures since the last success.
      not_before: Earliest time of the next attempt, in seconds.
    """

    cap_s: float = DEFAULT_CAP_S
    max_cap_s: float = DEFAULT_MAX_CAP_S
    failures: int = 0
    not_before: float = 0.0

    def fail(self, now: float, uniform: float) -> 'Backoff':
        """Returns the state after a failure.

        >>> state = Backoff().fail(now=10.0, uniform=0.5)
        >>> state.not_before
        10.5
        >>> state.fail(now=11.0, uniform=0.5).not_before
        12.0

        Args:
          now: Current time in seconds.
          uniform: Random number in [0, 1).
        """
        # The exponent is bounded because 2.0 ** 1024 overflows a float.
        growth = 2.0 ** min(self.failures, 32)
        cap_s = min(self.max_cap_s, self.cap_s * growth)
        return attrs.evolve(
            self,
            failures=self.failures + 1,
            not_before=now + uniform * cap_s,
        )

    def succeed(self) -> 'Backoff':
        """Returns the state after a success."""
        return attrs.evolve(self, failures=0, not_before=0.0)

    def compute_wait(self, now: float) -> float:
        """Returns the seconds until the next attempt, zero if it is due."""
        return max(0.0, self.not_before - now)


class RetryTimer:
    """Applies `Backoff` with random jitter to one activity.

    >>> retry = RetryTimer(uniform=lambda: 0.5)
    >>> retry.fail(now=10.0), retry.compute_wait(now=10.4) > 0.0
    (0.5, True)
    >>> retry.succeed()
    >>> retry.failures, retry.compute_wait(now=10.4)
    (0, 0.0)
    """

    def __init__(
        self,
        uniform: Callable[[], float],
        cap_s: float = DEFAULT_CAP_S,
        max_cap_s: float = DEFAULT_MAX_CAP_S,
    ):
        """Starts without failures.

        Args:
          uniform: Returns a random number in [0, 1).
          cap_s: Upper bound of the first wait, in seconds.
          max_cap_s: Limit of the upper bound, in seconds.
        """
        self._uniform = uniform
        self._state = Backoff(cap_s, max_cap_s)

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._state.failures

    def fail(self, now: float) -> float:
        """Records a failure and returns the seconds until the next attempt."""
        self._state = self._state.fail(now, self._uniform())
        return self._state.compute_wait(now)

    def succeed(self) -> None:
        """Records a success."""
        self._state = self._state.succeed()

    def compute_wait(self, now: float) -> float:
        """Returns the seconds until the next attempt, zero if it is due."""
        return self._state.compute_wait(now)
