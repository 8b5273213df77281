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
from jayseam.standins import invariants
from jayseam.standins import processes
from jayseam.tools import generators
from jayseam.tools import loadreports
from jayseam.tools import records

_CONVERGENCE_LIMIT_S = 5.0
_ZONE_LEAVE_LIMIT_S = 3.0
# Calls may wait this long for tokens, so their runs can be closer together than
# the rate allows.
_LATITUDE_S = 0.5


@attrs.frozen
class Check:
    """One line of the table of results.

    Attributes:
      name: Condition that is checked.
      figure: Value that was measured.
      passed: Whether the condition held.
    """

    name: str
    figure: str
    passed: bool


@attrs.frozen
class _AppliedChanges:
    """Times of the operators' changes, and the checks of their convergence."""

    checks: tuple[Check, ...]
    zone: str
    zone_out_at: float
    zone_in_at: float
    withdrawn: str
    withdrawn_at: float


def run_deployment(name: str, seed: int) -> list[Check]:
    """Puts load on a deployment, changes its configuration and checks it.

    Args:
      name: ``agence`` or ``leeuwenhoek``.
      seed: Seed of the keys and the load.
    """
    deployment = deployments.DEPLOYMENT_BUILDERS[name](
        seed=seed, ramp=deployments.SHORT_RAMP
    )
    with clusters.Cluster(deployments.build_plan(deployment)) as cluster:
        deployments.wait_admitting(cluster, deployment)
        profile = deployments.build_profile(cluster, deployment, seed)
        running = gevent.spawn(generators.run_load, profile)
        gevent.sleep(1.0)
        changes = _apply_changes(cluster, deployment)
        report = running.get()
        checks = list(changes.checks)
        checks += _check_service(report, changes)
        checks += _check_runs(cluster, deployment, report, changes)
    return checks


def _apply_changes(
    cluster: clusters.Cluster, deployment: samples.Deployment
) -> _AppliedChanges:
    """Adds a route, takes a zone out of service and back, withdraws a key."""
    checks = [_add_route(cluster, '/demo-first')]
    zone = sorted(deployment.preset.zones)[0]
    zone_out_at = clocks.read_now()
    checks.append(_move_zone(cluster, zone, 'out'))
    gevent.sleep(max(0.0, zone_out_at + 4.0 - clocks.read_now()))
    zone_in_at = clocks.read_now()
    checks.append(_move_zone(cluster, zone, 'back'))
    withdrawn = sorted(deployment.plaintexts)[-1]
    withdrawn_at = clocks.read_now()
    checks.append(_withdraw_key(cluster, deployment, withdrawn))
    return _AppliedChanges(
        tuple(checks),
        zone,
        zone_out_at,
        zone_in_at,
        withdrawn,
        withdrawn_at,
    )


def _add_route(cluster: clusters.Cluster, prefix: str) -> Check:
    preset = edits.add_open_route(cluster.preset, prefix)
    return _check_convergence(
        'preset in force everywhere',
        cluster,
        lambda: cluster.publish(preset),
        convergence.Probe(prefix, convergence.is_route_in_force),
    )


def _move_zone(cluster: clusters.Cluster, zone: str, direction: str) -> Check:
    """Takes a zone out of service or back in; a new route is the probe."""
    prefix = f'/demo-{direction}'
    preset = edits.add_open_route(cluster.preset, prefix)
    moved = edits.set_zone_in_service(preset, zone, direction == 'back')
    return _check_convergence(
        f'zone {direction} in force everywhere',
        cluster,
        lambda: cluster.publish(moved),
        convergence.Probe(prefix, convergence.is_route_in_force),
    )


def _withdraw_key(
    cluster: clusters.Cluster, deployment: samples.Deployment, workspace: str
) -> Check:
    key = deployment.plaintexts[workspace]
    route = next(
        r
        for r in deployment.preset.routes.values()
        if deployments.is_keyed_read(r)
    )
    return _check_convergence(
        'key withdrawn everywhere',
        cluster,
        lambda: cluster.withdraw_key(key.partition('.')[0]),
        convergence.Probe(
            route.prefix,
            lambda status: status == 401,
            {'Authorization': f'Bearer {key}'},
        ),
    )


