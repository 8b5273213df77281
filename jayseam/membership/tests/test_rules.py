"""Tests of the pure parts: records, views, detection, outbox and others."""

import functools

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from jayseam.membership import detection
from jayseam.membership import messages
from jayseam.membership import outbox
from jayseam.membership import reconciliation
from jayseam.membership import records
from jayseam.membership import topology
from jayseam.membership import views
from jayseam.membership.tests import members

_small = strategies.integers(0, 2)


def draw_records(*vms):
    """Returns a strategy of records that often collide."""
    return strategies.builds(
        members.create_record,
        strategies.sampled_from(vms),
        incarnation=_small,
        sequence=_small,
        state=strategies.sampled_from(records.STATES),
        backend=strategies.sampled_from(records.BACKENDS),
        zone=strategies.sampled_from(['zone-1', 'zone-2']),
    )


_one_vm = draw_records('a')
_many = strategies.lists(draw_records('a', 'b', 'c', 'd'), max_size=12)


@hypothesis.given(_one_vm, _one_vm, _one_vm)
def test_merge_is_a_semilattice(first, second, third):
    """Views must converge whatever the order and number of deliveries."""
    merge = records.merge
    assert merge(first, second) == merge(*reversed([first, second]))
    assert merge(merge(first, second), third) == merge(
        first, merge(second, third)
    )
    assert merge(first, first) == first


def test_merge_order():
    """Incarnation goes before sequence, sequence before severity."""
    ordered = [
        members.create_record('a', sequence=5, state='dead'),
        members.create_record('a', incarnation=2),
        members.create_record('a', incarnation=2, state='suspect'),
        members.create_record('a', incarnation=2, state='leaving'),
        members.create_record('a', incarnation=2, state='dead'),
        members.create_record('a', incarnation=2, sequence=1),
    ]
    for lower, higher in zip(ordered, ordered[1:]):
        assert records.merge(lower, higher) == higher


@hypothesis.given(_many, strategies.randoms(use_true_random=False))
def test_views_converge(received, rng):
    """Two nodes that got the same records must have equal digests."""
    alive = [members.create_record(vm, incarnation=0) for vm in 'abcd']
    shuffled = received * 2
    rng.shuffle(shuffled)
    first, _ = views.create_view(alive, 0.0).update(received, 1.0)
    second = views.create_view(alive, 0.0)
    for record in shuffled:
        second, _ = second.update([record], 2.0)
    assert dict(first.members) == dict(second.members)
    assert first.digest == second.digest


@hypothesis.given(_many, _many)
def test_pull_reconciles_two_views(ours, theirs):
    """One exchange of a pull must leave both sides with the same view."""
    own, other = views.create_view(ours, 0.0), views.create_view(theirs, 0.0)
    buckets = list(range(views.BUCKETS))
    known = reconciliation.known_hashes(own, buckets)
    reply = reconciliation.compare_records(
        other, messages.PullRecords(buckets, known)
    )
    newer = reconciliation.choose_newer(own, reply)
    own, _ = own.update(reply.records, 1.0)
    other, _ = other.update(newer, 1.0)
    assert own.digest == other.digest
    assert own.buckets == other.buckets


def test_view_lookups():
    """Lookups must leave out the dead and prefer the newer incarnation."""
    view = views.create_view(
        [
            members.create_record('old', upstream='u-1'),
            members.create_record('new', upstream='u-1', incarnation=2),
            members.create_record('gone', state='leaving'),
            members.create_record('far', zone='zone-2', backend='cold'),
            members.create_record('slow', zone='zone-2', state='suspect'),
            members.create_record('drained', service='x', backend='draining'),
        ],
        now=10.0,
    )
    dead = attrs.evolve(view.members['far'], state='dead')

    def names(found):
        return {record.vm for record in found}

    assert view.holder('u-1').vm == 'new' and view.holder('u-9') is None
    assert [r.vm for r in view.at_upstream('u-1')] == ['new', 'old']
    assert names(view.live_in_zone('zone-1')) == {'old', 'new', 'drained'}
    assert names(view.in_zone('zone-1')) == {'old', 'new', 'drained', 'gone'}
    assert names(view.of_service('x')) == {'drained'}
    assert [r.vm for r in view.usable(11.0)] == ['new', 'far', 'slow']
    assert [r.vm for r in view.usable(14.0)] == ['new', 'far']
    after, changes = view.update([dead], 20.0)
    assert changes == (dead,) and names(after.in_zone('zone-2')) == {'slow'}
    assert after.since['far'] == 20.0 and view.members['far'].state == 'alive'
    assert 'far' not in after.without({'far'}).members
    again, _ = after.without({'far'}).update([dead], 21.0)
    assert 'far' not in again.members, 'a dropped member must not come back'


def run_observer(gaps, answers):
    """Returns the verdicts of an observer that runs after each gap.

    Verdicts come before the signs of life of the same step, which is the
    worst order after a pause.
    """
    now, asked_at, found = 0.0, 0.0, []
    detector = detection.follow(detection.create_detector(now), 'ab', now)
    for gap in gaps:
        now += gap
        detector = detection.tick(detector, now)
        detector, verdicts = detection.judge(detector, now)
        found += [(verdict.kind, verdict.vm, now) for verdict in verdicts]
        if now - asked_at >= 1.0:
            asked_at = now
            for vm in answers:
                detector = detection.hear(detector, vm, now)
    return found


