"""All kinds of faults at once, under the load of all workspaces."""

import random

import gevent

from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.presets import model
from jayseam.presets import samples
from jayseam.standins import edits
from jayseam.standins import errors
from jayseam.tools import profiles

_DURATION_S = 28.0
_RAMP = model.Ramp(initial_slots=3, duration_s=1.5)
_GREEDY = 'dinant'
# A node that was paused for 3 s may run calls that it admitted before the pause
# once it has refreshed its versions.
_LATITUDE_S = 4.5
_ROUTES = [
    profiles.RouteLoad('/credits/1', share=3.0),
    profiles.RouteLoad('/drop-off-points/1'),
    profiles.RouteLoad('/refunds/1', nest=1, nest_path='/credits/1', share=0.5),
    profiles.RouteLoad('/credits/2', 'POST', body_bytes=300, share=0.5),
    profiles.RouteLoad(
        '/pickups/1', 'POST', repeatable=False, repeat_share=0.3
    ),
    profiles.RouteLoad(
        '/refunds/1', 'POST', repeatable=False, repeat_share=0.3
    ),
]


class _FaultInjector:
    """Injects faults at random, each kind in a greenlet of its own."""

    def __init__(self, fleet, generator):
        self._cluster = fleet.cluster
        self._generator = generator
        self._vms = sorted(fleet.cluster.vms)
        self._zones = sorted({vm.zone for vm in fleet.cluster.vms.values()})
        self._reserved = set()
        self.counts = {}

    def run(self, until):
        """Injects faults until a time, then repairs the network."""
        faults = [
            gevent.spawn(self._repeat, fault, wait_s, until)
            for fault, wait_s in (
                (self._kill, 3.0),
                (self._pause, 4.0),
                (self._partition, 5.0),
                (self._move_zone, 6.0),
                (self._silence_links, 3.0),
                (self._restart_backend, 2.0),
                (self._stop_platform, 7.0),
                (self._reset_answers, 3.0),
            )
        ]
        gevent.joinall(faults, raise_error=True)
        self._cluster.heal(rules=True)

    def _repeat(self, fault, wait_s, until):
        while True:
            gevent.sleep(self._generator.uniform(0.3, 1.0) * wait_s)
            # The longest fault takes four seconds.
            if clocks.read_now() > until - 4.0:
                return
            name = fault.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            fault()

    def _reserve_vm(self):
        free = [vm for vm in self._vms if vm not in self._reserved]
        vm = self._generator.choice(free)
        self._reserved.add(vm)
        return vm

    def _kill(self):
        vm = self._reserve_vm()
        # Kills the backend server as well: if it outlived its node, it would
        # still run calls that the next node process doesn't count.
        self._cluster.kill(vm)
        gevent.sleep(self._generator.uniform(0.2, 2.0))
        self._cluster.restart(vm)
        gevent.sleep(1.0)
        self._reserved.discard(vm)

    def _pause(self):
        vm = self._reserve_vm()
        self._cluster.pause(vm)
        gevent.sleep(self._generator.uniform(0.5, 3.0))
        self._cluster.resume(vm)
        self._reserved.discard(vm)

    def _partition(self):
        zone = self._generator.choice(self._zones)
        rest = [name for name in self._zones if name != zone]
        self._cluster.partition([zone], rest)
        gevent.sleep(self._generator.uniform(1.0, 2.5))
        self._cluster.heal()

    def _move_zone(self):
        zone = self._generator.choice(self._zones)
        for in_service in (False, True):
            self._cluster.publish(
                edits.set_zone_in_service(
                    self._cluster.preset, zone, in_service
                )
            )
            gevent.sleep(1.5)

    def _silence_links(self):
        vms = self._generator.sample(self._vms, 2)
        self._cluster.control_fault_proxy('half-open', source=vms)

    def _restart_backend(self):
        upstream = self._cluster.vms[self._generator.choice(self._vms)].upstream
        self._cluster.control_backend(
            upstream, 'restart', silent=True, disconnect=True
        )

    def _stop_platform(self):
        rule = {'id': 'platform', 'target': ['platform']}
        self._cluster.control_fault_proxy('rules', refuse=True, **rule)
        self._cluster.control_fault_proxy('cut', target=['platform'])
        gevent.sleep(2.0)
        self._cluster.control_fault_proxy('rules', clear=True, **rule)

    def _reset_answers(self):
        upstream = self._cluster.vms[self._generator.choice(self._vms)].upstream
        self._cluster.control_backend(
            upstream, 'fault', kind='reset', share=0.3
        )
        gevent.sleep(0.7)
        self._cluster.control_backend(upstream, 'fault', kind='')


def test_invariants_hold_when_everything_fails_at_once():
    """Faults at the same time must not violate the invariants."""
    backend = {
        'service_time': {'kind': 'exponential', 'mean_ms': 8.0},
        'cold_start': {
            'initial_slots': _RAMP.initial_slots,
            'duration_s': _RAMP.duration_s,
        },
    }
    deployment = samples.build_agence(ramp=_RAMP)
    with fleets.start_fleet(
        deployment, fault_proxies=True, backend=backend
    ) as fleet:
        fleet.wait_admitting()
        fleet.clear()
        rates = {
            entry['name']: entry['rate_per_s']
            * (5.0 if entry['name'] == _GREEDY else 0.7)
            for entry in fleet.cluster.preset['workspaces']
        }
        running = fleet.start_load(rates, _ROUTES, _DURATION_S, connections=100)
        injector = _FaultInjector(fleet, random.Random(fleets.SEED))
        until = clocks.read_now() + _DURATION_S
        fault_injection = gevent.spawn(injector.run, until)
        gevent.sleep(_DURATION_S / 2)
        withdrawn_at = clocks.read_now()
        _withdraw_key(fleet)
        report = running.get()
        fault_injection.get()
        _check_invariants(fleet, report, injector, withdrawn_at)


def _withdraw_key(fleet):
    key_id = fleet.keys[fleets.WITHDRAWN_WORKSPACE].partition('.')[0]
    try:
        fleet.cluster.withdraw_key(key_id)
    except errors.ControlError:
        gevent.sleep(0.5)
        fleet.cluster.withdraw_key(key_id)


def _check_invariants(fleet, report, injector, withdrawn_at):
    found = fleet.judge(report.records, _LATITUDE_S)
    outcomes = report.count_outcomes()
    print(injector.counts, outcomes, report.lag_p99_ms)
    assert len(injector.counts) == 8
    assert not found
    # A withdrawal may take 5 s, and no partition or platform outage lasts
    # longer than 2.5 s.
    late = [
        run
        for run in fleet.cluster.collect_runs()
        if run['workspace'] == fleets.WITHDRAWN_WORKSPACE
        and run['started'] > withdrawn_at + 5.0 + 2.5
    ]
    assert not late
    others = [
        record
        for record in report.records
        if record.workspace not in (_GREEDY, fleets.WITHDRAWN_WORKSPACE)
    ]
    assert sum(r.outcome == 'ok' for r in others) > 0.6 * len(others)
    # The fleet serves again once the faults are over.
    vms = list(fleet.cluster.vms)
    fleet.cluster.wait_until(
        lambda: all(
            fleet.cluster.call(vm, '/credits/1', fleet.keys['bureau']).status
            == 200
            for vm in vms
        ),
        15.0,
    )
