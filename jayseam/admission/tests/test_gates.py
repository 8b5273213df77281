"""Tests of the gate, the ramp and the adaptive limit."""

import types

import gevent
import hypothesis
import prometheus_client
import pytest
from hypothesis import strategies as st

from jayseam.admission import concurrency
from jayseam.admission import errors
from jayseam.admission import gates
from jayseam.admission import pacereports
from jayseam.admission import queues
from jayseam.admission import ramps
from jayseam.admission import tickets
from jayseam.core import clocks

RAMP = types.SimpleNamespace(initial_slots=2, duration_s=10.0)


def make_ticket(workspace='a', deadline=1e9, valid=lambda now: True):
    """Returns a ticket without a deadline by default."""
    return tickets.Ticket(workspace, 1.0, deadline, 'r-1', valid)


def run_ready_greenlets():
    """Lets every greenlet run that is ready."""
    for _ in range(3):
        gevent.sleep(0)


@hypothesis.given(
    initial=st.integers(1, 30),
    slots=st.integers(1, 30),
    duration_s=st.floats(0.01, 100.0),
    times=st.lists(st.floats(0.0, 120.0), min_size=1, max_size=20),
)
def test_ramp_grows_linearly_to_the_slots(initial, slots, duration_s, times):
    """A ramp that starts high or falls back would overload a cold server."""
    ramp = ramps.LinearRamp(initial, slots, duration_s).restart(1000.0)
    limits = [ramp.compute_limit(1000.0 + t) for t in sorted(times)]
    assert limits == sorted(limits)
    for elapsed_s, limit in zip(sorted(times), limits):
        line = initial + (slots - initial) * min(1.0, elapsed_s / duration_s)
        assert min(initial, slots) <= limit <= max(line, min(initial, slots))
        step_at = ramp.compute_next_step(1000.0 + elapsed_s)
        if limit < slots and step_at is not None:
            assert ramp.compute_limit(step_at + 1e-6 * duration_s) > limit
    assert ramp.compute_limit(1000.001 + duration_s) == slots
    assert ramp.restart(2000.0).compute_limit(2000.0) == min(initial, slots)


def test_shed_cuts_once_per_round_trip_and_success_restores():
    """A burst of sheds must not collapse the limit, nor keep it low."""
    limit = concurrency.AdaptiveLimit(ceiling=20, value=20.0, round_trip_s=0.1)
    for _ in range(15):
        limit = limit.record_shed(now=1.0)
    assert limit.value == pytest.approx(18.0)
    limit = limit.record_shed(now=1.1)
    assert limit.value == pytest.approx(16.2)
    assert limit.record_success(0.1, in_flight=3).value == limit.value
    for _ in range(100):
        limit = limit.record_success(0.1, limit.compute_limit())
    assert limit.value == 20.0
    for step in range(200):
        limit = limit.record_shed(now=10.0 + step)
    assert limit.compute_limit() == 1


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ['acquire', 'release', 'shed', 'start', 'wait', 'kill']
        ),
        st.integers(0, 50),
    ),
    max_size=60,
)


@hypothesis.settings(max_examples=150)
@hypothesis.given(operations=OPERATIONS, slots=st.integers(1, 6))
def test_in_flight_never_exceeds_a_limit(operations, slots):
    """More calls than any of the limits would overload the server."""
    now = [1000.0]
    started_at = None
    gate = gates.Gate(slots, 100, RAMP, read_now=lambda: now[0])
    permits, waiting = [], []

    def acquire():
        permits.append(gate.acquire(make_ticket(), now[0]))

    for operation, number in operations:
        before = len(permits)
        if operation == 'acquire':
            waiting.append(gevent.spawn(acquire))
        elif operation in ('release', 'shed') and permits:
            result = 'shed' if operation == 'shed' else 'success'
            permits.pop(number % len(permits)).release(result, now[0])
        elif operation == 'start':
            gate.restart_ramp(now[0])
            started_at = now[0]
        elif operation == 'wait':
            now[0] += number / 10
        elif operation == 'kill' and waiting:
            waiting.pop(number % len(waiting)).kill()
        run_ready_greenlets()
        waiting = [greenlet for greenlet in waiting if not greenlet.dead]
        report = gate.describe(now[0])
        assert report.in_flight == len(permits)
        assert report.queued == len(waiting)
        if len(permits) > before:
            ramp = slots
            if started_at is not None and now[0] < started_at + 10.0:
                first = min(2, slots)
                grown = (slots - first) * (now[0] - started_at) / 10.0
                ramp = first + int(grown)
            assert len(permits) <= min(slots, ramp, report.adaptive)
    now[0] += 20.0
    while permits:
        permits.pop().release('success', now[0])
        run_ready_greenlets()
    assert not gate.describe(now[0]).queued
    assert gate.wait_idle(0.0)


