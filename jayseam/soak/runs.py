"""Soak runs: a cluster under load and faults, then checks of the result."""

import pathlib
import random
import shutil
from collections.abc import Callable, Mapping, Sequence

import attrs
import gevent

from jayseam.core import clocks
from jayseam.core import registries
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.soak import checks
from jayseam.soak import errors
from jayseam.soak import faults
from jayseam.soak import schedules
from jayseam.standins import clusters
from jayseam.standins import errors as standin_errors
from jayseam.standins import invariants
from jayseam.standins import plans
from jayseam.tools import generators
from jayseam.tools import loadreports
from jayseam.tools import profiles

# Kinds of steps that are planned work of operators. They excuse no lost call.
_PLANNED_KINDS = frozenset(('stop', 'zone-out', 'storm'))
_RAMP = model.Ramp(initial_slots=3, duration_s=1.5)
# Offered load of a workspace as a share of its rate limit.
_OFFERED_SHARE = 0.5
# Factor on the load of the greedy workspace, which exceeds its rate limit.
_GREEDY_FACTOR = 3.0
# Longest time for which a node may use a key without confirmation that the key
# is still valid.
_KEY_TRUST_S = 5.0
# Longest time from the admission of a call to its run. A node that was paused
# first waits for a refresh of its configuration, then runs the calls that it
# had admitted before the pause. A pause takes up to 3 s, the refresh up to 1 s.
_LATITUDE_S = 4.5
# Longest time after the last fault until all nodes serve again: the bound
# ``recover`` in the operators' requirements.
_RECOVERY_TIMEOUT_S = 15.0
_ADMISSION_TIMEOUT_S = 40.0
# Longer than the usual route timeout of 5 s, so that a call without a response
# by then is lost. Some routes of the sample deployments allow 10 s or 20 s.
_CALL_TIMEOUT_S = 8.0
# The longest route timeout (20 s) plus a margin. No call is in flight after it.
_IDLE_TIMEOUT_S = 21.0
_STRATEGIES = ('escrow', 'replicated')
# Excess over rate limits that operators tolerate with replicated limits: a
# share of rate and burst (their bound ``quota_overage``) and a number of calls
# (their bound ``quota_slack``).
_TOLERANCE = 0.25
_TOLERATED_CALLS = 20.0
# Total load of all workspaces in a deployment whose size `Plan.vms` sets.
_LARGE_CALLS_PER_S = 150.0


@attrs.frozen
class Plan:
    """Parameters of a soak run.

    Attributes:
      seed: Seed of the schedule, the load and the choice of limit strategy.
      duration_s: Duration of the load in seconds.
      deployment: Sample deployment, ``agence`` or ``leeuwenhoek``; unused if
        ``vms`` is set.
      vms: Number of VMs of a generated deployment; 0 uses the sample.
      log_directory: Directory to which the logs of a run with findings are
        copied; None copies none.
      kinds: Kinds of steps to draw from; empty for all.
      excluded_kinds: Kinds of steps that are not drawn.
      refused: Calls of the operating system that are refused to the nodes of
        the operators' platform; None lets the seed decide.
    """

    seed: int
    duration_s: float = 30.0
    deployment: str = 'agence'
    vms: int = 0
    log_directory: pathlib.Path | None = None
    kinds: Sequence[str] = ()
    excluded_kinds: Sequence[str] = ()
    refused: Sequence[str] | None = None


@attrs.frozen
class SoakResult:
    """Result of a soak run.

    Attributes:
      plan: Parameters of the run.
      strategy: Limit strategy, chosen by the seed.
      schedule: The steps that were scheduled.
      outcomes: Number of calls by outcome.
      findings: Violated invariants.
      failed_steps: Steps that could not be carried out, with the reason.
      notes: What steps did besides what the schedule tells.
    """

    plan: Plan
    strategy: str
    schedule: schedules.Schedule
    outcomes: Mapping[str, int]
    findings: Sequence[checks.Finding]
    failed_steps: Sequence[str]
    notes: Sequence[str] = ()


