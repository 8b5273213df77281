"""Runs a program on a machine whose system behaves differently.

    python -m jayseam.standins.machines no-peek lost-events -- MODULE [ARG...]

What a program relies on may be refused, silent, late or coarse elsewhere. The
differences are installed inside the process, as the program would see them;
those of `jayseam.standins.refusals` may be named too.
"""

import argparse
import contextlib
import errno
import math
import os
import random
import select
import socket
import sys
import time
import weakref
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import gevent
from gevent import _socket3

from jayseam.core import registries
from jayseam.standins import refusals

# Latest wake-up after an event or a timer, in seconds.
_LATE_S = 0.25
_SLOW_S = 1.0
# Shortest and longest time after which a connection goes silent, in seconds.
_SILENT_AFTER_S = (5.0, 20.0)
# Share of the waits whose event is lost.
_LOST_SHARE = 0.05
# Resolution of the coarse clock, in seconds.
_TICK_S = 0.1
# The stepping clock gains this much every so often, in seconds.
_STEP_S = 0.9
_STEP_INTERVAL_S = 5.0
_FOR_EVER_S = 3600.0
_SMALL_BUFFER_BYTES = 4096
_TCP_INFO = 11

# What the differences of this module change.
_CHANGED = (
    (select, 'poll'),
    (time, 'clock_gettime'),
    (gevent, 'sleep'),
    *(
        (_socket3.socket, name)
        for name in (
            '__init__',
            '_wait',
            'close',
            'connect',
            'getsockopt',
            'recv',
        )
    ),
)

registry: registries.Registry[Callable[[], None]] = registries.Registry(
    'machine difference'
)


def list_names() -> list[str]:
    """Returns the names of all differences and refusals."""
    return [*registry.list_names(), *refusals.registry.list_names()]


def find(name: str) -> Callable[[], None]:
    """Returns the function that installs a difference or refusal.

    Raises:
      UnknownVariantError: If there is none of this name.
    """
    known = registry if name in registry.list_names() else refusals.registry
    return known.get(name)


def install(names: Sequence[str]) -> None:
    """Makes this process see a machine with some differences.

    Raises:
      UnknownVariantError: If there is no difference or refusal of a name.
    """
    for name in names:
        find(name)()


@contextlib.contextmanager
def play(names: Sequence[str]) -> Iterator[None]:
    """Makes this process see a machine with some differences for a while."""
    before = [(owner, name, getattr(owner, name)) for owner, name in _CHANGED]
    try:
        install(names)
        yield
    finally:
        for owner, name, value in before:
            setattr(owner, name, value)


def build_command(
    names: Sequence[str], module: str, arguments: Sequence[str]
) -> list[str]:
    """Returns the command that runs a module on a machine.

    >>> build_command([], 'json.tool', ['--help'])[1:]
    ['-m', 'json.tool', '--help']
    >>> build_command(['no-peek'], 'json.tool', [])[1:]
    ['-m', 'jayseam.standins.machines', 'no-peek', '--', 'json.tool']

    Args:
      names: Names of differences and refusals; with none, the module runs as
        it is.
      module: Name of the module.
      arguments: Arguments of its command line.
    """
    if not names:
        return [sys.executable, '-m', module, *arguments]
    launcher = [sys.executable, '-m', 'jayseam.standins.machines', *names]
    return [*launcher, '--', module, *arguments]


class _Poller:
    """A poll object that reports what a machine lets it report."""

    def __init__(self, report: Callable[[int, int], int]):
        self._poller = _real_poll()
        self._report = report
        self._masks: dict[int, int] = {}

    def register(self, descriptor: int, events: int) -> None:
        """Adds a descriptor."""
        self._masks[descriptor] = events
        self._poller.register(descriptor, events)

    def poll(self, *timeout: Any) -> list[tuple[int, int]]:
        """Returns the events that the machine reports."""
        found = [
            (descriptor, self._report(self._masks[descriptor], events))
            for descriptor, events in self._poller.poll(*timeout)
        ]
        return [(descriptor, events) for descriptor, events in found if events]


class _RefusedPoller(_Poller):
    """A poll object whose polls are refused."""

    def poll(self, *timeout: Any) -> list[tuple[int, int]]:
        """Fails as a call that a policy refuses."""
        raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))


_real_poll = select.poll


def _replace_poll(report: Callable[[int, int], int]) -> None:
    select.poll = lambda: _Poller(report)


@registry.register('rdhup-with-input')
def _report_hang_up_with_input() -> None:
    """POLLRDHUP is reported only where POLLIN is asked for as well."""

    def report(asked, events):
        return events if asked & select.POLLIN else events & ~select.POLLRDHUP

    _replace_poll(report)


@registry.register('no-rdhup')
def _report_no_hang_up() -> None:
    """POLLRDHUP is never reported."""
    _replace_poll(lambda asked, events: events & ~select.POLLRDHUP)


@registry.register('silent-poll')
def _report_nothing() -> None:
    """Polls of connections report nothing."""
    _replace_poll(lambda asked, events: 0)


@registry.register('poll-refused')
def _refuse_poll() -> None:
    """Polls of connections are refused."""
    select.poll = lambda: _RefusedPoller(lambda asked, events: events)


@registry.register('no-peek')
def _refuse_peek() -> None:
    """Reading bytes without taking them is refused."""
    original = _socket3.socket.recv

    def recv(sock, size, flags=0):
        if flags & socket.MSG_PEEK:
            raise OSError(errno.EOPNOTSUPP, os.strerror(errno.EOPNOTSUPP))
        return original(sock, size, flags)

    _socket3.socket.recv = recv


