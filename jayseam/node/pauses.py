"""Detects pauses of the process, so that no call is served by stale state."""

import math
from collections.abc import Callable

import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import tickers

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 1.0
REFRESH_TIMEOUT_S = 1.0
RETRY_S = 0.05
# Lateness of a tick that is logged, at most once in the interval, in seconds.
_LATE_S = 0.25
_LATE_INTERVAL_S = 5.0

LATENESS = prometheus_client.Histogram(
    'jayseam_wakeup_lateness_seconds',
    'Time by which a periodic timer of the process was late',
    buckets=(0.003, 0.01, 0.03, 0.1, 0.25, 1.0, 3.0),
)

_log = logs.get_logger(__name__)


def detect_pause(last_tick: float, now: float) -> bool:
    """Returns whether the process was paused since the last tick.

    >>> detect_pause(10.0, 10.2), detect_pause(10.0, 11.5)
    (False, True)
    """
    return now - last_tick > PAUSE_THRESHOLD_S


class PauseGuard:
    """Holds calls back after a pause until the node has refreshed its state.

    Args:
      refresh: Takes the time and the length of the pause, in seconds. Asks
        peers for their versions and returns when a peer has answered. It is
        cancelled after `REFRESH_TIMEOUT_S`.
    """

    def __init__(self, refresh: Callable[[float, float], None]):
        self._refresh = refresh
        self._last_tick = clocks.read_now()
        self._late_logged_at = -math.inf
        self._refreshed = event.Event()
        self._refreshed.set()
        self._greenlet: gevent.Greenlet | None = None
        self.n_pauses = 0

    def start(self) -> None:
        """Starts the ticker."""
        self._last_tick = clocks.read_now()
        self._greenlet = loops.spawn_loop(self._run)

    def stop(self) -> None:
        """Ends the ticker."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def wait_for_refresh(self, now: float) -> float:
        """Waits for the refresh after a pause; returns the time afterwards.

        Without a pause, returns ``now`` at once. After a pause a call may be
        scheduled before the ticker, so the pause is detected here too.
        """
        if detect_pause(self._last_tick, now):
            self._begin_refresh(now)
        if self._refreshed.is_set():
            return now
        self._refreshed.wait(REFRESH_TIMEOUT_S + PAUSE_THRESHOLD_S)
        return clocks.read_now()

    def _run(self) -> None:
        while True:
            tickers.sleep_until_tick(TICK_INTERVAL_S)
            now = clocks.read_now()
            self._observe_lateness(now)
            if detect_pause(self._last_tick, now):
                self._begin_refresh(now)
            self._last_tick = now

    def _observe_lateness(self, now: float) -> None:
        """Records how late this tick is, and logs late ones now and then."""
        late_s = max(0.0, now - self._last_tick - TICK_INTERVAL_S)
        LATENESS.observe(late_s)
        if late_s > _LATE_S and now >= self._late_logged_at + _LATE_INTERVAL_S:
            self._late_logged_at = now
            _log.warning('node.woken_late', extra={'late_s': round(late_s, 3)})

    def _begin_refresh(self, now: float) -> None:
        paused_s = now - self._last_tick
        self._last_tick = now
        self._refreshed.clear()
        self.n_pauses += 1
        _log.warning('node.pause_detected', extra={'paused_s': paused_s})
        gevent.spawn(self._run_refresh, self.n_pauses, now, paused_s)

    def _run_refresh(self, number: int, now: float, paused_s: float) -> None:
        """Refreshes the state after the pause with a number."""
        try:
            with gevent.Timeout(REFRESH_TIMEOUT_S, False):
                self._refresh_with_retries(now, paused_s)
        finally:
            # What an earlier refresh has brought may be outdated again.
            if number == self.n_pauses:
                self._refreshed.set()

    def _refresh_with_retries(self, now: float, paused_s: float) -> None:
        """Refreshes the state, again after an error."""
        while True:
            try:
                self._refresh(now, paused_s)
                return
            except Exception:  # pylint: disable=broad-exception-caught
                # Calls must not run by the state before the pause as long as
                # there is time for another attempt.
                _log.exception('node.refresh_failed')
            gevent.sleep(RETRY_S)
