"""Experiment on more calls than the backend servers can run."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs
import gevent

from jayseam.bench import experiments
from jayseam.bench import fleets
from jayseam.bench import loadruns
from jayseam.core import clocks
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import plans

GOODPUT_LIMIT_PERCENT = 95.0
_LOAD_S = 4.0
_RAMP_S = 3.0
_RUN_MS = 40.0
_SLOTS = 4
_POSITIONS = 3
_CAPACITY_PER_S = _POSITIONS * _SLOTS * 1000 / _RUN_MS
# The others can take what the cold backend server doesn't.
_COLD_LOAD_PER_S = 0.6 * _CAPACITY_PER_S
_DOWN_S = (0.3, 0.0)
_BEFORE_RESTART_S = 1.5
_COLD = {'initial_slots': 1, 'duration_s': _RAMP_S, 'fall_over_s': 0.5}


@attrs.frozen
class _Restart:
    """A backend server that was restarted under load.

    Attributes:
      upstream: Its upstream.
      down_s: Seconds for which it refused connections.
      restarted_at: When it listened again, seconds of `clocks.read_now`.
      found: The load that ran meanwhile.
    """

    upstream: str
    down_s: float
    restarted_at: float
    found: loadruns.LoadRun


@experiments.experiments.register('overload')
def measure_overload(
    context: experiments.Context,
) -> Iterator[experiments.Row]:
    """Goodput at twice the capacity, and load on a cold backend server."""
    context.note(
        nodes=_POSITIONS,
        slots=_SLOTS,
        run_ms=_RUN_MS,
        capacity_per_s=_CAPACITY_PER_S,
        time_limit_ms=loadruns.DEADLINE_MS,
        in_time_ms=loadruns.PATIENCE_MS,
        cold_start='health says ready throughout; 1 to 4 slots in 3 s',
    )
    for label, node in (
        (experiments.AS_DESIGNED, {}),
        ('admission.ramp=false', {'admission': {'ramp': False}}),
    ):
        plan, key = _plan_overload(context.seed, node)
        with clusters.Cluster(plan) as cluster:
            fleets.wait_admitting(cluster, '/service-01', key)
            gevent.sleep(_RAMP_S)
            if not node:
                yield from _overload(cluster, key, context.seed)
            yield from _restart_cold(label, cluster, key, context.seed)


def _plan_overload(
    seed: int, node: Mapping[str, Any]
) -> tuple[plans.ClusterPlan, str]:
    deployment = samples.build_large(
        _POSITIONS, 1, 3, n_workspaces=1, seed=seed, ramp=model.Ramp(1, _RAMP_S)
    )
    plan = plans.plan_deployment(
        deployment,
        node=node,
        backend={
            'service_time': {'kind': 'fixed', 'mean_ms': _RUN_MS},
            'cold_start': _COLD,
        },
    )
    plan = fleets.change_plan(plan, slots=_SLOTS, unlimited=True)
    key = next(iter(deployment.plaintexts.values()))
    return plan, key


def _offer(
    cluster: clusters.Cluster, key: str, rate_per_s: float, seed: int
) -> loadruns.LoadRun:
    return loadruns.run_load(
        {
            'targets': cluster.targets(),
            'duration_s': _LOAD_S,
            'seed': seed,
            'workspaces': [
                {
                    'name': 'workspace-00001',
                    'key': key,
                    'rate_per_s': rate_per_s,
                    'connections': 600,
                    'routes': [
                        {
                            'path': '/service-01',
                            'timeout_ms': loadruns.DEADLINE_MS,
                        }
                    ],
                }
            ],
        }
    )


def _overload(
    cluster: clusters.Cluster, key: str, seed: int
) -> Iterator[experiments.Row]:
    goodput = {}
    for factor in (1, 2):
        cluster.collect_peaks(reset=True)
        rate_per_s = factor * _CAPACITY_PER_S
        found = _offer(cluster, key, rate_per_s, seed)
        right = sum(loadruns.is_in_time(record) for record in found.records)
        goodput[factor] = right / _LOAD_S
        yield experiments.Row(
            f'goodput at {factor} times the capacity',
            goodput[factor],
            'calls/s',
            None,
            found.conditions,
        )
    yield experiments.Row(
        'goodput at twice the capacity, of that at capacity',
        100 * goodput[2] / goodput[1],
        '%',
        experiments.at_least(GOODPUT_LIMIT_PERCENT),
    )
    peaks = cluster.collect_peaks()
    over = max(p['in_flight'] - _SLOTS for p in peaks.values())
    yield experiments.Row(
        'peak in flight over the slots',
        max(0, over),
        'calls',
        experiments.at_most(0),
        {'overloads': {k: p['overloads'] for k, p in peaks.items()}},
    )


def _restart_cold(
    label: str, cluster: clusters.Cluster, key: str, seed: int
) -> Iterator[experiments.Row]:
    """Restarts a backend server under load at capacity, twice.

    Its health endpoint says ``ready`` all the time. First it is down for a
    moment, as a process that restarts is; then it takes connections again at
    once.
    """
    upstreams = [entry['name'] for entry in cluster.preset['upstreams']]
    for upstream, down_s in zip(upstreams, _DOWN_S):
        cluster.collect_peaks(reset=True)
        restart = _restart_under_load(cluster, upstream, down_s, key, seed)
        yield from _report_restart(label, cluster, restart)
        gevent.sleep(_RAMP_S)


def _restart_under_load(
    cluster: clusters.Cluster,
    upstream: str,
    down_s: float,
    key: str,
    seed: int,
) -> _Restart:
    cluster.control_backend(upstream, 'health', state='ready')
    running = gevent.spawn(_offer, cluster, key, _COLD_LOAD_PER_S, seed)
    gevent.sleep(_BEFORE_RESTART_S)
    cluster.control_backend(upstream, 'stop')
    gevent.sleep(down_s)
    restarted_at = clocks.read_now()
    cluster.control_backend(upstream, 'start')
    return _Restart(upstream, down_s, restarted_at, running.get())


def _report_restart(
    label: str, cluster: clusters.Cluster, restart: _Restart
) -> Iterator[experiments.Row]:
    found, upstream = restart.found, restart.upstream
    falls = cluster.collect_peaks()[upstream]['falls']
    runs = [r for r in cluster.collect_runs() if r['backend'] == upstream]
    after = [r for r in found.records if r.scheduled > restart.restarted_at]
    name = f'{label}, cold start after {restart.down_s:g} s'
    designed = label == experiments.AS_DESIGNED
    yield experiments.Row(
        f'{name}, peak over the ramp',
        # A backend server refuses the first call over its ramp and falls
        # over, so no run shows it.
        max(float(falls > 0), find_ramp_excess(runs, restart.restarted_at)),
        'calls',
        experiments.at_most(0) if designed else None,
        {'falls': falls, **found.conditions, 'load_per_s': _COLD_LOAD_PER_S},
    )
    yield experiments.Row(
        f'{name}, answered in time',
        100 * sum(map(loadruns.is_in_time, after)) / len(after),
        '%',
    )


def find_ramp_excess(
    runs: Sequence[Mapping[str, Any]], restarted_at: float
) -> float:
    """Returns the most runs in flight over the ramp at any start of a run.

    >>> run = {'started': 10.1, 'ended': 10.2}
    >>> round(find_ramp_excess([run, run], 10.0), 1)
    0.9

    Args:
      runs: Runs of the backend server.
      restarted_at: Start of the ramp; earlier runs don't count.
    """
    later = [r for r in runs if r['started'] >= restarted_at]
    worst = 0.0
    for run in later:
        start = run['started']
        in_flight = sum(
            other['started'] <= start
            and (other['ended'] is None or other['ended'] > start)
            for other in later
        )
        grown = min(1.0, (start - restarted_at) / _RAMP_S)
        capacity = 1 + (_SLOTS - 1) * grown
        worst = max(worst, in_flight - capacity)
    return worst
