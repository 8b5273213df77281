"""A budget that keeps retries from multiplying the load of a brown-out.

References:
  "Handling Overload", in Site Reliability Engineering, O'Reilly, 2016.
"""

import attrs

MAX_RETRIES = 2
# Budgets above which the full ones are forgotten.
_MAX_BUDGETS = 256


@attrs.frozen
class BudgetSize:
    """How many retries a node may make for one workspace.

    Attributes:
      share: Retries that each call adds.
      max_saved: Most retries that are saved up.
      min_per_s: Retries added per second. Without them, a workspace with
        little traffic could not retry at all.
    """

    share: float = 0.1
    max_saved: float = 10.0
    min_per_s: float = 0.1


@attrs.frozen
class RetryBudget:
    """Retries that a node may still make for one workspace.

    >>> budget = RetryBudget(saved=0.0, updated_at=100.0)
    >>> budget.spend(100.0) is None
    True
    >>> for _ in range(10):
    ...     budget = budget.record_call(100.0)
    >>> abs(round(budget.spend(100.0).saved, 6))
    0.0
    """

    size: BudgetSize = BudgetSize()
    saved: float = attrs.field(
        default=attrs.Factory(lambda self: self.size.max_saved, takes_self=True)
    )
    updated_at: float = 0.0

    def record_call(self, now: float) -> 'RetryBudget':
        """Returns the budget after one more first attempt."""
        return self._refill(now, self.size.share)

    def spend(self, now: float) -> 'RetryBudget | None':
        """Returns the budget after a retry, or None if it allows none."""
        budget = self._refill(now, 0.0)
        # The tolerance covers rounding when ten calls add 0.1 each.
        if budget.saved < 1.0 - 1e-9:
            return None
        return RetryBudget(self.size, budget.saved - 1.0, now)

    def is_full(self, now: float) -> bool:
        """Tells whether the budget is that of a workspace never seen."""
        return self._refill(now, 0.0).saved >= self.size.max_saved

    def _refill(self, now: float, earned: float) -> 'RetryBudget':
        elapsed_s = max(0.0, now - self.updated_at)
        saved = self.saved + earned + elapsed_s * self.size.min_per_s
        return RetryBudget(self.size, min(saved, self.size.max_saved), now)


class RetryBudgets:
    """The budgets of all workspaces at a node.

    Each workspace has its own, so that one whose calls are all refused does
    not use up the retries of others.

    >>> budgets = RetryBudgets()
    >>> sum(budgets.spend('greedy', now=100.0) for _ in range(100))
    10
    >>> budgets.spend('small', now=100.0)
    True
    """

    def __init__(self, size: BudgetSize = BudgetSize()):
        self._size = size
        self._budgets: dict[str, RetryBudget] = {}

    def record_call(self, workspace: str, now: float) -> None:
        """Counts a first attempt."""
        budget = self._find(workspace, now).record_call(now)
        self._budgets[workspace] = budget
        if len(self._budgets) > _MAX_BUDGETS:
            self._budgets = {
                name: kept
                for name, kept in self._budgets.items()
                if not kept.is_full(now)
            }

    def spend(self, workspace: str, now: float) -> bool:
        """Counts a retry and returns whether the budget allows it."""
        budget = self._find(workspace, now).spend(now)
        if budget is not None:
            self._budgets[workspace] = budget
        return budget is not None

    def _find(self, workspace: str, now: float) -> RetryBudget:
        found = self._budgets.get(workspace)
        return found or RetryBudget(self._size, updated_at=now)
