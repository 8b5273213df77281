"""Cells of positions, and who owns which group of workspaces in each.

A cell is a part of an availability zone of about `CELL_SIZE` positions. Cells
bound the messages that one owner receives, whatever the size of the fleet.
"""

import collections
import math
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from jayseam.core import rendezvous

CELL_SIZE = 24
GROUPS = 4


@attrs.frozen(slots=True)
class Member:
    """A live member of the fleet.

    Attributes:
      vm: Name of the VM.
      upstream: Its position.
      incarnation: Incarnation of its process.
      zone: Its availability zone.
    """

    vm: str
    upstream: str
    incarnation: int
    zone: str


def group_of(workspace: str) -> int:
    """Returns the number of the workspace's group.

    >>> 0 <= group_of('credits') < GROUPS
    True
    """
    return zlib.crc32(workspace.encode()) % GROUPS


def assign_cells(zones: Mapping[str, str]) -> dict[str, str]:
    """Returns the cell of each position.

    Args:
      zones: Zone by position.

    >>> sorted(set(assign_cells({'u1': 'a', 'u2': 'a', 'u3': 'b'}).values()))
    ['a/0', 'b/0']
    """
    sizes = collections.Counter(zones.values())
    counts = {zone: math.ceil(size / CELL_SIZE) for zone, size in sizes.items()}
    return {
        name: f'{zone}/{zlib.crc32(name.encode()) % counts[zone]}'
        for name, zone in zones.items()
    }


def join_cells(
    members: Iterable[Member], zones: Mapping[str, str], _: Member
) -> dict[str, str]:
    """Returns the cell of each member's VM by `assign_cells`."""
    members = list(members)
    cells = assign_cells({**zones, **{m.upstream: m.zone for m in members}})
    return {m.vm: cells[m.upstream] for m in members}


class Topology:
    """The members as one node sees them, arranged in cells.

    Args:
      own: The own member.
      assign: Returns the cell by VM for members, zones and the own member.
    """

    def __init__(
        self,
        own: Member,
        assign: Callable[
            [Iterable[Member], Mapping[str, str], Member], dict[str, str]
        ] = join_cells,
    ):
        self.own = own
        self.members: dict[str, Member] = {own.vm: own}
        self.cell = ''
        self.others: list[str] = []
        self.peers: list[str] = []
        self.had_peers = False
        self.replaced = False
        self._assign = assign
        self._zones: dict[str, str] = {}
        self._ranks: dict[tuple[str, int], list[str]] = {}

    def set_positions(self, upstreams: Mapping[str, Any]) -> None:
        """Takes over the positions of a preset."""
        self._zones = {
            name: getattr(upstream, 'zone', '')
            for name, upstream in upstreams.items()
        }
        self._arrange()

    def set_members(self, members: Iterable[Any]) -> None:
        """Takes over the members that are alive or suspect."""
        own = self.own
        found = [
            Member(m.vm, m.upstream, m.incarnation, m.zone) for m in members
        ]
        self.members = {m.vm: m for m in found} | {own.vm: own}
        self.replaced = any(
            m.upstream == own.upstream and m.incarnation > own.incarnation
            for m in found
        )
        self.peers = sorted(
            m.vm for m in found if m.zone == own.zone and m.vm != own.vm
        )
        self.had_peers = self.had_peers or bool(self.peers)
        self._arrange()

    def is_peer(self, vm: str) -> bool:
        """Tells whether a VM is another one of the own zone."""
        member = self.members.get(vm)
        return (
            member is not None
            and vm != self.own.vm
            and member.zone == self.own.zone
        )

    def rank(self, cell: str, group: int) -> list[str]:
        """Returns the VMs of a cell, the owner of the group first."""
        return self._ranks.get((cell, group), [])

    def _arrange(self) -> None:
        cells = self._assign(self.members.values(), self._zones, self.own)
        by_cell = collections.defaultdict(list)
        for vm, cell in cells.items():
            by_cell[cell].append(vm)
        self.cell = cells[self.own.vm]
        self._ranks = {
            (cell, group): rendezvous.rank(f'{cell}/{group}', vms)
            for cell, vms in by_cell.items()
            for group in range(GROUPS)
        }
        # Each entry visits the other cells in its own order, which spreads
        # the load over them.
        others = [cell for cell in by_cell if cell != self.cell]
        self.others = rendezvous.rank(self.own.vm, others)
