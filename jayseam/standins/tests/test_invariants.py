"""Tests of the invariant checker."""

import random

import pytest

from jayseam.standins import invariants
from jayseam.tools import records as call_records

_BUDGETS = {'w1': invariants.Budget(rate_per_s=10, burst=2)}


def _run(number, **changes):
    run = {
        'request_id': f'r{number}',
        'idempotency_key': '',
        'workspace': 'w1',
        'echo': f'e{number}',
        'started': float(number),
        'nested': False,
        'key_seen': False,
        'draining_s': None,
    }
    return {**run, **changes}


def _record(number, **changes):
    fields = {'request_id': f'r{number}', 'outcome': 'ok', 'ran': 'yes'}
    return call_records.CallRecord(
        'w1', 'GET', '/a', f'e{number}', '', False, 0.0, **fields | changes
    )


def _judge(runs, records, peaks=None):
    violations = invariants.InvariantChecker(_BUDGETS).find_violations(
        runs, records, peaks
    )
    return [violation.rule for violation in violations]


def test_sound_runs_pass():
    """A false alarm would make the checks useless, so sound runs must pass."""
    runs = [_run(1), _run(2, idempotency_key='k'), _run(3, draining_s=1.0)]
    refused = _record(4, outcome='limit', ran='no')
    peaks = {'b1': {'overloads': 0, 'falls': 0, 'connections_refused': 0}}
    records = [_record(number) for number in (1, 2, 3)] + [refused]
    assert not _judge(runs, records, peaks)


@pytest.mark.parametrize(
    'rule, runs, records',
    [
        (
            'at-most-once',
            [_run(1, idempotency_key='k'), _run(2, idempotency_key='k')],
            [_record(1), _record(2)],
        ),
        ('not-run', [_run(1)], [_record(1, outcome='limit', ran='no')]),
        (
            'not-run',
            [_run(1)],
            [_record(1, outcome='unreachable', ran='no', request_id='')],
        ),
        ('workspace', [_run(1, workspace='w2')], [_record(1)]),
        ('workspace', [_run(1), _run(2)], [_record(1)]),
        ('answers', [_run(1)], [_record(1, outcome='foreign')]),
        ('answers', [], [_record(1)]),
        ('keys', [_run(1, key_seen=True)], [_record(1)]),
        (
            'budget',
            [_run(n, started=0.0) for n in range(3)],
            [_record(n) for n in range(3)],
        ),
        ('draining', [_run(1, draining_s=3.5)], [_record(1)]),
    ],
)
def test_each_breach_is_found(rule, runs, records):
    """Each rule must report a violation of its invariant."""
    assert _judge(runs, records) == [rule]


def test_overload_is_found():
    """A backend server that ran more than its slots must be reported."""
    peaks = {'b1': {'overloads': 1, 'falls': 0, 'connections_refused': 0}}
    assert _judge([], [], peaks) == ['overload']


def test_retries_and_nested_calls_take_no_budget():
    """Retries and nested calls must not count against the budget."""
    runs = [_run(1) for _ in range(5)] + [_run(1, nested=True)] * 5
    assert not _judge(runs, [_record(1)])


def test_excess_equals_the_search_over_all_windows():
    """The single pass must find the same excess as a search of all pairs."""
    generator = random.Random(11)
    for _ in range(50):
        times = sorted(generator.uniform(0, 3) for _ in range(30))
        budget = invariants.Budget(generator.uniform(1, 12), 3)
        worst = max(
            j - i + 1 - budget.burst - budget.rate_per_s * (times[j] - times[i])
            for j in range(30)
            for i in range(j + 1)
        )
        excess = invariants.find_excess(times, budget)
        found = excess.count - excess.allowed if excess else 0.0
        assert found == pytest.approx(max(0.0, worst), abs=1e-5)
