"""Checks of planned stops and reloads on the operators' platform.

They judge from outside, by the platform's rules. That a node has passed a
request on is certain if the request ran at a backend server. That a node had
read a request without passing it on is certain if the connection was closed in
order, and later than a crossing request explains: the kernel resets a
connection whose process closes it, or ends, with unread bytes.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import attrs

from jayseam.core import registries
from jayseam.soak import checks
from jayseam.soak import faults
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.soak import storechecks
from jayseam.standins import callers
from jayseam.standins import platformbackend
from jayseam.standins import readiness

# Bounds of the platform, in seconds.
LOSS_SLACK_S = 0.2
_LAST_PART_S = fleets.GRACE_S / 6
# Time after the grace until which a stop explains nothing.
_STOP_MARGIN_S = 1.0
# Requests that were sent later after a SIGTERM have to be answered even if
# their backend server is at work at the end of the grace.
_EXCUSED_SEND_S = 3.0
_READY_LIMIT_S = 4.0
_KILLED = -9
# Events that only a refused call of the system explains.
_FAILURE_EVENTS = ('task.crashed', 'node.stop_step_failed', 'node.stop_overdue')
_REFUSAL_ERROR = 'PermissionError'
_MAX_DETAILS = 10
_MAX_LINE = 300


@attrs.frozen
class Observations:
    """The input of all checks.

    Attributes:
      requests: Requests of callers.
      arrivals: Requests that reached the backend servers, by address.
      stops: Planned stops.
      reloads: Times of reloads by address.
      node_faults: Unplanned disruptions of the nodes by address.
      questions: The platform's readiness checks.
      logs: What the nodes have logged, by address.
      refused: Calls of the system that are refused to the nodes.
      started: Start of the load in seconds, from which details count.
    """

    requests: Sequence[callers.Request]
    arrivals: Mapping[str, Sequence[platformbackend.Arrival]]
    stops: Sequence[faults.Stop]
    reloads: Mapping[str, Sequence[float]]
    node_faults: Mapping[str, Sequence[fleets.Span]]
    questions: Sequence[readiness.Question] = ()
    logs: Mapping[str, str] = attrs.field(factory=dict)
    refused: Sequence[str] = ()
    started: float = 0.0


@attrs.frozen
class _Run:
    """The work of a backend server on a request.

    Attributes:
      ip: Address of its VM.
      start: Start in seconds.
      end: End in seconds, if nothing cuts it.
    """

    ip: str
    start: float
    end: float


Check = Callable[[Observations], Iterable[str]]

registry: registries.Registry[Check] = registries.Registry('stop check')


def run_checks(observations: Observations) -> list[checks.Finding]:
    """Returns the findings of all checks, at most 10 for each check."""
    return [
        checks.Finding(name, detail)
        for name in registry.list_names()
        for detail in list(registry.get(name)(observations))[:_MAX_DETAILS]
    ]


def is_left_unanswered(request: callers.Request, has_run: bool) -> bool:
    """Returns whether a node took a request and gave no complete answer."""
    exchange = request.exchange
    if exchange.ending in ('answer', 'unreachable'):
        return False
    return has_run or exchange.is_dropped(request.call.ended, LOSS_SLACK_S)


@registry.register('stop-lost')
def _check_lost(observations: Observations) -> Iterator[str]:
    """No node takes a request and leaves it unanswered around planned work."""
    all_runs = _list_runs(observations)
    for request in observations.requests:
        runs = all_runs.get(request.call.echo, [])
        if not is_left_unanswered(request, bool(runs)):
            continue
        is_planned = _find_stop(observations, request) or _is_reloaded(
            observations, request
        )
        if (
            is_planned
            and not _has_fault(observations, request, [])
            and not _is_excused(observations, request, runs)
        ):
            yield _describe(observations, request, runs)


@registry.register('stop-replaced')
def _check_replaced_answers(observations: Observations) -> Iterator[str]:
    """No stopping node answers for a backend server that is at work."""
    all_runs = _list_runs(observations)
    for request in observations.requests:
        call = request.call
        runs = [
            run
            for run in all_runs.get(call.echo, [])
            if run.start <= call.ended < run.end
        ]
        if (
            request.is_own
            and runs
            and _find_stop(observations, request)
            and not _has_fault(observations, request, runs)
            and not _is_excused(observations, request, runs)
        ):
            yield _describe(observations, request, runs)


@registry.register('stop-killed')
def _check_ends(observations: Observations) -> Iterator[str]:
    """Every planned stop ends by itself within the grace."""
    for stop in observations.stops:
        if stop.status == _KILLED:
            at = stop.started - observations.started
            yield f"{stop.address} {at:.2f} s: stop didn't end by itself"


@registry.register('stop-ready')
def _check_readiness(observations: Observations) -> Iterator[str]:
    """Few nodes still count as ready some seconds after SIGTERM."""
    stops = [stop for stop in observations.stops if stop.was_serving]
    late = []
    for stop in stops:
        limit = stop.started + _READY_LIMIT_S
        answers = [
            question.is_ready
            for question in observations.questions
            if question.ip == stop.address and question.at <= limit
        ]
        if stop.ended > limit and any(answers[-2:]):
            late.append(stop)
    if len(late) >= 2 and 4 * len(late) > len(stops):
        for stop in late:
            at = stop.started - observations.started
            yield f'{stop.address} {at:.2f} s: ready {_READY_LIMIT_S} s later'


@registry.register('stop-errors')
def _check_logs(observations: Observations) -> Iterator[str]:
    """No node logs a failure that a refused call of the system explains not."""
    for ip, text in observations.logs.items():
        for line in text.splitlines():
            if not any(event in line for event in _FAILURE_EVENTS):
                continue
            is_explained = observations.refused and _REFUSAL_ERROR in line
            if not is_explained:
                yield f'{ip}: {line[:_MAX_LINE]}'


def _list_runs(observations: Observations) -> Mapping[str, list[_Run]]:
    """Returns the runs of each request."""
    works = {r.call.echo: r.work_s for r in observations.requests}
    runs = collections.defaultdict(list)
    for ip, arrivals in observations.arrivals.items():
        for arrival in arrivals:
            if arrival.ran:
                work_s = works.get(arrival.request_id, 0.0)
                work_s = min(work_s, arrival.deadline_ms / 1000)
                run = _Run(ip, arrival.at, arrival.at + work_s)
                runs[arrival.request_id].append(run)
    return runs


def _find_stop(
    observations: Observations, request: callers.Request
) -> faults.Stop | None:
    """Returns the stop, during a request, of the node that took it."""
    call = request.call
    for stop in observations.stops:
        end = stop.started + fleets.GRACE_S + _STOP_MARGIN_S
        if stop.address == call.target and stop.started <= call.ended <= end:
            return stop
    return None


def _is_reloaded(observations: Observations, request: callers.Request) -> bool:
    """Returns whether the node was told to reload during a request."""
    call = request.call
    return any(
        at <= call.ended and call.sent <= at + storechecks.CONFIG_APPLY_S
        for at in observations.reloads[call.target]
    )


def _has_fault(
    observations: Observations, request: callers.Request, runs: Sequence[_Run]
) -> bool:
    """Returns whether a fault of a node that a request passed excuses it."""
    call = request.call
    start = call.sent - storechecks.STABLE_WINDOW_S
    return any(
        span.overlaps(start, call.ended)
        for ip in {call.target, *(run.ip for run in runs)}
        for span in observations.node_faults[ip]
    )


def _is_excused(
    observations: Observations, request: callers.Request, runs: Sequence[_Run]
) -> bool:
    """Returns whether a request ended as it had to.

    Its deadline or the timeout of its route was reached, or its backend server
    was still at work in the last sixth of the grace and it was sent early.
    """
    call = request.call
    limit_s = min(request.deadline_s, operators.LONG_TIMEOUT_S)
    if call.ended - call.sent >= limit_s:
        return True
    stop = _find_stop(observations, request)
    if stop is None or call.sent > stop.started + _EXCUSED_SEND_S:
        return False
    last_part = stop.started + fleets.GRACE_S - _LAST_PART_S
    return any(run.end > last_part for run in runs) and call.ended > last_part


def _describe(
    observations: Observations,
    request: callers.Request,
    runs: Sequence[_Run],
) -> str:
    call = request.call
    exchange = request.exchange
    stop = _find_stop(observations, request)
    after = ''
    if stop is not None:
        after = (
            f', {call.sent - stop.started:.2f} to'
            f' {call.ended - stop.started:.2f} s after SIGTERM'
        )
    ran = ', '.join(f'{run.ip} for {run.end - run.start:.2f} s' for run in runs)
    return (
        f'{call.target} {call.sent - observations.started:.2f} s: {call.echo}'
        f' {call.method} {request.route}, {exchange.ending}'
        f' {exchange.status}{after}; ran at {ran or "no server"}; deadline'
        f' {request.deadline_s:.2f} s'
    )
