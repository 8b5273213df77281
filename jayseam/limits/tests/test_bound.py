"""Tests of the window bound with lenders, owners and entries alone.

Owners request leases at random, so the tests assume no agreement on ownership.
"""

import random
import types

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.limits import models
from jayseam.limits import pools
from jayseam.limits import share_leases

RATE_PER_S = 20.0
BURST = 10.0
POSITIONS = 2


@attrs.define
class _Process:
    """A process that is lender, owner and entry, with its own clock."""

    vm: str
    incarnation: int
    drift: float
    share_lender: share_leases.ShareLender | None = None
    pool: pools.Pool = attrs.field(factory=pools.Pool)
    batches: list = attrs.field(factory=list)

    def local_time(self, now):
        """Returns the time on this process's clock."""
        return 1000.0 + now * (1 + self.drift)


class _Simulation:
    """Processes that borrow, draw, spend and restart at random times."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.preset = types.SimpleNamespace(
            upstreams={f'u{i}': None for i in range(POSITIONS)},
            workspaces={
                'w': types.SimpleNamespace(rate_per_s=RATE_PER_S, burst=BURST)
            },
        )
        self.incarnation = 0
        self.number = 0
        self.pending = []
        self.spent = []
        self.processes = [self._start(i) for i in range(POSITIONS)]

    def _start(self, position):
        self.incarnation += 1
        drift = self.random.uniform(-0.001, 0.001)
        process = _Process(f'vm{position}', self.incarnation, drift)
        local = process.local_time(self.now)
        process.share_lender = share_leases.ShareLender(f'u{position}', local)
        process.share_lender.set_preset(self.preset, 1, local - 60.0)
        return process

    def _delay(self):
        """Returns a random message delay, which may be longer than a lease."""
        if self.random.random() < 0.7:
            return self.random.uniform(0.0, 0.01)
        return self.random.uniform(0.0, 2.5)

    def _send(self, action):
        self.pending.append((self.now + self._delay(), action))

    def _borrow(self, owner, lender):
        requested_at = owner.local_time(self.now)

        def at_lender():
            now = lender.local_time(self.now)
            shares, _ = lender.share_lender.get_shares(now)
            if lender in self.processes and lender.share_lender.grant_lease(
                0, owner.vm, owner.incarnation, now
            ):
                lease = pools.Lease(
                    lender.share_lender.upstream,
                    lender.incarnation,
                    shares,
                    requested_at + share_leases.LEASE_S,
                )
                self._send(
                    lambda: owner.pool.add_lease(
                        lease, owner.local_time(self.now)
                    )
                )

        self._send(at_lender)

    def _draw(self, owner, entry):
        self.number += 1
        key = (entry.vm, entry.incarnation, self.number)
        expires = entry.local_time(self.now) + pools.BATCH_LIFETIME_S

        def at_owner():
            if owner not in self.processes:
                return
            granted = owner.pool.grant_batch(
                'w', 99.0, key, owner.local_time(self.now)
            )
            # Counts as spendable from the grant on: a reply can't be revoked.
            entry.batches.append([owner, key, granted, expires])

        self._send(at_owner)

    def _spend_or_return(self, entry):
        """Spends or returns a batch, and reports it once."""
        now = entry.local_time(self.now)
        entry.batches = [b for b in entry.batches if b[2] and b[3] > now]
        if not entry.batches:
            return
        batch = self.random.choice(entry.batches)
        owner, key, amount, _ = batch
        spent = float(self.random.randint(0, int(amount)))
        returned = amount - spent if self.random.random() < 0.5 else 0.0
        self.spent += [self.now] * int(spent)
        batch[2] = amount - spent - returned
        report = ('w', key, spent, returned)
        self._send(
            lambda: owner.pool.apply_report(*report, owner.local_time(self.now))
        )

    def step(self):
        """Performs one random action and advances the time."""
        choice = self.random.random()
        first, second = self.random.choices(range(len(self.processes)), k=2)
        if choice < 0.5:
            self._borrow(self.processes[first], self.processes[second])
        elif choice < 0.75:
            self._draw(self.processes[first], self.processes[second])
        elif choice < 0.99:
            self._spend_or_return(self.processes[first])
        else:
            self.processes[first] = self._start(first)
        end = self.now + self.random.choice([0.0, 0.02, 0.1, 0.3])
        while self.pending and min(self.pending, key=lambda p: p[0])[0] <= end:
            event = min(self.pending, key=lambda p: p[0])
            self.pending.remove(event)
            self.now = max(self.now, event[0])
            event[1]()
        self.now = end

    def spendable(self):
        """Returns the tokens of live processes that can be spent now."""
        total = 0.0
        for process in self.processes:
            local = process.local_time(self.now)
            total += process.pool.level('w', local)
            total += sum(b[2] for b in process.batches if b[3] > local)
        return total


def _check_bound(seed, steps):
    simulation = _Simulation(seed)
    granted = 0
    for _ in range(steps):
        simulation.step()
        assert simulation.spendable() <= BURST + 1e-6
        backing = sum(
            p.pool.backing('w', p.local_time(simulation.now))
            for p in simulation.processes
        )
        assert backing <= BURST + 1e-6
        granted = max(granted, len(simulation.spent))
    excess = models.measures.measure_overshoot(
        simulation.spent, RATE_PER_S, BURST
    )
    assert excess <= 1e-6
    return granted


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_bound_holds_without_agreement(seed):
    """No order of leases, batches and restarts may create tokens."""
    _check_bound(seed, steps=600)


def test_simulation_spends_tokens():
    """The checks of the bound would be void if no tokens were granted."""
    assert _check_bound(1, steps=2000) > 100


def _create_pool(expires=2.0):
    pool = pools.Pool()
    shares = {'w': share_leases.Share(10.0, 10.0)}
    assert pool.add_lease(pools.Lease('u', 1, shares, expires), now=0.0)
    return pool


def test_batch_never_outlives_its_loan():
    """Otherwise batches of a lease and of its successor could both be spent."""
    pool = _create_pool()
    assert pool.grant_batch('w', 1.0, ('vm', 1, 1), now=0.9) > 0
    assert pool.grant_batch('w', 1.0, ('vm', 1, 2), now=1.1) == 0


def test_expired_or_unknown_batch_is_not_credited():
    """Crediting a late or repeated return would create tokens."""
    pool = _create_pool(expires=20.0)
    key = ('vm', 1, 1)
    granted = pool.grant_batch('w', 5.0, key, now=2.0)
    pool.apply_report('w', key, 0.0, granted, now=2.1)
    level = pool.level('w', 2.1)
    pool.apply_report('w', key, 0.0, granted, now=2.1)
    pool.apply_report('w', ('vm', 1, 9), 0.0, 5.0, now=2.1)
    assert pool.level('w', 2.1) == level
    pool.grant_batch('w', 5.0, ('vm', 1, 2), now=3.0)
    before = pool.level('w', 4.5)
    pool.apply_report('w', ('vm', 1, 2), 0.0, 5.0, now=4.5)
    assert pool.level('w', 4.5) == before


def test_lower_incarnation_at_a_position_is_not_counted():
    """A replaced process that still runs would lend the share again."""
    pool = _create_pool()
    shares = {'w': share_leases.Share(10.0, 10.0)}
    assert pool.add_lease(pools.Lease('u', 2, shares, 2.5), now=0.1)
    assert not pool.add_lease(pools.Lease('u', 1, shares, 3.0), now=0.2)
    assert pool.backing('w', 0.2) == 10.0


@pytest.fixture(name='share_lender')
def _share_lender():
    share_lender = share_leases.ShareLender('u', now=0.0)
    share_lender.set_preset(_preset(4, 40.0), 1, now=0.0)
    return share_lender


def _preset(count, rate):
    return types.SimpleNamespace(
        upstreams=dict.fromkeys(['u', *map(str, range(count - 1))]),
        workspaces={'w': types.SimpleNamespace(rate_per_s=rate, burst=rate)},
    )


def test_share_waits_out_predecessor_and_other_borrowers(share_lender):
    """A share lent during an earlier lease would be used twice."""
    assert not share_lender.grant_lease(0, 'a', 1, now=2.4)
    assert share_lender.grant_lease(0, 'a', 1, now=2.5)
    assert not share_lender.grant_lease(0, 'b', 1, now=4.5)
    assert not share_lender.grant_lease(
        0, 'a', 2, now=4.5
    ), 'a restarted borrower has lost its records'
    assert share_lender.grant_lease(0, 'a', 1, now=4.5)
    share_lender.release(0, 'a', 1, now=4.6, remaining_s=1.0)
    assert not share_lender.grant_lease(0, 'b', 1, now=5.5)
    assert share_lender.grant_lease(0, 'b', 1, now=5.7)


def test_share_grows_late_and_shrinks_at_once(share_lender):
    """An immediate increase would add to shares not yet decreased elsewhere."""

    def rate(now):
        return (
            share_lender.get_shares(now)[0]
            .get('w', share_leases.NO_SHARE)
            .rate_per_s
        )

    assert rate(4.9) == 0.0
    assert rate(5.0) == 10.0
    share_lender.set_preset(_preset(2, 40.0), 2, now=10.0)
    assert rate(14.9) == 10.0
    share_lender.set_preset(_preset(2, 36.0), 3, now=14.0)
    assert rate(15.0) == 18.0, 'a smaller increase keeps its time'
    share_lender.set_preset(_preset(4, 36.0), 4, now=16.0)
    assert rate(16.0) == 9.0
    share_lender.set_preset(_preset(1, 36.0), 3, now=17.0)
    assert rate(30.0) == 9.0, 'an older version changes nothing'
