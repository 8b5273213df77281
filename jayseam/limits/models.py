"""A deterministic model of a fleet that runs only the limit protocol.

The nodes are the pure objects of `strategies`. Message delays, kills, restarts,
pauses, partitions, clock drift and load all follow from one seed. Members learn
of deaths and cuts late, each at its own time. The model measures a strategy; it
says nothing of links, tasks or the network stack.

Run ``python -m jayseam.limits.models --nodes 12 --seed 1`` for a comparison.
"""

import argparse
import heapq
import itertools
import json
import random
import timeit
import types
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import cbor2

from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import strategies
from jayseam.limits import wallets

POLL_S = 0.05
IN_ZONE_S = 0.00025
CROSS_ZONE_S = 0.001
JOIN_SEEN_S = 0.5
DEATH_SEEN_S = 3.0
# Bytes of a frame around a message: its header, a request number and a code.
FRAME_BYTES = 12
WARM_UP_S = 8.0
CALL_TIMEOUT_S = 1.0


@attrs.frozen
class Load:
    """One workspace of the model and what it sends.

    Attributes:
      rate_per_s: Its rate in tokens a second.
      burst: Its burst in tokens.
      offered_per_s: Calls a second that it sends.
    """

    rate_per_s: float
    burst: float
    offered_per_s: float


# Two large workspaces, five small ones, and one that sends four times its rate.
DEFAULT_LOADS = types.MappingProxyType(
    {
        'large-1': Load(400.0, 400.0, 280.0),
        'large-2': Load(300.0, 300.0, 210.0),
        'small-1': Load(40.0, 40.0, 24.0),
        'small-2': Load(40.0, 40.0, 24.0),
        'small-3': Load(30.0, 30.0, 15.0),
        'small-4': Load(20.0, 20.0, 10.0),
        'small-5': Load(10.0, 10.0, 2.0),
        'greedy': Load(60.0, 60.0, 240.0),
    }
)


@attrs.define(eq=False)
class _Node:
    """One process of the model."""

    member: cells.Member
    strategy: strategies.Strategy
    drift: float
    offset: float
    alive: bool = True
    paused_until: float = 0.0
    sent: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    waiting: dict[int, tuple[str, float]] = attrs.field(factory=dict)


@attrs.define
class Tally:
    """What happened to the calls of one workspace.

    Attributes:
      offered: Times of the calls.
      zones: Zone of the entry of each call.
      admitted: Times at which calls were admitted.
      refused: Arrival times of the calls that were refused.
      waits: Time that each admitted call waited, in seconds.
    """

    offered: list[float] = attrs.field(factory=list)
    zones: list[str] = attrs.field(factory=list)
    admitted: list[float] = attrs.field(factory=list)
    refused: list[float] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)


@attrs.frozen
class Result:
    """Measurements of one strategy in one scenario.

    Attributes:
      strategy: Name of the strategy.
      scenario: Name of the scenario.
      nodes: Number of positions.
      calls: Calls of workspaces within their rate in the measured period.
      overshoot: Largest excess over ``burst + rate * w`` in any window of the
        whole run, in calls, over all workspaces.
      wrongful: Part of the calls of workspaces within their rate that were
        refused.
      unavoidable: Part of these calls that would be refused if each side of a
        cut had one bucket with the shares of its positions, full at the cut.
      greedy_served: Calls admitted of the workspace over its rate, as a part of
        what a single bucket would have admitted.
      lost_per_s: Tokens that expired unspent, a second, over the fleet.
      wait_mean_ms: Mean wait of admitted calls within the rate.
      wait_p99_ms: 99th percentile of this wait.
      messages: Messages sent by a node in a second, mean.
      sent_bytes: Bytes sent by a node in a second, mean.
      peak_bytes: Bytes sent and received in a second by the busiest node.
    """

    strategy: str
    scenario: str
    nodes: int
    calls: int
    overshoot: float
    wrongful: float
    unavoidable: float
    greedy_served: float
    lost_per_s: float
    wait_mean_ms: float
    wait_p99_ms: float
    messages: float
    sent_bytes: float
    peak_bytes: float