def _check_convergence(
    name: str,
    cluster: clusters.Cluster,
    publish: Callable[[], object],
    probe: convergence.Probe,
) -> Check:
    measured = convergence.measure_convergence(cluster, publish, probe)
    return Check(
        f'{name} (limit {_CONVERGENCE_LIMIT_S:g} s)',
        f'{measured.slowest:.2f} s',
        measured.slowest <= _CONVERGENCE_LIMIT_S,
    )


def _check_service(
    report: loadreports.LoadReport, changes: _AppliedChanges
) -> Iterable[Check]:
    """Checks that calls within the rate and with a valid key are answered."""
    failed = [
        record
        for record in report.records
        if record.outcome != 'ok' and not _is_withdrawn(record, changes)
    ]
    outcomes = sorted({record.outcome for record in failed})
    served = sum(record.outcome == 'ok' for record in report.records)
    yield Check('calls answered', f'{served}', served > 0)
    figure = f'{len(failed)} {" ".join(outcomes)}'.strip()
    yield Check('calls within rate not answered', figure, not failed)


def _is_withdrawn(record: records.CallRecord, changes: _AppliedChanges) -> bool:
    """Returns whether a call was refused because its key was withdrawn."""
    return (
        record.outcome == 'key'
        and record.workspace == changes.withdrawn
        and record.ended > changes.withdrawn_at
    )


def _check_runs(
    cluster: clusters.Cluster,
    deployment: samples.Deployment,
    report: loadreports.LoadReport,
    changes: _AppliedChanges,
) -> Iterable[Check]:
    """Checks the runs by the invariants and the rules of the zone change."""
    runs = cluster.collect_runs()
    budgets = invariants.read_budgets(
        documents.dump_preset(deployment.preset)['workspaces']
    )
    violations = invariants.InvariantChecker(
        budgets, _LATITUDE_S
    ).find_violations(runs, report.records, cluster.collect_peaks())
    figure = (
        '; '.join(f'{v.rule}: {v.detail}' for v in violations[:3]) or 'none'
    )
    yield Check('violations among runs and answers', figure, not violations)
    zone_upstreams = {
        name
        for name, upstream in deployment.preset.upstreams.items()
        if upstream.zone == changes.zone
    }
    runs_while_out = [
        run
        for run in runs
        if run['backend'] in zone_upstreams
        and changes.zone_out_at + _ZONE_LEAVE_LIMIT_S
        < run['started']
        < changes.zone_in_at
    ]
    yield Check(
        'runs in the zone that is out',
        f'{len(runs_while_out)}',
        not runs_while_out,
    )
    n_returned = sum(
        run['backend'] in zone_upstreams and run['started'] > changes.zone_in_at
        for run in runs
    )
    yield Check(
        'runs in the zone after its return', f'{n_returned}', n_returned > 0
    )


def format_table(name: str, checks: Sequence[Check]) -> str:
    """Returns the checks of a deployment as a text table."""
    width = max(len(check.name) for check in checks)
    lines = [name]
    for check in checks:
        verdict = 'pass' if check.passed else 'FAIL'
        lines.append(f'  {check.name:<{width}}  {verdict}  {check.figure}')
    return '\n'.join(lines)


def serve_deployment(name: str) -> None:
    """Starts a deployment, prints its addresses, and waits for Ctrl-C."""
    deployment = deployments.DEPLOYMENT_BUILDERS[name](
        ramp=deployments.SHORT_RAMP
    )
    with clusters.Cluster(deployments.build_plan(deployment)) as cluster:
        vm = next(iter(cluster.vms.values()))
        workspace, key = next(iter(deployment.plaintexts.items()))
        print(f'node {vm.name}: callers 127.0.0.1:{vm.caller_port},', end=' ')
        print(f'admin 127.0.0.1:{vm.admin_port}')
        print(f'key of workspace {workspace}: {key}')
        print('routes:', ' '.join(sorted(_list_prefixes(deployment))))
        print('Press Ctrl-C to stop the deployment.', flush=True)
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
    parser.add_argument(
        '--keep', choices=sorted(deployments.DEPLOYMENT_BUILDERS)
    )
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    processes.exit_on_sigterm()
    if options.keep:
        serve_deployment(options.keep)
        return 0
    print(f'seed {options.seed}', flush=True)
    passed = True
    for name in deployments.DEPLOYMENT_BUILDERS:
        checks = run_deployment(name, options.seed)
        print(format_table(name, checks), flush=True)
        passed = passed and all(check.passed for check in checks)
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
