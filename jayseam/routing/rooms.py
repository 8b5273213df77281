"""What a node knows of VMs whose queues have no room for a call.

Under overload most calls that look for room at a second VM come there in vain:
the first attempts of other calls take each place that frees up. The messages
of the search cost the loaded VMs time that their running calls need.

See Also:
  `jayseam.routing.loads`, which tells the choice of the first attempt.
"""

import collections

import attrs

# A mark ends when the VM expects room, and at the latest after this long, in
# seconds: a few service times of the users' fast services. Calls of this node
# that come later look anew.
MOST_MARK_S = 0.1
# Time by which calls of one kind differ after the attempts before, in seconds.
LEFT_TOLERANCE_S = 0.02
# Marks above which expired ones are removed.
_MAX_MARKS = 256


@attrs.frozen
class Need:
    """What decides whether a queue has room for a call.

    Attributes:
      workspace: Workspace of the call; a fair queue has a line for each.
      rank: Urgency; 0 is the most urgent.
      left_s: Time in which the call must begin and end, in seconds.
    """

    workspace: str
    rank: int
    left_s: float


@attrs.frozen
class _Mark:
    """A refusal: calls that need no less find no room until then."""

    rank: int
    left_s: float
    until: float

    def covers(self, need: Need, now: float) -> bool:
        return (
            now < self.until
            and need.rank >= self.rank
            and need.left_s <= self.left_s + LEFT_TOLERANCE_S
        )


class RoomTable:
    """Refusals for want of room by VM and workspace.

    >>> table = RoomTable()
    >>> table.mark('vm-1', Need('w', 1, 0.5), wait_s=0.3, now=1.0)
    >>> table.list_full(Need('w', 1, 0.4), now=1.05)
    {'vm-1'}
    >>> table.list_full(Need('w', 1, 0.6), now=1.05)
    set()
    >>> table.list_full(Need('w', 0, 0.4), now=1.05)
    set()
    >>> table.list_full(Need('w', 1, 0.4), now=1.1)
    set()
    """

    def __init__(self):
        self._marks: dict[str, dict[str, _Mark]] = collections.defaultdict(dict)

    def __len__(self) -> int:
        return sum(map(len, self._marks.values()))

    def mark(self, vm: str, need: Need, wait_s: float, now: float) -> None:
        """Notes that a VM had no room for a call.

        Args:
          vm: Name of the VM.
          need: What the refused call needed.
          wait_s: Time after which the VM expects room, in seconds.
          now: Present time in seconds.
        """
        marks = self._marks[need.workspace]
        known = marks.get(vm)
        if known is not None and known.covers(need, now):
            # The wider mark stays, with the later end of the two.
            need = attrs.evolve(need, rank=known.rank, left_s=known.left_s)
        until = now + min(wait_s, MOST_MARK_S)
        marks[vm] = _Mark(need.rank, need.left_s, until)
        if len(self) > _MAX_MARKS:
            self._remove_expired(now)

    def list_full(self, need: Need, now: float) -> set[str]:
        """Returns the VMs that have no room for a call."""
        marks = self._marks.get(need.workspace, {})
        return {vm for vm, mark in marks.items() if mark.covers(need, now)}

    def _remove_expired(self, now: float) -> None:
        for workspace, marks in list(self._marks.items()):
            kept = {vm: m for vm, m in marks.items() if now < m.until}
            if kept:
                self._marks[workspace] = kept
            else:
                del self._marks[workspace]
