"""The members to which a node sends heartbeats, its neighbours.

The neighbours are the two successors on the hash ring of the node's own zone
and one member in each of two other zones. Callers pass only eligible members,
so the next member on the ring takes the place of a dead one.
"""

from collections.abc import Iterable, Mapping, Sequence

import xxhash

from jayseam.core import rendezvous

RING_SUCCESSORS = 2
REMOTE_NEIGHBOURS = 2
# Members of a zone that pass other members' changes on to other zones.
CARRIERS_PER_ZONE = 4


def order_ring(vms: Iterable[str]) -> list[str]:
    """Returns the VMs in the order of their hashes."""
    return sorted(vms, key=lambda vm: (xxhash.xxh64_intdigest(vm.encode()), vm))


def find_successors(
    own: str, vms: Iterable[str], count: int = RING_SUCCESSORS
) -> list[str]:
    """Returns the VMs that follow ``own`` on the hash ring.

    >>> find_successors('a', ['a', 'b'])
    ['b']
    >>> find_successors('a', [])
    []
    """
    ring = order_ring({own, *vms})
    start = ring.index(own) + 1
    return (ring[start:] + ring[: start - 1])[:count]


def find_remote_neighbours(
    own: str, zones: Mapping[str, Sequence[str]]
) -> list[str]:
    """Returns one VM in each of two other zones.

    Args:
      own: Name of the node's VM.
      zones: VMs by zone, without the node's own zone.
    """
    filled = [zone for zone, vms in zones.items() if vms]
    chosen = rendezvous.rank(own, filled)[:REMOTE_NEIGHBOURS]
    return [rendezvous.rank(own, zones[zone])[0] for zone in chosen]


def find_neighbours(
    own: str, own_zone: str, zones: Mapping[str, Sequence[str]]
) -> tuple[str, ...]:
    """Returns the neighbours of a node.

    Args:
      own: Name of the node's VM.
      own_zone: Its availability zone.
      zones: VMs by zone, including the own zone.
    """
    others = {zone: vms for zone, vms in zones.items() if zone != own_zone}
    successors = find_successors(own, zones.get(own_zone, ()))
    return tuple(successors + find_remote_neighbours(own, others))


def is_carrier(own: str, own_zone: str, vms: Iterable[str]) -> bool:
    """Returns whether a node passes changes of others on to other zones.

    If all did, each change would cross zones once for each node of the fleet.

    Args:
      own: Name of the node's VM.
      own_zone: Its availability zone.
      vms: Live VMs of the zone.

    >>> vms = [f'vm-{i}' for i in range(9)]
    >>> sum(is_carrier(vm, 'a', vms) for vm in vms)
    4
    """
    ranked = rendezvous.rank(own_zone, {own, *vms})
    return own in ranked[:CARRIERS_PER_ZONE]
