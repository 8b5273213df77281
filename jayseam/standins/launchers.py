"""Starts and ends the processes of a cluster.

A launcher ends only processes that it started, by process id.
"""

import json
import pathlib
import shutil
import sys
import tempfile
from collections.abc import Sequence
from typing import Any

from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import processes
from jayseam.standins import waits

_STANDIN_MODULE = 'jayseam.standins.main'


class Launcher:
    """Owns the processes, ports and files of one cluster.

    Args:
      host: Address of all listeners.
      start_timeout_s: Seconds until a stand-in must answer.

    Attributes:
      directory: Directory of settings and logs; None while the launcher is
        closed.
    """

    def __init__(self, host: str, start_timeout_s: float):
        self.directory: pathlib.Path | None = None
        self._host = host
        self._start_timeout_s = start_timeout_s
        self._ports = processes.PortReservations(host)
        self._processes: list[processes.ManagedProcess] = []

    def open(self) -> None:
        """Creates the directory."""
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='jayseam-'))

    def close(self) -> None:
        """Ends all processes, releases ports and removes the directory."""
        for process in reversed(self._processes):
            process.kill()
        self._processes.clear()
        self._ports.close()
        if self.directory is not None:
            shutil.rmtree(self.directory, ignore_errors=True)
            self.directory = None

    def reserve_port(self) -> int:
        """Returns a port that no other process is given."""
        return self._ports.reserve()

    def launch(
        self, name: str, module: str, arguments: Sequence[str], settings: Any
    ) -> processes.ManagedProcess:
        """Starts a process that runs a module with a settings file.

        Args:
          name: Name of the process and of its files.
          module: Name of the module to run.
          arguments: Arguments before ``--settings``.
          settings: Settings document.
        """
        assert self.directory is not None
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        process = processes.ManagedProcess(
            name,
            [sys.executable, '-m', module, *arguments, '--settings', str(path)],
            self.directory / f'{name}.log',
        )
        self._processes.append(process)
        return process

    def launch_standin(
        self, name: str, kind: str, settings: Any
    ) -> tuple[str, int]:
        """Starts a stand-in and waits for its control listener.

        Returns:
          The address of the control listener.

        Raises:
          ClusterError: If the process ends or doesn't answer in time.
        """
        address = (self._host, self.reserve_port())
        settings = {**settings, 'host': self._host, 'control_port': address[1]}
        process = self.launch(name, _STANDIN_MODULE, [kind], settings)

        def is_answering() -> bool:
            if process.returncode is not None:
                raise errors.ClusterError(f'{name} ended at its start')
            exchanges.exchange_once(address, 'GET', '/')
            return True

        waits.wait_until(is_answering, self._start_timeout_s, name)
        return address

    def show_logs(self) -> None:
        """Prints the last lines of all logs to stderr."""
        for process in self._processes:
            tail = process.read_tail()
            if tail:
                status = process.returncode
                print(
                    f'--- {process.name} (status {status})\n{tail}',
                    file=sys.stderr,
                )
