"""Starts the processes of a cluster and ends them.

Only processes that a launcher started are ended, by process id.
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
      directory: Where settings and logs are; None while it is closed.
    """

    def __init__(self, host: str, start_timeout_s: float):
        self.directory: pathlib.Path | None = None
        self._host = host
        self._start_timeout_s = start_timeout_s
        self._ports = processes.PortReservations(host)
        self._processes: list[processes.ManagedProcess] = []

    def open(self) -> None:
        """Makes the directory."""
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='jayseam-'))

    def close(self) -> None:
        """Ends all processes, gives ports back and removes the directory."""
        for process in reversed(self._processes):
            process.kill()
        self._processes.clear()
        self._ports.close()
        if self.directory is not None:
            shutil.rmtree(self.directory, ignore_errors=True)
            self.directory = None

    def reserve_port(self) -> int:
        """Returns a port that no other process gets."""
        return self._ports.reserve()

    def launch(
        self, name: str, module: str, words: Sequence[str], settings: Any
    ) -> processes.ManagedProcess:
        """Starts a module with a settings file.

        Args:
          name: Name of the process and of its files.
          module: Module that is run.
          words: Arguments before ``--settings``.
          settings: Settings document.
        """
        assert self.directory is not None
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        process = processes.ManagedProcess(
            name,
            [sys.executable, '-m', module, *words, '--settings', str(path)],
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
          ClusterError: If it ends or doesn't answer in time.
        """
        address = (self._host, self.reserve_port())
        settings = {**settings, 'host': self._host, 'control_port': address[1]}
        process = self.launch(name, _STANDIN_MODULE, [kind], settings)

        def answers() -> bool:
            if process.returncode is not None:
                raise errors.ClusterError(f'{name} ended at its start')
            exchanges.exchange_once(address, 'GET', '/')
            return True

        waits.wait_until(answers, self._start_timeout_s, name)
        return address

    def show_logs(self) -> None:
        """Prints the ends of all logs on stderr."""
        for process in self._processes:
            tail = process.read_tail()
            if tail:
                status = process.returncode
                print(
                    f'--- {process.name} (status {status})\n{tail}',
                    file=sys.stderr,
                )
