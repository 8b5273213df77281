"""A queue that orders calls by what an answer is still worth.

Calls that can still meet their latency objective come first, by rank and then
by the latest start that meets it. Calls that can only meet their deadline
follow. A floor guarantees each waiting kind of call a share of the starts, and
a less urgent kind isn't served more often than a more urgent one that waits.

See Also:
  ``docs/design/order-of-service.md``.
"""

import bisect
import collections
import enum
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from jayseam.admission import errors
from jayseam.admission import queues

# A waiting kind gets at least one start in this many of equal service time.
FLOOR_ROUND = 8
_ROUNDING = 1e-6
# Service time in seconds for the floor until a call has been measured.
DEFAULT_SERVICE_S = 1.0
# Mean service times that must be left until the objective at the start. Service
# times vary: with one, a third of the calls started last would be late.
OBJECTIVE_MARGIN = 1.5
# Weight of the latest call in the share of the calls of a kind that start.
SHARE_WEIGHT = 0.05
# The share of a kind without calls counts for this number of starts.
MAX_IDLE_STARTS = 50
# Kinds without waiting calls are forgotten beyond this number of kinds.
MAX_KINDS = 64
# Weight of the latest start in the share of starts left to late calls, and the
# lowest share assumed, as some starts are left to them by the floor.
SPARE_WEIGHT = 0.1
MIN_SPARE = 0.03


class Tier(enum.Enum):
    """Why an entry was the next to start."""

    IN_TIME = 'in_time'
    LATE = 'late'
    FLOOR = 'floor'
    RESERVED = 'reserved'


@attrs.frozen
class Ahead:
    """Entries that start before another one.

    Attributes:
      entries: Number of entries.
      work_s: Sum of their expected service times, in seconds.
    """

    entries: int
    work_s: float


@attrs.define(eq=False)
class _Kind:
    """The waiting entries of one kind and rank.

    Attributes:
      rank: Rank of the entries.
      is_short: Whether the entries may use reserved starts.
      in_time: Entries that can meet their objective, as tuples of latest start,
        sequence number and entry, in ascending order.
      late: Entries that can only meet their deadline, as tuples of deadline,
        sequence number and entry, in ascending order.
      passed_over_s: Service time in seconds of the calls of other kinds that
        started since the last start of this one, while entries waited.
      service_s: Expected service time of the newest entry, in seconds.
      share: Moving average of the share of calls that start.
      idle_starts: Starts of all kinds since the last call of this kind started
        or was refused.
    """

    rank: int
    is_short: bool
    in_time: list = attrs.field(factory=list)
    late: list = attrs.field(factory=list)
    passed_over_s: float = 0.0
    service_s: float = 0.0
    share: float = 1.0
    idle_starts: int = 0

    def record(self, starts: bool) -> None:
        """Counts a call that starts, or that is refused or dropped."""
        self.share += SHARE_WEIGHT * (starts - self.share)
        self.idle_starts = 0

    def __len__(self) -> int:
        return len(self.in_time) + len(self.late)

    def count_passed_over(self) -> float:
        """Returns the starts of other kinds in units of an own start.

        Counted in starts, the floor of a kind of long calls would be most of
        the capacity where most starts are those of short nested calls.
        """
        return self.passed_over_s / (self.service_s or DEFAULT_SERVICE_S)

    def get_order(self) -> tuple:
        """Returns the position of the first entry among those of all kinds."""
        if self.in_time:
            return (0, self.rank, *self.in_time[0][:2])
        return (1, self.rank, *self.late[0][:2])

    def get_last_order(self) -> tuple:
        """Returns the position of the last entry among those of all kinds."""
        if self.late:
            return (1, self.rank, *self.late[-1][:2])
        return (0, self.rank, *self.in_time[-1][:2])