def measure_overshoot(
    times: Iterable[float], rate_per_s: float, burst: float
) -> float:
    """Returns the largest excess over ``burst + rate * w`` in any window.

    >>> measure_overshoot([0.0, 0.0, 0.0], rate_per_s=1.0, burst=2.0)
    1.0
    """
    level, last, worst = burst, None, 0.0
    for time in sorted(times):
        if last is not None:
            level = min(burst, level + (time - last) * rate_per_s)
        level -= 1.0
        last = time
        worst = max(worst, -level)
    return worst


def count_conforming(
    times: Iterable[float], rate_per_s: float, burst: float
) -> int:
    """Returns how many calls a single bucket would have admitted."""
    level, last, count = burst, 0.0, 0
    for time in sorted(times):
        level = min(burst, level + (time - last) * rate_per_s)
        last = time
        if level >= 1.0:
            level -= 1.0
            count += 1
    return count


class Model:
    """A fleet of nodes, events and time.

    Args:
      seed: Seeds everything that is random.
      strategy: Name of the strategy.
      nodes: Number of positions.
      zones: Number of availability zones.
      loads: The workspaces.
      drift: Largest drift of a node's clock, as a part.
      delays: Part of messages that are delayed by up to 3 s.
    """

    def __init__(
        self,
        seed: int,
        strategy: str,
        nodes: int = 12,
        zones: int = 3,
        loads: Mapping[str, Load] = DEFAULT_LOADS,
        drift: float = 0.001,
        delays: float = 0.0,
    ):
        self.random = random.Random(seed)
        # Load of its own source, so that it is the same for every strategy.
        self._load_random = random.Random(seed + 1)
        self.now = 0.0
        self.loads = dict(loads)
        self.tallies = {name: Tally() for name in loads}
        self.nodes: dict[str, _Node] = {}
        self.gone: list[_Node] = []
        self._strategy = strategy
        self._drift = drift
        self._delays = delays
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._calls = itertools.count()
        self._under_way: dict[
            tuple[int, str], tuple[_Node, str, float, float]
        ] = {}
        self._cut: dict[frozenset[str], float] = {}
        self._islands: list[tuple[frozenset[str], float]] = []
        self._died: dict[str, tuple[cells.Member, float]] = {}
        self.zones = {
            f'u{i}': f'zone-{"abcdefgh"[i % zones]}' for i in range(nodes)
        }
        self.preset = types.SimpleNamespace(
            upstreams={
                name: types.SimpleNamespace(zone=zone)
                for name, zone in self.zones.items()
            },
            workspaces=self.loads,
        )
        self._weights = self._skew()
        for upstream in self.zones:
            self._create(f'vm-{upstream}', upstream)
        for node in self.nodes.values():
            self._refresh(node)

    def _skew(self) -> dict[str, dict[str, float]]:
        """Returns the part of each workspace's calls by position.

        Zones get 4, 2, 1, 1, ... parts in an order of each workspace's own, and
        positions within a zone between 0.2 and 1.8 parts.
        """
        weights = {}
        zones = sorted(set(self.zones.values()))
        for name in self.loads:
            order = self._load_random.sample(zones, len(zones))
            parts = dict(zip(order, [4.0, 2.0] + [1.0] * len(zones)))
            weights[name] = {
                upstream: parts[zone] * self._load_random.uniform(0.2, 1.8)
                for upstream, zone in self.zones.items()
            }
        return weights

    # Events.

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def run(self, until: float) -> None:
        """Runs all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def send_load(self, until: float) -> None:
        """Starts the calls of all workspaces."""
        for name in self.loads:
            self._plan_call(name, until)

    def send_pulse(self, workspace: str, calls: int) -> None:
        """Sends calls of one workspace within a tenth of a second."""
        for _ in range(calls):
            after = self.random.uniform(0.0, 0.1)
            self.at(self.now + after, lambda: self._call(workspace))

    # Faults.

    def start(self, vm: str, upstream: str) -> None:
        """Starts a process at a position; others learn of it later."""
        node = self._create(vm, upstream)
        self._refresh(node)
        self._refresh_later(JOIN_SEEN_S)

    def _create(self, vm: str, upstream: str) -> _Node:
        zone = self.zones[upstream]
        member = cells.Member(vm, upstream, next(self._sequence), zone)
        drift = self.random.uniform(-self._drift, self._drift)
        offset = self.random.uniform(0.0, 1e5)
        node = _Node(member, None, drift, offset)
        strategy = strategies.registry.get(self._strategy)
        node.strategy = strategy(
            vm, upstream, zone, member.incarnation, self._local(node)
        )
        self.nodes[vm] = node
        self._died.pop(vm, None)
        node.strategy.set_preset(self.preset, 1, self._local(node))
        self.at(
            self.now + self.random.uniform(0, POLL_S), lambda: self._tick(node)
        )
        return node

    def kill(self, vm: str) -> None:
        """Ends a process without notice."""
        node = self.nodes.pop(vm)
        node.alive = False
        self.gone.append(node)
        self._died[vm] = (node.member, self.now)
        self._refresh_later(DEATH_SEEN_S)

    def pause(self, vm: str, duration_s: float) -> None:
        """Pauses a process; what reaches it waits."""
        node = self.nodes[vm]
        node.paused_until = max(node.paused_until, self.now + duration_s)
        self.at(node.paused_until, lambda: self._resume(node))

    def cut(self, left: str, right: str) -> None:
        """Cuts two zones off from each other."""
        pair = frozenset((left, right))
        self._cut.setdefault(pair, self.now)
        self._refresh_later(DEATH_SEEN_S)

    def isolate(self, vms: Iterable[str]) -> None:
        """Cuts some VMs off from all others, but not from each other."""
        self._islands.append((frozenset(vms), self.now))
        self._refresh_later(DEATH_SEEN_S)

    def silence(self, duration_s: float) -> None:
        """Loses all messages for a time too short for verdicts on members."""
        since = self.now
        self._islands += [(frozenset([vm]), since) for vm in self.nodes]
        self.at(self.now + duration_s, self._islands.clear)

    def heal(self) -> None:
        """Ends all cuts."""
        self._cut.clear()
        self._islands.clear()
        self._refresh_later(JOIN_SEEN_S)

    # Internals.

    def _local(self, node: _Node) -> float:
        return node.offset + self.now * (1 + node.drift)

    def _resume(self, node: _Node) -> None:
        if node.alive and node.paused_until <= self.now:
            node.strategy.drop_expired(self._local(node))

    def _cut_since(self, left: cells.Member, right: cells.Member) -> float:
        """Returns since when two members are cut off; infinity if not."""
        pair = frozenset((left.zone, right.zone))
        since = self._cut.get(pair, float('inf'))
        for island, time in self._islands:
            if (left.vm in island) != (right.vm in island):
                since = min(since, time)
        return since

    def _reaches(self, left: _Node, right: _Node) -> bool:
        return self._cut_since(left.member, right.member) > self.now

    def _refresh_later(self, delay_s: float) -> None:
        """Lets each node learn of a change at a time of its own."""
        for node in list(self.nodes.values()):
            after = delay_s * self.random.uniform(0.8, 1.3)
            self.at(
                self.now + after, lambda n=node: self._awake(n, self._refresh)
            )

    def _awake(self, node: _Node, action: Callable[[_Node], None]) -> None:
        """Runs an action now, or when the node's pause ends."""
        if not node.alive:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until, lambda: self._awake(node, action))
        else:
            action(node)

    def _refresh(self, node: _Node) -> None:
        members = []
        for other in self.nodes.values():
            since = self._cut_since(node.member, other.member)
            if self.now - since < DEATH_SEEN_S * 0.8:
                members.append(other.member)
        for member, died in self._died.values():
            if self.now - died < DEATH_SEEN_S * 0.8:
                members.append(member)
        node.strategy.set_members(members)

    def _tick(self, node: _Node) -> None:
        self._awake(node, self._poll)
        if node.alive:
            self.at(self.now + POLL_S, lambda: self._tick(node))

    def _poll(self, node: _Node) -> None:
        if node.paused_until > self.now:
            return
        for sent in node.strategy.poll(self._local(node)):
            self._send(node, sent)
        self._serve(node)

    def _delay(self, left: str, right: str) -> float:
        base = IN_ZONE_S if left == right else CROSS_ZONE_S
        delay = base * self.random.uniform(1.0, 1.5)
        if self._delays and self.random.random() < self._delays:
            delay += self.random.uniform(0.0, 3.0)
        return delay

    def _carry(
        self, source: _Node, vm: str, message: Any, action: Callable
    ) -> None:
        """Delivers a message to the process that has the VM on arrival."""
        size = FRAME_BYTES + len(
            cbor2.dumps(attrs.astuple(message, recurse=False))
        )
        source.sent += 1
        source.sent_bytes += size
        target = self.nodes.get(vm)
        if target is None:
            return
        if not self._reaches(source, target):
            return

        def arrive():
            found = self.nodes.get(vm)
            if found is not None and self._reaches(source, found):
                found.received_bytes += size
                self._awake(found, action)

        delay = self._delay(source.member.zone, target.member.zone)
        self.at(self.now + delay, arrive)

    def _send(self, node: _Node, sent: strategies.Outgoing) -> None:
        answered: list[Any] = []
        number = next(self._calls)

        def finish(reply: Any) -> None:
            if node.alive and not answered:
                answered.append(True)
                for key in [k for k in self._under_way if k[0] == number]:
                    del self._under_way[key]
                node.strategy.receive(sent, reply, self._local(node))
                self._serve(node)
                if node.waiting:
                    self._poll(node)

        def arrive(target: _Node) -> None:
            reply = target.strategy.answer(
                node.member.vm, sent.message, self._local(target)
            )
            if isinstance(reply, messages.Grant) and not answered:
                for name, amount in reply.amounts.items():
                    self._under_way[(number, name)] = (
                        node,
                        name,
                        amount,
                        sent.asked + pools.BATCH_S,
                    )
            if reply is not None and sent.wants_reply:
                self._carry(
                    target,
                    node.member.vm,
                    reply,
                    lambda n: finish(reply) if n is node else None,
                )

        self._carry(node, sent.vm, sent.message, arrive)
        if sent.wants_reply:
            self.at(
                self.now + strategies.REQUEST_TIMEOUT_S,
                lambda: self._awake(node, lambda _: finish(None)),
            )

    def _plan_call(self, workspace: str, until: float) -> None:
        gap = self._load_random.expovariate(self.loads[workspace].offered_per_s)
        if self.now + gap < until:
            self.at(self.now + gap, lambda: self._next_call(workspace, until))

    def _next_call(self, workspace: str, until: float) -> None:
        self._plan_call(workspace, until)
        self._call(workspace)

    def _call(self, workspace: str) -> None:
        nodes = [n for n in self.nodes.values() if n.paused_until <= self.now]
        if not nodes:
            return
        weights = self._weights[workspace]
        node = self._load_random.choices(
            nodes, [weights[n.member.upstream] for n in nodes]
        )[0]
        tally = self.tallies[workspace]
        tally.offered.append(self.now)
        tally.zones.append(node.member.zone)
        now = self._local(node)
        if node.strategy.admit(workspace, 1.0, now):
            tally.admitted.append(self.now)
            tally.waits.append(0.0)
            return
        call = next(self._calls)
        waiter = wallets.Waiter(call, 1.0, now + strategies.MAX_WAIT_S)
        if not node.strategy.enqueue(workspace, waiter):
            tally.refused.append(self.now)
            return
        node.waiting[call] = (workspace, self.now)
        self.at(
            self.now + strategies.MAX_WAIT_S,
            lambda: self._awake(node, lambda n: self._give_up(n, call)),
        )
        self._poll(node)

    def _give_up(self, node: _Node, call: int) -> None:
        if call in node.waiting:
            workspace, arrived = node.waiting.pop(call)
            node.strategy.withdraw(workspace, call)
            self.tallies[workspace].refused.append(arrived)

    def _serve(self, node: _Node) -> None:
        for call in node.strategy.serve(self._local(node)):
            if call in node.waiting:
                workspace, arrived = node.waiting.pop(call)
                tally = self.tallies[workspace]
                tally.admitted.append(self.now)
                tally.waits.append(self.now - arrived)

    def all_nodes(self) -> Sequence[_Node]:
        """Returns all processes, ended ones included."""
        return [*self.nodes.values(), *self.gone]

    def spendable(self, workspace: str) -> float:
        """Returns all tokens that can be spent now or soon without accrual.

        These are the levels of all pools, the stocks of all entries, and what
        is under way to them. The window bound needs them to stay under the
        burst.
        """
        total = sum(
            amount
            for node, name, amount, expires in self._under_way.values()
            if name == workspace and node.alive and self._local(node) < expires
        )
        for node in self.nodes.values():
            now = self._local(node)
            total += node.strategy.stock(workspace, now)
            total += sum(p.level(workspace, now) for p in node.strategy.pools)
        return total

    def backing(self, workspace: str) -> float:
        """Returns the burst behind all pools; it must not exceed the burst."""
        return sum(
            pool.backing(workspace, self._local(node))
            for node in self.nodes.values()
            for pool in node.strategy.pools
        )

    def overshoot(self) -> float:
        """Returns the largest excess of any workspace, in calls."""
        return max(
            measure_overshoot(
                self.tallies[name].admitted, load.rate_per_s, load.burst
            )
            for name, load in self.loads.items()
        )


