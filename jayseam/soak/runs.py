"""One run of the soak: a cluster, load, a schedule of faults, a verdict."""

import pathlib
import random
import shutil
from collections.abc import Mapping, Sequence

import attrs
import gevent

from jayseam.core import clocks
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.soak import checks
from jayseam.soak import errors
from jayseam.soak import faults
from jayseam.soak import schedules
from jayseam.standins import clusters
from jayseam.standins import errors as standin_errors
from jayseam.standins import plans
from jayseam.standins import referee
from jayseam.tools import generators
from jayseam.tools import loadreports
from jayseam.tools import profiles

# Kinds that are operators' changes or planned work, which excuse nothing.
_PLANNED = frozenset(('stop', 'zone-out', 'storm'))
_RAMP = model.Ramp(initial_slots=3, duration_s=1.5)
# Share of each workspace's rate that its callers send, and of one that is
# greedy.
_OFFERED_SHARE = 0.5
_GREEDY_SHARE = 3.0
# A node may use a key for this long without news of it, in seconds.
_KEY_TRUST_S = 5.0
# A node that was paused runs the calls that it had admitted before, after it
# has waited for news. A pause takes 3 s, the wait up to 1 s.
_LATITUDE_S = 4.5
# Nodes serve again within this time after the last fault: the bound
# ``recover`` of the operators' rules, in seconds.
_RECOVERY_S = 15.0
_START_S = 40.0
# Longer than the timeout of any route, so that an open call is a lost one.
_CALL_TIMEOUT_S = 8.0
# Longest route timeout and a margin, after which no call is at work.
_IDLE_S = 21.0
_STRATEGIES = ('escrow', 'replicated')
# Excess over rates that operators tolerate, as a part of rate and burst and as
# calls: ``quota_overage`` and ``quota_slack`` of their bounds.
_TOLERANCE = 0.25
_TOLERATED_CALLS = 20.0
# Calls a second of all workspaces together where `Plan.vms` sets the size.
_LARGE_CALLS_PER_S = 150.0


@attrs.frozen
class Plan:
    """What to run.

    Attributes:
      seed: Seed of the schedule, the load and the limit strategy.
      duration_s: Length of the load in seconds.
      deployment: ``agence`` or ``leeuwenhoek``; not used where ``vms`` is set.
      vms: Number of VMs of a deployment of any size; 0 for a sample one.
      kept: Directory for the logs of a run with findings, or None.
    """

    seed: int
    duration_s: float = 30.0
    deployment: str = 'agence'
    vms: int = 0
    kept: pathlib.Path | None = None


@attrs.frozen
class Outcome:
    """What came of a run.

    Attributes:
      plan: What was run.
      strategy: Limit strategy that the seed chose.
      schedule: The steps.
      outcomes: Number of calls by outcome.
      findings: Promises that were not kept.
      failed_steps: Steps that could not be carried out, with the reason.
    """

    plan: Plan
    strategy: str
    schedule: schedules.Schedule
    outcomes: Mapping[str, int]
    findings: Sequence[checks.Finding]
    failed_steps: Sequence[str]


def run_soak(plan: Plan) -> Outcome:
    """Starts a cluster, strikes it as the seed says, and judges it.

    Raises:
      SoakError: If the cluster doesn't start.
    """
    deployment = _build_deployment(plan)
    strategy = random.Random(plan.seed).choice(_STRATEGIES)
    try:
        with clusters.Cluster(_plan_cluster(deployment, strategy)) as cluster:
            outcome = _Run(plan, deployment, cluster, strategy).carry_out()
            if outcome.findings and plan.kept is not None:
                _keep_logs(cluster, plan)
            return outcome
    except standin_errors.ClusterError as error:
        raise errors.SoakError(f'seed {plan.seed}: {error}') from error


