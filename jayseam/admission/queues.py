"""Bounded queues of calls that wait for admission.

The queues read no clock and do no I/O. The registry `VARIANTS` holds
``ranked`` (the most urgent first, and start-time fair queueing over workspaces
within a rank), ``fair`` (the latter without ranks) and ``fifo`` (one line for
all). The last two are baselines of measurements.

References:
  Goyal, Vin and Cheng, "Start-time fair queuing: a scheduling algorithm for
  integrated services packet switching networks", SIGCOMM 1996.
"""

import collections
import enum
import heapq
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jayseam.admission import errors
from jayseam.core import registries

VARIANTS: registries.Registry = registries.Registry('queue')

MAX_PER_WORKSPACE = 200
MAX_TOTAL = 1000
# A zero cost would let a workspace run any number of calls for nothing.
MIN_COST = 1e-6


class DropReason(enum.Enum):
    """Why an entry left the queue without being admitted."""

    DEADLINE = 'deadline'
    NO_LONGER_VALID = 'no_longer_valid'
    DISPLACED = 'displaced'


@attrs.define(eq=False)
class Entry:
    """One waiting call.

    Attributes:
      workspace: Workspace that the call runs for.
      cost: Expected share of the backend server's time, relative to an
        average call of 1.
      deadline: Time by which the call must have finished, in seconds.
      still_valid: Tells at a time whether the call may still run.
      payload: Anything the owner of the queue attaches.
      rank: Urgency; 0 is the most urgent.
    """

    workspace: str
    cost: float
    deadline: float
    still_valid: Callable[[float], bool]
    payload: Any = None
    rank: int = 0


@attrs.frozen
class Bounds:
    """Greatest lengths of a queue.

    Attributes:
      per_workspace: Entries of one workspace.
      total: Entries of all workspaces together.
    """

    per_workspace: int = MAX_PER_WORKSPACE
    total: int = MAX_TOTAL


def find_drop_reason(
    entry: Entry, now: float, service_s: float
) -> DropReason | None:
    """Returns why the entry must not be admitted at ``now``, or None.

    Args:
      entry: The entry that is about to leave the queue.
      now: Current time in seconds.
      service_s: Expected time of the call in seconds.
    """
    if now + service_s > entry.deadline:
        return DropReason.DEADLINE
    if not entry.still_valid(now):
        return DropReason.NO_LONGER_VALID
    return None


@attrs.define(eq=False)
class _Flow:
    """The backlog of one workspace."""

    entries: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    finish_tag: float = 0.0
    start_tag: float = 0.0


