"""Child processes that experiments start."""

import pathlib
import sys
from collections.abc import Sequence

import attrs

from jayseam.standins import processes


@attrs.frozen
class ExitResult:
    """The exit status and the output of a child process.

    Attributes:
      status: Exit status.
      log_tail: Last lines of its output.
    """

    status: int
    log_tail: str


def run_module(
    module: str,
    arguments: Sequence[str],
    log_path: pathlib.Path,
    timeout_s: float,
) -> ExitResult:
    """Runs a module in a child process; other greenlets run meanwhile.

    Args:
      module: Name of the module.
      arguments: Arguments of the program.
      log_path: File to which the process writes its output.
      timeout_s: Seconds after which the process is killed.

    Raises:
      ClusterError: If the process doesn't end in time.
    """
    process = processes.ManagedProcess(
        module, [sys.executable, '-m', module, *arguments], log_path
    )
    try:
        status = process.wait(timeout_s)
        return ExitResult(status, process.read_tail())
    finally:
        process.kill()
