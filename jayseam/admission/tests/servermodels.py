"""A deterministic model of a backend server behind a gate.

A call that starts beyond the capacity takes longer in proportion, beyond 1.5
times the capacity its connection is reset, and beyond twice the capacity the
server falls over: it resets every call for a second and then starts cold.
"""

import random
import types
from collections.abc import Callable, Mapping

import attrs

from jayseam.admission import gates
from jayseam.admission import tickets

STEP_S = 0.005
START_S = 1000.0
RESET_S = 0.01
FALL_OVER_S = 1.0
RESET_LOAD = 1.5
FALL_OVER_LOAD = 2.0


@attrs.frozen
class Behavior:
    """How the modelled server behaves; times are seconds since the start.

    Attributes:
      slots: Capacity when warm.
      cold_s: Length of its cold starts in seconds.
      is_cold: Whether it is cold at the start.
      absent_s: Time after the start in which it resets every call, before a
        cold start.
      announces: Whether its cold starts are announced to the gate.
      capacity_factor: Part of the capacity that is there at a time.
      slowness: Factor of the service times at a time.
      full_slowness: Factor of the service time when all slots are in use.
      kinds: Service time in seconds of each kind of call; calls of the kinds
        are equally frequent.
      spread: Standard deviation of the logarithm of service times.
    """

    slots: int = 6
    cold_s: float = 3.0
    is_cold: bool = False
    absent_s: float = 0.0
    announces: bool = True
    capacity_factor: Callable[[float], float] = lambda elapsed_s: 1.0
    slowness: Callable[[float], float] = lambda elapsed_s: 1.0
    full_slowness: float = 1.0
    kinds: Mapping[str, float] = attrs.field(factory=lambda: {'w': 0.09})
    spread: float = 0.2


@attrs.define
class Outcome:
    """What a run has shown.

    Attributes:
      answers: Answers by the second of their end.
      resets: Calls whose connection was reset.
      falls: Times that the server fell over.
      excess: Calls in flight beyond the capacity, times seconds.
      idle: Capacity wanted but not used, times seconds.
      starts: Times at which calls have started, in seconds since the start.
      limits: Limit of the gate at each step.
    """

    answers: list[int]
    resets: int = 0
    falls: int = 0
    excess: float = 0.0
    idle: float = 0.0
    starts: list[float] = attrs.field(factory=list)
    limits: list[int] = attrs.field(factory=list)

    def count_answers(self, first_s: int = 0, last_s: int | None = None) -> int:
        """Returns the number of answers in a range of seconds."""
        return sum(self.answers[first_s:last_s])


@attrs.define(eq=False)
class _Call:
    """A call in flight at the model."""

    permit: gates.Permit
    kind: str
    ends_at: float
    result: str


