"""Experiment on load above the capacity of the backend servers."""

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
_SERVICE_TIME_MS = 40.0
_SLOTS = 4
_N_UPSTREAMS = 3
_CAPACITY_PER_S = _N_UPSTREAMS * _SLOTS * 1000 / _SERVICE_TIME_MS
# Low enough for the other backend servers to run what a cold one refuses.
_COLD_LOAD_PER_S = 0.6 * _CAPACITY_PER_S
_DOWNTIMES_S = (0.3, 0.0)
_BEFORE_RESTART_S = 1.5
_COLD_START = {'initial_slots': 1, 'duration_s': _RAMP_S, 'fall_over_s': 0.5}


@attrs.frozen
class _Restart:
    """A backend server that was restarted under load.

    Attributes:
      upstream: Upstream of the backend server.
      down_s: Seconds for which the server refused connections.
      restarted_at: Time at which the server listened again, in seconds of
        `clocks.read_now`.
      load_run: The load that ran meanwhile.
    """

    upstream: str
    down_s: float
    restarted_at: float
    load_run: loadruns.LoadRun


@experiments.registry.register('overload')
def measure_overload(
    context: experiments.Context,
) -> Iterator[experiments.Row]:
    """Goodput at twice the capacity, and load on a cold backend server."""
    context.add_conditions(
        nodes=_N_UPSTREAMS,
        slots=_SLOTS,
        run_ms=_SERVICE_TIME_MS,
        capacity_per_s=_CAPACITY_PER_S,
        time_limit_ms=loadruns.DEADLINE_MS,
        in_time_ms=loadruns.CALLER_TIMEOUT_MS,
        cold_start='health says ready throughout; 1 to 4 slots in 3 s',
    )
    for label, settings in (
        (experiments.DEFAULT_SETTINGS, {}),
        ('admission.ramp=false', {'admission': {'ramp': False}}),
    ):
        plan, key = _plan_overload(context.seed, settings)
        with clusters.Cluster(plan) as cluster:
            fleets.wait_admitting(cluster, '/service-01', key)
            gevent.sleep(_RAMP_S)
            if not settings:
                yield from _measure_goodput(cluster, key, context.seed)
            yield from _restart_cold(label, cluster, key, context.seed)


def _plan_overload(
    seed: int, settings: Mapping[str, Any]
) -> tuple[plans.ClusterPlan, str]:
    deployment = samples.build_large(
        _N_UPSTREAMS,
        1,
        3,
        n_workspaces=1,
        seed=seed,
        ramp=model.Ramp(1, _RAMP_S),
    )
    plan = plans.plan_deployment(
        deployment,
        node=settings,
        backend={
            'service_time': {'kind': 'fixed', 'mean_ms': _SERVICE_TIME_MS},
            'cold_start': _COLD_START,
        },
    )
    plan = fleets.override_limits(plan, slots=_SLOTS, unlimited=True)
    key = next(iter(deployment.plaintexts.values()))
    return plan, key


def _run_load(
    cluster: clusters.Cluster, key: str, rate_per_s: float, seed: int
) -> loadruns.LoadRun:
    return loadruns.run_load(
        {
            'targets': cluster.list_targets(),
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


def _measure_goodput(
    cluster: clusters.Cluster, key: str, seed: int
) -> Iterator[experiments.Row]:
    goodput = {}
    for factor in (1, 2):
        cluster.collect_peaks(reset=True)
        rate_per_s = factor * _CAPACITY_PER_S
        load_run = _run_load(cluster, key, rate_per_s, seed)
        n_in_time = sum(
            loadruns.is_in_time(record) for record in load_run.records
        )
        goodput[factor] = n_in_time / _LOAD_S
        yield experiments.Row(
            f'goodput at {factor} times the capacity',
            goodput[factor],
            'calls/s',
            None,
            load_run.conditions,
        )
    yield experiments.Row(
        'goodput at twice the capacity, of that at capacity',
        100 * goodput[2] / goodput[1],
        '%',
        experiments.at_least(GOODPUT_LIMIT_PERCENT),
    )
    peaks = cluster.collect_peaks()
    excess = max(p['in_flight'] - _SLOTS for p in peaks.values())
    yield experiments.Row(
        'peak in flight over the slots',
        max(0, excess),
        'calls',
        experiments.at_most(0),
        {'overloads': {k: p['overloads'] for k, p in peaks.items()}},
    )


def _restart_cold(
    label: str, cluster: clusters.Cluster, key: str, seed: int
) -> Iterator[experiments.Row]:
    """Restarts a backend server under load at capacity, twice.

    The health endpoint of the server reports ``ready`` throughout. The first
    restart includes a short downtime, as that of a process does; after the
    second one the server accepts connections at once.
    """
    upstreams = [entry['name'] for entry in cluster.preset['upstreams']]
    for upstream, down_s in zip(upstreams, _DOWNTIMES_S):
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
    running = gevent.spawn(_run_load, cluster, key, _COLD_LOAD_PER_S, seed)
    gevent.sleep(_BEFORE_RESTART_S)
    cluster.control_backend(upstream, 'stop')
    gevent.sleep(down_s)
    restarted_at = clocks.read_now()
    cluster.control_backend(upstream, 'start')
    return _Restart(upstream, down_s, restarted_at, running.get())


def _report_restart(
    label: str, cluster: clusters.Cluster, restart: _Restart
) -> Iterator[experiments.Row]:
    load_run, upstream = restart.load_run, restart.upstream
    falls = cluster.collect_peaks()[upstream]['falls']
    runs = [r for r in cluster.collect_runs() if r['backend'] == upstream]
    after = [r for r in load_run.records if r.scheduled > restart.restarted_at]
    name = f'{label}, cold start after {restart.down_s:g} s'
    has_targets = label == experiments.DEFAULT_SETTINGS
    yield experiments.Row(
        f'{name}, peak over the ramp',
        # A backend server fails the first call above its ramp, and all calls
        # for a while after it, without a run. That counts as an excess of 1.
        max(float(falls > 0), find_ramp_excess(runs, restart.restarted_at)),
        'calls',
        experiments.at_most(0) if has_targets else None,
        {'falls': falls, **load_run.conditions, 'load_per_s': _COLD_LOAD_PER_S},
    )
    yield experiments.Row(
        f'{name}, answered in time',
        100 * sum(map(loadruns.is_in_time, after)) / len(after),
        '%',
    )


def find_ramp_excess(
    runs: Sequence[Mapping[str, Any]], restarted_at: float
) -> float:
    """Returns the highest excess of runs in flight over the ramp.

    The excess is taken at each start of a run; it is at least 0.

    >>> run = {'started': 10.1, 'ended': 10.2}
    >>> round(find_ramp_excess([run, run], 10.0), 1)
    0.9

    Args:
      runs: Runs of the backend server.
      restarted_at: Start of the ramp; runs that started earlier don't count.
    """
    later = [r for r in runs if r['started'] >= restarted_at]
    max_excess = 0.0
    for run in later:
        start = run['started']
        in_flight = sum(
            other['started'] <= start
            and (other['ended'] is None or other['ended'] > start)
            for other in later
        )
        progress = min(1.0, (start - restarted_at) / _RAMP_S)
        capacity = 1 + (_SLOTS - 1) * progress
        max_excess = max(max_excess, in_flight - capacity)
    return max_excess
