"""Tests of the window bound on lenders, owners and entries alone.

Owners ask at random, so no agreement about who owns what is assumed.
"""

import random
import types

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.limits import accounts
from jayseam.limits import models
from jayseam.limits import pools

RATE_PER_S = 20.0
BURST = 10.0
POSITIONS = 2


@attrs.define
class _Process:
    """A process with a clock of its own."""

    vm: str
    incarnation: int
    drift: float
    account: accounts.Account | None = None
    pool: pools.Pool = attrs.field(factory=pools.Pool)
    batches: list = attrs.field(factory=list)

    def local(self, now):
        """Returns the time on this process's clock."""
        return 1000.0 + now * (1 + self.drift)


class _World:
    """Processes that borrow, draw, spend and restart at random moments."""

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
        local = process.local(self.now)
        process.account = accounts.Account(f'u{position}', local)
        process.account.set_preset(self.preset, 1, local - 60.0)
        return process

    def _delay(self):
        """Returns a message delay, at times longer than a loan."""
        if self.random.random() < 0.7:
            return self.random.uniform(0.0, 0.01)
        return self.random.uniform(0.0, 2.5)

    def _later(self, action):
        self.pending.append((self.now + self._delay(), action))

    def _borrow(self, owner, lender):
        requested_at = owner.local(self.now)

        def at_lender():
            now = lender.local(self.now)
            shares, _ = lender.account.get_shares(now)
            if lender in self.processes and lender.account.grant_lease(
                0, owner.vm, owner.incarnation, now
            ):
                lease = pools.Lease(
                    lender.account.upstream,
                    lender.incarnation,
                    shares,
                    requested_at + accounts.LEASE_S,
                )
                self._later(
                    lambda: owner.pool.add_lease(lease, owner.local(self.now))
                )

        self._later(at_lender)

    def _draw_tokens(self, owner, entry):
        self.number += 1
        key = (entry.vm, entry.incarnation, self.number)
        expires = entry.local(self.now) + pools.BATCH_LIFETIME_S

        def at_owner():
            if owner not in self.processes:
                return
            granted = owner.pool.grant_batch(
                'w', 99.0, key, owner.local(self.now)
            )
            # In use from the grant on, because the reply cannot be taken back.
            entry.batches.append([owner, key, granted, expires])

        self._later(at_owner)

    def _use(self, entry):
        """Spends or returns a batch, and reports it once."""
        now = entry.local(self.now)
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
        self._later(
            lambda: owner.pool.apply_report(*report, owner.local(self.now))
        )

    def step(self):
        """Does one thing and lets some time pass."""
        choice = self.random.random()
        one, other = self.random.choices(range(len(self.processes)), k=2)
        if choice < 0.5:
            self._borrow(self.processes[one], self.processes[other])
        elif choice < 0.75:
            self._draw_tokens(self.processes[one], self.processes[other])
        elif choice < 0.99:
            self._use(self.processes[one])
        else:
            self.processes[one] = self._start(one)
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
            local = process.local(self.now)
            total += process.pool.level('w', local)
            total += sum(b[2] for b in process.batches if b[3] > local)
        return total


def _check_world(seed, steps):
    world = _World(seed)
    granted = 0
    for _ in range(steps):
        world.step()
        assert world.spendable() <= BURST + 1e-6
        backing = sum(
            p.pool.backing('w', p.local(world.now)) for p in world.processes
        )
        assert backing <= BURST + 1e-6
        granted = max(granted, len(world.spent))
    excess = models.measures.measure_overshoot(world.spent, RATE_PER_S, BURST)
    assert excess <= 1e-6
    return granted


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_bound_holds_without_agreement(seed):
    """No order of loans, batches and restarts may create tokens."""
    _check_world(seed, steps=600)


def test_world_spends_tokens():
    """A world in which nothing is granted would prove nothing."""
    assert _check_world(1, steps=2000) > 100


def _lent_pool(expires=2.0):
    pool = pools.Pool()
    shares = {'w': accounts.Share(10.0, 10.0)}
    assert pool.add_lease(pools.Lease('u', 1, shares, expires), now=0.0)
    return pool


def test_batch_never_outlives_its_loan():
    """A batch of a loan about to end could be spent beside its successor's."""
    pool = _lent_pool()
    assert pool.grant_batch('w', 1.0, ('vm', 1, 1), now=0.9) > 0
    assert pool.grant_batch('w', 1.0, ('vm', 1, 2), now=1.1) == 0


def test_expired_or_unknown_batch_is_not_credited():
    """A late or repeated return would create tokens."""
    pool = _lent_pool(expires=20.0)
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
    """A replaced process that still runs would lend the share twice."""
    pool = _lent_pool()
    shares = {'w': accounts.Share(10.0, 10.0)}
    assert pool.add_lease(pools.Lease('u', 2, shares, 2.5), now=0.1)
    assert not pool.add_lease(pools.Lease('u', 1, shares, 3.0), now=0.2)
    assert pool.backing('w', 0.2) == 10.0


@pytest.fixture(name='account')
def _account():
    account = accounts.Account('u', now=0.0)
    account.set_preset(_preset(4, 40.0), 1, now=0.0)
    return account


def _preset(count, rate):
    return types.SimpleNamespace(
        upstreams=dict.fromkeys(['u', *map(str, range(count - 1))]),
        workspaces={'w': types.SimpleNamespace(rate_per_s=rate, burst=rate)},
    )


def test_share_waits_out_predecessor_and_other_borrowers(account):
    """A share lent while an earlier loan runs would be used twice."""
    assert not account.grant_lease(0, 'a', 1, now=2.4)
    assert account.grant_lease(0, 'a', 1, now=2.5)
    assert not account.grant_lease(0, 'b', 1, now=4.5)
    assert not account.grant_lease(
        0, 'a', 2, now=4.5
    ), 'restart loses its records'
    assert account.grant_lease(0, 'a', 1, now=4.5)
    account.release(0, 'a', 1, now=4.6, remaining_s=1.0)
    assert not account.grant_lease(0, 'b', 1, now=5.5)
    assert account.grant_lease(0, 'b', 1, now=5.7)


def test_share_grows_late_and_shrinks_at_once(account):
    """A share that grows at once would add to shares not shrunk elsewhere."""

    def rate(now):
        return account.get_shares(now)[0].get('w', accounts.NO_SHARE).rate_per_s

    assert rate(4.9) == 0.0
    assert rate(5.0) == 10.0
    account.set_preset(_preset(2, 40.0), 2, now=10.0)
    assert rate(14.9) == 10.0
    account.set_preset(_preset(2, 36.0), 3, now=14.0)
    assert rate(15.0) == 18.0, 'a smaller raise keeps its time'
    account.set_preset(_preset(4, 36.0), 4, now=16.0)
    assert rate(16.0) == 9.0
    account.set_preset(_preset(1, 36.0), 3, now=17.0)
    assert rate(30.0) == 9.0, 'an older version changes nothing'