@queues.VARIANTS.register('objective')
class ObjectiveQueue:
    """Queue in order of objective and rank, with a floor for each kind.

    The class has the interface of `queues.FairQueue`, but ignores weights and
    costs; the bound of a workspace applies to each kind.

    Attributes:
      serves_late: Whether calls wait that will miss their objective.

    >>> queue = ObjectiveQueue()
    >>> for kind, rank, objective in (('h', 1, 5.0), ('n', 1, 2.0)):
    ...     entry = queues.Entry('', 1.0, 9.0, lambda now: True, rank=rank)
    ...     entry.kind, entry.objective = kind, objective
    ...     _ = queue.push(entry)
    >>> [queue.pop(0.0, lambda e: 0.0)[0].kind for _ in range(2)]
    ['n', 'h']
    """

    serves_late = True

    def __init__(self, bounds: queues.Bounds = queues.Bounds()):
        self._bounds = bounds
        self._kinds: dict[tuple, _Kind] = {}
        self._workspaces: collections.Counter[str] = collections.Counter()
        self._sequence = 0
        self._length = 0
        self._spare = 1.0

    def __len__(self) -> int:
        return self._length

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Ignores the weights."""

    def count(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        return self._workspaces[workspace]

    def count_backlogs(self) -> int:
        """Returns the number of kinds with waiting entries."""
        return sum(bool(kind) for kind in self._kinds.values())

    def count_ahead(self, workspace: str, rank: int) -> float:
        """Returns the number of entries of the same or a more urgent rank."""
        del workspace
        return sum(
            len(kind) for kind in self._kinds.values() if kind.rank <= rank
        )

    def measure_ahead(self, entry: queues.Entry, now: float) -> Ahead:
        """Returns the entries that go before one that meets its objective.

        Args:
          entry: An entry that isn't in the queue.
          now: Current time in seconds.
        """
        order = (compute_latest_start(entry), self._sequence + 1)
        entries, work_s = 0, 0.0
        for kind in self._kinds.values():
            if kind.rank > entry.rank:
                continue
            first = bisect.bisect_left(kind.in_time, (now,))
            end = len(kind.in_time)
            if kind.rank == entry.rank:
                end = bisect.bisect_left(kind.in_time, order)
            ahead = max(0, end - first)
            entries += ahead
            work_s += ahead * kind.service_s
        return Ahead(entries, work_s)

    def measure_late_ahead(self, entry: queues.Entry) -> Ahead:
        """Returns the entries that go before one that misses its objective.

        These are all entries that can meet their objective, and the late ones
        with a place before the entry. The late ones and the entry itself only
        get the share of starts that calls in time have lately left, so their
        work counts as that much more.
        """
        order = (entry.deadline, self._sequence + 1)
        entries, work_s, late_s = 0, 0.0, entry.service_s
        for kind in self._kinds.values():
            entries += len(kind.in_time)
            work_s += len(kind.in_time) * kind.service_s
            late = 0
            if kind.rank < entry.rank:
                late = len(kind.late)
            elif kind.rank == entry.rank:
                late = bisect.bisect_left(kind.late, order)
            entries += late
            late_s += late * kind.service_s
        return Ahead(entries, work_s + late_s / max(MIN_SPARE, self._spare))

    def count_short(self) -> int:
        """Returns the number of entries that may use reserved starts."""
        return sum(len(kind) for kind in self._kinds.values() if kind.is_short)

    def push(self, entry: queues.Entry) -> queues.Entry | None:
        """Adds an entry; if the queue is full, the entry served last leaves.

        Returns:
          The entry that was displaced, or None.

        Raises:
          QueueFullError: If the new entry would be served last.
        """
        key = _get_key(entry)
        kind = self._kinds.get(key)
        if kind is None:
            self._forget_kinds()
            kind = _Kind(entry.rank, entry.is_short)
            self._kinds[key] = kind
        self._sequence += 1
        item = (compute_latest_start(entry), self._sequence, entry)
        displaced = None
        if len(kind) >= self._bounds.per_workspace:
            displaced = self._displace(kind, (0, kind.rank, *item[:2]))
        elif self._length >= self._bounds.total:
            waiting = [other for other in self._kinds.values() if other]
            last = max(waiting, key=_Kind.get_last_order)
            displaced = self._displace(last, (0, kind.rank, *item[:2]))
        bisect.insort(kind.in_time, item)
        kind.service_s = entry.service_s
        self._workspaces[entry.workspace] += 1
        self._length += 1
        return displaced

    def list_shares(self) -> dict[str, float]:
        """Returns the recent share of calls that start, by rank and kind."""
        return {
            f'{rank} {name}' + ' short' * is_short: round(kind.share, 2)
            for (rank, name, is_short), kind in self._kinds.items()
        }

    def record(self, entry: queues.Entry, starts: bool) -> None:
        """Counts a call that starts or is refused without waiting."""
        kind = self._kinds.get(_get_key(entry))
        if kind is not None:
            kind.record(starts)

    def remove(self, entry: queues.Entry) -> bool:
        """Removes an entry; returns whether it was in the queue."""
        kind = self._kinds.get(_get_key(entry))
        for items in (kind.in_time, kind.late) if kind else ():
            for index, item in enumerate(items):
                if item[2] is entry:
                    del items[index]
                    self._uncount(entry)
                    return True
        return False

    def pop(
        self,
        now: float,
        estimate_s: Callable[[queues.Entry], float],
        reserved: bool = False,
    ) -> tuple[
        queues.Entry | None, list[tuple[queues.Entry, queues.DropReason]]
    ]:
        """Removes and returns the next entry that may run.

        Args:
          now: Current time in seconds.
          estimate_s: Returns the expected service time of an entry in seconds.
          reserved: Whether the start is reserved for short calls.

        Returns:
          The entry with its ``tier``, or None if none may run, and the entries
          that were dropped, with reasons.
        """
        dropped = list(self._drop_late(now, estimate_s))
        while self._length:
            kind, tier = self._choose(reserved)
            _, _, entry = (kind.in_time or kind.late).pop(0)
            self._uncount(entry)
            if not entry.still_valid(now):
                dropped.append((entry, queues.DropReason.NO_LONGER_VALID))
                continue
            for other in self._kinds.values():
                other.idle_starts += 1
                if other.in_time or other.late:
                    other.passed_over_s += entry.service_s or DEFAULT_SERVICE_S
            kind.passed_over_s = 0.0
            kind.record(True)
            entry.tier = tier.value
            is_spare = tier is Tier.LATE or not any(
                other.in_time for other in self._kinds.values()
            )
            self._spare += SPARE_WEIGHT * (is_spare - self._spare)
            return entry, dropped
        return None, dropped

    def clear(self) -> list[queues.Entry]:
        """Removes and returns all entries."""
        entries = [
            entry
            for kind in self._kinds.values()
            for _, _, entry in kind.in_time + kind.late
        ]
        self._kinds.clear()
        self._workspaces.clear()
        self._length = 0
        return entries

    def _choose(self, reserved: bool) -> tuple[_Kind, Tier]:
        """Returns the kind whose first entry is the next, and why."""
        waiting = [
            kind for kind in self._kinds.values() if kind.in_time or kind.late
        ]
        if reserved:
            short = [kind for kind in waiting if kind.is_short]
            if short:
                return min(short, key=_Kind.get_order), Tier.RESERVED
        longest = max(waiting, key=_Kind.count_passed_over)
        is_due = longest.count_passed_over() >= FLOOR_ROUND - 1 - _ROUNDING
        # A floor start of a long call would take the slot of the next call of a
        # more urgent kind that is served less often, also if none waits now.
        if is_due and not _find_behind(self._kinds.values(), longest):
            return longest, Tier.FLOOR
        first = min(waiting, key=_Kind.get_order)
        behind = _find_behind(waiting, first)
        if behind:
            first = min(behind, key=_Kind.get_order)
        return first, Tier.IN_TIME if first.in_time else Tier.LATE

    def _drop_late(
        self, now: float, estimate_s: Callable[[queues.Entry], float]
    ) -> Iterator[tuple[queues.Entry, queues.DropReason]]:
        """Moves entries that miss their objective, drops those without time."""
        for kind in self._kinds.values():
            while kind.in_time and kind.in_time[0][0] < now:
                _, sequence, entry = kind.in_time.pop(0)
                bisect.insort(kind.late, (entry.deadline, sequence, entry))
            while kind.late:
                deadline, _, entry = kind.late[0]
                if now + estimate_s(entry) <= deadline:
                    break
                del kind.late[0]
                kind.record(False)
                self._uncount(entry)
                yield entry, queues.DropReason.DEADLINE

    def _displace(self, kind: _Kind, order: tuple) -> queues.Entry:
        """Removes the last entry of a kind if the new one's order is lower."""
        if order >= kind.get_last_order():
            raise errors.QueueFullError(f'{self._length} calls waiting')
        _, _, entry = (kind.late or kind.in_time).pop()
        self._uncount(entry)
        return entry

    def _uncount(self, entry: queues.Entry) -> None:
        self._length -= 1
        self._workspaces[entry.workspace] -= 1
        if not self._workspaces[entry.workspace]:
            del self._workspaces[entry.workspace]

    def _forget_kinds(self) -> None:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds = {
                key: kind for key, kind in self._kinds.items() if kind
            }


def compute_latest_start(entry: queues.Entry) -> float:
    """Returns the latest start that meets the objective, in seconds.

    A call without an objective is in time until its deadline.
    """
    end = min(entry.objective, entry.deadline)
    if math.isinf(end):
        return end
    return end - OBJECTIVE_MARGIN * entry.service_s


def _find_behind(kinds: Iterable[_Kind], kind: _Kind) -> list[_Kind]:
    """Returns the more urgent kinds that are served less often than a kind."""
    return [
        other
        for other in kinds
        if other.rank < kind.rank
        and other.share < kind.share
        and other.idle_starts < MAX_IDLE_STARTS
    ]


def _get_key(entry: queues.Entry) -> tuple:
    return (entry.rank, entry.kind, entry.is_short)
