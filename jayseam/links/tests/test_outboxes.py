"""Bytes that wait for peers which read slowly, on all links together."""

import attrs
import gevent
import pytest

from jayseam.links import errors
from jayseam.links import messages
from jayseam.links import outboxes
from jayseam.links.tests import nodes

BODY = b'x' * 1_800_000
N_PEERS = 8
N_REQUESTS = 8


@messages.register(903)
@attrs.frozen
class Produce:
    """Request for a large reply after a delay."""

    delay_s: float = attrs.field(validator=messages.is_number)


def produce(_, message):
    """Returns a large reply."""
    gevent.sleep(message.delay_s)
    return nodes.Echo(BODY)


@pytest.fixture(name='fleet')
def fleet_fixture():
    """Yields an empty fleet."""
    with nodes.Fleet() as fleet:
        yield fleet


def count_waiting(links):
    """Returns the bytes that a link manager has not written yet."""
    return links._group.outbox_total.n_bytes


def add_answering(fleet):
    """Adds the node that replies."""
    links = fleet.add('one')
    links._handlers.register(Produce, produce)
    return links


def request_replies(links, outcomes, delay_s):
    """Requests large replies; returns the greenlets that wait for them."""

    def ask():
        try:
            links.request('one', Produce(delay_s), 3.0)
            outcomes.append('whole')
        except errors.LinkError as error:
            outcomes.append(type(error).__name__)

    return [gevent.spawn(ask) for _ in range(N_REQUESTS)]


def test_replies_to_all_peers_stay_within_the_bound(fleet):
    """A bound for each link lets many slow peers fill the memory."""
    answering = add_answering(fleet)
    forwarder = fleet.forward('one')
    outcomes, waiting, greatest = [], [], 0
    peers = [fleet.add(f'peer-{number}') for number in range(N_PEERS)]
    for peer in peers:
        waiting += request_replies(peer, outcomes, 0.6)
    gevent.sleep(0.4)
    forwarder.stall()
    for _ in range(60):
        greatest = max(greatest, count_waiting(answering))
        gevent.sleep(0.01)
    assert outboxes.MAX_TOTAL_BYTES / 2 < greatest <= outboxes.MAX_TOTAL_BYTES
    # A peer whose link isn't stalled is served meanwhile.
    fleet.addresses['one'] = answering.address
    sound = fleet.add('sound')
    assert sound.request('one', nodes.Echo(BODY), 2.0).body == BODY
    gevent.joinall(waiting)
    assert set(outcomes) <= {'whole', 'ReplyLostError', 'NotSentError'}


def test_total_is_zero_when_all_is_written(fleet):
    """A sum that only grows would close sound links in the end."""
    answering = add_answering(fleet)
    asking = fleet.add('two')
    outcomes = []
    for _ in range(3):
        gevent.joinall(request_replies(asking, outcomes, 0.0))
    assert outcomes == ['whole'] * 3 * N_REQUESTS
    gevent.sleep(0.1)
    assert count_waiting(answering) == count_waiting(asking) == 0