def test_permit_counts_once():
    """If a double release counted, the gate would exceed its limit."""
    gate = gates.Gate(1, 10)
    permit = gate.acquire(make_ticket(), 1.0)
    permit.release('success', 1.1)
    permit.release('success', 1.1)
    assert gate.describe(1.1).in_flight == 0
    with pytest.raises(ValueError):
        permit.release('unknown', 1.1)


def test_waiter_runs_when_the_ramp_grows():
    """A queued call must not wait for a release that may never come."""
    ramp = types.SimpleNamespace(initial_slots=1, duration_s=0.1)
    gate = gates.Gate(2, 10, ramp)
    gate.restart_ramp(clocks.read_now())
    gate.acquire(make_ticket(), clocks.read_now())
    waiter = gevent.spawn(gate.acquire, make_ticket(), clocks.read_now())
    waiter.join(0.05)
    assert not waiter.dead
    waiter.join(0.2)
    assert waiter.successful()


def test_waiting_call_is_refused_at_its_deadline():
    """A call must not run after its caller has given up."""
    gate = gates.Gate(1, 10)
    now = clocks.read_now()
    permit = gate.acquire(make_ticket(), now)
    with pytest.raises(errors.DeadlineError):
        gate.acquire(make_ticket(deadline=now + 0.02), now)
    assert gate.describe(now).queued == 0
    permit.release('success', now + 0.5)
    with pytest.raises(errors.DeadlineError):
        gate.acquire(make_ticket(deadline=now + 0.7), now + 0.5)
    # The estimate of 0.5 s must not refuse for ever once calls are faster.
    gate.acquire(make_ticket(deadline=now + 10.7), now + 10.5)


def test_withdrawn_call_is_refused_on_leaving_the_queue():
    """A key withdrawn while a call waits must stop the call."""
    withdrawn = []
    gate = gates.Gate(1, 10)
    permit = gate.acquire(make_ticket(), 1.0)
    ticket = make_ticket(valid=lambda now: not withdrawn)
    waiter = gevent.spawn(gate.acquire, ticket, 1.0)
    run_ready_greenlets()
    withdrawn.append(True)
    permit.release('success', 1.1)
    run_ready_greenlets()
    assert isinstance(waiter.exception, errors.NoLongerValidError)
    with pytest.raises(errors.NoLongerValidError):
        gate.acquire(ticket, 1.2)
    assert gate.wait_idle(0.0)


def test_drain_lets_queued_calls_finish_and_close_does_not():
    """A planned stop must not interrupt calls.

    A backend server that is leaving must get no new work.
    """
    gate = gates.Gate(1, 10)
    permit = gate.acquire(make_ticket(), 1.0)
    queued = gevent.spawn(gate.acquire, make_ticket(), 1.0)
    run_ready_greenlets()
    gate.drain()
    with pytest.raises(errors.ClosedError):
        gate.acquire(make_ticket(), 1.0)
    permit.release('success', 1.1)
    run_ready_greenlets()
    assert queued.successful() and not gate.wait_idle(0.0)
    gate.reopen(1.2)
    refused = gevent.spawn(gate.acquire, make_ticket(), 1.2)
    run_ready_greenlets()
    gate.close()
    run_ready_greenlets()
    assert isinstance(refused.exception, errors.ClosedError)
    queued.value.release('success', 1.3)
    assert gate.wait_idle(0.0)


def test_kill_between_grant_and_wake_returns_the_permit():
    """A permit granted to a killed greenlet would be lost for ever."""
    gate = gates.Gate(1, 10)
    permit = gate.acquire(make_ticket(), 1.0)
    waiter = gevent.spawn(gate.acquire, make_ticket(), 1.0)
    run_ready_greenlets()
    waiter.kill(block=False)
    permit.release('success', 1.1)
    assert gate.describe(1.1).in_flight == 1
    run_ready_greenlets()
    assert waiter.dead
    assert gate.describe(1.1).in_flight == 0


