"""Bounded queues of calls that wait for admission.

The queues read no clock and do no I/O. The registry `VARIANTS` holds
``ranked`` (the most urgent first, and start-time fair queueing over workspaces
within a rank), ``fair`` (start-time fair queueing without ranks) and ``fifo``
(order of arrival). The last two are baselines for measurements. The variant
``objective`` is in `jayseam.admission.objectives`.

References:
  Goyal, Vin and Cheng, "Start-time fair queuing: a scheduling algorithm for
  integrated services packet switching networks", SIGCOMM 1996.
"""

import collections
import enum
import heapq
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jayseam.admission import errors
from jayseam.core import registries

VARIANTS: registries.Registry = registries.Registry('queue')

MAX_PER_WORKSPACE = 200
MAX_TOTAL = 1000
# With a cost of zero, a workspace could run any number of calls without using
# up its share.
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
      still_valid: Returns whether the call may still run at a given time.
      payload: Anything the owner of the queue attaches.
      rank: Urgency; 0 is the most urgent.
      objective: Time until which an answer has its full value, in seconds.
      service_s: Expected service time in seconds.
      kind: Kind of the call, the name of its route.
      is_short: Whether the call may use a reserved start.
      tier: Why the entry was the next to start, set by the variant
        ``objective``.
    """

    workspace: str
    cost: float
    deadline: float
    still_valid: Callable[[float], bool]
    payload: Any = None
    rank: int = 0
    objective: float = math.inf
    service_s: float = 0.0
    kind: str = ''
    is_short: bool = False
    tier: str = ''


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
    """The backlog of one workspace and its tags."""

    entries: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    finish_tag: float = 0.0
    start_tag: float = 0.0


@VARIANTS.register('fair')
class FairQueue:
    """Start-time fair queue over workspaces with weights and costs.

    An admitted entry advances its workspace's finish tag by cost / weight;
    the workspace with the lowest start tag is served next. While a workspace
    has a backlog, its service over its weight lags that of any other workspace
    by at most one largest cost of the other, plus one of its own for an entry
    served just before the backlog began (each over the workspace's weight).
    Only the first entry of a workspace has tags, so entries that are dropped or
    withdrawn cost their workspace nothing.

    >>> queue = FairQueue()
    >>> for workspace in ('large', 'large', 'large', 'small'):
    ...     _ = queue.push(Entry(workspace, 1.0, 9.0, lambda now: True))
    >>> [queue.pop(0.0, lambda e: 0.0)[0].workspace for _ in range(4)]
    ['large', 'small', 'large', 'large']
    """

    serves_late = False

    def __init__(self, bounds: Bounds = Bounds()):
        self._bounds = bounds
        self._weights: Mapping[str, float] = {}
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0
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
        """Returns the number of entries that a new one would wait for.

        A new entry waits for one round over all backlogs for each entry of its
        workspace ahead of it, and on average half a round for its own turn.
        """
        del rank
        rounds = self.count(workspace) + 0.5
        return min(rounds * self.count_backlogs(), self._length)

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
        the longest backlog in proportion to its weight is displaced, so that
        one workspace's backlog doesn't cause refusals for other workspaces.

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
        """Removes an entry whose call no longer waits.

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
        """Removes and returns the next entry that may run.

        Args:
          now: Current time in seconds.
          estimate_s: Returns the expected service time of an entry in seconds.

        Returns:
          The entry, or None if none may run, and the entries that were
          dropped before it, with reasons.
        """
        dropped = []
        while self._heap:
            workspace = self._heap[0][2]
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
        self._sequence += 1
        heapq.heappush(self._heap, (start_tag, self._sequence, workspace))
        return flow

    def _close_flow(self, workspace: str) -> None:
        heapq.heappop(self._heap)
        flow = self._flows.pop(workspace)
        if flow.finish_tag > self._virtual_time:
            self._finish_tags[workspace] = flow.finish_tag
        # A tag that virtual time has passed no longer has any effect.
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
        self._sequence += 1
        heapq.heapreplace(
            self._heap, (flow.start_tag, self._sequence, workspace)
        )

    def _displace(self, workspace: str) -> Entry:
        def compute_relative_length(name: str) -> float:
            weight = max(self._weights.get(name, 1.0), MIN_COST)
            return len(self._flows[name].entries) / weight

        longest = max(self._flows, key=compute_relative_length)
        weight = max(self._weights.get(workspace, 1.0), MIN_COST)
        if (self.count(workspace) + 1) / weight > compute_relative_length(
            longest
        ):
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

    serves_late = False

    def __init__(self, bounds: Bounds = Bounds()):
        self._bounds = bounds
        self._weights: Mapping[str, float] = {}
        self._queues_by_rank: dict[int, FairQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues_by_rank.values())

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the weights of workspaces; one that is absent weighs 1."""
        self._weights = dict(weights)
        for queue in self._queues_by_rank.values():
            queue.set_weights(weights)

    def count(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        return sum(
            queue.count(workspace) for queue in self._queues_by_rank.values()
        )

    def count_backlogs(self) -> int:
        """Returns the number of backlogs, one for each rank and workspace."""
        return sum(
            queue.count_backlogs() for queue in self._queues_by_rank.values()
        )

    def count_ahead(self, workspace: str, rank: int) -> float:
        """Returns the number of entries that a new one would wait for."""
        return sum(
            queue.count_ahead(workspace, rank) if other == rank else len(queue)
            for other, queue in self._queues_by_rank.items()
            if other <= rank
        )

    def push(self, entry: Entry) -> Entry | None:
        """Adds an entry; if the queue is full, displaces a less urgent one.

        Returns:
          The entry that was displaced, or None.

        Raises:
          QueueFullError: If there is no room.
        """
        queue = self._queues_by_rank.get(entry.rank)
        if queue is None:
            queue = self._queues_by_rank[entry.rank] = FairQueue(self._bounds)
            queue.set_weights(self._weights)
        displaced = None
        if len(self) >= self._bounds.total:
            displaced = self._displace(entry.rank)
        displaced_in_rank = queue.push(entry)
        return displaced or displaced_in_rank

    def remove(self, entry: Entry) -> bool:
        """Removes an entry; returns whether it was in the queue."""
        queue = self._queues_by_rank.get(entry.rank)
        return queue is not None and queue.remove(entry)

    def pop(
        self, now: float, estimate_s: Callable[[Entry], float]
    ) -> tuple[Entry | None, list[tuple[Entry, DropReason]]]:
        """Removes and returns the next entry; see `FairQueue.pop`."""
        dropped = []
        for rank in sorted(self._queues_by_rank):
            entry, dropped_in_rank = self._queues_by_rank[rank].pop(
                now, estimate_s
            )
            dropped += dropped_in_rank
            if entry is not None:
                return entry, dropped
        return None, dropped

    def clear(self) -> list[Entry]:
        """Removes and returns all entries."""
        queues = [
            self._queues_by_rank[rank] for rank in sorted(self._queues_by_rank)
        ]
        return [entry for queue in queues for entry in queue.clear()]

    def _displace(self, rank: int) -> Entry | None:
        """Displaces an entry of a less urgent rank, the least urgent first.

        Without such an entry, the queue of the new entry's rank decides which
        entry is displaced or refused.
        """
        for other in sorted(self._queues_by_rank, reverse=True):
            if other <= rank:
                return None
            displaced = self._queues_by_rank[other].displace_newest()
            if displaced is not None:
                return displaced
        return None


@VARIANTS.register('fifo')
class FifoQueue:
    """One queue for all workspaces, in order of arrival.

    The class has the interface of `FairQueue`, but ignores weights and costs
    and bounds only the total length.
    """

    serves_late = False

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
        """Returns the number of entries; each counts as a backlog."""
        return len(self._entries)

    def count_ahead(self, workspace: str, rank: int) -> float:
        """Returns the number of all entries; a new one waits for each."""
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
        """Removes an entry; returns whether it was in the queue."""
        return self._entries.pop(id(entry), None) is not None

    def pop(
        self, now: float, estimate_s: Callable[[Entry], float]
    ) -> tuple[Entry | None, list[tuple[Entry, DropReason]]]:
        """Removes and returns the next entry; see `FairQueue.pop`."""
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
