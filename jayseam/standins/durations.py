"""Distributions of service times."""

import random
from collections.abc import Callable

import attrs

from jayseam.core import registries

distributions: registries.Registry[Callable[[random.Random, float], float]] = (
    registries.Registry('distribution')
)

_LOGNORMAL_SIGMA = 0.7


@attrs.frozen
class ServiceTime:
    """A distribution of service times.

    Attributes:
      kind: Name in the registry `distributions`.
      mean_ms: Mean in milliseconds.
    """

    kind: str = 'exponential'
    mean_ms: float = 5.0

    def draw_s(self, generator: random.Random) -> float:
        """Returns one service time in seconds.

        >>> ServiceTime('fixed', 2.0).draw_s(random.Random(1))
        0.002
        """
        draw = distributions.get(self.kind)
        return draw(generator, self.mean_ms) / 1000.0


@distributions.register('fixed')
def _draw_fixed(_: random.Random, mean_ms: float) -> float:
    return mean_ms


@distributions.register('uniform')
def _draw_uniform(generator: random.Random, mean_ms: float) -> float:
    return generator.uniform(0.0, 2.0 * mean_ms)


@distributions.register('exponential')
def _draw_exponential(generator: random.Random, mean_ms: float) -> float:
    return generator.expovariate(1.0) * mean_ms


@distributions.register('lognormal')
def _draw_lognormal(generator: random.Random, mean_ms: float) -> float:
    # The mean of exp(N(mu, sigma)) is exp(mu + sigma^2 / 2).
    shift = -(_LOGNORMAL_SIGMA**2) / 2.0
    return mean_ms * generator.lognormvariate(shift, _LOGNORMAL_SIGMA)
