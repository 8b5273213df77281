"""Tests of the strategies in the model of a fleet."""

import pytest

from jayseam.limits import models
from jayseam.limits import strategies

LOADS = {
    'full': models.workspaces.Load(40.0, 40.0, 30.0),
    'small': models.workspaces.Load(20.0, 10.0, 60.0),
    'bursty': models.workspaces.Load(100.0, 10.0, 70.0),
}


def _run_faults(seed, strategy, nodes, zones, weighting='none'):
    """Runs a fleet under faults; returns its model and worst token excess."""
    model = models.fleets.Model(
        seed,
        strategy,
        nodes,
        zones,
        LOADS,
        delays=0.02,
        weighting=weighting,
    )
    excess = [0.0]

    def check():
        for name, load in LOADS.items():
            tokens = max(model.spendable(name), model.backing(name))
            excess.append(tokens - load.burst)
        model.schedule(model.now + 0.05, check)

    model.schedule(6.0, check)
    model.send_load(until=24.0)
    model.run(6.0)
    models.faults.inject_faults(model, until=20.0)
    for second in range(7, 24, 2):
        name = model.random.choice(sorted(LOADS))
        model.schedule(second, lambda name=name: model.send_burst(name, 90))
    model.run(25.0)
    return model, max(excess)


@pytest.mark.parametrize('seed', range(8))
def test_escrow_keeps_the_bound_under_faults(seed):
    """No kill, restart, pause, delay or cut may break the window bound."""
    model, excess = _run_faults(
        seed, 'escrow', nodes=3 + seed % 4, zones=1 + seed % 3
    )
    assert model.overshoot() <= 1e-6
    assert excess <= 1e-6
    assert sum(len(t.admitted) for t in model.tallies.values()) > 100


@pytest.mark.parametrize('seed', range(4))
def test_escrow_keeps_the_bound_under_faults_with_zone_weights(seed):
    """Shares that differ between zones must not exceed rate and burst."""
    model, excess = _run_faults(
        seed, 'escrow', nodes=3 + seed, zones=2 + seed % 2, weighting='single'
    )
    assert model.overshoot() <= 1e-6
    assert excess <= 1e-6
    assert sum(len(t.admitted) for t in model.tallies.values()) > 100


def test_owner_breaks_the_bound_in_a_partition():
    """With `owner`, both sides of a cut have an owner; `escrow` avoids this."""
    owner = models.scenarios.run_scenario(1, 'owner', 'zone-cut')
    escrow = models.scenarios.run_scenario(1, 'escrow', 'zone-cut')
    assert owner.overshoot > 10.0
    assert escrow.overshoot == 0.0
    assert escrow.wrongful < owner.wrongful


def test_escrow_serves_skewed_load_that_static_refuses():
    """Calls within the rate must be admitted at whichever node they arrive."""
    escrow = models.scenarios.run_scenario(2, 'escrow', 'calm')
    static = models.scenarios.run_scenario(2, 'static', 'calm')
    assert escrow.wrongful < 0.001
    assert static.wrongful > 0.05
    assert escrow.wait_mean_ms < 1.0
    assert escrow.sent_bytes < 4000


def test_small_bursts_at_high_load_are_served():
    """Backoff and unreported tokens must not keep buckets from accruing."""
    loads = {
        'large': models.workspaces.Load(400.0, 100.0, 340.0),
        'tiny': models.workspaces.Load(20.0, 5.0, 14.0),
    }
    calm = models.scenarios.run_scenario(1, 'escrow', 'calm', loads=loads)
    assert calm.wrongful < 0.01
    death = models.scenarios.run_scenario(
        1, 'escrow', 'node-death', loads=loads
    )
    assert death.wrongful < 0.05


