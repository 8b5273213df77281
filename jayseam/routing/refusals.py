"""Recent refusals by VMs whose queues were full, kept to avoid futile retries.

Under overload most calls that are retried at a second VM are refused there
too, because first attempts of other calls take each place that becomes free.
The messages of such retries cost the loaded VMs time that running calls need.

See Also:
  `jayseam.routing.loads` for the loads that decide the first attempt.
"""

import collections

import attrs

# Longest time for which a refusal counts, in seconds: a few service times of
# the users' fast services. A refusal expires earlier if the VM expects room
# earlier. Later calls of this node try the VM again.
MAX_REFUSAL_S = 0.1
# Difference of the time left to calls of one kind after earlier attempts, in
# seconds.
TIME_LEFT_TOLERANCE_S = 0.02
# With more refusals than this, expired ones are removed.
_MAX_REFUSALS = 256


@attrs.frozen
class CallNeeds:
    """Properties of a call that decide whether a queue has room for it.

    Attributes:
      workspace: Workspace of the call; a fair queue has a backlog for each.
      rank: Urgency; 0 is the most urgent.
      time_left_s: Time left for the call to wait and run, in seconds.
    """

    workspace: str
    rank: int
    time_left_s: float


@attrs.frozen
class _Refusal:
    """A refusal of a call for want of room.

    Attributes:
      rank: Urgency of the refused call.
      time_left_s: Time that was left for the call, in seconds.
      expires_at: Time until which the refusal counts, in seconds.
    """

    rank: int
    time_left_s: float
    expires_at: float

    def covers(self, needs: CallNeeds, now: float) -> bool:
        """Returns whether another call would be refused as well.

        This is so if that call is no more urgent and has no more time left.
        """
        return (
            now < self.expires_at
            and needs.rank >= self.rank
            and needs.time_left_s <= self.time_left_s + TIME_LEFT_TOLERANCE_S
        )


class RefusalTable:
    """Refusals for want of room, by VM and workspace.

    >>> table = RefusalTable()
    >>> table.add_refusal('vm-1', CallNeeds('w', 1, 0.5), wait_s=0.3, now=1.0)
    >>> table.list_full_vms(CallNeeds('w', 1, 0.4), now=1.05)
    {'vm-1'}
    >>> table.list_full_vms(CallNeeds('w', 1, 0.6), now=1.05)
    set()
    >>> table.list_full_vms(CallNeeds('w', 0, 0.4), now=1.05)
    set()
    >>> table.list_full_vms(CallNeeds('w', 1, 0.4), now=1.1)
    set()
    """

    def __init__(self):
        self._refusals: dict[str, dict[str, _Refusal]] = (
            collections.defaultdict(dict)
        )

    def __len__(self) -> int:
        return sum(map(len, self._refusals.values()))

    def add_refusal(
        self, vm: str, needs: CallNeeds, wait_s: float, now: float
    ) -> None:
        """Records that a VM had no room for a call.

        Args:
          vm: Name of the VM.
          needs: What the refused call needed.
          wait_s: Time after which the VM expects room, in seconds.
          now: Current time in seconds.
        """
        refusals = self._refusals[needs.workspace]
        previous = refusals.get(vm)
        if previous is not None and previous.covers(needs, now):
            # The previous refusal covers more calls, so its conditions stay
            # and only its end changes.
            needs = attrs.evolve(
                needs, rank=previous.rank, time_left_s=previous.time_left_s
            )
        expires_at = now + min(wait_s, MAX_REFUSAL_S)
        refusals[vm] = _Refusal(needs.rank, needs.time_left_s, expires_at)
        if len(self) > _MAX_REFUSALS:
            self._remove_expired(now)

    def list_full_vms(self, needs: CallNeeds, now: float) -> set[str]:
        """Returns the VMs that are expected to have no room for a call."""
        refusals = self._refusals.get(needs.workspace, {})
        return {vm for vm, r in refusals.items() if r.covers(needs, now)}

    def _remove_expired(self, now: float) -> None:
        for workspace, refusals in list(self._refusals.items()):
            valid = {vm: r for vm, r in refusals.items() if now < r.expires_at}
            if valid:
                self._refusals[workspace] = valid
            else:
                del self._refusals[workspace]
