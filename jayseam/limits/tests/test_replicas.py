"""Tests of the replicated buckets, alone and in the model."""

import functools
import math
import types

import pytest

from jayseam.core import rendezvous
from jayseam.limits import cells
from jayseam.limits import hubs
from jayseam.limits import messages
from jayseam.limits import models
from jayseam.limits import replicas

# Excess that operators tolerate in any window of this length: a fraction of
# rate and burst, and a number of calls.
WINDOW_S = 5.0
TOLERANCE = 0.25
SLACK_CALLS = 20.0

# Two workspaces over their rate and two within it.
LOADS = {
    'large': models.workspaces.Load(400.0, 400.0, 280.0),
    'small': models.workspaces.Load(30.0, 30.0, 15.0),
    'greedy': models.workspaces.Load(60.0, 60.0, 300.0),
    'little': models.workspaces.Load(5.0, 5.0, 25.0),
}


def _build(vm='vm-0', now=0.0, positions=4):
    strategy = replicas.ReplicatedStrategy(vm, 'u0', 'a', 1, now)
    strategy.set_preset(_preset(positions), 1, now)
    return strategy


def _build_with_member():
    """Returns a strategy that knows one other member of its zone."""
    strategy = _build()
    strategy.set_members([cells.Member('vm-1', 'u2', 7, 'a')])
    return strategy


def _preset(positions, rate_per_s=10.0, burst=10.0):
    zones = {0: 'a', 1: 'b'}
    return types.SimpleNamespace(
        workspaces={
            'w': types.SimpleNamespace(rate_per_s=rate_per_s, burst=burst)
        },
        upstreams={
            f'u{i}': types.SimpleNamespace(zone=zones[i % 2])
            for i in range(positions)
        },
    )


def _count_admitted(strategy, now):
    count = 0
    while strategy.admit('w', 1.0, now):
        count += 1
    return count


def _window_excess(times, load):
    """Returns how far the worst window exceeds the tolerated calls."""
    allowed = (load.rate_per_s * WINDOW_S + load.burst) * (
        1 + TOLERANCE
    ) + SLACK_CALLS
    times, first, worst = sorted(times), 0, 0
    for last, time in enumerate(times):
        while times[first] < time - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst - allowed


def test_spends_what_others_left():
    """Tokens that another member has spent can't be spent here."""
    strategy = _build_with_member()
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 0}), 9.5)
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 6}), 10.0)
    assert _count_admitted(strategy, 10.0) == 4


def test_counts_what_a_restarted_member_spends():
    """The totals of a new incarnation begin at zero."""
    strategy = _build_with_member()
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 50}), 1.0)
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 50}), 9.5)
    strategy.handle_message('vm-1', messages.Spent(8, {'w': 4}), 10.0)
    assert _count_admitted(strategy, 10.0) == 6


def test_a_new_node_is_not_charged_for_the_past():
    """Reports carry totals since a member's start, one workspace at a time."""
    strategy = replicas.ReplicatedStrategy('vm-0', 'u0', 'a', 90_000, 100.0)
    strategy.set_preset(_preset(4), 1, 100.0)
    strategy.set_members([cells.Member('vm-1', 'u2', 7, 'a')])
    strategy.handle_message('vm-1', messages.Spent(7, {}, {}, ['b']), 100.1)
    relayed = messages.Spent(7, {'w': 50}, {'w': 70}, ['b'])
    strategy.handle_message('vm-1', relayed, 100.4)
    assert _count_admitted(strategy, 100.5) >= 5


def test_a_member_that_comes_back_is_not_charged_for_the_past():
    """After a partition in which the member was considered dead."""
    strategy = _build()
    member = cells.Member('vm-1', 'u2', 7, 'a')
    strategy.set_members([member])
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 50}), 3.0)
    strategy.set_members([])
    strategy.set_members([member])
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 80}), 20.0)
    assert _count_admitted(strategy, 20.0) == 10


def test_a_fleet_that_starts_together_counts_its_first_calls():
    """Otherwise each member could spend the first tokens again."""
    strategy = _build_with_member()
    strategy.handle_message('vm-1', messages.Spent(7, {'w': 4}), 0.2)
    assert _count_admitted(strategy, 0.2) == pytest.approx(5 + 2 - 4, abs=1)


def test_relays_what_another_zone_spends():
    """A relay reports another zone's spending to its own zone only."""
    relay = _build()
    relay.set_members(
        [
            cells.Member('vm-1', 'u1', 7, 'b'),
            cells.Member('vm-2', 'u2', 7, 'a'),
        ]
    )
    relay.handle_message('vm-1', messages.Spent(7, {'w': 0}), 3.0)
    relay.handle_message('vm-1', messages.Spent(7, {'w': 5}), 3.1)
    sent = {out.vm: out.message for out in relay.poll(3.2)}
    assert sent['vm-2'].relayed == {'w': 5}
    assert sent['vm-2'].zones == ['b']
    assert sent['vm-1'].relayed == {}


