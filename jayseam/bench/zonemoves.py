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
_OUT_S = 4.0
_BACK_S = 9.0


@attrs.frozen
class _Move:
    """When a zone left and returned, and what ran there.

    Attributes:
      out_at: Publication that took it out, seconds of `clocks.read_now`.
      back_at: Publication that took it back.
      run_starts: Starts of all runs in the zone.
    """

    out_at: float
    back_at: float
    run_starts: Sequence[float]


@experiments.experiments.register('zone-move')
def measure_zone_move(
    context: experiments.Context,
) -> Iterator[experiments.Row]:
    """Service while a zone leaves and returns, at half of the rates."""
    context.note(
        load='half of the rate of every workspace over all routes, 5 ms runs',
        out_after_s=_OUT_S,
        back_after_s=_BACK_S,
        duration_s=_LOAD_S,
    )
    for name, build in deployments.BUILDERS.items():
        deployment = build(seed=context.seed, ramp=deployments.SHORT_RAMP)
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
    gevent.sleep(_OUT_S)
    out_at = clocks.read_now()
    cluster.take_zone_out(zone)
    gevent.sleep(_BACK_S - _OUT_S)
    back_at = clocks.read_now()
    cluster.take_zone_in(zone)
    found = running.get()
    move = _Move(out_at, back_at, _list_run_starts(cluster, zone))
    yield from _report_zone_move(name, found, move)


def _list_run_starts(cluster: clusters.Cluster, zone: str) -> list[float]:
    """Returns the starts of the runs in a zone."""
    names = {
        u['name'] for u in cluster.preset['upstreams'] if u['zone'] == zone
    }
    return [
        run['started']
        for run in cluster.collect_runs()
        if run['backend'] in names
    ]


def _report_zone_move(
    name: str, found: loadruns.LoadRun, move: _Move
) -> Iterator[experiments.Row]:
    yield from _report_answers(name, found)
    yield from _report_latencies(name, found.records, move)
    yield from _report_runs(name, move)


def _report_answers(
    name: str, found: loadruns.LoadRun
) -> Iterator[experiments.Row]:
    """Reports how many calls were answered rightly, and the worst second."""
    records = found.records
    by_second = collections.Counter(int(r.scheduled) for r in records)
    right = collections.Counter(
        int(r.scheduled) for r in records if r.outcome == 'ok'
    )
    # The first and last seconds are not whole.
    seconds = sorted(by_second)[1:-1]
    ok = sum(right.values())
    yield experiments.Row(
        f'{name}, calls answered rightly',
        ok / _LOAD_S,
        'calls/s',
        None,
        found.conditions,
    )
    share = 100 * ok / len(records)
    yield experiments.Row(f'{name}, share answered rightly', share, '%')
    worst = min(100 * right[s] / by_second[s] for s in seconds)
    yield experiments.Row(f'{name}, worst second', worst, '%')


def _report_latencies(
    name: str, records: Sequence[call_records.CallRecord], move: _Move
) -> Iterator[experiments.Row]:
    for label, start, end in (
        ('before', 0.0, move.out_at),
        ('during', move.out_at, move.back_at),
        ('after', move.back_at, float('inf')),
    ):
        times = [
            r.ended - r.scheduled
            for r in records
            if r.outcome == 'ok' and start <= r.scheduled < end
        ]
        yield experiments.Row(
            f'{name}, p99 {label}',
            figures.compute_percentile_ms(times, 99),
            'ms',
            None,
            {'p50_ms': figures.compute_percentile_ms(times, 50)},
        )


def _report_runs(name: str, move: _Move) -> Iterator[experiments.Row]:
    """Reports when runs in the zone ended and began again."""
    out_at, back_at = move.out_at, move.back_at
    late = [start for start in move.run_starts if out_at <= start < back_at]
    yield experiments.Row(
        f'{name}, until no new run in the zone',
        max(late, default=out_at) - out_at,
        's',
        experiments.at_most(LEAVE_LIMIT_S),
    )
    again = [start for start in move.run_starts if start > back_at]
    yield experiments.Row(
        f'{name}, until the first run after the return',
        min(again, default=float('inf')) - back_at,
        's',
    )


def _to_document(profile: Any) -> dict[str, Any]:
    """Returns a profile as JSON values, without empty fields."""
    return json.loads(
        json.dumps(
            attrs.asdict(
                profile, filter=lambda _, value: value not in (None, '', ())
            )
        )
    )
