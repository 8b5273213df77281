"""The registry of experiments, their context and their results.

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
# Label of the figures of nodes with default settings; baselines that change a
# setting are labelled with it.
DEFAULT_SETTINGS = 'as designed'


@attrs.frozen
class Bound:
    """A target for a figure.

    >>> Bound(AT_MOST, 2.0).is_met_by(1.9), Bound(AT_LEAST, 2.0).is_met_by(1.9)
    (True, False)

    Attributes:
      kind: `AT_MOST` or `AT_LEAST`.
      value: The limit, in the unit of the figure.
    """

    kind: str = attrs.field(validator=attrs.validators.in_((AT_MOST, AT_LEAST)))
    value: float

    def is_met_by(self, figure: float) -> bool:
        """Returns whether a figure meets the target; NaN never does."""
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
    """One measured figure.

    Attributes:
      measure: Name of the measured quantity.
      figure: The measured value.
      unit: Unit of the value.
      bound: Target, or None for a figure without a target.
      conditions: Circumstances of the measurement, such as sample sizes.
    """

    measure: str
    figure: float
    unit: str
    bound: Bound | None = None
    conditions: dict[str, Any] = attrs.field(factory=dict)

    @property
    def passed(self) -> bool | None:
        """Whether the figure meets its target; None without a target."""
        return None if self.bound is None else self.bound.is_met_by(self.figure)


@attrs.define
class Context:
    """Input of an experiment, and the conditions that it reports.

    Attributes:
      seed: Seed of the keys, the load and the schedules.
      conditions: Conditions of the whole experiment, for its report.
    """

    seed: int
    conditions: dict[str, Any] = attrs.field(factory=dict)

    def add_conditions(self, **conditions: Any) -> None:
        """Adds conditions of the whole experiment to its report."""
        self.conditions.update(conditions)


Experiment = Callable[[Context], Iterable[Row]]

registry: registries.Registry[Experiment] = registries.Registry('experiment')


def read_load_average() -> float:
    """Returns the load average of the machine over the last minute."""
    return round(os.getloadavg()[0], 2)
