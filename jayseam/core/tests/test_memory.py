"""Tests of the budget of bytes of messages in progress."""

import hypothesis
from hypothesis import strategies

from jayseam.core import memory

SIZE_BYTES = 1000


def build_holding(use, ended):
    """Returns a holding that appends itself to ``ended`` when it is ended."""
    holding = memory.Holding(use, lambda: ended.append(holding))
    return holding


def test_greatest_answer_in_progress_ends_first():
    """A whole answer must not end in favour of a stream without end."""
    ended = []
    budget = memory.ByteBudget(SIZE_BYTES)
    sound = build_holding(memory.READING, ended)
    endless = build_holding(memory.READING, ended)
    assert budget.extend(sound, 200)
    for _ in range(8):
        assert budget.extend(endless, 100)
    assert budget.extend(sound, 100)
    assert ended == [endless]
    assert budget.held_bytes == sound.n_bytes == 300


def test_greatest_answer_is_refused_more():
    """An endless answer must not end the smaller answers beside it."""
    ended = []
    budget = memory.ByteBudget(SIZE_BYTES)
    for _ in range(5):
        assert budget.extend(build_holding(memory.READING, ended), 100)
    endless = build_holding(memory.READING, ended)
    assert budget.extend(endless, 500)
    assert not budget.extend(endless, 100)
    assert not ended


def test_answer_that_is_not_read_ends_first():
    """Callers that don't read must not take the memory of other calls."""
    ended = []
    budget = memory.ByteBudget(SIZE_BYTES)
    oldest = build_holding(memory.WRITING, ended)
    other = build_holding(memory.WRITING, ended)
    reading = build_holding(memory.READING, ended)
    for holding in (oldest, other, reading):
        assert budget.extend(holding, 300)
    assert budget.extend(reading, 300)
    assert ended == [oldest]
    assert budget.extend(build_holding(memory.WRITING, ended), 300)
    assert ended == [oldest, other]


def test_answer_greater_than_the_budget_is_refused():
    """An answer that never fits must not end all the others for nothing."""
    ended = []
    budget = memory.ByteBudget(SIZE_BYTES)
    assert budget.extend(build_holding(memory.WRITING, ended), 100)
    writing = build_holding(memory.WRITING, ended)
    assert not budget.extend(writing, SIZE_BYTES + 1)
    assert budget.held_bytes == 100 and not ended


def test_bodies_of_requests_leave_room_for_answers():
    """Callers that send slowly must not end the answers to others."""
    budget = memory.ByteBudget(SIZE_BYTES)
    assert budget.take_request(500)
    assert not budget.take_request(1)
    assert budget.extend(build_holding(memory.READING, []), 500)
    budget.return_request(500)
    assert budget.held_bytes == 500


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ['extend', 'release', 'take', 'return', 'write']
            ),
            strategies.integers(0, 7),
            strategies.integers(0, 400),
        ),
        max_size=60,
    )
)
def test_budget_is_never_exceeded(steps):
    """A sum that is wrong once would let the process grow, or refuse all."""
    budget = memory.ByteBudget(SIZE_BYTES)
    holdings = [build_holding(memory.READING, []) for _ in range(4)]
    holdings += [build_holding(memory.WRITING, []) for _ in range(4)]
    taken = []
    for step, index, size in steps:
        if step in ('extend', 'write'):
            budget.extend(holdings[index], size)
        elif step == 'release':
            budget.release(holdings[index])
        elif step == 'take' and budget.take_request(size):
            taken.append(size)
        elif step == 'return' and taken:
            budget.return_request(taken.pop())
        held = sum(holding.n_bytes for holding in holdings) + sum(taken)
        assert budget.held_bytes == held <= SIZE_BYTES


def test_greatest_head_ends_for_a_smaller_one():
    """Callers that never finish a head must not have small ones refused."""
    budget, ended = memory.ByteBudget(8000), []
    great = memory.Holding(memory.HEAD, lambda: ended.append('great'))
    small = memory.Holding(memory.HEAD, lambda: ended.append('small'))
    assert budget.extend(great, 600)
    assert budget.extend(small, 300)
    assert not budget.extend(great, 200)
    assert not ended
    assert budget.extend(small, 200)
    assert ended == ['great'] and budget.held_bytes == 500
    budget.release(small)
    budget.release(great)
    assert budget.held_bytes == 0


def test_heads_leave_the_share_of_bodies():
    """Heads in progress must not have the bodies of requests refused."""
    budget = memory.ByteBudget(8000)
    head = memory.Holding(memory.HEAD, lambda: None)
    assert budget.extend(head, 1000)
    assert not budget.extend(head, 1)
    assert budget.take_request(4000)
    answer = memory.Holding(memory.READING, lambda: None)
    assert budget.extend(answer, 3000)
