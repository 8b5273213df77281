"""What a node knows of the load of other members' backend servers."""

import math

import attrs

FRESH_S = 1.0
STALE_WEIGHT = 0.5
# Workspaces of a VM above which those without news are forgotten.
MAX_WORKSPACES = 64


@attrs.frozen
class Report:
    """The load that a reply of an ingress tells.

    A fair queue takes the backlogs of workspaces in turn, so a call waits for
    the backlog of its own workspace and hardly for that of a neighbour.

    Attributes:
      load: Calls in flight and queued, over the limit.
      fair_load: The same as far as it delays the workspace of the reply.
      idle_load: The same for a workspace that has no call in the queue.
      service_s: Mean service time in seconds; zero if unknown.
    """

    load: float
    fair_load: float
    idle_load: float
    service_s: float = 0.0


@attrs.define
class _WorkspaceLoad:
    """Own calls of one workspace at a member, and its last report."""

    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    own_at_report: int = 0


@attrs.define
class MemberLoad:
    """Load of one member as its entry sees it.

    Attributes:
      in_flight: Own calls in flight at the member.
      report: Its last report, if any.
      reported_at: Time at which the report arrived, in seconds.
      own_at_report: Own calls in flight when it arrived; the report counts
        them already.
      workspaces: The same by workspace, for those with calls in flight or a
        fresh report.
    """

    in_flight: int = 0
    report: Report | None = None
    reported_at: float = -math.inf
    own_at_report: int = 0
    workspaces: dict[str, _WorkspaceLoad] = attrs.field(factory=dict)


class LoadTable:
    """Own calls in flight and last load reports by VM.

    >>> table = LoadTable()
    >>> table.start('vm-1', 'w')
    >>> table.estimate('vm-1', slots=10, now=1.0)
    0.1
    >>> table.report('vm-1', 'w', Report(0.7, 0.2, 0.2), now=1.0)
    >>> table.estimate('vm-1', 10, now=1.5), table.estimate('vm-1', 10, now=3.0)
    (0.7, 0.4)
    >>> table.estimate('vm-1', 10, now=1.5, workspace='w')
    0.2
    """

    def __init__(self):
        self._members: dict[str, MemberLoad] = {}

    def start(self, vm: str, workspace: str = '') -> None:
        """Counts a call sent to a VM."""
        member = self._members.get(vm)
        if member is None:
            member = self._members[vm] = MemberLoad()
        member.in_flight += 1
        own = member.workspaces.get(workspace)
        if own is None:
            own = member.workspaces[workspace] = _WorkspaceLoad()
        own.in_flight += 1

    def finish(self, vm: str, workspace: str = '') -> None:
        """Counts the end of a call."""
        member = self._members.get(vm)
        if member is None or member.in_flight == 0:
            return
        member.in_flight -= 1
        own = member.workspaces.get(workspace)
        if own is not None and own.in_flight > 0:
            own.in_flight -= 1

    def report(
        self, vm: str, workspace: str, report: Report, now: float
    ) -> None:
        """Stores the load that a reply to a call of a workspace carried.

        Call it before `finish` for that reply: the ingress counted the call.
        """
        member = self._members.setdefault(vm, MemberLoad())
        member.report = report
        member.reported_at = now
        member.own_at_report = member.in_flight
        own = member.workspaces.setdefault(workspace, _WorkspaceLoad())
        own.reported = report.fair_load
        own.reported_at = now
        own.own_at_report = own.in_flight
        if len(member.workspaces) > MAX_WORKSPACES:
            member.workspaces = {
                name: load
                for name, load in member.workspaces.items()
                if load.in_flight or now <= load.reported_at + FRESH_S
            }

    def forget(self, vm: str) -> None:
        """Drops what is known of a VM that has left."""
        self._members.pop(vm, None)

    def get(self, vm: str) -> MemberLoad:
        """Returns what is known of a VM."""
        return self._members.get(vm, MemberLoad())

    def compare_service(self, first: str, second: str) -> float:
        """Returns the service time of one VM over that of another.

        It is 1 unless both are known.
        """
        one, other = self._read_service(first), self._read_service(second)
        return one / other if one and other else 1.0

    def estimate(
        self, vm: str, slots: int, now: float, workspace: str | None = None
    ) -> float:
        """Returns the load of a VM, (in flight + reported queue) / limit.

        A report counts in full until it is 1 s old and half after that. Own
        calls that it includes are not counted twice.

        Args:
          vm: Name of the VM.
          slots: Slots of its upstream.
          now: Current time in seconds.
          workspace: Counts only what delays calls of this workspace, as far as
            fresh reports tell it; None counts everything.
        """
        member = self._members.get(vm)
        if member is None:
            return 0.0
        slots = slots or 1
        total = _estimate_total(member, slots, now)
        if workspace is None or now > member.reported_at + FRESH_S:
            return total
        return min(total, _estimate_fair(member, slots, now, workspace))

    def _read_service(self, vm: str) -> float:
        report = self.get(vm).report
        return 0.0 if report is None else report.service_s


def _estimate_total(member: MemberLoad, slots: int, now: float) -> float:
    own = member.in_flight / slots
    if member.report is None:
        return own
    weight = 1.0
    if now > member.reported_at + FRESH_S:
        weight = STALE_WEIGHT
    others = member.report.load - member.own_at_report / slots
    # The rounding keeps equal loads equal whatever their parts are.
    return round(own + weight * max(0.0, others), 9)


def _estimate_fair(
    member: MemberLoad, slots: int, now: float, workspace: str
) -> float:
    own = member.workspaces.get(workspace)
    if own is None or now > own.reported_at + FRESH_S:
        started = 0 if own is None else own.in_flight
        return round(member.report.idle_load + started / slots, 9)
    started = own.in_flight - own.own_at_report
    return round(max(0.0, own.reported + started / slots), 9)
