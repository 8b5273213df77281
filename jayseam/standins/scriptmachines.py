"""Runs a script whose nodes are on a machine that behaves differently.

    python -m jayseam.standins.scriptmachines no-rdhup -- review/5/run.sh

The script is left as it is. It starts nodes by ``python3`` on its path; the
first one on the path is a wrapper that plays the machine for nodes alone.
"""

import argparse
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile
from collections.abc import Sequence

from jayseam.standins import machines

_NODE_MODULE = 'jayseam.platform.main'
_WRAPPER = """#!/bin/sh
if [ "$1" = -m ] && [ "$2" = {module} ]; then
  shift 2
  exec {python} -m jayseam.standins.machines {names} -- {module} "$@"
fi
exec {python} "$@"
"""


def build_wrapper(python: str, names: Sequence[str]) -> str:
    """Returns the text of a ``python3`` that plays a machine for nodes.

    >>> 'machines no-peek -- jayseam' in build_wrapper('/bin/p', ['no-peek'])
    True
    """
    return _WRAPPER.format(
        module=_NODE_MODULE, python=shlex.quote(python), names=' '.join(names)
    )


def run_script(names: Sequence[str], command: Sequence[str]) -> int:
    """Runs a command and returns its exit code.

    Args:
      names: Names of differences and refusals; see `machines`.
      command: The command with its arguments.
    """
    with tempfile.TemporaryDirectory(prefix='machine-') as directory:
        wrapper = pathlib.Path(directory) / 'python3'
        # The interpreter of a virtual environment has other packages than
        # those that the script's nodes run with.
        python = os.path.realpath(sys.executable)
        wrapper.write_text(build_wrapper(python, names), encoding='utf-8')
        wrapper.chmod(0o755)
        path = f'{directory}{os.pathsep}{os.environ.get("PATH", os.defpath)}'
        environment = {**os.environ, 'PATH': path}
        return subprocess.run(command, env=environment, check=False).returncode


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the script; returns its exit code."""
    parser = argparse.ArgumentParser(
        prog='scriptmachines',
        description='Runs a script whose nodes are on another machine.',
    )
    parser.add_argument('names', nargs='+', choices=machines.list_names())
    given = sys.argv[1:] if arguments is None else list(arguments)
    split = given.index('--') if '--' in given else len(given)
    options = parser.parse_args(given[:split])
    command = given[split + 1 :]
    if not command:
        parser.error('no command to run')
    return run_script(options.names, command)


if __name__ == '__main__':
    sys.exit(main())
