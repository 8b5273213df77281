"""Tests of the limit that follows the answers of the server."""

import math
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.admission import baselines
from jayseam.admission import paces
from jayseam.admission import ramps
from jayseam.admission import tickets

KINDS = {'nested': 0.022, 'p': 0.12, 'r': 0.36}


class _Driver:
    """Feeds a pace with answers, one after another."""

    def __init__(self, slots=6, duration_s=3.0):
        self.pace = paces.AnswerPace(slots, slots, duration_s)
        self.now = 1000.0

    def answer(self, count, service_s=0.1, kind='w', in_flight=None):
        """Records answers at the limit, or with some calls in flight."""
        for _ in range(count):
            self.end(tickets.Result.SUCCESS, service_s, kind, in_flight)

    def answer_until_change(self, service_s):
        """Records answers at the limit until the limit changes."""
        changes = self.pace.changes
        for _ in range(50):
            if self.pace.changes == changes:
                self.answer(1, service_s)

    def end(self, result, service_s=0.1, kind='w', in_flight=None):
        """Records the end of a call that starts now."""
        started_at, self.now = self.now, self.now + service_s
        if in_flight is None:
            in_flight = self.pace.compute_limit(self.now)
        sample = ramps.Sample(kind, started_at, self.now, in_flight)
        self.pace = self.pace.record(result, sample)

    def restart(self):
        """Records a start of the server."""
        self.pace = self.pace.restart(self.now)

    def learn(self, service_s=0.1, kind='w'):
        """Records calm answers, from which the baseline is learned."""
        self.answer(30, service_s, kind, in_flight=1)

    @property
    def limit(self):
        """The limit in force."""
        return self.pace.compute_limit(self.now)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from([*tickets.Result, 'start', 'pause', 'resize', 'wait']),
        st.floats(0.001, 3.0),
        st.integers(1, 8),
    ),
    max_size=80,
)


@hypothesis.given(events=EVENTS)
def test_limit_stays_between_one_and_the_slots(events):
    """A limit of zero would admit no call whose answer could raise it."""
    driver = _Driver()
    for event, duration_s, number in events:
        if event == 'start':
            driver.restart()
        elif event == 'pause':
            driver.pace = driver.pace.record_pause(driver.now)
        elif event == 'resize':
            driver.pace = driver.pace.resize(number, number, duration_s)
        elif event == 'wait':
            driver.now += duration_s
        else:
            driver.end(event, duration_s, 'w', number)
        assert 1 <= driver.limit <= driver.pace.slots
        step_at = driver.pace.compute_next_step(driver.now)
        if step_at is not None:
            assert step_at > driver.now
            later = driver.pace.compute_limit(step_at + 1e-6)
            assert later >= driver.limit


def test_limit_doubles_while_it_is_reached():
    """Answers under a limit that isn't reached don't show that more is safe."""
    driver = _Driver(slots=16)
    driver.learn()
    driver.restart()
    assert driver.limit == 4
    driver.answer(6, 0.05, in_flight=1)
    assert driver.limit == 4
    driver.answer(4, 0.05)
    assert driver.limit == 8
    driver.answer(8, 0.05)
    assert driver.limit == 16


def test_slower_answers_hold_the_limit():
    """A limit that grows while answers slow down would flood the server."""
    driver = _Driver(slots=16)
    driver.learn()
    driver.restart()
    driver.answer(40, 0.17)
    assert driver.limit == 4
    assert driver.pace.phase is paces.Phase.HOLDING


def test_worse_answers_halve_the_limit_once_per_round():
    """One slow period must not bring the limit to one at once."""
    driver = _Driver()
    driver.learn()
    driver.answer(5, 0.3)
    assert driver.limit == 6
    driver.answer_until_change(0.3)
    assert driver.limit == 3
    assert driver.pace.reason == 'slow'
    driver.answer(2, 0.3)
    assert driver.limit == 3


