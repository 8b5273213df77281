"""State of the node's own backend server, derived from evidence.

The functions are pure: `observe` takes the state, one piece of evidence and
the time, and returns the next state. A start of the backend server is
noticed by refused or reset connections, by words of its health endpoint and
by a latency far above its baseline. `BackendState.starts` counts the restarts
of the ramp; the owner restarts the ramp of the gate when the count changes.

See Also:
  ``docs/design.md``, sections 5.4 and 8; ``jayseam/core/charts/backend.json``.
"""

import functools
from collections.abc import Mapping

import attrs

from jayseam.core import statecharts

CHART = statecharts.load_chart('backend')

LATENCY_FACTOR = 5.0
# The factor means nothing below this: a scheduling delay of the node itself
# already exceeds five times a baseline of 0.1 ms.
MIN_BASELINE_S = 0.001
# One slow call is no evidence; a start is noticed when more than half of this
# many calls are slow.
LATENCY_WINDOW = 8
# A start is noticed when more than half of this many calls fail.
FAILURE_WINDOW = 8
BASELINE_SAMPLES = 20
BASELINE_WEIGHT = 0.05
MAX_KINDS = 64
CONNECT_TIMEOUTS_TO_DOWN = 2
READY_WORDS_TO_LEAVE_DRAINING = 2


@attrs.frozen
class Refused:
    """The backend server refused a connection."""


@attrs.frozen
class ConnectTimedOut:
    """A connection was not established in time."""


@attrs.frozen
class Reset:
    """A connection was lost while a call waited for its answer.

    Attributes:
      survivors: Whether another connection that was open at that time still
        is. The end of a process closes all of its connections, so a survivor
        shows that the process still runs.
    """

    survivors: bool


@attrs.frozen
class Answered:
    """The backend server gave a whole answer.

    Attributes:
      kind: Calls of one kind share a latency baseline.
      sent_at: Time at which the request was written, in seconds.
      latency_s: Time from then to the end of the answer, in seconds.
      in_flight: Calls in flight when the request was written, including it.
      success: Whether the call ran; a shed call says nothing on latency.
      failed: Whether the status is 500 or more, except for a shed call.
    """

    kind: str
    sent_at: float
    latency_s: float
    in_flight: int
    success: bool = True
    failed: bool = False


@attrs.frozen
class HealthWord:
    """The health endpoint answered.

    Attributes:
      word: Its state, such as ``ready``; None if it could not be read.
      load: Its load, or None.
      sent_at: Time at which the poll was written, in seconds.
    """

    word: str | None
    load: float | None
    sent_at: float


@attrs.frozen
class Listed:
    """The platform's list names the backend server.

    Attributes:
      live: Whether it takes new work.
      cold: Whether it is in cold start.
    """

    live: bool
    cold: bool


