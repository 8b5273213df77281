"""A discrete-event model that compares designs for distributing a new version.

For one publication, announcements, pulls and heartbeats between nodes are
events with delays. The model has no calls and no link failures, and a dead node
merely sends nothing. It is deterministic for a given seed. Run
``python -m jayseam.distribution.models`` for the table of the design document.
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
HEARTBEAT_INTERVAL_S = 1.0
# A neighbour is declared dead after it has been silent for this time; see
# `jayseam.membership.detection`.
DEATH_DETECTION_S = 3.0
ANNOUNCE_BYTES = 110
HEARTBEAT_BYTES = 160
_ZONE_DELAY_S = 0.0005
_CROSS_ZONE_DELAY_S = 0.02
_PROCESSING_S = 0.003
_SOURCE_READ_S = 0.005
_TREE_DEGREE = 8
_GOSSIP_FANOUT = 2
_HORIZON_S = 120.0


@attrs.frozen
class Scenario:
    """One publication in a fleet.

    Attributes:
      nodes: Number of nodes.
      zones: Number of availability zones.
      changed_bytes: Compressed bytes of the changed parts and the manifest.
      deaths: Nodes that die when the version is published: ``none``,
        ``readers`` (those of each zone) or ``relays`` (as many other nodes).
      seed: Seed of the random delays and choices.
    """

    nodes: int = 670
    zones: int = 6
    changed_bytes: int = 4000
    deaths: str = 'none'
    seed: int = 1


@attrs.frozen
class Outcome:
    """Result of one design.

    Attributes:
      p99_s: Time until 99 % of the live nodes held the version, in seconds.
      slowest_s: Time until all live nodes held the version, in seconds.
      rest_bytes_per_s: Bytes that a node sends per second while no version
        changes.
      change_bytes: Bytes that a node sends for the publication, on average.
      source_reads_per_s: Reads of the source per second by the whole fleet
        while no version changes.
      source_burst: Reads of the source by the whole fleet for the publication.
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
    """Base class of the designs: a fleet and its event queue.

    Args:
      scenario: The fleet and the nodes that die.
    """

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.names = [f'vm-{i}' for i in range(scenario.nodes)]
        self.zones = {n: i % scenario.zones for i, n in enumerate(self.names)}
        self.zone_members: dict[int, list[str]] = {}
        for name in self.names:
            self.zone_members.setdefault(self.zones[name], []).append(name)
        self.dead: set[str] = set()
        self.received_at: dict[str, float] = {}
        self.pulling: set[str] = set()
        self.sent_bytes = 0
        self.source_burst = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = itertools.count()

    def list_readers(self) -> list[str]:
        """Returns the nodes that watch the source."""
        return [
            name
            for zone, names in self.zone_members.items()
            for name in rendezvous.rank(str(zone), names)[:READERS_PER_ZONE]
        ]

    def compute_idle_messages_per_s(self) -> float:
        """Returns the number of heartbeats that a node sends per second."""
        return 0.0

    @abc.abstractmethod
    def publish(self) -> None:
        """Schedules the events that the publication causes."""

    def schedule(self, time: float, action: Callable[[float], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._events, (time, next(self._event_numbers), action))

    def read_source(self, name: str, now: float) -> None:
        """Schedules the receipt of the version from the source."""
        self.source_burst += 2
        self.schedule(
            now + _SOURCE_READ_S, lambda time: self.accept(name, time)
        )

    def announce(self, sender: str, receiver: str, now: float) -> None:
        """Announces the version to a node, which pulls it if it is missing."""
        self.sent_bytes += ANNOUNCE_BYTES
        delay = self._draw_delay_s(sender, receiver)
        self.schedule(
            now + delay, lambda time: self._pull(sender, receiver, time)
        )

    def accept(self, name: str, now: float) -> None:
        """Puts the version in force at a live node, which then forwards it."""
        if name in self.dead or name in self.received_at:
            return
        self.received_at[name] = now
        self.forward(name, now)

    def forward(self, name: str, now: float) -> None:
        """Forwards the version from a node that has just received it."""

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
        times = sorted(self.received_at.get(n, float('inf')) for n in alive)
        readers = len(self.list_readers())
        return Outcome(
            times[max(0, round(0.99 * len(times)) - 1)],
            times[-1],
            self.compute_idle_messages_per_s() * HEARTBEAT_BYTES,
            self.sent_bytes / len(alive),
            readers / WATCH_WAIT_S,
            self.source_burst,
            self.source_burst // 2 * self.scenario.changed_bytes,
        )

    def _choose_dead(self) -> set[str]:
        """Returns the nodes that die, which are the same for every design."""
        first = {'none': 0, 'readers': 0, 'relays': READERS_PER_ZONE}
        last = {'none': 0, 'readers': READERS_PER_ZONE}
        start = first[self.scenario.deaths]
        end = last.get(self.scenario.deaths, 2 * READERS_PER_ZONE)
        return {
            name
            for zone, names in self.zone_members.items()
            for name in rendezvous.rank(str(zone), names)[start:end]
        }

    def _pull(self, sender: str, receiver: str, now: float) -> None:
        # A node pulls from one holder at a time.
        if receiver in self.dead | self.received_at.keys() | self.pulling:
            return
        self.pulling.add(receiver)
        self.sent_bytes += ANNOUNCE_BYTES + self.scenario.changed_bytes
        done = now + 2 * self._draw_delay_s(receiver, sender) + _PROCESSING_S
        self.schedule(done, lambda time: self.accept(receiver, time))

    def _draw_delay_s(self, one: str, other: str) -> float:
        same = self.zones[one] == self.zones[other]
        base = _ZONE_DELAY_S if same else _CROSS_ZONE_DELAY_S
        return base * self.random.uniform(1.0, 2.0)


@DESIGNS.register('all-watch')
class AllWatch(Design):
    """Every node watches the source."""

    def list_readers(self) -> list[str]:
        return list(self.names)

    def publish(self) -> None:
        for name in self.names:
            if name not in self.dead:
                self.read_source(name, self.random.uniform(0.0, 0.005))


class _ReaderDesign(Design):
    """Designs in which few nodes read the source; others replace dead ones."""

    def publish(self) -> None:
        start = DEATH_DETECTION_S if self.scenario.deaths == 'readers' else 0.0
        for names in self.zone_members.values():
            alive = [name for name in names if name not in self.dead]
            zone = str(self.zones[names[0]])
            for name in rendezvous.rank(zone, alive)[:READERS_PER_ZONE]:
                delay = self.random.uniform(0.0, 0.005)
                self.read_source(name, start + delay)


@DESIGNS.register('tree')
class Tree(_ReaderDesign):
    """Readers push the version down a fixed tree in their zone.

    A dead inner node cuts off its subtree until its death is detected; then the
    tree is rebuilt without the dead nodes.
    """

    def compute_idle_messages_per_s(self) -> float:
        return 2.0 / HEARTBEAT_INTERVAL_S

    def forward(self, name: str, now: float) -> None:
        self._push(name, now)
        if now < DEATH_DETECTION_S and self.dead:
            self.schedule(
                DEATH_DETECTION_S, lambda time: self._push(name, time)
            )

    def _push(self, name: str, now: float) -> None:
        order = rendezvous.rank(
            str(self.zones[name]),
            [
                peer
                for peer in self.zone_members[self.zones[name]]
                if now < DEATH_DETECTION_S or peer not in self.dead
            ],
        )
        first = order.index(name) * _TREE_DEGREE + 1
        for child in order[first : first + _TREE_DEGREE]:
            if child not in self.received_at:
                self.announce(name, child, now)


@DESIGNS.register('gossip')
class Gossip(_ReaderDesign):
    """Nodes exchange versions with random peers periodically."""

    def compute_idle_messages_per_s(self) -> float:
        return _GOSSIP_FANOUT / HEARTBEAT_INTERVAL_S

    def publish(self) -> None:
        super().publish()
        for name in self.names:
            phase = self.random.uniform(0.0, HEARTBEAT_INTERVAL_S)
            self.schedule(phase, lambda time, n=name: self._gossip(n, time))

    def _gossip(self, name: str, now: float) -> None:
        if name in self.dead or len(self.received_at) + len(self.dead) >= len(
            self.names
        ):
            return
        for peer in self.random.sample(self.names, _GOSSIP_FANOUT):
            if name in self.received_at:
                self.announce(name, peer, now)
            elif peer in self.received_at and peer not in self.dead:
                self.announce(peer, name, now)
        self.schedule(
            now + HEARTBEAT_INTERVAL_S, lambda time: self._gossip(name, time)
        )


@DESIGNS.register('hybrid')
class Hybrid(_ReaderDesign):
    """Nodes push versions to neighbours; heartbeats reconcile the rest."""

    def compute_idle_messages_per_s(self) -> float:
        # A node has two neighbours in its zone and two in other zones, and as
        # many nodes have chosen it as their neighbour.
        return 4.0 / HEARTBEAT_INTERVAL_S

    def publish(self) -> None:
        super().publish()
        for name in self.names:
            phase = self.random.uniform(0.0, HEARTBEAT_INTERVAL_S)
            self.schedule(phase, lambda time, n=name: self._heartbeat(n, time))

    def forward(self, name: str, now: float) -> None:
        for peer in self._list_neighbours(name):
            self.announce(name, peer, now)

    def _heartbeat(self, name: str, now: float) -> None:
        """Announces the version to neighbours without it.

        The bytes of the heartbeat itself count as idle traffic.
        """
        if len(self.received_at) + len(self.dead) >= len(self.names):
            return
        if name in self.received_at:
            for peer in self._list_neighbours(name):
                if peer not in self.received_at:
                    self.announce(name, peer, now)
        self.schedule(
            now + HEARTBEAT_INTERVAL_S, lambda time: self._heartbeat(name, time)
        )

    def _list_neighbours(self, name: str) -> Iterable[str]:
        zone = self.zones[name]
        ring = self.zone_members[zone]
        at = ring.index(name)
        for step in (1, 2, -1, -2):
            yield ring[(at + step) % len(ring)]
        others = [z for z in self.zone_members if z != zone]
        for other in rendezvous.rank(name, map(str, others))[:2]:
            yield rendezvous.rank(name, self.zone_members[int(other)])[0]


def compare_designs(scenario: Scenario) -> dict[str, Outcome]:
    """Returns the outcome of each design for one scenario.

    >>> outcomes = compare_designs(Scenario(nodes=24, zones=3))
    >>> sorted(outcomes)
    ['all-watch', 'gossip', 'hybrid', 'tree']
    """
    return {
        name: DESIGNS.get(name)(scenario).run() for name in DESIGNS.list_names()
    }


def main() -> None:
    """Prints results without deaths, with dead readers and with dead relays."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--nodes', type=int, default=670)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for deaths in ('none', 'readers', 'relays'):
        scenario = Scenario(options.nodes, deaths=deaths, seed=options.seed)
        print(f'nodes {options.nodes} seed {options.seed} deaths {deaths}')
        for name, outcome in compare_designs(scenario).items():
            fields = attrs.asdict(outcome).items()
            print(f'  {name:10}', *(f'{k}={v:.4g}' for k, v in fields))


if __name__ == '__main__':
    main()
