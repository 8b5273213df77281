"""Fault injection: carries out the steps of a schedule on a cluster.

Each kind of fault is a function that starts the fault, waits for the duration
of the step and ends the fault. Process faults hold the lock of their position,
so that only one of them acts on a node process at a time. Network faults take
no lock and may overlap with every other fault.
"""

import collections
import signal
from collections.abc import Callable, Iterable, Sequence

import attrs
import gevent
from gevent import lock

from jayseam.core import clocks
from jayseam.core import registries
from jayseam.soak import schedules
from jayseam.standins import clusters
from jayseam.standins import edits
from jayseam.standins import errors

# Longest time between SIGTERM and SIGKILL in an interrupted stop.
_MAX_TERM_TO_KILL_S = 0.3
# Time between two publications of presets in quick succession.
_PUBLISH_GAP_S = 0.15
# Longest delay that is added to each direction of a link.
_MAX_DELAY_MS = 150.0
# Largest share of its responses that a backend server resets.
_MAX_RESET_SHARE = 0.5


@attrs.frozen
class Stop:
    """A planned stop of a node process.

    Attributes:
      address: Caller address of the node, as ``host:port``.
      started: Time before the VM was listed as leaving and SIGTERM was sent,
        in seconds.
      ended: Time at which the process had exited, in seconds.
      status: Exit status.
      was_serving: Whether the node was serving before the stop. A process that
        is still starting has no signal handler yet and may be killed by
        SIGTERM.
    """

    address: str
    started: float
    ended: float
    status: int
    was_serving: bool


