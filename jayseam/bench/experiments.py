"""The registry of experiments and what they hand back.

An experiment is a function of a `Context` that yields `Row` objects. It
registers itself under the name that ``jayseam-bench --only`` takes.

See Also:
  `jayseam.bench.reports`, which runs experiments and writes their figures.
"""

import os
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from jayseam.core import registries

AT_MOST = 'at most'
AT_LEAST = 'at least'
# Label of figures of nodes with default settings, beside baselines.
AS_DESIGNED = 'as designed'


@attrs.frozen
class Bound:
    """A target that a figure is held against.

    >>> Bound(AT_MOST, 2.0).holds(1.9), Bound(AT_LEAST, 2.0).holds(1.9)
    (True, False)

    Attributes:
      kind: `AT_MOST` or `AT_LEAST`.
      value: The limit, in the unit of the figure.
    """

    kind: str = attrs.field(validator=attrs.validators.in_((AT_MOST, AT_LEAST)))
    value: float

    def holds(self, figure: float) -> bool:
        """Tells whether a figure meets the target; NaN never does."""
        if self.kind == AT_MOST:
            return figure <= self.value
        return figure >= self.value


def at_most(value: float) -> Bound:
    """Returns the target that a figure is at most ``value``."""
    return Bound(AT_MOST, value)


def at_least(value: float) -> Bound:
    """Returns the target that a figure is at least ``value``."""
    return Bound(AT_LEAST, value)


@attrs.frozen
class Row:
    """One figure.

    Attributes:
      measure: What was measured.
      figure: The value.
      unit: Its unit.
      bound: Target, or None for a figure without one.
      conditions: What else belongs to the figure, such as sample sizes.
    """

    measure: str
    figure: float
    unit: str
    bound: Bound | None = None
    conditions: dict[str, Any] = attrs.field(factory=dict)

    @property
    def passed(self) -> bool | None:
        """Whether the target is met; None without a target."""
        return None if self.bound is None else self.bound.holds(self.figure)


@attrs.define
class Context:
    """What an experiment gets.

    Attributes:
      seed: Seed of keys, load and schedules.
      conditions: Filled by the experiment for the report.
    """

    seed: int
    conditions: dict[str, Any] = attrs.field(factory=dict)

    def note(self, **conditions: Any) -> None:
        """Adds conditions to the report of the experiment."""
        self.conditions.update(conditions)


Experiment = Callable[[Context], Iterable[Row]]

experiments: registries.Registry[Experiment] = registries.Registry('experiment')


def read_load_average() -> float:
    """Returns the load average of the machine over the last minute."""
    return round(os.getloadavg()[0], 2)
