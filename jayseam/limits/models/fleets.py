"""The model of a fleet: nodes, messages, time and calls.

Each node runs a strategy of `strategies`. Message delays, kills, restarts,
pauses, partitions, clock drift and load all follow from one seed. Each member
detects failures and cuts after a delay of its own.
"""

import heapq
import itertools
import random
import types
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import cbor2

from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import strategies
from jayseam.limits import token_caches
from jayseam.limits.models import measures
from jayseam.limits.models import weightings
from jayseam.limits.models import workspaces

POLL_S = 0.05
IN_ZONE_DELAY_S = 0.00025
CROSS_ZONE_DELAY_S = 0.001
JOIN_DETECTION_S = 0.5
FAILURE_DETECTION_S = 3.0
# Bytes of framing per message: frame header, request number and message code.
FRAME_BYTES = 12


@attrs.define(eq=False)
class _Node:
    """One process of the model.

    Attributes:
      member: The member that the process is.
      strategy: Its strategy.
      drift: Drift of its clock, as a fraction.
      offset: Offset of its clock in seconds.
      alive: Whether it runs.
      paused_until: Time of the model at which its last pause ends.
      sent: Number of messages sent.
      sent_bytes: Bytes sent.
      received_bytes: Bytes received.
      waiting: Workspace and arrival time by waiting call.
    """

    member: cells.Member
    strategy: strategies.EscrowStrategy
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
    """Outcomes of the calls of one workspace.

    Attributes:
      offered: Arrival times of all calls.
      zones: Zone of the entry of each call.
      admitted: Times at which calls were admitted.
      refused: Arrival times of the calls that were refused.
      waits: Waiting time of each admitted call in seconds.
    """

    offered: list[float] = attrs.field(factory=list)
    zones: list[str] = attrs.field(factory=list)
    admitted: list[float] = attrs.field(factory=list)
    refused: list[float] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)


