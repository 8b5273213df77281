"""Runs both sample deployments on loopback and checks what they served."""

import argparse
import sys
from collections.abc import Callable, Iterable, Sequence

import attrs
import gevent

from jayseam.core import clocks
from jayseam.presets import documents
from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import convergence
from jayseam.standins import deployments
from jayseam.standins import edits
from jayseam.standins import processes
from jayseam.standins import referee
from jayseam.tools import generators
from jayseam.tools import loadreports
from jayseam.tools import records

_CONVERGENCE_LIMIT_S = 5.0
_LEAVE_LIMIT_S = 3.0
# Runs bunch up by the time that calls wait for tokens.
_LATITUDE_S = 0.5


@attrs.frozen
class Check:
    """One line of the table.

    Attributes:
      name: What is checked.
      figure: What was found.
      passed: Whether it held.
    """

    name: str
    figure: str
    passed: bool


@attrs.frozen
class _Changes:
    """Times of the operators' changes, and how fast each was in force."""

    checks: tuple[Check, ...]
    zone: str
    zone_out_at: float
    zone_in_at: float
    withdrawn: str
    withdrawn_at: float


def run_deployment(name: str, seed: int) -> list[Check]:
    """Serves load on one deployment while operators change things.

    Args:
      name: ``agence`` or ``leeuwenhoek``.
      seed: Seed of keys and load.
    """
    deployment = deployments.BUILDERS[name](
        seed=seed, ramp=deployments.SHORT_RAMP
    )
    with clusters.Cluster(deployments.build_plan(deployment)) as cluster:
        deployments.wait_admitting(cluster, deployment)
        profile = deployments.build_profile(cluster, deployment, seed)
        running = gevent.spawn(generators.run_load, profile)
        gevent.sleep(1.0)
        changes = _make_changes(cluster, deployment)
        report = running.get()
        checks = list(changes.checks)
        checks += _check_service(report, changes)
        checks += _check_runs(cluster, deployment, report, changes)
    return checks


def _make_changes(
    cluster: clusters.Cluster, deployment: samples.Deployment
) -> _Changes:
    """Changes the preset, takes a zone out and back, withdraws a key."""
    checks = [_change_preset(cluster, '/demo-first')]
    zone = sorted(deployment.preset.zones)[0]
    zone_out_at = clocks.read_now()
    checks.append(_move_zone(cluster, zone, 'out'))
    gevent.sleep(max(0.0, zone_out_at + 4.0 - clocks.read_now()))
    zone_in_at = clocks.read_now()
    checks.append(_move_zone(cluster, zone, 'back'))
    withdrawn = sorted(deployment.plaintexts)[-1]
    withdrawn_at = clocks.read_now()
    checks.append(_withdraw_key(cluster, deployment, withdrawn))
    return _Changes(
        tuple(checks),
        zone,
        zone_out_at,
        zone_in_at,
        withdrawn,
        withdrawn_at,
    )


def _change_preset(cluster: clusters.Cluster, prefix: str) -> Check:
    preset = edits.add_open_route(cluster.preset, prefix)
    return _time_change(
        'preset in force everywhere',
        cluster,
        lambda: cluster.publish(preset),
        convergence.Probe(prefix, lambda status: status != 404),
    )


def _move_zone(cluster: clusters.Cluster, zone: str, direction: str) -> Check:
    """Takes a zone out or back, with a new route as the probe."""
    prefix = f'/demo-{direction}'
    preset = edits.add_open_route(cluster.preset, prefix)
    moved = edits.set_zone_service(preset, zone, direction == 'back')
    return _time_change(
        f'zone {direction} in force everywhere',
        cluster,
        lambda: cluster.publish(moved),
        convergence.Probe(prefix, lambda status: status != 404),
    )


def _withdraw_key(
    cluster: clusters.Cluster, deployment: samples.Deployment, workspace: str
) -> Check:
    key = deployment.plaintexts[workspace]
    route = next(
        r for r in deployment.preset.routes.values() if deployments.is_keyed(r)
    )
    return _time_change(
        'key withdrawn everywhere',
        cluster,
        lambda: cluster.withdraw_key(key.partition('.')[0]),
        convergence.Probe(
            route.prefix,
            lambda status: status == 401,
            {'Authorization': f'Bearer {key}'},
        ),
    )


