"""Spent tokens of workspaces, here and as other members report them."""

import attrs

# A workspace is near its limit below this fraction of its burst.
NEAR_LIMIT_PART = 0.5


def shorten(total: float) -> float | int:
    """Returns a total in the form that takes the fewest bytes in a message.

    Most calls cost one token, and a small integer has a third of the bytes of a
    float.

    >>> shorten(7.0), shorten(7.5)
    (7, 7.5)
    """
    return int(total) if total == int(total) else total


@attrs.define(slots=True)
class Replica:
    """This node's replica of one workspace's bucket.

    Attributes:
      rate_per_s: Tokens that accrue in one second, for the whole fleet.
      burst: Capacity in tokens, for the whole fleet.
      level: Tokens that can be spent; negative after an excess.
      updated: Time to which accrual has been counted, in seconds.
      spent: Tokens spent at this node since it started.
      relayed: Tokens spent in other zones that this node relays.
      zone_spent: Tokens spent by other members of the zone that this node, as
        a hub, reports.
      reported: The values of `spent`, `relayed` and `zone_spent` in the last
        report.
    """

    rate_per_s: float
    burst: float
    level: float
    updated: float
    spent: float = 0.0
    relayed: float = 0.0
    zone_spent: float = 0.0
    reported: tuple[float, float, float] = (0.0, 0.0, 0.0)

    def refill(self, part: float, now: float) -> None:
        """Adds the accrual for a fraction of the fleet."""
        elapsed_s = max(0.0, now - self.updated)
        self.updated = max(now, self.updated)
        accrued = self.level + elapsed_s * self.rate_per_s * part
        self.level = min(self.burst * part, accrued)

    def charge(self, amount: float) -> None:
        """Deducts tokens spent elsewhere.

        The level falls no lower than minus one burst, or minus one second of
        accrual if that is more.
        """
        floor = -max(self.burst, self.rate_per_s)
        self.level = max(floor, self.level - amount)

    def take_changes(self) -> tuple[bool, bool, bool]:
        """Returns which of the reported values have changed since the last.

        The values count as reported from now on.
        """
        current = (self.spent, self.relayed, self.zone_spent)
        changes = tuple(a != b for a, b in zip(current, self.reported))
        self.reported = current
        return changes

    @property
    def is_near_limit(self) -> bool:
        """Whether the workspace is near its limit."""
        return self.level < NEAR_LIMIT_PART * self.burst
