"""A model of a fleet whose entries choose servers by their own stale reports.

Each entry has its own tables, and learns of a server only from the replies to
its own calls. Servers run calls in the order of their arrival, as many at once
as they have slots. All random numbers come from one seed.
"""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs

from jayseam.routing import digests
from jayseam.routing import expectations
from jayseam.routing import loads
from jayseam.routing import selection
from jayseam.routing import speeds as speed_tables

ZONES = ('a', 'b', 'c')
SLOTS = 6
SERVICE_S = 0.09
# Spread of the logarithm of the service times.
SPREAD = 0.8
OBJECTIVE_S = 0.255
# One-way delays to a server of the own zone and of another one, in seconds.
NEAR_S = 0.0002
FAR_S = 0.0009
# Time without counts, in which entries learn the speeds.
WARM_UP_S = 6.0
SPEED_WEIGHT = 0.1


@attrs.define
class Server:
    """A backend server with its ingress.

    Attributes:
      vm: Name of its VM.
      zone: Zone of its VM.
      speed: Speed, over the mean of the servers.
      room: Calls that it runs at once; it resets others. None for a server
        that lets them wait.
      running: Number of calls that run.
      queue: Calls that wait.
      mean_s: Mean service time that it reports.
      calls: Number of calls that it got after the warm-up.
      busy_s: Sum of the service times of these calls.
      resets: Number of calls that it reset after the warm-up.
    """

    vm: str
    zone: str
    speed: float
    room: int | None = None
    running: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)
    mean_s: float = 0.0
    calls: int = 0
    busy_s: float = 0.0
    resets: int = 0

    @property
    def load(self) -> float:
        """Calls in flight and queued, over the slots."""
        return (self.running + len(self.queue)) / SLOTS

    def record_time(self, service_s: float) -> None:
        """Adds a service time to the mean."""
        weight = SPEED_WEIGHT if self.mean_s else 1.0
        self.mean_s += weight * (service_s - self.mean_s)


@attrs.define
class Entry:
    """Tables of one entry node.

    Attributes:
      zone: Zone of the node.
      heard_until: Time from which reports no longer reach its tables, in
        seconds.
      table: Loads as it knows them.
      speeds: Speeds as it knows them.
      cache: Capacities that follow from the speeds.
    """

    zone: str
    heard_until: float = math.inf
    table: loads.LoadTable = attrs.field(factory=loads.LoadTable)
    speeds: speed_tables.SpeedTable = attrs.field(
        factory=speed_tables.SpeedTable
    )
    cache: expectations.CapacityCache = attrs.field(
        default=attrs.Factory(
            lambda self: expectations.CapacityCache(self.speeds),
            takes_self=True,
        )
    )


@attrs.frozen
class Outcome:
    """What a run counted after its warm-up.

    Attributes:
      in_time: Share of the calls that were answered within the objective.
      crossings: Share of the calls that went to another zone.
      servers: The servers, with their counts.
      duration_s: Time counted, in seconds.
    """

    in_time: float
    crossings: float
    servers: tuple[Server, ...]
    duration_s: float

    def list_utilizations(self) -> list[float]:
        """Returns the offered work of each server over its slots."""
        return [
            server.busy_s / self.duration_s / SLOTS for server in self.servers
        ]


