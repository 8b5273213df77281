"""Experiment on workspaces beside a neighbour over its rate."""

import collections
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from jayseam.bench import experiments
from jayseam.bench import fleets
from jayseam.bench import loadruns
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import deployments
from jayseam.standins import plans
from jayseam.tools import records as call_records

IN_TIME_LIMIT_PERCENT = 99.9
WRONGFUL_LIMIT_PER_1000 = 1.0

_NEIGHBOUR = 'foundation'
# Its own rate would take most of what one service can run.
_ELSEWHERE = 'museum'
_NEIGHBOUR_FACTOR = 5.0
_WITHIN_SHARE = 0.8
_LOAD_S = 6.0
_SLOTS = 3
_SLOW_MS = 60.0
_SLOWER_BY_MS = 100.0
_VARIANTS: Mapping[str, Mapping[str, Any]] = {
    experiments.AS_DESIGNED: {},
    'admission.fair=false': {'admission': {'fair': False}},
    'limits.strategy=static': {'limits': {'strategy': 'static'}},
    'selection.strategy=round_robin': {
        'selection': {'strategy': 'round_robin'}
    },
}


@experiments.experiments.register('worst-workspace')
def measure_worst_workspace(
    context: experiments.Context,
) -> Iterator[experiments.Row]:
    """The worst-served workspace beside a neighbour at 5 times its rate."""
    context.note(
        deployment='leeuwenhoek, 16 nodes, 3 slots each, runs of 60 ms, one'
        ' upstream of the service slower by 100 ms',
        load='6 small workspaces and the neighbour call extensions, museum'
        ' calls reminders; each reaches 2 nodes; 80% of the rate, the'
        ' neighbour 500%',
        time_limit_ms=loadruns.DEADLINE_MS,
        in_time_ms=loadruns.PATIENCE_MS,
        duration_s=_LOAD_S,
    )
    deployment = samples.build_leeuwenhoek(
        seed=context.seed, ramp=model.Ramp(_SLOTS, 0.5)
    )
    for label, node in _VARIANTS.items():
        plan = plans.plan_deployment(
            deployment,
            node=node,
            backend={'service_time': {'kind': 'fixed', 'mean_ms': _SLOW_MS}},
        )
        plan = fleets.change_plan(plan, slots=_SLOTS)
        with clusters.Cluster(plan) as cluster:
            deployments.wait_admitting(cluster, deployment)
            found = _run_beside_neighbour(cluster, deployment, context.seed)
        yield from _report_neighbour(label, found)


def _run_beside_neighbour(
    cluster: clusters.Cluster, deployment: samples.Deployment, seed: int
) -> loadruns.LoadRun:
    cluster.control_backend(
        'extensions-delft',
        'fault',
        kind='late',
        when='before',
        ms=_SLOWER_BY_MS,
    )
    targets = cluster.targets()
    workspaces = deployment.preset.workspaces.values()
    return loadruns.run_load(
        {
            'targets': targets,
            'duration_s': _LOAD_S,
            'seed': seed,
            'workspaces': [
                _describe_load(
                    workspace,
                    deployment.plaintexts[workspace.name],
                    _choose_targets(targets, number),
                )
                for number, workspace in enumerate(workspaces)
            ],
        }
    )


def _choose_targets(targets: Sequence[str], number: int) -> Sequence[str]:
    """Returns the two nodes that a workspace reaches."""
    first = 2 * number % len(targets)
    return targets[first : first + 2]


def _describe_load(
    workspace: model.Workspace, key: str, targets: Sequence[str]
) -> dict[str, Any]:
    """Returns the entry of a workspace in the load profile."""
    over = workspace.name == _NEIGHBOUR
    factor = _NEIGHBOUR_FACTOR if over else _WITHIN_SHARE
    path = '/reminders/1' if workspace.name == _ELSEWHERE else '/extensions/1'
    return {
        'name': workspace.name,
        'key': key,
        'rate_per_s': workspace.rate_per_s * factor,
        'connections': 400 if over else 64,
        'targets': targets,
        'routes': [{'path': path, 'timeout_ms': loadruns.DEADLINE_MS}],
    }


def _report_neighbour(
    label: str, found: loadruns.LoadRun
) -> Iterator[experiments.Row]:
    """Reports shares; baselines have no targets."""
    designed = label == experiments.AS_DESIGNED
    within = [r for r in found.records if r.workspace != _NEIGHBOUR]
    in_time = _compute_percent_in_time(within)
    worst = min(in_time, key=lambda workspace: in_time[workspace])
    outcomes = collections.Counter(record.outcome for record in within)
    yield experiments.Row(
        f'{label}, worst workspace in time',
        in_time[worst],
        '%',
        experiments.at_least(IN_TIME_LIMIT_PERCENT) if designed else None,
        {
            **found.conditions,
            'worst': worst,
            'outcomes_within': dict(outcomes),
            'percent_by_workspace': {
                name: round(percent, 2) for name, percent in in_time.items()
            },
        },
    )
    yield experiments.Row(
        f'{label}, wrongful refusals',
        1000 * outcomes['limit'] / len(within),
        'in 1000',
        experiments.at_most(WRONGFUL_LIMIT_PER_1000) if designed else None,
        {'calls_within_rate': len(within)},
    )


def _compute_percent_in_time(
    records: Sequence[call_records.CallRecord],
) -> dict[str, float]:
    """Returns the percentage of calls answered in time by workspace."""
    calls: dict[str, list[call_records.CallRecord]] = {}
    for record in records:
        calls.setdefault(record.workspace, []).append(record)
    return {
        workspace: 100 * sum(map(loadruns.is_in_time, own)) / len(own)
        for workspace, own in calls.items()
    }