def test_leaves_silent_members_their_part():
    """A node that hears from no member uses only its own part of the rate."""
    strategy = _build()
    strategy.poll(10.0)
    _count_admitted(strategy, 10.0)
    assert _count_admitted(strategy, 11.0) == pytest.approx(10.0 / 4, abs=1)


def test_refuses_with_spread_returns():
    """Calls that are refused together get different retry times."""
    strategy = _build()
    _count_admitted(strategy, 0.0)
    delays = [strategy.retry_after('w', 1.0) for _ in range(8)]
    assert len(set(delays)) == 8
    assert max(delays) - min(delays) < replicas.RETRY_SPREAD_S


@pytest.mark.parametrize('scenario', ['calm', 'node-death', 'zone-cut'])
@pytest.mark.parametrize('nodes', [12, 72])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stays_within_what_is_tolerated(scenario, nodes, seed):
    """No window may exceed the tolerance, with or without faults."""
    model = models.fleets.Model(seed, 'replicated', nodes, 3, LOADS)
    for node in model.nodes.values():
        node.strategy.set_tolerance(TOLERANCE)
        node.strategy.set_preset(model.preset, 1, model._local_time(node))
    end = models.scenarios.WARM_UP_S + 8.0
    model.schedule(
        models.scenarios.WARM_UP_S - 2.0, lambda: model.send_load(end)
    )
    model.run(models.scenarios.WARM_UP_S)
    models.scenarios.SCENARIOS[scenario](model)
    model.run(end + 1.0)
    for name, load in LOADS.items():
        assert _window_excess(model.tallies[name].admitted, load) <= 0, name


@pytest.mark.parametrize('nodes', [12, 72])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stays_within_when_two_zones_lose_each_other(nodes, seed):
    """Neither zone may use the part of a third zone that reaches both."""
    model = models.fleets.Model(seed, 'replicated', nodes, 3, LOADS)
    for node in model.nodes.values():
        node.strategy.set_tolerance(TOLERANCE)
        node.strategy.set_preset(model.preset, 1, model._local_time(node))
    end = models.scenarios.WARM_UP_S + 12.0
    model.schedule(
        models.scenarios.WARM_UP_S - 2.0, lambda: model.send_load(end)
    )
    model.run(models.scenarios.WARM_UP_S)
    models.faults.cut_bridge(model)
    model.schedule(models.scenarios.WARM_UP_S + 8.0, model.heal)
    model.run(end + 1.0)
    for name, load in LOADS.items():
        assert _window_excess(model.tallies[name].admitted, load) <= 0, name
    # All zones reach each other again, so no node is restricted to a part.
    for node in model.nodes.values():
        assert node.strategy.describe(model._local_time(node))['part'] == 1.0


@pytest.mark.parametrize('nodes', [12, 72])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_refuses_nobody_within_the_rate(seed, nodes):
    """Workspaces within their rate are admitted from the first call on."""
    model = models.fleets.Model(seed, 'replicated', nodes, 3, LOADS)
    model.schedule(1.0, lambda: model.send_load(9.0))
    model.run(10.0)
    assert not model.tallies['large'].refused
    assert not model.tallies['small'].refused


def _find_hubs(model):
    """Returns the hubs of the first zone of a model's fleet."""
    zone = min(model.zones.values())
    vms = [vm for vm, n in model.nodes.items() if n.member.zone == zone]
    return hubs.choose_hubs(zone, vms)


def _kill_first(model):
    model.kill(_find_hubs(model)[0])


def _kill_two(model):
    for vm in _find_hubs(model)[:2]:
        model.kill(vm)


def _replace_first(model):
    first = _find_hubs(model)[0]
    position = model.nodes[first].member.upstream
    model.kill(first)
    model.schedule(model.now + 0.5, lambda: model.start(first, position))


def _pause_first(model):
    model.pause(_find_hubs(model)[0], 2.5)


def _isolate_first(model):
    model.isolate(_find_hubs(model)[:1])
    model.schedule(model.now + 4.0, model.heal)


