"""State of the node's own backend server, derived from evidence.

The functions are pure: `observe` takes the state, one piece of evidence and
the time, and returns the next state. A start of the backend server is detected
by refused or reset connections, by states that its health endpoint reports, by
failing calls and by a latency far above its baseline. `BackendState.starts`
counts the restarts of the ramp; the owner restarts the ramp of the gate when
the count changes.

See Also:
  ``docs/design.md``, sections 5.4 and 8; ``jayseam/core/charts/backend.json``.
"""

import functools
import math
from collections.abc import Mapping

import attrs

from jayseam.core import statecharts

CHART = statecharts.load_chart('backend')

LATENCY_FACTOR = 5.0
# Lower baselines are raised to this value: a scheduling delay of the node
# itself already exceeds five times a baseline of 0.1 ms.
MIN_BASELINE_S = 0.001
# One slow call is no evidence; a start is detected when more than half of this
# many calls are slow.
LATENCY_WINDOW = 8
# A start is detected when more than half of this many calls fail.
FAILURE_WINDOW = 8
# A call that fails within this part of the usual latency was not worked on.
FAST_FAILURE_PART = 0.25
BASELINE_SAMPLES = 20
BASELINE_WEIGHT = 0.05
MAX_KINDS = 64
CONNECT_TIMEOUTS_TO_DOWN = 2
READY_REPORTS_TO_LEAVE_DRAINING = 2


@attrs.frozen
class ConnectionRefused:
    """The backend server refused a connection."""


@attrs.frozen
class ConnectTimedOut:
    """A connection was not established in time."""


@attrs.frozen
class Reset:
    """An open connection was lost.

    Attributes:
      survivors: Whether another connection that was open at that time is
        still open. The end of a process closes all of its connections, so a
        survivor shows that the process still runs.
    """

    survivors: bool


@attrs.frozen
class AnswerReceived:
    """The backend server gave a complete answer.

    Attributes:
      kind: Calls of one kind share a latency baseline.
      sent_at: Time at which the request was written, in seconds.
      latency_s: Time from `sent_at` to the end of the answer, in seconds.
      in_flight: Calls in flight at `sent_at`, including this one.
      success: Whether the call ran; a shed call gives no latency sample.
      failed: Whether the status is 500 or more, except for a shed call.
    """

    kind: str
    sent_at: float
    latency_s: float
    in_flight: int
    success: bool = True
    failed: bool = False


@attrs.frozen
class ReportedHealth:
    """The health endpoint answered.

    Attributes:
      state: Reported state, such as ``ready``; None if it could not be read.
      load: Reported load, or None.
      sent_at: Time at which the poll was written, in seconds.
    """

    state: str | None
    load: float | None
    sent_at: float


@attrs.frozen
class Listed:
    """The platform's list names the backend server.

    Attributes:
      live: Whether the backend server accepts new calls.
      cold: Whether the backend server is in cold start.
    """

    live: bool
    cold: bool


Evidence = (
    ConnectionRefused
    | ConnectTimedOut
    | Reset
    | AnswerReceived
    | ReportedHealth
    | Listed
)


@attrs.frozen
class Baseline:
    """Usual latency of one kind of calls.

    Attributes:
      latency_s: Moving average in seconds.
      in_flight: Moving average of the calls in flight.
      samples: Number of samples, counted up to `BASELINE_SAMPLES`.
    """

    latency_s: float
    in_flight: float
    samples: int = 1


@attrs.frozen
class BackendState:
    """State of the backend server and the evidence it is derived from.

    Attributes:
      name: State of the chart: ``down``, ``cold``, ``ready``, ``draining``.
      ramp_s: Length of the ramp in seconds.
      since: Time of the last change of `name`, in seconds.
      starts: Number of restarts of the ramp. Each refused connection counts,
        so that the ramp stays at its start while the server is down.
      started_at: Time of the last restart of the ramp, in seconds.
      starting_since: Time of the first in the current series of ``starting``
        reports, in seconds, or None.
      reported_state: Last state that the health endpoint reported.
      repeats: How often that state was reported again in succession.
      load: Last load that the health endpoint reported.
      connect_timeouts: Connect time-outs since the last answer.
      baselines: Latency baseline by kind of call.
      ratios: Latencies of the last calls over their baselines.
      measured_from: Latencies of requests sent before this are ignored.
      failures: Whether each of the last calls failed fast; empty if none did.
        Calls that failed after a usual time are left out.
      listed_cold: Whether the platform's list last showed the backend server as
        cold.
      lost: Whether a loss of the backend server was observed.
      failing_since: Time at which more than half of the last calls first
        failed, in seconds; None until then and again once none failed.
    """

    name: str = CHART.initial
    ramp_s: float = 0.0
    since: float = 0.0
    starts: int = 0
    started_at: float = 0.0
    starting_since: float | None = None
    reported_state: str | None = None
    repeats: int = 0
    load: float | None = None
    connect_timeouts: int = 0
    baselines: Mapping[str, Baseline] = {}
    ratios: tuple[float, ...] = ()
    measured_from: float = 0.0
    failures: tuple[bool, ...] = ()
    failing_since: float | None = None
    listed_cold: bool = False
    lost: bool = False


