"""Statistics that experiments share."""

from collections.abc import Sequence

from jayseam.tools import histograms


def compute_percentile_ms(seconds: Sequence[float], percentile: float) -> float:
    """Returns a percentile of durations, in milliseconds; NaN if none.

    >>> compute_percentile_ms([0.001] * 99 + [0.5], 50)
    1.0
    >>> compute_percentile_ms([], 50)
    nan

    Args:
      seconds: The durations.
      percentile: From 0 to 100.
    """
    if not seconds:
        return float('nan')
    percentile_us = histograms.make_histogram(seconds).get_value_at_percentile(
        percentile
    )
    return percentile_us / 1000.0


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Returns the slope of the least-squares line through points.

    >>> fit_slope([1, 2, 3], [5.0, 7.0, 9.0])
    2.0
    >>> fit_slope([12, 24], [1.0, 1.0])
    0.0

    Raises:
      ValueError: If there are fewer than two different sizes.
    """
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    if not spread:
        raise ValueError('a slope needs two different sizes')
    return (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / spread
    )
