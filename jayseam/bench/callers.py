"""A load generator in a process of its own, for latencies and call rates.

Run ``python -m jayseam.bench.callers PLAN OUTPUT``. The plan is a list of
phases, which run in turn; the output has one list of latencies for each phase.
The latency of a call is measured from the moment that the call is sent on an
idle connection, not from its scheduled arrival, because experiments compare
the latencies of two paths.
"""

import json
import os
import pathlib
import random
import sys
import tempfile
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import cattrs
import gevent
from gevent import pool

from jayseam.bench import children
from jayseam.bench import processes
from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.standins import errors
from jayseam.standins import exchanges

_TIMEOUT_S = 5.0
# Calls before the first phase of a label that the result doesn't count.
_WARM_UP_CALLS = 5


@attrs.frozen
class Phase:
    """Calls of one kind for a fixed time.

    Attributes:
      label: Kind of call; phases with the same label share connections.
      port: Loopback port of the target.
      path: Request target.
      duration_s: Duration in seconds.
      method: HTTP method.
      headers: Header fields.
      rate_per_s: Poisson arrivals a second (open loop); 0 runs ``callers``
        closed loops instead.
      callers: Number of closed loops.
      keyed: Whether each call has an idempotency key of its own.
    """

    label: str
    port: int
    path: str
    duration_s: float
    method: str = 'GET'
    headers: Mapping[str, str] = attrs.field(factory=dict)
    rate_per_s: float = 0.0
    callers: int = 1
    keyed: bool = False


@attrs.frozen
class PhaseResult:
    """The result of the calls of one phase.

    Attributes:
      label: Label of the phase.
      latencies_s: Latency of each call that was answered with 200, in seconds.
      failures: Number of calls with any other outcome.
      duration_s: Elapsed time of the phase in seconds.
      cpu_share: Share of a core that this process used.
    """

    label: str
    latencies_s: list[float]
    failures: int
    duration_s: float
    cpu_share: float


class _PhaseRunner:
    """Runs phases; phases with the same label reuse connections."""

    def __init__(self, seed: int):
        self._generator = random.Random(seed)
        self._idle_connections: dict[str, list[exchanges.Connection]] = {}
        self._latencies: list[float] = []
        self._failures = 0

    def run(self, phase: Phase) -> PhaseResult:
        """Runs one phase to its end."""
        if phase.label not in self._idle_connections:
            self._idle_connections[phase.label] = []
            for _ in range(_WARM_UP_CALLS):
                self._send_call(phase)
        self._latencies, self._failures = [], 0
        meter = processes.CpuMeter({phase.label: os.getpid()})
        start = clocks.read_now()
        if phase.rate_per_s:
            self._run_open_loop(phase, start)
        else:
            loops = [
                gevent.spawn(
                    self._run_closed_loop, phase, start + phase.duration_s
                )
                for _ in range(phase.callers)
            ]
            gevent.joinall(loops, raise_error=True)
        elapsed_s = clocks.read_now() - start
        return PhaseResult(
            phase.label,
            self._latencies,
            self._failures,
            elapsed_s,
            meter.read_shares()[phase.label],
        )

    def _run_open_loop(self, phase: Phase, start: float) -> None:
        running = pool.Group()
        next_arrival = start
        while True:
            next_arrival += self._generator.expovariate(phase.rate_per_s)
            if next_arrival >= start + phase.duration_s:
                break
            gevent.sleep(max(0.0, next_arrival - clocks.read_now()))
            running.spawn(self._send_call, phase)
        running.join()

    def _run_closed_loop(self, phase: Phase, end: float) -> None:
        while clocks.read_now() < end:
            self._send_call(phase)

    def _send_call(self, phase: Phase) -> None:
        idle = self._idle_connections[phase.label]
        address = ('127.0.0.1', phase.port)
        connection = idle.pop() if idle else exchanges.Connection(*address)
        headers = dict(phase.headers)
        if phase.keyed:
            headers['Idempotency-Key'] = identifiers.make_uuid7(
                clocks.read_wall_ms(), self._generator
            )
        sent_at = clocks.read_now()
        try:
            answer = connection.exchange(
                phase.method, phase.path, headers, b'', _TIMEOUT_S
            )
        except errors.ExchangeError:
            self._failures += 1
            return
        elapsed_s = clocks.read_now() - sent_at
        idle.append(connection)
        if answer.status == 200:
            self._latencies.append(elapsed_s)
        else:
            self._failures += 1


def run_phases(phases: Sequence[Phase], seed: int) -> list[PhaseResult]:
    """Runs phases in a process of their own and returns their results.

    Other greenlets run meanwhile.

    Raises:
      ClusterError: If the process fails or doesn't end in time.
    """
    timeout_s = sum(phase.duration_s for phase in phases) + 30.0
    with tempfile.TemporaryDirectory(prefix='jayseam-') as name:
        directory = pathlib.Path(name)
        plan, output = directory / 'plan.json', directory / 'output.json'
        document = {'seed': seed, 'phases': cattrs.unstructure(phases)}
        plan.write_text(json.dumps(document), encoding='utf-8')
        exited = children.run_module(
            __name__,
            [str(plan), str(output)],
            directory / 'caller.log',
            timeout_s,
        )
        if exited.status:
            raise errors.ClusterError(exited.log_tail)
        text = output.read_text(encoding='utf-8')
    return cattrs.structure(json.loads(text), list[PhaseResult])


def merge_latencies(results: Sequence[PhaseResult]) -> dict[str, list[float]]:
    """Returns the latencies of all phases by label, in seconds.

    >>> merge_latencies([PhaseResult('a', [0.1], 0, 1.0, 0.1)] * 2)
    {'a': [0.1, 0.1]}
    """
    merged: dict[str, list[float]] = {}
    for result in results:
        merged.setdefault(result.label, []).extend(result.latencies_s)
    return merged


def main(arguments: Sequence[str]) -> int:
    """Runs the plan in the first path and writes results to the second."""
    plan, output = arguments
    document: Any = json.loads(pathlib.Path(plan).read_text(encoding='utf-8'))
    phases = cattrs.structure(document['phases'], list[Phase])
    runner = _PhaseRunner(document['seed'])
    results = [runner.run(phase) for phase in phases]
    text = json.dumps(cattrs.unstructure(results))
    pathlib.Path(output).write_text(text, encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
