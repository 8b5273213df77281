"""Schedules of faults, drawn from a seed.

A schedule depends only on the arguments of `draw_schedule`, so a failed seed
can be run again with the same faults at the same times. `jayseam.soak.faults`
implements the faults.
"""

import random
from collections.abc import Mapping, Sequence

import attrs

# Least and greatest time between the starts of two steps. Most steps last
# longer, so that steps overlap.
_STEP_GAP_S = (0.2, 1.2)
# Least and greatest number of steps in a series of one kind, and the share of
# draws that start a series.
_SERIES_LENGTH = (2, 4)
_SERIES_SHARE = 0.3
# Share of draws before which there is a calm period, if there are any.
_CALM_SHARE = 0.25


@attrs.frozen
class Kind:
    """Parameters for drawing steps of one kind.

    Attributes:
      scope: Type of the targets: ``positions``, ``zones`` or ``none``.
      min_targets: Minimum number of targets.
      max_targets: Maximum number of targets.
      max_duration_s: Maximum duration of a step in seconds.
      weight: Relative frequency among all kinds.
    """

    scope: str = attrs.field(
        validator=attrs.validators.in_(('positions', 'zones', 'none'))
    )
    min_targets: int = 1
    max_targets: int = 1
    max_duration_s: float = 2.5
    weight: float = 1.0


@attrs.frozen
class Step:
    """One fault or operator change.

    Attributes:
      number: Index in the schedule, from 0.
      kind: Name of the kind.
      start_s: Start time in seconds after the start of the load.
      duration_s: Duration in seconds.
      targets: Names of the affected upstream positions or availability zones.
      strength: A number from 0 to 1 whose meaning depends on the kind, for
        example a share of the longest delay.
    """

    number: int
    kind: str
    start_s: float
    duration_s: float
    targets: tuple[str, ...] = ()
    strength: float = 0.5


@attrs.frozen
class Schedule:
    """All steps of a run.

    Attributes:
      seed: The seed.
      duration_s: Duration of the load in seconds. It ends with a recovery
        period without faults.
      steps: The steps in order of their start times.
    """

    seed: int
    duration_s: float
    steps: tuple[Step, ...]

    @property
    def last_step_end_s(self) -> float:
        """Time at which the last step ends, in seconds since the load began."""
        return max((s.start_s + s.duration_s for s in self.steps), default=0.0)


def draw_schedule(
    seed: int,
    duration_s: float,
    kinds: Mapping[str, Kind],
    positions: Sequence[str],
    zones: Sequence[str],
    recovery_s: float = 5.0,
    calm_s: float = 0.0,
) -> Schedule:
    """Draws the steps of a run.

    >>> kinds = {'kill': Kind('positions')}
    >>> schedule = draw_schedule(1, 12.0, kinds, ['a', 'b'], ['z'])
    >>> schedule == draw_schedule(1, 12.0, kinds, ['a', 'b'], ['z'])
    True
    >>> {step.kind for step in schedule.steps}
    {'kill'}

    Args:
      seed: Seed of all draws.
      duration_s: Duration of the load in seconds.
      kinds: Kinds to draw from, by name.
      positions: Names of the upstream positions.
      zones: Names of the availability zones.
      recovery_s: Length of the recovery period at the end of the load, in
        which no step is in progress, in seconds.
      calm_s: Length of periods between steps in which no step is in progress,
        in seconds; 0 for none.
    """
    generator = random.Random(seed)
    names = sorted(kinds)
    weights = [kinds[name].weight for name in names]
    choices = {'positions': positions, 'zones': zones, 'none': ()}
    steps: list[Step] = []
    start_s = generator.uniform(*_STEP_GAP_S)
    while start_s < duration_s - recovery_s:
        name = generator.choices(names, weights)[0]
        is_series = generator.random() < _SERIES_SHARE
        for _ in range(generator.randint(*_SERIES_LENGTH) if is_series else 1):
            step = _draw_step(generator, len(steps), name, kinds[name], choices)
            remaining_s = duration_s - recovery_s - start_s
            if remaining_s <= 0:
                break
            step_duration_s = min(step.duration_s, remaining_s)
            steps.append(
                attrs.evolve(step, start_s=start_s, duration_s=step_duration_s)
            )
            start_s += generator.uniform(*_STEP_GAP_S)
        if calm_s and generator.random() < _CALM_SHARE:
            ends = [s.start_s + s.duration_s for s in steps]
            start_s = max(start_s, *ends) + calm_s
    return Schedule(seed, duration_s, tuple(steps))


def _draw_step(
    generator: random.Random,
    number: int,
    name: str,
    kind: Kind,
    choices: Mapping[str, Sequence[str]],
) -> Step:
    """Draws a step of a kind; the caller sets its start time."""
    names = choices[kind.scope]
    count = min(
        len(names), generator.randint(kind.min_targets, kind.max_targets)
    )
    return Step(
        number,
        name,
        0.0,
        generator.uniform(0.2, 1.0) * kind.max_duration_s,
        tuple(generator.sample(list(names), count)),
        generator.random(),
    )