class Model:
    """Discrete-event simulation of a fleet.

    Args:
      seed: Seed of all random numbers.
      strategy: Name of the strategy.
      nodes: Number of positions.
      zones: Number of availability zones.
      loads: Load by workspace.
      drift: Largest drift of a node's clock, as a fraction.
      delays: Fraction of messages that are delayed by up to 3 s.
      weighting: Name of the weighting; see `weightings`.
    """

    def __init__(
        self,
        seed: int,
        strategy: str,
        nodes: int = 12,
        zones: int = 3,
        loads: Mapping[str, workspaces.Load] = workspaces.DEFAULT_LOADS,
        drift: float = 0.001,
        delays: float = 0.0,
        weighting: str = 'none',
    ):
        self.random = random.Random(seed)
        # The load has its own generator, so it is the same for every strategy.
        self._load_random = random.Random(seed + 1)
        self.now = 0.0
        self.loads = dict(loads)
        self.tallies = {name: Tally() for name in loads}
        self.nodes: dict[str, _Node] = {}
        self.ended_nodes: list[_Node] = []
        self._strategy = strategy
        self._drift = drift
        self._delays = delays
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._calls = itertools.count()
        self._grants_in_flight: dict[
            tuple[int, str], tuple[_Node, str, float, float]
        ] = {}
        self._cut: dict[frozenset[str], float] = {}
        self._islands: list[tuple[frozenset[str], float]] = []
        self._died: dict[str, tuple[cells.Member, float]] = {}
        self.zones = {
            f'u{i}': f'zone-{"abcdefgh"[i % zones]}' for i in range(nodes)
        }
        self._weights = self._draw_skew()
        self.preset = self._build_preset(weightings.registry.get(weighting))
        for upstream in self.zones:
            self._create(f'vm-{upstream}', upstream)
        for node in self.nodes.values():
            self._refresh_members(node)

    def _draw_skew(self) -> dict[str, dict[str, float]]:
        """Draws the relative load of each position, by workspace.

        The zones have weights 4, 2, 1, 1, ... in a random order for each
        workspace; each position multiplies its zone's weight by a random factor
        between 0.2 and 1.8.
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

    def _build_preset(self, weighting: weightings.Weighting) -> Any:
        """Returns a preset with zone weights for the skew of the load."""
        workspaces_ = {}
        for name, load in self.loads.items():
            skew = dict.fromkeys(sorted(set(self.zones.values())), 0.0)
            for upstream, weight in self._weights[name].items():
                skew[self.zones[upstream]] += weight
            workspaces_[name] = types.SimpleNamespace(
                rate_per_s=load.rate_per_s,
                burst=load.burst,
                zone_weights=tuple(sorted(weighting(skew).items())),
            )
        return types.SimpleNamespace(
            upstreams={
                name: types.SimpleNamespace(zone=zone)
                for name, zone in self.zones.items()
            },
            workspaces=workspaces_,
        )

    # Events.

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Schedules an action for a time in seconds."""
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def run(self, until: float) -> None:
        """Runs all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def send_load(self, until: float) -> None:
        """Schedules the calls of all workspaces until a time in seconds."""
        for name in self.loads:
            self._schedule_call(name, until)

    def send_burst(self, workspace: str, calls: int) -> None:
        """Schedules calls of one workspace within the next 0.1 s."""
        for _ in range(calls):
            after = self.random.uniform(0.0, 0.1)
            self.schedule(self.now + after, lambda: self._call(workspace))

    # Faults.

    def start(self, vm: str, upstream: str) -> None:
        """Starts a process at a position; other nodes detect it later."""
        node = self._create(vm, upstream)
        self._refresh_members(node)
        self._refresh_later(JOIN_DETECTION_S)

    def _create(self, vm: str, upstream: str) -> _Node:
        zone = self.zones[upstream]
        member = cells.Member(vm, upstream, next(self._sequence), zone)
        drift = self.random.uniform(-self._drift, self._drift)
        offset = self.random.uniform(0.0, 1e5)
        node = _Node(member, None, drift, offset)
        strategy = strategies.registry.get(self._strategy)
        node.strategy = strategy(
            vm, upstream, zone, member.incarnation, self._local_time(node)
        )
        self.nodes[vm] = node
        self._died.pop(vm, None)
        node.strategy.set_preset(self.preset, 1, self._local_time(node))
        self.schedule(
            self.now + self.random.uniform(0, POLL_S), lambda: self._tick(node)
        )
        return node

    def kill(self, vm: str) -> None:
        """Kills a process; other nodes detect it later."""
        node = self.nodes.pop(vm)
        node.alive = False
        self.ended_nodes.append(node)
        self._died[vm] = (node.member, self.now)
        self._refresh_later(FAILURE_DETECTION_S)

    def pause(self, vm: str, duration_s: float) -> None:
        """Pauses a process; messages to it are delivered after the pause."""
        node = self.nodes[vm]
        node.paused_until = max(node.paused_until, self.now + duration_s)
        self.schedule(node.paused_until, lambda: self._resume(node))

    def cut(self, left: str, right: str) -> None:
        """Cuts two zones off from each other."""
        pair = frozenset((left, right))
        self._cut.setdefault(pair, self.now)
        self._refresh_later(FAILURE_DETECTION_S)

    def isolate(self, vms: Iterable[str]) -> None:
        """Cuts a set of VMs off from all others, but not from each other."""
        self._islands.append((frozenset(vms), self.now))
        self._refresh_later(FAILURE_DETECTION_S)

    def silence(self, duration_s: float) -> None:
        """Drops all messages, for less time than failure detection takes."""
        since = self.now
        self._islands += [(frozenset([vm]), since) for vm in self.nodes]
        self.schedule(self.now + duration_s, self._islands.clear)

    def heal(self) -> None:
        """Ends all cuts."""
        self._cut.clear()
        self._islands.clear()
        self._refresh_later(JOIN_DETECTION_S)

    # Internals.

    def _local_time(self, node: _Node) -> float:
        return node.offset + self.now * (1 + node.drift)

    def _resume(self, node: _Node) -> None:
        if node.alive and node.paused_until <= self.now:
            node.strategy.drop_expired(self._local_time(node))

    def _cut_since(self, left: cells.Member, right: cells.Member) -> float:
        """Returns the time since which two members are cut off, or infinity."""
        pair = frozenset((left.zone, right.zone))
        since = self._cut.get(pair, float('inf'))
        for island, time in self._islands:
            if (left.vm in island) != (right.vm in island):
                since = min(since, time)
        return since

    def _reaches(self, left: _Node, right: _Node) -> bool:
        return self._cut_since(left.member, right.member) > self.now

    def _refresh_later(self, delay_s: float) -> None:
        """Refreshes the members of each node after a random delay."""
        for node in list(self.nodes.values()):
            after = delay_s * self.random.uniform(0.8, 1.3)
            self.schedule(
                self.now + after,
                lambda n=node: self._run_when_awake(n, self._refresh_members),
            )

    def _run_when_awake(
        self, node: _Node, action: Callable[[_Node], None]
    ) -> None:
        """Runs an action now, or when the node's pause has ended."""
        if not node.alive:
            return
        if node.paused_until > self.now:
            self.schedule(
                node.paused_until, lambda: self._run_when_awake(node, action)
            )
        else:
            action(node)

    def _refresh_members(self, node: _Node) -> None:
        members = []
        for other in self.nodes.values():
            since = self._cut_since(node.member, other.member)
            if self.now - since < FAILURE_DETECTION_S * 0.8:
                members.append(other.member)
        for member, died in self._died.values():
            if self.now - died < FAILURE_DETECTION_S * 0.8:
                members.append(member)
        node.strategy.set_members(members)

    def _tick(self, node: _Node) -> None:
        self._run_when_awake(node, self._poll)
        if node.alive:
            self.schedule(self.now + POLL_S, lambda: self._tick(node))

    def _poll(self, node: _Node) -> None:
        if node.paused_until > self.now:
            return
        for sent in node.strategy.poll(self._local_time(node)):
            self._send(node, sent)
        self._admit_waiters(node)

    def _delay(self, left: str, right: str) -> float:
        base = IN_ZONE_DELAY_S if left == right else CROSS_ZONE_DELAY_S
        delay = base * self.random.uniform(1.0, 1.5)
        if self._delays and self.random.random() < self._delays:
            delay += self.random.uniform(0.0, 3.0)
        return delay

    def _deliver_message(
        self, source: _Node, vm: str, message: Any, action: Callable
    ) -> None:
        """Delivers a message to the process that runs on the VM on arrival."""
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
                self._run_when_awake(found, action)

        delay = self._delay(source.member.zone, target.member.zone)
        self.schedule(self.now + delay, arrive)

    def _send(self, node: _Node, sent: strategies.Outgoing) -> None:
        finished: list[Any] = []
        number = next(self._calls)

        def finish(reply: Any) -> None:
            if node.alive and not finished:
                finished.append(True)
                for key in [
                    k for k in self._grants_in_flight if k[0] == number
                ]:
                    del self._grants_in_flight[key]
                node.strategy.handle_reply(sent, reply, self._local_time(node))
                self._admit_waiters(node)
                if node.waiting:
                    self._poll(node)

        def arrive(target: _Node) -> None:
            reply = target.strategy.handle_message(
                node.member.vm, sent.message, self._local_time(target)
            )
            if isinstance(reply, messages.Grant) and not finished:
                for name, amount in reply.amounts.items():
                    self._grants_in_flight[(number, name)] = (
                        node,
                        name,
                        amount,
                        sent.created_at + pools.BATCH_LIFETIME_S,
                    )
            if reply is not None and sent.wants_reply:
                self._deliver_message(
                    target,
                    node.member.vm,
                    reply,
                    lambda n: finish(reply) if n is node else None,
                )

        self._deliver_message(node, sent.vm, sent.message, arrive)
        if sent.wants_reply:
            self.schedule(
                self.now + strategies.REQUEST_TIMEOUT_S,
                lambda: self._run_when_awake(node, lambda _: finish(None)),
            )

    def _schedule_call(self, workspace: str, until: float) -> None:
        gap = self._load_random.expovariate(self.loads[workspace].offered_per_s)
        if self.now + gap < until:
            self.schedule(
                self.now + gap, lambda: self._start_call(workspace, until)
            )

    def _start_call(self, workspace: str, until: float) -> None:
        self._schedule_call(workspace, until)
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
        now = self._local_time(node)
        if node.strategy.admit(workspace, 1.0, now):
            tally.admitted.append(self.now)
            tally.waits.append(0.0)
            return
        call = next(self._calls)
        waiter = token_caches.Waiter(call, 1.0, now + strategies.MAX_WAIT_S)
        if not node.strategy.enqueue(workspace, waiter):
            tally.refused.append(self.now)
            return
        node.waiting[call] = (workspace, self.now)
        self.schedule(
            self.now + strategies.MAX_WAIT_S,
            lambda: self._run_when_awake(
                node, lambda n: self._give_up(n, call)
            ),
        )
        self._poll(node)

    def _give_up(self, node: _Node, call: int) -> None:
        if call in node.waiting:
            workspace, arrived = node.waiting.pop(call)
            node.strategy.remove_waiter(workspace, call)
            self.tallies[workspace].refused.append(arrived)

    def _admit_waiters(self, node: _Node) -> None:
        for call in node.strategy.admit_waiters(self._local_time(node)):
            if call in node.waiting:
                workspace, arrived = node.waiting.pop(call)
                tally = self.tallies[workspace]
                tally.admitted.append(self.now)
                tally.waits.append(self.now - arrived)

    def all_nodes(self) -> Sequence[_Node]:
        """Returns all processes, ended ones included."""
        return [*self.nodes.values(), *self.ended_nodes]

    def spendable(self, workspace: str) -> float:
        """Returns all tokens that can be spent without further accrual.

        These are the levels of all pools, the tokens at all entries, and the
        grants in flight to entries. The window bound requires that their sum
        never exceeds the burst.
        """
        total = sum(
            amount
            for node, name, amount, expires in self._grants_in_flight.values()
            if name == workspace
            and node.alive
            and self._local_time(node) < expires
        )
        for node in self.nodes.values():
            now = self._local_time(node)
            total += node.strategy.available(workspace, now)
            total += sum(p.level(workspace, now) for p in node.strategy.pools)
        return total

    def backing(self, workspace: str) -> float:
        """Returns the sum of leased bursts, which must not exceed the burst."""
        return sum(
            pool.backing(workspace, self._local_time(node))
            for node in self.nodes.values()
            for pool in node.strategy.pools
        )

    def overshoot(self) -> float:
        """Returns the largest excess of any workspace, in calls."""
        return max(
            measures.measure_overshoot(
                self.tallies[name].admitted, load.rate_per_s, load.burst
            )
            for name, load in self.loads.items()
        )
