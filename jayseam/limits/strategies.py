"""Strategies that enforce the fleet-wide limits, as pure state machines.

A strategy decides, and its caller does the I/O: `Strategy.poll` returns
requests to send, `Strategy.answer` handles a peer's message, and
`Strategy.receive` takes the reply to a request or its failure. `task` runs it
in a node, `models` in a model of a fleet.

`escrow` divides the positions of an availability zone into cells of at most
`cells.CELL_SIZE`. In each cell, one owner for each group of workspaces borrows
the shares of the cell's positions (see `accounts`) and runs a bucket over them
(see `pools`). An entry draws from the owner of its own cell, and from those of
other cells for what that owner lacks. Cells bound the messages that an owner
receives whatever the size of the fleet, keep a zone that is cut off supplied by
its own shares, and let the other cells supply entries whose owner has failed.
The bound does not depend on agreement about members, cells or owners: it rests
on each share being lent to one borrower at a time.

`owner` has one owner of each group over the whole fleet, which uses the full
rate after a wait. Two owners on the sides of a partition both use it, so it
breaks the bound. `static` leaves each position its own share and sends no
messages. Both are baselines for measurements, in `baselines`.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

import attrs

from jayseam.core import registries
from jayseam.limits import accounts
from jayseam.limits import cells
from jayseam.limits import errors
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import wallets

RENEW_S = 0.4
# One draw per owner in this period, apart from calls that wait. Draws carry the
# reports; an owner that is sent no draw gets its reports every second period.
DRAW_S = 0.2
REPORT_EVERY = 2
# Below this burst in each cell, in tokens, spending is reported at the next
# poll: a token that is spent and not reported keeps the bucket from accruing
# another.
TIGHT_BURST = 4.0
REQUEST_TIMEOUT_S = 0.25
# A request that took this much longer than its timeout, in seconds, was held up
# in this process, and says nothing of its receiver.
HELD_UP_S = 0.1
# A member that should own a group but has not asked for shares for this long
# is passed over.
SILENT_S = 1.2
# An owner that failed to answer is passed over for this long.
FAILED_S = 1.0
# A lender that no owner has asked for this long may have been cut off itself.
# It then gives the owners that rank first a period and a margin to ask.
GAP_S = 1.0
GRACE_S = RENEW_S + 0.1
# An owner that lacked tokens is not asked for the same workspace for this long.
# The time doubles with each further lack, because entries of a workspace that
# is over its rate would otherwise ask all owners all the time.
SHORT_S = 0.1
# Bound of that time for each cell, which bounds what an entry sends to all.
MAX_SHORT_S = 0.2
# A process that reaches no peer of its zone for this long may have been
# replaced at its position, and stops lending.
ISOLATED_S = 5.0
MAX_WAIT_S = 0.5

registry: registries.Registry = registries.Registry('limit strategy')


@attrs.frozen(slots=True)
class Outgoing:
    """A message to send.

    Attributes:
      vm: Receiver.
      message: The message.
      asked: Time in seconds at which it was decided on. Loans and batches that
        the reply brings are counted from here.
      wants_reply: Whether it is a request.
    """

    vm: str
    message: Any
    asked: float
    wants_reply: bool = True


def _compact(amount: float) -> float:
    """Returns a whole number as an int, which takes fewer bytes."""
    return int(amount) if amount == int(amount) else amount


@attrs.frozen(slots=True)
class _Lack:
    """An owner's lack of tokens of one workspace."""

    until: float
    wait_s: float


_NO_LACK = _Lack(-math.inf, SHORT_S / 2)


@attrs.define(slots=True)
class _Requests:
    """When owners asked a lender for its shares.

    Attributes:
      last: Time in seconds of the last request.
      grace_until: Time in seconds until which the owners that rank first are
        waited for.
    """

    last: float
    grace_until: float

    def note(self, now: float) -> None:
        """Notes a request; the first one after a gap begins a grace."""
        if now - self.last > GAP_S:
            self.grace_until = now + GRACE_S
        self.last = now


