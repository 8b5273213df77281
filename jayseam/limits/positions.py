"""The positions of a deployment by availability zone, and who is heard there.

A position is the place of a backend server in the preset. It has a part of each
rate, whoever fills it.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs


@attrs.frozen
class Positions:
    """The positions by zone.

    Attributes:
      by_zone: Names of the positions of each zone.
      count: Number of positions in all zones.
    """

    by_zone: Mapping[str, frozenset[str]] = attrs.field(factory=dict)
    count: int = 0

    def list_in(self, zone: str) -> frozenset[str]:
        """Returns the positions of a zone."""
        return self.by_zone.get(zone, frozenset())


def group_positions(upstreams: Mapping[str, Any]) -> Positions:
    """Returns the positions of a preset.

    >>> import types
    >>> group_positions({'u0': types.SimpleNamespace(zone='a')}).list_in('a')
    frozenset({'u0'})

    Args:
      upstreams: Objects with ``zone``, by name of their position.
    """
    by_zone: dict[str, set[str]] = {}
    for name, upstream in upstreams.items():
        by_zone.setdefault(getattr(upstream, 'zone', ''), set()).add(name)
    return Positions(
        {zone: frozenset(names) for zone, names in by_zone.items()},
        len(upstreams),
    )


@attrs.define
class HeardPositions:
    """The positions that were ever heard from.

    Polls happen many times a second, so positions are added only when a zone
    has others than before.
    """

    names: set[str] = attrs.field(factory=set)
    _added: dict[str, frozenset[str]] = attrs.field(factory=dict)

    def add(self, zone: str, heard: frozenset[str]) -> None:
        """Adds positions of a zone that are heard from now."""
        if self._added.get(zone) is not heard and (
            self._added.get(zone) != heard
        ):
            self.names |= heard
        self._added[zone] = heard

    def select(self, positions: Iterable[str]) -> frozenset[str]:
        """Returns those of some positions that were ever heard from."""
        return frozenset(positions) & self.names