class _Run:
    """A run on a started cluster."""

    def __init__(
        self,
        plan: Plan,
        deployment: samples.Deployment,
        cluster: clusters.Cluster,
        strategy: str,
    ):
        self._plan = plan
        self._deployment = deployment
        self._cluster = cluster
        self._strategy = strategy
        self._site = faults.Site(cluster)
        self._unplanned: list[tuple[float, float]] = []
        self._failed: list[str] = []
        # The last workspace by name loses its key; the first one is greedy.
        self._workspaces = sorted(deployment.plaintexts)
        self._withdrawn = self._workspaces[-1]

    def carry_out(self) -> Outcome:
        """Serves load under the schedule and returns the verdict."""
        self._wait_admitting()
        self._forget_warm_up()
        schedule = schedules.draw_schedule(
            self._plan.seed,
            self._plan.duration_s,
            faults.list_kinds(),
            [u['name'] for u in self._cluster.preset['upstreams']],
            [z['name'] for z in self._cluster.preset['zones']],
        )
        loading = gevent.spawn(generators.run_load, self._build_profile())
        striking = gevent.spawn(self._strike, schedule)
        gevent.sleep(self._plan.duration_s / 2)
        withdrawn_at = self._withdraw_key()
        report = loading.get()
        striking.get()
        findings = self._judge(report, withdrawn_at)
        return Outcome(
            self._plan,
            self._strategy,
            schedule,
            report.count_outcomes(),
            findings,
            self._failed,
        )

    def _strike(self, schedule: schedules.Schedule) -> None:
        """Starts each step at its time, then waits for all and mends."""
        started = clocks.read_now()
        jobs = []
        for step in schedule.steps:
            gevent.sleep(max(0.0, started + step.at_s - clocks.read_now()))
            jobs.append(gevent.spawn(self._carry_out_step, step))
        gevent.joinall(jobs)
        self._cluster.heal(rules=True)

    def _carry_out_step(self, step: schedules.Step) -> None:
        started = clocks.read_now()
        try:
            self._site.run(step)
        except (
            standin_errors.ClusterError,
            standin_errors.ExchangeError,
        ) as error:
            self._failed.append(f'{step.number} {step.kind}: {error}')
        if step.kind not in _PLANNED:
            self._unplanned.append((started, clocks.read_now()))

    def _withdraw_key(self) -> float:
        """Withdraws a key and returns when it was published, in seconds."""
        key_id = self._deployment.plaintexts[self._withdrawn].partition('.')[0]
        self._cluster.withdraw_key(key_id)
        return clocks.read_now()

    # Before and after the load.

    def _wait_admitting(self) -> None:
        """Waits until every node admits calls of every workspace."""
        pending = [
            (vm, name) for vm in self._cluster.vms for name in self._workspaces
        ]

        def admits() -> bool:
            jobs = [gevent.spawn(self._serves, *pair) for pair in pending]
            gevent.joinall(jobs)
            pending[:] = [p for p, job in zip(pending, jobs) if not job.get()]
            return not pending

        self._cluster.wait_until(admits, _START_S, 'admission')

    def _serves(self, vm: str, workspace: str) -> bool:
        path = self._list_reads()[0]
        key = self._deployment.plaintexts[workspace]
        try:
            return self._cluster.call(vm, path, key).status == 200
        except standin_errors.ExchangeError:
            return False

    def _forget_warm_up(self) -> None:
        for upstream in self._cluster.preset['upstreams']:
            self._cluster.control_backend(upstream['name'], 'clear-runs')
        self._cluster.collect_peaks(reset=True)

    def _list_unserved(self) -> list[str]:
        """Returns the VMs that serve no call in time."""
        pending = list(self._cluster.vms)

        def serve() -> bool:
            for vm in list(pending):
                if self._serves(vm, self._workspaces[1]):
                    pending.remove(vm)
            return not pending

        try:
            self._cluster.wait_until(serve, _RECOVERY_S, 'recovery')
        except standin_errors.ClusterError:
            return pending
        return []

    def _judge(
        self, report: loadreports.LoadReport, withdrawn_at: float
    ) -> list[checks.Finding]:
        unserved = self._list_unserved()
        self._cluster.wait_until(self._is_idle, _IDLE_S, 'idle backend servers')
        runs = self._cluster.collect_runs()
        budgets = self._read_budgets()
        violations = referee.Referee(budgets, _LATITUDE_S).judge(
            _drop_probes(runs), report.records, self._cluster.collect_peaks()
        )
        ended = {
            vm.name: vm.process.returncode
            for vm in self._cluster.vms.values()
            if vm.process is not None and vm.process.returncode is not None
        }
        evidence = checks.Evidence(
            report.records,
            runs,
            self._site.stops,
            self._unplanned,
            self._withdrawn,
            withdrawn_at,
            _KEY_TRUST_S + _LATITUDE_S,
            ended,
            unserved,
        )
        found = [checks.Finding(v.rule, v.detail) for v in violations]
        return found + checks.find_breaches(evidence)

    def _read_budgets(self) -> dict[str, referee.Budget]:
        """Returns what the limit strategy promises for each workspace."""
        budgets = referee.read_budgets(self._cluster.preset['workspaces'])
        if self._strategy == 'escrow':
            return budgets
        # Replicas see what others spend late; the excess is what operators
        # who choose them tolerate.
        return {
            name: referee.Budget(
                budget.rate_per_s * (1.0 + _TOLERANCE),
                budget.burst * (1.0 + _TOLERANCE) + _TOLERATED_CALLS,
            )
            for name, budget in budgets.items()
        }

    def _is_idle(self) -> bool:
        peaks = self._cluster.collect_peaks().values()
        return not any(entry['in_flight_now'] for entry in peaks)

    # The load.

    def _list_reads(self) -> list[str]:
        """Returns paths of keyed routes that may be read."""
        return [
            f'{route.prefix}/1'
            for route in self._deployment.preset.routes.values()
            if 'GET' in route.methods and not route.open_to_all
        ]

    def _build_profile(self) -> profiles.Profile:
        preset = self._deployment.preset
        routes = []
        for route in preset.routes.values():
            path = f'{route.prefix}/1'
            if 'GET' in route.methods:
                routes.append(profiles.RouteLoad(path, share=3.0))
            else:
                routes.append(
                    profiles.RouteLoad(
                        path,
                        'POST',
                        body_bytes=300,
                        repeatable=route.repeatable,
                        repeat_share=0.0 if route.repeatable else 0.3,
                    )
                )
        rates = {
            w.name: w.rate_per_s
            * (_GREEDY_SHARE if w.name == self._workspaces[0] else 1.0)
            for w in preset.workspaces.values()
        }
        if self._plan.vms:
            scale = _LARGE_CALLS_PER_S / sum(rates.values()) / _OFFERED_SHARE
            rates = {name: rate * scale for name, rate in rates.items()}
        return profiles.Profile(
            targets=tuple(self._cluster.targets()),
            duration_s=self._plan.duration_s,
            workspaces=tuple(
                profiles.WorkspaceLoad(
                    name,
                    rate * _OFFERED_SHARE,
                    tuple(routes),
                    self._deployment.plaintexts[name],
                    connections=48,
                )
                for name, rate in rates.items()
            ),
            seed=self._plan.seed,
            timeout_s=_CALL_TIMEOUT_S,
        )