class FaultInjector:
    """Injects faults into a cluster and records its planned stops.

    Args:
      cluster: A running cluster with fault proxies.

    Attributes:
      cluster: The cluster.
      stops: Planned stops that were not interrupted by SIGKILL.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.stops: list[Stop] = []
        self._locks: dict[str, lock.RLock] = collections.defaultdict(lock.RLock)

    def find_vm(self, position: str) -> str:
        """Returns the name of the VM at an upstream position."""
        vms = self.cluster.vms.values()
        return next(vm.name for vm in vms if vm.upstream == position)

    def find_vms(self, positions: Sequence[str]) -> list[str]:
        """Returns the names of the VMs at upstream positions."""
        return [self.find_vm(position) for position in positions]

    def get_lock(self, position: str) -> lock.RLock:
        """Returns the lock that process faults at a position must hold."""
        return self._locks[position]

    def is_serving(self, vm: str) -> bool:
        """Returns whether a node reports the state ``serving``."""
        try:
            return self.cluster.status(vm).get('state') == 'serving'
        except errors.ExchangeError:
            return False

    def run(self, step: schedules.Step) -> None:
        """Carries out a step; returns when its fault has ended."""
        registry.get(step.kind).strike(self, step)


@attrs.frozen
class Fault:
    """A kind of fault.

    Attributes:
      kind: Parameters for drawing steps of this kind.
      strike: Injects the fault for one step and ends it after the step.
    """

    kind: schedules.Kind
    strike: Callable[[FaultInjector, schedules.Step], None]


registry: registries.Registry[Fault] = registries.Registry('fault')


def list_kinds() -> dict[str, schedules.Kind]:
    """Returns all kinds of faults by name."""
    return {name: registry.get(name).kind for name in registry.list_names()}


def _register(
    name: str, kind: schedules.Kind
) -> Callable[[Callable[[FaultInjector, schedules.Step], None]], Fault]:
    """Returns a decorator that registers a function as a fault."""

    def add_fault(
        inject: Callable[[FaultInjector, schedules.Step], None],
    ) -> Fault:
        return registry.register(name)(Fault(kind, inject))

    return add_fault


# Process faults.


@_register('kill', schedules.Kind('positions', most=2, weight=2.0))
def _kill(injector: FaultInjector, step: schedules.Step) -> None:
    """Kills the processes of VMs and restarts them."""
    _kill_and_restart(injector, step)


@_register('kill-many', schedules.Kind('positions', 5, 9, weight=0.3))
def _kill_many(injector: FaultInjector, step: schedules.Step) -> None:
    """Kills the processes of many VMs at once and restarts them."""
    _kill_and_restart(injector, step)


def _kill_and_restart(injector: FaultInjector, step: schedules.Step) -> None:
    def kill_and_restart(position: str) -> None:
        with injector.get_lock(position):
            vm = injector.find_vm(position)
            # Kills the backend server, too. Otherwise it would still run calls
            # that the next node process can't count.
            injector.cluster.kill(vm)
            gevent.sleep(step.for_s)
            injector.cluster.restart(vm)

    _join(gevent.spawn(kill_and_restart, position) for position in step.targets)


@_register('pause', schedules.Kind('positions', longest_s=3.0, weight=2.0))
def _pause(injector: FaultInjector, step: schedules.Step) -> None:
    """Pauses a node process (SIGSTOP, then SIGCONT)."""
    with injector.get_lock(step.targets[0]):
        vm = injector.find_vm(step.targets[0])
        injector.cluster.pause(vm)
        gevent.sleep(step.for_s)
        injector.cluster.resume(vm)


@_register('stop', schedules.Kind('positions', most=2, weight=2.0))
def _stop_as_planned(injector: FaultInjector, step: schedules.Step) -> None:
    """Stops and restarts nodes as planned, one after the other."""
    for position in step.targets:
        with injector.get_lock(position):
            vm = injector.find_vm(position)
            address = f'127.0.0.1:{injector.cluster.vms[vm].caller_port}'
            was_serving = injector.is_serving(vm)
            started = clocks.read_now()
            status = injector.cluster.terminate(vm)
            ended = clocks.read_now()
            stop = Stop(address, started, ended, status, was_serving)
            injector.stops.append(stop)
            injector.cluster.restart(vm)


@_register('stop-cut-short', schedules.Kind('positions'))
def _interrupt_stop(injector: FaultInjector, step: schedules.Step) -> None:
    """Kills a node during its planned stop, then restarts it."""
    with injector.get_lock(step.targets[0]):
        vm = injector.find_vm(step.targets[0])
        process = injector.cluster.vms[vm].process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        gevent.sleep(_MAX_TERM_TO_KILL_S * step.strength)
        injector.cluster.kill(vm)
        gevent.sleep(step.for_s)
        injector.cluster.restart(vm)


@_register('pause-then-kill', schedules.Kind('positions'))
def _pause_then_kill(injector: FaultInjector, step: schedules.Step) -> None:
    """Pauses a node, kills it while it is paused, then restarts it."""
    with injector.get_lock(step.targets[0]):
        vm = injector.find_vm(step.targets[0])
        injector.cluster.pause(vm)
        gevent.sleep(step.for_s * step.strength)
        injector.cluster.kill(vm)
        gevent.sleep(step.for_s * (1.0 - step.strength))
        injector.cluster.restart(vm)


# Network faults.


@_register('cut', schedules.Kind('zones', weight=1.5))
def _partition_zone(injector: FaultInjector, step: schedules.Step) -> None:
    """Partitions a zone from the rest; only one partition at a time exists."""
    other_zones = [z for z in _list_zones(injector) if z not in step.targets]
    injector.cluster.partition(step.targets, other_zones)
    gevent.sleep(step.for_s)
    injector.cluster.heal()


@_register('one-way', schedules.Kind('positions', most=2))
def _drop_one_way(injector: FaultInjector, step: schedules.Step) -> None:
    """Drops what nodes send on links they opened, but not what they receive."""
    vms = injector.find_vms(step.targets)
    _apply_rule(injector, step, source=vms, silence='forward')


@_register('delay', schedules.Kind('positions', most=3))
def _delay_links(injector: FaultInjector, step: schedules.Step) -> None:
    """Delays traffic on links to nodes."""
    vms = injector.find_vms(step.targets)
    delay_ms = _MAX_DELAY_MS * step.strength
    _apply_rule(injector, step, target=vms, delay_ms=delay_ms)


@_register('refuse', schedules.Kind('positions', most=2))
def _refuse_links(injector: FaultInjector, step: schedules.Step) -> None:
    """Resets open links to nodes and refuses new links."""
    vms = injector.find_vms(step.targets)
    injector.cluster.control_faults('cut', target=vms, reset=True)
    _apply_rule(injector, step, target=vms, refuse=True)


@_register('half-open', schedules.Kind('positions', least=2, most=3, weight=2))
def _silence_open_links(injector: FaultInjector, step: schedules.Step) -> None:
    """Silences the open links of nodes for good; new links work."""
    vms = injector.find_vms(step.targets)
    injector.cluster.control_faults('half-open', source=vms)


@_register('reset', schedules.Kind('positions', least=2, most=6))
def _reset_links(injector: FaultInjector, step: schedules.Step) -> None:
    """Resets the open links of nodes."""
    vms = injector.find_vms(step.targets)
    injector.cluster.control_faults('cut', source=vms, reset=True)


@_register('platform-away', schedules.Kind('none', longest_s=4.0))
def _refuse_platform(injector: FaultInjector, step: schedules.Step) -> None:
    """Closes open connections to the platform and refuses new ones."""
    injector.cluster.control_faults('cut', target=['platform'])
    _apply_rule(injector, step, target=['platform'], refuse=True)


@_register('platform-silent', schedules.Kind('zones', most=2, longest_s=4.0))
def _silence_platform(injector: FaultInjector, step: schedules.Step) -> None:
    """Silences connections from some zones to the platform."""
    _apply_rule(
        injector, step, source=step.targets, target=['platform'], silence='both'
    )


# Faults of backend servers.


@_register('backend-restart', schedules.Kind('positions', weight=2.0))
def _restart_backend_cold(
    injector: FaultInjector, step: schedules.Step
) -> None:
    """Restarts a backend server cold while its health check reports ready."""
    injector.cluster.control_backend(
        step.targets[0], 'restart', silent=True, disconnect=True
    )


@_register('answers-reset', schedules.Kind('positions', weight=2.0))
def _reset_responses(injector: FaultInjector, step: schedules.Step) -> None:
    """Makes a backend server reset a share of its responses."""
    position = step.targets[0]
    share = _MAX_RESET_SHARE * step.strength
    injector.cluster.control_backend(
        position, 'fault', kind='reset', share=share
    )
    gevent.sleep(step.for_s)
    injector.cluster.control_backend(position, 'fault', kind='')


# Operator changes.


@_register('zone-out', schedules.Kind('zones', longest_s=3.0))
def _take_zone_out(injector: FaultInjector, step: schedules.Step) -> None:
    """Takes a zone out of service and back in."""
    zone = step.targets[0]
    injector.cluster.take_zone_out(zone)
    gevent.sleep(step.for_s)
    injector.cluster.take_zone_in(zone)


@_register('storm', schedules.Kind('none', longest_s=1.5))
def _publish_repeatedly(injector: FaultInjector, step: schedules.Step) -> None:
    """Publishes presets in quick succession, each with one more route."""
    for number in range(max(1, int(step.for_s / _PUBLISH_GAP_S))):
        prefix = f'/soak-{step.number}-{number}'
        preset = edits.add_open_route(injector.cluster.preset, prefix)
        injector.cluster.publish(preset)
        gevent.sleep(_PUBLISH_GAP_S)


def _list_zones(injector: FaultInjector) -> list[str]:
    return sorted({vm.zone for vm in injector.cluster.vms.values()})


def _apply_rule(
    injector: FaultInjector,
    step: schedules.Step,
    source: Sequence[str] = (),
    target: Sequence[str] = (),
    **fault: object,
) -> None:
    """Applies a rule of the fault proxy for the duration of a step.

    Args:
      injector: Injector whose cluster gets the rule.
      step: The step.
      source: VM names or zones that open the affected connections; all if
        empty.
      target: VM names, zones or ``platform`` that the affected connections
        lead to; all if empty.
      **fault: Effects of the rule, as in `faultrules.Rule`.
    """
    name = f'step-{step.number}'
    injector.cluster.control_faults(
        'rules', id=name, source=list(source), target=list(target), **fault
    )
    gevent.sleep(step.for_s)
    injector.cluster.control_faults('rules', id=name, clear=True)


def _join(jobs: Iterable[gevent.Greenlet]) -> None:
    """Waits for greenlets; raises the exception of one that failed."""
    gevent.joinall(list(jobs), raise_error=True)