def test_a_cut_that_does_not_help_is_taken_back():
    """A server that is slow for another reason must not be left idle too."""
    driver = _Driver()
    driver.learn()
    limits = []
    for _ in range(60):
        driver.answer(1, 0.5)
        limits.append(driver.limit)
    assert 3 in limits
    assert set(limits[-30:]) == {6}
    driver.answer(30, 0.1)
    assert driver.pace.tolerated < math.log(1.2)
    assert driver.limit == 6


def test_a_cut_that_helps_is_kept():
    """Halving must go on while it makes the answers faster."""
    driver = _Driver(slots=8)
    driver.learn()
    for service_s, limit in ((0.8, 4), (0.5, 2), (0.3, 1)):
        driver.answer_until_change(service_s)
        assert driver.limit == limit
    driver.answer(6, 0.05)
    assert driver.limit == 1
    driver.now += paces.MIN_PROBE_S
    driver.answer(3, 0.05)
    assert driver.limit == 2


def test_a_server_that_hardly_answers_gets_one_call():
    """Beyond a bound, slowness is not tolerated even if a cut doesn't help."""
    driver = _Driver()
    driver.learn()
    driver.answer(60, 1.5)
    assert driver.limit == 1
    driver.answer(60, 0.1)
    assert driver.limit == 6


@pytest.mark.parametrize('result', ['reset', 'shed'])
def test_resets_and_sheds_halve_once_for_calls_in_flight_together(result):
    """Calls in flight together are often shed together."""
    driver = _Driver(slots=8)
    driver.learn()
    started_at = driver.now
    for number in range(6):
        sample = ramps.Sample('w', started_at, started_at + 0.1 + number, 6)
        driver.pace = driver.pace.record(tickets.Result(result), sample)
    assert driver.pace.value == 4.0
    assert driver.pace.reason == result


def test_only_lasting_errors_halve():
    """Requests also fail because a nested call failed at another server."""
    driver = _Driver()
    driver.learn()
    for _ in range(20):
        driver.answer(2)
        driver.end(tickets.Result.ERROR)
    assert driver.limit == 6
    for _ in range(10):
        driver.end(tickets.Result.ERROR)
    assert driver.limit == 3
    assert driver.pace.reason == 'error'
    for _ in range(30):
        driver.end(tickets.Result.ERROR)
    assert driver.limit == 3


def test_timeouts_count_as_slow_answers():
    """A server that answers nothing in time gives no service times."""
    driver = _Driver()
    driver.learn()
    for _ in range(20):
        driver.end(tickets.Result.TIMEOUT, 0.05)
    assert driver.limit == 6
    for _ in range(12):
        driver.end(tickets.Result.TIMEOUT, 1.0)
    assert driver.limit <= 3


def test_failed_value_is_passed_by_single_steps():
    """Doubling right after a failure would fail again in every other round."""
    driver = _Driver(slots=16)
    driver.learn()
    driver.end(tickets.Result.RESET, 0.01)
    assert driver.limit == 8
    driver.answer(8, 0.01)
    assert driver.limit == 15
    driver.answer(15, 0.01)
    assert driver.limit == 15
    driver.now += paces.MIN_PROBE_S
    driver.answer(15, 0.01)
    assert driver.limit == 16


def test_repeated_failure_delays_the_next_step():
    """Each failed step may cost calls that can't be repeated."""
    driver = _Driver()
    driver.learn()
    failures = 0
    ends_at = driver.now + 10.0
    while driver.now < ends_at:
        if driver.limit >= 4:
            driver.end(tickets.Result.RESET, 0.01)
            failures += 1
        else:
            driver.answer(1, 0.02)
    assert 3 <= failures <= 8


def test_idle_limit_recovers():
    """Without calls no answer could raise the limit."""
    driver = _Driver()
    driver.learn()
    driver.end(tickets.Result.RESET, 0.01)
    assert driver.limit == 3
    assert driver.pace.compute_limit(driver.now + 0.9) == 3
    assert driver.pace.compute_limit(driver.now + 1.1) == 6