def _drop_probes(runs: Sequence[Mapping]) -> list[Mapping]:
    """Returns the runs without those of the soak's own calls."""
    return [run for run in runs if run['echo'] or run['nested']]


def _build_deployment(plan: Plan) -> samples.Deployment:
    if plan.vms:
        return samples.build_large(
            plan.vms, n_services=4, n_zones=3, n_workspaces=8, ramp=_RAMP
        )
    build = {
        'agence': samples.build_agence,
        'leeuwenhoek': samples.build_leeuwenhoek,
    }[plan.deployment]
    return build(ramp=_RAMP)


def _plan_cluster(
    deployment: samples.Deployment, strategy: str
) -> plans.ClusterPlan:
    return plans.plan_deployment(
        deployment,
        fault_proxies=True,
        start_timeout_s=120.0,
        node={
            'limits': {'strategy': strategy, 'tolerance': _TOLERANCE},
            'keys': {'max_unconfirmed_s': _KEY_TRUST_S},
        },
        backend={
            'service_time': {'kind': 'exponential', 'mean_ms': 8.0},
            'cold_start': {
                'initial_slots': _RAMP.initial_slots,
                'duration_s': _RAMP.duration_s,
            },
        },
    )


def _keep_logs(cluster: clusters.Cluster, plan: Plan) -> None:
    """Copies settings and logs of all processes to a directory of the seed."""
    assert cluster.launcher.directory is not None and plan.kept is not None
    target = plan.kept / f'seed-{plan.seed}'
    shutil.copytree(cluster.launcher.directory, target, dirs_exist_ok=True)