Runner = Callable[[Plan], SoakResult]

# Soaks by the platform whose protocol the nodes speak.
registry: registries.Registry[Runner] = registries.Registry('platform')


@registry.register('product')
def run_soak(plan: Plan) -> SoakResult:
    """Starts a cluster, injects the faults of the seed and checks the result.

    Raises:
      SoakError: If the cluster doesn't start.
    """
    deployment = _build_deployment(plan)
    strategy = random.Random(plan.seed).choice(_STRATEGIES)
    try:
        with clusters.Cluster(_plan_cluster(deployment, strategy)) as cluster:
            result = _Run(plan, deployment, cluster, strategy).execute()
            if result.findings and plan.log_directory is not None:
                assert cluster.launcher.directory is not None
                copy_logs(cluster.launcher.directory, plan)
            return result
    except standin_errors.ClusterError as error:
        raise errors.SoakError(f'seed {plan.seed}: {error}') from error


class _Run:
    """A soak run on a started cluster."""

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
        self._context = faults.InjectionContext(cluster)
        self._unplanned_faults: list[tuple[float, float]] = []
        self._failed_steps: list[str] = []
        # The key of the last workspace by name is withdrawn during the run; the
        # first workspace exceeds its rate limit; the others stay below theirs.
        self._workspaces = sorted(deployment.plaintexts)
        self._withdrawn_workspace = self._workspaces[-1]

    def execute(self) -> SoakResult:
        """Runs the load and the faults and returns the checked result."""
        self._wait_until_admitting()
        self._clear_warm_up_records()
        schedule = schedules.draw_schedule(
            self._plan.seed,
            self._plan.duration_s,
            faults.list_kinds(
                names=self._plan.kinds, excluded_names=self._plan.excluded_kinds
            ),
            [u['name'] for u in self._cluster.preset['upstreams']],
            [z['name'] for z in self._cluster.preset['zones']],
        )
        load_job = gevent.spawn(generators.run_load, self._build_profile())
        fault_job = gevent.spawn(self._inject_faults, schedule)
        gevent.sleep(self._plan.duration_s / 2)
        withdrawn_at = self._withdraw_key()
        report = load_job.get()
        fault_job.get()
        findings = self._check_result(report, withdrawn_at)
        return SoakResult(
            self._plan,
            self._strategy,
            schedule,
            report.count_outcomes(),
            findings,
            self._failed_steps,
        )

    def _inject_faults(self, schedule: schedules.Schedule) -> None:
        """Starts each step at its time; heals the network after the last."""
        faults.inject_schedule(schedule, self._execute_step)
        self._cluster.heal(rules=True)

    def _execute_step(self, step: schedules.Step) -> None:
        started = clocks.read_now()
        try:
            self._context.run(step)
        except (
            standin_errors.ClusterError,
            standin_errors.ExchangeError,
        ) as error:
            self._failed_steps.append(f'{step.number} {step.kind}: {error}')
        if step.kind not in _PLANNED_KINDS:
            self._unplanned_faults.append((started, clocks.read_now()))

    def _withdraw_key(self) -> float:
        """Withdraws a key and returns the time of publication in seconds."""
        key_id = self._deployment.plaintexts[
            self._withdrawn_workspace
        ].partition('.')[0]
        self._cluster.withdraw_key(key_id)
        return clocks.read_now()

    # Probe calls and checks before and after the load.

    def _wait_until_admitting(self) -> None:
        """Waits until every node admits calls of every workspace."""
        pending = [
            (vm, name) for vm in self._cluster.vms for name in self._workspaces
        ]

        def check_pending() -> bool:
            jobs = [
                gevent.spawn(self._is_call_served, *pair) for pair in pending
            ]
            gevent.joinall(jobs)
            pending[:] = [p for p, job in zip(pending, jobs) if not job.get()]
            return not pending

        self._cluster.wait_until(
            check_pending, _ADMISSION_TIMEOUT_S, 'admission'
        )

    def _is_call_served(self, vm: str, workspace: str) -> bool:
        path = self._list_read_paths()[0]
        key = self._deployment.plaintexts[workspace]
        try:
            return self._cluster.call(vm, path, key).status == 200
        except standin_errors.ExchangeError:
            return False

    def _clear_warm_up_records(self) -> None:
        for upstream in self._cluster.preset['upstreams']:
            self._cluster.control_backend(upstream['name'], 'clear-runs')
        self._cluster.collect_peaks(reset=True)

    def _list_unrecovered_vms(self) -> list[str]:
        """Returns the VMs that serve no call within the recovery timeout."""
        pending = list(self._cluster.vms)

        def check_pending() -> bool:
            for vm in list(pending):
                if self._is_call_served(vm, self._workspaces[1]):
                    pending.remove(vm)
            return not pending

        try:
            self._cluster.wait_until(
                check_pending, _RECOVERY_TIMEOUT_S, 'recovery'
            )
        except standin_errors.ClusterError:
            return pending
        return []

    def _check_result(
        self, report: loadreports.LoadReport, withdrawn_at: float
    ) -> list[checks.Finding]:
        unrecovered_vms = self._list_unrecovered_vms()
        self._cluster.wait_until(
            self._is_idle, _IDLE_TIMEOUT_S, 'idle backend servers'
        )
        runs = self._cluster.collect_runs()
        budgets = self._read_budgets()
        violations = invariants.InvariantChecker(
            budgets, _LATITUDE_S
        ).find_violations(
            _exclude_probes(runs), report.records, self._cluster.collect_peaks()
        )
        exit_statuses = {
            vm.name: vm.process.returncode
            for vm in self._cluster.vms.values()
            if vm.process is not None and vm.process.returncode is not None
        }
        observations = checks.Observations(
            report.records,
            runs,
            self._context.stops,
            self._unplanned_faults,
            self._withdrawn_workspace,
            withdrawn_at,
            _KEY_TRUST_S + _LATITUDE_S,
            exit_statuses,
            unrecovered_vms,
        )
        findings = [checks.Finding(v.rule, v.detail) for v in violations]
        return findings + checks.run_checks(observations)

    def _read_budgets(self) -> dict[str, invariants.Budget]:
        """Returns the rate and burst that the limit strategy guarantees."""
        budgets = invariants.read_budgets(self._cluster.preset['workspaces'])
        if self._strategy == 'escrow':
            return budgets
        # With the replicated strategy, nodes learn late what other nodes have
        # admitted. Operators who choose this strategy tolerate the excess.
        return {
            name: invariants.Budget(
                budget.rate_per_s * (1.0 + _TOLERANCE),
                budget.burst * (1.0 + _TOLERANCE) + _TOLERATED_CALLS,
            )
            for name, budget in budgets.items()
        }

    def _is_idle(self) -> bool:
        peaks = self._cluster.collect_peaks().values()
        return not any(entry['in_flight_now'] for entry in peaks)

    # The load.

    def _list_read_paths(self) -> list[str]:
        """Returns paths of routes that allow GET and require a key."""
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
            * (_GREEDY_FACTOR if w.name == self._workspaces[0] else 1.0)
            for w in preset.workspaces.values()
        }
        if self._plan.vms:
            scale = _LARGE_CALLS_PER_S / sum(rates.values()) / _OFFERED_SHARE
            rates = {name: rate * scale for name, rate in rates.items()}
        return profiles.Profile(
            targets=tuple(self._cluster.list_targets()),
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


def _exclude_probes(runs: Sequence[Mapping]) -> list[Mapping]:
    """Returns the runs without those of the soak test's probe calls."""
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


def copy_logs(directory: pathlib.Path, plan: Plan) -> None:
    """Copies the settings and logs of all processes to ``seed-<seed>``."""
    assert plan.log_directory is not None
    target = plan.log_directory / f'seed-{plan.seed}'
    shutil.copytree(directory, target, dirs_exist_ok=True)
