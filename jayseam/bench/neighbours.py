"""Experiment on workspaces beside a noisy neighbour over its rate limit."""

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
# The rate of this workspace alone would use most of the capacity of one
# service, so it calls another service than the others.
_OTHER_SERVICE_WORKSPACE = 'museum'
_NEIGHBOUR_RATE_FACTOR = 5.0
_COMPLIANT_RATE_FACTOR = 0.8
_LOAD_S = 6.0
_SLOTS = 3
_SERVICE_TIME_MS = 60.0
_EXTRA_DELAY_MS = 100.0
# Changes of node settings by label; all but the first are baselines.
_NODE_SETTINGS: Mapping[str, Mapping[str, Any]] = {
    experiments.DEFAULT_SETTINGS: {},
    'admission.fair=false': {'admission': {'fair': False}},
    'limits.strategy=static': {'limits': {'strategy': 'static'}},
    'selection.strategy=round_robin': {
        'selection': {'strategy': 'round_robin'}
    },
}


@experiments.registry.register('worst-workspace')
def measure_worst_workspace(
    context: experiments.Context,
) -> Iterator[experiments.Row]:
    """The worst-served workspace beside a neighbour at 5 times its rate."""
    context.add_conditions(
        deployment='leeuwenhoek, 16 nodes, 3 slots each, runs of 60 ms, one'
        ' upstream of the service slower by 100 ms',
        load='6 small workspaces and the neighbour call extensions, museum'
        ' calls reminders; each reaches 2 nodes; 80% of the rate, the'
        ' neighbour 500%',
        time_limit_ms=loadruns.DEADLINE_MS,
        in_time_ms=loadruns.CALLER_TIMEOUT_MS,
        duration_s=_LOAD_S,
    )
    deployment = samples.build_leeuwenhoek(
        seed=context.seed, ramp=model.Ramp(_SLOTS, 0.5)
    )
    for label, settings in _NODE_SETTINGS.items():
        plan = plans.plan_deployment(
            deployment,
            node=settings,
            backend={
                'service_time': {'kind': 'fixed', 'mean_ms': _SERVICE_TIME_MS}
            },
        )
        plan = fleets.override_limits(plan, slots=_SLOTS)
        with clusters.Cluster(plan) as cluster:
            deployments.wait_admitting(cluster, deployment)
            load_run = _run_beside_neighbour(cluster, deployment, context.seed)
        yield from _report_neighbour(label, load_run)


def _run_beside_neighbour(
    cluster: clusters.Cluster, deployment: samples.Deployment, seed: int
) -> loadruns.LoadRun:
    cluster.control_backend(
        'extensions-delft',
        'fault',
        kind='late',
        when='before',
        ms=_EXTRA_DELAY_MS,
    )
    targets = cluster.list_targets()
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
    """Returns the two nodes that a workspace calls."""
    first = 2 * number % len(targets)
    return targets[first : first + 2]


def _describe_load(
    workspace: model.Workspace, key: str, targets: Sequence[str]
) -> dict[str, Any]:
    """Returns the entry of a workspace in the load profile."""
    is_neighbour = workspace.name == _NEIGHBOUR
    factor = _NEIGHBOUR_RATE_FACTOR if is_neighbour else _COMPLIANT_RATE_FACTOR
    path = (
        '/reminders/1'
        if workspace.name == _OTHER_SERVICE_WORKSPACE
        else '/extensions/1'
    )
    return {
        'name': workspace.name,
        'key': key,
        'rate_per_s': workspace.rate_per_s * factor,
        'connections': 400 if is_neighbour else 64,
        'targets': targets,
        'routes': [{'path': path, 'timeout_ms': loadruns.DEADLINE_MS}],
    }


def _report_neighbour(
    label: str, load_run: loadruns.LoadRun
) -> Iterator[experiments.Row]:
    """Reports how the others are served; baselines have no targets."""
    has_targets = label == experiments.DEFAULT_SETTINGS
    compliant = [r for r in load_run.records if r.workspace != _NEIGHBOUR]
    percent_in_time = _compute_percent_in_time(compliant)
    worst = min(
        percent_in_time, key=lambda workspace: percent_in_time[workspace]
    )
    outcomes = collections.Counter(record.outcome for record in compliant)
    yield experiments.Row(
        f'{label}, worst workspace in time',
        percent_in_time[worst],
        '%',
        experiments.at_least(IN_TIME_LIMIT_PERCENT) if has_targets else None,
        {
            **load_run.conditions,
            'worst': worst,
            'outcomes_within': dict(outcomes),
            'percent_by_workspace': {
                name: round(percent, 2)
                for name, percent in percent_in_time.items()
            },
        },
    )
    yield experiments.Row(
        f'{label}, wrongful refusals',
        1000 * outcomes['limit'] / len(compliant),
        'in 1000',
        experiments.at_most(WRONGFUL_LIMIT_PER_1000) if has_targets else None,
        {'calls_within_rate': len(compliant)},
    )


def _compute_percent_in_time(
    records: Sequence[call_records.CallRecord],
) -> dict[str, float]:
    """Returns the percentage of calls answered in time by workspace."""
    calls_by_workspace: dict[str, list[call_records.CallRecord]] = {}
    for record in records:
        calls_by_workspace.setdefault(record.workspace, []).append(record)
    return {
        workspace: 100 * sum(map(loadruns.is_in_time, calls)) / len(calls)
        for workspace, calls in calls_by_workspace.items()
    }
