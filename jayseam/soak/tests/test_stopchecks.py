"""Tests of the checks of planned stops: each finds violations."""

import attrs
import pytest

from jayseam.soak import faults
from jayseam.soak import fleets
from jayseam.soak import stopchecks
from jayseam.standins import callers
from jayseam.standins import platformbackend
from jayseam.standins import readiness
from jayseam.standins import wires
from jayseam.tools import records

_IP = '127.0.2.1'
_OTHER_IP = '127.0.2.2'
_TERM = 100.0
_STOP = faults.Stop(_IP, _TERM, _TERM + 5.2, 0, True)
_QUIET_RUN = stopchecks.Observations(
    requests=(),
    arrivals={_IP: (), _OTHER_IP: ()},
    stops=(_STOP,),
    reloads={_IP: (), _OTHER_IP: ()},
    node_faults={_IP: (), _OTHER_IP: ()},
)


def _build_request(sent, ended, ending='end', status=0, held_s=0.0, work_s=2.0):
    """Returns a request of which all but ``held_s`` was spent on sending it."""
    call = records.CallRecord(
        workspace='school',
        method='POST',
        path='/credit/1',
        echo='c1',
        idempotency_key='c1',
        repeat=False,
        scheduled=sent,
        sent=sent,
        ended=ended,
        target=_IP,
        status=status,
    )
    exchange = wires.Exchange(
        ended - held_s, ending == 'answer', ending, status
    )
    return callers.Request(
        'credit', call, work_s, 4.0, exchange, is_own=status >= 500
    )


def _find_violated_checks(request=None, ran_at=None, **changes):
    """Returns the names of the checks that find a violation.

    Args:
      request: A request of a caller.
      ran_at: Time at which it reached the other VM and ran.
      **changes: Changed fields of a run without findings.
    """
    arrivals = {_IP: (), _OTHER_IP: ()}
    if ran_at is not None:
        arrivals[_OTHER_IP] = (
            platformbackend.Arrival('c1', ran_at, 'school', '', '', 3900, True),
        )
    observations = attrs.evolve(
        _QUIET_RUN,
        requests=() if request is None else (request,),
        arrivals=arrivals,
        **changes,
    )
    return [finding.check for finding in stopchecks.run_checks(observations)]


def test_a_request_that_ran_and_got_no_answer_is_found():
    """The end of a process must not cut what it has passed on."""
    request = _build_request(_TERM + 2.0, _TERM + 2.9)
    assert _find_violated_checks(request, _TERM + 2.1) == ['stop-lost']


def test_a_request_that_was_held_and_dropped_is_found():
    """A request that was read needn't have run to be owed an answer."""
    request = _build_request(_TERM + 2.0, _TERM + 2.9, held_s=0.3)
    assert _find_violated_checks(request) == ['stop-lost']


@pytest.mark.parametrize(
    'request_, ran_at',
    [
        (_build_request(_TERM + 2.0, _TERM + 2.9, held_s=0.1), None),
        (_build_request(_TERM + 2.0, _TERM + 2.9, 'reset', held_s=1.0), None),
        (_build_request(_TERM + 2.0, _TERM + 2.9, 'unreachable'), None),
        (_build_request(_TERM + 2.0, _TERM + 6.0), _TERM + 2.1),
        (_build_request(_TERM + 2.9, _TERM + 5.1), _TERM + 3.2),
        (_build_request(_TERM + 8.0, _TERM + 8.5), _TERM + 8.1),
    ],
    ids=['crossed', 'unread', 'refused', 'deadline', 'last-sixth', 'later'],
)
def test_requests_that_are_not_owed_an_answer_are_not_found(request_, ran_at):
    """Closed before reading, at the deadline, late work, not in the stop."""
    assert not _find_violated_checks(request_, ran_at)


def test_a_request_of_late_work_that_was_sent_late_is_found():
    """What is taken over 3 s after SIGTERM is owed an answer in any case."""
    request = _build_request(_TERM + 3.1, _TERM + 5.2)
    assert _find_violated_checks(request, _TERM + 3.2) == ['stop-lost']


def test_an_answer_in_place_of_a_server_at_work_is_found():
    """A 504 of the node itself at 3.0 s of the stop breaks a request off."""
    request = _build_request(_TERM + 1.2, _TERM + 3.0, 'answer', 504)
    assert _find_violated_checks(request, _TERM + 1.3) == ['stop-replaced']
    request.work_s = 1.5
    assert not _find_violated_checks(request, _TERM + 1.3)


@pytest.mark.parametrize('ip', [_IP, _OTHER_IP])
def test_a_fault_excuses_an_answer_in_place_of_a_server_at_work(ip):
    """A kill of the node beside the server ends its work, too."""
    request = _build_request(_TERM + 1.2, _TERM + 3.0, 'answer', 504)
    node_faults = {**_QUIET_RUN.node_faults, ip: (fleets.Span(95.0, 98.5),)}
    assert not _find_violated_checks(
        request, _TERM + 1.3, node_faults=node_faults
    )


def test_a_request_that_a_reload_cuts_is_found():
    """A reload is planned work, like a stop."""
    request = _build_request(50.0, 51.0)
    reloads = {**_QUIET_RUN.reloads, _IP: (50.5,)}
    assert not _find_violated_checks(request, 50.1)
    assert _find_violated_checks(request, 50.1, reloads=reloads) == [
        'stop-lost'
    ]


def test_a_stop_that_the_platform_had_to_end_is_found():
    """SIGKILL at the end of the grace cuts what the node has in hand."""
    killed = attrs.evolve(_STOP, status=-9)
    assert _find_violated_checks(stops=(killed,)) == ['stop-killed']


def test_nodes_that_stay_ready_are_found():
    """Callers keep sending to a node whose checks are answered in a stop."""
    stops = (_STOP, attrs.evolve(_STOP, address=_OTHER_IP))
    questions = [
        readiness.Question(stop.address, _TERM + second, True)
        for stop in stops
        for second in (0.5, 1.5, 2.5, 3.5)
    ]
    found = _find_violated_checks(stops=stops, questions=questions)
    assert found == ['stop-ready'] * 2
    questions = [attrs.evolve(q, is_ready=False) for q in questions]
    assert not _find_violated_checks(stops=stops, questions=questions)


def test_errors_in_logs_are_found_unless_a_refusal_explains_them():
    """A dead greenlet is a finding, and so is one for another reason."""
    refused = '{"event": "task.crashed", "reason": "PermissionError: [1]"}'
    other = '{"event": "task.crashed", "reason": "KeyError: 1"}'
    assert _find_violated_checks(logs={_IP: refused}) == ['stop-errors']
    assert not _find_violated_checks(
        logs={_IP: refused}, refused=['attach-filter']
    )
    assert _find_violated_checks(
        logs={_IP: f'{refused}\n{other}'}, refused=['attach-filter']
    ) == ['stop-errors']
