"""Functions that derive the preset's zone weights from the load per zone."""

from collections.abc import Callable, Mapping

from jayseam.core import registries

ROTATED_PART = 0.25

Weighting = Callable[[Mapping[str, float]], dict[str, float]]
registry: registries.Registry = registries.Registry('weighting')


@registry.register('none')
def omit_weights(_: Mapping[str, float]) -> dict[str, float]:
    """Returns no weights, as in a preset without zone weights."""
    return {}


@registry.register('real')
def copy_skew(skew: Mapping[str, float]) -> dict[str, float]:
    """Returns weights equal to the load of each zone."""
    return dict(skew)


@registry.register('rotated')
def rotate_skew(skew: Mapping[str, float]) -> dict[str, float]:
    """Returns weights with a quarter of each zone's load moved to the next.

    >>> rotate_skew({'a': 4.0, 'b': 2.0, 'c': 1.0})
    {'a': 3.25, 'b': 2.5, 'c': 1.25}
    """
    zones = list(skew)
    return {
        zone: (1 - ROTATED_PART) * skew[zone]
        + ROTATED_PART * skew[zones[index - 1]]
        for index, zone in enumerate(zones)
    }


@registry.register('exchanged')
def exchange_skew(skew: Mapping[str, float]) -> dict[str, float]:
    """Returns for each zone the load of the next zone.

    >>> exchange_skew({'a': 4.0, 'b': 2.0, 'c': 1.0})
    {'a': 2.0, 'b': 1.0, 'c': 4.0}
    """
    zones = list(skew)
    return {
        zone: skew[zones[(index + 1) % len(zones)]]
        for index, zone in enumerate(zones)
    }


@registry.register('single')
def keep_heaviest(skew: Mapping[str, float]) -> dict[str, float]:
    """Returns weight 1 for the zone with the highest load, 0 for others.

    >>> keep_heaviest({'a': 4.0, 'b': 2.0, 'c': 1.0})
    {'a': 1.0, 'b': 0.0, 'c': 0.0}
    """
    heaviest = max(skew, key=skew.__getitem__)
    return {zone: float(zone == heaviest) for zone in skew}