def test_capacity_follows_the_preset():
    """New slots must admit waiting calls, and fewer slots admit no more."""
    gate = gates.Gate(1, 10)
    calls = [gevent.spawn(gate.acquire, make_ticket(), 1.0) for _ in range(6)]
    run_ready_greenlets()
    assert gate.describe(1.0).load == 6.0
    gate.set_capacity(5, 4, RAMP)
    run_ready_greenlets()
    assert gate.describe(1.0).in_flight == 4
    gate.set_capacity(2, 10, RAMP)
    done = [call.value for call in calls if call.dead]
    done[0].release('success', 1.1)
    run_ready_greenlets()
    assert gate.describe(1.1).in_flight == 3
    gate.pause()
    for permit in done[1:]:
        permit.release('success', 1.1)
    run_ready_greenlets()
    assert gate.describe(1.1).in_flight == 0
    gate.resume(1.2)
    assert gate.describe(1.2).in_flight == 2
    gevent.killall(calls)


def test_cost_is_relative_to_the_average_call():
    """Slow calls cost more; a call of an unknown workspace costs 1."""
    gate = gates.Gate(1, 10)
    for at in range(100):
        for workspace, latency_s in (('fast', 0.01), ('slow', 0.1)):
            permit = gate.acquire(make_ticket(workspace), float(at))
            permit.release('success', at + latency_s)
    ratio = gate.estimate_cost('slow') / gate.estimate_cost('fast')
    assert ratio == pytest.approx(10.0, rel=0.1)
    assert gate.estimate_cost('new') == 1.0


def test_baselines_can_be_chosen():
    """Measurements compare against a gate without fairness and ramp."""
    bounds = queues.Bounds(total=1)
    gate = gates.Gate(3, 10, RAMP, 'fifo', 'none', bounds)
    gate.restart_ramp(1.0)
    for _ in range(3):
        gate.acquire(make_ticket(), 1.0)
    waiter = gevent.spawn(gate.acquire, make_ticket(), 1.0)
    run_ready_greenlets()
    with pytest.raises(errors.QueueFullError):
        gate.acquire(make_ticket(), 1.0)
    waiter.kill()


def test_call_that_would_wait_past_its_deadline_is_refused_at_once():
    """The entry node must have time left to try another VM.

    Before, such calls waited and were admitted with too little time left, so
    their runs were cut off at the deadline.
    """
    gate = gates.Gate(slots=1, connections=10, read_now=lambda: 0.0)
    for _ in range(20):
        permit = gate.acquire(make_ticket('w', 9.0), now=0.0)
        permit.release(tickets.Result.SUCCESS, now=0.1)
    permit_in_use = gate.acquire(make_ticket('w', 9.0), now=0.0)
    waiting = [
        gevent.spawn(gate.acquire, make_ticket(name, 1.0), 0.0)
        for name in ('large', 'large', 'large', 'large', 'large', 'large')
    ]
    run_ready_greenlets()
    with gevent.Timeout(0.2), pytest.raises(errors.DeadlineError):
        gate.acquire(make_ticket('large', 0.55), now=0.0)
    small = gevent.spawn(gate.acquire, make_ticket('small', 0.55), 0.0)
    run_ready_greenlets()
    assert gate.count_queued('small') == 1
    permit_in_use.release(tickets.Result.SUCCESS, now=0.1)
    gevent.killall([small, *waiting])


def test_cold_server_gets_calls_at_its_rate():
    """Free slots must not raise the rate of calls to a cold server."""
    now = [100.0]
    ramp = types.SimpleNamespace(
        initial_slots=50, duration_s=3.0, rate_per_s=15.0
    )
    gate = gates.Gate(50, 50, ramp, read_now=lambda: now[0])
    gate.restart_ramp(now[0])
    start_times = []

    def call():
        permit = gate.acquire(make_ticket(), now[0])
        start_times.append(now[0])
        permit.release(tickets.Result.SUCCESS, now[0])

    callers = [gevent.spawn(call) for _ in range(80)]
    for step in range(400):
        now[0] = 100.0 + step / 100
        gate.reopen(now[0])
        run_ready_greenlets()
    in_first_second = [at for at in start_times if at < 101.0]
    assert 14 <= len(in_first_second) <= 16
    assert len([at for at in start_times if at < 103.0]) <= 46
    gevent.joinall(callers, timeout=1.0)
    assert len(start_times) == 80