def _time_change(
    name: str,
    cluster: clusters.Cluster,
    publish: Callable[[], object],
    probe: convergence.Probe,
) -> Check:
    found = convergence.measure_convergence(cluster, publish, probe)
    return Check(
        f'{name} (limit {_CONVERGENCE_LIMIT_S:g} s)',
        f'{found.slowest:.2f} s',
        found.slowest <= _CONVERGENCE_LIMIT_S,
    )


def _check_service(
    report: loadreports.LoadReport, changes: _Changes
) -> Iterable[Check]:
    """Every call within its rate is answered, but for the withdrawn key."""
    failed = [
        record
        for record in report.records
        if record.outcome != 'ok' and not _is_withdrawn(record, changes)
    ]
    outcomes = sorted({record.outcome for record in failed})
    served = sum(record.outcome == 'ok' for record in report.records)
    yield Check('calls answered', f'{served}', served > 0)
    shown = f'{len(failed)} {" ".join(outcomes)}'.strip()
    yield Check('calls within rate not answered', shown, not failed)


def _is_withdrawn(record: records.CallRecord, changes: _Changes) -> bool:
    """Tells whether a call was refused because its key was withdrawn."""
    return (
        record.outcome == 'key'
        and record.workspace == changes.withdrawn
        and record.ended > changes.withdrawn_at
    )


def _check_runs(
    cluster: clusters.Cluster,
    deployment: samples.Deployment,
    report: loadreports.LoadReport,
    changes: _Changes,
) -> Iterable[Check]:
    runs = cluster.collect_runs()
    budgets = referee.read_budgets(
        documents.dump_preset(deployment.preset)['workspaces']
    )
    found = referee.Referee(budgets, _LATITUDE_S).judge(
        runs, report.records, cluster.collect_peaks()
    )
    shown = '; '.join(f'{v.rule}: {v.detail}' for v in found[:3]) or 'none'
    yield Check('violations among runs and answers', shown, not found)
    upstreams = {
        name
        for name, upstream in deployment.preset.upstreams.items()
        if upstream.zone == changes.zone
    }
    late = [
        run
        for run in runs
        if run['backend'] in upstreams
        and changes.zone_out_at + _LEAVE_LIMIT_S
        < run['started']
        < changes.zone_in_at
    ]
    yield Check('runs in the zone that is out', f'{len(late)}', not late)
    again = sum(
        run['backend'] in upstreams and run['started'] > changes.zone_in_at
        for run in runs
    )
    yield Check('runs in the zone after its return', f'{again}', again > 0)


def format_table(name: str, checks: Sequence[Check]) -> str:
    """Returns the checks of a deployment as text."""
    width = max(len(check.name) for check in checks)
    lines = [name]
    for check in checks:
        verdict = 'pass' if check.passed else 'FAIL'
        lines.append(f'  {check.name:<{width}}  {verdict}  {check.figure}')
    return '\n'.join(lines)


def keep_deployment(name: str) -> None:
    """Starts a deployment, tells how to call it, and waits for Ctrl-C."""
    deployment = deployments.BUILDERS[name](ramp=deployments.SHORT_RAMP)
    with clusters.Cluster(deployments.build_plan(deployment)) as cluster:
        vm = next(iter(cluster.vms.values()))
        workspace, key = next(iter(deployment.plaintexts.items()))
        print(f'node {vm.name}: callers 127.0.0.1:{vm.caller_port},', end=' ')
        print(f'admin 127.0.0.1:{vm.admin_port}')
        print(f'key of workspace {workspace}: {key}')
        print('routes:', ' '.join(sorted(_list_prefixes(deployment))))
        print('Ctrl-C ends it.', flush=True)
        try:
            while True:
                gevent.sleep(3600)
        except KeyboardInterrupt:
            print()


def _list_prefixes(deployment: samples.Deployment) -> set[str]:
    return {route.prefix for route in deployment.preset.routes.values()}


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the demo; returns 0 only if every check held."""
    parser = argparse.ArgumentParser(prog='jayseam-demo', description=__doc__)
    parser.add_argument('--keep', choices=sorted(deployments.BUILDERS))
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    processes.exit_on_sigterm()
    if options.keep:
        keep_deployment(options.keep)
        return 0
    print(f'seed {options.seed}', flush=True)
    passed = True
    for name in deployments.BUILDERS:
        checks = run_deployment(name, options.seed)
        print(format_table(name, checks), flush=True)
        passed = passed and all(check.passed for check in checks)
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
