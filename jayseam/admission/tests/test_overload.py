"""Replays load beyond the capacity of a backend server through a gate.

Time is virtual, in milliseconds, so that no wait in the gate ends by the real
clock.
"""

import heapq
import itertools
import math
import random

import attrs
import gevent
import pytest

from jayseam.admission import errors
from jayseam.admission import gates
from jayseam.admission import tickets
from jayseam.admission import waits

_SLOTS = 12
_MEAN_MS = 200.0
_OBJECTIVE_MS = 500.0
_TIMEOUT_MS = 1200.0
_DURATION_MS = 20_000.0
# Value of an answer after the objective to the operators; 1 for one in time.
_LATE_VALUE = 0.3


@attrs.define
class _Caller:
    """A caller that retries once after a refusal."""

    started_at: float
    run_ms: float
    rank: int = 1
    has_retried: bool = False
    ended_at: float = math.inf


class _Replay:
    """Sends arrivals to a gate and runs what it admits."""

    def __init__(self, with_objective):
        self._with_objective = with_objective
        self._events = []
        self._numbers = itertools.count()
        self.now = 0.0
        self.gate = gates.Gate(
            _SLOTS, 1000, queue='ranked', read_now=lambda: self.now
        )

    def run(self, arrivals):
        """Runs all callers until each has an answer or has given up."""
        for caller in arrivals:
            self._schedule(caller.started_at, self._arrive, caller)
        while self._events:
            self.now, _, action, subject = heapq.heappop(self._events)
            action(subject)
            for _ in range(3):
                gevent.sleep(0)

    def _schedule(self, time, action, subject):
        event = (time, next(self._numbers), action, subject)
        heapq.heappush(self._events, event)

    def _arrive(self, caller):
        gevent.spawn(self._acquire, caller, self.now)

    def _acquire(self, caller, now):
        deadline = caller.started_at + _TIMEOUT_MS
        objective = caller.started_at + _OBJECTIVE_MS
        ticket = tickets.Ticket(
            f'w-{caller.rank}',
            1.0,
            deadline,
            'r',
            lambda _: True,
            rank=caller.rank,
            objective=objective if self._with_objective else math.inf,
        )
        try:
            permit = self.gate.acquire(ticket, now)
        except errors.AdmissionError as error:
            if not caller.has_retried:
                caller.has_retried = True
                left_ms = max(0.0, deadline - self.now)
                wait_ms = min(error.retry_after_s or 0.0, left_ms / 3)
                self._schedule(self.now + wait_ms, self._arrive, caller)
            return
        self._schedule(self.now + caller.run_ms, self._end, (caller, permit))

    def _end(self, subject):
        caller, permit = subject
        caller.ended_at = self.now
        permit.release(tickets.Result.SUCCESS, self.now)


def _draw_callers(factor, seed, start_ms=0.0, end_ms=_DURATION_MS):
    """Returns callers at a multiple of the capacity, 0.7 outside a burst."""
    rng = random.Random(seed)
    callers, now = [], 0.0
    while now < _DURATION_MS:
        load = factor if start_ms <= now < end_ms else 0.7
        now += rng.expovariate(_SLOTS / _MEAN_MS * load)
        run_ms = _MEAN_MS * rng.lognormvariate(-0.12, 0.5)
        callers.append(_Caller(now, run_ms))
    return callers


def _measure_value(factor, with_objective, seed, **burst):
    """Draws and replays callers; returns the value of their answers."""
    callers = _draw_callers(factor, seed, **burst)
    _Replay(with_objective).run(callers)
    return _compute_value(callers)


def _compute_value(callers):
    """Returns the mean value of an answer, between 0 and 1."""
    latencies_ms = [caller.ended_at - caller.started_at for caller in callers]
    in_time = sum(latency <= _OBJECTIVE_MS for latency in latencies_ms)
    late = sum(
        _OBJECTIVE_MS < latency <= _TIMEOUT_MS for latency in latencies_ms
    )
    return (in_time + _LATE_VALUE * late) / len(callers)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('factor', [1.1, 1.3, 1.7])
def test_lasting_overload_leaves_the_capacity_to_answers_in_time(factor, seed):
    """Queueing up to the deadline makes every answer late."""
    value_without = _measure_value(factor, False, seed)
    value = _measure_value(factor, True, seed)
    # Three quarters of the backend server's capacity.
    assert value >= 0.75 / factor
    assert value >= 1.5 * value_without


@pytest.mark.parametrize('seed', [1, 2])
def test_urgent_calls_that_keep_coming_make_no_answer_late(seed):
    """Calls of a lower rank are refused rather than answered late.

    Short urgent calls need three quarters of the slots, the other calls twice
    the rest.
    """
    rng = random.Random(seed)
    urgent, others = [], []
    for calls, run_ms, load, rank in (
        (urgent, 40.0, 0.75, 0),
        (others, _MEAN_MS, 0.5, 1),
    ):
        now = 0.0
        while now < _DURATION_MS:
            now += rng.expovariate(_SLOTS / run_ms * load)
            run_drawn_ms = run_ms * rng.lognormvariate(-0.12, 0.5)
            calls.append(_Caller(now, run_drawn_ms, rank))
    _Replay(True).run(sorted(urgent + others, key=lambda c: c.started_at))
    assert _compute_value(urgent) >= 0.95
    urgent_ms, others_ms = [
        sum(caller.run_ms for caller in calls) for calls in (urgent, others)
    ]
    # Two thirds of the other calls that fit must be answered in time.
    fitting = (_SLOTS * _DURATION_MS - urgent_ms) / others_ms
    assert _compute_value(others) >= fitting * 2 / 3


@pytest.mark.parametrize('seed', [1, 2])
def test_short_burst_is_no_worse_served(seed):
    """The bound must not refuse a burst that the queue can absorb."""
    burst = {'start_ms': 5000.0, 'end_ms': 8000.0}
    value_without = _measure_value(2.0, False, seed, **burst)
    assert _measure_value(2.0, True, seed, **burst) >= value_without


@pytest.mark.parametrize('seed', [1, 2])
def test_load_under_the_capacity_is_served_as_before(seed):
    """The bound must not refuse calls that would be answered in time."""
    assert (
        _measure_value(0.8, True, seed)
        >= _measure_value(0.8, False, seed) - 0.01
    )


def test_refusal_says_when_there_is_room():
    """A caller that returns at once would be refused again."""
    replay = _Replay(True)
    callers = [_Caller(0.0, _MEAN_MS) for _ in range(_SLOTS)]
    replay.run(callers)
    replay.now = now = 1000.0
    permits = []
    for number in range(_SLOTS * 4):
        ticket = tickets.Ticket(
            'w', 1.0, now + 9e3, f'r-{number}', lambda _: True, 0, now + 500.0
        )
        gevent.spawn(
            lambda ticket=ticket: permits.append(
                replay.gate.acquire(ticket, now)
            )
        )
    gevent.sleep(0)
    refused = tickets.Ticket(
        'w', 1.0, now + 9e3, 'r', lambda _: True, 0, now + 500.0
    )
    with gevent.Timeout(5.0), pytest.raises(errors.ObjectiveError) as caught:
        replay.gate.acquire(refused, now)
    assert caught.value.retry_after_s >= waits.MIN_RETRY_AFTER_S
    replay.gate.close()
