"""Tests of the queue in order of objectives."""

import collections
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.admission import errors
from jayseam.admission import objectives
from jayseam.admission import queues


def make_entry(kind='w', rank=0, objective=1.0, deadline=4.0, **fields):
    """Returns an entry that takes 0.1 s by default."""
    fields = {'service_s': 0.1, 'still_valid': lambda now: True} | fields
    return queues.Entry(
        '',
        1.0,
        deadline,
        rank=rank,
        objective=objective,
        kind=kind,
        **fields,
    )


def pop_kinds(queue, now=0.0):
    """Pops all entries at once and returns their kinds."""
    kinds = []
    while len(queue):
        entry, _ = queue.pop(now, lambda entry: 0.1)
        kinds.append(entry.kind)
    return kinds


def test_urgent_and_short_objectives_go_first():
    """A nested call behind calls with longer objectives would time out."""
    queue = objectives.ObjectiveQueue()
    queue.push(make_entry('p', 1, 0.403))
    queue.push(make_entry('r', 2, 0.2))
    queue.push(make_entry('nested', 1, 0.25))
    queue.push(make_entry('w', 0, 0.9))
    assert pop_kinds(queue) == ['w', 'nested', 'p', 'r']


def test_late_calls_wait_behind_those_in_time():
    """Slots spent on late answers would make further answers late."""
    queue = objectives.ObjectiveQueue()
    queue.push(make_entry('w', 0, 0.3))
    queue.push(make_entry('r', 2, 5.0, 6.0))
    assert pop_kinds(queue, now=0.5) == ['r', 'w']


def test_late_call_is_served_while_its_deadline_allows():
    """A late answer is worth more than none; one after the deadline isn't."""
    queue = objectives.ObjectiveQueue()
    served, dropped = make_entry(deadline=1.0), make_entry(deadline=0.55)
    queue.push(dropped)
    queue.push(served)
    entry, drops = queue.pop(0.5, lambda entry: 0.1)
    assert entry is served
    assert drops == [(dropped, queues.DropReason.DEADLINE)]
    assert not queue.pop(0.5, lambda entry: 0.1)[0]


@pytest.mark.parametrize('dropped', [0, 10])
def test_less_urgent_kind_is_not_served_more_often(dropped):
    """Calls with long objectives must not be served instead of urgent ones."""
    queue = objectives.ObjectiveQueue()
    for _ in range(dropped):
        queue.push(make_entry('w', 0, 0.1, 0.2))
    queue.push(make_entry('r', 2, 9.0, 9.0))
    assert pop_kinds(queue, now=0.3) == ['r']
    queue.push(make_entry('w', 0, 0.1, 4.0))
    queue.push(make_entry('r', 2, 9.0, 9.0))
    first, last = ('w', 'r') if dropped else ('r', 'w')
    assert pop_kinds(queue, now=0.3) == [first, last]


def test_floor_is_a_share_of_the_time():
    """Counted in starts, many nested calls would give long ones the server."""
    queue = objectives.ObjectiveQueue()
    for _ in range(60):
        queue.push(make_entry('nested', 0, 2.0, service_s=0.1))
    queue.push(make_entry('r', 2, 3.0, service_s=0.4))
    assert pop_kinds(queue).index('r') == 4 * (objectives.FLOOR_ROUND - 1)


def test_floor_is_not_at_the_cost_of_a_kind_that_fares_worse():
    """A floor for long calls would take the slots of urgent short ones."""
    queue = objectives.ObjectiveQueue()
    for _ in range(30):
        queue.push(make_entry('w', 0, 2.0))
    queue.push(make_entry('r', 2, 3.0))
    assert pop_kinds(queue)[objectives.FLOOR_ROUND - 1] == 'r'
    for _ in range(10):
        queue.push(make_entry('w', 0, 0.1, 0.2))
    for _ in range(30):
        queue.push(make_entry('w', 0, 2.0))
    queue.push(make_entry('r', 2, 3.0))
    assert 'r' not in pop_kinds(queue, now=0.3)[:20]


def test_share_of_a_kind_without_calls_is_forgotten():
    """A kind that fared badly once must not block the floor of others."""
    queue = objectives.ObjectiveQueue()
    for _ in range(10):
        queue.push(make_entry('w', 0, 0.1, 0.2))
    queue.push(make_entry('r', 2, 9.0, 9.0))
    assert pop_kinds(queue, now=0.3) == ['r']
    for _ in range(100):
        queue.push(make_entry('p', 1, 9.0, 9.0))
    queue.push(make_entry('r', 2, 9.0, 9.0))
    assert 'r' in pop_kinds(queue, now=0.3)[:70]