def _no_fault(_: Model) -> None:
    """Leaves the fleet in peace."""


def _kill_owner(model: Model) -> None:
    """Kills the node that owns most, which is the worst to lose."""

    def weigh(vm: str) -> float:
        owned = model.nodes[vm].strategy.pools
        return sum(
            share.rate_per_s for p in owned for share in p.totals().values()
        )

    model.kill(max(model.nodes, key=weigh))


def _cut_zone(model: Model) -> None:
    """Cuts the first zone off from all others."""
    zones = sorted(set(model.zones.values()))
    for other in zones[1:]:
        model.cut(zones[0], other)


FAULTS = ('kill', 'kill', 'many', 'pause', 'pause', 'cut', 'island', 'island')

SCENARIOS = types.MappingProxyType(
    {'calm': _no_fault, 'node-death': _kill_owner, 'zone-cut': _cut_zone}
)


def run_scenario(
    seed: int,
    strategy: str,
    scenario: str,
    nodes: int = 12,
    zones: int = 3,
    loads: Mapping[str, Load] = DEFAULT_LOADS,
    duration_s: float = 10.0,
) -> Result:
    """Runs one strategy through one scenario and measures it.

    Args:
      seed: Seed of the model.
      strategy: Name of the strategy.
      scenario: One of `SCENARIOS`; its fault occurs as the measured period
        starts, `WARM_UP_S` after the fleet.
      nodes: Number of positions.
      zones: Number of availability zones.
      loads: The workspaces.
      duration_s: Length of the measured period.
    """
    model = Model(seed, strategy, nodes, zones, loads)
    end = WARM_UP_S + duration_s
    model.at(WARM_UP_S - 2.0, lambda: model.send_load(end))
    model.run(WARM_UP_S)
    before = {
        id(n): (n.sent, n.sent_bytes, n.received_bytes)
        for n in model.all_nodes()
    }
    lost = sum(n.strategy.tokens_lost() for n in model.all_nodes())
    SCENARIOS[scenario](model)
    model.run(end + 1.0)
    lost = sum(n.strategy.tokens_lost() for n in model.all_nodes()) - lost
    traffic = [
        [a - b for a, b in zip(now, before[id(n)])]
        for n in model.all_nodes()
        for now in [(n.sent, n.sent_bytes, n.received_bytes)]
    ]
    return _summarise(model, strategy, scenario, traffic, lost, duration_s)


