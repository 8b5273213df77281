"""VMs that calls avoid for a while, because they failed or refused a call."""

import attrs

# A VM that failed to answer is avoided for this long, so that the call's retry
# and later calls don't wait for the same unresponsive VM.
AVOID_UNREACHABLE_S = 2.0
# A VM that refused a call has no room for about the duration of one call.
AVOID_REFUSING_S = 0.15


@attrs.frozen
class Exclusion:
    """Why a VM is passed over for a while.

    Attributes:
      kind: ``unresponsive``, ``avoided`` or ``no-room`` (both used only if
        there is no other), or ``full`` (first attempts still go there).
      reason: Explanation for an operator.
    """

    kind: str
    reason: str


class AvoidanceTable:
    """Times until which VMs are avoided.

    >>> table = AvoidanceTable()
    >>> table.add('vm-1', 3.0)
    >>> table.add('vm-1', 2.0)
    >>> table.list_times(2.5)
    {'vm-1': 3.0}
    >>> table.list_times(3.0)
    {}
    """

    def __init__(self):
        self._times: dict[str, float] = {}

    def add(self, vm: str, until: float) -> None:
        """Avoids a VM until a time in seconds, or longer if it already is."""
        self._times[vm] = max(until, self._times.get(vm, until))

    def remove(self, vm: str) -> None:
        """Ends the avoidance of a VM, as it has answered."""
        self._times.pop(vm, None)

    def list_times(self, now: float) -> dict[str, float]:
        """Returns the end of each avoidance by VM, in seconds."""
        if self._times:
            self._times = {
                vm: until for vm, until in self._times.items() if until > now
            }
        return dict(self._times)
