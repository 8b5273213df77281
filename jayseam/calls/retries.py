"""Retry budgets, which keep retries from amplifying an overload.

A budget is a token bucket: calls and time add tokens, and a retry takes one.

References:
  "Handling Overload", in Site Reliability Engineering, O'Reilly, 2016.
"""

import math

import attrs

MAX_RETRIES = 2
# Number of budgets above which full budgets are dropped.
_MAX_BUDGETS = 256


@attrs.frozen
class RetryBudgetParameters:
    """Parameters of the retry budget of one workspace or service at a node.

    Attributes:
      share: Retries that each call adds.
      max_saved: Most retries that the budget can hold.
      min_per_s: Retries added per second. Without them, a workspace with
        little traffic could not retry at all.
    """

    share: float = 0.1
    max_saved: float = 10.0
    min_per_s: float = 0.1


@attrs.frozen
class FleetRetryBound:
    """Bound on the retries of all nodes to a service in any time window.

    Attributes:
      share: Retries allowed for each call; None sets no bound.
      slack: Retries allowed in addition.
    """

    share: float | None = None
    slack: float = 0.0

    def divide(self, nodes: int) -> RetryBudgetParameters:
        """Returns the size of each node's budget for a service.

        Nothing accrues with time, so the sum over all nodes stays within the
        bound as long as the number of nodes is at most the slack. With more
        nodes, each may still hold one retry; otherwise none could retry at all.

        >>> FleetRetryBound(0.2, 60.0).divide(12)
        RetryBudgetParameters(share=0.2, max_saved=5.0, min_per_s=0.0)
        >>> FleetRetryBound().divide(12).max_saved
        inf
        """
        if self.share is None:
            return RetryBudgetParameters(0.0, math.inf, 0.0)
        slack_per_node = self.slack / max(1, nodes)
        return RetryBudgetParameters(self.share, max(1.0, slack_per_node), 0.0)


@attrs.frozen
class RetryBudget:
    """Retries that a node may still make for one workspace or service.

    >>> budget = RetryBudget(saved=0.0, updated_at=100.0)
    >>> budget.spend(100.0) is None
    True
    >>> for _ in range(10):
    ...     budget = budget.record_call(100.0)
    >>> abs(round(budget.spend(100.0).saved, 6))
    0.0
    """

    size: RetryBudgetParameters = RetryBudgetParameters()
    saved: float = attrs.field(
        default=attrs.Factory(lambda self: self.size.max_saved, takes_self=True)
    )
    updated_at: float = 0.0

    def record_call(self, now: float) -> 'RetryBudget':
        """Returns the budget after one more call."""
        return self._refill(now, self.size.share)

    def spend(self, now: float) -> 'RetryBudget | None':
        """Returns the budget after a retry, or None if it allows none."""
        budget = self._refill(now, 0.0)
        # The tolerance covers rounding errors when ten calls add 0.1 each.
        if budget.saved < 1.0 - 1e-9:
            return None
        return RetryBudget(self.size, budget.saved - 1.0, now)

    def is_full(self, now: float) -> bool:
        """Returns whether the budget equals a new one and need not be kept."""
        return self._refill(now, 0.0).saved >= self.size.max_saved

    def _refill(self, now: float, added: float) -> 'RetryBudget':
        elapsed_s = max(0.0, now - self.updated_at)
        saved = self.saved + added + elapsed_s * self.size.min_per_s
        return RetryBudget(self.size, min(saved, self.size.max_saved), now)


class RetryBudgets:
    """The budgets of all workspaces, or of all services, at a node.

    Each workspace has its own budget, so that a workspace whose calls are all
    refused does not use up the retries of others.

    >>> budgets = RetryBudgets()
    >>> sum(budgets.spend('greedy', now=100.0) for _ in range(100))
    10
    >>> budgets.spend('small', now=100.0)
    True
    """

    def __init__(self, size: RetryBudgetParameters = RetryBudgetParameters()):
        self._size = size
        self._budgets: dict[str, RetryBudget] = {}

    def resize(self, size: RetryBudgetParameters) -> None:
        """Changes the size of all budgets."""
        if size == self._size:
            return
        self._size = size
        self._budgets = {
            name: attrs.evolve(
                budget, size=size, saved=min(budget.saved, size.max_saved)
            )
            for name, budget in self._budgets.items()
        }

    def record_call(self, name: str, now: float) -> None:
        """Counts a call of a workspace or to a service."""
        budget = self._get(name, now).record_call(now)
        self._budgets[name] = budget
        if len(self._budgets) > _MAX_BUDGETS:
            self._budgets = {
                name: budget
                for name, budget in self._budgets.items()
                if not budget.is_full(now)
            }

    def spend(self, name: str, now: float) -> bool:
        """Spends a retry if the budget allows one; returns whether it did."""
        budget = self._get(name, now).spend(now)
        if budget is not None:
            self._budgets[name] = budget
        return budget is not None

    def _get(self, name: str, now: float) -> RetryBudget:
        found = self._budgets.get(name)
        return found or RetryBudget(self._size, updated_at=now)
