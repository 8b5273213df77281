"""Replays of starts, relapses and slow spells against a model of a server.

Each scenario compares the ramp variant ``answers`` with ``linear``. Tests of a
gain fail if ``answers`` behaves as ``linear``.
"""

import attrs
import pytest

from jayseam.admission.tests import servermodels

SEEDS = range(3)
KINDS = {'nested': 0.022, 'p': 0.12, 'r': 0.36}


def _is_between(first_s, last_s, value):
    """Returns a factor that is ``value`` for a time and 1 otherwise."""
    return lambda elapsed_s: value if first_s <= elapsed_s < last_s else 1.0


def _crowd(elapsed_s):
    """Returns more calls than any server has slots."""
    del elapsed_s
    return 12.0


def _play(behavior, duration_s, demand=_crowd, **options):
    """Returns the outcomes of ``linear`` and ``answers``, summed over seeds."""
    totals = []
    for variant in ('linear', 'answers'):
        total = servermodels.Outcome([0])
        for seed in SEEDS:
            server = servermodels.Server(behavior, variant, seed, **options)
            server.warm_up()
            outcome = server.run(duration_s, demand)
            total.answers[0] += outcome.count_answers()
            total.resets += outcome.resets
            total.falls += outcome.falls
            total.excess += outcome.excess
            total.idle += outcome.idle
            total.limits.extend(outcome.limits)
        totals.append(total)
    return totals[0], totals[1]


@pytest.mark.parametrize('slots', [6, 3])
def test_short_cold_start(slots):
    """A server that is warm sooner than stated must not be left idle."""
    behavior = servermodels.Behavior(slots=slots, cold_s=2.0, is_cold=True)
    linear, answers = _play(behavior, 6.0)
    assert answers.idle < 0.6 * linear.idle
    assert answers.answers[0] > linear.answers[0]
    assert answers.falls == 0
    # A limit beyond the capacity is found by a reset, at most twice a start.
    assert answers.resets <= 2 * len(SEEDS)


@pytest.mark.parametrize('slots', [6, 3])
def test_long_cold_start(slots):
    """A server that is cold for longer than stated must not be flooded."""
    behavior = servermodels.Behavior(slots=slots, cold_s=10.0, is_cold=True)
    linear, answers = _play(behavior, 12.0)
    assert answers.excess < 0.5 * linear.excess
    assert answers.resets < 0.05 * linear.resets
    assert answers.falls == 0
    assert answers.answers[0] >= linear.answers[0]
    # It doesn't pay for that by idling: it uses most of what there is.
    assert answers.idle < 0.1 * slots * 12.0 * len(SEEDS)


@pytest.mark.parametrize('slots', [6, 3])
def test_server_that_claims_to_be_warm(slots):
    """Without a stated cold start, the answers alone tell of it."""
    behavior = servermodels.Behavior(
        slots=slots, cold_s=6.0, is_cold=True, announces=False
    )
    linear, answers = _play(behavior, 10.0)
    assert answers.excess < 0.2 * linear.excess
    # The full limit meets the cold server once, before its first answer.
    assert answers.falls <= len(SEEDS)
    assert answers.answers[0] > 2 * linear.answers[0] + 50
    assert answers.idle < 0.1 * slots * 10.0 * len(SEEDS)


@pytest.mark.parametrize('slots', [6, 3])
def test_relapse_half_way(slots):
    """A server that falls back during its cold start must not be pushed on."""
    behavior = servermodels.Behavior(
        slots=slots,
        cold_s=4.0,
        is_cold=True,
        capacity_factor=_is_between(2.0, 5.0, 0.4),
    )
    linear, answers = _play(behavior, 12.0)
    assert answers.excess < 0.5 * linear.excess
    assert answers.resets < 0.5 * linear.resets
    assert answers.falls < linear.falls
    assert answers.answers[0] > linear.answers[0]


@pytest.mark.parametrize('slots', [6, 3])
def test_return_without_notice(slots):
    """A server that is away and comes back cold must not be met with all."""
    behavior = servermodels.Behavior(
        slots=slots, cold_s=4.0, absent_s=3.0, announces=False
    )
    linear, answers = _play(behavior, 12.0)
    assert answers.falls == 0
    assert answers.excess < 0.5 * linear.excess
    assert answers.answers[0] > 2 * linear.answers[0]