def test_limit_does_not_recover_by_time_while_answers_are_slow():
    """Time alone says nothing while calls show that the server is slow."""
    driver = _Driver()
    driver.learn()
    driver.restart()
    for _ in range(40):
        driver.answer(1, 0.175, in_flight=1)
    assert driver.limit == 2


def test_warm_server_is_full_within_a_second_of_a_restart():
    """A restart that left the server warm must not throttle it for seconds."""
    driver = _Driver()
    driver.learn(0.09)
    driver.restart()
    restarted_at = driver.now
    while driver.limit < 6:
        # As many calls end in a service time as may be in flight.
        driver.answer(1, 0.09 / driver.limit)
    assert driver.now < restarted_at + 1.0


def test_fresh_pace_is_full():
    """A node process that starts beside a warm server must not throttle it."""
    assert paces.AnswerPace(1, 6, 3.0).compute_limit(1000.0) == 6


def test_calls_that_span_a_pause_are_ignored():
    """Their times include the pause, and their resets come of it."""
    driver = _Driver()
    driver.learn()
    before_at, driver.now = driver.now, driver.now + 5.0
    driver.pace = driver.pace.record_pause(driver.now)
    known = driver.pace.baselines
    for result in tickets.Result:
        for _ in range(10):
            sample = ramps.Sample('w', before_at, driver.now + 0.01, 6)
            driver.pace = driver.pace.record(result, sample)
    assert driver.limit == 6
    assert driver.pace.baselines == known
    driver.end(tickets.Result.RESET, 0.1)
    assert driver.limit == 3


def test_pause_does_not_count_as_recovery():
    """In a pause nothing was learned about the server."""
    driver = _Driver()
    driver.learn()
    driver.end(tickets.Result.RESET, 0.01)
    driver.now += 20.0
    driver.pace = driver.pace.record_pause(driver.now)
    assert driver.limit == 3


def test_capacity_of_a_preset_applies():
    """New slots must be used, and a lowered limit must stay lowered."""
    driver = _Driver()
    driver.pace = driver.pace.resize(8, 8, 3.0)
    assert driver.limit == 8
    driver.end(tickets.Result.RESET, 0.01)
    driver.pace = driver.pace.resize(12, 12, 3.0)
    assert driver.limit == 4
    driver.pace = driver.pace.resize(2, 2, 3.0)
    assert driver.limit == 2


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('spread', [0.3, 0.8])
def test_change_of_the_mix_is_not_a_slow_spell(spread, seed):
    """Without a baseline per kind, long calls would look like a slow server."""
    generator = random.Random(seed)
    driver = _Driver()

    def run(count, weights):
        cuts = 0
        for _ in range(count):
            kind = generator.choices(list(KINDS), weights)[0]
            service_s = KINDS[kind] * generator.lognormvariate(0.0, spread)
            changes = driver.pace.changes
            driver.answer(1, service_s, kind, in_flight=3)
            cuts += driver.pace.changes > changes
            cuts -= driver.pace.reason in ('raise', 'recovery') and (
                driver.pace.changes > changes
            )
        return cuts

    run(300, (8, 1, 1))
    assert run(200, (1, 1, 8)) <= 1
    assert driver.limit >= 3


def test_baseline_measured_on_a_cold_server_is_corrected():
    """Else a warm server could worsen by far before it is noticed."""
    driver = _Driver()
    driver.answer(30, 0.5, in_flight=1)
    driver.answer(100, 0.1, in_flight=1)
    ratio = driver.pace.baselines.compare('w', 0.1)
    assert abs(ratio) < math.log(1.2)


def test_slow_spell_does_not_become_the_baseline():
    """Else the answers after it would hide the next spell."""
    driver = _Driver()
    driver.learn()
    driver.answer(60, 0.5)
    assert driver.pace.baselines.compare('w', 0.5) > math.log(3.0)


def test_number_of_kinds_is_bounded():
    """Kinds come from the configuration, which may change without end."""
    known = baselines.Baselines()
    for number in range(3 * baselines.MAX_KINDS):
        known = known.learn(f'k{number}', 0.1, 0.1)
    assert len(known.by_kind) <= baselines.MAX_KINDS
