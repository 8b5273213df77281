"""Tests of the queues."""

import collections

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.admission import errors
from jayseam.admission import queues

WEIGHTS = {'a': 1.0, 'b': 1.0, 'c': 3.0, 'd': 0.5}
MAX_COST = 4.0


def make_entry(workspace='a', cost=1.0, deadline=1e9, valid=lambda now: True):
    """Returns an entry without a deadline by default."""
    return queues.Entry(workspace, cost, deadline, valid)


def pop_next(queue, now=0.0):
    """Pops the next entry, with an expected service time of 1 s."""
    return queue.pop(now, lambda entry: 1.0)


class Backlog:
    """Service of all workspaces since one workspace has had a backlog."""

    def __init__(self, served_before):
        self.served_before = served_before
        self.served = collections.Counter()


STEPS = st.lists(
    st.one_of(
        st.none(),
        st.tuples(st.sampled_from(sorted(WEIGHTS)), st.floats(0.1, MAX_COST)),
    ),
    max_size=120,
)


@hypothesis.given(STEPS)
def test_backlogged_workspace_gets_its_share(steps):
    """A large workspace must not starve the others, nor the reverse."""
    queue = queues.FairQueue()
    queue.set_weights(WEIGHTS)
    backlogs, ever_served = {}, set()
    for step in steps:
        if step is not None:
            workspace, cost = step
            queue.push(make_entry(workspace, cost))
            if workspace not in backlogs:
                backlogs[workspace] = Backlog(workspace in ever_served)
            continue
        entry, _ = pop_next(queue)
        if entry is None:
            assert not backlogs
            continue
        ever_served.add(entry.workspace)
        for workspace, backlog in backlogs.items():
            backlog.served[entry.workspace] += entry.cost
            own = backlog.served[workspace] / WEIGHTS[workspace]
            own += backlog.served_before * MAX_COST / WEIGHTS[workspace]
            for other, served in backlog.served.items():
                allowance = MAX_COST / WEIGHTS[other]
                assert own >= served / WEIGHTS[other] - allowance - 1e-6
        if not queue.count(entry.workspace):
            del backlogs[entry.workspace]


@hypothesis.given(st.lists(st.floats(0.1, MAX_COST), min_size=8, max_size=60))
def test_fair_share_is_missed_by_one_cost_at_most(costs):
    """Equal workspaces with a backlog share the service equally."""
    queue = queues.FairQueue()
    for index, cost in enumerate(costs):
        queue.push(make_entry('abcd'[index % 4], cost))
    served = collections.Counter()
    while all(queue.count(workspace) for workspace in 'abcd'):
        entry, _ = pop_next(queue)
        served[entry.workspace] += entry.cost
        share = sum(served.values()) / 4
        assert all(served[w] >= share - MAX_COST - 1e-6 for w in 'abcd')


def test_idle_workspace_saves_up_nothing():
    """A workspace that resumes after a pause must not starve the others."""
    queue = queues.FairQueue()
    for _ in range(50):
        queue.push(make_entry('a'))
    for _ in range(20):
        pop_next(queue)
    for _ in range(50):
        queue.push(make_entry('b'))
    served = [pop_next(queue)[0].workspace for _ in range(20)]
    assert 9 <= served.count('a') <= 11


def test_sending_one_at_a_time_gains_nothing():
    """Emptying its queue each time must not get a workspace served earlier."""
    queue = queues.FairQueue()
    served = []
    for _ in range(40):
        for workspace in 'bcd':
            queue.push(make_entry(workspace))
        if not queue.count('a'):
            queue.push(make_entry('a', cost=2.0))
        served.append(pop_next(queue)[0].workspace)
    assert served.count('a') <= 40 / 4 / 2 + 2


@pytest.mark.parametrize('kind', ['fair', 'fifo'])
@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(['push', 'pop', 'remove']),
            st.sampled_from('abc'),
            st.integers(0, 20),
        ),
        max_size=80,
    )
)
def test_lengths_are_bounded_and_no_entry_is_lost(kind, steps):
    """A queue that loses an entry would leave its caller waiting."""
    bounds = queues.Bounds(per_workspace=4, total=6)
    queue = queues.VARIANTS.get(kind)(bounds)
    waiting = []
    for step, workspace, number in steps:
        if step == 'push':
            entry = make_entry(workspace, deadline=float(number))
            try:
                displaced = queue.push(entry)
            except errors.QueueFullError:
                continue
            waiting.append(entry)
            if displaced is not None:
                waiting.remove(displaced)
        elif step == 'pop':
            entry, dropped = pop_next(queue, now=float(number))
            for expired, reason in dropped:
                assert reason is queues.DropReason.DEADLINE
                assert expired.deadline < number + 1.0
                waiting.remove(expired)
            if entry is not None:
                assert entry.deadline >= number + 1.0
                waiting.remove(entry)
        elif waiting:
            entry = waiting.pop(number % len(waiting))
            assert queue.remove(entry)
            assert not queue.remove(entry)
        assert len(queue) == len(waiting) <= bounds.total
        if kind == 'fair':
            assert all(queue.count(w) <= 4 for w in 'abc')
    assert set(map(id, queue.clear())) == set(map(id, waiting))
    assert len(queue) == 0 and pop_next(queue) == (None, [])


def test_withdrawn_call_is_dropped_when_it_would_leave():
    """A key withdrawn while a call waits must stop the call."""
    withdrawn = []
    queue = queues.FairQueue()
    first = make_entry('a', valid=lambda now: not withdrawn)
    second = make_entry('b')
    queue.push(first)
    queue.push(second)
    withdrawn.append('a')
    entry, dropped = pop_next(queue)
    assert entry is second
    assert dropped == [(first, queues.DropReason.NO_LONGER_VALID)]


def test_dropped_entries_cost_their_workspace_nothing():
    """A workspace must not be charged for calls that expired unserved."""
    queue = queues.FairQueue()
    for _ in range(5):
        queue.push(make_entry('a', cost=4.0, deadline=1.0))
    queue.push(make_entry('a'))
    queue.push(make_entry('b'))
    assert pop_next(queue, now=5.0)[0].workspace == 'a'


def test_full_queue_displaces_the_longest_backlog():
    """Without this a few large workspaces would refuse all others."""
    queue = queues.FairQueue(queues.Bounds(per_workspace=4, total=4))
    entries = [make_entry('large') for _ in range(4)]
    for entry in entries:
        queue.push(entry)
    assert queue.push(make_entry('small')) is entries[-1]
    with pytest.raises(errors.QueueFullError):
        queue.push(make_entry('large'))
    assert len(queue) == 4


def test_fifo_keeps_the_order_of_arrival():
    """The baseline must not be fair by accident."""
    queue = queues.FifoQueue()
    for workspace in 'aab':
        queue.push(make_entry(workspace))
    assert [pop_next(queue)[0].workspace for _ in range(3)] == ['a', 'a', 'b']
