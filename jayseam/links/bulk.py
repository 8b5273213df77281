"""Large replies leave a node in turn, so that small messages don't wait.

All links of a node share its connection to the network. Large answers that are
written at once fill the queues on the way, in which every other message then
waits: the nested calls of the answers' own backend server, replies to them,
heartbeats. The node therefore writes only as many bytes of large replies as
leave within a short time.

The load that this answers: a service of downloads whose answers take most of
the bandwidth of its VMs.
"""

import collections
import contextlib
import fcntl
import math
import socket
import struct
import termios
from collections.abc import Callable, Iterator

import attrs
import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs

# Replies of at least this size are large, in bytes.
LARGE_BYTES = 16 * 1024
# Time for which large replies may delay each other on their way, in seconds.
TARGET_DELAY_S = 0.02
# Bounds of the large replies that may be on their way; a single one may exceed
# them.
MIN_WINDOW_BYTES = 32 * 1024
MAX_WINDOW_BYTES = 8 * 1024 * 1024
# A reply has left when at most this many bytes are unsent, in bytes.
_LEFT_BYTES = 16 * 1024
# Interval between two looks at what is unsent, in seconds.
_LOOK_S = 0.005
# A peer that takes nothing for this time doesn't hold up the others.
_STALL_S = 0.2
# Nor does one that takes it slowly for longer than this.
_MAX_TURN_S = 0.5
# Weight of a longer time in the shortest one, so that it follows a new route.
_AGING_WEIGHT = 0.01
_SHRINK_FACTOR = 0.5

DROPPED = prometheus_client.Counter(
    'jayseam_link_large_replies_dropped',
    'Large replies that were not sent, as their calls had run out of time',
)
WAITING = prometheus_client.Gauge(
    'jayseam_link_large_replies_waiting', 'Large replies that wait to be sent'
)

_log = logs.get_logger(__name__)


@attrs.frozen
class Window:
    """The large replies that a node may have on their way.

    It grows while replies leave about as soon as they would alone, and shrinks
    when they queue, as the window of a delay-based congestion control does.

    >>> window = Window()
    >>> window.allows(90_000), window.begin(90_000).allows(90_000)
    (True, False)

    Attributes:
      size_bytes: Bytes that may be on their way together.
      sent_bytes: Bytes that are on their way.
      alone_s: Time in which a reply leaves if it doesn't queue, in seconds;
        infinite until it is known.
    """

    size_bytes: float = MIN_WINDOW_BYTES
    sent_bytes: int = 0
    alone_s: float = math.inf

    def allows(self, n_bytes: int) -> bool:
        """Returns whether one more reply may be sent; one always may."""
        return (
            not self.sent_bytes or self.sent_bytes + n_bytes <= self.size_bytes
        )

    def begin(self, n_bytes: int) -> 'Window':
        """Returns the window after a reply was written."""
        return attrs.evolve(self, sent_bytes=self.sent_bytes + n_bytes)

    def cancel(self, n_bytes: int) -> 'Window':
        """Returns the window after a reply was not written after all."""
        return attrs.evolve(self, sent_bytes=self.sent_bytes - n_bytes)

    def finish(self, n_bytes: int, elapsed_s: float) -> 'Window':
        """Returns the window after a reply has left.

        Args:
          n_bytes: Size of the reply, in bytes.
          elapsed_s: Time since it was written, in seconds.
        """
        alone_s = elapsed_s
        if elapsed_s > self.alone_s:
            longer_s = elapsed_s - self.alone_s
            alone_s = self.alone_s + _AGING_WEIGHT * longer_s
        size = self.size_bytes
        if elapsed_s <= alone_s + TARGET_DELAY_S / 2:
            # Half a reply for each window of replies.
            size += n_bytes * min(1.0, n_bytes / size) / 2
        elif elapsed_s > alone_s + TARGET_DELAY_S:
            size *= _SHRINK_FACTOR
        size = min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, size))
        return Window(size, self.sent_bytes - n_bytes, alone_s)


class BulkSender:
    """Sends the large replies of all links of a node in turn."""

    def __init__(self):
        self._window = Window()
        self._waiters: collections.deque[tuple[int, event.Event]] = (
            collections.deque()
        )

    @contextlib.contextmanager
    def reserve(self, n_bytes: int, expires_at: float) -> Iterator[bool]:
        """Waits until a reply may be sent; it counts until the block ends.

        Args:
          n_bytes: Size of the reply, in bytes.
          expires_at: Time from which nobody waits for the reply, in seconds.

        Yields:
          Whether the reply may be sent; if not, it has expired while it waited.
        """
        if not self._wait(n_bytes, expires_at):
            DROPPED.inc()
            yield False
            return
        began_at = clocks.read_now()
        try:
            yield True
        finally:
            elapsed_s = clocks.read_now() - began_at
            self._window = self._window.finish(n_bytes, elapsed_s)
            self._admit()

    def _wait(self, n_bytes: int, expires_at: float) -> bool:
        if not self._waiters and self._window.allows(n_bytes):
            # Without a wait a late reply may still be in time for its peer.
            self._window = self._window.begin(n_bytes)
            return True
        waiter = (n_bytes, event.Event())
        self._waiters.append(waiter)
        left_s = max(0.0, expires_at - clocks.read_now())
        with WAITING.track_inprogress():
            try:
                if waiter[1].wait(None if left_s == math.inf else left_s):
                    return True
            except BaseException:
                if waiter[1].is_set():
                    self._window = self._window.cancel(n_bytes)
                    self._admit()
                else:
                    self._waiters.remove(waiter)
                raise
        if waiter[1].is_set():
            return True
        self._waiters.remove(waiter)
        return False

    def _admit(self) -> None:
        while self._waiters and self._window.allows(self._waiters[0][0]):
            n_bytes, admitted = self._waiters.popleft()
            self._window = self._window.begin(n_bytes)
            admitted.set()


def wait_until_left(count_unsent: Callable[[], int]) -> None:
    """Waits until what was written has left, or a peer takes too long for it.

    Args:
      count_unsent: Returns the bytes that have not left yet.
    """
    unsent = count_unsent()
    began_at = progress_at = now = clocks.read_now()
    while (
        unsent > _LEFT_BYTES
        and now < progress_at + _STALL_S
        and now < began_at + _MAX_TURN_S
    ):
        gevent.sleep(_LOOK_S)
        now = clocks.read_now()
        before, unsent = unsent, count_unsent()
        if unsent < before:
            progress_at = now


def count_unsent_bytes(sock: socket.socket) -> int:
    """Returns the bytes that a socket has not sent; zero if it isn't known.

    References:
      ``tcp(7)``, SIOCOUTQ, which has the value of TIOCOUTQ.
    """
    try:
        packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # A closed socket, or a machine that refuses to say.
        return 0
    return struct.unpack('i', packed)[0]