@registry.register('no-tcp-info')
def _refuse_tcp_info() -> None:
    """The state of connections can't be read."""
    original = _socket3.socket.getsockopt

    def getsockopt(sock, level, option, *size):
        if (level, option) == (socket.IPPROTO_TCP, _TCP_INFO):
            raise OSError(errno.ENOPROTOOPT, os.strerror(errno.ENOPROTOOPT))
        return original(sock, level, option, *size)

    _socket3.socket.getsockopt = getsockopt


@registry.register('kept-sockets')
def _keep_sockets() -> None:
    """A closed socket stays open, as when something else has its descriptor."""
    original = _socket3.socket.close

    def close(sock):
        if sock.fileno() >= 0:
            os.dup(sock.fileno())
        original(sock)

    _socket3.socket.close = close


@registry.register('late-events')
def _delay_events() -> None:
    """The event loop tells late that a socket is ready."""

    def wait(sock, watcher, original):
        original(sock, watcher)
        gevent.sleep(random.uniform(0.0, _LATE_S))

    _replace_wait(wait)


@registry.register('slow-events')
def _slow_events() -> None:
    """The event loop tells a second late that a socket is ready.

    Timeouts of the wait are in time.
    """

    def wait(sock, watcher, original):
        began_at = time.monotonic()
        original(sock, watcher)
        late_s = random.uniform(0.0, _SLOW_S)
        timeout_s = sock.gettimeout()
        if timeout_s is not None:
            left_s = began_at + timeout_s - time.monotonic()
            if left_s < late_s:
                gevent.sleep(max(0.0, left_s))
                raise TimeoutError('timed out')
        gevent.sleep(late_s)

    _replace_wait(wait)


@registry.register('slow-wake-ups')
def _slow_wake_ups() -> None:
    """What waits for a socket runs a second late, whatever its timeout."""

    def wait(sock, watcher, original):
        original(sock, watcher)
        gevent.sleep(random.uniform(0.0, _SLOW_S))

    _replace_wait(wait)


@registry.register('silent-connections')
def _silence_connections() -> None:
    """Connections that were dialled go silent for good after some seconds."""
    ends = weakref.WeakKeyDictionary()
    original = _socket3.socket.connect

    def connect(sock, address):
        result = original(sock, address)
        ends[sock] = time.monotonic() + random.uniform(*_SILENT_AFTER_S)
        return result

    def recv(sock, *args):
        while True:
            data = original_recv(sock, *args)
            if time.monotonic() < ends.get(sock, math.inf):
                return data
            # What arrives is lost, as on a path that drops packets.
            if not data:
                gevent.sleep(_FOR_EVER_S)

    original_recv = _socket3.socket.recv
    _socket3.socket.connect = connect
    _socket3.socket.recv = recv


@registry.register('lost-events')
def _lose_events() -> None:
    """Some waits for a socket are never told that it is ready."""

    def wait(sock, watcher, original):
        original(sock, watcher)
        if random.random() < _LOST_SHARE:
            timeout_s = sock.gettimeout()
            gevent.sleep(_FOR_EVER_S if timeout_s is None else timeout_s)
            raise TimeoutError('timed out')

    _replace_wait(wait)


@registry.register('deaf-connections')
def _lose_input_events() -> None:
    """The event loop never tells of input on connections that were dialled."""
    dialled = weakref.WeakSet()
    original = _socket3.socket.connect

    def connect(sock, address):
        result = original(sock, address)
        dialled.add(sock)
        return result

    def wait(sock, watcher, original):
        if sock not in dialled:
            original(sock, watcher)
            return
        timeout_s = sock.gettimeout()
        gevent.sleep(_FOR_EVER_S if timeout_s is None else timeout_s)
        raise TimeoutError('timed out')

    _socket3.socket.connect = connect
    _replace_wait(wait)


def _replace_wait(
    wait: Callable[[Any, Any, Callable[[Any, Any], None]], None],
) -> None:
    """Replaces the wait of connections for input."""
    original = _socket3.socket._wait

    def replaced(sock, watcher, timeout_exc=None):
        if watcher is sock._write_event or timeout_exc is not None:
            original(sock, watcher, timeout_exc)
        else:
            wait(sock, watcher, original)

    _socket3.socket._wait = replaced


@registry.register('late-timers')
def _delay_timers() -> None:
    """Sleeping greenlets are woken late."""
    original = gevent.sleep

    def sleep(seconds=0, ref=True):
        late_s = random.uniform(0.0, _LATE_S) if seconds else 0.0
        original(seconds + late_s, ref)

    gevent.sleep = sleep


@registry.register('coarse-clock')
def _make_clock_coarse() -> None:
    """The clock advances in large steps."""
    original = time.clock_gettime
    time.clock_gettime = lambda clock: original(clock) // _TICK_S * _TICK_S


@registry.register('stepping-clock')
def _make_clock_step() -> None:
    """The clock jumps ahead every few seconds, unlike the event loop's."""
    original = time.clock_gettime

    def clock_gettime(clock):
        now = original(clock)
        return now + now // _STEP_INTERVAL_S * _STEP_S

    time.clock_gettime = clock_gettime


@registry.register('small-buffers')
def _shrink_buffers() -> None:
    """Connections have small buffers, so writers wait for readers."""
    original = _socket3.socket.__init__

    def initialize(sock, *args, **options):
        original(sock, *args, **options)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, _SMALL_BUFFER_BYTES)

    _socket3.socket.__init__ = initialize


def main(arguments: Sequence[str] | None = None) -> None:
    """Installs the differences and runs the module as the main program."""
    parser = argparse.ArgumentParser(
        prog='machines', description='Runs a program on another machine.'
    )
    parser.add_argument('names', nargs='+', choices=list_names())
    refusals.launch(parser, install, arguments)


if __name__ == '__main__':
    main()
