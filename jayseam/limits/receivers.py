"""The members to which a node reports what it has spent."""

from collections.abc import Mapping

from jayseam.core import rendezvous
from jayseam.limits import cells
from jayseam.limits import hubs


def list_zone_members(
    own: cells.Member, members: Mapping[str, cells.Member]
) -> list[str]:
    """Returns the VMs of the other members of the own zone.

    Args:
      own: The own member.
      members: All members by VM.
    """
    return [
        vm
        for vm, member in members.items()
        if vm != own.vm and member.zone == own.zone
    ]


def list_relays(
    own: cells.Member,
    members: Mapping[str, cells.Member],
    zone_hubs: hubs.ZoneHubs,
) -> list[str]:
    """Returns the VMs of other zones that relay reports there.

    These are the hubs of a zone; in a zone without hubs, one member.
    """
    relays = []
    for zone, vms in _list_other_zones(own, members).items():
        relays += zone_hubs.list_hubs(zone) or rendezvous.rank(zone, vms)[:1]
    return relays


def list_hub_receivers(
    own: cells.Member,
    members: Mapping[str, cells.Member],
    zone_hubs: hubs.ZoneHubs,
) -> list[str]:
    """Returns the VMs of other zones to which a hub reports."""
    receivers = []
    own_hubs = zone_hubs.list_hubs(own.zone)
    for zone, vms in _list_other_zones(own, members).items():
        others = zone_hubs.list_hubs(zone)
        receivers += (
            hubs.choose_receivers(own.vm, own_hubs, others)
            if others
            else rendezvous.rank(zone, vms)[:1]
        )
    return receivers


def _list_other_zones(
    own: cells.Member, members: Mapping[str, cells.Member]
) -> dict[str, list[str]]:
    """Returns the VMs of each other zone."""
    zones: dict[str, list[str]] = {}
    for vm, member in members.items():
        if member.zone != own.zone:
            zones.setdefault(member.zone, []).append(vm)
    return zones
