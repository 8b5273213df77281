"""Strategies that enforce the fleet-wide limits, as pure state machines.

A strategy makes the decisions, and its caller does the I/O:
`EscrowStrategy.poll` returns messages to send, `EscrowStrategy.handle_message`
handles a message of another node, and `EscrowStrategy.handle_reply` handles the
reply to a request or its failure. `task` runs a strategy in a node, `models` in
a model of a fleet.

`escrow` divides the positions of an availability zone into cells of about
`cells.CELL_SIZE`. In each cell, one owner per workspace group leases the shares
of the cell's positions (see `share_leases`) and runs token buckets on them (see
`pools`). An entry, which is a node that admits calls, draws tokens from the
owner in its own cell, and from owners in other cells if that owner has too few.
Cells bound the messages that an owner receives whatever the size of the fleet,
supply a zone that is cut off from its own shares, and let other cells supply
entries whose owner has failed. The bound does not depend on agreement about
members, cells or owners, only on each share being leased to one borrower at a
time.

`owner` has one owner per group in the whole fleet, which uses the full rate
after a wait. In a partition, the owner on each side uses the full rate, so it
breaks the bound. `static` leaves each position its own share and sends no
messages. Both are baselines for measurements, in `baselines`.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

import attrs

from jayseam.core import registries
from jayseam.limits import cells
from jayseam.limits import errors
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import share_leases
from jayseam.limits import token_caches

RENEWAL_PERIOD_S = 0.4
# An entry sends an owner one draw in this period, and further draws only for
# waiting calls. Draws carry the reports; an owner that is sent no draw receives
# its reports every second period.
DRAW_PERIOD_S = 0.2
REPORT_EVERY_PERIODS = 2
# Below this burst per cell, in tokens, spending is reported at the next poll,
# because the bucket can't replace a spent token before it is reported.
SMALL_BURST = 4.0
REQUEST_TIMEOUT_S = 0.25
# A request that took this much longer than its timeout was delayed by a stall
# of this process, so its failure says nothing about the receiver.
LOCAL_STALL_S = 0.1
# A member that should own a group but has not requested leases for this time is
# passed over.
SILENT_OWNER_S = 1.2
# An owner that did not reply is passed over for this time.
FAILED_OWNER_S = 1.0
# A lender that has received no lease request for this time may have been cut
# off itself. From the next request on it lends only to the owners that rank
# first, for a grace time of one renewal period and a margin.
REQUEST_GAP_S = 1.0
REQUEST_GRACE_S = RENEWAL_PERIOD_S + 0.1
# Backoff of an entry towards an owner that granted fewer tokens than requested,
# for one workspace. It doubles with each further short grant, because entries
# of a workspace over its rate would otherwise send draws to all owners all the
# time.
INITIAL_BACKOFF_S = 0.1
# The largest backoff is this time multiplied by the number of cells, which
# bounds the rate of draws that an entry sends to all owners together.
MAX_BACKOFF_PER_CELL_S = 0.2
# A process that hears from no peer in its zone for this time may have been
# replaced at its position, and stops lending.
ISOLATED_S = 5.0
MAX_WAIT_S = 0.5

registry: registries.Registry = registries.Registry('limit strategy')


@attrs.frozen(slots=True)
class Outgoing:
    """A message to send.

    Attributes:
      vm: VM of the receiver.
      message: The message.
      created_at: Time in seconds at which the message was created. Leases and
        batches granted in the reply are counted from this time.
      wants_reply: Whether the message is a request.
    """

    vm: str
    message: Any
    created_at: float
    wants_reply: bool = True


def _compact(amount: float) -> float:
    """Returns a whole number as an int, which is encoded in fewer bytes."""
    return int(amount) if amount == int(amount) else amount


@attrs.frozen(slots=True)
class _Backoff:
    """Backoff towards one owner, for one workspace.

    Attributes:
      until: Time in seconds at which the backoff ends.
      wait_s: Length of the backoff.
    """

    until: float
    wait_s: float


_NO_BACKOFF = _Backoff(-math.inf, INITIAL_BACKOFF_S / 2)


@attrs.define(slots=True)
class _LeaseRequests:
    """Times of the lease requests that a lender receives.

    Attributes:
      last: Time in seconds of the last request.
      grace_until: Time in seconds until which the lender lends only to the
        owners that rank first.
    """

    last: float
    grace_until: float

    def record(self, now: float) -> None:
        """Records a request; the first after a gap starts a grace time."""
        if now - self.last > REQUEST_GAP_S:
            self.grace_until = now + REQUEST_GRACE_S
        self.last = now


class _EntryState:
    """State of the entry: token caches and counters.

    Attributes:
      caches: Token cache by workspace.
      active: Workspaces whose caches are in use.
      expired_tokens: Drawn tokens that expired unspent.
    """

    def __init__(self) -> None:
        self.caches: dict[str, token_caches.TokenCache] = {}
        self.active: set[str] = set()
        self.expired_tokens = 0.0

    def get_cache(self, workspace: str) -> token_caches.TokenCache:
        """Returns the workspace's token cache and marks it as active."""
        self.active.add(workspace)
        return self.caches.setdefault(workspace, token_caches.TokenCache())


