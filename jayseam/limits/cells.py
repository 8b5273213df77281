"""Cells of positions, and the owner of each workspace group in a cell.

A cell is a subset of about `CELL_SIZE` positions of one availability zone. It
bounds the messages that one owner receives, whatever the size of the fleet.
"""

import collections
import math
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from jayseam.core import rendezvous

CELL_SIZE = 24
GROUP_COUNT = 4


@attrs.frozen(slots=True)
class Member:
    """A live member of the fleet.

    Attributes:
      vm: Name of the VM.
      upstream: Name of its upstream position.
      incarnation: Incarnation of its process.
      zone: Name of its availability zone.
    """

    vm: str
    upstream: str
    incarnation: int
    zone: str


def group_of(workspace: str) -> int:
    """Returns the number of the workspace's group.

    >>> 0 <= group_of('credits') < GROUP_COUNT
    True
    """
    return zlib.crc32(workspace.encode()) % GROUP_COUNT


def assign_position_cells(zones: Mapping[str, str]) -> dict[str, str]:
    """Returns the cell of each position.

    Args:
      zones: Zone by position.

    >>> zones = {'u1': 'a', 'u2': 'a', 'u3': 'b'}
    >>> sorted(set(assign_position_cells(zones).values()))
    ['a/0', 'b/0']
    """
    sizes = collections.Counter(zones.values())
    counts = {zone: math.ceil(size / CELL_SIZE) for zone, size in sizes.items()}
    return {
        name: f'{zone}/{zlib.crc32(name.encode()) % counts[zone]}'
        for name, zone in zones.items()
    }


def assign_member_cells(
    members: Iterable[Member], zones: Mapping[str, str], _: Member
) -> dict[str, str]:
    """Returns the cell of each member's VM by `assign_position_cells`."""
    members = list(members)
    cells = assign_position_cells(
        {**zones, **{m.upstream: m.zone for m in members}}
    )
    return {m.vm: cells[m.upstream] for m in members}


class Topology:
    """One node's view of the members and of their cells.

    Args:
      own: The own member.
      assign: Called with the members, the zone by position and the own member;
        returns the cell of each member's VM.

    Attributes:
      own: The own member.
      members: Live members by VM.
      own_cell: Cell of the own VM.
      other_cells: All other cells, in the order in which to draw from them.
      zone_peers: VMs of the other members in the own zone.
      had_zone_peers: Whether `zone_peers` has ever been non-empty.
      is_replaced: Whether a newer process runs at the own position.
    """

    def __init__(
        self,
        own: Member,
        assign: Callable[
            [Iterable[Member], Mapping[str, str], Member], dict[str, str]
        ] = assign_member_cells,
    ):
        self.own = own
        self.members: dict[str, Member] = {own.vm: own}
        self.own_cell = ''
        self.other_cells: list[str] = []
        self.zone_peers: list[str] = []
        self.had_zone_peers = False
        self.is_replaced = False
        self._assign = assign
        self._zones: dict[str, str] = {}
        self._owner_ranks: dict[tuple[str, int], list[str]] = {}

    def set_positions(self, upstreams: Mapping[str, Any]) -> None:
        """Sets the positions from those of a preset."""
        self._zones = {
            name: getattr(upstream, 'zone', '')
            for name, upstream in upstreams.items()
        }
        self._rebuild_cells()

    def set_members(self, members: Iterable[Any]) -> None:
        """Sets the live members (alive or suspect)."""
        own = self.own
        found = [
            Member(m.vm, m.upstream, m.incarnation, m.zone) for m in members
        ]
        self.members = {m.vm: m for m in found} | {own.vm: own}
        self.is_replaced = any(
            m.upstream == own.upstream and m.incarnation > own.incarnation
            for m in found
        )
        self.zone_peers = sorted(
            m.vm for m in found if m.zone == own.zone and m.vm != own.vm
        )
        self.had_zone_peers = self.had_zone_peers or bool(self.zone_peers)
        self._rebuild_cells()

    def is_zone_peer(self, vm: str) -> bool:
        """Returns whether another member in the own zone runs on this VM."""
        member = self.members.get(vm)
        return (
            member is not None
            and vm != self.own.vm
            and member.zone == self.own.zone
        )

    def rank(self, cell: str, group: int) -> list[str]:
        """Returns the VMs of a cell in order of preference as group owner."""
        return self._owner_ranks.get((cell, group), [])

    def _rebuild_cells(self) -> None:
        cells = self._assign(self.members.values(), self._zones, self.own)
        by_cell = collections.defaultdict(list)
        for vm, cell in cells.items():
            by_cell[cell].append(vm)
        self.own_cell = cells[self.own.vm]
        self._owner_ranks = {
            (cell, group): rendezvous.rank(f'{cell}/{group}', vms)
            for cell, vms in by_cell.items()
            for group in range(GROUP_COUNT)
        }
        # Each entry draws from the other cells in an order of its own, which
        # spreads the load over them.
        other_cells = [cell for cell in by_cell if cell != self.own_cell]
        self.other_cells = rendezvous.rank(self.own.vm, other_cells)
