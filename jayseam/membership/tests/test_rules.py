"""Tests of the parts without I/O: records, views, detection, outbox etc."""

import functools

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from jayseam.membership import detection
from jayseam.membership import messages
from jayseam.membership import neighbourhoods
from jayseam.membership import outbox
from jayseam.membership import reconciliation
from jayseam.membership import records
from jayseam.membership import topology
from jayseam.membership import views
from jayseam.membership.tests import members

_small = strategies.integers(0, 2)


def build_records(*vms):
    """Returns a strategy of records that often have equal fields."""
    return strategies.builds(
        members.create_record,
        strategies.sampled_from(vms),
        incarnation=_small,
        sequence=_small,
        state=strategies.sampled_from(records.STATES),
        backend=strategies.sampled_from(records.BACKEND_STATES),
        zone=strategies.sampled_from(['zone-1', 'zone-2']),
    )


_one_vm = build_records('a')
_many = strategies.lists(build_records('a', 'b', 'c', 'd'), max_size=12)


@hypothesis.given(_one_vm, _one_vm, _one_vm)
def test_merge_is_a_semilattice(first, second, third):
    """Merging is commutative, associative and idempotent.

    Otherwise views would depend on the order and number of deliveries.
    """
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
    """Two nodes that received the same records have equal digests."""
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
    """A single pull leaves both sides with the same view."""
    own, other = views.create_view(ours, 0.0), views.create_view(theirs, 0.0)
    buckets = list(range(views.BUCKET_COUNT))
    known = reconciliation.collect_hashes(own, buckets)
    reply = reconciliation.compare_records(
        other, messages.PullRecords(buckets, known)
    )
    newer = reconciliation.choose_newer(own, reply)
    own, _ = own.update(reply.records, 1.0)
    other, _ = other.update(newer, 1.0)
    assert own.digest == other.digest
    assert own.buckets == other.buckets


def test_view_lookups():
    """Lookups leave out dead members and prefer the newer incarnation."""
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

    assert (
        view.find_holder('u-1').vm == 'new' and view.find_holder('u-9') is None
    )
    assert [r.vm for r in view.list_upstream_members('u-1')] == ['new', 'old']
    assert names(view.list_live_in_zone('zone-1')) == {'old', 'new', 'drained'}
    assert names(view.list_zone_members('zone-1')) == {
        'old',
        'new',
        'drained',
        'gone',
    }
    assert names(view.list_service_members('x')) == {'drained'}
    assert [r.vm for r in view.list_eligible(11.0)] == ['new', 'far', 'slow']
    assert [r.vm for r in view.list_eligible(14.0)] == ['new', 'far']
    after, changes = view.update([dead], 20.0)
    assert changes == (dead,) and names(after.list_zone_members('zone-2')) == {
        'slow'
    }
    assert (
        after.state_since['far'] == 20.0
        and view.members['far'].state == 'alive'
    )
    assert 'far' not in after.without({'far'}).members
    again, _ = after.without({'far'}).update([dead], 21.0)
    assert 'far' not in again.members, 'a removed member must not come back'


def run_observer(gaps, responding):
    """Returns the verdicts of an observer that ticks after each gap.

    At each step the verdicts come before the signs of life, which is the worst
    order after a pause.
    """
    now, heartbeat_at, found = 0.0, 0.0, []
    detector = detection.set_monitored(
        detection.create_detector(now), 'ab', now
    )
    for gap in gaps:
        now += gap
        detector = detection.tick(detector, now)
        detector, verdicts = detection.evaluate(detector, now)
        found += [(verdict.kind, verdict.vm, now) for verdict in verdicts]
        if now - heartbeat_at >= 1.0:
            heartbeat_at = now
            for vm in responding:
                detector = detection.record_sign_of_life(detector, vm, now)
    return found