@VARIANTS.register('fair')
class FairQueue:
    """Start-time fair queue over workspaces with weights and costs.

    An admitted entry advances its workspace's finish tag by cost / weight;
    the workspace with the lowest start tag is served next. From the moment a
    workspace has a backlog, its service over its weight stays behind that of
    any other by at most one largest cost of the other, plus one of its own
    for an entry served just before. Tags are given to
    the first entry of a workspace only, so entries that are dropped or
    withdrawn cost their workspace nothing.

    >>> queue = FairQueue()
    >>> for workspace in ('large', 'large', 'large', 'small'):
    ...     _ = queue.push(Entry(workspace, 1.0, 9.0, lambda now: True))
    >>> [queue.pop(0.0, lambda e: 0.0)[0].workspace for _ in range(4)]
    ['large', 'small', 'large', 'large']
    """

    def __init__(self, bounds: Bounds = Bounds()):
        self._bounds = bounds
        self._weights: Mapping[str, float] = {}
        self._flows: dict[str, _Flow] = {}
        self._heads: list[tuple[float, int, str]] = []
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._turn = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the weights of workspaces; one that is absent weighs 1."""
        self._weights = dict(weights)

    def count(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        flow = self._flows.get(workspace)
        return len(flow.entries) if flow else 0

    def count_backlogs(self) -> int:
        """Returns the number of workspaces with waiting entries."""
        return sum(bool(flow.entries) for flow in self._flows.values())

    def count_ahead(self, workspace: str, rank: int) -> float:
        """Returns the entries that a new one of a workspace waits for.

        It waits for one turn of all backlogs for each entry of its workspace
        ahead of it, and half a turn on average for itself.
        """
        del rank
        turns = self.count(workspace) + 0.5
        return min(turns * self.count_backlogs(), self._length)

    def displace_newest(self) -> Entry | None:
        """Removes and returns the newest entry of the longest backlog."""
        names = [name for name, flow in self._flows.items() if flow.entries]
        if not names:
            return None
        longest = max(names, key=lambda n: len(self._flows[n].entries))
        _, entry = self._flows[longest].entries.popitem(last=True)
        self._length -= 1
        return entry

    def push(self, entry: Entry) -> Entry | None:
        """Adds an entry.

        When the whole queue is full, the newest entry of the workspace with
        the longest backlog in proportion to its weight makes room, so that
        one workspace's backlog refuses no other workspace.

        Returns:
          The entry that was displaced, or None.

        Raises:
          QueueFullError: If the entry's own workspace has no room.
        """
        count = self.count(entry.workspace)
        if count >= self._bounds.per_workspace:
            raise errors.QueueFullError(
                f'workspace {entry.workspace} has {count} calls waiting'
            )
        displaced = None
        if self._length >= self._bounds.total:
            displaced = self._displace(entry.workspace)
        flow = self._flows.get(entry.workspace)
        if flow is None:
            flow = self._open_flow(entry.workspace)
        flow.entries[id(entry)] = entry
        self._length += 1
        return displaced

    def remove(self, entry: Entry) -> bool:
        """Removes an entry that waits no longer.

        Returns:
          Whether the entry was in the queue.
        """
        flow = self._flows.get(entry.workspace)
        if flow is None or flow.entries.pop(id(entry), None) is None:
            return False
        self._length -= 1
        return True

    def pop(
        self, now: float, estimate_s: Callable[[Entry], float]
    ) -> tuple[Entry | None, list[tuple[Entry, DropReason]]]:
        """Takes the next entry that may run.

        Args:
          now: Current time in seconds.
          estimate_s: Gives the expected time of an entry in seconds.

        Returns:
          The entry, or None if none may run, and the entries that were
          dropped on the way, with reasons.
        """
        dropped = []
        while self._heads:
            workspace = self._heads[0][2]
            flow = self._flows[workspace]
            if not flow.entries:
                self._close_flow(workspace)
                continue
            _, entry = flow.entries.popitem(last=False)
            self._length -= 1
            reason = find_drop_reason(entry, now, estimate_s(entry))
            if reason is not None:
                dropped.append((entry, reason))
                continue
            self._charge(workspace, flow, entry)
            return entry, dropped
        return None, dropped

    def clear(self) -> list[Entry]:
        """Removes and returns all entries."""
        entries = [
            entry
            for flow in self._flows.values()
            for entry in flow.entries.values()
        ]
        for flow in self._flows.values():
            flow.entries.clear()
        self._length = 0
        return entries

    def _open_flow(self, workspace: str) -> _Flow:
        finish_tag = self._finish_tags.pop(workspace, 0.0)
        start_tag = max(self._virtual_time, finish_tag)
        flow = _Flow(finish_tag=finish_tag, start_tag=start_tag)
        self._flows[workspace] = flow
        self._turn += 1
        heapq.heappush(self._heads, (start_tag, self._turn, workspace))
        return flow

    def _close_flow(self, workspace: str) -> None:
        heapq.heappop(self._heads)
        flow = self._flows.pop(workspace)
        if flow.finish_tag > self._virtual_time:
            self._finish_tags[workspace] = flow.finish_tag
        # A tag that virtual time has passed has no effect any more.
        if len(self._finish_tags) > self._bounds.total:
            self._finish_tags = {
                name: tag
                for name, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }

    def _charge(self, workspace: str, flow: _Flow, entry: Entry) -> None:
        weight = max(self._weights.get(workspace, 1.0), MIN_COST)
        self._virtual_time = flow.start_tag
        flow.finish_tag = flow.start_tag + max(entry.cost, MIN_COST) / weight
        if not flow.entries:
            self._close_flow(workspace)
            return
        flow.start_tag = flow.finish_tag
        self._turn += 1
        heapq.heapreplace(self._heads, (flow.start_tag, self._turn, workspace))

    def _displace(self, workspace: str) -> Entry:
        def measure(name: str) -> float:
            weight = max(self._weights.get(name, 1.0), MIN_COST)
            return len(self._flows[name].entries) / weight

        longest = max(self._flows, key=measure)
        weight = max(self._weights.get(workspace, 1.0), MIN_COST)
        if (self.count(workspace) + 1) / weight > measure(longest):
            raise errors.QueueFullError(f'{self._length} calls waiting')
        _, entry = self._flows[longest].entries.popitem(last=True)
        self._length -= 1
        return entry


@VARIANTS.register('ranked')
class RankedQueue:
    """A fair queue for each rank; a more urgent rank is always served first.

    >>> queue = RankedQueue()
    >>> for rank in (2, 0, 1):
    ...     _ = queue.push(Entry('w', 1.0, 9.0, lambda now: True, rank=rank))
    >>> [queue.pop(0.0, lambda e: 0.0)[0].rank for _ in range(3)]
    [0, 1, 2]
    """

    def __init__(self, bounds: Bounds = Bounds()):
        self._bounds = bounds
        self._weights: Mapping[str, float] = {}
        self._ranks: dict[int, FairQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._ranks.values())

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the weights of workspaces; one that is absent weighs 1."""
        self._weights = dict(weights)
        for queue in self._ranks.values():
            queue.set_weights(weights)

    def count(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        return sum(queue.count(workspace) for queue in self._ranks.values())

    def count_backlogs(self) -> int:
        """Returns the lines with entries: one for each rank and workspace."""
        return sum(queue.count_backlogs() for queue in self._ranks.values())

    def count_ahead(self, workspace: str, rank: int) -> float:
        """Returns the entries that a new one waits for."""
        return sum(
            queue.count_ahead(workspace, rank) if held == rank else len(queue)
            for held, queue in self._ranks.items()
            if held <= rank
        )

    def push(self, entry: Entry) -> Entry | None:
        """Adds an entry; a full queue displaces a less urgent one for it.

        Returns:
          The entry that was displaced, or None.

        Raises:
          QueueFullError: If there is no room.
        """
        queue = self._ranks.get(entry.rank)
        if queue is None:
            queue = self._ranks[entry.rank] = FairQueue(self._bounds)
            queue.set_weights(self._weights)
        displaced = None
        if len(self) >= self._bounds.total:
            displaced = self._displace(entry.rank)
        other = queue.push(entry)
        return displaced or other

    def remove(self, entry: Entry) -> bool:
        """Removes an entry; tells whether it was in the queue."""
        queue = self._ranks.get(entry.rank)
        return queue is not None and queue.remove(entry)

    def pop(
        self, now: float, estimate_s: Callable[[Entry], float]
    ) -> tuple[Entry | None, list[tuple[Entry, DropReason]]]:
        """Takes the next entry that may run; see `FairQueue.pop`."""
        dropped = []
        for rank in sorted(self._ranks):
            entry, gone = self._ranks[rank].pop(now, estimate_s)
            dropped += gone
            if entry is not None:
                return entry, dropped
        return None, dropped

    def clear(self) -> list[Entry]:
        """Removes and returns all entries."""
        queues = [self._ranks[rank] for rank in sorted(self._ranks)]
        return [entry for queue in queues for entry in queue.clear()]

    def _displace(self, rank: int) -> Entry | None:
        """Makes room among the less urgent entries, the least urgent first.

        Without any, the entry's own rank decides who has to go.
        """
        for held in sorted(self._ranks, reverse=True):
            if held <= rank:
                return None
            displaced = self._ranks[held].displace_newest()
            if displaced is not None:
                return displaced
        return None


@VARIANTS.register('fifo')
class FifoQueue:
    """One line for all workspaces, in order of arrival.

    It has the interface of `FairQueue`, but weights and costs are ignored and
    only the total length is bounded.
    """

    def __init__(self, bounds: Bounds = Bounds()):
        self._bounds = bounds
        self._entries: collections.OrderedDict = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Ignores the weights."""

    def count(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        entries = self._entries.values()
        return sum(entry.workspace == workspace for entry in entries)

    def count_backlogs(self) -> int:
        """Returns the length of the line, of which each entry waits."""
        return len(self._entries)

    def count_ahead(self, workspace: str, rank: int) -> float:
        """Returns the entries that a new one waits for: all."""
        del workspace, rank
        return len(self._entries)

    def push(self, entry: Entry) -> None:
        """Adds an entry.

        Raises:
          QueueFullError: If the queue is full.
        """
        if len(self._entries) >= self._bounds.total:
            raise errors.QueueFullError(f'{len(self._entries)} calls waiting')
        self._entries[id(entry)] = entry

    def remove(self, entry: Entry) -> bool:
        """Removes an entry; tells whether it was in the queue."""
        return self._entries.pop(id(entry), None) is not None

    def pop(
        self, now: float, estimate_s: Callable[[Entry], float]
    ) -> tuple[Entry | None, list[tuple[Entry, DropReason]]]:
        """Takes the next entry that may run; see `FairQueue.pop`."""
        dropped = []
        while self._entries:
            _, entry = self._entries.popitem(last=False)
            reason = find_drop_reason(entry, now, estimate_s(entry))
            if reason is None:
                return entry, dropped
            dropped.append((entry, reason))
        return None, dropped

    def clear(self) -> list[Entry]:
        """Removes and returns all entries."""
        entries = list(self._entries.values())
        self._entries.clear()
        return entries
