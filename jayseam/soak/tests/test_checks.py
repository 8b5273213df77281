"""Tests of the checks: each finds violations of its invariant."""

import attrs
import pytest

from jayseam.soak import checks
from jayseam.soak import faults
from jayseam.tools import records

_NODE = '127.0.0.1:9000'
_STOP = faults.Stop(_NODE, 10.0, 11.0, 0, True)
_CLEAN_RUN = checks.Observations(
    records=(),
    runs=(),
    stops=(_STOP,),
    unplanned_faults=(),
    withdrawn='mons',
    withdrawn_at=20.0,
    key_grace_s=5.0,
    exit_statuses={},
    unrecovered_vms=(),
)


def _build_record(outcome, ended):
    return records.CallRecord(
        'huy',
        'GET',
        '/',
        'echo-1',
        '',
        False,
        9.0,
        ended=ended,
        target=_NODE,
        outcome=outcome,
    )


def _find_violated_checks(**changes):
    """Returns the names of the checks that find a violation."""
    observations = attrs.evolve(_CLEAN_RUN, **changes)
    return [finding.check for finding in checks.run_checks(observations)]


def test_a_clean_run_has_no_findings():
    """A run that keeps all invariants has no findings."""
    record = _build_record('ok', 10.5)
    run = {'workspace': 'mons', 'started': 24.9, 'request_id': 'r1'}
    assert not _find_violated_checks(records=(record,), runs=(run,))


@pytest.mark.parametrize(
    'check, changes',
    [
        ('own-end', {'exit_statuses': {'vm-1': 1}}),
        ('recovery', {'unrecovered_vms': ('vm-1',)}),
        ('planned-stop', {'records': (_build_record('lost', 10.5),)}),
        (
            'planned-stop',
            {'stops': (faults.Stop(_NODE, 10.0, 11.0, -9, True),)},
        ),
        (
            'withdrawn-key',
            {
                'runs': (
                    {'workspace': 'mons', 'started': 25.1, 'request_id': 'r1'},
                )
            },
        ),
    ],
)
def test_each_violation_is_found(check, changes):
    """Each check can fail."""
    assert _find_violated_checks(**changes) == [check]


def test_unplanned_faults_excuse_what_a_stop_cuts():
    """A call lost within the stable window after a fault is excused."""
    lost = (_build_record('lost', 10.5),)
    assert not _find_violated_checks(
        records=lost, unplanned_faults=((5.0, 7.5),)
    )
    assert _find_violated_checks(
        records=lost, unplanned_faults=((5.0, 6.5),)
    ) == ['planned-stop']


def test_a_process_that_never_served_may_end_by_the_signal():
    """A process that is still starting has no handler for signals yet."""
    assert not _find_violated_checks(
        stops=(faults.Stop(_NODE, 10.0, 10.1, -15, False),)
    )
