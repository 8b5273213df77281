"""When a node heard from other availability zones, and which lie on a bridge.

If two zones can't reach each other and a third one reaches both, the third one
is on a bridge: both would use the part of the rates that belongs to it.
"""

import math
from collections.abc import Iterable


class ZoneContacts:
    """Times at which other zones were heard from.

    >>> contacts = ZoneContacts('a', silence_timeout_s=1.0)
    >>> contacts.record_report('c', ['a', 'b'], now=10.0)
    []
    >>> contacts.record_report('c', ['a', 'b'], now=11.5)
    ['b']
    >>> contacts.is_on_bridge('c', now=11.6)
    True

    Args:
      own_zone: Zone of this node.
      silence_timeout_s: Time without a report after which a zone counts as
        unreachable, in seconds.

    Attributes:
      first_counted_at: Time at which spending of another zone was counted
        first, in seconds; infinite before.
    """

    def __init__(self, own_zone: str, silence_timeout_s: float):
        self.first_counted_at = math.inf
        self._own_zone = own_zone
        self._silence_timeout_s = silence_timeout_s
        # Times at which a zone's spending was last counted, its last report was
        # received, and a report last named a zone that this node can't reach.
        self._counted_at: dict[str, float] = {}
        self._reported_at: dict[str, float] = {}
        self._on_bridge_at: dict[str, float] = {}

    def record_report(
        self, zone: str, heard_zones: Iterable[str], now: float
    ) -> list[str]:
        """Records a report of a zone and which zones are heard there.

        A zone from which this node never had a report gets the same time to
        report as any other, from when it is first named. It may have started
        while it could not be reached, or this node may be a new relay.

        Returns:
          The zones that are heard there and that this node doesn't reach.
        """
        self._reported_at[zone] = now
        others = [heard for heard in heard_zones if heard != self._own_zone]
        unreachable = [
            heard
            for heard in others
            if now - self._reported_at.setdefault(heard, now)
            > self._silence_timeout_s
        ]
        if unreachable:
            self._on_bridge_at[zone] = now
        elif others:
            self._on_bridge_at.pop(zone, None)
        return unreachable

    def is_on_bridge(self, zone: str, now: float) -> bool:
        """Returns whether a zone hears one that this node doesn't reach."""
        at = self._on_bridge_at.get(zone, -math.inf)
        return now - at <= self._silence_timeout_s

    def record_counted(self, zones: Iterable[str], now: float) -> None:
        """Records that the spending of zones was counted."""
        for zone in zones:
            self._counted_at[zone] = now
            self.first_counted_at = min(self.first_counted_at, now)

    def list_counted_since(self, oldest: float) -> list[str]:
        """Returns the zones whose spending was counted after a time."""
        return [zone for zone, at in self._counted_at.items() if at > oldest]

    def is_counted_since(self, zone: str, oldest: float) -> bool:
        """Returns whether a zone's spending was counted at a time or later."""
        return self._counted_at.get(zone, -math.inf) >= oldest