def build_servers(
    count: int = 16, speed_values: Sequence[float] = (0.6, 1.0, 1.4)
) -> list[Server]:
    """Returns servers in all zones whose speeds are mixed in each zone."""
    return [
        Server(
            f'vm-{number:02}',
            ZONES[number % len(ZONES)],
            speed_values[number // len(ZONES) % len(speed_values)],
        )
        for number in range(count)
    ]


def compute_capacity(servers: Sequence[Server]) -> float:
    """Returns the calls per second that servers can answer together."""
    return sum(server.speed * SLOTS / SERVICE_S for server in servers)


@attrs.frozen
class _Call:
    """A call on its way.

    Attributes:
      entry: Entry that took it.
      server: Server that the entry chose.
      began: Time of its arrival at the entry, in seconds.
      service_s: Time that it runs, in seconds.
    """

    entry: Entry
    server: Server
    began: float
    service_s: float

    @property
    def delay_s(self) -> float:
        """One-way delay between entry and server, in seconds."""
        return NEAR_S if self.entry.zone == self.server.zone else FAR_S


class Fleet:
    """Entries, servers, and the calls between them.

    Args:
      strategy: Name of the selection strategy.
      servers: The servers.
      rates_per_s: Calls per second that arrive at the entries of each zone.
      zone_price: Price of calls to other zones.
      entries_per_zone: Number of entries in each zone.
      duration_s: Time after the warm-up, in seconds.
      seed: Seed of all random numbers.
      with_digests: Whether replies within a zone carry loads of other servers.
      deaf_share: Part of the entries that get no reports after the warm-up.
    """

    def __init__(
        self,
        strategy: str,
        servers: Sequence[Server],
        rates_per_s: Mapping[str, float],
        zone_price: float = 0.3,
        entries_per_zone: int = 21,
        duration_s: float = 10.0,
        seed: int = 1,
        with_digests: bool = False,
        deaf_share: float = 0.0,
    ):
        self._with_digests = with_digests
        self._deaf_entries = round(deaf_share * entries_per_zone)
        # One entry stands for the ingress of each server.
        self._hosts: dict[str, Entry] = {}
        self._zone_vms = {
            zone: {server.vm for server in servers if server.zone == zone}
            for zone in ZONES
        }
        self._strategy = strategy
        self._servers = {server.vm: server for server in servers}
        self._rates_per_s = rates_per_s
        self._zone_price = zone_price
        self._entries_per_zone = entries_per_zone
        self._end = WARM_UP_S + duration_s
        self._rng = random.Random(seed)
        self._pool = selection.group_candidates(
            [selection.Candidate(s.vm, s.vm, s.zone, SLOTS) for s in servers],
            {},
        )
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._counts: collections.Counter[str] = collections.Counter()

    def run(self) -> Outcome:
        """Runs all calls and returns what was counted."""
        for zone in self._rates_per_s:
            entries = [Entry(zone) for _ in range(self._entries_per_zone)]
            for number, entry in enumerate(entries):
                if number < self._deaf_entries:
                    entry.heard_until = WARM_UP_S
                self._schedule(self._rng.random(), self._arrive, entry)
            self._hosts.update(zip(sorted(self._zone_vms[zone]), entries))
        while self._events and self._events[0][0] < self._end + 1.0:
            at, _, action, arguments = heapq.heappop(self._events)
            action(at, *arguments)
        return Outcome(
            self._counts['in_time'] / self._counts['calls'],
            self._counts['far'] / self._counts['calls'],
            tuple(self._servers.values()),
            self._end - WARM_UP_S,
        )

    def _schedule(self, at: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _is_counted(self, began: float) -> bool:
        return WARM_UP_S <= began < self._end

    def _choose(self, entry: Entry, now: float) -> Server:
        outlook = expectations.Outlook(
            entry.cache, 's', 'w', OBJECTIVE_S, self._zone_price
        )
        view = selection.LoadView(entry.table, None, now, outlook=outlook)
        draws = [self._rng.random() for _ in range(selection.DRAWS_PER_CHOICE)]
        decision = selection.decide(
            self._pool, view, entry.zone, draws, strategy=self._strategy
        )
        return self._servers[decision.candidate.vm]

    def _arrive(self, now: float, entry: Entry) -> None:
        rate_per_s = self._rates_per_s[entry.zone] / self._entries_per_zone
        next_at = now + self._rng.expovariate(rate_per_s)
        self._schedule(next_at, self._arrive, entry)
        server = self._choose(entry, now)
        entry.table.record_call_start(server.vm)
        service_s = SERVICE_S / server.speed
        service_s *= self._rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        call = _Call(entry, server, now, service_s)
        if self._is_counted(now):
            self._counts['calls'] += 1
            self._counts['far'] += entry.zone != server.zone
            server.calls += 1
            server.busy_s += service_s
        self._schedule(now + call.delay_s, self._receive, call)

    def _receive(self, now: float, call: _Call) -> None:
        server = call.server
        if server.room is not None and server.running >= server.room:
            server.resets += self._is_counted(call.began)
            self._schedule(
                now + call.delay_s, self._reply, call, server.load, True
            )
        elif server.running < SLOTS:
            self._start(now, call)
        else:
            server.queue.append(call)

    def _start(self, now: float, call: _Call) -> None:
        call.server.running += 1
        self._schedule(now + call.service_s, self._finish, call)

    def _finish(self, now: float, call: _Call) -> None:
        server = call.server
        server.running -= 1
        server.record_time(call.service_s)
        if server.queue:
            self._start(now, server.queue.popleft())
        self._schedule(
            now + call.delay_s, self._reply, call, server.load, False
        )

    def _reply(
        self, now: float, call: _Call, load: float, was_reset: bool
    ) -> None:
        entry, server = call.entry, call.server
        if now < entry.heard_until:
            self._record_report(now, call, load, was_reset)
        entry.table.record_call_end(server.vm)
        if self._is_counted(call.began) and not was_reset:
            self._counts['in_time'] += now - call.began <= OBJECTIVE_S

    def _record_report(
        self, now: float, call: _Call, load: float, was_reset: bool
    ) -> None:
        entry, server = call.entry, call.server
        report = loads.ReportedLoad(
            load, load, load, server.mean_s, server.mean_s, SLOTS
        )
        entry.table.record_report(server.vm, '', report, now)
        entry.speeds.record_reply(
            server.vm, 'w', server.mean_s, SLOTS, load, now
        )
        if was_reset:
            entry.speeds.record_reset(server.vm, load * SLOTS + 1, now)
        host = self._hosts.get(server.vm)
        if (
            self._with_digests
            and host is not None
            and server.zone == entry.zone
        ):
            vms = self._zone_vms[entry.zone]
            items = digests.collect(host.table, vms, now)
            digests.merge(entry.table, entry.speeds, items, vms, now)


def run(*arguments: Any, **options: Any) -> Outcome:
    """Runs a fleet; takes the arguments of `Fleet`."""
    return Fleet(*arguments, **options).run()
