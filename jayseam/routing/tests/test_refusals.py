"""Tests of the table of refusals by full queues."""

import pytest

from jayseam.routing import refusals


@pytest.mark.parametrize(
    'needs, is_full',
    [
        (refusals.CallNeeds('w', 1, 0.5), True),
        (refusals.CallNeeds('w', 2, 0.5), True),
        (refusals.CallNeeds('w', 1, 0.51), True),
        (refusals.CallNeeds('w', 1, 0.53), False),
        (refusals.CallNeeds('w', 0, 0.5), False),
        (refusals.CallNeeds('v', 1, 0.5), False),
    ],
)
def test_refusal_covers_only_calls_that_need_no_less(needs, is_full):
    """More time, more urgency or another workspace's backlog may find room."""
    table = refusals.RefusalTable()
    table.add_refusal('a', refusals.CallNeeds('w', 1, 0.5), 1.0, 10.0)
    assert table.list_full_vms(needs, 10.01) == ({'a'} if is_full else set())


def test_narrower_refusal_keeps_the_wider_one():
    """A refusal of a call with little time must not replace a wider one."""
    table = refusals.RefusalTable()
    table.add_refusal('a', refusals.CallNeeds('w', 1, 0.5), 1.0, 10.0)
    table.add_refusal('a', refusals.CallNeeds('w', 2, 0.1), 1.0, 10.05)
    assert table.list_full_vms(refusals.CallNeeds('w', 1, 0.5), 10.12) == {'a'}


def test_refusal_expires_when_room_is_expected():
    """When the refusing VM expects room, later calls must try it again."""
    table = refusals.RefusalTable()
    needs = refusals.CallNeeds('w', 1, 0.5)
    table.add_refusal('a', needs, 0.05, 10.0)
    assert table.list_full_vms(needs, 10.04)
    assert not table.list_full_vms(needs, 10.05)


def test_refusals_of_many_workspaces_are_bounded():
    """Expired refusals are removed when there are many."""
    table = refusals.RefusalTable()
    for number in range(1000):
        needs = refusals.CallNeeds(f'w-{number}', 1, 0.5)
        table.add_refusal('a', needs, 1.0, 10.0 + number)
    assert len(table) < 300
