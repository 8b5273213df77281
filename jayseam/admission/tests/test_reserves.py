"""Tests of the starts that are reserved for short calls."""

import pytest

from jayseam.admission import objectives
from jayseam.admission import queues
from jayseam.admission import reserves


@pytest.mark.parametrize('limit', [1, 3, 6])
def test_short_calls_get_the_time_of_one_slot(limit):
    """More would let nested calls starve the requests that make them."""
    reserve, short_s, others_s = reserves.Reserve(), 0.0, 0.0
    for _ in range(10_000):
        is_short = reserve.is_due()
        service_s = 0.022 if is_short else 0.15
        short_s += is_short * service_s
        others_s += (not is_short) * service_s
        reserve = reserve.record_start(service_s, is_short, limit, 0.15)
    share = short_s / (short_s + others_s)
    assert share == pytest.approx(1 / max(2, limit), rel=0.05)


def test_unused_reserve_does_not_add_up():
    """After hours without nested calls, a flood must not take all slots."""
    reserve = reserves.Reserve()
    for _ in range(1000):
        reserve = reserve.record_start(0.15, False, 6, 0.15)
    starts = 0
    while reserve.is_due():
        reserve = reserve.record_start(0.022, True, 6, 0.15)
        starts += 1
    # The time of one long call.
    assert starts * 0.022 <= 0.15 * 6 / 5 + 0.022


def test_many_nested_calls_still_count_as_short():
    """The plain mean of many nested calls would make each appear long."""
    occupancy = reserves.Occupancy()
    for number in range(400):
        service_s = 0.022 if number % 5 < 3 else 0.17
        occupancy = occupancy.add_sample(service_s)
    assert not reserves.is_short(0.232, occupancy.first_s)
    assert reserves.is_short(0.232, occupancy.mean_s)


def test_long_call_with_little_time_left_is_not_short():
    """Retried long calls would take the starts reserved for nested ones."""
    timeouts = reserves.Timeouts()
    for _ in range(20):
        timeouts.record('h', 2.0)
        for retry_s in (0.9, 0.3):
            assert not reserves.is_short(timeouts.record('h', retry_s), 0.2)
        assert reserves.is_short(timeouts.record('nested', 0.25), 0.2)


def test_reserved_start_goes_to_a_short_call():
    """Behind more urgent long calls, a nested call would time out."""
    queue = objectives.ObjectiveQueue()
    for kind, rank, is_short in (('w', 0, False), ('nested', 1, True)):
        queue.push(
            queues.Entry(
                '',
                1.0,
                9.0,
                lambda now: True,
                rank=rank,
                objective=1.0,
                kind=kind,
                is_short=is_short,
            )
        )
    entry, _ = queue.pop(0.0, lambda entry: 0.0, reserved=True)
    assert (entry.kind, entry.tier) == ('nested', 'reserved')
    entry, _ = queue.pop(0.0, lambda entry: 0.0, reserved=True)
    assert (entry.kind, entry.tier) == ('w', 'in_time')
