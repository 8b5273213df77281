"""Brings a fresh node onto the greatest version that it can find."""

from collections.abc import Callable

from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.source import backoff

# A fresh node's first pulls end well within this time.
_CHECK_S = 0.5
_log = logs.get_logger(__name__)


class Joiner:
    """Asks peers, then the source, until every channel is held.

    Seeds are asked first. The source is read after a wait with full jitter,
    and only while nothing at all is held, so that a mass restart does not use
    up the source's budget.
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
          ask_peers: Asks seeds and neighbours; tells whether one has a newer
            version.
          read_source: Reads the source once.
          count_held: Returns the number of channels held.
          n_channels: Number of channels.
          changed: Set for a moment at each swap and rejection.
          uniform: Returns a random number in [0, 1).
          wait_s: Longest first wait before the source is read, in seconds.
        """
        self._ask_peers = ask_peers
        self._read_source = read_source
        self._count_held = count_held
        self._n_channels = n_channels
        self._changed = changed
        self._retry = backoff.Retry(uniform, wait_s)
        # Readers watch the source only after peers have been asked.
        self.may_read = False

    def run(self) -> None:
        """Runs until every channel is held."""
        while self._count_held() < self._n_channels:
            if self._find_at_peers():
                self.may_read = True
                self._changed.wait(_CHECK_S)
                continue
            if self._retry.failures and not self._count_held():
                self._read_source()
            self._changed.wait(self._retry.fail(clocks.read_now()))
            self.may_read = True
        self.may_read = True

    def _find_at_peers(self) -> bool:
        try:
            return self._ask_peers()
        except Exception:  # pylint: disable=broad-exception-caught
            # A fault in asking must not end the join.
            _log.exception('distribution.join_failed')
            return False
