"""What the steps of a schedule do to a cluster.

Each kind is a function that starts the fault, waits for its time and ends it.
Those that act on processes hold the lock of their VM, so that a VM's process is
struck by one after the other; faults of the network overlap with everything.
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

# Time between SIGTERM and SIGKILL where a stop is cut short, in seconds.
_CUT_SHORT_S = 0.3
# Time between two presets of a storm, in seconds.
_STORM_GAP_S = 0.15
# Longest delay that is added to each direction of a link, in milliseconds.
_MOST_DELAY_MS = 150.0
# Share of its answers that a backend server resets at most.
_MOST_RESETS = 0.5


@attrs.frozen
class Stop:
    """A planned stop of a node.

    Attributes:
      address: Caller address of the node, as ``host:port``.
      started: Time of SIGTERM in seconds.
      ended: Time at which the process had ended, in seconds.
      status: Exit status.
      was_serving: Whether the node served before; a process that is still
        starting may end by the signal itself.
    """

    address: str
    started: float
    ended: float
    status: int
    was_serving: bool


class Site:
    """The cluster that faults strike, and what planned stops came to.

    Args:
      cluster: A running cluster with fault proxies.

    Attributes:
      cluster: The cluster.
      stops: Planned stops that ended by themselves.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.stops: list[Stop] = []
        self._locks: dict[str, lock.RLock] = collections.defaultdict(lock.RLock)

    def find_vm(self, position: str) -> str:
        """Returns the name of the VM at a position."""
        vms = self.cluster.vms.values()
        return next(vm.name for vm in vms if vm.upstream == position)

    def find_vms(self, positions: Sequence[str]) -> list[str]:
        """Returns the names of the VMs at positions."""
        return [self.find_vm(position) for position in positions]

    def hold(self, position: str) -> lock.RLock:
        """Returns the lock of the process at a position."""
        return self._locks[position]

    def is_serving(self, vm: str) -> bool:
        """Tells whether a node says that it serves."""
        try:
            return self.cluster.status(vm).get('state') == 'serving'
        except errors.ExchangeError:
            return False

    def run(self, step: schedules.Step) -> None:
        """Carries out a step and returns when it is over."""
        registry.get(step.kind).strike(self, step)


@attrs.frozen
class Fault:
    """A kind of fault.

    Attributes:
      kind: What schedules need to know of it.
      strike: Carries out a step of it.
    """

    kind: schedules.Kind
    strike: Callable[[Site, schedules.Step], None]


registry: registries.Registry[Fault] = registries.Registry('fault')


def list_kinds() -> dict[str, schedules.Kind]:
    """Returns all kinds by name."""
    return {name: registry.get(name).kind for name in registry.names()}


def _register(
    name: str, kind: schedules.Kind
) -> Callable[[Callable[[Site, schedules.Step], None]], Fault]:
    """Returns a decorator that registers a function as a fault."""

    def add(strike: Callable[[Site, schedules.Step], None]) -> Fault:
        return registry.register(name)(Fault(kind, strike))

    return add


# Processes.


@_register('kill', schedules.Kind('positions', most=2, weight=2.0))
def _kill(site: Site, step: schedules.Step) -> None:
    """VMs go without warning and come back."""
    _kill_and_restart(site, step)


@_register('kill-many', schedules.Kind('positions', 5, 9, weight=0.3))
def _kill_many(site: Site, step: schedules.Step) -> None:
    """Many VMs go at once and come back."""
    _kill_and_restart(site, step)


def _kill_and_restart(site: Site, step: schedules.Step) -> None:
    def strike(position: str) -> None:
        with site.hold(position):
            vm = site.find_vm(position)
            # A backend server that outlives its node would hold calls that
            # the next node process can't count.
            site.cluster.kill(vm)
            gevent.sleep(step.for_s)
            site.cluster.restart(vm)

    _join(gevent.spawn(strike, position) for position in step.targets)


@_register('pause', schedules.Kind('positions', longest_s=3.0, weight=2.0))
def _pause(site: Site, step: schedules.Step) -> None:
    """A node process is stopped from running for a time."""
    with site.hold(step.targets[0]):
        vm = site.find_vm(step.targets[0])
        site.cluster.pause(vm)
        gevent.sleep(step.for_s)
        site.cluster.resume(vm)


@_register('stop', schedules.Kind('positions', most=2, weight=2.0))
def _stop(site: Site, step: schedules.Step) -> None:
    """Nodes are stopped as planned, one after the other."""
    for position in step.targets:
        with site.hold(position):
            vm = site.find_vm(position)
            address = f'127.0.0.1:{site.cluster.vms[vm].caller_port}'
            was_serving = site.is_serving(vm)
            started = clocks.read_now()
            status = site.cluster.terminate(vm)
            ended = clocks.read_now()
            stop = Stop(address, started, ended, status, was_serving)
            site.stops.append(stop)
            site.cluster.restart(vm)


@_register('stop-cut-short', schedules.Kind('positions'))
def _cut_stop_short(site: Site, step: schedules.Step) -> None:
    """A node is killed while it stops as planned."""
    with site.hold(step.targets[0]):
        vm = site.find_vm(step.targets[0])
        process = site.cluster.vms[vm].process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        gevent.sleep(_CUT_SHORT_S * step.strength)
        site.cluster.kill(vm)
        gevent.sleep(step.for_s)
        site.cluster.restart(vm)