_gaps = strategies.lists(
    strategies.sampled_from([0.1, 0.1, 0.1, 0.29, 0.31, 1.0, 5.0, 3600.0]),
    max_size=120,
)


@hypothesis.given(_gaps)
def test_paused_observer_condemns_nobody(gaps):
    """Pauses of the observer never make a responding member suspect."""
    assert not run_observer(gaps, responding='ab')


@hypothesis.given(strategies.lists(strategies.floats(0.05, 0.25), min_size=99))
def test_silent_member_is_found(gaps):
    """A silent member becomes suspect, then dead, within the timeouts."""
    found = run_observer(gaps, responding='a')
    kinds = [kind for kind, vm, _ in found if vm == 'b']
    times = {kind: now for kind, _, now in found}
    assert kinds == ['suspect', 'probe', 'dead'] and {v[1] for v in found} == {
        'b'
    }
    assert 1.5 <= times['suspect'] <= 1.75
    assert 1.5 <= times['dead'] - times['suspect'] <= 1.75


def test_slow_observer_doubles_the_limits():
    """After a missed tick both timeouts are 3 s."""
    found = run_observer([0.5] + [0.1] * 70, responding='a')
    times = {kind: now for kind, vm, now in found if vm == 'b'}
    assert 3.4 <= times['suspect'] <= 3.7
    # The period of doubled timeouts ends 5.5 s after the start.
    assert 5.4 <= times['dead'] <= 6.7


def test_member_reached_by_others_only_is_not_suspected_again():
    """After an indirect sign of life, a probe precedes the next suspicion."""
    detector = detection.set_monitored(detection.create_detector(0.0), 'a', 0.0)
    detector = detection.record_sign_of_life(detector, 'a', 1.0, indirect=True)
    detector, verdicts = detection.evaluate(detector, 1.8)
    assert [verdict.kind for verdict in verdicts] == ['probe']
    detector, verdicts = detection.evaluate(detector, 2.4)
    assert not verdicts
    _, verdicts = detection.evaluate(detector, 2.6)
    assert [verdict.kind for verdict in verdicts] == ['suspect', 'probe']


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(['z1', 'z2', 'z3', 'z4']),
        strategies.integers(0, 6),
    )
)
def test_neighbours_cover_every_member(sizes):
    """Each member is monitored, and nodes have neighbours in other zones."""
    zones = {z: [f'{z}-{i}' for i in range(n)] for z, n in sizes.items()}
    chosen = {
        vm: topology.find_neighbours(vm, zone, zones)
        for zone, vms in zones.items()
        for vm in vms
    }
    for zone, vms in zones.items():
        for vm in vms:
            own = [other for other in chosen[vm] if other in vms]
            monitors = [o for o in vms if vm in chosen[o]]
            assert vm not in chosen[vm]
            assert len(own) == len(monitors) == min(2, len(vms) - 1)
            others = {other.split('-')[0] for other in chosen[vm]} - {zone}
            filled = sum(bool(v) for z, v in zones.items() if z != zone)
            assert len(others) == min(2, filled)


@pytest.mark.parametrize('removed', range(1, 6))
def test_next_member_replaces_a_removed_neighbour(removed):
    """The next member on the ring takes the place of a failed neighbour."""
    vms = [f'vm-{i}' for i in range(8)]
    ring = topology.order_ring(vms)
    remaining = [ring[0]] + ring[1 + removed :]
    assert topology.find_successors(ring[0], remaining) == remaining[1:3]
    counts = functools.reduce(
        lambda total, vm: total + len(topology.find_successors(vm, remaining)),
        remaining,
        0,
    )
    assert counts == len(remaining) * min(2, len(remaining) - 1)


