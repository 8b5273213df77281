"""Tests of the task that runs a strategy in a node."""

import types

import gevent
import pytest

from jayseam.core import errors
from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import share_leases
from jayseam.limits import strategies
from jayseam.limits import task


class _Fleet:
    """Tasks connected by direct calls, which started a minute ago."""

    def __init__(self, count, strategy, rate_per_s=200.0, burst=100.0):
        upstream = types.SimpleNamespace(zone='a')
        self.preset = types.SimpleNamespace(
            upstreams={f'u{i}': upstream for i in range(count)},
            workspaces={
                'w': types.SimpleNamespace(rate_per_s=rate_per_s, burst=burst)
            },
        )
        self.members = [
            cells.Member(f'vm{i}', f'u{i}', 1, 'a') for i in range(count)
        ]
        self.cut = set()
        self.tasks = {}
        start = task.clocks.read_now() - 60.0
        for member in self.members:
            limiter = task.LimitTask(
                member.vm,
                member.upstream,
                member.zone,
                member.incarnation,
                request=self._connect(member.vm),
                notify=lambda vm, message, me=member.vm: self._deliver(
                    me, vm, message
                ),
                list_members=lambda: self.members,
                strategy=strategy,
                now=start,
            )
            limiter.set_preset(self.preset, 1, start)
            self.tasks[member.vm] = limiter

    def _connect(self, me):
        def request(vm, message, timeout_s):
            if {me, vm} & self.cut:
                gevent.sleep(timeout_s)
                raise errors.JayseamError('no reply')
            return self._deliver(me, vm, message)

        return request

    def _deliver(self, me, vm, message):
        gevent.sleep(0.001)
        return self.tasks[vm].handlers()[type(message)](me, message)

    def __enter__(self):
        for limiter in self.tasks.values():
            limiter.start()
        gevent.sleep(0.6)
        return self

    def __exit__(self, *_):
        for limiter in self.tasks.values():
            limiter.stop()

    def admit(self, vm, timeout_s=1.0):
        """Requests the admission of one call at one task."""
        now = task.clocks.read_now()
        return self.tasks[vm].admit('w', 1.0, now + timeout_s, now)


@pytest.mark.parametrize('strategy', strategies.registry.list_names())
def test_call_within_rate_is_admitted(strategy):
    """A call that finds no token must wait for a token, not be refused."""
    with _Fleet(3, strategy) as fleet:
        gevent.sleep(
            share_leases.PREDECESSOR_WAIT_S if strategy == 'owner' else 0
        )
        for vm in fleet.tasks:
            admission = fleet.admit(vm)
            assert admission.admitted
            assert admission.waited_s < 0.1


@pytest.mark.parametrize('strategy', strategies.registry.list_names())
def test_a_tolerance_may_be_set_with_every_strategy(strategy):
    """Settings may name a tolerance that the strategy doesn't use."""
    fleet = _Fleet(1, strategy)
    for limiter in fleet.tasks.values():
        limiter.set_tolerance(0.25)


def test_excess_is_refused_with_retry_after():
    """Calls over the rate must be refused, after at most the bounded wait."""
    with _Fleet(2, 'escrow', rate_per_s=1.0, burst=2.0) as fleet:
        gevent.sleep(0.3)
        calls = [gevent.spawn(fleet.admit, 'vm0') for _ in range(80)]
        results = [call.get(timeout=2.0) for call in calls]
        assert sum(r.admitted for r in results) <= 4
        refused = [r for r in results if not r.admitted]
        assert all(r.retry_after_s > 0 for r in refused)
        assert max(r.waited_s for r in refused) < 0.8


def test_deadline_in_the_past_and_unknown_workspace_do_not_wait():
    """A call that can't be admitted by waiting must be refused at once."""
    with _Fleet(1, 'escrow') as fleet:
        now = task.clocks.read_now()
        limiter = fleet.tasks['vm0']
        assert not limiter.admit('absent', 1.0, now + 1.0, now).admitted
        assert not limiter.admit('w', 1e6, now - 1.0, now).admitted
        assert task.clocks.read_now() - now < 0.1


def test_hand_back_frees_shares_early():
    """A planned stop of an owner must not block shares for a whole lease."""
    with _Fleet(2, 'escrow') as fleet:
        for vm in ('vm0', 'vm1'):
            lent = fleet.tasks[vm].describe()['account']['lent']
            assert sorted(lent) == ['0', '1', '2', '3']
        owner = fleet.tasks['vm0'].describe()['account']['lent']['0']
        other = 'vm1' if owner == 'vm0' else 'vm0'
        fleet.tasks[owner].stop()
        gevent.sleep(1.1)
        account = fleet.tasks[other].describe()['account']
        assert account['lent'].get('0') != owner


def test_clock_read_before_a_pause_spends_nothing():
    """A paused caller must not spend tokens that expired in the pause."""
    with _Fleet(1, 'escrow') as fleet:
        limiter = fleet.tasks['vm0']
        before = task.clocks.read_now()
        assert fleet.admit('vm0').admitted
        limiter.drop_expired(before + 60.0)
        assert not limiter.admit('w', 1.0, before, before).admitted


def test_failed_peer_does_not_stop_the_loop():
    """A request that raises must free its peer for later requests."""
    with _Fleet(2, 'escrow') as fleet:
        fleet.cut.add('vm1')
        gevent.sleep(1.0)
        fleet.cut.clear()
        gevent.sleep(1.5)
        assert fleet.admit('vm0').admitted
        assert fleet.admit('vm1').admitted


@pytest.mark.parametrize(
    'kind, fields',
    [
        (messages.Draw, (1, 1, {'w': -1.0})),
        (messages.Draw, (1, 1, {}, [[1, 'w', -1.0, 0.0]])),
        (messages.Grant, (1, {'w': '5'})),
        (messages.Lend, ('u', 1, [0], 'd', {'w': [float('nan'), 1.0]})),
        (messages.Borrow, ('1', [0])),
    ],
)
def test_malformed_messages_are_rejected(kind, fields):
    """A peer's negative or non-numeric amount must not reach a bucket."""
    with pytest.raises((TypeError, ValueError)):
        kind(*fields)


def test_members_that_have_not_changed_are_not_compared_again():
    """In a large fleet the comparison took more time than the limits."""
    with _Fleet(2, 'replicated') as fleet:
        limiter = fleet.tasks['vm0']
        fleet.members = tuple(fleet.members)
        gevent.sleep(2 * task.REFRESH_PERIOD_S)
        reads = []
        members = fleet.members

        class _Members(tuple):

            def __iter__(self):
                reads.append(1)
                return iter(members)

        fleet.members = _Members()
        gevent.sleep(4 * task.REFRESH_PERIOD_S)
        # Each of the two tasks reads them once.
        assert len(reads) == len(fleet.tasks)
        assert limiter.describe()['part'] == 1.0
