"""Load of the members' backend servers as a node knows it."""

import math

import attrs

REPORT_FRESH_S = 1.0
STALE_REPORT_WEIGHT = 0.5
# With more workspaces of a VM, those without calls in flight and without a
# fresh report are removed.
MAX_WORKSPACES = 64


@attrs.frozen
class ReportedLoad:
    """The load of a backend server as a reply of its ingress reports it.

    A fair queue takes the backlogs of workspaces in turn, so a call waits for
    the backlog of its own workspace and hardly for those of others.

    Attributes:
      load: Calls in flight and queued, over the limit.
      fair_load: Part of the load that delays the workspace of the reply.
      idle_load: Part of the load that delays a workspace without queued calls.
      service_s: Mean service time in seconds; zero if unknown.
      kind_service_s: Mean service time of the kind of the call, in seconds;
        zero if unknown.
      limit: Concurrency limit; zero if unknown.
    """

    load: float
    fair_load: float
    idle_load: float
    service_s: float = 0.0
    kind_service_s: float = 0.0
    limit: int = 0


@attrs.define
class _WorkspaceLoad:
    """This node's calls of one workspace at a member, and the last report."""

    in_flight: int = 0
    reported_load: float = 0.0
    reported_at: float = -math.inf
    in_flight_at_report: int = 0


@attrs.define
class MemberLoad:
    """Load of one member as this node knows it.

    Attributes:
      in_flight: Calls of this node in flight at the member.
      report: Last report of the member, if any.
      reported_at: Time at which the report arrived, in seconds.
      in_flight_at_report: Calls of this node in flight when the report arrived;
        the report already counts them.
      workspaces: Load by workspace, for workspaces with calls in flight or a
        fresh report.
    """

    in_flight: int = 0
    report: ReportedLoad | None = None
    reported_at: float = -math.inf
    in_flight_at_report: int = 0
    workspaces: dict[str, _WorkspaceLoad] = attrs.field(factory=dict)


