"""The members that a node heartbeats and watches, found once for each view."""

from collections.abc import Callable

import attrs

from jayseam.membership import records
from jayseam.membership import topology
from jayseam.membership import views


@attrs.frozen
class Neighbourhood:
    """The members next to a node.

    Attributes:
      neighbours: Alive or suspect VMs that the node heartbeats.
      watched: VMs whose silence the node judges. Leaving members are watched
        too, so that their end is noticed.
    """

    neighbours: tuple[str, ...]
    watched: tuple[str, ...]


def find_neighbourhood(
    view: views.View, own: records.MemberRecord
) -> Neighbourhood:
    """Returns the neighbourhood of a node in a view."""
    return Neighbourhood(
        _find_near(view, own, views.is_live),
        _find_near(view, own, lambda record: record.state != 'dead'),
    )


class NeighbourhoodCache:
    """Remembers the neighbourhood until the view is replaced.

    Every tick and heartbeat asks for it, and finding it ranks all members.
    """

    def __init__(self):
        self._view: views.View | None = None
        self._found = Neighbourhood((), ())

    def find(
        self, view: views.View, own: records.MemberRecord
    ) -> Neighbourhood:
        """Returns the neighbourhood in a view."""
        if self._view is not view:
            self._found = find_neighbourhood(view, own)
            self._view = view
        return self._found


def _find_near(
    view: views.View,
    own: records.MemberRecord,
    accepts: Callable[[records.MemberRecord], bool],
) -> tuple[str, ...]:
    zones: dict[str, list[str]] = {}
    for record in view.members.values():
        if record.vm != own.vm and accepts(record):
            zones.setdefault(record.zone, []).append(record.vm)
    return topology.find_neighbours(own.vm, own.zone, zones)