class _Stock:
    """The entry's side of a strategy: its wallets and counters."""

    def __init__(self) -> None:
        self.wallets: dict[str, wallets.Wallet] = {}
        self.active: set[str] = set()
        self.lost = 0.0

    def wallet(self, workspace: str) -> wallets.Wallet:
        """Returns the workspace's wallet, marked as active."""
        self.active.add(workspace)
        return self.wallets.setdefault(workspace, wallets.Wallet())


@registry.register('escrow')
class Strategy:
    """The escrowed owner, and the frame of the other strategies.

    Args:
      vm: Name of the own VM.
      upstream: The own position.
      zone: The own availability zone.
      incarnation: The own incarnation.
      now: Time in seconds at which the process started.

    Attributes:
      counts_leaving: Whether members that are leaving take part. They own and
        lend nothing here.
    """

    counts_leaving = False

    def __init__(
        self, vm: str, upstream: str, zone: str, incarnation: int, now: float
    ):
        self.member = cells.Member(vm, upstream, incarnation, zone)
        self.topology = cells.Topology(self.member, self._assign_cells)
        self.account = accounts.Account(upstream, now)
        self.pools = [pools.Pool() for _ in range(cells.GROUPS)]
        self.leaving = False
        self._stock = _Stock()
        self._number = 0
        self._heard: dict[str, float] = {}
        self._expected_since: dict[tuple[int, str], float] = {}
        self._peer_heard = now
        self._asked = _Requests(now, now)
        self._failed: dict[str, float] = {}
        self._short: dict[tuple[str, str], _Lack] = {}
        self._busy: set[tuple[str, type]] = set()
        self._known: dict[str, dict[int, accounts.Shares]] = {}
        self._lender_digest: dict[str, str] = {}
        self._renew_at = now
        self._draw_at = now
        self._periods = 0
        self._limits: dict[str, accounts.Share] = {}

    # Configuration and membership.

    def set_tolerance(self, tolerance: float) -> None:
        """Does nothing: shares never exceed the rate."""

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Takes over a version of the preset."""
        self.account.set_preset(preset, version, now)
        self._limits = {
            name: accounts.Share(w.rate_per_s, w.burst)
            for name, w in preset.workspaces.items()
        }
        for name in set(self._stock.wallets) - set(self._limits):
            del self._stock.wallets[name]
            self._stock.active.discard(name)
        self.topology.set_positions(preset.upstreams)

    def set_members(self, members: Iterable[Any]) -> None:
        """Takes over the live members (alive or suspect), the own included."""
        self.topology.set_members(members)
        present = self.topology.members
        for known in (self._heard, self._failed, self._lender_digest):
            for vm in set(known) - set(present):
                del known[vm]
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
        return cells.join_cells(members, zones, own)

    # Calls.

    def admit(self, workspace: str, cost: float, now: float) -> bool:
        """Spends tokens for a new call.

        Returns:
          Whether the wallet had enough.
        """
        if workspace not in self._limits:
            return False
        wallet = self._stock.wallet(workspace)
        wallet.note(cost, now)
        return wallet.take(cost, now)

    def enqueue(self, workspace: str, waiter: wallets.Waiter) -> bool:
        """Lets a call wait for tokens; returns whether it may."""
        limit = self._limits.get(workspace)
        if limit is None or limit.burst < waiter.cost:
            return False
        return self._stock.wallet(workspace).enqueue(waiter)

    def withdraw(self, workspace: str, call: int) -> None:
        """Removes a waiting call that gives up."""
        wallet = self._stock.wallets.get(workspace)
        if wallet is not None:
            wallet.withdraw(call)

    def serve(self, now: float) -> list[int]:
        """Returns the waiting calls that now have their tokens."""
        return [
            call
            for name in sorted(self._stock.active)
            for call in self._stock.wallets[name].serve(now)
        ]

    def retry_after(self, workspace: str, cost: float) -> float:
        """Returns when a refused call may have success, in seconds."""
        limit = self._limits.get(workspace)
        if limit is None or limit.rate_per_s <= 0:
            return 60.0
        wallet = self._stock.wallets.get(workspace)
        waiting = wallet.waiting() if wallet is not None else 0.0
        return min(60.0, max(0.1, (waiting + cost) / limit.rate_per_s))

    # Messages.

    def poll(self, now: float) -> list[Outgoing]:
        """Returns the messages to send at ``now``."""
        if self.leaving:
            return []
        out: list[Outgoing] = []
        if now >= self._renew_at:
            self._renew_at = now + RENEW_S
            out += self._renew(now)
        if now >= self._draw_at:
            self._draw_at = now + DRAW_S
            self._forget_idle(now)
            self._periods += 1
            reporting = self._periods % REPORT_EVERY == 0
            out += self._draw(sorted(self._stock.active), now, reporting)
        else:
            wallets_ = self._stock.wallets
            names = [n for n in self._stock.active if wallets_[n].has_waiting()]
            out += self._draw(sorted(names), now, reporting=False)
            out += self._report_tight(now)
        return self._answer_own(out, now)

    def answer(self, sender: str, message: Any, now: float) -> Any:
        """Handles a peer's message and returns the reply, if it has one.

        Raises:
          UnknownMessageError: If the message is no request or notification of
            this subpackage.
        """
        if self.topology.is_peer(sender):
            self._peer_heard = now
        self._failed.pop(sender, None)
        if isinstance(message, messages.Borrow):
            return self._lend(sender, message, now)
        if isinstance(message, messages.Draw):
            return self._grant(sender, message, now)
        if isinstance(message, messages.Report):
            self._settle(sender, message, now)
        elif isinstance(message, messages.Release):
            for group in message.groups:
                self.account.release(
                    group,
                    sender,
                    message.incarnation,
                    now,
                    pools.BATCH_HOLD_S,
                )
        else:
            kind = type(message).__name__
            raise errors.UnknownMessageError(f'unexpected {kind} from {sender}')
        return None

    def receive(self, sent: Outgoing, reply: Any, now: float) -> None:
        """Takes the reply to a request; None if there was none in time."""
        self._busy.discard((sent.vm, type(sent.message)))
        if reply is None:
            if now - sent.asked <= REQUEST_TIMEOUT_S + HELD_UP_S:
                self._failed[sent.vm] = now
        elif self.topology.is_peer(sent.vm):
            self._peer_heard = now
        if isinstance(sent.message, messages.Borrow):
            if isinstance(reply, messages.Lend):
                self._borrowed(sent, reply, now)
        elif isinstance(sent.message, messages.Draw):
            self._drawn(sent, reply, now)

    # Upkeep.

    def drop_expired(self, now: float) -> None:
        """Drops the loans and batches that have expired, as after a pause."""
        for pool in self.pools:
            pool.expire(now)
        for wallet in self._stock.wallets.values():
            self._stock.lost += wallet.drop_expired(now)

    def hand_back(self, now: float) -> list[Outgoing]:
        """Stops lending and owning, and returns tokens and shares."""
        self.leaving = True
        out = []
        for vm, rows in self._collect(now, everything=True).items():
            report = messages.Report(self.member.incarnation, rows)
            out.append(Outgoing(vm, report, now, wants_reply=False))
        groups = [
            g
            for g in range(cells.GROUPS)
            if self.pools[g].describe(now)['loans']
        ]
        lenders = [vm for vm in self._lender_digest if vm != self.member.vm]
        for pool in self.pools:
            pool.clear()
        if groups:
            release = messages.Release(self.member.incarnation, groups)
            out += [
                Outgoing(vm, release, now, wants_reply=False) for vm in lenders
            ]
        return [o for o in out if o.vm != self.member.vm]

    def stock(self, workspace: str, now: float) -> float:
        """Returns the tokens of a workspace that this entry can spend."""
        wallet = self._stock.wallets.get(workspace)
        return 0.0 if wallet is None else wallet.stock(now)

    def explain(self, workspace: str, now: float) -> dict[str, Any]:
        """Returns what a decision on a workspace's calls rests on, for logs."""
        limit = self._limits.get(workspace, accounts.NOTHING)
        return {
            'rate_per_s': limit.rate_per_s,
            'stock': round(self.stock(workspace, now), 2),
        }

    def tokens_lost(self) -> float:
        """Returns the tokens that expired unspent in wallets."""
        return self._stock.lost

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            'cell': self.topology.cell,
            'lending': self._may_lend(now),
            'account': self.account.describe(now),
            'owned': {
                str(group): pool.describe(now)
                for group, pool in enumerate(self.pools)
                if pool.describe(now)['loans']
            },
            'stock': {
                name: round(self._stock.wallets[name].stock(now), 3)
                for name in sorted(self._stock.active)
            },
        }

    # The lender's side.

    def _may_lend(self, now: float) -> bool:
        if self.leaving or self.topology.replaced:
            return False
        isolated = now - self._peer_heard > ISOLATED_S
        return not (self.topology.had_peers and isolated)

    def _lend(
        self, sender: str, message: messages.Borrow, now: float
    ) -> messages.Lend:
        if message.groups:
            self._heard[sender] = now
            if sender != self.member.vm:
                self._asked.note(now)
        shares, digest = self.account.shares(now)
        lent = []
        if self._may_lend(now):
            lent = [
                group
                for group in message.groups
                if 0 <= group < cells.GROUPS
                and self._is_owner(sender, group, now)
                and self.account.lend(group, sender, message.incarnation, now)
            ]
        return messages.Lend(
            self.member.upstream,
            self.member.incarnation,
            lent,
            digest,
            accounts.encode_shares(shares) if message.need_shares else None,
        )

    def _is_owner(self, vm: str, group: int, now: float) -> bool:
        """Tells whether a VM gets the own shares of a group.

        After a gap, those that ask first may be members that took the owner
        for silent because they were cut off themselves. A share that is lent
        to one of them is out of the owner's reach until the loan ends.
        """
        if now < self._asked.grace_until:
            return self.topology.rank(self.topology.cell, group)[:1] == [vm]
        return self._top(group, now) == vm

    def _top(self, group: int, now: float) -> str | None:
        """Returns the group's owner in the own cell, as seen here."""
        for vm in self.topology.rank(self.topology.cell, group):
            if vm == self.member.vm:
                return vm
            since = self._expected_since.setdefault((group, vm), now)
            if now - max(since, self._heard.get(vm, since)) <= SILENT_S:
                return vm
        return None

    # The owner's side.

    def _renew(self, now: float) -> list[Outgoing]:
        me = self.member.vm
        own = [g for g in range(cells.GROUPS) if self._top(g, now) == me]
        if not own:
            return self._probe(now)
        _, digest = self.account.shares(now)
        out = []
        for vm in self._cell_members():
            if (vm, messages.Borrow) in self._busy:
                continue
            known = self._lender_digest.get(vm, digest)
            borrow = messages.Borrow(
                self.member.incarnation, own, known not in self._known
            )
            self._busy.add((vm, messages.Borrow))
            out.append(Outgoing(vm, borrow, now))
        return out

    def _probe(self, now: float) -> list[Outgoing]:
        """Contacts a peer of the zone if none has been heard for some time."""
        if not self.topology.peers or now - self._peer_heard < ISOLATED_S / 2:
            return []
        vm = self.topology.peers[int(now / RENEW_S) % len(self.topology.peers)]
        if (vm, messages.Borrow) in self._busy:
            return []
        self._busy.add((vm, messages.Borrow))
        borrow = messages.Borrow(self.member.incarnation, [])
        return [Outgoing(vm, borrow, now)]

    def _cell_members(self) -> Sequence[str]:
        return self.topology.rank(self.topology.cell, 0)

    def _borrowed(
        self, sent: Outgoing, reply: messages.Lend, now: float
    ) -> None:
        self._lender_digest[sent.vm] = reply.digest
        if reply.shares is not None:
            self._learn(reply.digest, reply.shares)
        table = self._known.get(reply.digest)
        if table is None:
            return
        for group in reply.groups:
            loan = pools.Loan(
                reply.upstream,
                reply.incarnation,
                table.get(group, {}),
                sent.asked + accounts.LOAN_S,
            )
            if group in sent.message.groups and not self.leaving:
                self.pools[group].add(loan, now)

    def _learn(self, digest: str, shares: dict[str, list[float]]) -> None:
        used = set(self._lender_digest.values())
        for old in set(self._known) - used:
            del self._known[old]
        table: dict[int, dict[str, accounts.Share]] = {}
        for name, (rate, burst) in shares.items():
            part = table.setdefault(cells.group_of(name), {})
            part[name] = accounts.Share(rate, burst)
        self._known[digest] = table

    def _grant(
        self, sender: str, message: messages.Draw, now: float
    ) -> messages.Grant:
        self._settle(sender, message, now)
        key = (sender, message.incarnation, message.number)
        amounts = {}
        if not self.leaving:
            for name, want in message.wants.items():
                pool = self.pools[cells.group_of(name)]
                amount = pool.draw(name, want, key, now)
                if amount > 0:
                    amounts[name] = _compact(amount)
        return messages.Grant(message.number, amounts)

    def _settle(
        self, sender: str, message: messages.Draw | messages.Report, now: float
    ) -> None:
        for number, name, spent, returned in message.reports:
            key = (sender, message.incarnation, number)
            pool = self.pools[cells.group_of(name)]
            pool.settle_batch(name, key, spent, returned, now)

    # The entry's side.

    def _forget_idle(self, now: float) -> None:
        for name in list(self._stock.active):
            wallet = self._stock.wallets[name]
            self._stock.lost += wallet.drop_expired(now)
            if wallet.is_idle(now):
                self._stock.active.discard(name)
                del self._stock.wallets[name]
        self._short = {
            key: lack
            for key, lack in self._short.items()
            if lack.until > now - self._max_short_s()
        }

    def _stock_s(self, workspace: str) -> float:
        """Returns the stock to hold, in seconds of demand.

        The stocks of all entries together stay under half of the burst, because
        drawn tokens count against it.
        """
        return min(wallets.STOCK_S, self._fill_s(workspace) / 2)

    def _fill_s(self, workspace: str) -> float:
        """Returns how long an empty bucket takes to fill, in seconds."""
        limit = self._limits.get(workspace, accounts.NOTHING)
        return limit.burst / limit.rate_per_s if limit.rate_per_s > 0 else 0.0

    def _draw(
        self, names: Sequence[str], now: float, reporting: bool
    ) -> list[Outgoing]:
        wants: dict[str, dict[str, float]] = {}
        for name in names:
            need = self._stock.wallets[name].need(now, self._stock_s(name))
            if need > 0:
                self._spread(name, need, wants, now)
        if not wants and not reporting:
            return []
        # Without a report due, only the owners that are sent a draw get one.
        reports = self._collect(now, owners=None if reporting else set(wants))
        out = []
        for vm, amounts in wants.items():
            self._number += 1
            for name, amount in amounts.items():
                self._stock.wallets[name].expect(self._number, amount, now)
            draw = messages.Draw(
                self.member.incarnation,
                self._number,
                amounts,
                reports.pop(vm, []),
            )
            self._busy.add((vm, messages.Draw))
            out.append(Outgoing(vm, draw, now))
        for vm, rows in reports.items():
            report = messages.Report(self.member.incarnation, rows)
            out.append(Outgoing(vm, report, now, wants_reply=False))
        return out

    def _report_tight(self, now: float) -> list[Outgoing]:
        """Reports on the workspaces whose buckets hold very few tokens."""
        cell_count = 1 + len(self.topology.others)
        names = [
            name
            for name in self._stock.active
            if self._limits[name].burst < TIGHT_BURST * cell_count
        ]
        return [
            Outgoing(
                vm,
                messages.Report(self.member.incarnation, rows),
                now,
                wants_reply=False,
            )
            for vm, rows in self._collect(now, names=sorted(names)).items()
        ]

    def _spread(
        self,
        workspace: str,
        need: float,
        wants: dict[str, dict[str, float]],
        now: float,
    ) -> None:
        """Divides a need over owners that are free and may have tokens.

        The number of owners asked at once doubles with the number found short,
        so that few rounds suffice in a fleet of many cells.
        """
        chosen: list[str] = []
        short = 0
        for vm in self._owners(cells.group_of(workspace), now):
            if self._short.get((vm, workspace), _NO_LACK).until > now:
                short += 1
            elif (vm, messages.Draw) not in self._busy:
                chosen.append(vm)
        chosen = chosen[: max(1, short)]
        for vm in chosen:
            part = math.ceil(need / len(chosen))
            wants.setdefault(vm, {})[workspace] = part

    def _owners(self, group: int, now: float) -> list[str]:
        """Returns the owners of a group: of the own cell, then of others."""
        # After a fault the own share may still be lent to another member than
        # the owner to be; the tokens are there until that loan ends.
        near = (self._top(group, now), self.account.borrower(group, now))
        owners = [
            vm
            for vm in dict.fromkeys(near)
            if vm is not None and not self._has_failed(vm, now)
        ]
        for cell in self.topology.others:
            for vm in self.topology.rank(cell, group)[:3]:
                if not self._has_failed(vm, now):
                    owners.append(vm)
                    break
        return owners

    def _has_failed(self, vm: str, now: float) -> bool:
        return now - self._failed.get(vm, -math.inf) < FAILED_S

    def _drawn(self, sent: Outgoing, reply: Any, now: float) -> None:
        number = sent.message.number
        got = reply.amounts if isinstance(reply, messages.Grant) else {}
        for name, want in sent.message.wants.items():
            wallet = self._stock.wallets.get(name)
            if wallet is None:
                continue
            wallet.settle(number)
            amount = min(got.get(name, 0.0), want)
            expires = sent.asked + pools.BATCH_S
            if amount > 0 and expires > now:
                self._stock.active.add(name)
                wallet.put(wallets.Batch(sent.vm, number, amount, expires))
            elif amount > 0:
                self._stock.lost += amount
            if reply is not None:
                self._note_lack(sent.vm, name, amount < want, now)

    def _max_short_s(self) -> float:
        return MAX_SHORT_S * (1 + len(self.topology.others))

    def _note_lack(
        self, vm: str, workspace: str, lacked: bool, now: float
    ) -> None:
        key = vm, workspace
        if lacked:
            bound_s = self._max_short_s()
            wait_s = 2 * self._short.get(key, _NO_LACK).wait_s
            # A pool that is left alone for longer than it takes to fill loses
            # what accrues.
            fill_s = self._fill_s(workspace)
            wait_s = min(wait_s, max(SHORT_S / 2, min(bound_s, fill_s / 2)))
            self._short[key] = _Lack(now + wait_s, wait_s)
        else:
            self._short.pop(key, None)

    def _collect(
        self,
        now: float,
        owners: Collection[str] | None = None,
        everything: bool = False,
        names: Iterable[str] | None = None,
    ) -> dict[str, list[list]]:
        """Returns the rows to report by owner.

        Args:
          now: Time in seconds.
          owners: Owners to report to; None for all.
          everything: Whether to return all tokens.
          names: Workspaces to report on; None for all.
        """
        rows: dict[str, list[list]] = {}
        for name in sorted(self._stock.active) if names is None else names:
            wallet = self._stock.wallets[name]
            for vm, *row in wallet.collect_reports(now, owners, everything):
                number, spent, returned = row
                rows.setdefault(vm, []).append(
                    [number, name, _compact(spent), _compact(returned)]
                )
        return rows

    def _answer_own(self, out: list[Outgoing], now: float) -> list[Outgoing]:
        """Handles messages to the own VM at once; returns the others."""
        rest = []
        for sent in out:
            if sent.vm != self.member.vm:
                rest.append(sent)
                continue
            reply = self.answer(sent.vm, sent.message, now)
            if sent.wants_reply:
                self.receive(sent, reply, now)
        return rest
