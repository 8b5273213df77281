"""Names of the VMs that the distribution of the configuration talks to."""

from collections.abc import Callable

from jayseam import membership


class MemberLists:
    """Lists the VMs of the own zone and of others.

    Args:
      read_view: Returns the current view of the members.
      zone: Zone of this node.
    """

    def __init__(
        self,
        read_view: Callable[[], membership.views.View],
        zone: str,
    ):
        self._read_view = read_view
        self._zone = zone

    def list_live_in_zone(self) -> list[str]:
        """Returns the live VMs of the node's zone with a known incarnation."""
        return self._list_started(self._zone)

    def list_running_in_zone(self) -> list[str]:
        """Returns the same, with VMs that are leaving."""
        members = self._read_view().list_zone_members(self._zone)
        return [record.vm for record in members if record.incarnation]

    def list_live_elsewhere(self) -> dict[str, list[str]]:
        """Returns such VMs of each other zone."""
        return {
            zone: self._list_started(zone)
            for zone in self._read_view().list_zones()
            if zone != self._zone
        }

    def _list_started(self, zone: str) -> list[str]:
        return [
            record.vm
            for record in self._read_view().list_live_in_zone(zone)
            if record.incarnation
        ]
