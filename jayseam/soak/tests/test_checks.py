"""Tests of the checks: each finds the breach that it is for."""

import attrs
import pytest

from jayseam.soak import checks
from jayseam.soak import faults
from jayseam.tools import records

_NODE = '127.0.0.1:9000'
_STOP = faults.Stop(_NODE, 10.0, 11.0, 0, True)
_CALM = checks.Evidence(
    records=(),
    runs=(),
    stops=(_STOP,),
    unplanned=(),
    withdrawn='mons',
    withdrawn_at=20.0,
    trust_s=5.0,
    ended={},
    unserved=(),
)


def _record(outcome, ended):
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


def _find(**changes):
    evidence = attrs.evolve(_CALM, **changes)
    return [found.check for found in checks.find_breaches(evidence)]


def test_a_calm_run_has_no_findings():
    """Nothing is found where nothing went wrong."""
    kept = _record('ok', 10.5)
    run = {'workspace': 'mons', 'started': 24.9, 'request_id': 'r1'}
    assert not _find(records=(kept,), runs=(run,))


@pytest.mark.parametrize(
    'check, changes',
    [
        ('own-end', {'ended': {'vm-1': 1}}),
        ('recovery', {'unserved': ('vm-1',)}),
        ('planned-stop', {'records': (_record('lost', 10.5),)}),
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
def test_each_breach_is_found(check, changes):
    """Each check can fail."""
    assert _find(**changes) == [check]


def test_unplanned_faults_excuse_what_a_stop_cuts():
    """A call that is lost within the stable window of a fault is excused."""
    cut = (_record('lost', 10.5),)
    assert not _find(records=cut, unplanned=((5.0, 7.5),))
    assert _find(records=cut, unplanned=((5.0, 6.5),)) == ['planned-stop']


def test_a_process_that_never_served_may_end_by_the_signal():
    """A process that is still starting has no handler for signals yet."""
    assert not _find(stops=(faults.Stop(_NODE, 10.0, 10.1, -15, False),))
