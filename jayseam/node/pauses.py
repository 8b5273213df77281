"""Notices that the process was paused, before it acts on what it believed."""

from collections.abc import Callable

import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import tickers

TICK_S = 0.1
PAUSE_LIMIT_S = 1.0
REFRESH_LIMIT_S = 1.0

_log = logs.get_logger(__name__)


def detect_pause(last_tick: float, now: float) -> bool:
    """Tells whether the time since the last tick shows a pause.

    >>> detect_pause(10.0, 10.2), detect_pause(10.0, 11.5)
    (False, True)
    """
    return now - last_tick > PAUSE_LIMIT_S


class PauseGuard:
    """Holds calls after a pause until the node has refreshed its knowledge.

    Args:
      refresh: Takes the time and the length of the pause, in seconds. Asks
        peers for versions and members; returns when one has answered. It is
        given up after `REFRESH_LIMIT_S`.
    """

    def __init__(self, refresh: Callable[[float, float], None]):
        self._refresh = refresh
        self._last_tick = clocks.read_now()
        self._fresh = event.Event()
        self._fresh.set()
        self._greenlet: gevent.Greenlet | None = None
        self.pauses = 0

    def start(self) -> None:
        """Starts the ticker."""
        self._last_tick = clocks.read_now()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the ticker."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def ensure_fresh(self, now: float) -> float:
        """Returns the time at which the caller may go on.

        After a pause the first caller may run before the ticker does, so the
        comparison is made here too.
        """
        if detect_pause(self._last_tick, now):
            self._begin_refresh(now)
        if self._fresh.is_set():
            return now
        self._fresh.wait(REFRESH_LIMIT_S + PAUSE_LIMIT_S)
        return clocks.read_now()

    def _run(self) -> None:
        while True:
            tickers.wait_tick(TICK_S)
            now = clocks.read_now()
            if detect_pause(self._last_tick, now):
                self._begin_refresh(now)
            self._last_tick = now

    def _begin_refresh(self, now: float) -> None:
        paused_s = now - self._last_tick
        self._last_tick = now
        self._fresh.clear()
        self.pauses += 1
        _log.warning('node.pause_detected', extra={'paused_s': paused_s})
        gevent.spawn(self._run_refresh, now, paused_s)

    def _run_refresh(self, now: float, paused_s: float) -> None:
        try:
            with gevent.Timeout(REFRESH_LIMIT_S, False):
                self._refresh(now, paused_s)
        finally:
            self._fresh.set()