def test_call_without_an_objective_is_ordered_by_its_deadline():
    """Otherwise such calls would always or never be served first."""
    queue = objectives.ObjectiveQueue()
    queue.push(make_entry('open', 0, math.inf, 2.0))
    queue.push(make_entry('soon', 0, 1.0, 4.0))
    queue.push(make_entry('later', 0, 3.0, 4.0))
    assert pop_kinds(queue) == ['soon', 'open', 'later']


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 3), st.floats(0.2, 3.0)),
        min_size=1,
        max_size=100,
    )
)
def test_each_waiting_kind_has_its_floor(calls):
    """A flood of urgent calls must not starve a kind."""
    queue = objectives.ObjectiveQueue()
    for number, objective in calls:
        queue.push(make_entry(f'k{number}', number, objective, 9.0))
    passed_over = collections.Counter()
    waiting = collections.Counter(f'k{number}' for number, _ in calls)
    for kind in pop_kinds(queue):
        waiting[kind] -= 1
        passed_over[kind] = 0
        for other in +waiting:
            passed_over[other] += other != kind
            # Kinds that are due at the same start follow each other.
            assert passed_over[other] < objectives.FLOOR_ROUND + 3


def test_withdrawn_call_is_dropped():
    """A key withdrawn while a call waits must stop the call."""
    queue = objectives.ObjectiveQueue()
    entry = make_entry(still_valid=lambda now: False)
    queue.push(entry)
    assert queue.pop(0.0, lambda entry: 0.1) == (
        None,
        [(entry, queues.DropReason.NO_LONGER_VALID)],
    )
    assert len(queue) == queue.count('') == 0


def test_full_queue_displaces_the_entry_served_last():
    """A backlog of calls of little value must not refuse urgent ones."""
    queue = objectives.ObjectiveQueue(queues.Bounds(2, 3))
    last = make_entry('r', 2, 3.0)
    for entry in (make_entry('w', 0), last, make_entry('r', 2, 2.0)):
        assert queue.push(entry) is None
    assert queue.push(make_entry('p', 1)) is last
    with pytest.raises(errors.QueueFullError):
        queue.push(make_entry('r', 2, 3.0))
    queue.push(make_entry('w', 0))
    with pytest.raises(errors.QueueFullError):
        queue.push(make_entry('w', 0, 2.0))
    assert pop_kinds(queue) == ['w', 'w', 'p']


def test_work_ahead_counts_what_goes_first():
    """Counting calls that go later would refuse calls that have time."""
    queue = objectives.ObjectiveQueue()
    for entry in (
        make_entry('w', 0, 0.1, service_s=0.2),
        make_entry('w', 0, 0.8, service_s=0.2),
        make_entry('p', 1, 0.6),
        make_entry('p', 1, 2.0),
        make_entry('r', 2, 0.9),
    ):
        queue.push(entry)
    new = make_entry('h', 1, 1.0)
    ahead, late_ahead = (
        queue.measure_ahead(new, 0.0),
        queue.measure_late_ahead(new),
    )
    assert (ahead.entries, ahead.work_s) == (2, pytest.approx(0.3))
    # The call's own service time counts: it only starts among the late.
    assert (late_ahead.entries, late_ahead.work_s) == (5, pytest.approx(0.8))
    assert queue.count_ahead('', 1) == 4


def test_late_call_waits_for_what_calls_in_time_leave():
    """Held behind calls in time that keep coming, it would wait in vain."""
    queue = objectives.ObjectiveQueue()
    late = make_entry('w', 0, 0.0, 4.0)
    idle_s = queue.measure_late_ahead(late).work_s
    for _ in range(2):
        queue.push(make_entry('p', 1, 3.0))
    for _ in range(40):
        queue.push(make_entry('p', 1, 3.0))
        queue.pop(0.0, lambda entry: 0.1)
    busy_s = queue.measure_late_ahead(late).work_s
    assert busy_s > 2.0 > idle_s
    # After a burst, late calls wait again rather than being refused.
    pop_kinds(queue)
    for _ in range(20):
        queue.push(make_entry('p', 1, 3.0))
        queue.pop(0.0, lambda entry: 0.1)
    assert queue.measure_late_ahead(late).work_s < 2 * idle_s


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(['push', 'pop', 'remove', 'reserved']),
            st.integers(0, 3),
            st.floats(0.0, 2.0),
        ),
        max_size=120,
    )
)
def test_no_entry_is_lost_or_served_twice(steps):
    """A lost entry would keep its caller waiting until the deadline."""
    queue = objectives.ObjectiveQueue(queues.Bounds(8, 20))
    waiting, now = [], 0.0
    for operation, number, span in steps:
        if operation == 'push':
            entry = make_entry(
                f'k{number}',
                number,
                now + span,
                now + 2 * span,
                is_short=number == 1,
            )
            try:
                displaced = queue.push(entry)
            except errors.QueueFullError:
                continue
            waiting.append(entry)
            if displaced:
                waiting.remove(displaced)
        elif operation == 'remove' and waiting:
            entry = waiting.pop(number % len(waiting))
            assert queue.remove(entry) and not queue.remove(entry)
        elif operation in ('pop', 'reserved'):
            now += span / 10
            entry, dropped = queue.pop(
                now, lambda entry: 0.1, operation == 'reserved'
            )
            for gone in [item for item, _ in dropped] + [entry] * bool(entry):
                waiting.remove(gone)
            assert entry or not waiting
        assert len(queue) == len(waiting) == queue.count('')
    assert {id(entry) for entry in queue.clear()} == {
        id(entry) for entry in waiting
    }
    assert len(queue) == 0
