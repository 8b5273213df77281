"""A budget that keeps retries from multiplying the load of a brown-out.

References:
  "Handling Overload", in Site Reliability Engineering, O'Reilly, 2016.
"""

import attrs

MAX_RETRIES = 2
_SHARE_OF_CALLS = 0.1
_MAX_SAVED_RETRIES = 20.0
# Without a floor, a node with little traffic could not retry at all.
_MIN_RETRIES_PER_S = 0.5


@attrs.frozen
class RetryBudget:
    """Retries that a node may still make.

    >>> budget = RetryBudget(0.0, 100.0)
    >>> budget.spend(100.0) is None
    True
    >>> for _ in range(10):
    ...     budget = budget.record_call(100.0)
    >>> abs(round(budget.spend(100.0).saved, 6))
    0.0
    """

    saved: float = _MAX_SAVED_RETRIES
    updated_at: float = 0.0

    def record_call(self, now: float) -> 'RetryBudget':
        """Returns the budget after one more first attempt."""
        return self._refill(now, _SHARE_OF_CALLS)

    def spend(self, now: float) -> 'RetryBudget | None':
        """Returns the budget after a retry, or None if it allows none."""
        budget = self._refill(now, 0.0)
        # The tolerance covers rounding when ten calls add 0.1 each.
        if budget.saved < 1.0 - 1e-9:
            return None
        return RetryBudget(budget.saved - 1.0, now)

    def _refill(self, now: float, earned: float) -> 'RetryBudget':
        elapsed_s = max(0.0, now - self.updated_at)
        saved = self.saved + earned + elapsed_s * _MIN_RETRIES_PER_S
        return RetryBudget(min(saved, _MAX_SAVED_RETRIES), now)
