"""Soak runs on the operators' platform, whose nodes are the real programs."""

import json
import pathlib
import random
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.soak import checks
from jayseam.soak import errors
from jayseam.soak import faults
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.soak import probes
from jayseam.soak import runs
from jayseam.soak import schedules
from jayseam.soak import stopchecks
from jayseam.soak import stopfaults as _  # Registers faults.
from jayseam.soak import storechecks
from jayseam.soak import storefaults
from jayseam.standins import callers
from jayseam.standins import errors as standin_errors
from jayseam.standins import invariants
from jayseam.standins import machines
from jayseam.standins import platformbackend
from jayseam.standins import readiness
from jayseam.standins import refusals
from jayseam.standins import waits
from jayseam.tools import records

_DEFAULT_VMS = 10
_CALM_S = 7.0
# Time after the last fault within which every node must serve what was added
# last, and within which every backend server must get requests.
_RECOVERY_TIMEOUT_S = storechecks.STABLE_WINDOW_S + storechecks.CONFIG_APPLY_S
_SHARE_TIMEOUT_S = 15.0
# Length of the recovery period at the end of the load.
_RECOVERY_S = 8.0
_SERVICE = callers.Service(
    operators.LONG_SAFE_ROUTE,
    operators.LONG_UNSAFE_ROUTE,
    operators.LONG_TIMEOUT_S,
    probes.LASTING_KEY,
    probes.LASTING_TENANT,
)
# Kinds of steps that excuse what a planned stop loses. Disruptions of the store
# excuse nothing.
_UNPLANNED_KINDS = frozenset(
    ('kill', 'kill-many', 'pause', 'restore-then-kill', 'stop-beside-kill')
)
# Share of seeds whose nodes run on machines that refuse no call of the system,
# and most calls that are refused together.
_ACCEPTING_SHARE = 0.4
_MAX_REFUSED = 3


@runs.registry.register('store')
def run_soak(plan: runs.Plan) -> runs.SoakResult:
    """Starts a fleet, injects the faults of the seed and checks the result.

    Raises:
      SoakError: If the fleet doesn't start.
      UnknownVariantError: If there is no kind or refusal of a name.
    """
    refused = draw_refused(plan)
    for name in refused:
        machines.find(name)
    fleet = fleets.Fleet(plan.vms or _DEFAULT_VMS, refused)
    try:
        result = _Run(plan, fleet, refused).execute()
        if result.findings and plan.log_directory is not None:
            runs.copy_logs(fleet.directory, plan)
        return result
    except standin_errors.ClusterError as error:
        raise errors.SoakError(f'seed {plan.seed}: {error}') from error
    finally:
        fleet.close()


def draw_refused(plan: runs.Plan) -> Sequence[str]:
    """Returns the calls of the system that are refused in a run."""
    if plan.refused is not None:
        return plan.refused
    generator = random.Random(f'{plan.seed} refused')
    if generator.random() < _ACCEPTING_SHARE:
        return ()
    names = refusals.registry.list_names()
    count = generator.randint(1, min(_MAX_REFUSED, len(names)))
    return generator.sample(names, count)


