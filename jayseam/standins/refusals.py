"""Runs a program on a machine that refuses some calls of the operating system.

    python -m jayseam.standins.refusals attach-filter -- MODULE [ARGUMENT...]

A hook on ``setsockopt``, a locked filter or a system-call policy refuses such
calls with EPERM. The refusals are installed inside the process, as the program
would see them.
"""

import argparse
import errno
import importlib
import os
import runpy
import socket
import sys
import time
from collections.abc import Callable, Sequence

from gevent import _socket3
from gevent import threadpool

from jayseam.core import clocks
from jayseam.core import registries

_SO_ATTACH_FILTER = 26
# Standard output and standard error.
_OUTPUTS = (1, 2)

registry: registries.Registry[Callable[[], None]] = registries.Registry(
    'refusal'
)


def refuse_option(level: int, option: int) -> None:
    """Makes ``setsockopt`` fail with EPERM for an option of sockets.

    Args:
      level: Level of the option, such as ``socket.SOL_SOCKET``.
      option: Number of the option.
    """
    # Listeners of gevent servers are plain sockets below gevent's own class.
    for owner in (_socket3.socket, _socket3._wrefsocket):
        owner.setsockopt = _build_refusal(owner.setsockopt, level, option)


def _refuse() -> None:
    raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))


def _build_refusal(
    original: Callable[..., None], refused_level: int, refused_option: int
) -> Callable[..., None]:
    def setsockopt(sock, level, option, *value):
        if (level, option) == (refused_level, refused_option):
            _refuse()
        original(sock, level, option, *value)

    return setsockopt


@registry.register('attach-filter')
def _refuse_filters() -> None:
    """Packet filters on sockets are refused."""
    refuse_option(socket.SOL_SOCKET, _SO_ATTACH_FILTER)


@registry.register('no-delay')
def _refuse_no_delay() -> None:
    """TCP_NODELAY on sockets is refused."""
    refuse_option(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@registry.register('boot-time')
def _refuse_boot_time() -> None:
    """Reading CLOCK_BOOTTIME is refused."""
    original = time.clock_gettime

    def clock_gettime(clock):
        if clock == time.CLOCK_BOOTTIME:
            _refuse()
        return original(clock)

    time.clock_gettime = clock_gettime
    # The clock is chosen at the first import, which has been.
    importlib.reload(clocks)


@registry.register('non-blocking-output')
def _refuse_non_blocking_output() -> None:
    """Switching the standard streams to non-blocking writes is refused."""
    original = os.set_blocking

    def set_blocking(descriptor, blocking):
        if descriptor in _OUTPUTS and not blocking:
            _refuse()
        original(descriptor, blocking)

    os.set_blocking = set_blocking


@registry.register('threads')
def _refuse_threads() -> None:
    """Starting threads is refused, as by a limit on processes."""

    def start_new_thread(*_):
        raise RuntimeError("can't start new thread")

    threadpool.start_new_thread = start_new_thread


@registry.register('output')
def _refuse_output() -> None:
    """Writing to the standard streams is refused."""
    original = os.write

    def write(descriptor, data):
        if descriptor in _OUTPUTS:
            _refuse()
        return original(descriptor, data)

    os.write = write


def launch(
    parser: argparse.ArgumentParser,
    install: Callable[[Sequence[str]], None],
    arguments: Sequence[str] | None = None,
) -> None:
    """Changes what this process sees and runs a module as the main program.

    Args:
      parser: Parser of the arguments before ``--``, with ``names``.
      install: Installs the changes of some names.
      arguments: Command line; by default that of the process.
    """
    given = sys.argv[1:] if arguments is None else list(arguments)
    split = given.index('--') if '--' in given else len(given)
    options = parser.parse_args(given[:split])
    module, *rest = given[split + 1 :] or [None]
    if module is None:
        parser.error('no module to run')
    install(options.names)
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name='__main__', alter_sys=True)


def install_refusals(names: Sequence[str]) -> None:
    """Installs the refusals of some names."""
    for name in names:
        registry.get(name)()


def main(arguments: Sequence[str] | None = None) -> None:
    """Installs the refusals and runs the module as the main program."""
    parser = argparse.ArgumentParser(
        prog='refusals', description='Runs a program with calls refused.'
    )
    parser.add_argument('names', nargs='+', choices=registry.list_names())
    launch(parser, install_refusals, arguments)


if __name__ == '__main__':
    main()
