"""Task that polls the health endpoint and tracks the backend server's state.

Reported health is a hint: apart from ``draining`` and ``starting``, the states
that the endpoint reports don't override evidence from calls.

See Also:
  ``docs/design.md``, section 5.4.
"""

import json
from collections.abc import Callable
from typing import Any

import attrs
import gevent

from jayseam.backends import client as backend_client
from jayseam.backends import errors
from jayseam.backends import states
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import tickers

HEALTH_PATH = '/.backend/health'
POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0

_log = logs.get_logger(__name__)


def parse_health(body: bytes) -> tuple[str | None, float | None]:
    """Returns the state and the load in a health answer.

    A part that is missing or malformed is None.

    >>> parse_health(b'{"state": "ready", "load": 0.5}')
    ('ready', 0.5)
    >>> parse_health(b'<html>')
    (None, None)
    """
    try:
        document = json.loads(body)
    except ValueError:
        return None, None
    if not isinstance(document, dict):
        return None, None
    reported_state, load = document.get('state'), document.get('load')
    if not isinstance(reported_state, str):
        reported_state = None
    if isinstance(load, bool) or not isinstance(load, (int, float)):
        load = None
    return reported_state, load


def describe_evidence(
    state: states.BackendState, evidence: states.Evidence | None
) -> dict[str, Any]:
    """Returns log fields on what moved a state.

    >>> describe_evidence(states.BackendState(), states.Reset(False))
    {'evidence': 'Reset', 'survivors': False, 'failures': 0, 'ratios': []}
    >>> describe_evidence(states.BackendState(), None)['evidence']
    'time'

    Args:
      state: The state before.
      evidence: The evidence; None if only time has passed.
    """
    fields = {} if evidence is None else attrs.asdict(evidence)
    fields.pop('sent_at', None)
    return {
        'evidence': 'time' if evidence is None else type(evidence).__name__,
        **fields,
        'failures': sum(state.failures),
        'ratios': [round(ratio, 1) for ratio in state.ratios],
    }


class HealthMonitor:
    """Owns the state of the backend server.

    Evidence is applied synchronously, in the greenlet that found it. With a
    queue between a refused connection and the restart of the ramp, calls would
    be admitted in the meantime.

    >>> monitor = HealthMonitor(ramp_s=5.0, on_start=print, on_state=print)
    >>> monitor.observe(states.ReportedHealth('ready', 0.0, 7.0), now=7.0)
    7.0
    cold
    """

    def __init__(
        self,
        ramp_s: float,
        on_start: Callable[[float], None],
        on_state: Callable[[str], None],
        polls: bool = True,
    ):
        """Creates a monitor of a server that is down until first contact.

        Args:
          ramp_s: Length of the ramp in seconds.
          on_start: Receives the time of each detected start, in seconds;
            normally `admission.gates.Gate.restart_ramp`.
          on_state: Receives the name of the state after each change.
          polls: Whether the health endpoint is polled. Otherwise the state is
            derived from calls and from the platform's list.
        """
        self._polls = polls
        self._state = states.BackendState(ramp_s=ramp_s)
        self._on_start = on_start
        self._on_state = on_state
        self._client: backend_client.BackendClient | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._read_now = clocks.read_now
        self._listing: states.Listed | None = None

    @property
    def state(self) -> states.BackendState:
        """The state after the last evidence."""
        return self._state

    def observe(self, evidence: states.Evidence, now: float) -> None:
        """Applies evidence; pass this method to `BackendClient`."""
        self._apply(states.observe(self._state, evidence, now), evidence)

    def tick(self, now: float) -> None:
        """Applies the current time, which may end the ramp."""
        self._apply(states.tick(self._state, now))

    def ignore_earlier_latencies(self, now: float) -> None:
        """Ignores latencies measured across a pause that ended at ``now``."""
        self._apply(states.ignore_earlier_latencies(self._state, now))

    def set_ramp(self, ramp_s: float) -> None:
        """Changes the length of the ramp, in seconds."""
        self._state = states.set_ramp(self._state, ramp_s)

    def start(self, client: backend_client.BackendClient) -> None:
        """Polls through ``client`` until `stop`."""
        self._client = client
        self._greenlet = loops.spawn_loop(self._run)

    def stop(self) -> None:
        """Ends polling."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def apply_listing(self, live: bool, cold: bool, now: float) -> None:
        """Applies the entry of the backend server in the platform's list."""
        self._listing = states.Listed(live, cold)
        self.observe(self._listing, now)

    def _check_listing(self) -> None:
        """Applies the last listing again, so that a lost server is retried."""
        if self._listing is not None:
            self.observe(self._listing, self._read_now())
        self.tick(self._read_now())

    def poll_once(self) -> None:
        """Polls the health endpoint and applies the result."""
        sent_at = self._read_now()
        try:
            answer = self._client.poll(HEALTH_PATH, POLL_TIMEOUT_S)
        except errors.BackendError as error:
            # The client has reported a refused or lost connection already.
            _log.debug('backend.health_failed', extra={'error': str(error)})
            self.tick(self._read_now())
            return
        # The status is ignored, because a draining server may answer 503.
        reported_state, load = parse_health(answer.body)
        evidence = states.ReportedHealth(reported_state, load, sent_at)
        self.observe(evidence, self._read_now())

    def _run(self) -> None:
        while True:
            try:
                if self._polls:
                    self.poll_once()
                else:
                    self._check_listing()
            except Exception:  # pylint: disable=broad-exception-caught
                # One faulty poll must not end the task.
                _log.exception('backend.poll_failed')
            tickers.sleep_until_tick(POLL_INTERVAL_S)

    def _apply(
        self,
        state: states.BackendState,
        evidence: states.Evidence | None = None,
    ) -> None:
        before, self._state = self._state, state
        if state.starts != before.starts:
            self._on_start(state.started_at)
        if state.name != before.name:
            _log.info(
                'backend.state_changed',
                extra={
                    'before': before.name,
                    'after': state.name,
                    'starts': state.starts,
                    **describe_evidence(before, evidence),
                },
            )
            self._on_state(state.name)
