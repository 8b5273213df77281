"""Programs that experiments run in processes of their own."""

import pathlib
import sys
from collections.abc import Sequence

import attrs

from jayseam.standins import processes


@attrs.frozen
class Ended:
    """How a program ended.

    Attributes:
      status: Exit status.
      log_tail: Last lines of its output.
    """

    status: int
    log_tail: str


def run_module(
    module: str,
    words: Sequence[str],
    log_path: pathlib.Path,
    timeout_s: float,
) -> Ended:
    """Runs a module as a program; other greenlets run meanwhile.

    Args:
      module: Name of the module.
      words: Its arguments.
      log_path: File of its output.
      timeout_s: Seconds until it must have ended.

    Raises:
      ClusterError: If it still runs then; it is killed.
    """
    process = processes.ManagedProcess(
        module, [sys.executable, '-m', module, *words], log_path
    )
    try:
        status = process.wait(timeout_s)
        return Ended(status, process.read_tail())
    finally:
        process.kill()