def observe(
    state: BackendState, evidence: Evidence, now: float
) -> BackendState:
    """Returns the state after a piece of evidence.

    >>> state = observe(BackendState(ramp_s=5.0),
    ...                 ReportedHealth('ready', 0.0, 1.0), now=1.0)
    >>> state.name, tick(state, now=6.0).name
    ('cold', 'ready')
    """
    return _observe(evidence, tick(state, now), now)


def tick(state: BackendState, now: float) -> BackendState:
    """Returns the state at ``now``: a cold server is ready after its ramp."""
    if state.name == 'cold' and now >= state.started_at + state.ramp_s:
        return _advance(state, 'ramp_finished', now)
    return state


def ignore_earlier_latencies(state: BackendState, now: float) -> BackendState:
    """Returns the state after the node itself was paused until ``now``.

    Latencies of calls sent earlier include the pause, so they are ignored.
    """
    return attrs.evolve(state, measured_from=now, ratios=())


def set_ramp(state: BackendState, ramp_s: float) -> BackendState:
    """Returns the state under another length of the ramp, in seconds."""
    return attrs.evolve(state, ramp_s=ramp_s)


def _advance(state: BackendState, event: str, now: float) -> BackendState:
    """Applies an event of the chart; without a transition nothing changes."""
    if not CHART.allows(state.name, event):
        return state
    name = CHART.advance(state.name, event)
    since = state.since if name == state.name else now
    return attrs.evolve(state, name=name, since=since)


def _record_start(state: BackendState, now: float) -> BackendState:
    started = _advance(state, 'start_noticed', now)
    return attrs.evolve(
        started,
        starts=state.starts + 1,
        started_at=now,
        ratios=(),
        measured_from=now,
    )


def _record_loss(state: BackendState, now: float) -> BackendState:
    """Marks the server as down and keeps the ramp at its start."""
    lost = _advance(state, 'connection_lost', now)
    return attrs.evolve(
        lost,
        starts=state.starts + 1,
        started_at=now,
        starting_since=None,
        reported_state=None,
        repeats=0,
        ratios=(),
        measured_from=now,
        lost=True,
    )


@functools.singledispatch
def _observe(evidence: Evidence, state: BackendState, now: float):
    raise TypeError(f'unknown evidence {evidence!r}')


@_observe.register
def _(
    evidence: ConnectionRefused, state: BackendState, now: float
) -> BackendState:
    del evidence
    return _record_loss(state, now)


@_observe.register
def _(
    evidence: ConnectTimedOut, state: BackendState, now: float
) -> BackendState:
    del evidence
    count = state.connect_timeouts + 1
    counted = attrs.evolve(state, connect_timeouts=count)
    if count < CONNECT_TIMEOUTS_TO_DOWN:
        return counted
    return _record_loss(counted, now)


@_observe.register
def _(evidence: Reset, state: BackendState, now: float) -> BackendState:
    if evidence.survivors or state.name in ('down', 'draining'):
        return state
    return _record_start(state, now)


@_observe.register
def _(
    evidence: AnswerReceived, state: BackendState, now: float
) -> BackendState:
    contacted = _record_contact(state, evidence.sent_at, now)
    if evidence.failed or contacted.failures:
        contacted = _observe_failures(contacted, evidence, now)
    # A call that failed early or late says nothing about the usual latency.
    if evidence.failed or not evidence.success:
        return contacted
    if contacted.name != 'ready':
        return contacted
    if evidence.sent_at < contacted.measured_from:
        return contacted
    return _observe_latency(contacted, evidence, now)


@_observe.register
def _(
    evidence: ReportedHealth, state: BackendState, now: float
) -> BackendState:
    contacted = _record_contact(state, evidence.sent_at, now)
    same = (
        evidence.state is not None
        and evidence.state == contacted.reported_state
    )
    repeats = contacted.repeats + 1 if same else 0
    updated = attrs.evolve(
        contacted,
        reported_state=evidence.state,
        repeats=repeats,
        load=evidence.load,
    )
    if evidence.state == 'starting':
        return _handle_starting(updated, now)
    updated = attrs.evolve(updated, starting_since=None)
    if evidence.state == 'draining':
        return _advance(updated, 'drain_noticed', now)
    if evidence.state == 'ready' and updated.name == 'draining':
        if repeats + 1 >= READY_REPORTS_TO_LEAVE_DRAINING:
            return _record_start(updated, now)
    return updated


@_observe.register
def _(evidence: Listed, state: BackendState, now: float) -> BackendState:
    updated = attrs.evolve(state, listed_cold=evidence.cold)
    if not evidence.live:
        return _advance(updated, 'drain_noticed', now)
    if evidence.cold and not state.listed_cold:
        return _record_start(updated, now)
    if state.name not in ('down', 'draining'):
        return updated
    if state.lost or evidence.cold:
        return _record_start(updated, now)
    # The node has started, not its backend server, which is warm.
    started = _advance(updated, 'start_noticed', now)
    return _advance(started, 'ramp_finished', now)


