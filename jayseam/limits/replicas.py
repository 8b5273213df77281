"""A strategy in which every node keeps a replica of each workspace's bucket.

A node spends from its replica at once and tells the others how much it has
spent in all; they take the difference from theirs. What is spent between two
reports is seen late, so the fleet may exceed rate and burst by what arrives in
that time; the replicas go below zero then and the excess is made up for. Where
operators allow such an excess, calls wait for no tokens, a fleet that has just
started refuses nothing, and no shares move when VMs come and go.

A report goes to the members of the own availability zone and to one relay in
each other zone, which adds up what it hears and tells its own zone. Messages
grow with the size of a zone and the number of zones, not with the fleet.

A part of the fleet that is not heard of may be spending too: its positions'
part of rate and burst is left to it. So the sides of a partition together stay
within the limit, but for the time until they notice. Where two zones can't
reach each other and a third reaches both, the two would each take the third's
part; so a zone that hears one which is out of reach isn't listened to.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from jayseam.core import rendezvous
from jayseam.limits import cells
from jayseam.limits import errors
from jayseam.limits import messages
from jayseam.limits import strategies
from jayseam.limits import wallets

# Reports of workspaces that are near their limit, and all others, in seconds.
TIGHT_PERIOD_S = 0.15
PERIOD_S = 0.4
# A workspace is near its limit below this part of its burst.
TIGHT_PART = 0.5
# Members of the own zone, and zones, are left their part after this silence.
SILENT_S = 0.9
# Time after the start for the first reports of others, in seconds.
FIRST_CONTACT_S = 2.5
# Part of the burst that a process which knows nothing of the past starts with.
FIRST_PART = 0.5
# Processes that start within half a second, in milliseconds, start with their
# fleet: all that they have spent was spent since.
TOGETHER_MS = 500
# Time after the start for such processes to be heard of, in seconds.
SETTLE_S = 2.0
# Returns of refused calls are spread over this time, in seconds.
SPREAD_S = 0.4
MIN_RETRY_S = 0.05
MAX_RETRY_S = 60.0
# Part of a tolerated excess that the rate uses. The rest is for what is spent
# between two reports, and for the time until a partition is noticed.
TOLERANCE_USED = 0.8
_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@attrs.define(slots=True)
class _Replica:
    """One workspace's bucket as this node sees it.

    Attributes:
      rate_per_s: Tokens that accrue in a second, for the whole fleet.
      burst: Capacity for the whole fleet.
      level: Tokens left; below zero after an excess.
      updated: Time to which accrual has been counted, in seconds.
      spent: Tokens spent at this node since it started.
      relayed: Tokens spent in other zones, as this node has relayed them.
      told: What was last reported of both.
    """

    rate_per_s: float
    burst: float
    level: float
    updated: float
    spent: float = 0.0
    relayed: float = 0.0
    told: tuple[float, float] = (0.0, 0.0)

    def refill(self, part: float, now: float) -> None:
        """Adds what has accrued for a part of the fleet."""
        elapsed_s = max(0.0, now - self.updated)
        self.updated = max(now, self.updated)
        grown = self.level + elapsed_s * self.rate_per_s * part
        self.level = min(self.burst * part, grown)

    def charge(self, amount: float) -> None:
        """Takes what others have spent, but no more than one full bucket."""
        floor = -max(self.burst, self.rate_per_s)
        self.level = max(floor, self.level - amount)

    @property
    def is_tight(self) -> bool:
        """Whether the workspace is near its limit."""
        return self.level < TIGHT_PART * self.burst


@attrs.define(slots=True)
class _Sender:
    """What a member has told of one scope.

    Attributes:
      incarnation: Incarnation of its process.
      totals: Tokens spent by workspace since that process started.
      heard_at: Time of the last report, in seconds.
      counts_from_zero: Whether all that it has spent is to be charged. Else
        its first word on a workspace tells what it spent unheard, as part of
        what it was left.
    """

    incarnation: int
    totals: dict[str, float]
    heard_at: float
    counts_from_zero: bool


@strategies.registry.register('replicated')
class ReplicatedStrategy:
    """Replicated buckets; see the module.

    Args:
      vm: Name of the own VM.
      upstream: The own position.
      zone: The own availability zone.
      incarnation: The own incarnation.
      now: Time in seconds at which the process started.

    Attributes:
      counts_leaving: Whether members that are leaving take part. The node
        beside a draining backend server still serves its callers.
    """

    counts_leaving = True
    # The bound doesn't rest on pools of shares.
    pools = ()

    def __init__(
        self, vm: str, upstream: str, zone: str, incarnation: int, now: float
    ):
        self.member = cells.Member(vm, upstream, incarnation, zone)
        self._started_at = now
        self._members: dict[str, cells.Member] = {vm: self.member}
        self._zones: dict[str, str] = {}
        self._replicas: dict[str, _Replica] = {}
        self._senders: dict[tuple[str, str], _Sender] = {}
        self._zone_heard: dict[str, float] = {}
        # When a zone's reports last came, and when they last named a zone that
        # is out of reach from here.
        self._zone_reached: dict[str, float] = {}
        self._bridged: dict[str, float] = {}
        self._tight_at = now
        self._full_at = now
        self._part = 1.0
        self._silent: frozenset[str] = frozenset()
        self._once_heard: set[str] = set()
        self._refusals = 0
        self._leaving = False
        self._tolerance = 0.0

    def set_tolerance(self, tolerance: float) -> None:
        """Uses a part of the excess over rates that operators tolerate.

        Args:
          tolerance: Part of a rate that may be exceeded.
        """
        self._tolerance = tolerance * TOLERANCE_USED

    # Configuration and membership.

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Takes over rates, bursts and positions."""
        del version
        replicas = {}
        for name, workspace in preset.workspaces.items():
            rate_per_s = workspace.rate_per_s * (1.0 + self._tolerance)
            burst = workspace.burst
            held = self._replicas.get(name)
            if held is None:
                replicas[name] = _Replica(
                    rate_per_s, burst, FIRST_PART * burst, now
                )
                continue
            held.refill(self._part, now)
            held.rate_per_s, held.burst = rate_per_s, burst
            held.level = min(held.level, burst)
            replicas[name] = held
        self._replicas = replicas
        self._zones = {
            name: getattr(upstream, 'zone', '')
            for name, upstream in preset.upstreams.items()
        }

    def set_members(self, members: Iterable[Any]) -> None:
        """Takes over the live members (alive or suspect), the own included."""
        found = {m.vm: m for m in members}
        self._members = {**found, self.member.vm: self.member}
        self._senders = {
            key: sender
            for key, sender in self._senders.items()
            if key[0] in self._members
        }

    # Calls.

    def admit(self, workspace: str, cost: float, now: float) -> bool:
        """Spends tokens for a call; returns whether there were enough."""
        replica = self._replicas.get(workspace)
        if replica is None:
            return False
        replica.refill(self._part, now)
        if replica.level < cost:
            return False
        replica.level -= cost
        replica.spent += cost
        return True

    def enqueue(self, workspace: str, waiter: wallets.Waiter) -> bool:
        """Returns False: no call waits for tokens."""
        del workspace, waiter
        return False

    def withdraw(self, workspace: str, call: int) -> None:
        """Does nothing, as no call waits."""

    def serve(self, now: float) -> list[int]:
        """Returns nothing, as no call waits."""
        del now
        return []

    def retry_after(self, workspace: str, cost: float) -> float:
        """Returns when a refused call may have success, in seconds.

        Calls that were refused together return spread out.
        """
        replica = self._replicas.get(workspace)
        if replica is None or replica.rate_per_s <= 0:
            return MAX_RETRY_S
        self._refusals += 1
        accrual = replica.rate_per_s * max(self._part, 1e-3)
        wait_s = (cost - replica.level) / accrual
        spread = (self._refusals * _GOLDEN_RATIO) % 1.0 * SPREAD_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s) + spread)

    # Messages.

    def poll(self, now: float) -> list[strategies.Outgoing]:
        """Returns the reports to send at ``now``."""
        self._note_silence(now)
        if self._leaving:
            return []
        if now >= self._full_at:
            self._full_at = now + PERIOD_S
            self._tight_at = now + TIGHT_PERIOD_S
            return self._report(self._replicas, now, is_full=True)
        if now < self._tight_at:
            return []
        self._tight_at = now + TIGHT_PERIOD_S
        tight = [n for n, r in self._replicas.items() if r.is_tight]
        return self._report(tight, now, is_full=False)

    def answer(self, sender: str, message: Any, now: float) -> None:
        """Takes a member's report.

        Raises:
          UnknownMessageError: If the message is no `messages.Spent`.
        """
        if not isinstance(message, messages.Spent):
            kind = type(message).__name__
            raise errors.UnknownMessageError(f'unexpected {kind} from {sender}')
        member = self._members.get(sender)
        if member is None:
            return
        crosses = member.zone != self.member.zone
        if crosses:
            self._zone_reached[member.zone] = now
            self._note_bridge(member.zone, message, now)
            if now - self._bridged.get(member.zone, -math.inf) <= SILENT_S:
                self._note(sender, 'own', message, now)
                return
            self._zone_heard[member.zone] = now
        for name, amount in self._note(sender, 'own', message, now).items():
            self._take(name, amount, crosses, now)
        if message.zones and not crosses:
            self._zone_heard.update(dict.fromkeys(message.zones, now))
            for name, amount in self._note(
                sender, 'relayed', message, now
            ).items():
                self._take(name, amount, False, now)

    def _note_bridge(
        self, zone: str, message: messages.Spent, now: float
    ) -> None:
        """Notes whether a zone hears one that was in reach here and isn't."""
        lost = [
            heard
            for heard in message.zones
            if now - self._zone_reached.get(heard, now) > SILENT_S
        ]
        if lost:
            self._bridged[zone] = now
        elif message.zones:
            self._bridged.pop(zone, None)

    def receive(self, sent: Any, reply: Any, now: float) -> None:
        """Does nothing: reports have no replies."""

    # Upkeep.

    def drop_expired(self, now: float) -> None:
        """Does nothing: tokens don't expire."""

    def hand_back(self, now: float) -> list[strategies.Outgoing]:
        """Reports for the last time. Later calls are still counted."""
        out = self._report(self._replicas, now, is_full=True)
        self._leaving = True
        return out

    def stock(self, workspace: str, now: float) -> float:
        """Returns the tokens of a workspace that this node can spend."""
        replica = self._replicas.get(workspace)
        if replica is None:
            return 0.0
        replica.refill(self._part, now)
        return replica.level

    def explain(self, workspace: str, now: float) -> dict[str, Any]:
        """Returns what a decision on a workspace's calls rests on, for logs."""
        replica = self._replicas.get(workspace)
        if replica is None:
            return {'known': False}
        return {
            'rate_per_s': replica.rate_per_s,
            'burst': replica.burst,
            'tokens': round(self.stock(workspace, now), 2),
            'part': round(self._part, 3),
            'spent': replica.spent,
        }

    def tokens_lost(self) -> float:
        """Returns zero: tokens don't expire."""
        return 0.0

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            'part': round(self._part, 3),
            'levels': {
                name: round(self.stock(name, now), 1)
                for name in sorted(self._replicas)
            },
        }

    def _note_silence(self, now: float) -> None:
        """Leaves their part to the positions that aren't heard of.

        Those that have fallen silent may have spent it since, unheard.
        """
        silent = self._find_silent(now)
        if silent == self._silent:
            return
        total = max(1, len(self._zones))
        spent = len((silent - self._silent) & self._once_heard) / total
        for replica in self._replicas.values():
            replica.refill(self._part, now)
            replica.charge(replica.rate_per_s * spent * SILENT_S)
        self._silent = silent
        self._part = max(1.0 / total, 1.0 - len(silent) / total)

    def _find_silent(self, now: float) -> frozenset[str]:
        """Returns the positions that aren't heard of."""
        heard = {
            position
            for position, zone in self._zones.items()
            if self._is_heard(position, zone, now - SILENT_S)
        }
        self._once_heard |= heard
        silent = frozenset(self._zones) - heard
        if now - self._started_at < FIRST_CONTACT_S:
            # Links to the others take a moment after the start.
            return silent & self._once_heard
        return silent

    def _is_heard(self, position: str, zone: str, oldest: float) -> bool:
        if position == self.member.upstream:
            return True
        if zone != self.member.zone:
            return self._zone_heard.get(zone, -math.inf) >= oldest
        return any(
            sender.heard_at >= oldest
            for (vm, _), sender in self._senders.items()
            if vm in self._members and self._members[vm].upstream == position
        )

    def _report(
        self, names: Iterable[str], now: float, is_full: bool
    ) -> list[strategies.Outgoing]:
        """Returns the reports on some workspaces, as far as they changed.

        Args:
          names: The workspaces.
          now: Time in seconds.
          is_full: Whether to report also without a change, as a sign of life.
        """
        own, relayed = {}, {}
        for name in names:
            replica = self._replicas[name]
            if replica.spent != replica.told[0]:
                own[name] = replica.spent
            if replica.relayed != replica.told[1]:
                relayed[name] = replica.relayed
            replica.told = (replica.spent, replica.relayed)
        if not (own or relayed or is_full):
            return []
        heard = [
            zone
            for zone, heard_at in self._zone_heard.items()
            if now - heard_at < PERIOD_S and self._hears_itself(zone, now)
        ]
        incarnation = self.member.incarnation
        inside = messages.Spent(incarnation, own, relayed, heard)
        outside = messages.Spent(incarnation, own, {}, heard)
        out = [
            strategies.Outgoing(vm, inside, now, wants_reply=False)
            for vm, member in self._members.items()
            if vm != self.member.vm and member.zone == self.member.zone
        ]
        if own or is_full:
            out += [
                strategies.Outgoing(vm, outside, now, wants_reply=False)
                for vm in self._list_relays()
            ]
        return out

    def _hears_itself(self, zone: str, now: float) -> bool:
        """Tells whether a member of a zone reports to this node."""
        return any(
            now - sender.heard_at < PERIOD_S * 2
            for (vm, _), sender in self._senders.items()
            if self._members[vm].zone == zone
        )

    def _list_relays(self) -> list[str]:
        """Returns the member of each other zone that relays reports."""
        zones: dict[str, list[str]] = {}
        for vm, member in self._members.items():
            if member.zone != self.member.zone:
                zones.setdefault(member.zone, []).append(vm)
        return [rendezvous.rank(zone, vms)[0] for zone, vms in zones.items()]

    def _note(
        self, vm: str, scope: str, message: messages.Spent, now: float
    ) -> Mapping[str, float]:
        """Returns what a member has spent since its report before."""
        totals = message.own if scope == 'own' else message.relayed
        known = self._senders.get((vm, scope))
        if known is None or known.incarnation != message.incarnation:
            known = self._meet(known, scope, message.incarnation, now)
            self._senders[(vm, scope)] = known
        was_silent = now - known.heard_at > SILENT_S
        known.heard_at = now
        spent = {}
        for name, total in totals.items():
            # A silent member was left its part, which is what it has spent.
            if name in known.totals and not was_silent:
                spent[name] = total - known.totals[name]
            elif known.counts_from_zero and not was_silent:
                spent[name] = total
            known.totals[name] = total
        return spent

    def _meet(
        self, before: _Sender | None, scope: str, incarnation: int, now: float
    ) -> _Sender:
        """Returns the record of a process that is heard of for the first time.

        Args:
          before: Record of the process before it on its VM, if there is one.
          scope: ``own`` or ``relayed``.
          incarnation: The process.
          now: Time in seconds.
        """
        is_start = now - self._started_at < SETTLE_S
        difference_ms = abs(incarnation - self.member.incarnation)
        counts_from_zero = is_start and difference_ms <= TOGETHER_MS
        if scope == 'own':
            # What it relays may have been heard of through another relay.
            counts_from_zero |= before is not None
        return _Sender(incarnation, {}, now, counts_from_zero)

    def _take(
        self, workspace: str, amount: float, relays: bool, now: float
    ) -> None:
        replica = self._replicas.get(workspace)
        if replica is None or amount <= 0:
            return
        replica.refill(self._part, now)
        replica.charge(amount)
        if relays:
            replica.relayed += amount
