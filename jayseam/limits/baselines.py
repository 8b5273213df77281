"""Strategies that measurements compare `strategies.Strategy` with."""

from collections.abc import Iterable, Mapping
from typing import Any

from jayseam.limits import accounts
from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import strategies


@strategies.registry.register('owner')
class OwnerStrategy(strategies.Strategy):
    """One owner of each group over the fleet, with the full rate.

    A new owner waits `accounts.PREDECESSOR_WAIT_S` with no tokens. This is a
    baseline: two sides of a partition both have an owner, and exceed the bound.
    """

    def __init__(self, *args: Any):
        super().__init__(*args)
        self._top_since: dict[int, float] = {}

    def _assign_cells(
        self,
        members: Iterable[cells.Member],
        zones: Mapping[str, str],
        own: cells.Member,
    ) -> dict[str, str]:
        return {member.vm: 'all' for member in members}

    def _top(self, group: int, now: float) -> str | None:
        return next(iter(self.topology.rank(self.topology.cell, group)), None)

    def _owners(self, group: int, now: float) -> list[str]:
        top = self._top(group, now)
        return [top] if top is not None else []

    def _lend(
        self, sender: str, message: messages.Borrow, now: float
    ) -> messages.Lend:
        return messages.Lend(
            self.member.upstream, self.member.incarnation, [], ''
        )

    def _renew(self, now: float) -> list[strategies.Outgoing]:
        table: dict[int, dict[str, accounts.Share]] = {}
        for name, share in self._limits.items():
            table.setdefault(cells.group_of(name), {})[name] = share
        for group in range(cells.GROUPS):
            if self._top(group, now) != self.member.vm:
                self._top_since.pop(group, None)
                continue
            since = self._top_since.setdefault(group, now)
            if now - since >= accounts.PREDECESSOR_WAIT_S:
                loan = pools.Loan(
                    'all',
                    self.member.incarnation,
                    table.get(group, {}),
                    now + accounts.LOAN_S,
                )
                self.pools[group].add(loan, now)
        return []


@strategies.registry.register('static')
class StaticStrategy(strategies.Strategy):
    """Each position uses its own share and nothing else.

    This is a baseline: it refuses calls within the rate when they arrive
    unevenly. The shares of positions without a process are unused.
    """

    def _assign_cells(
        self,
        members: Iterable[cells.Member],
        zones: Mapping[str, str],
        own: cells.Member,
    ) -> dict[str, str]:
        return {own.vm: 'own'}

    def _may_lend(self, now: float) -> bool:
        return not (self.leaving or self.topology.replaced)