def test_paced_gate_refuses_what_would_wait_past_its_deadline():
    """A call whose paced start is after its deadline is refused at once."""
    ramp = types.SimpleNamespace(
        initial_slots=50, duration_s=3.0, rate_per_s=10.0
    )
    gate = gates.Gate(50, 50, ramp, read_now=lambda: 100.0)
    gate.restart_ramp(100.0)
    gate.acquire(make_ticket(), 100.0)
    waiting = [
        gevent.spawn(gate.acquire, make_ticket(), 100.0) for _ in range(9)
    ]
    run_ready_greenlets()
    with pytest.raises(errors.DeadlineError):
        gate.acquire(make_ticket(deadline=100.5), 100.0)
    gevent.killall(waiting)


def test_pace_applies_when_its_numbers_come_after_the_start():
    """The VM list may say that a server is cold before the preset arrives."""
    now = [100.0]
    gate = gates.Gate(50, 50, read_now=lambda: now[0])
    gate.restart_ramp(now[0])
    now[0] = 100.1
    ramp = types.SimpleNamespace(
        initial_slots=50, duration_s=3.0, rate_per_s=10.0
    )
    gate.set_capacity(50, 50, ramp)
    gate.acquire(make_ticket(), now[0]).release(tickets.Result.SUCCESS, now[0])
    late = gevent.spawn(gate.acquire, make_ticket(), now[0])
    run_ready_greenlets()
    assert not late.ready()
    late.kill()


def _run_calls(gate, results, service_s=0.1, kind='w'):
    """Runs calls one after another; returns the time after them."""
    now = 1000.0
    for result in results:
        permit = gate.acquire(make_ticket(), now)
        now += service_s
        permit.release(result, now, kind)
    return now


def test_answers_set_the_limit_of_the_report():
    """Other nodes learn the limit from the load reports."""
    gate = gates.Gate(6, 10, RAMP, ramp_shape='answers')
    now = _run_calls(gate, ['success'] * 10 + ['reset'])
    report = gate.describe(now)
    assert report.limit == report.ramp == 3
    assert report.adaptive == 6


def test_one_mechanism_reacts_to_sheds():
    """Two mechanisms that cut and raise on their own would fight."""
    gate = gates.Gate(20, 20, RAMP, ramp_shape='answers')
    now = _run_calls(gate, ['success'] * 10 + ['shed'])
    report = gate.describe(now)
    assert (report.limit, report.adaptive) == (10, 20)


@pytest.mark.parametrize('shape', ['linear', 'none'])
def test_other_ramps_ignore_the_new_results(shape):
    """Answers with status 500 counted as successes, lost ones as nothing."""
    results = ['shed', 'error', 'reset', 'timeout', 'failed', 'success'] * 4
    known = {'error': 'success', 'reset': 'failed', 'timeout': 'failed'}
    reports = []
    for names in (results, [known.get(name, name) for name in results]):
        gate = gates.Gate(4, 10, RAMP, ramp_shape=shape)
        gate.restart_ramp(999.0)
        now = _run_calls(gate, names)
        gate.notice_pause(now)
        reports.append(gate.describe(now))
    assert reports[0] == reports[1]
    assert reports[0].adaptive < 4


def test_preset_keeps_what_the_answers_have_shown():
    """A new version of the preset must not lift a lowered limit."""
    gate = gates.Gate(6, 10, RAMP, ramp_shape='answers')
    now = _run_calls(gate, ['success'] * 10 + ['reset'])
    gate.set_capacity(6, 10, RAMP)
    assert gate.describe(now).limit == 3


def test_start_lowers_the_limit_but_admits_calls():
    """A cold server starts low but not idle."""
    gate = gates.Gate(6, 10, None, ramp_shape='answers')
    assert gate.describe(1000.0).limit == 6
    gate.restart_ramp(1000.0)
    assert gate.describe(1000.0).limit == 2


def test_pause_of_the_process_discards_calls_that_span_it():
    """Their resets and times come of the pause."""
    gate = gates.Gate(6, 10, RAMP, ramp_shape='answers')
    now = _run_calls(gate, ['success'] * 10)
    permits = [gate.acquire(make_ticket(), now) for _ in range(4)]
    gate.notice_pause(now + 5.0)
    for permit in permits:
        permit.release('reset', now + 5.1, 'w')
    assert gate.describe(now + 5.1).limit == 6


