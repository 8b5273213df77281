"""Whom a node tells of versions, and of their confirmations.

In a small zone each node tells its neighbours. In a large zone that takes
several rounds, and crosses zones once for each node. There the readers tell
their whole zone and the readers of others, and all other nodes tell neighbours
of their zone less often, for the case that its readers can't be reached.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs

from jayseam.core import rendezvous

# Most VMs of a zone in which each node tells its neighbours only.
MAX_SMALL_ZONE = 8
# Readers of a zone that tell those of other zones; the others tell their zone.
FIRST_READERS = 2
# Rounds between the heartbeats of a node of a large zone that is no reader.
ROUNDS_BETWEEN = 4


@attrs.frozen
class Surroundings:
    """The nodes around a node.

    Attributes:
      neighbours: VMs that get heartbeats, in the own zone and in others.
      zone_vms: VMs of the own zone that run, also those that are leaving, with
        or without the own one.
      remote_vms: Live VMs of each other zone.
    """

    neighbours: Collection[str]
    zone_vms: Collection[str]
    remote_vms: Mapping[str, Collection[str]] = attrs.field(factory=dict)

    @property
    def is_zone_large(self) -> bool:
        """Whether the readers tell the whole zone."""
        return len(self.zone_vms) > MAX_SMALL_ZONE

    def list_near(self) -> set[str]:
        """Returns the neighbours in the own zone, or all if none is there."""
        near = set(self.neighbours) & set(self.zone_vms)
        return near or set(self.neighbours)


def list_heartbeat_receivers(
    around: Surroundings, reader_rank: int | None, round_number: int
) -> set[str]:
    """Returns the VMs that get a node's versions and confirmations.

    >>> zone = [f'a{i}' for i in range(20)]
    >>> around = Surroundings(['a1', 'b1'], zone, {'b': ['b1', 'b2']})
    >>> list_heartbeat_receivers(around, None, 0)
    {'a1'}
    >>> list_heartbeat_receivers(around, None, 1)
    set()
    >>> len(list_heartbeat_receivers(around, 0, 1))
    22

    Args:
      around: The nodes around it.
      reader_rank: Its rank among the readers of its zone; None if it is none.
      round_number: Number of the round, one each second.
    """
    if not around.is_zone_large:
        return set(around.neighbours)
    if reader_rank is None:
        is_due = round_number % ROUNDS_BETWEEN == 0
        return around.list_near() if is_due else set()
    receivers = set(around.zone_vms)
    if reader_rank < FIRST_READERS:
        for zone, vms in around.remote_vms.items():
            receivers.update(_find_first_readers(zone, vms))
    return receivers


def list_announcement_receivers(
    around: Surroundings, is_carrier: bool
) -> set[str]:
    """Returns the VMs that are told at once of a version put in force.

    The carriers of a zone are its readers and the nodes that got the version
    from another zone. If all others announced to their zone too, announcements
    would grow with the square of its size; if they announced to other zones,
    each version would cross zones for each node of the fleet.

    >>> zone = [f'a{i}' for i in range(20)]
    >>> around = Surroundings(['a1', 'b1'], zone)
    >>> list_announcement_receivers(around, is_carrier=False)
    {'a1'}
    >>> len(list_announcement_receivers(around, is_carrier=True))
    21

    Args:
      around: The nodes around the node.
      is_carrier: Whether it is a carrier of the version.
    """
    if is_carrier:
        return {*around.neighbours, *around.zone_vms}
    return (
        around.list_near() if around.is_zone_large else set(around.neighbours)
    )


def _find_first_readers(zone: str, vms: Iterable[str]) -> list[str]:
    return rendezvous.rank(zone, vms)[:FIRST_READERS]
