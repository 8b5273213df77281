"""Shares of availability zones that have come back into service.

The share of a zone that returns grows from 0.1 to 1 over 10 s, so that caches
fill and connections open before the zone gets its full load. Shares are
relative weights, so the load of the other zones falls as the share grows.
"""

from collections.abc import Iterable, Mapping, Set
from typing import Any

INITIAL_SHARE = 0.1
SHARE_GROWTH_S = 10.0

# Time of the last return by zone, in seconds.
ReturnTimes = Mapping[str, float]


def list_in_service(preset: Any) -> frozenset[str]:
    """Returns the names of the zones that a preset has in service."""
    zones = preset.zones
    values = zones.values() if isinstance(zones, Mapping) else zones
    return frozenset(zone.name for zone in values if zone.in_service)


def update_return_times(
    return_times: ReturnTimes,
    before: Set[str] | None,
    after: Iterable[str],
    now: float,
) -> ReturnTimes:
    """Returns the times of return after the zones in service changed.

    Args:
      return_times: Times of return until now.
      before: Zones in service until now; None at the start of the process,
        when no zone counts as returned.
      after: Zones in service from now on.
      now: Current time in seconds.

    >>> update_return_times({}, {'a'}, {'a', 'b'}, now=5.0)
    {'b': 5.0}
    >>> update_return_times({'b': 5.0}, {'a', 'b'}, {'a'}, now=6.0)
    {}
    """
    previous = set(after) if before is None else before
    updated = {}
    for zone in after:
        if zone not in previous:
            updated[zone] = now
        elif zone in return_times and now < return_times[zone] + SHARE_GROWTH_S:
            updated[zone] = return_times[zone]
    return updated


def compute_share(return_times: ReturnTimes, zone: str, now: float) -> float:
    """Returns the share of a zone in service, from 0.1 to 1.

    >>> [compute_share({'b': 5.0}, 'b', now) for now in (5.0, 10.0, 15.0)]
    [0.1, 0.55, 1.0]
    >>> compute_share({}, 'a', 5.0)
    1.0
    """
    returned_at = return_times.get(zone)
    if returned_at is None:
        return 1.0
    progress = min(1.0, max(0.0, (now - returned_at) / SHARE_GROWTH_S))
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress
