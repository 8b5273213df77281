"""Fault injection: carries out the steps of a schedule on a cluster.

Each kind of fault is a function that starts the fault, waits for the duration
of the step and ends the fault. Process faults hold the lock of their position,
so that only one of them acts on a node process at a time. Network faults take
no lock and may overlap with every other fault.
"""

import collections
import functools
import signal
from collections.abc import Callable, Iterable, Sequence
from typing import Any

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


class InjectionContext:
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
            return self.cluster.read_status(vm).get('state') == 'serving'
        except errors.ExchangeError:
            return False

    def run(self, step: schedules.Step) -> None:
        """Carries out a step; returns when its fault has ended."""
        registry.get(step.kind).inject(self, step)


@attrs.frozen
class Fault:
    """A kind of fault.

    Attributes:
      kind: Parameters for drawing steps of this kind.
      inject: Injects the fault for one step and ends it after the step. Takes
        the context of the platform and the step.
    """

    kind: schedules.Kind
    inject: Callable[[Any, schedules.Step], None]


Registry = registries.Registry[Fault]

registry: Registry = registries.Registry('fault')


def list_kinds(
    faults: Registry = registry,
    names: Sequence[str] = (),
    excluded_names: Sequence[str] = (),
) -> dict[str, schedules.Kind]:
    """Returns kinds of faults by name.

    Args:
      faults: Registry of the faults.
      names: Names of the kinds; empty for all.
      excluded_names: Names of kinds to leave out.

    Raises:
      UnknownVariantError: If there is no kind of a name.
    """
    kinds = {n: faults.get(n).kind for n in names or faults.list_names()}
    for name in excluded_names:
        faults.get(name)
        kinds.pop(name, None)
    return kinds


def register_in(
    faults: Registry, name: str, kind: schedules.Kind
) -> Callable[[Callable[[Any, schedules.Step], None]], Fault]:
    """Returns a decorator that registers a function as a fault."""

    def add_fault(inject: Callable[[Any, schedules.Step], None]) -> Fault:
        return faults.register(name)(Fault(kind, inject))

    return add_fault


def inject_schedule(
    schedule: schedules.Schedule, execute: Callable[[schedules.Step], None]
) -> None:
    """Executes each step at its time; returns after the end of the last."""
    started = clocks.read_now()
    jobs = []
    for step in schedule.steps:
        gevent.sleep(max(0.0, started + step.start_s - clocks.read_now()))
        jobs.append(gevent.spawn(execute, step))
    gevent.joinall(jobs)


_register = functools.partial(register_in, registry)


# Process faults.


@_register('kill', schedules.Kind('positions', max_targets=2, weight=2.0))
def _kill(context: InjectionContext, step: schedules.Step) -> None:
    """Kills the processes of VMs and restarts them."""
    _kill_and_restart(context, step)


@_register('kill-many', schedules.Kind('positions', 5, 9, weight=0.3))
def _kill_many(context: InjectionContext, step: schedules.Step) -> None:
    """Kills the processes of many VMs at once and restarts them."""
    _kill_and_restart(context, step)


def _kill_and_restart(context: InjectionContext, step: schedules.Step) -> None:
    def kill_and_restart(position: str) -> None:
        with context.get_lock(position):
            vm = context.find_vm(position)
            # Kills the backend server, too. Otherwise it would still run calls
            # that the next node process can't count.
            context.cluster.kill(vm)
            gevent.sleep(step.duration_s)
            context.cluster.restart(vm)

    _join(gevent.spawn(kill_and_restart, position) for position in step.targets)


@_register('pause', schedules.Kind('positions', max_duration_s=3.0, weight=2.0))
def _pause(context: InjectionContext, step: schedules.Step) -> None:
    """Pauses a node process (SIGSTOP, then SIGCONT)."""
    with context.get_lock(step.targets[0]):
        vm = context.find_vm(step.targets[0])
        context.cluster.pause(vm)
        gevent.sleep(step.duration_s)
        context.cluster.resume(vm)


@_register('stop', schedules.Kind('positions', max_targets=2, weight=2.0))
def _stop_as_planned(context: InjectionContext, step: schedules.Step) -> None:
    """Stops and restarts nodes as planned, one after the other."""
    for position in step.targets:
        with context.get_lock(position):
            vm = context.find_vm(position)
            address = f'127.0.0.1:{context.cluster.vms[vm].caller_port}'
            was_serving = context.is_serving(vm)
            started = clocks.read_now()
            status = context.cluster.terminate(vm)
            ended = clocks.read_now()
            stop = Stop(address, started, ended, status, was_serving)
            context.stops.append(stop)
            context.cluster.restart(vm)


@_register('stop-cut-short', schedules.Kind('positions'))
def _interrupt_stop(context: InjectionContext, step: schedules.Step) -> None:
    """Kills a node during its planned stop, then restarts it."""
    with context.get_lock(step.targets[0]):
        vm = context.find_vm(step.targets[0])
        process = context.cluster.vms[vm].process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        gevent.sleep(_MAX_TERM_TO_KILL_S * step.strength)
        context.cluster.kill(vm)
        gevent.sleep(step.duration_s)
        context.cluster.restart(vm)


@_register('pause-then-kill', schedules.Kind('positions'))
def _pause_then_kill(context: InjectionContext, step: schedules.Step) -> None:
    """Pauses a node, kills it while it is paused, then restarts it."""
    with context.get_lock(step.targets[0]):
        vm = context.find_vm(step.targets[0])
        context.cluster.pause(vm)
        gevent.sleep(step.duration_s * step.strength)
        context.cluster.kill(vm)
        gevent.sleep(step.duration_s * (1.0 - step.strength))
        context.cluster.restart(vm)


