"""What this node knows of the totals that other members report."""

from collections.abc import Collection, Mapping

import attrs

from jayseam.limits import messages

# Processes whose incarnations (start times in milliseconds) differ by at most
# this start together, so all their spending is more recent than the own start.
JOINT_START_MS = 500
# Time after the start in which such processes are recognised.
JOINT_START_S = 2.0


@attrs.define(slots=True)
class Sender:
    """The last totals that a member has reported in one scope.

    The scope ``own`` is spending at the member, ``relayed`` is spending of
    others that it relays.

    Attributes:
      incarnation: Incarnation of the member's process.
      totals: Tokens spent by workspace since that process started.
      heard_at: Time of the last report, in seconds.
      counts_from_zero: Whether the first total reported for a workspace is
        charged. If not, it counts as spent before this node heard from the
        member, from the part that was left to it.
    """

    incarnation: int
    totals: dict[str, float]
    heard_at: float
    counts_from_zero: bool


class Senders:
    """The members that have reported, by VM and scope.

    Args:
      own_incarnation: Incarnation of the own process.
      started_at: Time at which the own process started, in seconds.
      silence_timeout_s: Time without a report after which a member is silent,
        in seconds.
    """

    def __init__(
        self, own_incarnation: int, started_at: float, silence_timeout_s: float
    ):
        self._own_incarnation = own_incarnation
        self._started_at = started_at
        self._silence_timeout_s = silence_timeout_s
        self._senders: dict[tuple[str, str], Sender] = {}

    def retain(self, vms: Collection[str]) -> None:
        """Forgets the members on other VMs than these."""
        self._senders = {
            key: sender
            for key, sender in self._senders.items()
            if key[0] in vms
        }

    def list_heard_since(self, oldest: float) -> set[str]:
        """Returns the VMs of which a report came at a time or later."""
        return {
            vm
            for (vm, _), sender in self._senders.items()
            if sender.heard_at >= oldest
        }

    def update_totals(
        self, vm: str, scope: str, message: messages.Spent, now: float
    ) -> Mapping[str, float]:
        """Stores a member's totals; returns the tokens spent since the last."""
        totals = message.own if scope == 'own' else message.relayed
        sender = self._senders.get((vm, scope))
        if sender is None or sender.incarnation != message.incarnation:
            sender = self._create(sender, scope, message.incarnation, now)
            self._senders[(vm, scope)] = sender
        was_silent = now - sender.heard_at > self._silence_timeout_s
        sender.heard_at = now
        spent = {}
        for name, total in totals.items():
            # Spending of a silent member is covered by the part left to it.
            if name in sender.totals and not was_silent:
                spent[name] = total - sender.totals[name]
            elif sender.counts_from_zero and not was_silent:
                spent[name] = total
            sender.totals[name] = total
        return spent

    def _create(
        self, before: Sender | None, scope: str, incarnation: int, now: float
    ) -> Sender:
        """Returns the state of a process that reports for the first time.

        Args:
          before: State of the previous process on its VM, if any.
          scope: ``own`` or ``relayed``.
          incarnation: Incarnation of the process.
          now: Time in seconds.
        """
        is_start = now - self._started_at < JOINT_START_S
        difference_ms = abs(incarnation - self._own_incarnation)
        counts_from_zero = is_start and difference_ms <= JOINT_START_MS
        if scope == 'own':
            # Relayed spending may already be known through another relay.
            counts_from_zero |= before is not None
        return Sender(incarnation, {}, now, counts_from_zero)
