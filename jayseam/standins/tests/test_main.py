"""Tests of the program ``jayseam-standin``."""

import json
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
    words = ['-m', 'jayseam.standins.main', kind, '--settings', str(path)]
    process = processes.ManagedProcess(
        kind, [sys.executable, *words], tmp_path / 'log'
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
    """A misspelt setting must not leave a stand-in with its default."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    assert main.main([kind, '--settings', str(path)]) == 2
    assert expected in capsys.readouterr().err
