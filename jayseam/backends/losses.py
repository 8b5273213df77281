"""Evidence of a restart from connections that are lost while idle or in use."""

import math
from collections.abc import Callable, Sequence

import gevent

from jayseam.backends import connections
from jayseam.backends import states

# A connection lost within this time after its last use did not reach an idle
# time-out of the backend server.
RECENT_USE_S = 1.0
# Allowance for delays of the node itself between evenly spaced polls.
IDLE_TOLERANCE = 1.2
# The sockets of an ended process are closed one after the other, so survivors
# are looked for again this long after the first loss.
SURVIVOR_CHECK_DELAY_S = 0.02


class LossObserver:
    """Reports lost connections as evidence on the state of a backend server.

    Args:
      report_evidence: Receives the evidence and the time.
      read_now: Clock, in seconds.
    """

    def __init__(
        self,
        report_evidence: Callable[[states.Evidence, float], None],
        read_now: Callable[[], float],
    ):
        self._report_evidence = report_evidence
        self._read_now = read_now
        self._pools: Sequence[connections.ConnectionPool] = ()
        self._check_is_scheduled = False
        # Longest idle time after which a connection was still open.
        self._longest_idle_s = 0.0
        self._loss_reported_at = -math.inf
        # End and length of the last pause of this process, in seconds.
        self._last_pause = (-math.inf, 0.0)
        # Times of last use and of discovery of the idle connection that was
        # lost last, in seconds.
        self._idle_loss = (-math.inf, -math.inf)

    def observe_pools(
        self, pools: Sequence[connections.ConnectionPool]
    ) -> None:
        """Sets the pools in which surviving connections are looked for."""
        self._pools = pools

    def record_idle_time(self, connection: connections.Connection) -> None:
        """Records that a connection was still open after its idle time."""
        if connection.last_used_at is not None:
            idle_s = self._read_now() - connection.last_used_at
            self._longest_idle_s = max(self._longest_idle_s, idle_s)

    def check_after_pause(self, now: float, paused_s: float) -> None:
        """Checks for losses of connections while the process paused.

        Args:
          now: Time at which the pause ended, in seconds.
          paused_s: Length of the pause, in seconds.
        """
        self._last_pause = (now, paused_s)
        # The next poll would come only after calls that are waiting now.
        for pool in self._pools:
            pool.close_lost()
        last_used_at, found_at = self._idle_loss
        if found_at > now - paused_s:
            # A poll found the loss before the pause was detected.
            self._report_recent_loss(last_used_at, found_at)

    def report_idle_loss(self, connection: connections.Connection) -> None:
        """Handles the loss of a connection that carried no request."""
        self._idle_loss = (connection.last_used_at, self._read_now())
        self._report_recent_loss(*self._idle_loss)

    def _report_recent_loss(self, last_used_at: float, found_at: float) -> None:
        """Reports the loss of an idle connection that was used recently.

        The loss counts only if other connections have stayed open while idle
        for as long, because a server may close each connection at once or after
        a short time-out. Each poll uses the control connection, so its loss
        shows a fast restart.
        """
        idle_s = found_at - last_used_at
        resumed_at, paused_s = self._last_pause
        if last_used_at < resumed_at:
            idle_s -= paused_s
        max_idle_s = min(RECENT_USE_S, IDLE_TOLERANCE * self._longest_idle_s)
        # One restart closes many connections, which are found one by one; only
        # the first loss counts.
        if idle_s < max_idle_s and last_used_at > self._loss_reported_at:
            # Only a connection opened before that use can show that the process
            # of that time still runs.
            self.report_loss(last_used_at)

    def report_loss(self, lost_at: float) -> None:
        """Reports a lost connection and whether other connections survived.

        A loss without survivors is reported at once, because a server that has
        restarted may already accept calls.

        Args:
          lost_at: Earliest time of the loss, in seconds.
        """
        if not self._has_survivor(lost_at):
            self._report_reset(survivors=False)
        elif not self._check_is_scheduled:
            self._check_is_scheduled = True
            gevent.spawn_later(
                SURVIVOR_CHECK_DELAY_S, self._check_survivors, lost_at
            )

    def _check_survivors(self, lost_at: float) -> None:
        self._check_is_scheduled = False
        self._report_reset(self._has_survivor(lost_at))

    def _report_reset(self, survivors: bool) -> None:
        now = self._read_now()
        if not survivors:
            self._loss_reported_at = now
        self._report_evidence(states.Reset(survivors), now)

    def _has_survivor(self, lost_at: float) -> bool:
        return any(pool.has_survivor(lost_at) for pool in self._pools)
