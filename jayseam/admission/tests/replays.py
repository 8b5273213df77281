"""Replays calls of several kinds through a gate in virtual time.

The gate, its queue and its greenlets are real; the clock, the backend server
and the callers are models. Equal seeds give equal replays.
"""

import heapq
import itertools
import math
import random
import types
from unittest import mock

import attrs
import gevent
from gevent import event

from jayseam.admission import errors
from jayseam.admission import gates
from jayseam.admission import tickets

MAX_RETRIES = 2
# Share of the time left for which callers honour Retry-After.
_HONOURED_SHARE = 1 / 3
# Time of an attempt that is refused, in seconds: two hops and a connection.
_ROUND_TRIP_S = 0.004
# Margin that the ingress leaves before a deadline.
_RUN_MARGIN_S = 0.05


@attrs.frozen
class Kind:
    """A kind of request, with times in seconds.

    Attributes:
      name: Name of the route.
      rank: Urgency; 0 is the most urgent.
      work_s: Mean time at the backend server.
      objective_s: Latency objective.
      timeout_s: Timeout of the route.
      budget_s: Time after which the caller gives up.
      retries: Whether the caller sends a refused request again.
      honours: Whether the caller waits as long as a refusal says.
      spread: Standard deviation of the logarithm of the work.
    """

    name: str
    rank: int
    work_s: float
    objective_s: float
    timeout_s: float
    budget_s: float
    retries: bool = True
    honours: bool = True
    spread: float = 0.5


@attrs.define
class Request:
    """One request of a caller, and when it was answered."""

    kind: Kind
    started_at: float
    work_s: float
    attempts: int = 0
    answered_at: float = math.inf

    @property
    def latency_s(self) -> float:
        """Time from the first attempt to the answer; infinite without one."""
        return self.answered_at - self.started_at


@attrs.frozen
class Outcome:
    """What became of the requests of one kind, as shares of their number."""

    served: float
    in_time: float


class _VirtualEvent(event.Event):
    """An event whose waits end by the clock of a replay."""

    def __init__(self, replay):
        super().__init__()
        self._replay = replay

    def wait(self, timeout=None):
        if timeout is not None:
            replay = self._replay
            replay.schedule(replay.now + timeout, self.set)
        return super().wait()


class Replay:
    """A gate, its backend server and the callers.

    Args:
      queue: Name of the variant of the queue.
      slots: Calls that the backend server runs at once.
    """

    def __init__(self, queue: str, slots: int = 6):
        self._events = []
        self._numbers = itertools.count()
        self._paused_until = 0.0
        self.now = 0.0
        self.gate = gates.Gate(
            slots, 1000, queue=queue, read_now=lambda: self.now
        )

    def run(self, requests):
        """Runs requests until each has an answer or has been given up."""
        for request in requests:
            self.schedule(request.started_at, self._arrive, request)
        events = types.SimpleNamespace(Event=lambda: _VirtualEvent(self))
        with mock.patch.object(gates, 'event', events):
            while self._events:
                time, _, action, arguments = heapq.heappop(self._events)
                # What came during a pause is handled after it.
                self.now = max(self.now, time, self._paused_until)
                action(*arguments)
                for _ in range(3):
                    gevent.sleep(0)

    def schedule(self, time, action, *arguments):
        """Calls an action at a time."""
        entry = (time, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def pause(self, seconds):
        """Stops the process of the gate; the backend server goes on."""
        self._paused_until = self.now + seconds

    def _arrive(self, request):
        gevent.spawn(self._acquire, request)

    def _acquire(self, request):
        kind, now = request.kind, self.now
        left_s = request.started_at + kind.budget_s - now
        timeout_s = min(kind.timeout_s, left_s)
        request.attempts += 1
        ticket = tickets.Ticket(
            '',
            1.0,
            now + timeout_s - min(_RUN_MARGIN_S, timeout_s / 10),
            'r',
            lambda _: True,
            rank=kind.rank,
            objective=now + kind.objective_s,
            kind=kind.name,
        )
        try:
            permit = self.gate.acquire(ticket, now)
        except errors.AdmissionError as error:
            self._retry(request, error.retry_after_s)
            return
        ends_at = self.now + request.work_s
        expires_at = now + timeout_s
        self.schedule(
            min(ends_at, expires_at),
            self._end,
            request,
            permit,
            ends_at <= expires_at,
        )

    def _retry(self, request, retry_after_s):
        kind = request.kind
        left_s = request.started_at + kind.budget_s - self.now
        if not kind.retries or request.attempts > MAX_RETRIES or left_s <= 0:
            return
        wait_s = _ROUND_TRIP_S
        if kind.honours:
            wait_s += min(retry_after_s or 0.0, left_s * _HONOURED_SHARE)
        self.schedule(self.now + wait_s, self._arrive, request)

    def _end(self, request, permit, has_finished):
        if not has_finished:
            # The backend server ends the work at the timeout.
            permit.release(tickets.Result.FAILED, self.now)
            return
        permit.release(tickets.Result.SUCCESS, self.now)
        request.answered_at = self.now


def draw_requests(kind, rate, seconds, seed, bursts=()):
    """Returns requests at a rate per second.

    Args:
      kind: Kind of the requests.
      rate: Requests in a second.
      seconds: Time until the last request.
      seed: Seed of the draws.
      bursts: Tuples of start, end and factor of the rate.
    """
    rng = random.Random(f'{kind.name}-{seed}')
    requests, now = [], 0.0
    while now < seconds:
        factors = [f for start, end, f in bursts if start <= now < end]
        now += rng.expovariate(rate * max(factors, default=1.0))
        work = rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        requests.append(Request(kind, now, kind.work_s * work))
    return requests


def summarize(requests):
    """Returns the outcome of each kind by name."""
    by_kind = {}
    for request in requests:
        by_kind.setdefault(request.kind, []).append(request)
    return {
        kind.name: _summarize_kind(kind, members)
        for kind, members in by_kind.items()
    }


def _summarize_kind(kind, requests):
    served = sum(r.latency_s <= kind.budget_s for r in requests)
    in_time = sum(r.latency_s <= kind.objective_s for r in requests)
    return Outcome(served / len(requests), in_time / len(requests))


def compute_served(requests):
    """Returns the share of all requests that were answered."""
    served = sum(r.latency_s <= r.kind.budget_s for r in requests)
    return served / len(requests)
