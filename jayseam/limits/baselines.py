"""Baseline strategies for comparison with `strategies.EscrowStrategy`."""

from collections.abc import Iterable, Mapping
from typing import Any

from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import share_leases
from jayseam.limits import strategies


@strategies.registry.register('owner')
class OwnerStrategy(strategies.EscrowStrategy):
    """One owner per group in the whole fleet, with the full rate and burst.

    A new owner has no tokens for `share_leases.PREDECESSOR_WAIT_S`. The
    strategy breaks the bound in a partition, because each side then has an
    owner.
    """

    def __init__(self, *args: Any):
        super().__init__(*args)
        self._owner_since: dict[int, float] = {}

    def _assign_cells(
        self,
        members: Iterable[cells.Member],
        zones: Mapping[str, str],
        own: cells.Member,
    ) -> dict[str, str]:
        return {member.vm: 'all' for member in members}

    def _find_owner(self, group: int, now: float) -> str | None:
        return next(
            iter(self.topology.rank(self.topology.own_cell, group)), None
        )

    def _list_owners(self, group: int, now: float) -> list[str]:
        owner = self._find_owner(group, now)
        return [owner] if owner is not None else []

    def _handle_borrow(
        self, sender: str, message: messages.Borrow, now: float
    ) -> messages.Lend:
        return messages.Lend(
            self.member.upstream, self.member.incarnation, [], ''
        )

    def _renew_leases(self, now: float) -> list[strategies.Outgoing]:
        table: dict[int, dict[str, share_leases.Share]] = {}
        for name, share in self._limits.items():
            table.setdefault(cells.group_of(name), {})[name] = share
        for group in range(cells.GROUP_COUNT):
            if self._find_owner(group, now) != self.member.vm:
                self._owner_since.pop(group, None)
                continue
            since = self._owner_since.setdefault(group, now)
            if now - since >= share_leases.PREDECESSOR_WAIT_S:
                lease = pools.Lease(
                    'all',
                    self.member.incarnation,
                    table.get(group, {}),
                    now + share_leases.LEASE_S,
                )
                self.pools[group].add_lease(lease, now)
        return []


@strategies.registry.register('static')
class StaticStrategy(strategies.EscrowStrategy):
    """Each position uses its own share and nothing else.

    Refuses calls within the rate when they arrive unevenly. The shares of
    positions without a process are unused.
    """

    def _assign_cells(
        self,
        members: Iterable[cells.Member],
        zones: Mapping[str, str],
        own: cells.Member,
    ) -> dict[str, str]:
        return {own.vm: 'own'}

    def _may_lend(self, now: float) -> bool:
        return not (self.leaving or self.topology.is_replaced)
