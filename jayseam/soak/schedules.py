"""Schedules of faults, drawn from a seed.

A schedule depends on nothing but its arguments, so a seed that failed brings
the same faults at the same times again. What each fault does is in `faults`.
"""

import random
from collections.abc import Mapping, Sequence

import attrs

# Gap between the starts of two steps, in seconds; the steps overlap, since
# most of them last longer.
_GAP_S = (0.2, 1.2)
# Steps of the same kind that come in series, and the share of such series.
_SERIES = (2, 4)
_SERIES_SHARE = 0.3


@attrs.frozen
class Kind:
    """What a schedule needs to know of a kind of fault.

    Attributes:
      scope: What it strikes: ``positions``, ``zones`` or ``none``.
      least: Least number of targets.
      most: Greatest number of targets.
      longest_s: Longest time that it lasts, in seconds.
      weight: How often it is drawn, relative to the others.
    """

    scope: str = attrs.field(
        validator=attrs.validators.in_(('positions', 'zones', 'none'))
    )
    least: int = 1
    most: int = 1
    longest_s: float = 2.5
    weight: float = 1.0


@attrs.frozen
class Step:
    """One fault or change of operators.

    Attributes:
      number: Its place in the schedule.
      kind: Name of the kind.
      at_s: Seconds after the start of the load.
      for_s: How long it lasts, in seconds.
      targets: Positions or availability zones that it strikes.
      strength: A number from 0 to 1, which each kind reads in its own way.
    """

    number: int
    kind: str
    at_s: float
    for_s: float
    targets: tuple[str, ...] = ()
    strength: float = 0.5


@attrs.frozen
class Schedule:
    """All steps of a run.

    Attributes:
      seed: The seed.
      duration_s: Length of the load in seconds; the last part has no faults.
      steps: The steps in order of time.
    """

    seed: int
    duration_s: float
    steps: tuple[Step, ...]

    @property
    def quiet_from_s(self) -> float:
        """When the last step is due to end, in seconds."""
        return max((s.at_s + s.for_s for s in self.steps), default=0.0)


def draw_schedule(
    seed: int,
    duration_s: float,
    kinds: Mapping[str, Kind],
    positions: Sequence[str],
    zones: Sequence[str],
    settle_s: float = 5.0,
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
      duration_s: Length of the load in seconds.
      kinds: Kinds to draw from, by name.
      positions: Names of the upstream positions.
      zones: Names of the availability zones.
      settle_s: Seconds at the end in which no step lasts.
    """
    generator = random.Random(seed)
    names = sorted(kinds)
    weights = [kinds[name].weight for name in names]
    choices = {'positions': positions, 'zones': zones, 'none': ()}
    steps: list[Step] = []
    at_s = generator.uniform(*_GAP_S)
    while at_s < duration_s - settle_s:
        name = generator.choices(names, weights)[0]
        in_series = generator.random() < _SERIES_SHARE
        for _ in range(generator.randint(*_SERIES) if in_series else 1):
            step = _draw_step(generator, len(steps), name, kinds[name], choices)
            left_s = duration_s - settle_s - at_s
            if left_s <= 0:
                break
            for_s = min(step.for_s, left_s)
            steps.append(attrs.evolve(step, at_s=at_s, for_s=for_s))
            at_s += generator.uniform(*_GAP_S)
    return Schedule(seed, duration_s, tuple(steps))


def _draw_step(
    generator: random.Random,
    number: int,
    name: str,
    kind: Kind,
    choices: Mapping[str, Sequence[str]],
) -> Step:
    """Draws a step of a kind, whose time is set later."""
    names = choices[kind.scope]
    count = min(len(names), generator.randint(kind.least, kind.most))
    return Step(
        number,
        name,
        0.0,
        generator.uniform(0.2, 1.0) * kind.longest_s,
        tuple(generator.sample(list(names), count)),
        generator.random(),
    )
