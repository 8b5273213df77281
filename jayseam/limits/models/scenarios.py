"""Scenarios of the model and their measurements."""

import types
from collections.abc import Mapping, Sequence

import attrs

from jayseam.limits import share_leases
from jayseam.limits import strategies
from jayseam.limits.models import faults
from jayseam.limits.models import fleets
from jayseam.limits.models import measures
from jayseam.limits.models import workspaces

WARM_UP_S = 8.0

SCENARIOS = types.MappingProxyType(
    {
        'calm': faults.do_nothing,
        'node-death': faults.kill_owner,
        'zone-cut': faults.cut_zone,
    }
)


@attrs.frozen
class Result:
    """Measurements of one strategy in one scenario.

    Attributes:
      strategy: Name of the strategy.
      scenario: Name of the scenario.
      weighting: Name of the weighting that determines the zone weights.
      nodes: Number of positions.
      calls: Calls in the measured period of workspaces that stay within their
        rate.
      overshoot: Largest excess over ``burst + rate * w`` in any window of the
        whole run, in calls, over all workspaces.
      wrongful: Fraction of these calls that were refused.
      unavoidable: Fraction of these calls that would be refused if each side of
        a cut had one bucket with the shares of its positions, full at the cut.
      greedy_served: Admitted calls of workspaces over their rate, as a fraction
        of the calls that a single bucket would have admitted.
      lost_per_s: Tokens that expired unspent, per second, in the whole fleet.
      wait_mean_ms: Mean wait of admitted calls within the rate.
      wait_p99_ms: 99th percentile of this wait.
      messages: Messages sent per node and second, mean.
      sent_bytes: Bytes sent per node and second, mean.
      peak_bytes: Bytes sent and received per second by the busiest node.
    """

    strategy: str
    scenario: str
    weighting: str
    nodes: int
    calls: int
    overshoot: float
    wrongful: float
    unavoidable: float
    greedy_served: float
    lost_per_s: float
    wait_mean_ms: float
    wait_p99_ms: float
    messages: float
    sent_bytes: float
    peak_bytes: float


def run_scenario(
    seed: int,
    strategy: str,
    scenario: str,
    nodes: int = 12,
    zones: int = 3,
    loads: Mapping[str, workspaces.Load] = workspaces.DEFAULT_LOADS,
    duration_s: float = 10.0,
    weighting: str = 'none',
) -> Result:
    """Runs one strategy in one scenario and measures it.

    Args:
      seed: Seed of the model.
      strategy: Name of the strategy.
      scenario: One of `SCENARIOS`. Its fault occurs at the start of the
        measured period, `WARM_UP_S` after the start of the fleet.
      nodes: Number of positions.
      zones: Number of availability zones.
      loads: Load by workspace.
      duration_s: Length of the measured period.
      weighting: Name of the weighting; see `weightings`.
    """
    model = fleets.Model(
        seed, strategy, nodes, zones, loads, weighting=weighting
    )
    end = WARM_UP_S + duration_s
    model.schedule(WARM_UP_S - 2.0, lambda: model.send_load(end))
    model.run(WARM_UP_S)
    before = {
        id(n): (n.sent, n.sent_bytes, n.received_bytes)
        for n in model.all_nodes()
    }
    expired_tokens = sum(
        n.strategy.count_expired_tokens() for n in model.all_nodes()
    )
    SCENARIOS[scenario](model)
    model.run(end + 1.0)
    expired_tokens = (
        sum(n.strategy.count_expired_tokens() for n in model.all_nodes())
        - expired_tokens
    )
    traffic = [
        [a - b for a, b in zip(now, before[id(n)])]
        for n in model.all_nodes()
        for now in [(n.sent, n.sent_bytes, n.received_bytes)]
    ]
    return _summarise(
        model,
        strategy,
        scenario,
        weighting,
        traffic,
        expired_tokens,
        duration_s,
    )


def _count_unavoidable(model: fleets.Model, scenario: str) -> int:
    """Returns how many calls exceed the shares on their side of a cut."""
    zones = sorted(set(model.zones.values()))
    sides = [zones]
    if scenario == 'zone-cut':
        sides = [zones[:1], zones[1:]]
    shares = {
        upstream: share_leases.compute_shares(model.preset, upstream)
        for upstream in model.zones
    }
    unavoidable = 0
    for name, load in model.loads.items():
        if load.offered_per_s > load.rate_per_s:
            continue
        tally = model.tallies[name]
        for side in sides:
            side_shares = [
                shares[upstream][name]
                for upstream, zone in model.zones.items()
                if zone in side
            ]
            times = [
                time
                for time, zone in zip(tally.offered, tally.zones)
                if zone in side and time >= WARM_UP_S
            ]
            unavoidable += len(times) - measures.count_conforming(
                times,
                sum(share.rate_per_s for share in side_shares),
                sum(share.burst for share in side_shares),
            )
    return unavoidable


def _summarise(
    model: fleets.Model,
    strategy: str,
    scenario: str,
    weighting: str,
    traffic: list[list[int]],
    expired_tokens: float,
    duration_s: float,
) -> Result:
    calls = refused = served = conforming = 0
    waits: list[float] = []
    for name, load in model.loads.items():
        tally = model.tallies[name]
        if load.offered_per_s > load.rate_per_s:
            conforming += measures.count_conforming(
                tally.offered, load.rate_per_s, load.burst
            )
            served += len(tally.admitted)
            continue
        calls += sum(t >= WARM_UP_S for t in tally.offered)
        refused += sum(t >= WARM_UP_S for t in tally.refused)
        pairs = zip(tally.admitted, tally.waits)
        waits += [wait for time, wait in pairs if time >= WARM_UP_S]
    unavoidable = _count_unavoidable(model, scenario)
    waits.sort()
    count = len(traffic)
    return Result(
        strategy,
        scenario,
        weighting,
        len(model.zones),
        calls,
        overshoot=round(model.overshoot(), 3),
        wrongful=round(refused / max(1, calls), 5),
        unavoidable=round(unavoidable / max(1, calls), 5),
        greedy_served=round(served / max(1, conforming), 3),
        lost_per_s=round(expired_tokens / duration_s, 3),
        wait_mean_ms=round(1e3 * sum(waits) / max(1, len(waits)), 3),
        wait_p99_ms=round(1e3 * waits[int(0.99 * len(waits))], 2),
        messages=round(sum(t[0] for t in traffic) / count / duration_s, 1),
        sent_bytes=round(sum(t[1] for t in traffic) / count / duration_s),
        peak_bytes=round(max(t[1] + t[2] for t in traffic) / duration_s),
    )


def compare_strategies(
    seed: int,
    nodes: int = 12,
    zones: int = 3,
    loads: Mapping[str, workspaces.Load] = workspaces.DEFAULT_LOADS,
    duration_s: float = 10.0,
    names: Sequence[str] | None = None,
    weighting: str = 'none',
) -> list[Result]:
    """Runs strategies in every scenario with the same load.

    Args:
      seed: Seed of each model.
      nodes: Number of positions.
      zones: Number of availability zones.
      loads: Load by workspace.
      duration_s: Length of the measured period.
      names: Names of the strategies; None for all.
      weighting: Name of the weighting; see `weightings`.
    """
    return [
        run_scenario(
            seed, name, scenario, nodes, zones, loads, duration_s, weighting
        )
        for scenario in SCENARIOS
        for name in names or strategies.registry.list_names()
    ]