def _count_lacking(model: Model, scenario: str) -> int:
    """Returns how many calls exceed the shares of their side of a cut."""
    zones = sorted(set(model.zones.values()))
    sides = [zones]
    if scenario == 'zone-cut':
        sides = [zones[:1], zones[1:]]
    lacking = 0
    for name, load in model.loads.items():
        if load.offered_per_s > load.rate_per_s:
            continue
        tally = model.tallies[name]
        for side in sides:
            part = sum(zone in side for zone in model.zones.values())
            part /= len(model.zones)
            times = [
                time
                for time, zone in zip(tally.offered, tally.zones)
                if zone in side and time >= WARM_UP_S
            ]
            lacking += len(times) - count_conforming(
                times, part * load.rate_per_s, part * load.burst
            )
    return lacking


def _summarise(
    model: Model,
    strategy: str,
    scenario: str,
    traffic: list[list[int]],
    lost: float,
    duration_s: float,
) -> Result:
    calls = refused = served = conforming = 0
    waits: list[float] = []
    for name, load in model.loads.items():
        tally = model.tallies[name]
        if load.offered_per_s > load.rate_per_s:
            conforming += count_conforming(
                tally.offered, load.rate_per_s, load.burst
            )
            served += len(tally.admitted)
            continue
        calls += sum(t >= WARM_UP_S for t in tally.offered)
        refused += sum(t >= WARM_UP_S for t in tally.refused)
        pairs = zip(tally.admitted, tally.waits)
        waits += [wait for time, wait in pairs if time >= WARM_UP_S]
    lacking = _count_lacking(model, scenario)
    waits.sort()
    count = len(traffic)
    return Result(
        strategy,
        scenario,
        len(model.zones),
        calls,
        overshoot=round(model.overshoot(), 3),
        wrongful=round(refused / max(1, calls), 5),
        unavoidable=round(lacking / max(1, calls), 5),
        greedy_served=round(served / max(1, conforming), 3),
        lost_per_s=round(lost / duration_s, 3),
        wait_mean_ms=round(1e3 * sum(waits) / max(1, len(waits)), 3),
        wait_p99_ms=round(1e3 * waits[int(0.99 * len(waits))], 2),
        messages=round(sum(t[0] for t in traffic) / count / duration_s, 1),
        sent_bytes=round(sum(t[1] for t in traffic) / count / duration_s),
        peak_bytes=round(max(t[1] + t[2] for t in traffic) / duration_s),
    )


