"""Planned stops and reloads of nodes on the operators' platform.

A stop follows the platform's protocol: SIGTERM, SIGKILL when the grace is over,
and a new start. Every node is started again.
"""

import functools
import random
import signal
from collections.abc import Callable, Iterable

import gevent

from jayseam.core import clocks
from jayseam.soak import faults
from jayseam.soak import fleets
from jayseam.soak import schedules
from jayseam.soak import storefaults
from jayseam.standins import waits

# Longest wait of a rolling stop until a node that started again is ready.
_READY_TIMEOUT_S = 10.0
# Greatest difference between the signals to nodes that stop together.
_SPREAD_S = 0.3
# Time between two changes of the configuration during a stop.
_CHANGE_GAP_S = 0.4
# Least and greatest time between two signals during a stop.
_SIGNAL_GAP_S = (0.1, 1.5)
# A line of the settings file, and one that changes what a reload applies.
_SETTING = 'terms.bounds.revoke=5000ms'
_CHANGED_SETTING = 'terms.bounds.revoke=4900ms'
_BROKEN_SETTINGS = 'self.zone\nterms.bounds.grace=soon\n'
_BROKEN_S = 0.5

_Context = storefaults.InjectionContext

_register = functools.partial(faults.register_in, storefaults.registry)


@_register('stop', schedules.Kind('positions', max_duration_s=1.0, weight=2.0))
def _stop_one(context: _Context, step: schedules.Step) -> None:
    """Stops a node and starts it again."""
    with context.reserve(*step.targets) as ips:
        _stop_together(context, step, ips)


@_register('stop-rolling', schedules.Kind('positions', 2, 3, 1.0))
def _stop_in_turn(context: _Context, step: schedules.Step) -> None:
    """Stops nodes one after the other, the next when one is ready again."""
    with context.reserve(*step.targets) as ips:
        for ip in ips:
            _stop_together(context, step, [ip])
            waits.wait_until(
                functools.partial(context.fleet.is_ready, ip), _READY_TIMEOUT_S
            )


@_register('stop-many', schedules.Kind('zones', max_duration_s=1.0, weight=1.5))
def _stop_zone(context: _Context, step: schedules.Step) -> None:
    """Stops over half of the nodes of a zone at once."""
    ips = list(context.fleet.list_ips(step.targets[0]))
    chosen = context.build_generator(step).sample(ips, len(ips) // 2 + 1)
    with context.reserve(*chosen) as reserved:
        _stop_together(context, step, reserved)


@_register('stop-signalled', schedules.Kind('positions', 1, 2, 1.0))
def _stop_and_signal(context: _Context, step: schedules.Step) -> None:
    """Stops nodes that get SIGTERM and SIGHUP again meanwhile."""

    def send_signals(ip: str, generator: random.Random) -> None:
        while True:
            gevent.sleep(generator.uniform(*_SIGNAL_GAP_S))
            number = generator.choice((signal.SIGTERM, signal.SIGHUP))
            context.fleet.send_signal(ip, number)

    with context.reserve(*step.targets) as ips:
        _stop_together(context, step, ips, send_signals)


@_register('stop-while-changing', schedules.Kind('positions', 1, 2, 1.0))
def _stop_and_change(context: _Context, step: schedules.Step) -> None:
    """Stops nodes while the configuration changes."""

    def change(ip: str, generator: random.Random) -> None:
        del ip
        while True:
            gevent.spawn(context.operator.change_configuration)
            gevent.sleep(_CHANGE_GAP_S * generator.uniform(0.5, 1.5))

    with context.reserve(*step.targets) as ips:
        _stop_together(context, step, ips, change)


@_register('stop-beside-kill', schedules.Kind('positions', 2, 3, 1.0))
def _stop_and_kill(context: _Context, step: schedules.Step) -> None:
    """Stops a node while others are killed."""
    killed: list[str] = []
    with context.reserve(*step.targets) as ips:

        def kill_others(ip: str, generator: random.Random) -> None:
            del ip
            for other in ips[1:]:
                gevent.sleep(generator.uniform(0.0, fleets.GRACE_S / 4))
                context.fleet.kill(other)
                killed.append(other)

        _stop_together(context, step, ips[:1], kill_others)
        for other in killed:
            context.fleet.start(other)


@_register('reload', schedules.Kind('positions', 1, 4, 1.0))
def _reload(context: _Context, step: schedules.Step) -> None:
    """Nodes read their settings again: the same, changed or broken ones."""
    generator = context.build_generator(step)
    with context.reserve(*step.targets) as ips:
        for ip in ips:
            # A process that is still starting has no signal handler yet.
            if context.fleet.is_ready(ip):
                gevent.sleep(generator.uniform(0.0, _SPREAD_S))
                _reload_settings(context.fleet, ip, generator)


def _reload_settings(
    fleet: fleets.Fleet, ip: str, generator: random.Random
) -> None:
    text = fleet.read_settings(ip)
    kind = generator.choice(('same', 'changed', 'broken'))
    if kind == 'changed':
        changed = text.replace(_SETTING, _CHANGED_SETTING)
        if changed == text:
            changed = text.replace(_CHANGED_SETTING, _SETTING)
        fleet.write_settings(ip, changed)
    elif kind == 'broken':
        fleet.write_settings(ip, _BROKEN_SETTINGS)
        fleet.send_signal(ip, signal.SIGHUP)
        gevent.sleep(_BROKEN_S)
        fleet.write_settings(ip, text)
    fleet.send_signal(ip, signal.SIGHUP)


def _stop_together(
    context: _Context,
    step: schedules.Step,
    ips: Iterable[str],
    disturb: Callable[[str, random.Random], None] | None = None,
) -> None:
    """Stops nodes at about the same time and starts each again.

    Args:
      context: The fleet and its records.
      step: The step, whose duration passes between the end of a node and its
        start.
      ips: Addresses of the nodes.
      disturb: Called with the address of a node and a source of draws, and
        ended when the node has ended.
    """
    generator = context.build_generator(step)
    jobs = []
    for ip in ips:
        seed = generator.random()
        jobs.append(gevent.spawn(_stop, context, step, ip, seed, disturb))
        gevent.sleep(generator.uniform(0.0, _SPREAD_S))
    gevent.joinall(jobs, raise_error=True)


def _stop(
    context: _Context,
    step: schedules.Step,
    ip: str,
    seed: float,
    disturb: Callable[[str, random.Random], None] | None,
) -> None:
    was_serving = context.fleet.is_ready(ip)
    started = clocks.read_now()
    disturbance = None
    if disturb is not None:
        disturbance = gevent.spawn(disturb, ip, random.Random(seed))
    status = context.fleet.terminate(ip)
    ended = clocks.read_now()
    if disturbance is not None:
        disturbance.kill()
    context.stops.append(faults.Stop(ip, started, ended, status, was_serving))
    gevent.sleep(step.duration_s)
    context.fleet.start(ip)
