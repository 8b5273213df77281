"""The members that a node sends heartbeats to and monitors, per view."""

from collections.abc import Callable, Iterable

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
      is_carrier: Whether the node passes changes of others on to other zones.
    """

    neighbours: tuple[str, ...]
    monitored: tuple[str, ...]
    is_carrier: bool = False


def find_neighbourhood(
    view: views.View, own: records.MemberRecord
) -> Neighbourhood:
    """Computes the neighbourhood of a node in a view."""
    return Neighbourhood(
        _find_eligible_neighbours(view, own, views.is_live),
        _find_eligible_neighbours(
            view, own, lambda record: record.state != 'dead'
        ),
        topology.is_carrier(
            own.vm,
            own.zone,
            (record.vm for record in view.list_live_in_zone(own.zone)),
        ),
    )


def list_forward_receivers(
    view: views.View,
    own: records.MemberRecord,
    near: Iterable[str],
    is_carrier: bool,
) -> set[str]:
    """Returns the VMs to which a node forwards changes of other members.

    Args:
      view: The view.
      own: Record of the node.
      near: Its neighbours and the members that send heartbeats to it.
      is_carrier: Whether it passes changes of others on to other zones.
    """
    return {
        vm
        for vm in near
        if is_carrier
        or (vm in view.members and view.members[vm].zone == own.zone)
    }


class NeighbourhoodCache:
    """Caches the neighbourhood while no VM changes its zone or state.

    Every tick and heartbeat reads the neighbourhood, and computing it ranks
    all members. While a fleet starts, records change many times a second.
    """

    def __init__(self):
        self._places: object = None
        self._neighbourhood = Neighbourhood((), ())

    def find(
        self, view: views.View, own: records.MemberRecord
    ) -> Neighbourhood:
        """Returns the neighbourhood in a view."""
        if self._places is not view.places:
            self._neighbourhood = find_neighbourhood(view, own)
            self._places = view.places
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