def test_outbox_spaces_its_flushes():
    """Changes within one interval share a flush.

    Otherwise many members that start at once would cost a message each.
    """
    box = outbox.Outbox()
    first, second = members.create_record('a'), members.create_record('b')
    box.add([first], 'x')
    assert box.schedule_flush(10.0) == 0.0 and box.schedule_flush(10.0) is None
    assert box.flush(10.0) == (outbox.Change(first, 'x'),)
    assert not box.flush(10.0)
    newer = attrs.evolve(first, sequence=5)
    box.add([first, second], 'x')
    box.add([newer], None)
    assert box.schedule_flush(10.02) == pytest.approx(
        outbox.UPDATE_INTERVAL_S - 0.02
    )
    assert set(box.flush(10.05)) == {
        outbox.Change(newer, None),
        outbox.Change(second, 'x'),
    }


def test_updates_are_not_sent_back_or_spread_by_everyone():
    """Changes are forwarded to near members only, and not to their sender.

    If every node forwarded every change, the traffic would flood the fleet.
    """
    own, other = members.create_record('own'), members.create_record('other')
    changes = [outbox.Change(other, 'x'), outbox.Change(own, None)]
    assert outbox.choose_records(changes, 'near', True) == [own, other]
    assert outbox.choose_records(changes, 'far', False) == [own]
    assert outbox.choose_records(changes, 'x', True) == [own]


def _list_receivers(n_zones, zone_size):
    """Returns the VMs to which each node of a fleet forwards, and all zones."""
    view = views.create_view(
        [
            members.create_record(f'z{zone}-{number}', zone=f'z{zone}')
            for zone in range(n_zones)
            for number in range(zone_size)
        ],
        0.0,
    )
    found = {
        vm: neighbourhoods.find_neighbourhood(view, record)
        for vm, record in view.members.items()
    }
    near = {vm: set(found[vm].neighbours) for vm in found}
    for vm, neighbourhood in found.items():
        for neighbour in neighbourhood.neighbours:
            near[neighbour].add(vm)
    receivers = {
        vm: neighbourhoods.list_forward_receivers(
            view, view.members[vm], near[vm], found[vm].is_carrier
        )
        for vm in found
    }
    return receivers, {vm: r.zone for vm, r in view.members.items()}


def test_changes_cross_zones_through_a_few_carriers():
    """At 195 nodes a change crossed zones some 780 times."""
    receivers, zones = _list_receivers(5, 39)
    crossing = [
        (sender, vm)
        for sender, vms in receivers.items()
        for vm in vms
        if zones[vm] != zones[sender]
    ]
    assert len({sender for sender, _ in crossing}) <= 5 * 4
    # About two neighbours and two followers each.
    assert len(crossing) <= 5 * 4 * 6
    assert {zones[vm] for _, vm in crossing} == set(zones.values())


@pytest.mark.parametrize('size', [(5, 39), (3, 4), (2, 1), (1, 9)])
def test_changes_reach_everyone_from_everywhere(size):
    """Within 30 hops of 50 ms each, also without any open link."""
    receivers, _ = _list_receivers(*size)
    for first in receivers:
        reached, newest, hops = {first}, {first}, 0
        while newest:
            newest = set().union(*map(receivers.get, newest)) - reached
            reached |= newest
            hops += bool(newest)
        assert reached == set(receivers)
        assert hops * outbox.UPDATE_INTERVAL_S <= 1.5


def test_updates_are_cut_into_messages():
    """Updates are split, because an oversize frame would close the link."""
    record = members.create_record('a')
    sizes = [len(b) for b in outbox.split_batches([record] * 600)]
    assert sizes == [256, 256, 88] and not list(outbox.split_batches([]))


def test_only_a_lasting_difference_is_pulled():
    """A difference in only one heartbeat is ignored.

    Otherwise each update in flight would cost a pull.
    """
    mismatches = reconciliation.MismatchCounter()
    assert not mismatches.record('a', True)
    assert not mismatches.record('a', False)
    assert not mismatches.record('a', True)
    assert not mismatches.record('b', True)
    assert mismatches.record('a', True)
    mismatches.reset('a')
    assert not mismatches.record('a', True)