def _handle_starting(state: BackendState, now: float) -> BackendState:
    """Restarts the ramp on ``starting``, for at most the length of one ramp.

    Without this bound, a health endpoint that is stuck at ``starting`` would
    keep its backend server at the initial slots for ever.
    """
    if state.starting_since is None:
        state = attrs.evolve(state, starting_since=now)
        return _record_start(state, now)
    if state.name == 'cold' and now < state.starting_since + state.ramp_s:
        return _record_start(state, now)
    return state


def _record_contact(
    state: BackendState, sent_at: float, now: float
) -> BackendState:
    """Marks a server that was down as started if it answered a new request.

    An answer to a request sent before the loss may come from a process that no
    longer listens.
    """
    if state.connect_timeouts:
        state = attrs.evolve(state, connect_timeouts=0)
    if state.name == 'down' and sent_at >= state.started_at:
        return _record_start(state, now)
    return state


def _observe_failures(
    state: BackendState, evidence: AnswerReceived, now: float
) -> BackendState:
    """Restarts the ramp when most calls fail fast.

    A server that fell over in cold start fails fast on open connections, so
    neither a reset nor the latency shows its state. A call that fails after the
    usual time was worked on, for example until a nested call was refused in an
    overload; a ramp would then hold back a warm server. The ramp is kept at its
    start for at most the length of one ramp, so that a faulty route doesn't
    keep its server there for ever.
    """
    if evidence.failed and not _is_fast(state, evidence):
        return state
    failures = (state.failures + (evidence.failed,))[-FAILURE_WINDOW:]
    if not any(failures):
        return attrs.evolve(state, failures=(), failing_since=None)
    if 2 * sum(failures) <= FAILURE_WINDOW:
        return attrs.evolve(state, failures=failures)
    since = now if state.failing_since is None else state.failing_since
    failing = attrs.evolve(state, failures=failures, failing_since=since)
    if state.name not in ('ready', 'cold') or now > since + state.ramp_s:
        return failing
    return _record_start(failing, now)


def _is_fast(state: BackendState, evidence: AnswerReceived) -> bool:
    """Returns whether an answer came too soon for the work of its call.

    An answer whose usual latency isn't known counts as fast.
    """
    baseline = state.baselines.get(evidence.kind)
    if baseline is None:
        # No call of this kind has succeeded here; another kind tells the scale.
        latencies = [b.latency_s for b in state.baselines.values()]
        usual_s = min(latencies, default=math.inf)
    else:
        usual_s = baseline.latency_s
    # A scheduling delay of the node itself may exceed a very short latency.
    usual_s = max(usual_s, MIN_BASELINE_S / FAST_FAILURE_PART)
    return evidence.latency_s <= FAST_FAILURE_PART * usual_s


def _observe_latency(
    state: BackendState, evidence: AnswerReceived, now: float
) -> BackendState:
    baseline = state.baselines.get(evidence.kind)
    if baseline is None or baseline.samples < BASELINE_SAMPLES:
        return attrs.evolve(
            state, baselines=_update_baselines(state, evidence, baseline)
        )
    ratio = evidence.latency_s / _expect_latency(baseline, evidence.in_flight)
    ratios = (state.ratios + (ratio,))[-LATENCY_WINDOW:]
    if len(ratios) == LATENCY_WINDOW:
        if sorted(ratios)[LATENCY_WINDOW // 2 - 1] > LATENCY_FACTOR:
            # A permanent rise of the latency must not be taken for another
            # start after each ramp, so the baselines are measured again.
            return attrs.evolve(_record_start(state, now), baselines={})
    if ratio > LATENCY_FACTOR:
        return attrs.evolve(state, ratios=ratios)
    # Both fields are set in one copy of the state, because each copy costs
    # several microseconds per call.
    baselines = _update_baselines(state, evidence, baseline)
    return attrs.evolve(state, ratios=ratios, baselines=baselines)


def _expect_latency(baseline: Baseline, in_flight: int) -> float:
    """Returns the latency expected with ``in_flight`` calls at the server.

    The latency of a server whose calls share its processors grows in proportion
    to the calls in flight, so a rise that the node's own load explains is no
    evidence of a start.
    """
    load_factor = max(1.0, in_flight / max(1.0, baseline.in_flight))
    return max(MIN_BASELINE_S, baseline.latency_s) * load_factor


def _update_baselines(
    state: BackendState, evidence: AnswerReceived, baseline: Baseline | None
) -> Mapping[str, Baseline]:
    """Returns the baselines with one more sample."""
    if baseline is None:
        if len(state.baselines) >= MAX_KINDS:
            return state.baselines
        updated = Baseline(evidence.latency_s, float(evidence.in_flight))
    else:
        samples = min(BASELINE_SAMPLES, baseline.samples + 1)
        weight = max(BASELINE_WEIGHT, 1.0 / samples)
        updated = Baseline(
            baseline.latency_s
            + weight * (evidence.latency_s - baseline.latency_s),
            baseline.in_flight
            + weight * (evidence.in_flight - baseline.in_flight),
            samples,
        )
    return {**state.baselines, evidence.kind: updated}
