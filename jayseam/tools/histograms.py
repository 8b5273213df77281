"""Histograms of durations."""

from collections.abc import Iterable

from hdrh import histogram

_MAX_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def make_histogram(seconds: Iterable[float] = ()) -> histogram.HdrHistogram:
    """Returns a histogram in microseconds, filled with durations in seconds.

    >>> make_histogram([0.001, 0.002]).get_total_count()
    2
    """
    result = histogram.HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
    for value in seconds:
        record_seconds(result, value)
    return result


def record_seconds(target: histogram.HdrHistogram, seconds: float) -> None:
    """Adds a duration in seconds to a histogram in microseconds."""
    target.record_value(min(_MAX_US, max(1, round(seconds * 1e6))))


def summarize_ms(
    source: histogram.HdrHistogram | None,
) -> dict[str, float]:
    """Returns percentiles and maximum in milliseconds; empty without values.

    >>> summarize_ms(make_histogram([0.001]))['p50']
    1.0
    >>> summarize_ms(None)
    {}
    """
    if source is None or not source.get_total_count():
        return {}
    summary = {
        f'p{percentile:g}': source.get_value_at_percentile(percentile) / 1000.0
        for percentile in _PERCENTILES
    }
    return {**summary, 'max': source.get_max_value() / 1000.0}