def test_waiter_runs_when_an_unused_limit_recovers():
    """Nothing else would admit a queued call while no call ends."""
    gate = gates.Gate(2, 10, ramp_shape='answers')
    gate.restart_ramp(clocks.read_now())
    gate.acquire(make_ticket(), clocks.read_now())
    waiter = gevent.spawn(gate.acquire, make_ticket(), clocks.read_now())
    waiter.join(0.2)
    assert not waiter.dead
    waiter.join(5.0)
    assert waiter.successful()


def _read_metric(name, **labels):
    """Returns the value of a metric; 0 if it doesn't exist yet."""
    value = prometheus_client.REGISTRY.get_sample_value(name, labels)
    return value or 0.0


def test_changes_of_the_limit_are_counted_by_reason():
    """Operators must see why a server gets fewer calls."""
    before = _read_metric('jayseam_pace_changes_total', reason='reset')
    gate = gates.Gate(6, 10, RAMP, ramp_shape='answers')
    _run_calls(gate, ['success'] * 10 + ['reset'])
    after = _read_metric('jayseam_pace_changes_total', reason='reset')
    assert after == before + 1
    assert _read_metric('jayseam_pace_limit') == 3


def test_lines_about_the_limit_are_bounded(monkeypatch):
    """A limit that swings must not flood the log."""
    lines = []
    monkeypatch.setattr(
        pacereports._log, 'info', lambda event, extra: lines.append(extra)
    )
    gate = gates.Gate(6, 10, RAMP, ramp_shape='answers')
    now = _run_calls(gate, (['success'] * 20 + ['reset'] * 2) * 20, 0.01)
    assert 2 <= len(lines) <= 1 + now - 1000.0
    assert lines[0]['phase'] == 'reduced' and lines[0]['reason'] == 'reset'
    # Each line tells of the changes since the one before.
    assert all(line['changes'] >= 1 for line in lines)


def test_start_that_is_known_before_the_slots_lowers_the_limit():
    """The VM list may say that a server is cold before the preset arrives."""
    gate = gates.Gate(1, 1, ramp_shape='answers')
    gate.restart_ramp(1000.0)
    sizes = types.SimpleNamespace(initial_slots=6, duration_s=3.0)
    gate.set_capacity(6, 6, sizes)
    assert gate.describe(1000.1).limit == 2
    assert gate.describe(1003.1).limit == 6


@hypothesis.settings(max_examples=100)
@hypothesis.given(operations=OPERATIONS, slots=st.integers(1, 6))
def test_in_flight_never_exceeds_the_limit_by_answers(operations, slots):
    """Queued calls are admitted when the limit rises, and no more of them."""
    now = [1000.0]
    gate = gates.Gate(
        slots, 100, RAMP, ramp_shape='answers', read_now=lambda: now[0]
    )
    permits, waiting = [], []

    def acquire():
        limit = gate.describe(now[0]).limit
        permits.append(gate.acquire(make_ticket(), now[0]))
        assert len(permits) <= max(limit, gate.describe(now[0]).limit)

    for operation, number in operations:
        if operation == 'acquire':
            waiting.append(gevent.spawn(acquire))
        elif operation in ('release', 'shed') and permits:
            results = list(tickets.Result)
            result = results[number % len(results)]
            permits.pop(number % len(permits)).release(result, now[0], 'w')
        elif operation == 'start':
            gate.restart_ramp(now[0])
        elif operation == 'wait':
            now[0] += number / 10
            gate.reopen(now[0])
        elif operation == 'kill' and waiting:
            waiting.pop(number % len(waiting)).kill()
        run_ready_greenlets()
        assert not any(call.exception for call in waiting)
        waiting = [greenlet for greenlet in waiting if not greenlet.dead]
        report = gate.describe(now[0])
        assert report.in_flight == len(permits)
        assert 1 <= report.limit <= slots
        # A call that could run must not wait.
        assert not waiting or report.in_flight >= report.limit
    while permits:
        permits.pop().release('success', now[0], 'w')
        run_ready_greenlets()
    assert not gate.describe(now[0]).queued