@_register('pause-then-kill', schedules.Kind('positions'))
def _pause_then_kill(site: Site, step: schedules.Step) -> None:
    """A node is paused and killed before it runs again."""
    with site.hold(step.targets[0]):
        vm = site.find_vm(step.targets[0])
        site.cluster.pause(vm)
        gevent.sleep(step.for_s * step.strength)
        site.cluster.kill(vm)
        gevent.sleep(step.for_s * (1.0 - step.strength))
        site.cluster.restart(vm)


# Connections.


@_register('cut', schedules.Kind('zones', weight=1.5))
def _cut(site: Site, step: schedules.Step) -> None:
    """A zone and the rest lose each other; one cut at a time is in force."""
    rest = [z for z in _list_zones(site) if z not in step.targets]
    site.cluster.partition(step.targets, rest)
    gevent.sleep(step.for_s)
    site.cluster.heal()


@_register('one-way', schedules.Kind('positions', most=2))
def _cut_one_way(site: Site, step: schedules.Step) -> None:
    """What nodes send on their links is lost, what they receive isn't."""
    vms = site.find_vms(step.targets)
    _apply_rule(site, step, source=vms, silence='forward')


@_register('delay', schedules.Kind('positions', most=3))
def _delay(site: Site, step: schedules.Step) -> None:
    """Links to nodes are slow."""
    vms = site.find_vms(step.targets)
    delay_ms = _MOST_DELAY_MS * step.strength
    _apply_rule(site, step, target=vms, delay_ms=delay_ms)


@_register('refuse', schedules.Kind('positions', most=2))
def _refuse(site: Site, step: schedules.Step) -> None:
    """New links to nodes are reset, and so are those that are open."""
    vms = site.find_vms(step.targets)
    site.cluster.control_faults('cut', target=vms, reset=True)
    _apply_rule(site, step, target=vms, refuse=True)


@_register('half-open', schedules.Kind('positions', least=2, most=3, weight=2))
def _silence_open(site: Site, step: schedules.Step) -> None:
    """Open links fall silent for good, while new ones work."""
    vms = site.find_vms(step.targets)
    site.cluster.control_faults('half-open', source=vms)


@_register('reset', schedules.Kind('positions', least=2, most=6))
def _reset(site: Site, step: schedules.Step) -> None:
    """Open links are reset."""
    vms = site.find_vms(step.targets)
    site.cluster.control_faults('cut', source=vms, reset=True)


@_register('platform-away', schedules.Kind('none', longest_s=4.0))
def _refuse_platform(site: Site, step: schedules.Step) -> None:
    """The platform refuses connections and drops those that are open."""
    site.cluster.control_faults('cut', target=['platform'])
    _apply_rule(site, step, target=['platform'], refuse=True)


@_register('platform-silent', schedules.Kind('zones', most=2, longest_s=4.0))
def _silence_platform(site: Site, step: schedules.Step) -> None:
    """The platform answers nothing to some zones."""
    _apply_rule(
        site, step, source=step.targets, target=['platform'], silence='both'
    )


# Backend servers.


@_register('backend-restart', schedules.Kind('positions', weight=2.0))
def _restart_backend(site: Site, step: schedules.Step) -> None:
    """A backend server comes back cold without a word."""
    site.cluster.control_backend(
        step.targets[0], 'restart', silent=True, disconnect=True
    )


@_register('answers-reset', schedules.Kind('positions', weight=2.0))
def _reset_answers(site: Site, step: schedules.Step) -> None:
    """A backend server resets a share of its answers."""
    position = step.targets[0]
    share = _MOST_RESETS * step.strength
    site.cluster.control_backend(position, 'fault', kind='reset', share=share)
    gevent.sleep(step.for_s)
    site.cluster.control_backend(position, 'fault', kind='')


# Changes of operators.


@_register('zone-out', schedules.Kind('zones', longest_s=3.0))
def _take_zone_out(site: Site, step: schedules.Step) -> None:
    """A zone is taken out of service and back in."""
    zone = step.targets[0]
    site.cluster.take_zone_out(zone)
    gevent.sleep(step.for_s)
    site.cluster.take_zone_in(zone)


@_register('storm', schedules.Kind('none', longest_s=1.5))
def _publish_storm(site: Site, step: schedules.Step) -> None:
    """Presets with one more route each follow in quick succession."""
    for number in range(max(1, int(step.for_s / _STORM_GAP_S))):
        prefix = f'/soak-{step.number}-{number}'
        preset = edits.add_open_route(site.cluster.preset, prefix)
        site.cluster.publish(preset)
        gevent.sleep(_STORM_GAP_S)


def _list_zones(site: Site) -> list[str]:
    return sorted({vm.zone for vm in site.cluster.vms.values()})


def _apply_rule(
    site: Site,
    step: schedules.Step,
    source: Sequence[str] = (),
    target: Sequence[str] = (),
    **fault: object,
) -> None:
    """Holds a rule of the fault proxy for the time of a step.

    Args:
      site: The site.
      step: The step.
      source: Names or zones whose connections the rule applies to; all if
        empty.
      target: Names or zones that are connected to; all if empty.
      **fault: What the rule does, as in `faultrules.Rule`.
    """
    name = f'step-{step.number}'
    site.cluster.control_faults(
        'rules', id=name, source=list(source), target=list(target), **fault
    )
    gevent.sleep(step.for_s)
    site.cluster.control_faults('rules', id=name, clear=True)


def _join(jobs: Iterable[gevent.Greenlet]) -> None:
    """Waits for greenlets and raises what failed."""
    gevent.joinall(list(jobs), raise_error=True)
