"""Tests of whom a node tells, alone and in a model of a large fleet."""

import heapq
import random

import attrs
import pytest

from jayseam.core import rendezvous
from jayseam.distribution import exchange
from jayseam.distribution import spreading
from jayseam.membership import topology

# Time after which a key that was not confirmed is refused: nine tenths of the
# operators' bound of five seconds.
_KEYS_TRUSTED_S = 4.5
_READERS = 4
# Longest waits of the watches of the first reader of a zone and of the others.
_FIRST_CONFIRMS_S = 1.5
_OTHERS_CONFIRM_S = 3.0
_HOP_S = 0.005
_SETTLED_S = 8.0
_END_S = 20.0


@attrs.define(slots=False)
class _Fleet:
    """A model of nodes that pass on when the source was confirmed last.

    Attributes:
      zones: VMs by zone.
      unconfirmed: VMs that the source doesn't answer.
      isolated: VMs that nobody reaches.
      messages: Heartbeats sent.
      worst_age_s: Greatest age of a confirmation after the start.
    """

    zones: dict[str, list[str]]
    generator: random.Random
    unconfirmed: frozenset[str] = frozenset()
    isolated: frozenset[str] = frozenset()
    messages: int = 0
    worst_age_s: float = 0.0

    def run(self):
        """Plays the heartbeats of all nodes."""
        confirmed = {vm: 0.0 for vms in self.zones.values() for vm in vms}
        around = {}
        ranks = {}
        for zone, vms in self.zones.items():
            ranked = rendezvous.rank(zone, vms)
            for vm in vms:
                rank = exchange.rank_reader(vm, zone, vms, _READERS)
                ranks[vm] = rank
                others = {z: v for z, v in self.zones.items() if z != zone}
                around[vm] = spreading.Surroundings(
                    topology.find_neighbours(vm, zone, self.zones),
                    [other for other in vms if other != vm],
                    others,
                )
            assert [ranks[vm] for vm in ranked[:_READERS]] == [0, 1, 2, 3]
        queue = []
        for vm in confirmed:
            heapq.heappush(queue, (self.generator.random(), vm, 'beat', 0.0, 0))
            if ranks[vm] is not None and vm not in self.unconfirmed:
                heapq.heappush(
                    queue, (self.generator.random(), vm, 'confirm', 0.0, 0)
                )
        while queue:
            now, vm, kind, value, number = heapq.heappop(queue)
            if now > _END_S:
                return
            if kind == 'confirm':
                # The reply tells of the time at which the store was asked.
                wait_s = _OTHERS_CONFIRM_S if ranks[vm] else _FIRST_CONFIRMS_S
                confirmed[vm] = max(confirmed[vm], now)
                heapq.heappush(queue, (now + wait_s, vm, 'confirm', 0.0, 0))
                continue
            if kind == 'arrive':
                self._record_age(now, confirmed[vm], vm)
                confirmed[vm] = max(confirmed[vm], value)
                continue
            self._record_age(now, confirmed[vm], vm)
            heapq.heappush(queue, (now + 1.0, vm, 'beat', 0.0, number + 1))
            receivers = spreading.list_heartbeat_receivers(
                around[vm], ranks[vm], number
            )
            for receiver in receivers:
                self.messages += 1
                if not {vm, receiver} & self.isolated:
                    heapq.heappush(
                        queue,
                        (now + _HOP_S, receiver, 'arrive', confirmed[vm], 0),
                    )

    def _record_age(self, now, confirmed_at, vm):
        if now >= _SETTLED_S and vm not in self.isolated:
            self.worst_age_s = max(self.worst_age_s, now - confirmed_at)


def _build_fleet(seed, size=195, zones='abcde'):
    vms = [f'10.1.0.{number}' for number in range(size)]
    return _Fleet(
        {z: vms[i :: len(zones)] for i, z in enumerate(zones)},
        random.Random(seed),
    )


def _list_readers(fleet, zone, count=_READERS):
    return frozenset(rendezvous.rank(zone, fleet.zones[zone])[:count])


@pytest.mark.parametrize('seed', range(5))
def test_keys_stay_trusted_in_a_large_fleet(seed):
    """Confirmations crossed zones of 39 neighbour by neighbour."""
    fleet = _build_fleet(seed)
    fleet.run()
    assert fleet.worst_age_s < _KEYS_TRUSTED_S


@pytest.mark.parametrize('seed', range(5))
def test_keys_stay_trusted_where_no_reader_reaches_the_source(seed):
    """The readers of other zones tell those of the zone."""
    fleet = _build_fleet(seed)
    fleet.unconfirmed = _list_readers(fleet, 'a')
    fleet.run()
    assert fleet.worst_age_s < _KEYS_TRUSTED_S


@pytest.mark.parametrize('seed', range(20))
def test_keys_stay_trusted_while_the_first_readers_are_cut_off(seed):
    """Nobody knows yet that they are, so no other node takes their place."""
    fleet = _build_fleet(seed)
    fleet.isolated = _list_readers(fleet, 'a', spreading.FIRST_READERS)
    fleet.run()
    assert fleet.worst_age_s < _KEYS_TRUSTED_S


def test_messages_of_a_node_do_not_grow_with_the_fleet():
    """In large zones the readers tell all, and the others tell few."""
    per_node = []
    for size in (30, 100, 195, 390):
        fleet = _build_fleet(1, size)
        fleet.run()
        per_node.append(fleet.messages / size / _END_S)
    assert max(per_node) < 6.5
    assert per_node[-1] < 1.1 * per_node[-2]


def test_small_zones_tell_neighbours_only():
    """Deployments of a few VMs a zone keep the way they had."""
    around = spreading.Surroundings(
        ['a1', 'b1'], [f'a{i}' for i in range(8)], {'b': ['b1', 'b2']}
    )
    for number in range(2):
        for rank in (None, 0, 3):
            assert spreading.list_heartbeat_receivers(around, rank, number) == {
                'a1',
                'b1',
            }
    assert spreading.list_announcement_receivers(around, False) == {'a1', 'b1'}


def test_only_carriers_announce_to_other_zones():
    """Each version crossed zones once for each node of the fleet."""
    around = spreading.Surroundings(
        ['a1', 'b1'], [f'a{i}' for i in range(20)], {'b': ['b1', 'b2']}
    )
    assert spreading.list_announcement_receivers(around, False) == {'a1'}
    assert 'b1' in spreading.list_announcement_receivers(around, True)
