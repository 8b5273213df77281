"""Tests of the program ``jayseam-standin``."""

import json
import os
import pathlib
import signal
import sys

import pytest

from jayseam.standins import main
from jayseam.standins import processes
from jayseam.standins import waits


@pytest.mark.parametrize('kind', ['platform', 'faults'])
def test_program_ends_on_sigterm(tmp_path, kind):
    """A stand-in that ignores SIGTERM would outlive its test."""
    path = tmp_path / 'settings.json'
    path.write_text('{}')
    arguments = ['-m', 'jayseam.standins.main', kind, '--settings', str(path)]
    process = processes.ManagedProcess(
        kind, [sys.executable, *arguments], tmp_path / 'log'
    )
    try:
        waits.wait_until(process.read_tail, 5.0, 'ready line')
        process.send_signal(signal.SIGTERM)
        assert process.wait(5.0) == 0
    finally:
        process.kill()


@pytest.mark.parametrize(
    'kind, document, expected',
    [
        ('platform', {'budget': 5}, 'budget'),
        ('backend', {}, 'backends'),
        ('backend', {'backends': [{'name': 'b', 'slots': 'x'}]}, 'slots'),
    ],
)
def test_invalid_settings_are_refused(
    tmp_path, capsys, kind, document, expected
):
    """A misspelt setting must be refused, not replaced by its default."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    assert main.main([kind, '--settings', str(path)]) == 2
    assert expected in capsys.readouterr().err


def _list_children(pid):
    """Returns the ids of the child processes of a process."""
    children = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
    return [int(word) for word in children.read_text('ascii').split()]


def _is_running(pid):
    """Returns whether a process exists and isn't a zombie."""
    try:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text('ascii')
    except FileNotFoundError:
        return False
    return stat.rpartition(')')[2].split()[0] != 'Z'


@pytest.mark.parametrize(
    'arguments',
    [
        ['jayseam.standins.demo'],
        ['jayseam.soak.main'],
        ['jayseam.bench.main', '--only', 'memory'],
    ],
)
def test_programs_end_what_they_started(tmp_path, arguments):
    """A program that gets SIGTERM must end all its child processes."""
    process = processes.ManagedProcess(
        arguments[0], [sys.executable, '-m', *arguments], tmp_path / 'log'
    )
    started = []
    try:
        started = waits.wait_until(
            lambda: len(_list_children(process.pid)) > 4
            and _list_children(process.pid),
            20.0,
            'child processes',
        )
        process.send_signal(signal.SIGTERM)
        assert process.wait(10.0) != 0
        waits.wait_until(
            lambda: not any(map(_is_running, started)), 5.0, 'ended children'
        )
    finally:
        process.kill()
        for pid in filter(_is_running, started):
            os.kill(pid, signal.SIGKILL)