_gaps = strategies.lists(
    strategies.sampled_from([0.1, 0.1, 0.1, 0.29, 0.31, 1.0, 5.0, 3600.0]),
    max_size=120,
)


@hypothesis.given(_gaps)
def test_paused_observer_condemns_nobody(gaps):
    """A node must suspect its own slowness before its neighbours."""
    assert not run_observer(gaps, answers='ab')


@hypothesis.given(strategies.lists(strategies.floats(0.05, 0.25), min_size=99))
def test_silent_member_is_found(gaps):
    """A silent member must become suspect, then dead, within the limits."""
    found = run_observer(gaps, answers='a')
    kinds = [kind for kind, vm, _ in found if vm == 'b']
    times = {kind: now for kind, _, now in found}
    assert kinds == ['suspect', 'probe', 'dead'] and {v[1] for v in found} == {
        'b'
    }
    assert 1.5 <= times['suspect'] <= 1.75
    assert 1.5 <= times['dead'] - times['suspect'] <= 1.75


def test_slow_observer_doubles_the_limits():
    """After a missed tick both limits are 3 s."""
    found = run_observer([0.5] + [0.1] * 70, answers='a')
    times = {kind: now for kind, vm, now in found if vm == 'b'}
    assert 3.4 <= times['suspect'] <= 3.7
    # The period of doubled limits ends 5.5 s after the start.
    assert 5.4 <= times['dead'] <= 6.7


def test_member_reached_by_others_only_is_not_suspected_again():
    """An indirect sign of life brings the next probe before a suspicion."""
    detector = detection.follow(detection.create_detector(0.0), 'a', 0.0)
    detector = detection.hear(detector, 'a', 1.0, indirect=True)
    detector, verdicts = detection.judge(detector, 1.8)
    assert [verdict.kind for verdict in verdicts] == ['probe']
    detector, verdicts = detection.judge(detector, 2.4)
    assert not verdicts
    _, verdicts = detection.judge(detector, 2.6)
    assert [verdict.kind for verdict in verdicts] == ['suspect', 'probe']


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(['z1', 'z2', 'z3', 'z4']),
        strategies.integers(0, 6),
    )
)
def test_neighbours_cover_every_member(sizes):
    """Each member needs watchers, and other zones must be linked."""
    zones = {z: [f'{z}-{i}' for i in range(n)] for z, n in sizes.items()}
    chosen = {
        vm: topology.find_neighbours(vm, zone, zones)
        for zone, vms in zones.items()
        for vm in vms
    }
    for zone, vms in zones.items():
        for vm in vms:
            own = [other for other in chosen[vm] if other in vms]
            watchers = [o for o in vms if vm in chosen[o]]
            assert vm not in chosen[vm]
            assert len(own) == len(watchers) == min(2, len(vms) - 1)
            others = {other.split('-')[0] for other in chosen[vm]} - {zone}
            filled = sum(bool(v) for z, v in zones.items() if z != zone)
            assert len(others) == min(2, filled)


@pytest.mark.parametrize('removed', range(1, 6))
def test_next_member_replaces_a_removed_neighbour(removed):
    """Without a fallback a node would lose a neighbour with each failure."""
    vms = [f'vm-{i}' for i in range(8)]
    ring = topology.order_ring(vms)
    left = [ring[0]] + ring[1 + removed :]
    assert topology.find_successors(ring[0], left) == left[1:3]
    counts = functools.reduce(
        lambda total, vm: total + len(topology.find_successors(vm, left)),
        left,
        0,
    )
    assert counts == len(left) * min(2, len(left) - 1)


def test_outbox_spaces_its_flushes():
    """Many members that start at once must not cost a message each."""
    box = outbox.Outbox()
    first, second = members.create_record('a'), members.create_record('b')
    box.add([first], 'x')
    assert box.plan(10.0) == 0.0 and box.plan(10.0) is None
    assert box.flush(10.0) == (outbox.Change(first, 'x'),)
    assert not box.flush(10.0)
    newer = attrs.evolve(first, sequence=5)
    box.add([first, second], 'x')
    box.add([newer], None)
    assert box.plan(10.02) == pytest.approx(outbox.UPDATE_INTERVAL_S - 0.02)
    assert set(box.flush(10.05)) == {
        outbox.Change(newer, None),
        outbox.Change(second, 'x'),
    }


def test_updates_are_not_sent_back_or_spread_by_everyone():
    """Every node passing on every change would flood the fleet."""
    own, other = members.create_record('own'), members.create_record('other')
    changes = [outbox.Change(other, 'x'), outbox.Change(own, None)]
    assert outbox.choose_records(changes, 'near', True) == [own, other]
    assert outbox.choose_records(changes, 'far', False) == [own]
    assert outbox.choose_records(changes, 'x', True) == [own]


def test_updates_are_cut_into_messages():
    """A frame with all records of a large fleet would close the link."""
    record = members.create_record('a')
    sizes = [len(b) for b in outbox.cut_batches([record] * 600)]
    assert sizes == [256, 256, 88] and not list(outbox.cut_batches([]))


def test_only_a_lasting_difference_is_pulled():
    """Each update in flight would otherwise cost a pull."""
    mismatches = reconciliation.Mismatches()
    assert not mismatches.note('a', True)
    assert not mismatches.note('a', False)
    assert not mismatches.note('a', True)
    assert not mismatches.note('b', True)
    assert mismatches.note('a', True)
    mismatches.forget('a')
    assert not mismatches.note('a', True)