class Server:
    """The modelled server and the gate in front of it.

    Args:
      behavior: How the server behaves.
      variant: Name of the ramp variant of the gate.
      seed: Seed of the kinds and service times.
      rate_per_s: Calls per second that the gate lets to a cold server; 0 for
        no bound.
      stated_cold_s: Length of the cold start that the gate is told, in seconds.
    """

    def __init__(
        self,
        behavior: Behavior,
        variant: str,
        seed: int = 1,
        rate_per_s: float = 0.0,
        stated_cold_s: float = 3.0,
    ):
        self._behavior = behavior
        self._generator = random.Random(seed)
        self._now = START_S
        self._down_until = 0.0
        self._cold_since: float | None = None
        self._calls: list[_Call] = []
        ramp = types.SimpleNamespace(
            initial_slots=1, duration_s=stated_cold_s, rate_per_s=rate_per_s
        )
        self.gate = gates.Gate(
            behavior.slots,
            100,
            ramp,
            ramp_shape=variant,
            read_now=lambda: self._now,
        )

    def warm_up(self, duration_s: float = 5.0) -> None:
        """Runs the server at half load and without faults beforehand."""
        behavior = self._behavior
        self._behavior = Behavior(
            slots=behavior.slots, kinds=behavior.kinds, spread=behavior.spread
        )
        self.run(duration_s, lambda elapsed_s: behavior.slots / 2)
        self._behavior = behavior

    def run(
        self, duration_s: float, demand: Callable[[float], float]
    ) -> Outcome:
        """Runs the model.

        Args:
          duration_s: Length in seconds.
          demand: Calls that callers want in flight at a time.
        """
        outcome = Outcome([0] * (int(duration_s) + 1))
        started_at = self._now
        if self._behavior.is_cold:
            self._begin_cold_start()
        if self._behavior.absent_s:
            self._down_until = self._now + self._behavior.absent_s
        for step in range(round(duration_s / STEP_S)):
            self._now = started_at + step * STEP_S
            elapsed_s = self._now - started_at
            if 0.0 <= self._now - self._down_until < STEP_S and step:
                self._begin_cold_start()
            self._end_calls(outcome, elapsed_s)
            self._start_calls(outcome, elapsed_s, demand(elapsed_s))
            capacity = self._compute_capacity(elapsed_s)
            wanted = min(capacity, demand(elapsed_s))
            in_flight = len(self._calls)
            outcome.excess += max(0.0, in_flight - capacity) * STEP_S
            outcome.idle += max(0.0, wanted - in_flight) * STEP_S
            outcome.limits.append(self.gate.describe(self._now).limit)
        return outcome

    def _begin_cold_start(self) -> None:
        self._cold_since = self._now
        if self._behavior.announces:
            self.gate.restart_ramp(self._now)

    def _compute_capacity(self, elapsed_s: float) -> float:
        """Returns the calls that the server takes at once; 0 while it is down.

        Args:
          elapsed_s: Time since the start of the run, in seconds.
        """
        behavior = self._behavior
        if self._now < self._down_until:
            return 0.0
        warmth = 1.0
        if self._cold_since is not None:
            warmth = min(1.0, (self._now - self._cold_since) / behavior.cold_s)
        capacity = 1.0 + (behavior.slots - 1.0) * warmth
        return max(1.0, capacity * behavior.capacity_factor(elapsed_s))

    def _end_calls(self, outcome: Outcome, elapsed_s: float) -> None:
        for call in [c for c in self._calls if c.ends_at <= self._now]:
            self._calls.remove(call)
            call.permit.release(call.result, self._now, call.kind)
            if call.result == 'success':
                outcome.answers[int(elapsed_s)] += 1
            else:
                outcome.resets += 1

    def _start_calls(
        self, outcome: Outcome, elapsed_s: float, demand: float
    ) -> None:
        while len(self._calls) + 1 <= demand:
            if len(self._calls) >= self.gate.describe(self._now).limit:
                break
            if not self.gate._can_admit(self._now):
                break
            permit = self.gate.acquire(
                tickets.Ticket('', 1.0, 1e9, 'r', lambda now: True), self._now
            )
            self._start_call(outcome, elapsed_s, permit)

    def _start_call(
        self, outcome: Outcome, elapsed_s: float, permit: gates.Permit
    ) -> None:
        behavior = self._behavior
        kind = self._generator.choice(sorted(behavior.kinds))
        noise = self._generator.lognormvariate(0.0, behavior.spread)
        capacity = self._compute_capacity(elapsed_s)
        load = (len(self._calls) + 1) / capacity if capacity else 9.0
        service_s = behavior.kinds[kind] * noise * max(1.0, load)
        service_s *= behavior.slowness(elapsed_s)
        share = (len(self._calls) + 1) / behavior.slots
        service_s *= 1.0 + (behavior.full_slowness - 1.0) * share**4
        call = _Call(permit, kind, self._now + service_s, 'success')
        self._calls.append(call)
        outcome.starts.append(elapsed_s)
        if not capacity or load > RESET_LOAD:
            call.result, call.ends_at = 'reset', self._now + RESET_S
        if capacity and load > FALL_OVER_LOAD:
            outcome.falls += 1
            self._down_until = self._now + FALL_OVER_S
            for other in self._calls:
                other.result, other.ends_at = 'reset', self._now + RESET_S
