"""Candidates of services, built once for each pair of preset and view."""

from typing import Any

import attrs

from jayseam import membership
from jayseam import routing


@attrs.frozen(eq=False)
class _Pools:
    """Pools of one pair of preset and view, each built on first use.

    Attributes:
      preset: The preset.
      view: The view.
      by_service: Pools by service.
      zone_vms: Candidates of these pools in the own zone.
    """

    preset: Any
    view: membership.views.View
    by_service: dict[str, routing.selection.CandidatePool] = attrs.field(
        factory=dict
    )
    zone_vms: set[str] = attrs.field(factory=set)


class PoolCache:
    """Pools of the services that this node calls.

    Args:
      own_zone: Zone of this node.
    """

    def __init__(self, own_zone: str):
        self._own_zone = own_zone
        self._pools: _Pools | None = None

    @property
    def zone_vms(self) -> set[str]:
        """Candidates of the cached pools in the own zone."""
        return set() if self._pools is None else self._pools.zone_vms

    def clear(self) -> None:
        """Removes all pools, as the zones' return times have changed."""
        self._pools = None

    def get(
        self,
        preset: Any,
        view: membership.views.View,
        service: str,
        return_times: routing.zones.ReturnTimes,
    ) -> routing.selection.CandidatePool:
        """Returns the pool of a service, and stores it if it is new."""
        pools = self._pools
        if (
            pools is None
            or pools.preset is not preset
            or pools.view is not view
        ):
            pools = self._pools = _Pools(preset, view)
        pool = pools.by_service.get(service)
        if pool is None:
            pool = build_pool(preset, view, service, return_times)
            pools.by_service[service] = pool
            pools.zone_vms.update(
                member.vm
                for group in pool.groups
                for member in group.members
                if group.zone == self._own_zone
            )
        return pool


def build_pool(
    preset: Any,
    view: membership.views.View,
    service: str,
    return_times: routing.zones.ReturnTimes,
) -> routing.selection.CandidatePool:
    """Builds the pool of a service."""
    members = list_members(preset, view, service)
    return routing.selection.build_pool(preset, members, service, return_times)


def list_members(
    preset: Any, view: membership.views.View, service: str
) -> list[membership.records.MemberRecord]:
    """Returns the members at the positions of a service.

    The preset decides which service a position belongs to; the service in
    membership records may be outdated.
    """
    return [
        record
        for upstream in preset.upstreams_by_service.get(service, ())
        for record in view.list_upstream_members(upstream.name)
    ]
