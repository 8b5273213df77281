"""What a node knows of the load of other members' backend servers."""

import attrs

FRESH_S = 1.0
STALE_WEIGHT = 0.5


@attrs.define
class MemberLoad:
    """Load of one member as its entry sees it.

    Attributes:
      in_flight: Own calls in flight at the member.
      reported: Load of its last report, (in flight + queued) / limit.
      reported_at: Time at which the report arrived, in seconds.
      own_at_report: Own calls in flight when it arrived; the report counts
        them already.
      service_s: Mean service time that it told, in seconds; zero if unknown.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = 0.0
    own_at_report: int = 0
    service_s: float = 0.0


class LoadTable:
    """Own calls in flight and last load reports by VM.

    >>> table = LoadTable()
    >>> table.start('vm-1')
    >>> table.estimate('vm-1', slots=10, now=1.0)
    0.1
    >>> table.report('vm-1', load=0.7, now=1.0)
    >>> table.estimate('vm-1', 10, now=1.5), table.estimate('vm-1', 10, now=3.0)
    (0.7, 0.4)
    """

    def __init__(self):
        self._members: dict[str, MemberLoad] = {}

    def start(self, vm: str) -> None:
        """Counts a call sent to a VM."""
        member = self._members.get(vm)
        if member is None:
            member = self._members[vm] = MemberLoad()
        member.in_flight += 1

    def finish(self, vm: str) -> None:
        """Counts the end of a call."""
        member = self._members.get(vm)
        if member is not None and member.in_flight > 0:
            member.in_flight -= 1

    def report(
        self, vm: str, load: float, now: float, service_s: float = 0.0
    ) -> None:
        """Stores a load report that a reply carried.

        Call it before `finish` for that reply: the ingress counted the call.
        """
        member = self._members.setdefault(vm, MemberLoad())
        member.reported = max(0.0, load)
        member.reported_at = now
        member.own_at_report = member.in_flight
        member.service_s = max(0.0, service_s)

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
        one, other = self.get(first).service_s, self.get(second).service_s
        return one / other if one and other else 1.0

    def estimate(self, vm: str, slots: int, now: float) -> float:
        """Returns the load of a VM, (in flight + reported queue) / limit.

        A report counts in full until it is 1 s old and half after that. Own
        calls that it includes are not counted twice.

        Args:
          vm: Name of the VM.
          slots: Slots of its upstream.
          now: Current time in seconds.
        """
        member = self._members.get(vm)
        if member is None:
            return 0.0
        slots = slots or 1
        own = member.in_flight / slots
        if not member.reported:
            return own
        weight = 1.0
        if now > member.reported_at + FRESH_S:
            weight = STALE_WEIGHT
        others = member.reported - member.own_at_report / slots
        # The rounding keeps equal loads equal whatever their parts are.
        return round(own + weight * max(0.0, others), 9)
