"""Child processes of a test, and the loopback ports that they use."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence

import gevent

import jayseam
from jayseam.core import clocks
from jayseam.standins import errors

_POLL_INTERVAL_S = 0.01


def exit_on_sigterm() -> None:
    """Makes SIGTERM raise `SystemExit` in this program.

    The exception runs the context managers that end child processes. Without
    the handler, the signal would leave the child processes running.
    """
    signal.signal(signal.SIGTERM, _raise_exit)


def _raise_exit(number: int, frame: object) -> None:
    del frame
    # Shells report 128 plus the signal number as the exit status.
    sys.exit(128 + number)


class PortReservations:
    """Reserves free loopback ports until it is closed.

    Each port stays bound by a socket that never listens. With SO_REUSEADDR on
    both sockets a child process can still listen on the port, while the kernel
    never picks it for a socket that asks for any free port.
    """

    def __init__(self, host: str = '127.0.0.1'):
        self._host = host
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Returns a free port and keeps it reserved."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, 0))
        self._sockets.append(sock)
        return sock.getsockname()[1]

    def close(self) -> None:
        """Releases all ports."""
        while self._sockets:
            self._sockets.pop().close()


class ManagedProcess:
    """A child process whose output goes to a file.

    Args:
      name: Name of the process in messages.
      arguments: Program and arguments.
      log_path: File that standard output and error are appended to.
    """

    def __init__(
        self, name: str, arguments: Sequence[str], log_path: pathlib.Path
    ):
        self.name = name
        self.log_path = log_path
        root = str(pathlib.Path(jayseam.__file__).parent.parent)
        with log_path.open('ab') as log:
            self._process = subprocess.Popen(  # pylint: disable=R1732
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=log_path.parent,
                env={**os.environ, 'PYTHONPATH': root},
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The exit status; negative for a signal, None while it runs."""
        return self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has ended."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process with SIGKILL and reaps it."""
        self._process.kill()
        self._process.wait()

    def wait(self, timeout_s: float) -> int:
        """Waits for the end and returns the exit status.

        Other greenlets run during the wait.

        Raises:
          ClusterError: If the process still runs after ``timeout_s`` seconds.
        """
        deadline = clocks.read_now() + timeout_s
        while self.returncode is None:
            if clocks.read_now() >= deadline:
                raise errors.ClusterError(
                    f'{self.name} still runs after {timeout_s} s'
                )
            gevent.sleep(_POLL_INTERVAL_S)
        return self.returncode

    def read_tail(self, lines: int = 20) -> str:
        """Returns the last lines of the output."""
        text = self.log_path.read_text(encoding='utf-8', errors='replace')
        return '\n'.join(text.splitlines()[-lines:])
