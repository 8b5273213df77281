"""Brings a fresh node to the greatest versions that it can find."""

from collections.abc import Callable

from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.source import backoff

# Interval at which a node checks whether its first pulls are done; they take
# much less time than this.
_CHECK_INTERVAL_S = 0.5
_log = logs.get_logger(__name__)


class Joiner:
    """Asks peers, then the source, until the node holds every channel.

    Seeds and neighbours are asked first. The source is read after a wait with
    full jitter, and only while the node holds no channel at all, so that a mass
    restart does not use up the read budget of the source.
    """

    def __init__(
        self,
        ask_peers: Callable[[], bool],
        read_source: Callable[[], None],
        count_held: Callable[[], int],
        n_channels: int,
        changed: event.Event,
        uniform: Callable[[], float],
        wait_s: float = backoff.DEFAULT_CAP_S,
    ):
        """Prepares the join.

        Args:
          ask_peers: Asks seeds and neighbours; returns whether one has a newer
            version.
          read_source: Reads the source once.
          count_held: Returns the number of channels held.
          n_channels: Number of channels.
          changed: Set and cleared at once at each swap and rejection.
          uniform: Returns a random number in [0, 1).
          wait_s: Upper bound of the first wait before the source is read, in
            seconds.
        """
        self._ask_peers = ask_peers
        self._read_source = read_source
        self._count_held = count_held
        self._n_channels = n_channels
        self._changed = changed
        self._retry = backoff.RetryTimer(uniform, wait_s)
        # A reader starts to watch the source only after peers have been asked.
        self.may_watch = False

    def run(self) -> None:
        """Runs until the node holds every channel."""
        while self._count_held() < self._n_channels:
            if self._has_newer_peer():
                self.may_watch = True
                self._changed.wait(_CHECK_INTERVAL_S)
                continue
            if self._retry.failures and not self._count_held():
                self._read_source()
            self._changed.wait(self._retry.fail(clocks.read_now()))
            self.may_watch = True
        self.may_watch = True

    def _has_newer_peer(self) -> bool:
        try:
            return self._ask_peers()
        except Exception:  # pylint: disable=broad-exception-caught
            # A bug in the requests to peers must not end the join.
            _log.exception('distribution.join_failed')
            return False