Evidence = Refused | ConnectTimedOut | Reset | Answered | HealthWord | Listed


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
    """What is known of the backend server.

    Attributes:
      name: State of the chart: ``down``, ``cold``, ``ready``, ``draining``.
      ramp_s: Length of the ramp in seconds.
      since: Time of the last change of `name`, in seconds.
      starts: Number of restarts of the ramp. Each refused connection counts,
        so that the ramp stays at its start while the server is down.
      started_at: Time of the last of them, in seconds.
      starting_since: Time of the first of the current run of ``starting``
        words, in seconds, or None.
      word: Last word of the health endpoint.
      repeats: How often that word was repeated without another between.
      load: Last load of the health endpoint.
      connect_timeouts: Connect time-outs since the last contact.
      baselines: Latency baseline by kind of call.
      ratios: Latencies of the last calls over their baselines.
      measured_from: Latencies of requests sent before this are ignored.
      failures: Whether each of the last calls failed; empty if none did.
      listed_cold: Whether the platform's list last said that it is cold.
      lost: Whether it was reached before and then lost.
      failing_since: Time of the first start noticed by failures since more
        than half of them last succeeded, in seconds, or None.
    """

    name: str = CHART.initial
    ramp_s: float = 0.0
    since: float = 0.0
    starts: int = 0
    started_at: float = 0.0
    starting_since: float | None = None
    word: str | None = None
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

    >>> state = observe(BackendState(ramp_s=5.0), HealthWord('ready', 0.0, 1.0),
    ...                 now=1.0)
    >>> state.name, tick(state, now=6.0).name
    ('cold', 'ready')
    """
    return _observe(evidence, tick(state, now), now)


def tick(state: BackendState, now: float) -> BackendState:
    """Returns the state at ``now``: a cold server is ready after its ramp."""
    if state.name == 'cold' and now >= state.started_at + state.ramp_s:
        return _advance(state, 'ramp_finished', now)
    return state


def notice_pause(state: BackendState, now: float) -> BackendState:
    """Returns the state after the node itself was paused until ``now``.

    Latencies of calls sent before include the pause, so they are ignored.
    """
    return attrs.evolve(state, measured_from=now, ratios=())


def set_ramp(state: BackendState, ramp_s: float) -> BackendState:
    """Returns the state under another length of the ramp, in seconds."""
    return attrs.evolve(state, ramp_s=ramp_s)


def _advance(state: BackendState, event: str, now: float) -> BackendState:
    """Applies an event of the chart; one that it lacks changes nothing."""
    if not CHART.allows(state.name, event):
        return state
    name = CHART.advance(state.name, event)
    since = state.since if name == state.name else now
    return attrs.evolve(state, name=name, since=since)


def _notice_start(state: BackendState, now: float) -> BackendState:
    started = _advance(state, 'start_noticed', now)
    return attrs.evolve(
        started,
        starts=state.starts + 1,
        started_at=now,
        ratios=(),
        measured_from=now,
    )


def _notice_loss(state: BackendState, now: float) -> BackendState:
    """Marks the server as down and holds the ramp at its start."""
    lost = _advance(state, 'connection_lost', now)
    return attrs.evolve(
        lost,
        starts=state.starts + 1,
        started_at=now,
        starting_since=None,
        word=None,
        repeats=0,
        ratios=(),
        measured_from=now,
        lost=True,
    )


@functools.singledispatch
def _observe(evidence: Evidence, state: BackendState, now: float):
    raise TypeError(f'unknown evidence {evidence!r}')


@_observe.register
def _(evidence: Refused, state: BackendState, now: float) -> BackendState:
    del evidence
    return _notice_loss(state, now)


@_observe.register
def _(
    evidence: ConnectTimedOut, state: BackendState, now: float
) -> BackendState:
    del evidence
    count = state.connect_timeouts + 1
    counted = attrs.evolve(state, connect_timeouts=count)
    if count < CONNECT_TIMEOUTS_TO_DOWN:
        return counted
    return _notice_loss(counted, now)


@_observe.register
def _(evidence: Reset, state: BackendState, now: float) -> BackendState:
    if evidence.survivors or state.name in ('down', 'draining'):
        return state
    return _notice_start(state, now)


@_observe.register
def _(evidence: Answered, state: BackendState, now: float) -> BackendState:
    contacted = _notice_contact(state, evidence.sent_at, now)
    if evidence.failed or contacted.failures:
        contacted = _observe_failures(contacted, evidence, now)
    if contacted.name != 'ready' or not evidence.success:
        return contacted
    if evidence.sent_at < contacted.measured_from:
        return contacted
    return _observe_latency(contacted, evidence, now)


@_observe.register
def _(evidence: HealthWord, state: BackendState, now: float) -> BackendState:
    contacted = _notice_contact(state, evidence.sent_at, now)
    same = evidence.word is not None and evidence.word == contacted.word
    repeats = contacted.repeats + 1 if same else 0
    heard = attrs.evolve(
        contacted, word=evidence.word, repeats=repeats, load=evidence.load
    )
    if evidence.word == 'starting':
        return _hear_starting(heard, now)
    heard = attrs.evolve(heard, starting_since=None)
    if evidence.word == 'draining':
        return _advance(heard, 'drain_noticed', now)
    if evidence.word == 'ready' and heard.name == 'draining':
        if repeats + 1 >= READY_WORDS_TO_LEAVE_DRAINING:
            return _notice_start(heard, now)
    return heard


@_observe.register
def _(evidence: Listed, state: BackendState, now: float) -> BackendState:
    heard = attrs.evolve(state, listed_cold=evidence.cold)
    if not evidence.live:
        return _advance(heard, 'drain_noticed', now)
    if evidence.cold and not state.listed_cold:
        return _notice_start(heard, now)
    if state.name not in ('down', 'draining'):
        return heard
    if state.lost or evidence.cold:
        return _notice_start(heard, now)
    # It is the node that started, and its backend server is warm.
    started = _advance(heard, 'start_noticed', now)
    return _advance(started, 'ramp_finished', now)


def _hear_starting(state: BackendState, now: float) -> BackendState:
    """Restarts the ramp on ``starting``, for at most one ramp's length.

    The limit on repetition keeps a health endpoint that is stuck at
    ``starting`` from holding its backend server at the first slots for ever.
    """
    if state.starting_since is None:
        state = attrs.evolve(state, starting_since=now)
        return _notice_start(state, now)
    if state.name == 'cold' and now < state.starting_since + state.ramp_s:
        return _notice_start(state, now)
    return state


def _notice_contact(
    state: BackendState, sent_at: float, now: float
) -> BackendState:
    """Marks a server that was down as started if it took a new request.

    An answer to a request sent before the loss may come from a process that
    no longer listens.
    """
    if state.connect_timeouts:
        state = attrs.evolve(state, connect_timeouts=0)
    if state.name == 'down' and sent_at >= state.started_at:
        return _notice_start(state, now)
    return state


def _observe_failures(
    state: BackendState, evidence: Answered, now: float
) -> BackendState:
    """Takes calls most of which fail for a server that fell over when cold.

    Such a server fails fast on open connections, so neither a reset nor the
    latency shows it. The ramp is held at its start for at most one ramp's
    length, so that a faulty route does not hold its server there for ever.
    """
    failures = (state.failures + (evidence.failed,))[-FAILURE_WINDOW:]
    if not any(failures):
        return attrs.evolve(state, failures=(), failing_since=None)
    if 2 * sum(failures) <= FAILURE_WINDOW:
        return attrs.evolve(state, failures=failures)
    since = now if state.failing_since is None else state.failing_since
    known = attrs.evolve(state, failures=failures, failing_since=since)
    if state.name not in ('ready', 'cold') or now > since + state.ramp_s:
        return known
    return _notice_start(known, now)


def _observe_latency(
    state: BackendState, evidence: Answered, now: float
) -> BackendState:
    baseline = state.baselines.get(evidence.kind)
    if baseline is None or baseline.samples < BASELINE_SAMPLES:
        return attrs.evolve(state, baselines=_learn(state, evidence, baseline))
    ratio = evidence.latency_s / _expect_latency(baseline, evidence.in_flight)
    ratios = (state.ratios + (ratio,))[-LATENCY_WINDOW:]
    if len(ratios) == LATENCY_WINDOW:
        if sorted(ratios)[LATENCY_WINDOW // 2 - 1] > LATENCY_FACTOR:
            # A latency that has risen for good must not be taken for a start
            # again after each ramp, so the baselines are learnt anew.
            return attrs.evolve(_notice_start(state, now), baselines={})
    if ratio > LATENCY_FACTOR:
        return attrs.evolve(state, ratios=ratios)
    # One copy of the state per call: each costs several microseconds.
    baselines = _learn(state, evidence, baseline)
    return attrs.evolve(state, ratios=ratios, baselines=baselines)


def _expect_latency(baseline: Baseline, in_flight: int) -> float:
    """Returns the latency expected with ``in_flight`` calls at the server.

    A server that shares its processors takes longer in proportion to the calls
    in flight, so a rise that the node's own load explains is no evidence.
    """
    crowding = max(1.0, in_flight / max(1.0, baseline.in_flight))
    return max(MIN_BASELINE_S, baseline.latency_s) * crowding


def _learn(
    state: BackendState, evidence: Answered, baseline: Baseline | None
) -> Mapping[str, Baseline]:
    """Returns the baselines with one more sample."""
    if baseline is None:
        if len(state.baselines) >= MAX_KINDS:
            return state.baselines
        learnt = Baseline(evidence.latency_s, float(evidence.in_flight))
    else:
        samples = min(BASELINE_SAMPLES, baseline.samples + 1)
        weight = max(BASELINE_WEIGHT, 1.0 / samples)
        learnt = Baseline(
            baseline.latency_s
            + weight * (evidence.latency_s - baseline.latency_s),
            baseline.in_flight
            + weight * (evidence.in_flight - baseline.in_flight),
            samples,
        )
    return {**state.baselines, evidence.kind: learnt}
