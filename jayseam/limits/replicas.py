"""A strategy in which every node keeps a replica of each workspace's bucket.

A node spends tokens from its own replica at once and reports the total that it
has spent; the other nodes deduct the difference from their replicas. Spending
becomes visible to others only with the next report, so the fleet may exceed
rate and burst by the calls that arrive between two reports. The levels of the
replicas then become negative, which compensates for the excess later. In
return for this excess, which operators must tolerate, no call waits for tokens,
a fleet that has just started refuses no call within the rate, and no shares
move when VMs start or stop.

A node sends its reports to the members of its own availability zone and to one
relay in each other zone. The relay adds up the reports of other zones and
reports the sums to its own zone. Members of a large zone report to two hubs
instead, see `hubs`, which also report the sum of their zone to the other zones.
So the number of messages of a member is bounded, and that of a hub grows with
the size of its zone and the number of zones.

Members that a node does not hear from may still spend tokens, so the node
leaves them the part of rate and burst that belongs to their positions. The
sides of a partition together thus stay within the limit, except in the time
until they detect the partition. If two zones can't reach each other and a third
zone reaches both, each of the two would use the third zone's part. Therefore a
node ignores the spending of a zone that hears from a zone which the node itself
can't reach.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any

from jayseam.limits import cells
from jayseam.limits import errors
from jayseam.limits import hubs
from jayseam.limits import messages
from jayseam.limits import positions
from jayseam.limits import receivers
from jayseam.limits import senders
from jayseam.limits import spending
from jayseam.limits import strategies
from jayseam.limits import token_caches
from jayseam.limits import zonecontacts

# Periods of the reports on workspaces near their limit, and on all workspaces.
NEAR_LIMIT_PERIOD_S = 0.15
FULL_PERIOD_S = 0.4
# The shorter period in zones with hubs, where what a member spends reaches
# other zones in three reports instead of two.
HUB_NEAR_LIMIT_PERIOD_S = 0.1
# A member of the own zone, or another zone, is silent if nothing was heard from
# it for this time.
SILENCE_TIMEOUT_S = 0.9
# After the start, members that were never heard from count as silent only after
# this time.
FIRST_CONTACT_S = 2.5
# Initial level as a fraction of the burst, as a process that starts does not
# know what was spent before.
INITIAL_PART = 0.5
# A hub that wasn't polled for this time was paused, and hears nobody at first.
MAX_POLL_GAP_S = 0.5
# The retry times of refused calls are spread over this time.
RETRY_SPREAD_S = 0.4
MIN_RETRY_S = 0.05
MAX_RETRY_S = 60.0
# Fraction of the tolerated excess by which the rate is raised. The rest covers
# spending between two reports, and the time until a partition is detected.
RATE_PART_OF_TOLERANCE = 0.8
_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@strategies.registry.register('replicated')
class ReplicatedStrategy:
    """Replicated token buckets; see the module docstring.

    Args:
      vm: Name of the own VM.
      upstream: Name of the own upstream position.
      zone: Name of the own availability zone.
      incarnation: Incarnation of the own process.
      now: Time in seconds at which the process started.

    Attributes:
      includes_leaving_members: Whether members that are leaving take part. A
        node whose backend server is draining still serves its callers.
    """

    includes_leaving_members = True
    # This strategy has no pools of leased shares.
    pools = ()

    def __init__(
        self, vm: str, upstream: str, zone: str, incarnation: int, now: float
    ):
        self.member = cells.Member(vm, upstream, incarnation, zone)
        self._started_at = now
        self._members: dict[str, cells.Member] = {vm: self.member}
        self._positions = positions.Positions()
        self._replicas: dict[str, spending.Replica] = {}
        self._senders = senders.Senders(incarnation, now, SILENCE_TIMEOUT_S)
        self._contacts = zonecontacts.ZoneContacts(zone, SILENCE_TIMEOUT_S)
        self._next_near_limit_at = now
        self._next_full_at = now
        self._latest_now = now
        self._active_part = 1.0
        self._silent: frozenset[str] = frozenset()
        self._ever_heard = positions.HeardPositions()
        self._hubs = hubs.ZoneHubs()
        self._hub_role = hubs.HubRole()
        self._refusals = 0
        self._leaving = False
        self._tolerance = 0.0

    def set_tolerance(self, tolerance: float) -> None:
        """Sets the excess over rates that operators tolerate.

        Args:
          tolerance: Tolerated excess as a fraction of the rate. It applies from
            the next preset on.
        """
        self._tolerance = tolerance * RATE_PART_OF_TOLERANCE

    # Configuration and membership.

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Sets rates, bursts and positions."""
        del version
        replicas = {}
        for name, workspace in preset.workspaces.items():
            rate_per_s = workspace.rate_per_s * (1.0 + self._tolerance)
            burst = workspace.burst
            replica = self._replicas.get(name)
            if replica is None:
                replicas[name] = spending.Replica(
                    rate_per_s, burst, INITIAL_PART * burst, now
                )
                continue
            replica.refill(self._active_part, now)
            replica.rate_per_s, replica.burst = rate_per_s, burst
            replica.level = min(replica.level, burst)
            replicas[name] = replica
        self._replicas = replicas
        self._positions = positions.group_positions(preset.upstreams)

    def set_members(self, members: Iterable[Any]) -> None:
        """Sets the live members (alive or suspect), including the own one."""
        found = {m.vm: m for m in members}
        self._members = {**found, self.member.vm: self.member}
        self._senders.retain(self._members)
        self._update_hubs()

    def _update_hubs(self) -> None:
        zones: dict[str, list[str]] = {}
        for vm, member in self._members.items():
            zones.setdefault(member.zone, []).append(vm)
        self._hubs.update(zones)
        self._hub_role.update(self._is_hub, self._latest_now)

    @property
    def _own_hubs(self) -> tuple[str, ...]:
        return self._hubs.list_hubs(self.member.zone)

    @property
    def _is_hub(self) -> bool:
        return self.member.vm in self._own_hubs

    # Calls.

    def admit(self, workspace: str, cost: float, now: float) -> bool:
        """Spends tokens for a call; returns whether there were enough."""
        replica = self._replicas.get(workspace)
        if replica is None:
            return False
        replica.refill(self._active_part, now)
        if replica.level < cost:
            return False
        replica.level -= cost
        replica.spent += cost
        return True

    def enqueue(self, workspace: str, waiter: token_caches.Waiter) -> bool:
        """Returns False, as no call waits for tokens."""
        del workspace, waiter
        return False

    def remove_waiter(self, workspace: str, call: int) -> None:
        """Does nothing, as no call waits."""

    def admit_waiters(self, now: float) -> list[int]:
        """Returns an empty list, as no call waits."""
        del now
        return []

    def retry_after(self, workspace: str, cost: float) -> float:
        """Returns the time until a refused call may succeed, in seconds.

        The times of calls that are refused together differ, so that their
        retries are spread out.
        """
        replica = self._replicas.get(workspace)
        if replica is None or replica.rate_per_s <= 0:
            return MAX_RETRY_S
        self._refusals += 1
        accrual = replica.rate_per_s * max(self._active_part, 1e-3)
        wait_s = (cost - replica.level) / accrual
        spread_s = (self._refusals * _GOLDEN_RATIO) % 1.0 * RETRY_SPREAD_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s) + spread_s)

    # Messages.

    def poll(self, now: float) -> list[strategies.Outgoing]:
        """Returns the reports to send at ``now``."""
        if self._is_hub and now - self._latest_now > MAX_POLL_GAP_S:
            self._hub_role.since = now
        self._latest_now = now
        self._update_silent(now)
        if self._leaving:
            return []
        near_limit_period_s = (
            HUB_NEAR_LIMIT_PERIOD_S if self._own_hubs else NEAR_LIMIT_PERIOD_S
        )
        if now >= self._next_full_at:
            self._next_full_at = now + FULL_PERIOD_S
            self._next_near_limit_at = now + near_limit_period_s
            return self._report(self._replicas, now, is_full=True)
        if now < self._next_near_limit_at:
            return []
        self._next_near_limit_at = now + near_limit_period_s
        near_limit = [n for n, r in self._replicas.items() if r.is_near_limit]
        return self._report(near_limit, now, is_full=False)

    def handle_message(self, sender: str, message: Any, now: float) -> None:
        """Applies a member's report.

        Raises:
          UnknownMessageError: If the message is not a `messages.Spent`.
        """
        if not isinstance(message, messages.Spent):
            kind = type(message).__name__
            raise errors.UnknownMessageError(f'unexpected {kind} from {sender}')
        member = self._members.get(sender)
        if member is None:
            return
        hearing = hubs.unpack_hearing(message.zones)
        if member.zone != self.member.zone:
            self._handle_cross_zone(member, message, hearing, now)
        elif self._is_hub or not self._own_hubs:
            self._handle_in_zone(sender, message, hearing, now)
        else:
            self._handle_hub_report(sender, message, hearing, now)

    def _handle_cross_zone(
        self,
        member: cells.Member,
        message: messages.Spent,
        hearing: hubs.Hearing,
        now: float,
    ) -> None:
        """Applies the report of a member of another zone."""
        zone = member.zone
        for heard in self._contacts.record_report(zone, hearing.zones, now):
            # Its members are known to spend tokens, also soon after the start.
            self._ever_heard.add(heard, self._positions.list_in(heard))
        spent = self._senders.update_totals(member.vm, 'own', message, now)
        if self._contacts.is_on_bridge(zone, now):
            return
        self._contacts.record_counted([zone], now)
        if member.vm in self._hubs.list_hubs(zone):
            spent = self._hubs.get_reports(zone).receive(
                member.vm, spent, hearing, now
            )
        for name, amount in spent.items():
            self._charge_spent(name, amount, True, now)

    def _handle_in_zone(
        self,
        sender: str,
        message: messages.Spent,
        hearing: hubs.Hearing,
        now: float,
    ) -> None:
        """Applies a report to a hub, or in a zone without hubs."""
        own = self._senders.update_totals(sender, 'own', message, now)
        for name, amount in own.items():
            self._charge_spent(name, amount, False, now)
        if self._is_hub:
            self._add_zone_spending(sender, own)
        elif hearing.zones:
            self._contacts.record_counted(hearing.zones, now)
            relayed = self._senders.update_totals(
                sender, 'relayed', message, now
            )
            for name, amount in relayed.items():
                self._charge_spent(name, amount, False, now)

    def _handle_hub_report(
        self,
        sender: str,
        message: messages.Spent,
        hearing: hubs.Hearing,
        now: float,
    ) -> None:
        """Applies a report of a member of a zone that has hubs."""
        spent = dict(self._senders.update_totals(sender, 'own', message, now))
        if sender not in self._own_hubs:
            # It takes this node for a hub. The hubs report what it has spent.
            return
        relayed = self._senders.update_totals(sender, 'relayed', message, now)
        for name, amount in relayed.items():
            spent[name] = spent.get(name, 0.0) + amount
        self._contacts.record_counted(hearing.zones, now)
        reports = self._hubs.get_reports(self.member.zone)
        counted = reports.receive(sender, spent, hearing, now)
        for name, amount in counted.items():
            self._charge_spent(name, amount, False, now)

    def _add_zone_spending(
        self, sender: str, spent: Mapping[str, float]
    ) -> None:
        """Adds what a member has spent to the sums that this hub reports."""
        for name, amount in spent.items():
            replica = self._replicas.get(name)
            if replica is not None and amount > 0:
                replica.zone_spent += amount
                self._hub_role.add(sender, name, amount)

    def handle_reply(self, sent: Any, reply: Any, now: float) -> None:
        """Does nothing, as reports have no replies."""

    # Upkeep.

    def drop_expired(self, now: float) -> None:
        """Does nothing, as tokens don't expire."""

    def release_all(self, now: float) -> list[strategies.Outgoing]:
        """Returns the last reports. Later calls still spend tokens here."""
        out = self._report(self._replicas, now, is_full=True)
        self._leaving = True
        return out

    def available(self, workspace: str, now: float) -> float:
        """Returns the workspace's tokens that this node can spend."""
        replica = self._replicas.get(workspace)
        if replica is None:
            return 0.0
        replica.refill(self._active_part, now)
        return replica.level

    def explain(self, workspace: str, now: float) -> dict[str, Any]:
        """Returns the state behind the decisions on a workspace, for logs."""
        replica = self._replicas.get(workspace)
        if replica is None:
            return {'known': False}
        return {
            'rate_per_s': replica.rate_per_s,
            'burst': replica.burst,
            'tokens': round(self.available(workspace, now), 2),
            'part': round(self._active_part, 3),
            'spent': replica.spent,
        }

    def count_expired_tokens(self) -> float:
        """Returns zero, as tokens don't expire."""
        return 0.0

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            'part': round(self._active_part, 3),
            'hubs': list(self._own_hubs),
            'levels': {
                name: round(self.available(name, now), 1)
                for name in sorted(self._replicas)
            },
        }

    def _update_silent(self, now: float) -> None:
        """Finds the silent positions and leaves them their part.

        Positions that have become silent may have spent tokens since their last
        report, which are charged here.
        """
        silent = self._find_silent(now)
        if silent == self._silent:
            return
        total = max(1, self._positions.count)
        newly_silent = self._ever_heard.select(silent - self._silent)
        spent = len(newly_silent) / total
        for replica in self._replicas.values():
            replica.refill(self._active_part, now)
            replica.charge(replica.rate_per_s * spent * SILENCE_TIMEOUT_S)
        self._silent = silent
        self._active_part = max(1.0 / total, 1.0 - len(silent) / total)

    def _find_silent(self, now: float) -> frozenset[str]:
        """Returns the positions from which nothing was heard recently."""
        oldest = now - SILENCE_TIMEOUT_S
        silent: frozenset[str] = frozenset()
        for zone, members in self._positions.by_zone.items():
            if zone == self.member.zone:
                heard = self._list_heard_in_zone(oldest)
                self._ever_heard.add(zone, heard)
                silent |= members - heard
            elif self._contacts.is_counted_since(zone, oldest):
                self._ever_heard.add(zone, members)
            else:
                silent |= members
        # Links to other nodes take some time to open after the start. Once one
        # zone is heard from, the others have the usual time to report.
        contact_until = min(
            self._started_at + FIRST_CONTACT_S,
            self._contacts.first_counted_at + SILENCE_TIMEOUT_S,
        )
        return (
            self._ever_heard.select(silent) if now < contact_until else silent
        )

    def _list_heard_in_zone(self, oldest: float) -> frozenset[str]:
        """Returns the positions of the own zone that are heard from.

        Args:
          oldest: Time of the oldest report that still counts, in seconds.
        """
        in_zone = self._positions.list_in(self.member.zone)
        if self._hub_role.since > oldest:
            # Not all members report to a new hub yet.
            return in_zone & {m.upstream for m in self._members.values()}
        heard = {self.member.upstream}
        heard |= {
            self._members[vm].upstream
            for vm in self._senders.list_heard_since(oldest)
        }
        silent = self._hubs.get_reports(self.member.zone).find_silent(oldest)
        if silent is not None:
            heard |= in_zone - silent
        return in_zone & heard

    def _report(
        self, names: Iterable[str], now: float, is_full: bool
    ) -> list[strategies.Outgoing]:
        """Returns the reports on the workspaces whose totals have changed.

        Args:
          names: Names of the workspaces to consider.
          now: Time in seconds.
          is_full: Whether to send a report even if no total has changed, as a
            heartbeat.
        """
        own, relayed, zone_changed = {}, {}, set()
        for name in names:
            replica = self._replicas[name]
            own_changed, relayed_changed, sum_changed = replica.take_changes()
            if own_changed:
                own[name] = spending.shorten(replica.spent)
            if relayed_changed:
                relayed[name] = spending.shorten(replica.relayed)
            if sum_changed:
                zone_changed.add(name)
        if not (own or relayed or zone_changed or is_full):
            return []
        heard = self._list_heard_zones(now)
        if self._is_hub:
            return self._report_as_hub(own, relayed, zone_changed, heard, now)
        incarnation = self.member.incarnation
        if self._own_hubs:
            if not (own or is_full):
                return []
            message = messages.Spent(incarnation, own)
            return _address(message, self._own_hubs, now)
        in_zone = messages.Spent(incarnation, own, relayed, heard)
        cross_zone = messages.Spent(incarnation, own, {}, heard)
        out = _address(
            in_zone,
            receivers.list_zone_members(self.member, self._members),
            now,
        )
        if own or is_full:
            out += _address(
                cross_zone,
                receivers.list_relays(self.member, self._members, self._hubs),
                now,
            )
        return out

    def _report_as_hub(
        self,
        own: dict[str, float],
        relayed: dict[str, float],
        zone_changed: set[str],
        heard: list[str],
        now: float,
    ) -> list[strategies.Outgoing]:
        """Returns the reports of a hub to its zone and to other zones."""
        incarnation = self.member.incarnation
        hearing = hubs.Hearing(
            tuple(heard),
            self._find_zone_silent(now),
            now - self._hub_role.since >= hubs.SETTLING_S,
        )
        names = hearing.pack()
        sums = {
            name: self._replicas[name].relayed + self._replicas[name].zone_spent
            for name in zone_changed.union(relayed)
        }
        out = []
        for vm in receivers.list_zone_members(self.member, self._members):
            spent_by = self._hub_role.spent_by.get(vm, {})
            others = {
                name: spending.shorten(total - spent_by.get(name, 0.0))
                for name, total in sums.items()
            }
            message = messages.Spent(incarnation, own, others, names)
            out += _address(message, [vm], now)
        totals = {
            name: spending.shorten(
                self._replicas[name].spent + self._replicas[name].zone_spent
            )
            for name in zone_changed.union(own)
        }
        cross_zone = messages.Spent(incarnation, totals, {}, names)
        others = receivers.list_hub_receivers(
            self.member, self._members, self._hubs
        )
        return out + _address(cross_zone, others, now)

    def _find_zone_silent(self, now: float) -> frozenset[str]:
        """Returns the positions of the own zone that this hub doesn't hear."""
        heard = self._list_heard_in_zone(now - SILENCE_TIMEOUT_S)
        return self._positions.list_in(self.member.zone) - heard

    def _list_heard_zones(self, now: float) -> list[str]:
        """Returns the zones of which a member reports to this node."""
        vms = self._senders.list_heard_since(now - 2 * FULL_PERIOD_S)
        reporting = {self._members[vm].zone for vm in vms}
        counted = self._contacts.list_counted_since(now - FULL_PERIOD_S)
        return [zone for zone in counted if zone in reporting]

    def _charge_spent(
        self, workspace: str, amount: float, must_relay: bool, now: float
    ) -> None:
        replica = self._replicas.get(workspace)
        if replica is None or amount <= 0:
            return
        replica.refill(self._active_part, now)
        replica.charge(amount)
        if must_relay:
            replica.relayed += amount


def _address(
    message: messages.Spent, vms: Iterable[str], now: float
) -> list[strategies.Outgoing]:
    """Returns a report as messages to VMs."""
    return [
        strategies.Outgoing(vm, message, now, wants_reply=False) for vm in vms
    ]