# Network faults.


@_register('cut', schedules.Kind('zones', weight=1.5))
def _partition_zone(context: InjectionContext, step: schedules.Step) -> None:
    """Partitions a zone from the rest; only one partition at a time exists."""
    other_zones = [z for z in _list_zones(context) if z not in step.targets]
    context.cluster.partition(step.targets, other_zones)
    gevent.sleep(step.duration_s)
    context.cluster.heal()


@_register('one-way', schedules.Kind('positions', max_targets=2))
def _drop_one_way(context: InjectionContext, step: schedules.Step) -> None:
    """Drops what nodes send on links they opened, but not what they receive."""
    vms = context.find_vms(step.targets)
    _apply_rule(context, step, source=vms, silence='forward')


@_register('delay', schedules.Kind('positions', max_targets=3))
def _delay_links(context: InjectionContext, step: schedules.Step) -> None:
    """Delays traffic on links to nodes."""
    vms = context.find_vms(step.targets)
    delay_ms = _MAX_DELAY_MS * step.strength
    _apply_rule(context, step, target=vms, delay_ms=delay_ms)


@_register('refuse', schedules.Kind('positions', max_targets=2))
def _refuse_links(context: InjectionContext, step: schedules.Step) -> None:
    """Resets open links to nodes and refuses new links."""
    vms = context.find_vms(step.targets)
    context.cluster.control_fault_proxy('cut', target=vms, reset=True)
    _apply_rule(context, step, target=vms, refuse=True)


@_register(
    'half-open',
    schedules.Kind('positions', min_targets=2, max_targets=3, weight=2),
)
def _silence_open_links(
    context: InjectionContext, step: schedules.Step
) -> None:
    """Silences the open links of nodes for good; new links work."""
    vms = context.find_vms(step.targets)
    context.cluster.control_fault_proxy('half-open', source=vms)


@_register('reset', schedules.Kind('positions', min_targets=2, max_targets=6))
def _reset_links(context: InjectionContext, step: schedules.Step) -> None:
    """Resets the open links of nodes."""
    vms = context.find_vms(step.targets)
    context.cluster.control_fault_proxy('cut', source=vms, reset=True)


@_register('platform-away', schedules.Kind('none', max_duration_s=4.0))
def _refuse_platform(context: InjectionContext, step: schedules.Step) -> None:
    """Closes open connections to the platform and refuses new ones."""
    context.cluster.control_fault_proxy('cut', target=['platform'])
    _apply_rule(context, step, target=['platform'], refuse=True)


@_register(
    'platform-silent',
    schedules.Kind('zones', max_targets=2, max_duration_s=4.0),
)
def _silence_platform(context: InjectionContext, step: schedules.Step) -> None:
    """Silences connections from some zones to the platform."""
    _apply_rule(
        context, step, source=step.targets, target=['platform'], silence='both'
    )


# Faults of backend servers.


@_register('backend-restart', schedules.Kind('positions', weight=2.0))
def _restart_backend_cold(
    context: InjectionContext, step: schedules.Step
) -> None:
    """Restarts a backend server cold while its health check reports ready."""
    context.cluster.control_backend(
        step.targets[0], 'restart', silent=True, disconnect=True
    )


@_register('answers-reset', schedules.Kind('positions', weight=2.0))
def _reset_responses(context: InjectionContext, step: schedules.Step) -> None:
    """Makes a backend server reset a share of its responses."""
    position = step.targets[0]
    share = _MAX_RESET_SHARE * step.strength
    context.cluster.control_backend(
        position, 'fault', kind='reset', share=share
    )
    gevent.sleep(step.duration_s)
    context.cluster.control_backend(position, 'fault', kind='')


# Operator changes.


@_register('zone-out', schedules.Kind('zones', max_duration_s=3.0))
def _take_zone_out(context: InjectionContext, step: schedules.Step) -> None:
    """Takes a zone out of service and back in."""
    zone = step.targets[0]
    context.cluster.take_zone_out(zone)
    gevent.sleep(step.duration_s)
    context.cluster.take_zone_in(zone)


@_register('storm', schedules.Kind('none', max_duration_s=1.5))
def _publish_repeatedly(
    context: InjectionContext, step: schedules.Step
) -> None:
    """Publishes presets in quick succession, each with one more route."""
    for number in range(max(1, int(step.duration_s / _PUBLISH_GAP_S))):
        prefix = f'/soak-{step.number}-{number}'
        preset = edits.add_open_route(context.cluster.preset, prefix)
        context.cluster.publish(preset)
        gevent.sleep(_PUBLISH_GAP_S)


def _list_zones(context: InjectionContext) -> list[str]:
    return sorted({vm.zone for vm in context.cluster.vms.values()})


def _apply_rule(
    context: InjectionContext,
    step: schedules.Step,
    source: Sequence[str] = (),
    target: Sequence[str] = (),
    **fault: object,
) -> None:
    """Applies a rule of the fault proxy for the duration of a step.

    Args:
      context: Context whose cluster gets the rule.
      step: The step.
      source: VM names or zones that open the affected connections; all if
        empty.
      target: VM names, zones or ``platform`` that the affected connections
        lead to; all if empty.
      **fault: Effects of the rule, as in `faultrules.Rule`.
    """
    name = f'step-{step.number}'
    context.cluster.control_fault_proxy(
        'rules', id=name, source=list(source), target=list(target), **fault
    )
    gevent.sleep(step.duration_s)
    context.cluster.control_fault_proxy('rules', id=name, clear=True)


def _join(jobs: Iterable[gevent.Greenlet]) -> None:
    """Waits for greenlets; raises the exception of one that failed."""
    gevent.joinall(list(jobs), raise_error=True)
