"""Machines that behave differently, and scripts whose nodes run on them."""

import os
import subprocess
import sys

import pytest

from jayseam.core import errors
from jayseam.standins import machines
from jayseam.standins import scriptmachines

_PROBE = """
import runpy, select, socket, sys
sys.argv = ['probe']
from jayseam.standins import machines
machines.install([{name!r}])
left, right = socket.socketpair()
right.close()
poller = select.poll()
poller.register(left.fileno(), {events})
print(bool([e for _, e in poller.poll(0) if e & select.POLLRDHUP]))
"""


@pytest.mark.parametrize(
    'name, events, is_shown',
    [
        ('rdhup-with-input', 'select.POLLRDHUP', False),
        ('rdhup-with-input', 'select.POLLRDHUP | select.POLLIN', True),
        ('no-rdhup', 'select.POLLRDHUP | select.POLLIN', False),
        ('silent-poll', 'select.POLLRDHUP | select.POLLIN', False),
        ('no-peek', 'select.POLLRDHUP', True),
    ],
)
def test_machine_reports_the_end_as_named(name, events, is_shown):
    """A difference that isn't in force would prove nothing."""
    probe = _PROBE.format(name=name, events=events)
    result = subprocess.run(
        [sys.executable, '-c', probe],
        capture_output=True,
        check=True,
        text=True,
        timeout=30,
    )
    assert result.stdout.strip() == str(is_shown)


def test_refusals_may_be_named_too():
    """One list of names must do for all that a machine may lack."""
    assert {'boot-time', 'no-rdhup'} <= set(machines.list_names())
    with pytest.raises(errors.UnknownVariantError):
        machines.install(['no-such-machine'])


def test_only_nodes_run_on_the_machine(tmp_path):
    """The script's own stand-ins run as they are, and its exit code stands."""
    script = tmp_path / 'run.sh'
    script.write_text(
        'python3 -c "import select; print(select.poll.__module__)" > "$1"\n'
        'command -v python3 >> "$1"\n'
        'exit 7\n'
    )
    output = tmp_path / 'output'
    command = ['sh', str(script), str(output)]
    assert scriptmachines.run_script(['silent-poll'], command) == 7
    module, path = output.read_text().split()
    assert module == 'select'
    assert os.path.basename(os.path.dirname(path)).startswith('machine-')
