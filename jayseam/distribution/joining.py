"""Brings a fresh node to the greatest versions that it can find."""

from collections.abc import Callable

from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.source import backoff

# Interval at which a node checks whether its first pulls are done; they take
# much less time than this.
_CHECK_INTERVAL_S = 0.5
# Interval at which a node asks peers whether they have newer versions than it
# read from the source; their records arrive meanwhile.
_COMPARE_INTERVAL_S = 0.1
# Time after which a node that reaches no peer relies on the source alone, in
# seconds.
COMPARE_TIMEOUT_S = 4.0
_log = logs.get_logger(__name__)


class Joiner:
    """Asks peers, then the source, until the node holds every channel.

    Seeds and neighbours are asked first. The source is read after a wait with
    full jitter, and only while the node holds no channel at all, so that a mass
    restart does not use up the read budget of the source.

    Then peers are asked until none has a newer version: a source that was
    restored from a copy may have lost what they remember.

    Attributes:
      may_watch: Whether peers have been asked before the source is watched.
      has_joined: Whether the node holds every channel and no peer that replied
        has a newer version.
    """

    def __init__(
        self,
        ask_peers: Callable[[], bool | None],
        read_source: Callable[[], None],
        count_held: Callable[[], int],
        n_channels: int,
        changed: event.Event,
        uniform: Callable[[], float],
        on_joined: Callable[[], None],
        wait_s: float = backoff.DEFAULT_CAP_S,
    ):
        """Prepares the join.

        Args:
          ask_peers: Asks seeds and neighbours; returns whether one has a newer
            version, or None if none replied.
          read_source: Reads the source once.
          count_held: Returns the number of channels held.
          n_channels: Number of channels.
          changed: Set and cleared at once at each swap and rejection.
          uniform: Returns a random number in [0, 1).
          on_joined: Called when the node has joined.
          wait_s: Upper bound of the first wait before the source is read, in
            seconds.
        """
        self._ask_peers = ask_peers
        self._read_source = read_source
        self._count_held = count_held
        self._n_channels = n_channels
        self._changed = changed
        self._retry = backoff.RetryTimer(uniform, wait_s)
        self._on_joined = on_joined
        self.may_watch = False
        self.has_joined = False

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
        self._compare_with_peers()
        self.has_joined = True
        self._on_joined()

    def _compare_with_peers(self) -> None:
        """Waits until peers have replied and none has a newer version."""
        deadline = clocks.read_now() + COMPARE_TIMEOUT_S
        while (has_newer := self._has_newer_peer()) is not False:
            if clocks.read_now() >= deadline:
                _log.warning(
                    'distribution.join_not_compared',
                    extra={'replied': has_newer is not None},
                )
                return
            self._changed.wait(_COMPARE_INTERVAL_S)

    def _has_newer_peer(self) -> bool | None:
        try:
            return self._ask_peers()
        except Exception:  # pylint: disable=broad-exception-caught
            # A bug in the requests to peers must not end the join.
            _log.exception('distribution.join_failed')
            return None