@pytest.mark.parametrize('weighting', ['real', 'rotated'])
@pytest.mark.parametrize('seed', range(1, 4))
def test_zone_weights_serve_skewed_load_in_a_cut(seed, weighting):
    """Equal shares refuse calls in the zone in which most calls arrive.

    Zone weights that are off by a quarter must also prevent this.
    """
    plain = models.scenarios.run_scenario(seed, 'escrow', 'zone-cut')
    result = models.scenarios.run_scenario(
        seed, 'escrow', 'zone-cut', weighting=weighting
    )
    assert plain.wrongful > 0.02
    assert result.wrongful < 0.005
    assert result.overshoot == 0.0


@pytest.mark.parametrize('weighting', models.weightings.registry.list_names())
def test_zone_weights_change_nothing_without_a_cut(weighting):
    """Entries draw from all cells, so wrong weights must refuse nothing."""
    result = models.scenarios.run_scenario(
        2, 'escrow', 'calm', weighting=weighting
    )
    assert result.wrongful < 0.001
    assert result.overshoot == 0.0


@pytest.mark.parametrize('seed', range(3))
def test_death_of_an_owner_refuses_few(seed):
    """Other cells must supply entries until the owner's leases have ended."""
    result = models.scenarios.run_scenario(seed, 'escrow', 'node-death')
    assert result.wrongful < 0.02


def _measure_refusals(model, start, end):
    """Returns the refused fraction of the calls within the rate."""
    offered = refused = 0
    for name, load in model.loads.items():
        if load.offered_per_s <= load.rate_per_s:
            tally = model.tallies[name]
            offered += sum(start <= t < end for t in tally.offered)
            refused += sum(start <= t < end for t in tally.refused)
    return refused / offered


@pytest.mark.parametrize('seed', range(1, 4))
def test_refusals_end_soon_after_links_were_silent(seed):
    """Shares must not stay with members that considered the owner silent.

    All links are silent for 2 s, the time until links detect the failure and
    are replaced. All nodes that were cut off then consider the owner silent,
    and the first to request a share would keep it for the length of a lease.
    """
    model = models.fleets.Model(seed, 'escrow')
    model.send_load(until=17.0)
    model.run(8.0)
    model.silence(2.0)
    model.run(18.0)
    assert _measure_refusals(model, 8.5, 9.5) > 0.3
    assert _measure_refusals(model, 11.0, 13.0) < 0.02
    assert _measure_refusals(model, 13.0, 17.0) < 0.001
    assert model.overshoot() == 0.0


def test_fleet_restart_recovers_without_excess():
    """A restart of all processes must neither exceed the limits nor stall."""
    model = models.fleets.Model(5, 'escrow', nodes=6, zones=3, loads=LOADS)
    model.send_load(until=24.0)
    model.run(10.0)
    for vm in list(model.nodes):
        upstream = model.nodes[vm].member.upstream
        model.kill(vm)
        model.schedule(10.5, lambda vm=vm, u=upstream: model.start(vm, u))
    model.run(25.0)
    assert model.overshoot() == 0.0
    late = [t for t in model.tallies['full'].admitted if t > 18.0]
    assert len(late) > 0.9 * 30.0 * 6.0


def test_idle_workspaces_cost_no_messages():
    """Traffic without calls must not grow with the number of workspaces."""
    sizes = []
    for count in (1, 50):
        loads = {
            f'w{i}': models.workspaces.Load(10.0, 10.0, 1.0)
            for i in range(count)
        }
        model = models.fleets.Model(1, 'escrow', nodes=4, zones=1, loads=loads)
        model.run(20.0)
        before = sum(n.sent_bytes for n in model.all_nodes())
        model.run(30.0)
        sizes.append(sum(n.sent_bytes for n in model.all_nodes()) - before)
    assert sizes[1] <= 1.05 * sizes[0]


def test_unknown_strategy_is_named():
    """The error for an unknown strategy lists exactly these names."""
    assert strategies.registry.list_names() == [
        'escrow',
        'owner',
        'replicated',
        'static',
    ]
