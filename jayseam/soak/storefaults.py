"""Faults of the operators' platform: its store, its nodes and its operators.

Like the faults of `faults`, each starts a fault, waits and ends it. A step acts
only on what no other step acts on.
"""

import collections
import contextlib
import functools
import random
from collections.abc import Iterator, Sequence

import gevent
from gevent import lock

from jayseam.core import clocks
from jayseam.core import registries
from jayseam.soak import faults
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.soak import schedules
from jayseam.standins import kvstore

# Duration of an outage from which on the store may forget the backend servers:
# three heartbeats.
_EXPIRY_S = 4.5
# Time from the return of the store within which some node must read it.
_READ_AGAIN_S = 3.0
# Longest outage around a restore, and least and greatest time between two
# restores.
_MAX_RESTORE_OUTAGE_S = 2.0
_RESTORE_GAP_S = (0.1, 2.5)
_MIN_COPY_AGE_S = 1.0
# Time between two configurations in quick succession.
_STORM_GAP_S = 0.1

registry: faults.Registry = registries.Registry('fault')
_register = functools.partial(faults.register_in, registry)


class InjectionContext:
    """Injects faults into a fleet.

    Args:
      fleet: The fleet.
      operator: Writes to the store.
      seed: Seed of draws within steps.

    Attributes:
      fleet: The fleet.
      operator: Writes to the store.
      stops: Planned stops that were not interrupted.
      unread_returns: Times of returns of the store after which no node read
        it in time, in seconds.
      notes: What steps did, for the report.
    """

    def __init__(
        self, fleet: fleets.Fleet, operator: operators.Operator, seed: int
    ):
        self.fleet = fleet
        self.operator = operator
        self.stops: list[faults.Stop] = []
        self.unread_returns: list[float] = []
        self.notes: list[str] = []
        self._seed = seed
        self._locks: dict[str, lock.BoundedSemaphore] = collections.defaultdict(
            lock.BoundedSemaphore
        )

    @contextlib.contextmanager
    def reserve(self, *names: str) -> Iterator[Sequence[str]]:
        """Reserves VMs or resources; yields those that no other step holds."""
        reserved = [n for n in names if self._locks[n].acquire(blocking=False)]
        try:
            yield reserved
        finally:
            for name in reserved:
                self._locks[name].release()

    def build_generator(self, step: schedules.Step) -> random.Random:
        """Returns the source of the draws within a step."""
        return random.Random(f'{self._seed} {step.number}')

    def run(self, step: schedules.Step) -> None:
        """Carries out a step; returns when its fault has ended."""
        registry.get(step.kind).inject(self, step)

    def end_outage(self, name: str) -> None:
        """Ends an outage and notes if no node reads the store in time."""
        if self.operator.clear_outage(name):
            gevent.spawn(self._check_reads)

    def _check_reads(self) -> None:
        returned = clocks.read_now()
        reads = self.fleet.store.reads
        gevent.sleep(_READ_AGAIN_S)
        was_calm = not any(
            span.overlaps(returned + 0.001, clocks.read_now())
            for span in self.operator.core_disruptions
        )
        if was_calm and self.fleet.store.reads == reads:
            self.unread_returns.append(returned)


# Faults of the store.


def _interrupt_store(
    context: InjectionContext, step: schedules.Step, fault: kvstore.Faults
) -> None:
    """Makes the store unavailable for the duration of a step.

    In half of the outages it still accepts what operators and backend servers
    write. After a long outage of the other half it may have forgotten the
    backend servers.
    """
    generator = context.build_generator(step)
    is_total = step.strength >= 0.5
    name = f'step-{step.number}'
    context.operator.set_outage(name, fault, is_total)
    gevent.sleep(step.duration_s)
    is_forgotten = is_total and step.duration_s > _EXPIRY_S
    if is_forgotten and generator.random() < 0.5:
        context.operator.expire_entries()
    context.end_outage(name)


@_register('store-silent', schedules.Kind('none', max_duration_s=20.0))
def _silence_store(context: InjectionContext, step: schedules.Step) -> None:
    """The store answers nothing."""
    _interrupt_store(context, step, kvstore.Faults(silent=True))


@_register('store-refusing', schedules.Kind('none', max_duration_s=20.0))
def _refuse_reads(context: InjectionContext, step: schedules.Step) -> None:
    """The store answers all reads with status 503."""
    _interrupt_store(context, step, kvstore.Faults(status=503))


@_register('store-reset', schedules.Kind('none', max_duration_s=20.0))
def _reset_reads(context: InjectionContext, step: schedules.Step) -> None:
    """The store resets the connections of all reads."""
    _interrupt_store(context, step, kvstore.Faults(reset=True))