def compare_strategies(
    seed: int,
    nodes: int = 12,
    zones: int = 3,
    loads: Mapping[str, Load] = DEFAULT_LOADS,
    duration_s: float = 10.0,
) -> list[Result]:
    """Runs every strategy through every scenario under the same load.

    Args:
      seed: Seed of each model.
      nodes: Number of positions.
      zones: Number of availability zones.
      loads: The workspaces.
      duration_s: Length of the measured period.
    """
    return [
        run_scenario(seed, strategy, scenario, nodes, zones, loads, duration_s)
        for scenario in SCENARIOS
        for strategy in strategies.registry.names()
    ]


def inject_faults(model: Model, until: float) -> None:
    """Plans random kills, restarts, pauses and cuts up to a time.

    A killed process is followed by one at the same position, either in the same
    VM or in a new one.
    """
    rng = model.random
    time = model.now
    while time < until:
        time += rng.expovariate(0.5)
        kind = rng.choice(FAULTS)
        model.at(time, lambda k=kind: _inject(model, k))


def _inject(model: Model, kind: str) -> None:
    rng = model.random
    names = sorted(model.nodes)
    if not names:
        return
    if kind == 'pause':
        model.pause(rng.choice(names), rng.uniform(0.2, 6.0))
    elif kind == 'island':
        model.isolate(rng.sample(names, rng.randint(1, len(names))))
        model.at(model.now + rng.uniform(0.5, 6.0), model.heal)
    elif kind == 'cut':
        zones = sorted(set(model.zones.values()))
        lone = rng.choice(zones)
        for other in zones:
            if other != lone:
                model.cut(lone, other)
        model.at(model.now + rng.uniform(0.5, 9.0), model.heal)
    else:
        count = 1 if kind == 'kill' else rng.randint(1, len(names))
        for vm in rng.sample(names, min(count, len(names))):
            _replace(model, vm)