class _Run:
    """A soak run on a fleet."""

    def __init__(
        self, plan: runs.Plan, fleet: fleets.Fleet, refused: Sequence[str]
    ):
        self._plan = plan
        self._refused = refused
        self._fleet = fleet
        self._operator = operators.Operator(
            fleet, random.Random(f'{plan.seed} operator')
        )
        self._prober = probes.Prober(
            fleet, self._operator, random.Random(f'{plan.seed} probes')
        )
        self._monitor = readiness.Monitor(
            {zone: fleet.list_ips(zone) for zone in fleets.ZONES},
            fleet.is_ready,
        )
        self._callers = callers.Callers(
            fleet.get_caller_address,
            self._monitor.is_out,
            _SERVICE,
            random.Random(f'{plan.seed} callers'),
            max(1.0, len(fleet.vms) / _DEFAULT_VMS),
        )
        self._context = storefaults.InjectionContext(
            fleet, self._operator, plan.seed
        )
        self._started = 0.0
        self._failed_steps: list[str] = []
        self._unplanned_faults: list[tuple[float, float]] = []

    def execute(self) -> runs.SoakResult:
        """Runs the load and the faults and returns the checked result."""
        schedule = schedules.draw_schedule(
            self._plan.seed,
            self._plan.duration_s,
            faults.list_kinds(
                storefaults.registry,
                self._plan.kinds,
                self._plan.excluded_kinds,
            ),
            list(self._fleet.vms),
            fleets.ZONES,
            _RECOVERY_S,
            _CALM_S,
        )
        self._operator.send_configuration()
        for ip in self._fleet.vms:
            self._operator.register(ip)
        self._fleet.start_all()
        self._started = clocks.read_now()
        copies = gevent.spawn(self._operator.keep_copies)
        jobs = [
            gevent.spawn(self._prober.run_probes, ip, self._plan.duration_s)
            for ip in self._fleet.vms
        ]
        jobs += self._spawn_callers()
        changes_s = self._plan.duration_s - _RECOVERY_S
        jobs += [
            gevent.spawn(self._operator.run_changes, changes_s),
            gevent.spawn(faults.inject_schedule, schedule, self._execute_step),
        ]
        gevent.joinall(jobs, raise_error=True)
        copies.kill()
        unrecovered = self._list_unrecovered()
        findings = self._check(unrecovered)
        self._write_report(schedule, findings)
        return runs.SoakResult(
            self._plan,
            'replicated',
            schedule,
            self._count_outcomes(),
            findings,
            self._failed_steps,
            [
                f'refused: {" ".join(self._refused) or "nothing"}',
                *self._context.notes,
            ],
        )

    def _spawn_callers(self) -> list[gevent.Greenlet]:
        generator = random.Random(f'{self._plan.seed} readiness')
        jobs = []
        for ip in self._fleet.vms:
            phase_s = generator.random()
            jobs.append(
                gevent.spawn(
                    self._monitor.watch, ip, phase_s, self._plan.duration_s
                )
            )
            jobs += [
                gevent.spawn(
                    self._callers.run, ip, habits, self._plan.duration_s
                )
                for habits in callers.ALL_HABITS
            ]
        return jobs

    def _execute_step(self, step: schedules.Step) -> None:
        started = clocks.read_now()
        try:
            self._context.run(step)
        except standin_errors.ClusterError as error:
            self._failed_steps.append(f'{step.number} {step.kind}: {error}')
        if step.kind in _UNPLANNED_KINDS:
            self._unplanned_faults.append((started, clocks.read_now()))

    # Recovery.

    def _list_unrecovered(self) -> list[str]:
        """Returns what is not in force again in time after the last fault."""
        version = self._operator.versions[-1]
        pending = {
            (ip, route, key)
            for ip in self._fleet.vms
            for route, key in (
                *((route, probes.LASTING_KEY) for route in version.routes),
                *(('view', key) for key in version.keys),
            )
        }

        def serves_all() -> bool:
            jobs = {
                target: gevent.spawn(self._prober.send, *target)
                for target in pending
            }
            gevent.joinall(list(jobs.values()), raise_error=True)
            for target, job in jobs.items():
                if job.value.call.status == 200:
                    pending.discard(target)
            return not pending

        idle = dict(self._count_arrivals())

        def gets_requests() -> bool:
            ips = list(self._fleet.vms)
            jobs = [
                gevent.spawn(self._prober.send, ip, 'open', '') for ip in ips
            ]
            gevent.joinall(jobs, raise_error=True)
            for ip, count in self._count_arrivals().items():
                if count > idle.get(ip, count):
                    del idle[ip]
            return not idle

        found = []
        for predicate, timeout_s in (
            (serves_all, _RECOVERY_TIMEOUT_S),
            (gets_requests, _SHARE_TIMEOUT_S),
        ):
            try:
                waits.wait_until(predicate, timeout_s)
            except standin_errors.ClusterError:
                pass
        found += [' '.join(target) for target in sorted(pending)]
        found += [f'{ip} gets no request, and its callers' for ip in idle]
        return found

    def _count_arrivals(self) -> dict[str, int]:
        return {
            vm.ip: len(vm.backend.arrivals) for vm in self._fleet.vms.values()
        }

    # Checks.

    def _check(self, unrecovered: Sequence[str]) -> list[checks.Finding]:
        vms = self._fleet.vms.values()
        sent = [*self._prober.probes, *self._list_caller_probes()]
        arrivals = {vm.ip: vm.backend.arrivals for vm in vms}
        observations = storechecks.Observations(
            sent,
            arrivals,
            self._operator.versions,
            self._operator.orders,
            self._operator.states,
            self._operator.core_disruptions,
            {vm.ip: vm.boots for vm in vms},
            {vm.ip: vm.disruptions for vm in vms},
            self._context.unread_returns,
            self._started,
        )
        calls = [probe.call for probe in sent]
        call_runs = self._list_runs(calls)
        common = checks.Observations(
            records=[probe.call for probe in self._prober.probes],
            runs=call_runs,
            stops=self._context.stops,
            unplanned_faults=self._unplanned_faults,
            withdrawn='',
            withdrawn_at=float('inf'),
            key_grace_s=0.0,
            exit_statuses=dict(self._fleet.list_exit_statuses()),
            unrecovered_vms=unrecovered,
        )
        violations = invariants.InvariantChecker().find_violations(
            call_runs, calls
        )
        return [
            *(checks.Finding(v.rule, v.detail) for v in violations),
            *checks.run_checks(common),
            *storechecks.run_checks(observations),
            *stopchecks.run_checks(self._observe_stops(arrivals)),
        ]

    def _observe_stops(
        self, arrivals: Mapping[str, Sequence[platformbackend.Arrival]]
    ) -> stopchecks.Observations:
        vms = self._fleet.vms.values()
        return stopchecks.Observations(
            self._callers.requests,
            arrivals,
            self._context.stops,
            {vm.ip: vm.reloads for vm in vms},
            {vm.ip: vm.faults for vm in vms},
            self._monitor.questions,
            {vm.ip: self._fleet.read_log(vm.ip) for vm in vms},
            self._refused,
            self._started,
        )

    def _list_caller_probes(self) -> list[probes.Probe]:
        return [
            probes.Probe(request.route, _SERVICE.key, request.call)
            for request in self._callers.requests
        ]

    def _list_runs(
        self, records_of_calls: Sequence[records.CallRecord]
    ) -> list[dict[str, Any]]:
        """Returns the runs in the form that the invariants are checked in."""
        calls = {call.echo: call for call in records_of_calls}
        return [
            {
                'request_id': arrival.request_id,
                'echo': arrival.request_id,
                'idempotency_key': calls[arrival.request_id].idempotency_key
                if arrival.request_id in calls
                else '',
                'workspace': arrival.workspace,
                'key_seen': bool(arrival.authorization),
                'nested': False,
                'started': arrival.at,
                'backend': vm.ip,
                'draining_s': None,
            }
            for vm in self._fleet.vms.values()
            for arrival in vm.backend.arrivals
            if arrival.ran
        ]

    def _count_outcomes(self) -> Mapping[str, int]:
        counts: dict[str, int] = {}
        for probe in [*self._prober.probes, *self._list_caller_probes()]:
            outcome = probe.call.outcome
            counts[outcome] = counts.get(outcome, 0) + 1
        return counts

    def _write_report(
        self, schedule: schedules.Schedule, findings: Sequence[checks.Finding]
    ) -> None:
        """Writes everything that was checked beside the logs of the nodes."""
        vms = self._fleet.vms.values()
        report = {
            'started': self._started,
            'schedule': attrs.asdict(schedule),
            'findings': [attrs.asdict(finding) for finding in findings],
            'notes': self._context.notes,
            'versions': [attrs.asdict(v) for v in self._operator.versions],
            'orders': [attrs.asdict(o) for o in self._operator.orders],
            'states': [attrs.asdict(s) for s in self._operator.states],
            'core': [attrs.asdict(s) for s in self._operator.core_disruptions],
            'boots': {vm.ip: [attrs.asdict(b) for b in vm.boots] for vm in vms},
            'disruptions': {
                vm.ip: [attrs.asdict(s) for s in vm.disruptions] for vm in vms
            },
            'probes': [attrs.asdict(p) for p in self._prober.probes],
            'requests': [
                attrs.asdict(request) for request in self._callers.requests
            ],
            'questions': [attrs.asdict(q) for q in self._monitor.questions],
            'stops': [attrs.asdict(stop) for stop in self._context.stops],
            'refused': self._refused,
            'faults': {
                vm.ip: [attrs.asdict(s) for s in vm.faults] for vm in vms
            },
            'reloads': {vm.ip: vm.reloads for vm in vms},
            'arrivals': {
                vm.ip: [attrs.asdict(a) for a in vm.backend.arrivals]
                for vm in vms
            },
        }
        path: pathlib.Path = self._fleet.directory / 'run.json'
        path.write_text(json.dumps(report, default=sorted), encoding='utf-8')
