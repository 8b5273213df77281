"""Metrics and log lines about the limit on the calls in flight."""

import math

import prometheus_client

from jayseam.admission import ramps
from jayseam.core import logs

# Least time between two lines about the limit, in seconds. Changes between
# them are counted and named in the next line.
MIN_LINE_INTERVAL_S = 1.0

_limit = prometheus_client.Gauge(
    'jayseam_pace_limit', 'Calls allowed in flight at the backend server'
)
_changes = prometheus_client.Counter(
    'jayseam_pace_changes',
    'Changes of the limit that follows the answers, by reason',
    ('reason',),
)

_log = logs.get_logger(__name__)


class PaceReporter:
    """Reports the changes of one gate's ramp.

    A ramp that doesn't adapt to answers has no phase and is not reported.
    """

    def __init__(self):
        self._phase = 'full'
        self._next_line_at = -math.inf
        self._unlogged = 0

    def report(self, before: ramps.Ramp, after: ramps.Ramp, now: float) -> None:
        """Counts a change of the limit and logs a change of phase.

        Args:
          before: The ramp before an event.
          after: The ramp after it.
          now: Current time in seconds.
        """
        if not after.adapts_to_answers:
            return
        _limit.set(after.compute_limit(now))
        if after.changes != before.changes:
            _changes.labels(after.reason).inc()
            self._unlogged += 1
        phase = after.phase.value
        if phase == self._phase or now < self._next_line_at:
            return
        _log.info(
            'admission.pace_changed',
            extra={
                'phase_before': self._phase,
                'phase': phase,
                'limit': after.compute_limit(now),
                'slots': after.slots,
                'reason': after.reason,
                'slowness': round(math.exp(after.slowness.log_ratio), 2),
                'changes': self._unlogged,
            },
        )
        self._phase = phase
        self._next_line_at = now + MIN_LINE_INTERVAL_S
        self._unlogged = 0
