"""Tests of schedules of faults."""

import pytest

from jayseam.soak import faults
from jayseam.soak import schedules

_POSITIONS = [f'position-{number}' for number in range(12)]
_ZONES = ['a', 'b', 'c']


def _draw(seed, duration_s=30.0):
    return schedules.draw_schedule(
        seed, duration_s, faults.list_kinds(), _POSITIONS, _ZONES
    )


def test_a_seed_brings_the_same_schedule_again():
    """A failed seed can be reproduced."""
    assert _draw(7) == _draw(7)
    assert _draw(7) != _draw(8)


@pytest.mark.parametrize('seed', range(20))
def test_steps_end_before_the_recovery_period(seed):
    """The end of the load has no fault, so that recovery can be checked."""
    schedule = _draw(seed)
    assert schedule.steps
    assert schedule.last_step_end_s <= 25.0
    times = [step.start_s for step in schedule.steps]
    assert times == sorted(times)


def test_steps_overlap_and_come_in_series():
    """Faults overlap, and some kinds are repeated in direct succession."""
    steps = _draw(3, 120.0).steps
    pairs = list(zip(steps, steps[1:]))
    assert any(a.start_s + a.duration_s > b.start_s for a, b in pairs)
    assert any(a.kind == b.kind for a, b in pairs)


def test_fifty_seeds_draw_every_kind():
    """No kind is left out."""
    drawn = {step.kind for seed in range(50) for step in _draw(seed).steps}
    assert drawn == set(faults.registry.list_names())


def test_targets_fit_the_scope_of_their_kind():
    """Each target is of the type that the kind declares."""
    kinds = faults.list_kinds()
    names = {'positions': set(_POSITIONS), 'zones': set(_ZONES), 'none': set()}
    for step in _draw(5, 120.0).steps:
        kind = kinds[step.kind]
        assert set(step.targets) <= names[kind.scope]
        if kind.scope != 'none':
            assert kind.min_targets <= len(step.targets) <= kind.max_targets
