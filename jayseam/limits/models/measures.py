"""Comparisons of call times with a single token bucket."""

from collections.abc import Iterable


def measure_overshoot(
    times: Iterable[float], rate_per_s: float, burst: float
) -> float:
    """Returns the largest excess over ``burst + rate * w`` in any window.

    >>> measure_overshoot([0.0, 0.0, 0.0], rate_per_s=1.0, burst=2.0)
    1.0
    """
    level, last, worst = burst, None, 0.0
    for time in sorted(times):
        if last is not None:
            level = min(burst, level + (time - last) * rate_per_s)
        level -= 1.0
        last = time
        worst = max(worst, -level)
    return worst


def count_conforming(
    times: Iterable[float], rate_per_s: float, burst: float
) -> int:
    """Returns how many calls a single token bucket would have admitted."""
    level, last, count = burst, 0.0, 0
    for time in sorted(times):
        level = min(burst, level + (time - last) * rate_per_s)
        last = time
        if level >= 1.0:
            level -= 1.0
            count += 1
    return count