def _isolate_half_without_hubs(model):
    zone = min(model.zones.values())
    vms = [vm for vm, n in model.nodes.items() if n.member.zone == zone]
    model.isolate(sorted(set(vms) - set(_find_hubs(model)))[: len(vms) // 2])
    model.schedule(model.now + 4.0, model.heal)


_HUB_FAULTS = [
    _kill_first,
    _kill_two,
    _replace_first,
    _pause_first,
    _isolate_first,
    _isolate_half_without_hubs,
]


def _run_with_fault(seed, fault, nodes=72, n_zones=3):
    model = models.fleets.Model(seed, 'replicated', nodes, n_zones, LOADS)
    for node in model.nodes.values():
        node.strategy.set_tolerance(TOLERANCE)
        node.strategy.set_preset(model.preset, 1, model._local_time(node))
    end = models.scenarios.WARM_UP_S + 12.0
    model.schedule(
        models.scenarios.WARM_UP_S - 2.0, lambda: model.send_load(end)
    )
    model.run(models.scenarios.WARM_UP_S)
    fault(model)
    model.run(end + 1.0)
    return model


@pytest.mark.parametrize('fault', _HUB_FAULTS)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stays_within_when_hubs_fail(fault, seed):
    """What a hub doesn't report must not be spent again."""
    model = _run_with_fault(seed, fault)
    for name, load in LOADS.items():
        assert _window_excess(model.tallies[name].admitted, load) <= 0, name


def _restart_all(model):
    for vm, node in list(model.nodes.items()):
        position = node.member.upstream
        model.kill(vm)
        after_s = 1.0 + model.random.uniform(0.0, 0.4)
        model.schedule(
            model.now + after_s,
            functools.partial(model.start, vm, position),
        )


@pytest.mark.parametrize('nodes', [12, 72])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stays_within_when_the_fleet_restarts(seed, nodes):
    """Processes that start together must not spend what others have spent."""
    model = _run_with_fault(seed, _restart_all, nodes)
    for name, load in LOADS.items():
        assert _window_excess(model.tallies[name].admitted, load) <= 0, name


def _restart_in_a_bridge_cut(model):
    """Restarts all processes; two zones lose each other before they start."""
    _restart_all(model)
    model.schedule(model.now + 0.9, lambda: models.faults.cut_bridge(model))
    model.schedule(model.now + 7.0, model.heal)


def _kill_relays(model):
    """Kills the members to which the zones that are cut report."""
    for zone in sorted(set(model.zones.values()))[:2]:
        vms = [v for v, n in model.nodes.items() if n.member.zone == zone]
        model.kill(rendezvous.rank(zone, vms)[0])


def _kill_relays_in_a_bridge_cut(model):
    """Cuts two zones off from each other and then kills their relays."""
    models.faults.cut_bridge(model)
    model.schedule(model.now + 2.5, lambda: _kill_relays(model))
    model.schedule(model.now + 9.0, model.heal)


@pytest.mark.parametrize('n_zones', [3, 4])
@pytest.mark.parametrize(
    'fault', [_restart_in_a_bridge_cut, _kill_relays_in_a_bridge_cut]
)
@pytest.mark.parametrize('seed', range(1, 13))
def test_zone_that_was_never_heard_from_keeps_its_part(seed, fault, n_zones):
    """Both sides of a cut spent the parts of the zones that reach both."""
    model = _run_with_fault(seed, fault, 4 * n_zones, n_zones)
    for name, load in LOADS.items():
        assert _window_excess(model.tallies[name].admitted, load) <= 0, name


@pytest.mark.parametrize('fault', [_kill_first, _kill_two, _replace_first])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_next_hub_goes_on_at_once(fault, seed):
    """Nobody within the rate may be refused because hubs are lost."""
    model = _run_with_fault(seed, fault)
    assert not model.tallies['large'].refused
    assert not model.tallies['small'].refused


@pytest.mark.parametrize('amount', [math.inf, -math.inf, math.nan, -1.0, 1e300])
@pytest.mark.parametrize('field', ['own', 'relayed'])
def test_odd_amounts_are_refused_with_their_message(amount, field):
    """A hub would go on reporting a sum that isn't a number."""
    with pytest.raises(ValueError):
        messages.Spent(1, **{'own': {}, field: {'w': amount}})


def test_messages_of_a_member_do_not_grow_with_its_zone():
    """In a zone of 39 each member sent 42 reports each 0.4 s."""
    loads = {'small': models.workspaces.Load(30.0, 30.0, 15.0)}
    model = models.fleets.Model(1, 'replicated', 195, 5, loads)
    model.schedule(1.0, lambda: model.send_load(11.0))
    model.run(11.0)
    sent = sorted(node.sent / 11.0 for node in model.nodes.values())
    # One report to each hub each 0.4 s, and as many near a limit.
    per_period = 2 * hubs.HUBS_PER_ZONE
    assert sent[len(sent) // 2] <= per_period / replicas.FULL_PERIOD_S
    # Hubs send one to each member: three times 42 in a zone of 39.
    assert sum(sent) / len(sent) <= 2 * per_period / replicas.FULL_PERIOD_S


def test_a_fleet_that_has_just_started_has_its_tokens():
    """Members that were never heard from have spent nothing yet."""
    strategy = _build(now=100.0)
    for step in range(20):
        strategy.poll(100.0 + step / 10)
    assert _count_admitted(strategy, 102.0) == 10
