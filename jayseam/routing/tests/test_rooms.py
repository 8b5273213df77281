"""Tests of what is known of full queues."""

import pytest

from jayseam.routing import rooms


@pytest.mark.parametrize(
    'need, is_full',
    [
        (rooms.Need('w', 1, 0.5), True),
        (rooms.Need('w', 2, 0.5), True),
        (rooms.Need('w', 1, 0.51), True),
        (rooms.Need('w', 1, 0.53), False),
        (rooms.Need('w', 0, 0.5), False),
        (rooms.Need('v', 1, 0.5), False),
    ],
)
def test_only_calls_that_need_no_less_are_passed_on(need, is_full):
    """More time, more urgency or another line of the queue may find room."""
    table = rooms.RoomTable()
    table.mark('a', rooms.Need('w', 1, 0.5), 1.0, 10.0)
    assert table.list_full(need, 10.01) == ({'a'} if is_full else set())


def test_narrower_refusal_keeps_the_wider_mark():
    """A refusal of a call with little time says nothing of the others."""
    table = rooms.RoomTable()
    table.mark('a', rooms.Need('w', 1, 0.5), 1.0, 10.0)
    table.mark('a', rooms.Need('w', 2, 0.1), 1.0, 10.05)
    assert table.list_full(rooms.Need('w', 1, 0.5), 10.12) == {'a'}


def test_mark_ends_when_room_is_expected():
    """The node says when it expects room; later calls look anew."""
    table = rooms.RoomTable()
    need = rooms.Need('w', 1, 0.5)
    table.mark('a', need, 0.05, 10.0)
    assert table.list_full(need, 10.04)
    assert not table.list_full(need, 10.05)


def test_marks_of_many_workspaces_are_bounded():
    """Marks that ended are forgotten when there are many."""
    table = rooms.RoomTable()
    for number in range(1000):
        need = rooms.Need(f'w-{number}', 1, 0.5)
        table.mark('a', need, 1.0, 10.0 + number)
    assert len(table) < 300
