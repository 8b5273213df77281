"""Usual service times of each kind of call, to tell slow answers by."""

import math
from collections.abc import Mapping

import attrs

# Samples before a kind is compared with its baseline.
MIN_SAMPLES = 3
# Samples that weigh as much as in a plain mean, whatever the time.
MIN_MEAN_SAMPLES = 6
# Weight of a sample from a calm time once the baseline is established.
CALM_WEIGHT = 0.025
# Weight of a sample from a busy or slow time. A slow spell of 60 answers that
# take five times as long raises the baseline by less than a third.
BUSY_WEIGHT = 0.003
# Weight while answers are faster than the baseline, which was then measured on
# a cold or slow server.
FASTER_WEIGHT = 0.1
# Deviation of the logarithm of service times that is assumed before it has been
# measured.
DEFAULT_SPREAD = 0.5
# Greatest weight of one deviation in the estimate of the spread.
MAX_SPREAD_WEIGHT = 0.1
# Ratios are clipped, so that one stuck call doesn't outweigh many others.
MAX_LOG_RATIO = math.log(16.0)
MIN_SERVICE_S = 1e-4
MAX_KINDS = 256


@attrs.frozen
class Baseline:
    """Usual service time of one kind of call.

    Attributes:
      log_mean: Mean of the logarithms of the service times in seconds. The
        logarithm keeps a heavy tail from dominating the mean.
      variance: Mean square of the deviations of the logarithms.
      count: Number of samples.
    """

    log_mean: float
    variance: float = DEFAULT_SPREAD**2
    count: int = 1


@attrs.frozen
class Baselines:
    """Baselines of all kinds of calls; immutable.

    >>> baselines = Baselines()
    >>> for _ in range(3):
    ...     baselines = baselines.learn('view', 0.1, CALM_WEIGHT)
    >>> round(math.exp(baselines.compare('view', 0.2)), 6)
    2.0
    >>> baselines.compare('post', 0.2)
    """

    by_kind: Mapping[str, Baseline] = attrs.Factory(dict)

    def compare(self, kind: str, service_s: float) -> float | None:
        """Returns the logarithm of a service time over its baseline.

        Returns:
          The logarithm, clipped to `MAX_LOG_RATIO`; None without a baseline.
        """
        baseline = self.by_kind.get(kind)
        if baseline is None or baseline.count < MIN_SAMPLES:
            return None
        ratio = math.log(max(MIN_SERVICE_S, service_s)) - baseline.log_mean
        return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))

    def get_spread(self, kind: str) -> float:
        """Returns the usual deviation of the logarithm of a service time."""
        baseline = self.by_kind.get(kind)
        if baseline is None:
            return DEFAULT_SPREAD
        return math.sqrt(baseline.variance)

    def learn(self, kind: str, service_s: float, weight: float) -> 'Baselines':
        """Returns the baselines after a sample of a kind.

        Args:
          kind: Kind of the call.
          service_s: Service time in seconds.
          weight: Weight of the sample, between 0 and 1. The first samples of a
            kind weigh as much as in a plain mean.
        """
        sample = math.log(max(MIN_SERVICE_S, service_s))
        old = self.by_kind.get(kind)
        if old is None:
            others = self.by_kind if len(self.by_kind) < MAX_KINDS else {}
            return Baselines({**others, kind: Baseline(sample)})
        count = old.count + 1
        is_usual = count <= MIN_MEAN_SAMPLES or weight >= CALM_WEIGHT
        if is_usual:
            weight = max(weight, 1.0 / count)
        # A slow spell must not pass for a wide spread.
        spread_weight = min(weight, MAX_SPREAD_WEIGHT) if is_usual else 0.0
        deviation = sample - old.log_mean
        deviation = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, deviation))
        baseline = Baseline(
            old.log_mean + weight * deviation,
            old.variance + spread_weight * (deviation**2 - old.variance),
            count,
        )
        return Baselines({**self.by_kind, kind: baseline})