@pytest.mark.parametrize('slots', [6, 3])
def test_crowd_on_the_only_warm_server(slots):
    """A server that slows down when nearly full answers more with fewer calls.

    Callers want more than all slots, because the other servers are cold.
    """
    behavior = servermodels.Behavior(slots=slots, full_slowness=3.0)
    linear, answers = _play(behavior, 10.0)
    assert answers.answers[0] > 1.1 * linear.answers[0]
    assert answers.resets == 0


@pytest.mark.parametrize('slots', [6, 3])
def test_slow_spell_that_takes_capacity(slots):
    """A server that takes fewer calls while slow must get fewer."""
    behavior = servermodels.Behavior(
        slots=slots,
        slowness=_is_between(2.0, 8.0, 5.0),
        capacity_factor=_is_between(2.0, 8.0, 0.55),
    )
    linear, answers = _play(behavior, 12.0)
    assert answers.excess < 0.5 * linear.excess
    assert answers.resets < 0.05 * linear.resets
    # After the spell the limit returns by steps, which costs some answers.
    assert answers.answers[0] >= 0.95 * linear.answers[0]


@pytest.mark.parametrize('slots', [6, 3])
def test_slow_spell_that_takes_no_capacity(slots):
    """Fewer calls must not be the answer to slowness that they don't cause.

    ``linear`` changes nothing here; the price of finding out is bounded.
    """
    behavior = servermodels.Behavior(
        slots=slots, slowness=_is_between(2.0, 8.0, 5.0)
    )
    linear, answers = _play(behavior, 12.0)
    assert answers.answers[0] >= 0.95 * linear.answers[0]
    assert answers.limits[-1] == slots


@pytest.mark.parametrize('spread', [0.3, 0.8])
@pytest.mark.parametrize('slots', [6, 3])
def test_mix_of_kinds_is_not_a_slow_spell(slots, spread):
    """Kinds of 22, 120 and 360 ms must not lower the limit by their mix."""
    behavior = servermodels.Behavior(slots=slots, kinds=KINDS, spread=spread)
    linear, answers = _play(behavior, 20.0)
    assert answers.answers[0] >= 0.97 * linear.answers[0]


def test_warm_server_whose_start_is_reported_is_not_throttled_for_seconds():
    """A node process that restarts may take the server for a cold one."""
    behavior = servermodels.Behavior(cold_s=0.001, is_cold=True)
    linear, answers = _play(behavior, 4.0)
    assert answers.idle < 0.4 * linear.idle
    first_full = answers.limits.index(6)
    assert first_full * servermodels.STEP_S < 1.0


@pytest.mark.parametrize('slots', [6, 3])
def test_rate_of_a_cold_server_stays_bounded(slots):
    """The rate bound of a cold server holds whatever its answers are."""
    behavior = servermodels.Behavior(slots=slots, cold_s=0.001, is_cold=True)
    server = servermodels.Server(behavior, 'answers', rate_per_s=13.5)
    server.warm_up()
    starts = server.run(5.0, _crowd).starts
    cold = [at for at in starts if at < 3.0]
    for first in cold:
        assert len([at for at in cold if first <= at < first + 1.0]) <= 15
    assert len(starts) - len(cold) > 2 * len(cold) / 3


def test_idle_server_recovers_as_fast_as_it_was_lowered():
    """A server must not stay throttled because nobody calls it."""
    behavior = servermodels.Behavior(
        capacity_factor=_is_between(1.0, 2.0, 0.55)
    )
    server = servermodels.Server(behavior, 'answers')
    server.warm_up()
    outcome = server.run(
        8.0, lambda elapsed_s: 0.0 if 2.0 <= elapsed_s < 7.0 else 12.0
    )
    at_return = outcome.limits[round(7.0 / servermodels.STEP_S)]
    assert min(outcome.limits) < 6
    assert at_return == 6


def test_model_is_deterministic():
    """A failure of a scenario must be repeatable."""
    behavior = servermodels.Behavior(kinds=KINDS, is_cold=True)
    runs = [
        servermodels.Server(behavior, 'answers', seed=4).run(3.0, _crowd)
        for _ in range(2)
    ]
    assert attrs.asdict(runs[0]) == attrs.asdict(runs[1])
