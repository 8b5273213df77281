"""A deterministic model that compares ways to spread one new version.

It models announcements, pulls and heartbeats between nodes as delays on a
queue of events, for one publication. It is no cluster simulator: there are no
calls, no failures of links, and a dead node just stays silent. Run
``python -m jayseam.distribution.models`` for the table of the design page.
"""

import abc
import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

import attrs

from jayseam.core import registries
from jayseam.core import rendezvous

DESIGNS: registries.Registry['type[Design]'] = registries.Registry('design')

READERS_PER_ZONE = 2
WATCH_WAIT_S = 10.0
HEARTBEAT_S = 1.0
# A neighbour is declared dead after this much silence; see `detection`.
DEATH_SEEN_S = 3.0
ANNOUNCE_BYTES = 110
HEARTBEAT_BYTES = 160
_IN_ZONE_S = 0.0005
_CROSS_ZONE_S = 0.02
_PROCESSING_S = 0.003
_SOURCE_S = 0.005
_TREE_DEGREE = 8
_GOSSIP_FANOUT = 2
_HORIZON_S = 120.0


@attrs.frozen
class Setting:
    """One publication in a fleet.

    Attributes:
      nodes: Number of nodes.
      zones: Number of availability zones.
      changed_bytes: Compressed bytes of the changed parts and the manifest.
      deaths: Who dies just as the version is published: ``none``,
        ``readers`` (those of each zone) or ``relays`` (as many others).
      seed: Seed of delays and choices.
    """

    nodes: int = 670
    zones: int = 6
    changed_bytes: int = 4000
    deaths: str = 'none'
    seed: int = 1


@attrs.frozen
class Outcome:
    """What one design did.

    Attributes:
      p99_s: Time until 99 in 100 live nodes held the version, in seconds.
      slowest_s: Time until all did.
      rest_bytes_per_s: Bytes sent by a node each second at rest.
      change_bytes: Bytes sent by a node for the publication, on average.
      source_reads_per_s: Reads of the source at rest, whole fleet.
      source_burst: Reads of the source for the publication, whole fleet.
      source_bytes: Bytes that the source sends for the publication.
    """

    p99_s: float
    slowest_s: float
    rest_bytes_per_s: float
    change_bytes: float
    source_reads_per_s: float
    source_burst: int
    source_bytes: int


class Design(abc.ABC):
    """Base of the designs: a fleet and its queue of events.

    Args:
      setting: The fleet and what happens to it.
    """

    def __init__(self, setting: Setting):
        self.setting = setting
        self.random = random.Random(setting.seed)
        self.names = [f'vm-{i}' for i in range(setting.nodes)]
        self.zone = {n: i % setting.zones for i, n in enumerate(self.names)}
        self.members: dict[int, list[str]] = {}
        for name in self.names:
            self.members.setdefault(self.zone[name], []).append(name)
        self.dead: set[str] = set()
        self.held: dict[str, float] = {}
        self.pulling: set[str] = set()
        self.sent_bytes = 0
        self.source_burst = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def readers(self) -> list[str]:
        """Returns the nodes that watch the source."""
        return [
            name
            for zone, names in self.members.items()
            for name in rendezvous.rank(str(zone), names)[:READERS_PER_ZONE]
        ]

    def rest_messages_per_s(self) -> float:
        """Returns the heartbeats that a node sends each second."""
        return 0.0

    @abc.abstractmethod
    def publish(self) -> None:
        """Schedules what happens when the version is published."""

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def read_source(self, name: str, now: float) -> None:
        """Has a node read the version from the source."""
        self.source_burst += 2
        self.at(now + _SOURCE_S, lambda at: self.take(name, at))

    def offer(self, sender: str, receiver: str, now: float) -> None:
        """Announces the version to a node, which pulls it if it lacks it."""
        self.sent_bytes += ANNOUNCE_BYTES
        delay = self._delay(sender, receiver)
        self.at(now + delay, lambda at: self._pull(sender, receiver, at))

    def take(self, name: str, now: float) -> None:
        """Puts the version in force at a node, and passes it on."""
        if name in self.dead or name in self.held:
            return
        self.held[name] = now
        self.forward(name, now)

    def forward(self, name: str, now: float) -> None:
        """Passes the version on from a node that has just got it."""

    def run(self) -> Outcome:
        """Runs the publication and returns the outcome."""
        self.dead = self._choose_dead()
        self.publish()
        while self._events:
            time, _, action = heapq.heappop(self._events)
            if time > _HORIZON_S:
                break
            action(time)
        alive = [name for name in self.names if name not in self.dead]
        times = sorted(self.held.get(n, float('inf')) for n in alive)
        readers = len(self.readers())
        return Outcome(
            times[max(0, round(0.99 * len(times)) - 1)],
            times[-1],
            self.rest_messages_per_s() * HEARTBEAT_BYTES,
            self.sent_bytes / len(alive),
            readers / WATCH_WAIT_S,
            self.source_burst,
            self.source_burst // 2 * self.setting.changed_bytes,
        )

    def _choose_dead(self) -> set[str]:
        """Returns the same nodes for every design."""
        first = {'none': 0, 'readers': 0, 'relays': READERS_PER_ZONE}
        last = {'none': 0, 'readers': READERS_PER_ZONE}
        start = first[self.setting.deaths]
        end = last.get(self.setting.deaths, 2 * READERS_PER_ZONE)
        return {
            name
            for zone, names in self.members.items()
            for name in rendezvous.rank(str(zone), names)[start:end]
        }

    def _pull(self, sender: str, receiver: str, now: float) -> None:
        # A node pulls from one holder at a time.
        if receiver in self.dead | self.held.keys() | self.pulling:
            return
        self.pulling.add(receiver)
        self.sent_bytes += ANNOUNCE_BYTES + self.setting.changed_bytes
        done = now + 2 * self._delay(receiver, sender) + _PROCESSING_S
        self.at(done, lambda at: self.take(receiver, at))

    def _delay(self, one: str, other: str) -> float:
        same = self.zone[one] == self.zone[other]
        base = _IN_ZONE_S if same else _CROSS_ZONE_S
        return base * self.random.uniform(1.0, 2.0)


