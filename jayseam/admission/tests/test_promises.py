"""Tests of the times promised to refused callers."""

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.admission import promises

BOOKINGS = st.lists(
    st.tuples(st.integers(0, 9), st.floats(0.0, 0.3), st.floats(0.1, 3.0)),
    max_size=60,
)


@hypothesis.given(BOOKINGS)
def test_no_start_is_promised_twice_to_a_rank(steps):
    """Callers that return together would be refused together again."""
    bookings, now, booked = promises.Bookings(), 0.0, {}
    for rank, span_s, ahead_s in steps:
        now += span_s
        bookings, at = bookings.book(now, 0.1, rank, now + ahead_s)
        if at is None:
            continue
        assert now <= at <= now + ahead_s
        rank = min(rank, promises.MAX_RANK)
        for other in booked.get(rank, ()):
            assert abs(other - at) > 0.1 - 1e-6
        booked.setdefault(rank, []).append(at)


def test_callers_of_a_burst_return_at_the_service_rate():
    """Room for ten calls a second must not be promised to a hundred."""
    bookings, times = promises.Bookings(), []
    for _ in range(100):
        bookings, at = bookings.book(1.0, 0.1, 1, 4.0)
        times.append(at)
    promised = [at for at in times if at is not None]
    assert len(promised) == pytest.approx(30, abs=1)
    assert promised == sorted(promised)
    # A more urgent caller isn't told to wait behind them.
    assert bookings.book(1.0, 0.1, 0, 4.0)[1] == 1.0


def test_bookings_before_a_pause_have_no_effect():
    """A paused process must not promise room behind callers long gone."""
    bookings = promises.Bookings()
    for _ in range(20):
        bookings, _ = bookings.book(1.0, 0.1, 1, 9.0)
    assert bookings.book(8.0, 0.1, 1, 9.0)[1] == 8.0