@_register('restore', schedules.Kind('none', max_duration_s=1.0, weight=3.0))
def _restore_store(context: InjectionContext, step: schedules.Step) -> None:
    """The store comes back from a copy, mostly after a short outage."""
    _restore(context, step, context.build_generator(step))


@_register('restore-twice', schedules.Kind('none', max_duration_s=1.0))
def _restore_twice(context: InjectionContext, step: schedules.Step) -> None:
    """The store comes back from a copy twice in a row."""
    generator = context.build_generator(step)
    _restore(context, step, generator)
    gevent.sleep(generator.uniform(*_RESTORE_GAP_S))
    _restore(context, step, generator)


@_register('restore-then-change', schedules.Kind('none', max_duration_s=1.0))
def _restore_and_change(
    context: InjectionContext, step: schedules.Step
) -> None:
    """The configuration changes as soon as the store is back from a copy."""
    _restore(context, step, context.build_generator(step))
    context.operator.change_configuration()


@_register('restore-then-kill', schedules.Kind('positions', 1, 4))
def _restore_and_kill(context: InjectionContext, step: schedules.Step) -> None:
    """Nodes start again while the store lacks what it lost."""
    with context.reserve(*step.targets) as ips:
        for ip in ips:
            context.fleet.kill(ip)
        _restore(context, step, context.build_generator(step))
        for ip in ips:
            context.fleet.start(ip)


def _restore(
    context: InjectionContext, step: schedules.Step, generator: random.Random
) -> None:
    """Restores the store, with an outage around it in three of four cases."""
    kind = generator.choice(('none', 'silent', 'status', 'reset'))
    fault = kvstore.Faults(
        status=503 if kind == 'status' else 0,
        reset=kind == 'reset',
        silent=kind == 'silent',
    )
    name = f'step-{step.number}'
    outage_s = 0.0
    if kind != 'none':
        outage_s = generator.uniform(0.05, _MAX_RESTORE_OUTAGE_S)
        context.operator.set_outage(name, fault, True)
        gevent.sleep(outage_s)
    age_s = context.operator.restore(
        generator.uniform(_MIN_COPY_AGE_S, operators.MAX_COPY_AGE_S)
    )
    if kind != 'none':
        context.end_outage(name)
    context.notes.append(
        f'{step.number} restored from a copy {age_s:.1f} s old,'
        f' outage {kind} {outage_s:.1f} s'
    )


# Faults of node processes.


@_register('kill', schedules.Kind('positions', 1, 3, weight=2.0))
def _kill(context: InjectionContext, step: schedules.Step) -> None:
    """Kills nodes and restarts them."""
    _kill_and_restart(context, step)


@_register('kill-many', schedules.Kind('positions', 4, 8, 2.0, weight=0.3))
def _kill_many(context: InjectionContext, step: schedules.Step) -> None:
    """Kills many nodes at once and restarts them."""
    _kill_and_restart(context, step)


def _kill_and_restart(context: InjectionContext, step: schedules.Step) -> None:
    with context.reserve(*step.targets) as ips:
        for ip in ips:
            context.fleet.kill(ip)
        gevent.sleep(step.duration_s)
        for ip in ips:
            context.fleet.start(ip)


@_register('pause', schedules.Kind('positions', 1, 3, 8.0, weight=1.5))
def _pause(context: InjectionContext, step: schedules.Step) -> None:
    """Pauses nodes (SIGSTOP, then SIGCONT)."""
    with context.reserve(*step.targets) as ips:
        for ip in ips:
            context.fleet.pause(ip)
        gevent.sleep(step.duration_s)
        for ip in ips:
            context.fleet.resume(ip)


# Operator changes.


@_register('storm', schedules.Kind('none', max_duration_s=1.5))
def _change_repeatedly(context: InjectionContext, step: schedules.Step) -> None:
    """Changes the configuration in quick succession."""
    jobs = []
    for _ in range(max(1, int(step.duration_s / _STORM_GAP_S))):
        jobs.append(gevent.spawn(context.operator.change_configuration))
        gevent.sleep(_STORM_GAP_S)
    gevent.joinall(jobs, raise_error=True)


@_register('zone-out', schedules.Kind('zones', max_duration_s=12.0, weight=2.0))
def _take_zone_out(context: InjectionContext, step: schedules.Step) -> None:
    """Takes a zone out of service and back in; one zone at a time."""
    with context.reserve('zones') as reserved:
        if reserved:
            order = context.operator.evacuate(step.targets[0])
            gevent.sleep(step.duration_s)
            context.operator.take_back(order)


@_register('drain', schedules.Kind('positions', max_duration_s=12.0, weight=2))
def _drain(context: InjectionContext, step: schedules.Step) -> None:
    """Drains a backend server, then replaces it; one server at a time."""
    with context.reserve('servers') as reserved:
        if reserved:
            order = context.operator.drain(step.targets[0])
            gevent.sleep(step.duration_s)
            context.operator.replace(order)