@DESIGNS.register('all-watch')
class AllWatch(Design):
    """Every node watches the source."""

    def readers(self) -> list[str]:
        return list(self.names)

    def publish(self) -> None:
        for name in self.names:
            if name not in self.dead:
                self.read_source(name, self.random.uniform(0.0, 0.005))


class _WithReaders(Design):
    """Designs in which few nodes read; others take over after a death."""

    def publish(self) -> None:
        start = DEATH_SEEN_S if self.setting.deaths == 'readers' else 0.0
        for names in self.members.values():
            alive = [name for name in names if name not in self.dead]
            zone = str(self.zone[names[0]])
            for name in rendezvous.rank(zone, alive)[:READERS_PER_ZONE]:
                delay = self.random.uniform(0.0, 0.005)
                self.read_source(name, start + delay)


@DESIGNS.register('tree')
class Tree(_WithReaders):
    """Readers push down a fixed tree in their zone.

    A dead relay cuts off its subtree until its death is noticed; then the tree
    is built anew without the dead.
    """

    def rest_messages_per_s(self) -> float:
        return 2.0 / HEARTBEAT_S

    def forward(self, name: str, now: float) -> None:
        self._push(name, now)
        if now < DEATH_SEEN_S and self.dead:
            self.at(DEATH_SEEN_S, lambda at: self._push(name, at))

    def _push(self, name: str, now: float) -> None:
        order = rendezvous.rank(
            str(self.zone[name]),
            [
                peer
                for peer in self.members[self.zone[name]]
                if now < DEATH_SEEN_S or peer not in self.dead
            ],
        )
        first = order.index(name) * _TREE_DEGREE + 1
        for child in order[first : first + _TREE_DEGREE]:
            if child not in self.held:
                self.offer(name, child, now)


@DESIGNS.register('gossip')
class Gossip(_WithReaders):
    """Readers only; others learn by periodic exchange with random peers."""

    def rest_messages_per_s(self) -> float:
        return _GOSSIP_FANOUT / HEARTBEAT_S

    def publish(self) -> None:
        super().publish()
        for name in self.names:
            phase = self.random.uniform(0.0, HEARTBEAT_S)
            self.at(phase, lambda at, n=name: self._round(n, at))

    def _round(self, name: str, now: float) -> None:
        if name in self.dead or len(self.held) + len(self.dead) >= len(
            self.names
        ):
            return
        for peer in self.random.sample(self.names, _GOSSIP_FANOUT):
            if name in self.held:
                self.offer(name, peer, now)
            elif peer in self.held and peer not in self.dead:
                self.offer(peer, name, now)
        self.at(now + HEARTBEAT_S, lambda at: self._round(name, at))


@DESIGNS.register('hybrid')
class Hybrid(_WithReaders):
    """Readers, a push to neighbours, and heartbeats that reconcile."""

    def rest_messages_per_s(self) -> float:
        # Two neighbours in the zone and two elsewhere, and as many that have
        # chosen this node.
        return 4.0 / HEARTBEAT_S

    def publish(self) -> None:
        super().publish()
        for name in self.names:
            phase = self.random.uniform(0.0, HEARTBEAT_S)
            self.at(phase, lambda at, n=name: self._heartbeat(n, at))

    def forward(self, name: str, now: float) -> None:
        for peer in self._links(name):
            self.offer(name, peer, now)

    def _heartbeat(self, name: str, now: float) -> None:
        """Offers the version to a neighbour that lacks it; bytes are rest."""
        if len(self.held) + len(self.dead) >= len(self.names):
            return
        if name in self.held:
            for peer in self._links(name):
                if peer not in self.held:
                    self.offer(name, peer, now)
        self.at(now + HEARTBEAT_S, lambda at: self._heartbeat(name, at))

    def _links(self, name: str) -> Iterable[str]:
        zone = self.zone[name]
        ring = self.members[zone]
        at = ring.index(name)
        for step in (1, 2, -1, -2):
            yield ring[(at + step) % len(ring)]
        others = [z for z in self.members if z != zone]
        for other in rendezvous.rank(name, map(str, others))[:2]:
            yield rendezvous.rank(name, self.members[int(other)])[0]


def compare_designs(setting: Setting) -> dict[str, Outcome]:
    """Returns the outcome of each design for one setting.

    >>> outcomes = compare_designs(Setting(nodes=24, zones=3))
    >>> sorted(outcomes)
    ['all-watch', 'gossip', 'hybrid', 'tree']
    """
    return {name: DESIGNS.get(name)(setting).run() for name in DESIGNS.names()}


def main() -> None:
    """Prints a table for calm, for dying readers and for dying relays."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--nodes', type=int, default=670)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for deaths in ('none', 'readers', 'relays'):
        setting = Setting(options.nodes, deaths=deaths, seed=options.seed)
        print(f'nodes {options.nodes} seed {options.seed} deaths {deaths}')
        for name, outcome in compare_designs(setting).items():
            fields = attrs.asdict(outcome).items()
            print(f'  {name:10}', *(f'{k}={v:.4g}' for k, v in fields))


if __name__ == '__main__':
    main()
