"""Moving averages over the answers under one limit."""

import math

import attrs

# Weight of an answer in the moving averages of slowness and errors.
SAMPLE_WEIGHT = 0.1


@attrs.frozen
class Slowness:
    """Moving averages over the answers under the present limit.

    Attributes:
      log_ratio: Logarithm of service times over their baselines.
      spread: Usual deviation of one answer from the baseline of its kind.
      count: Number of answers with a baseline.
      error_share: Share of answers that report a failure of the server.
      outcomes: Number of answers and failures.
    """

    log_ratio: float = 0.0
    spread: float = 0.0
    count: int = 0
    error_share: float = 0.0
    outcomes: int = 0

    def add_ratio(self, log_ratio: float, spread: float) -> 'Slowness':
        """Returns the averages after the service time of an answer."""
        weight = max(SAMPLE_WEIGHT, 1.0 / (self.count + 1))
        return attrs.evolve(
            self,
            log_ratio=self.log_ratio + weight * (log_ratio - self.log_ratio),
            spread=self.spread + weight * (spread - self.spread),
            count=self.count + 1,
        )

    def estimate_error(self) -> float:
        """Returns the standard error of ``log_ratio``.

        >>> averages = Slowness().add_ratio(0.0, 0.8)
        >>> for _ in range(3):
        ...     averages = averages.add_ratio(0.0, 0.8)
        >>> round(averages.estimate_error(), 3)
        0.4
        """
        lasting = SAMPLE_WEIGHT / (2.0 - SAMPLE_WEIGHT)
        return self.spread * math.sqrt(max(lasting, 1.0 / max(1, self.count)))

    def add_outcome(self, failed: bool) -> 'Slowness':
        """Returns the averages after an answer or a failure."""
        weight = max(SAMPLE_WEIGHT, 1.0 / (self.outcomes + 1))
        share = self.error_share + weight * (float(failed) - self.error_share)
        return attrs.evolve(self, error_share=share, outcomes=self.outcomes + 1)
