"""Experiment on service while an availability zone leaves and returns."""

import collections
import json
from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import gevent

from jayseam.bench import experiments
from jayseam.bench import figures
from jayseam.bench import loadruns
from jayseam.core import clocks
from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import deployments
from jayseam.tools import records as call_records

LEAVE_LIMIT_S = 3.0
_LOAD_S = 13.0
_LEAVE_AFTER_S = 4.0
_RETURN_AFTER_S = 9.0


@attrs.frozen
class _ZoneMove:
    """Times at which a zone left and returned, and the runs in it.

    Attributes:
      out_at: Time of the publication that took the zone out, in seconds of
        `clocks.read_now`.
      back_at: Time of the publication that took the zone back in.
      run_starts: Start times of all runs in the zone.
    """

    out_at: float
    back_at: float
    run_starts: Sequence[float]


@experiments.registry.register('zone-move')
def measure_zone_move(
    context: experiments.Context,
) -> Iterator[experiments.Row]:
    """Service while a zone leaves and returns, at half of the rates."""
    context.add_conditions(
        load='half of the rate of every workspace over all routes, 5 ms runs',
        out_after_s=_LEAVE_AFTER_S,
        back_after_s=_RETURN_AFTER_S,
        duration_s=_LOAD_S,
    )
    for name, build_deployment in deployments.DEPLOYMENT_BUILDERS.items():
        deployment = build_deployment(
            seed=context.seed, ramp=deployments.SHORT_RAMP
        )
        with clusters.Cluster(deployments.build_plan(deployment)) as cluster:
            deployments.wait_admitting(cluster, deployment)
            yield from _move_zone(name, cluster, deployment, context.seed)


def _move_zone(
    name: str,
    cluster: clusters.Cluster,
    deployment: samples.Deployment,
    seed: int,
) -> Iterator[experiments.Row]:
    profile = _to_document(deployments.build_profile(cluster, deployment, seed))
    profile['duration_s'] = _LOAD_S
    zone = sorted(deployment.preset.zones)[0]
    running = gevent.spawn(loadruns.run_load, profile)
    gevent.sleep(_LEAVE_AFTER_S)
    out_at = clocks.read_now()
    cluster.take_zone_out(zone)
    gevent.sleep(_RETURN_AFTER_S - _LEAVE_AFTER_S)
    back_at = clocks.read_now()
    cluster.take_zone_in(zone)
    load_run = running.get()
    move = _ZoneMove(out_at, back_at, _list_run_starts(cluster, zone))
    yield from _report_zone_move(name, load_run, move)


def _list_run_starts(cluster: clusters.Cluster, zone: str) -> list[float]:
    """Returns the start times of the runs in a zone."""
    names = {
        u['name'] for u in cluster.preset['upstreams'] if u['zone'] == zone
    }
    return [
        run['started']
        for run in cluster.collect_runs()
        if run['backend'] in names
    ]


def _report_zone_move(
    name: str, load_run: loadruns.LoadRun, move: _ZoneMove
) -> Iterator[experiments.Row]:
    yield from _report_answers(name, load_run)
    yield from _report_latencies(name, load_run.records, move)
    yield from _report_runs(name, move)


def _report_answers(
    name: str, load_run: loadruns.LoadRun
) -> Iterator[experiments.Row]:
    """Reports the rate and share of successful calls, and the worst second."""
    records = load_run.records
    n_by_second = collections.Counter(int(r.scheduled) for r in records)
    n_ok_by_second = collections.Counter(
        int(r.scheduled) for r in records if r.outcome == 'ok'
    )
    # The load covers only a part of the first and of the last second.
    seconds = sorted(n_by_second)[1:-1]
    n_ok = sum(n_ok_by_second.values())
    yield experiments.Row(
        f'{name}, calls answered rightly',
        n_ok / _LOAD_S,
        'calls/s',
        None,
        load_run.conditions,
    )
    share = 100 * n_ok / len(records)
    yield experiments.Row(f'{name}, share answered rightly', share, '%')
    worst = min(100 * n_ok_by_second[s] / n_by_second[s] for s in seconds)
    yield experiments.Row(f'{name}, worst second', worst, '%')


def _report_latencies(
    name: str, records: Sequence[call_records.CallRecord], move: _ZoneMove
) -> Iterator[experiments.Row]:
    for label, start, end in (
        ('before', 0.0, move.out_at),
        ('during', move.out_at, move.back_at),
        ('after', move.back_at, float('inf')),
    ):
        latencies = [
            r.ended - r.scheduled
            for r in records
            if r.outcome == 'ok' and start <= r.scheduled < end
        ]
        yield experiments.Row(
            f'{name}, p99 {label}',
            figures.compute_percentile_ms(latencies, 99),
            'ms',
            None,
            {'p50_ms': figures.compute_percentile_ms(latencies, 50)},
        )


def _report_runs(name: str, move: _ZoneMove) -> Iterator[experiments.Row]:
    """Reports the last start before the return, and the first after it."""
    out_at, back_at = move.out_at, move.back_at
    starts_while_out = [
        start for start in move.run_starts if out_at <= start < back_at
    ]
    yield experiments.Row(
        f'{name}, until no new run in the zone',
        max(starts_while_out, default=out_at) - out_at,
        's',
        experiments.at_most(LEAVE_LIMIT_S),
    )
    starts_after_return = [
        start for start in move.run_starts if start > back_at
    ]
    yield experiments.Row(
        f'{name}, until the first run after the return',
        min(starts_after_return, default=float('inf')) - back_at,
        's',
    )


def _to_document(profile: Any) -> dict[str, Any]:
    """Returns a load profile as JSON values, without its empty fields."""
    return json.loads(
        json.dumps(
            attrs.asdict(
                profile, filter=lambda _, value: value not in (None, '', ())
            )
        )
    )