class LoadTable:
    """This node's calls in flight and the last load reports, by VM.

    >>> table = LoadTable()
    >>> table.record_call_start('vm-1', 'w')
    >>> table.estimate('vm-1', slots=10, now=1.0)
    0.1
    >>> table.record_report('vm-1', 'w', ReportedLoad(0.7, 0.2, 0.2), now=1.0)
    >>> table.estimate('vm-1', 10, now=1.5), table.estimate('vm-1', 10, now=3.0)
    (0.7, 0.4)
    >>> table.estimate('vm-1', 10, now=1.5, workspace='w')
    0.2
    """

    def __init__(self):
        self._members: dict[str, MemberLoad] = {}

    def record_call_start(self, vm: str, workspace: str = '') -> None:
        """Counts a call sent to a VM."""
        member = self._members.get(vm)
        if member is None:
            member = self._members[vm] = MemberLoad()
        member.in_flight += 1
        workspace_load = member.workspaces.get(workspace)
        if workspace_load is None:
            workspace_load = member.workspaces[workspace] = _WorkspaceLoad()
        workspace_load.in_flight += 1

    def record_call_end(self, vm: str, workspace: str = '') -> None:
        """Counts the end of a call."""
        member = self._members.get(vm)
        if member is None or member.in_flight == 0:
            return
        member.in_flight -= 1
        workspace_load = member.workspaces.get(workspace)
        if workspace_load is not None and workspace_load.in_flight > 0:
            workspace_load.in_flight -= 1

    def record_report(
        self, vm: str, workspace: str, report: ReportedLoad, now: float
    ) -> None:
        """Stores the load report in a reply to a call of a workspace.

        This must be called before `record_call_end` for that call, because the
        ingress counted the call in its report.
        """
        member = self._members.setdefault(vm, MemberLoad())
        member.report = report
        member.reported_at = now
        member.in_flight_at_report = member.in_flight
        workspace_load = member.workspaces.setdefault(
            workspace, _WorkspaceLoad()
        )
        workspace_load.reported_load = report.fair_load
        workspace_load.reported_at = now
        workspace_load.in_flight_at_report = workspace_load.in_flight
        if len(member.workspaces) > MAX_WORKSPACES:
            member.workspaces = {
                name: load
                for name, load in member.workspaces.items()
                if load.in_flight or now <= load.reported_at + REPORT_FRESH_S
            }

    def merge_report(
        self, vm: str, load: float, limit: int, reported_at: float
    ) -> bool:
        """Stores a load that another node has had from a VM.

        Args:
          vm: Name of the VM.
          load: Calls in flight and queued, over the limit.
          limit: Concurrency limit.
          reported_at: Time of the load in seconds.

        Returns:
          Whether the load is newer than the one known.
        """
        member = self._members.setdefault(vm, MemberLoad())
        if reported_at <= member.reported_at:
            return False
        known = member.report or ReportedLoad(load, load, load)
        member.report = attrs.evolve(
            known, load=load, fair_load=load, idle_load=load, limit=limit
        )
        member.reported_at = reported_at
        # Calls sent since the last reply may not be in the new load.
        member.in_flight_at_report = min(
            member.in_flight, member.in_flight_at_report
        )
        return True

    def remove_vm(self, vm: str) -> None:
        """Removes the load of a VM that has left."""
        self._members.pop(vm, None)

    def get(self, vm: str) -> MemberLoad:
        """Returns the load of a VM."""
        return self._members.get(vm, MemberLoad())

    def find(self, vm: str) -> MemberLoad | None:
        """Returns the load of a VM; None if nothing is known of it."""
        return self._members.get(vm)

    def compute_service_ratio(self, first: str, second: str) -> float:
        """Returns the service time at one VM over that at another.

        The ratio is 1 unless both service times are known.
        """
        one, other = self._get_service_s(first), self._get_service_s(second)
        return one / other if one and other else 1.0

    def estimate(
        self, vm: str, slots: int, now: float, workspace: str | None = None
    ) -> float:
        """Returns the load of a VM, (in flight + reported queue) / limit.

        A report counts in full until it is 1 s old and by half after that.
        Calls of this node that the report includes are not counted twice.

        Args:
          vm: Name of the VM.
          slots: Slots of its upstream.
          now: Current time in seconds.
          workspace: Workspace for which only the load that delays its calls is
            counted, as far as fresh reports contain it; None counts all load.
        """
        member = self._members.get(vm)
        if member is None:
            return 0.0
        slots = slots or 1
        total = _estimate_total(member, slots, now)
        if workspace is None or now > member.reported_at + REPORT_FRESH_S:
            return total
        return min(total, _estimate_fair(member, slots, now, workspace))

    def _get_service_s(self, vm: str) -> float:
        report = self.get(vm).report
        return 0.0 if report is None else report.service_s


def _estimate_total(member: MemberLoad, slots: int, now: float) -> float:
    own_load = member.in_flight / slots
    if member.report is None:
        return own_load
    weight = 1.0
    if now > member.reported_at + REPORT_FRESH_S:
        weight = STALE_REPORT_WEIGHT
    others_load = member.report.load - member.in_flight_at_report / slots
    # Without rounding, equal loads could differ by floating-point errors.
    return round(own_load + weight * max(0.0, others_load), 9)


def _estimate_fair(
    member: MemberLoad, slots: int, now: float, workspace: str
) -> float:
    workspace_load = member.workspaces.get(workspace)
    if (
        workspace_load is None
        or now > workspace_load.reported_at + REPORT_FRESH_S
    ):
        sent = 0 if workspace_load is None else workspace_load.in_flight
        return round(member.report.idle_load + sent / slots, 9)
    sent_since = workspace_load.in_flight - workspace_load.in_flight_at_report
    return round(max(0.0, workspace_load.reported_load + sent_since / slots), 9)