def _replace(model: Model, vm: str) -> None:
    upstream = model.nodes[vm].member.upstream
    model.kill(vm)
    again = vm if model.random.random() < 0.5 else f'{vm}+'
    model.at(
        model.now + model.random.uniform(0.05, 4.0),
        lambda: model.start(again, upstream),
    )


def measure_admit_us(seed: int = 1, calls: int = 100_000) -> float:
    """Returns the processor time of one admitted call, in microseconds."""
    model = Model(seed, 'static', nodes=1, zones=1)
    model.run(WARM_UP_S)
    node = next(iter(model.nodes.values()))
    wallet = node.strategy._stock.wallet('large-1')
    wallet.put(wallets.Batch('x', 1, 1e9, float('inf')))
    now = model._local(node)
    spent = timeit.timeit(
        lambda: node.strategy.admit('large-1', 1.0, now), number=calls
    )
    return 1e6 * spent / calls


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints a comparison as JSON lines."""
    parser = argparse.ArgumentParser(description='Compare limit strategies.')
    parser.add_argument('--nodes', type=int, default=12)
    parser.add_argument('--zones', type=int, default=3)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--duration', type=float, default=10.0)
    options = parser.parse_args(arguments)
    results = compare_strategies(
        options.seed, options.nodes, options.zones, duration_s=options.duration
    )
    for result in results:
        print(json.dumps(attrs.asdict(result)))
    print(json.dumps({'admit_us': round(measure_admit_us(), 2)}))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
