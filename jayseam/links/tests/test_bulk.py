"""Tests of large replies that leave a node in turn."""

import math

import gevent
import pytest
from gevent import event

from jayseam.core import clocks
from jayseam.links import bulk
from jayseam.links.tests import nodes

REPLY_BYTES = 90_000
# Delay that large replies may cause to a small message behind them: the target,
# one reply that exceeds it, and as much again for late timers.
MAX_DELAY_S = 2 * bulk.TARGET_DELAY_S + 0.1


class _Network:
    """A network connection of a machine, whose queue is first in, first out.

    Args:
      bytes_per_s: Rate at which the queue empties.
      round_trip_s: Time until bytes that have left are acknowledged.

    Attributes:
      delays: Time that a small message would have waited, at each write.
    """

    def __init__(self, bytes_per_s, round_trip_s):
        self._bytes_per_s = bytes_per_s
        self._round_trip_s = round_trip_s
        self._empty_at = 0.0
        self.delays = []

    def write(self, n_bytes):
        """Queues a reply; returns a function that counts its unsent bytes."""
        now = clocks.read_now()
        self._empty_at = max(now, self._empty_at) + n_bytes / self._bytes_per_s
        self.delays.append(self._empty_at - now)
        gone_at = self._empty_at + self._round_trip_s

        def count_unsent():
            left_s = gone_at - clocks.read_now()
            return max(0, min(n_bytes, int(left_s * self._bytes_per_s)))

        return count_unsent


def _send_replies(sender, network, count, interval_s, expires_s=math.inf):
    """Sends replies in a steady stream; returns how many were sent."""
    sent = []

    def send():
        expires_at = clocks.read_now() + expires_s
        with sender.reserve(REPLY_BYTES, expires_at) as may_send:
            if may_send:
                bulk.wait_until_left(network.write(REPLY_BYTES))
                sent.append(clocks.read_now())

    jobs = []
    for _ in range(count):
        jobs.append(gevent.spawn(send))
        gevent.sleep(interval_s)
    gevent.joinall(jobs, timeout=10.0, raise_error=True)
    return len(sent)


def test_small_messages_pass_an_overload_of_large_replies():
    """Nested calls took 200 ms behind the downloads of their own server."""
    network = _Network(1_750_000, 0.007)
    sent = _send_replies(bulk.BulkSender(), network, 40, 0.025, 1.0)
    assert max(network.delays) <= MAX_DELAY_S
    # The connection is busy for a second and the time that replies may wait.
    assert sent >= 0.8 * 1_750_000 * 2.0 / REPLY_BYTES


def test_fast_network_carries_many_replies_at_once():
    """A turn for each reply would waste a network with long round trips."""
    network = _Network(100_000_000, 0.03)
    began = clocks.read_now()
    assert _send_replies(bulk.BulkSender(), network, 100, 0.0) == 100
    # One reply each round trip would take over three seconds.
    assert clocks.read_now() - began < 1.5


def test_reply_that_nobody_waits_for_is_dropped():
    """It would take the bandwidth of replies that are still waited for."""
    network = _Network(1_750_000, 0.007)
    assert _send_replies(bulk.BulkSender(), network, 20, 0.0, 0.2) <= 6


def test_late_reply_is_sent_if_nothing_is_before_it():
    """An answer that is ready must not be lost because its time is over."""
    with bulk.BulkSender().reserve(REPLY_BYTES, 0.0) as may_send:
        assert may_send


@pytest.mark.parametrize(('bytes_per_s', 'limit_s'), [(0, 0.4), (50_000, 0.8)])
def test_slow_peer_holds_up_no_other(bytes_per_s, limit_s):
    """A link that has gone silent keeps its bytes for seconds."""
    sender = bulk.BulkSender()
    began = clocks.read_now()

    def count_unsent():
        return REPLY_BYTES - int((clocks.read_now() - began) * bytes_per_s)

    def send_to_slow():
        with sender.reserve(REPLY_BYTES, math.inf):
            bulk.wait_until_left(count_unsent)

    gevent.spawn(send_to_slow)
    gevent.sleep(0.01)
    with sender.reserve(REPLY_BYTES, math.inf) as may_send:
        assert may_send
    assert clocks.read_now() - began < limit_s


def test_waiting_reply_that_is_killed_leaves_its_place():
    """A link that closes kills nothing, but a stop of the process may."""
    sender, may_end = bulk.BulkSender(), event.Event()

    def send():
        with sender.reserve(REPLY_BYTES, math.inf):
            may_end.wait()

    jobs = [gevent.spawn(send) for _ in range(3)]
    gevent.sleep(0.01)
    jobs[1].kill()
    may_end.set()
    gevent.joinall(jobs, timeout=1.0)
    with sender.reserve(REPLY_BYTES, clocks.read_now() + 0.1) as may_send:
        assert may_send


@pytest.mark.parametrize('size', [bulk.LARGE_BYTES - 1, 200_000])
def test_large_replies_of_a_node_take_turns(size):
    """Links write at once what is small, and what is large in turn."""
    with nodes.Fleet() as fleet:
        a, b = fleet.add('a'), fleet.add('b')
        sender = b._group.bulk_sender
        with sender.reserve(bulk.MAX_WINDOW_BYTES, math.inf):
            job = gevent.spawn(a.request, 'b', nodes.Echo(bytes(size)), 2.0)
            gevent.sleep(0.3)
            assert job.ready() == (size < bulk.LARGE_BYTES)
        assert job.get(timeout=1.0) == nodes.Echo(bytes(size))
