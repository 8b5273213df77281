"""The members that a node sends heartbeats to and monitors, per view."""

from collections.abc import Callable

import attrs

from jayseam.membership import records
from jayseam.membership import topology
from jayseam.membership import views


@attrs.frozen
class Neighbourhood:
    """The members next to a node.

    Attributes:
      neighbours: Alive or suspect VMs to which the node sends heartbeats.
      monitored: VMs that the failure detector monitors. They include leaving
        members, so that their end is detected.
    """

    neighbours: tuple[str, ...]
    monitored: tuple[str, ...]


def find_neighbourhood(
    view: views.View, own: records.MemberRecord
) -> Neighbourhood:
    """Computes the neighbourhood of a node in a view."""
    return Neighbourhood(
        _find_eligible_neighbours(view, own, views.is_live),
        _find_eligible_neighbours(
            view, own, lambda record: record.state != 'dead'
        ),
    )


class NeighbourhoodCache:
    """Caches the neighbourhood until the view is replaced.

    Every tick and heartbeat reads the neighbourhood, and computing it ranks
    all members.
    """

    def __init__(self):
        self._view: views.View | None = None
        self._neighbourhood = Neighbourhood((), ())

    def find(
        self, view: views.View, own: records.MemberRecord
    ) -> Neighbourhood:
        """Returns the neighbourhood in a view."""
        if self._view is not view:
            self._neighbourhood = find_neighbourhood(view, own)
            self._view = view
        return self._neighbourhood


def _find_eligible_neighbours(
    view: views.View,
    own: records.MemberRecord,
    is_eligible: Callable[[records.MemberRecord], bool],
) -> tuple[str, ...]:
    zones: dict[str, list[str]] = {}
    for record in view.members.values():
        if record.vm != own.vm and is_eligible(record):
            zones.setdefault(record.zone, []).append(record.vm)
    return topology.find_neighbours(own.vm, own.zone, zones)