@registry.register('escrow')
class EscrowStrategy:
    """Cell owners with leased shares, and base class of the baselines.

    Args:
      vm: Name of the own VM.
      upstream: Name of the own upstream position.
      zone: Name of the own availability zone.
      incarnation: Incarnation of the own process.
      now: Time in seconds at which the process started.

    Attributes:
      includes_leaving_members: Whether members that are leaving take part. In
        this strategy they own and lend nothing.
    """

    includes_leaving_members = False

    def __init__(
        self, vm: str, upstream: str, zone: str, incarnation: int, now: float
    ):
        self.member = cells.Member(vm, upstream, incarnation, zone)
        self.topology = cells.Topology(self.member, self._assign_cells)
        self.share_lender = share_leases.ShareLender(upstream, now)
        self.pools = [pools.Pool() for _ in range(cells.GROUP_COUNT)]
        self.leaving = False
        self._entry = _EntryState()
        self._draw_number = 0
        self._last_request_at: dict[str, float] = {}
        self._expected_since: dict[tuple[int, str], float] = {}
        self._peer_heard_at = now
        self._lease_requests = _LeaseRequests(now, now)
        self._failed_at: dict[str, float] = {}
        self._backoffs: dict[tuple[str, str], _Backoff] = {}
        self._in_flight: set[tuple[str, type]] = set()
        self._shares_by_digest: dict[str, dict[int, share_leases.Shares]] = {}
        self._digest_by_lender: dict[str, str] = {}
        self._next_renewal_at = now
        self._next_draw_at = now
        self._draw_periods = 0
        self._limits: dict[str, share_leases.Share] = {}

    # Configuration and membership.

    def set_tolerance(self, tolerance: float) -> None:
        """Does nothing: shares never exceed the rate."""

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Applies a version of the preset."""
        self.share_lender.set_preset(preset, version, now)
        self._limits = {
            name: share_leases.Share(w.rate_per_s, w.burst)
            for name, w in preset.workspaces.items()
        }
        for name in set(self._entry.caches) - set(self._limits):
            del self._entry.caches[name]
            self._entry.active.discard(name)
        self.topology.set_positions(preset.upstreams)

    def set_members(self, members: Iterable[Any]) -> None:
        """Sets the live members (alive or suspect), including the own one."""
        self.topology.set_members(members)
        present = self.topology.members
        for table in (
            self._last_request_at,
            self._failed_at,
            self._digest_by_lender,
        ):
            for vm in set(table) - set(present):
                del table[vm]
        self._expected_since = {
            key: since
            for key, since in self._expected_since.items()
            if key[1] in present
        }

    def _assign_cells(
        self,
        members: Iterable[cells.Member],
        zones: Mapping[str, str],
        own: cells.Member,
    ) -> dict[str, str]:
        """Returns the cell of each member's VM."""
        return cells.assign_member_cells(members, zones, own)

    # Calls.

    def admit(self, workspace: str, cost: float, now: float) -> bool:
        """Spends tokens for a new call.

        Returns:
          Whether the token cache had enough tokens.
        """
        if workspace not in self._limits:
            return False
        cache = self._entry.get_cache(workspace)
        cache.record_demand(cost, now)
        return cache.try_spend(cost, now)

    def enqueue(self, workspace: str, waiter: token_caches.Waiter) -> bool:
        """Queues a call that waits for tokens; returns whether it may wait."""
        limit = self._limits.get(workspace)
        if limit is None or limit.burst < waiter.cost:
            return False
        return self._entry.get_cache(workspace).enqueue(waiter)

    def remove_waiter(self, workspace: str, call: int) -> None:
        """Removes a call that stops waiting."""
        cache = self._entry.caches.get(workspace)
        if cache is not None:
            cache.remove_waiter(call)

    def admit_waiters(self, now: float) -> list[int]:
        """Spends tokens for waiting calls; returns the admitted calls."""
        return [
            call
            for name in sorted(self._entry.active)
            for call in self._entry.caches[name].admit_waiters(now)
        ]

    def retry_after(self, workspace: str, cost: float) -> float:
        """Returns the time until a refused call may succeed, in seconds."""
        limit = self._limits.get(workspace)
        if limit is None or limit.rate_per_s <= 0:
            return 60.0
        cache = self._entry.caches.get(workspace)
        waiting = cache.waiting_cost() if cache is not None else 0.0
        return min(60.0, max(0.1, (waiting + cost) / limit.rate_per_s))

    # Messages.

    def poll(self, now: float) -> list[Outgoing]:
        """Returns the messages to send at ``now``."""
        if self.leaving:
            return []
        out: list[Outgoing] = []
        if now >= self._next_renewal_at:
            self._next_renewal_at = now + RENEWAL_PERIOD_S
            out += self._renew_leases(now)
        if now >= self._next_draw_at:
            self._next_draw_at = now + DRAW_PERIOD_S
            self._drop_idle_caches(now)
            self._draw_periods += 1
            reports_due = self._draw_periods % REPORT_EVERY_PERIODS == 0
            out += self._draw_tokens(
                sorted(self._entry.active), now, reports_due
            )
        else:
            caches = self._entry.caches
            names = [n for n in self._entry.active if caches[n].has_waiters()]
            out += self._draw_tokens(sorted(names), now, reports_due=False)
            out += self._report_small_bursts(now)
        return self._deliver_to_self(out, now)

    def handle_message(self, sender: str, message: Any, now: float) -> Any:
        """Handles a message of another node; returns the reply, or None.

        Raises:
          UnknownMessageError: If the message is not a request or notification
            of this subpackage.
        """
        if self.topology.is_zone_peer(sender):
            self._peer_heard_at = now
        self._failed_at.pop(sender, None)
        if isinstance(message, messages.Borrow):
            return self._handle_borrow(sender, message, now)
        if isinstance(message, messages.Draw):
            return self._handle_draw(sender, message, now)
        if isinstance(message, messages.Report):
            self._apply_reports(sender, message, now)
        elif isinstance(message, messages.Release):
            for group in message.groups:
                self.share_lender.release(
                    group,
                    sender,
                    message.incarnation,
                    now,
                    pools.BATCH_OUTSTANDING_S,
                )
        else:
            kind = type(message).__name__
            raise errors.UnknownMessageError(f'unexpected {kind} from {sender}')
        return None

    def handle_reply(self, sent: Outgoing, reply: Any, now: float) -> None:
        """Handles the reply to a request; None means that it failed."""
        self._in_flight.discard((sent.vm, type(sent.message)))
        if reply is None:
            if now - sent.created_at <= REQUEST_TIMEOUT_S + LOCAL_STALL_S:
                self._failed_at[sent.vm] = now
        elif self.topology.is_zone_peer(sent.vm):
            self._peer_heard_at = now
        if isinstance(sent.message, messages.Borrow):
            if isinstance(reply, messages.Lend):
                self._handle_lend(sent, reply, now)
        elif isinstance(sent.message, messages.Draw):
            self._handle_grant(sent, reply, now)

    # Upkeep.

    def drop_expired(self, now: float) -> None:
        """Removes expired leases and batches, for example after a pause."""
        for pool in self.pools:
            pool.drop_expired_leases(now)
        for cache in self._entry.caches.values():
            self._entry.expired_tokens += cache.drop_expired(now)

    def release_all(self, now: float) -> list[Outgoing]:
        """Stops lending and owning groups.

        Returns:
          The messages that return tokens to owners and leases to lenders.
        """
        self.leaving = True
        out = []
        for vm, rows in self._collect_reports(now, return_all=True).items():
            report = messages.Report(self.member.incarnation, rows)
            out.append(Outgoing(vm, report, now, wants_reply=False))
        groups = [
            g
            for g in range(cells.GROUP_COUNT)
            if self.pools[g].describe(now)['loans']
        ]
        lenders = [vm for vm in self._digest_by_lender if vm != self.member.vm]
        for pool in self.pools:
            pool.clear()
        if groups:
            release = messages.Release(self.member.incarnation, groups)
            out += [
                Outgoing(vm, release, now, wants_reply=False) for vm in lenders
            ]
        return [o for o in out if o.vm != self.member.vm]

    def available(self, workspace: str, now: float) -> float:
        """Returns the workspace's tokens that this entry can spend."""
        cache = self._entry.caches.get(workspace)
        return 0.0 if cache is None else cache.available(now)

    def explain(self, workspace: str, now: float) -> dict[str, Any]:
        """Returns the state behind the decisions on a workspace, for logs."""
        limit = self._limits.get(workspace, share_leases.NO_SHARE)
        return {
            'rate_per_s': limit.rate_per_s,
            'stock': round(self.available(workspace, now), 2),
        }

    def count_expired_tokens(self) -> float:
        """Returns the tokens that expired unspent in the token caches."""
        return self._entry.expired_tokens

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            'cell': self.topology.own_cell,
            'lending': self._may_lend(now),
            'account': self.share_lender.describe(now),
            'owned': {
                str(group): pool.describe(now)
                for group, pool in enumerate(self.pools)
                if pool.describe(now)['loans']
            },
            'stock': {
                name: round(self._entry.caches[name].available(now), 3)
                for name in sorted(self._entry.active)
            },
        }

    # Lender.

    def _may_lend(self, now: float) -> bool:
        if self.leaving or self.topology.is_replaced:
            return False
        isolated = now - self._peer_heard_at > ISOLATED_S
        return not (self.topology.had_zone_peers and isolated)

    def _handle_borrow(
        self, sender: str, message: messages.Borrow, now: float
    ) -> messages.Lend:
        if message.groups:
            self._last_request_at[sender] = now
            if sender != self.member.vm:
                self._lease_requests.record(now)
        shares, digest = self.share_lender.get_shares(now)
        lent = []
        if self._may_lend(now):
            lent = [
                group
                for group in message.groups
                if 0 <= group < cells.GROUP_COUNT
                and self._may_borrow(sender, group, now)
                and self.share_lender.grant_lease(
                    group, sender, message.incarnation, now
                )
            ]
        return messages.Lend(
            self.member.upstream,
            self.member.incarnation,
            lent,
            digest,
            share_leases.encode_shares(shares) if message.need_shares else None,
        )

    def _may_borrow(self, vm: str, group: int, now: float) -> bool:
        """Returns whether a VM may lease the own shares of a group.

        After a gap in the requests, the first requests may come from members
        that considered the owner silent because they were cut off themselves. A
        share that is leased to such a member is unavailable to the owner until
        the lease ends.
        """
        if now < self._lease_requests.grace_until:
            return self.topology.rank(self.topology.own_cell, group)[:1] == [vm]
        return self._find_owner(group, now) == vm

    def _find_owner(self, group: int, now: float) -> str | None:
        """Returns the group's owner in the own cell, in this node's view."""
        for vm in self.topology.rank(self.topology.own_cell, group):
            if vm == self.member.vm:
                return vm
            since = self._expected_since.setdefault((group, vm), now)
            if (
                now - max(since, self._last_request_at.get(vm, since))
                <= SILENT_OWNER_S
            ):
                return vm
        return None

    # Owner.

    def _renew_leases(self, now: float) -> list[Outgoing]:
        me = self.member.vm
        owned = [
            g
            for g in range(cells.GROUP_COUNT)
            if self._find_owner(g, now) == me
        ]
        if not owned:
            return self._probe(now)
        _, digest = self.share_lender.get_shares(now)
        out = []
        for vm in self._list_cell_members():
            if (vm, messages.Borrow) in self._in_flight:
                continue
            lender_digest = self._digest_by_lender.get(vm, digest)
            borrow = messages.Borrow(
                self.member.incarnation,
                owned,
                lender_digest not in self._shares_by_digest,
            )
            self._in_flight.add((vm, messages.Borrow))
            out.append(Outgoing(vm, borrow, now))
        return out

    def _probe(self, now: float) -> list[Outgoing]:
        """Returns an empty request to a zone peer if none was heard lately."""
        if (
            not self.topology.zone_peers
            or now - self._peer_heard_at < ISOLATED_S / 2
        ):
            return []
        vm = self.topology.zone_peers[
            int(now / RENEWAL_PERIOD_S) % len(self.topology.zone_peers)
        ]
        if (vm, messages.Borrow) in self._in_flight:
            return []
        self._in_flight.add((vm, messages.Borrow))
        borrow = messages.Borrow(self.member.incarnation, [])
        return [Outgoing(vm, borrow, now)]

    def _list_cell_members(self) -> Sequence[str]:
        return self.topology.rank(self.topology.own_cell, 0)

    def _handle_lend(
        self, sent: Outgoing, reply: messages.Lend, now: float
    ) -> None:
        self._digest_by_lender[sent.vm] = reply.digest
        if reply.shares is not None:
            self._store_shares(reply.digest, reply.shares)
        table = self._shares_by_digest.get(reply.digest)
        if table is None:
            return
        for group in reply.groups:
            lease = pools.Lease(
                reply.upstream,
                reply.incarnation,
                table.get(group, {}),
                sent.created_at + share_leases.LEASE_S,
            )
            if group in sent.message.groups and not self.leaving:
                self.pools[group].add_lease(lease, now)

    def _store_shares(
        self, digest: str, shares: dict[str, list[float]]
    ) -> None:
        used = set(self._digest_by_lender.values())
        for old in set(self._shares_by_digest) - used:
            del self._shares_by_digest[old]
        table: dict[int, dict[str, share_leases.Share]] = {}
        for name, (rate, burst) in shares.items():
            part = table.setdefault(cells.group_of(name), {})
            part[name] = share_leases.Share(rate, burst)
        self._shares_by_digest[digest] = table

    def _handle_draw(
        self, sender: str, message: messages.Draw, now: float
    ) -> messages.Grant:
        self._apply_reports(sender, message, now)
        key = (sender, message.incarnation, message.number)
        amounts = {}
        if not self.leaving:
            for name, want in message.wants.items():
                pool = self.pools[cells.group_of(name)]
                amount = pool.grant_batch(name, want, key, now)
                if amount > 0:
                    amounts[name] = _compact(amount)
        return messages.Grant(message.number, amounts)

    def _apply_reports(
        self, sender: str, message: messages.Draw | messages.Report, now: float
    ) -> None:
        for number, name, spent, returned in message.reports:
            key = (sender, message.incarnation, number)
            pool = self.pools[cells.group_of(name)]
            pool.apply_report(name, key, spent, returned, now)

    # Entry.

    def _drop_idle_caches(self, now: float) -> None:
        for name in list(self._entry.active):
            cache = self._entry.caches[name]
            self._entry.expired_tokens += cache.drop_expired(now)
            if cache.is_idle(now):
                self._entry.active.discard(name)
                del self._entry.caches[name]
        self._backoffs = {
            key: backoff
            for key, backoff in self._backoffs.items()
            if backoff.until > now - self._max_backoff_s()
        }

    def _compute_prefetch_s(self, workspace: str) -> float:
        """Returns how many tokens to prefetch, in seconds of demand.

        The prefetched tokens of all entries together stay below half of the
        burst, because drawn tokens count against it.
        """
        return min(token_caches.PREFETCH_S, self._compute_fill_s(workspace) / 2)

    def _compute_fill_s(self, workspace: str) -> float:
        """Returns the time in which an empty bucket fills, in seconds."""
        limit = self._limits.get(workspace, share_leases.NO_SHARE)
        return limit.burst / limit.rate_per_s if limit.rate_per_s > 0 else 0.0

    def _draw_tokens(
        self, names: Sequence[str], now: float, reports_due: bool
    ) -> list[Outgoing]:
        wants: dict[str, dict[str, float]] = {}
        for name in names:
            need = self._entry.caches[name].compute_draw(
                now, self._compute_prefetch_s(name)
            )
            if need > 0:
                self._split_draw(name, need, wants, now)
        if not wants and not reports_due:
            return []
        # When no reports are due, only owners that are sent a draw get reports.
        reports = self._collect_reports(
            now, owners=None if reports_due else set(wants)
        )
        out = []
        for vm, amounts in wants.items():
            self._draw_number += 1
            for name, amount in amounts.items():
                self._entry.caches[name].add_pending_draw(
                    self._draw_number, amount, now
                )
            draw = messages.Draw(
                self.member.incarnation,
                self._draw_number,
                amounts,
                reports.pop(vm, []),
            )
            self._in_flight.add((vm, messages.Draw))
            out.append(Outgoing(vm, draw, now))
        for vm, rows in reports.items():
            report = messages.Report(self.member.incarnation, rows)
            out.append(Outgoing(vm, report, now, wants_reply=False))
        return out

    def _report_small_bursts(self, now: float) -> list[Outgoing]:
        """Returns reports on the workspaces with a small burst per cell."""
        cell_count = 1 + len(self.topology.other_cells)
        names = [
            name
            for name in self._entry.active
            if self._limits[name].burst < SMALL_BURST * cell_count
        ]
        return [
            Outgoing(
                vm,
                messages.Report(self.member.incarnation, rows),
                now,
                wants_reply=False,
            )
            for vm, rows in self._collect_reports(
                now, names=sorted(names)
            ).items()
        ]

    def _split_draw(
        self,
        workspace: str,
        need: float,
        wants: dict[str, dict[str, float]],
        now: float,
    ) -> None:
        """Divides a draw among owners that may have tokens, into ``wants``.

        Owners in backoff or with a draw in flight are skipped. As many owners
        are asked at once as are in backoff, so the number of owners asked
        doubles in each round and few rounds suffice in a fleet of many cells.
        """
        chosen: list[str] = []
        n_backing_off = 0
        for vm in self._list_owners(cells.group_of(workspace), now):
            if self._backoffs.get((vm, workspace), _NO_BACKOFF).until > now:
                n_backing_off += 1
            elif (vm, messages.Draw) not in self._in_flight:
                chosen.append(vm)
        chosen = chosen[: max(1, n_backing_off)]
        for vm in chosen:
            part = math.ceil(need / len(chosen))
            wants.setdefault(vm, {})[workspace] = part

    def _list_owners(self, group: int, now: float) -> list[str]:
        """Returns the group's owners, those of the own cell first."""
        # After a fault the own share may still be leased to a member other than
        # the owner; the tokens are at that member until the lease ends.
        near = (
            self._find_owner(group, now),
            self.share_lender.find_borrower(group, now),
        )
        owners = [
            vm
            for vm in dict.fromkeys(near)
            if vm is not None and not self._has_failed(vm, now)
        ]
        for cell in self.topology.other_cells:
            for vm in self.topology.rank(cell, group)[:3]:
                if not self._has_failed(vm, now):
                    owners.append(vm)
                    break
        return owners

    def _has_failed(self, vm: str, now: float) -> bool:
        return now - self._failed_at.get(vm, -math.inf) < FAILED_OWNER_S

    def _handle_grant(self, sent: Outgoing, reply: Any, now: float) -> None:
        number = sent.message.number
        granted = reply.amounts if isinstance(reply, messages.Grant) else {}
        for name, want in sent.message.wants.items():
            cache = self._entry.caches.get(name)
            if cache is None:
                continue
            cache.remove_pending_draw(number)
            amount = min(granted.get(name, 0.0), want)
            expires = sent.created_at + pools.BATCH_LIFETIME_S
            if amount > 0 and expires > now:
                self._entry.active.add(name)
                cache.add_batch(
                    token_caches.Batch(sent.vm, number, amount, expires)
                )
            elif amount > 0:
                self._entry.expired_tokens += amount
            if reply is not None:
                self._update_backoff(sent.vm, name, amount < want, now)

    def _max_backoff_s(self) -> float:
        return MAX_BACKOFF_PER_CELL_S * (1 + len(self.topology.other_cells))

    def _update_backoff(
        self, vm: str, workspace: str, was_short: bool, now: float
    ) -> None:
        key = vm, workspace
        if was_short:
            bound_s = self._max_backoff_s()
            wait_s = 2 * self._backoffs.get(key, _NO_BACKOFF).wait_s
            # A bucket from which nothing is drawn for longer than its fill time
            # is full and loses accrual.
            fill_s = self._compute_fill_s(workspace)
            wait_s = min(
                wait_s, max(INITIAL_BACKOFF_S / 2, min(bound_s, fill_s / 2))
            )
            self._backoffs[key] = _Backoff(now + wait_s, wait_s)
        else:
            self._backoffs.pop(key, None)

    def _collect_reports(
        self,
        now: float,
        owners: Collection[str] | None = None,
        return_all: bool = False,
        names: Iterable[str] | None = None,
    ) -> dict[str, list[list]]:
        """Returns the report rows by owner.

        Args:
          now: Time in seconds.
          owners: Owners to report to; None for all.
          return_all: Whether to return all tokens.
          names: Workspaces to report on; None for all.
        """
        rows: dict[str, list[list]] = {}
        for name in sorted(self._entry.active) if names is None else names:
            cache = self._entry.caches[name]
            for vm, *row in cache.collect_reports(now, owners, return_all):
                number, spent, returned = row
                rows.setdefault(vm, []).append(
                    [number, name, _compact(spent), _compact(returned)]
                )
        return rows

    def _deliver_to_self(
        self, out: list[Outgoing], now: float
    ) -> list[Outgoing]:
        """Handles messages to the own VM directly; returns the others."""
        remote = []
        for sent in out:
            if sent.vm != self.member.vm:
                remote.append(sent)
                continue
            reply = self.handle_message(sent.vm, sent.message, now)
            if sent.wants_reply:
                self.handle_reply(sent, reply, now)
        return remote
