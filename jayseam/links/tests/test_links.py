"""Tests of links over loopback sockets."""

import time

import gevent
import pytest
from gevent import socket

from jayseam.core import clocks
from jayseam.links import codecs
from jayseam.links import connections
from jayseam.links import errors
from jayseam.links import frames
from jayseam.links import handlers
from jayseam.links import manager
from jayseam.links.tests import nodes


@pytest.fixture(name='fleet')
def create_fleet():
    """Yields an empty fleet and stops its nodes."""
    with nodes.Fleet() as fleet:
        yield fleet


def request_echo(links, vm, body=b'x', timeout_s=1.0):
    """Returns whether an echo request returns its message unchanged."""
    message = nodes.Echo(body)
    return links.request(vm, message, timeout_s) == message


@pytest.mark.parametrize('codec', ['cbor', 'json'])
def test_both_directions_share_one_link(fleet, codec):
    """The acceptor uses the dialler's link for its own requests."""
    a, b = fleet.add('a', codec=codec), fleet.add('b', codec=codec)
    assert request_echo(a, 'b', b'\0\xff' * 500_000)
    fleet.addresses.clear()
    assert request_echo(b, 'a')
    assert a.list_connected_vms() == ['b'] and b.list_connected_vms() == ['a']


def test_many_requests_get_their_own_replies(fleet):
    """Replies in another order than the requests reach the right callers."""
    a, _ = fleet.add('a'), fleet.add('b')
    asked = [nodes.Echo(b'%d' % i, (50 - i) / 1000) for i in range(50)]
    running = [gevent.spawn(a.request, 'b', m, 2.0) for m in asked]
    assert [greenlet.get() for greenlet in running] == asked


def test_remote_outcomes(fleet):
    """A failing or missing handler raises RemoteError at the requester."""
    a, b = fleet.add('a'), fleet.add('b')
    for vm in ('b', 'a'):
        assert a.request(vm, nodes.Divide(2), 1.0) is None
        with pytest.raises(errors.RemoteError) as raised:
            a.request(vm, nodes.Divide(0), 1.0)
        assert raised.value.kind == 'ZeroDivisionError'
        with pytest.raises(errors.RemoteError) as raised:
            a.request(vm, nodes.Unhandled(), 1.0)
        assert raised.value.kind == 'no-handler'
    assert (
        b.notify('a', nodes.Unhandled()) and a.broadcast(nodes.Divide(1)) == 1
    )
    assert request_echo(a, 'b')


def test_frames_right_after_the_handshake(fleet):
    """Frames in the same TCP segment as the end of the handshake arrive."""
    a, b = fleet.add('a'), fleet.add('b')
    b.subscribe(lambda *_: b.notify('a', nodes.Echo(bytes(500_000))))
    assert request_echo(a, 'b')


def test_nodelay_on_both_ends(fleet):
    """Without TCP_NODELAY each hop of a call costs about 43 ms."""
    a, b = fleet.add('a'), fleet.add('b')
    assert request_echo(a, 'b')
    for links in (a, b):
        (link,) = links._preferred.values()
        option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert link.transport.sock.getsockopt(*option) != 0


def test_wrong_secret_is_refused(fleet):
    """A node without the fleet secret gets no link."""
    a, b = fleet.add('a'), fleet.add('b')
    intruder = fleet.add('x', secrets=[nodes.OTHER_SECRET])
    assert request_echo(a, 'b')
    before = nodes.read_closes('wrong_secret')
    with pytest.raises(errors.DialError):
        request_echo(intruder, 'b')
    assert nodes.wait_until(lambda: nodes.read_closes('wrong_secret') > before)
    assert b.list_connected_vms() == ['a'] and request_echo(a, 'b')


def test_secret_rotation(fleet):
    """Nodes in any two adjacent steps of a secret rotation can connect."""
    old, new = nodes.SECRET, nodes.OTHER_SECRET
    steps = [[old], [old, new], [new, old], [new]]
    for i, secrets in enumerate(steps):
        fleet.add(f'n{i}', secrets=secrets)
    links = [fleet.add(f'm{i}', secrets=s) for i, s in enumerate(steps)]
    for i, own in enumerate(links):
        for k in range(max(0, i - 1), min(4, i + 2)):
            assert request_echo(own, f'n{k}')


def test_address_of_another_vm_is_refused(fleet):
    """No link opens if the address of a VM now belongs to another VM."""
    a, b = fleet.add('a'), fleet.add('b')
    fleet.addresses['old'] = fleet.addresses['b']
    with pytest.raises(errors.DialError):
        request_echo(a, 'old')
    assert a.dial_address(*b.address) == 'b'
    assert a.dial_address(*b.address) == 'b' and a.list_connected_vms() == ['b']
    with pytest.raises(errors.DialError):
        a.dial_address(*a.address)


def replay_frame(peer):
    """Sends the same frame twice."""
    frame = peer.sealer.seal(codecs.codecs.get('cbor').encode([901, 0, 1]))
    peer.send_frame(frame)
    peer.send_frame(frame)


def skip_frame(peer):
    """Sends a frame after one that is lost."""
    peer.sealer.seal(b'lost')
    peer.send_body([901, 0, 1])


MISBEHAVIOURS = {
    'replay': (replay_frame, 'bad_mac'),
    'gap': (skip_frame, 'bad_mac'),
    'short': (lambda peer: peer.send_frame(b'short'), 'bad_mac'),
    'oversize': (
        lambda peer: peer.send_frame(bytes(frames.MAX_FRAME_BYTES + 1)),
        'too_large',
    ),
    'field type': (lambda peer: peer.send_body([901, 1, 'x']), 'bad_message'),
    'bool as int': (lambda peer: peer.send_body([901, 1, True]), 'bad_message'),
    'field count': (lambda peer: peer.send_body([901, 1]), 'bad_message'),
    'correlation': (lambda peer: peer.send_body([901, None, 1]), 'bad_message'),
    'no list': (lambda peer: peer.send_body({'a': 1}), 'bad_message'),
    'tag': (lambda peer: peer.send_body([900, 0, 2**70, 0]), 'bad_message'),
    'unknown code': (lambda peer: peer.send_body([899, 1]), 'unknown_type'),
    'bool code': (lambda peer: peer.send_body([True, 1]), 'unknown_type'),
    'not cbor': (
        lambda peer: peer.send_frame(peer.sealer.seal(b'\xff\xff')),
        'bad_message',
    ),
}


@pytest.mark.parametrize('name', MISBEHAVIOURS)
def test_misbehaving_peer_loses_only_its_link(fleet, name):
    """Invalid input closes only that link and is counted by its reason."""
    act, reason = MISBEHAVIOURS[name]
    a, b = fleet.add('a'), fleet.add('b')
    assert request_echo(a, 'b')
    peer = nodes.RawPeer(b.address)
    assert nodes.wait_until(lambda: set(b.list_connected_vms()) == {'a', 'raw'})
    before = nodes.read_closes(reason)
    running = gevent.spawn(request_echo, a, 'b', b'y', 0.5)
    act(peer)
    assert nodes.wait_until(lambda: b.list_connected_vms() == ['a'])
    assert nodes.read_closes(reason) == before + 1
    assert running.get() and request_echo(a, 'b')


def test_silent_link_closes_within_the_limit(fleet):
    """A link whose connection has stalled closes within 1.5 s."""
    a, _, _ = fleet.add('a'), fleet.add('b'), fleet.add('c')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b') and request_echo(a, 'c')
    forwarder.stall()
    running = gevent.spawn(request_echo, a, 'c', b'z' * 1000)
    start = time.monotonic()
    with pytest.raises(errors.ReplyLostError):
        request_echo(a, 'b', timeout_s=5.0)
    assert 1.3 < time.monotonic() - start < 1.6
    assert running.get()
    # An alternative to the silent link has been dialled.
    assert sorted(a.list_connected_vms()) == ['b', 'c']
    assert request_echo(a, 'b'), 'a new connection must work'


def test_silent_link_is_bypassed_by_a_new_one(fleet):
    """New requests use an alternative link before the silent one closes."""
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    forwarder.stall()
    lost = gevent.spawn(a.request, 'b', nodes.Echo(b'x'), 5.0)
    gevent.sleep(0.8)
    assert not lost.ready() and not a.list_unresponsive(clocks.read_now())
    start = time.monotonic()
    assert request_echo(a, 'b')
    assert time.monotonic() - start < 0.2
    with pytest.raises(errors.ReplyLostError):
        lost.get()


def test_work_of_a_silent_peer_is_waited_for(fleet):
    """A peer that was only paused still answers what can't be sent again.

    The link was closed after 1.5 s, and the reply was lost with it.
    """
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    closes = nodes.read_closes('silent')
    forwarder.gate.clear()
    patient = gevent.spawn(a.request, 'b', nodes.Echo(b'x'), 5.0, True)
    impatient = gevent.spawn(a.request, 'b', nodes.Echo(b'y'), 5.0)
    gevent.sleep(connections.SILENCE_LIMIT_S + 0.5)
    assert not patient.ready()
    with pytest.raises(errors.ReplyLostError):
        impatient.get(block=False)
    forwarder.gate.set()
    assert patient.get(timeout=1.0).body == b'x'
    assert nodes.read_closes('silent') == closes
    assert request_echo(a, 'b')


def test_silent_link_closes_after_its_patient_requests(fleet):
    """A connection that is silent for good ends with their timeouts."""
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    closes = nodes.read_closes('silent')
    forwarder.stall()
    began = time.monotonic()
    with pytest.raises(errors.ReplyLostError):
        a.request('b', nodes.Echo(b'x'), 2.5, True)
    assert 2.4 < time.monotonic() - began < 3.0
    assert nodes.wait_until(lambda: nodes.read_closes('silent') > closes)
    assert request_echo(a, 'b')


def test_request_that_was_not_sent_does_not_wait_for_a_silent_peer(fleet):
    """What certainly hasn't arrived can be sent elsewhere at once."""
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    forwarder.gate.clear()
    first = gevent.spawn(a.request, 'b', nodes.Echo(b'x'), 5.0, True)
    gevent.sleep(0.05)
    link = a._preferred['b']
    # Fills the buffers of the connection, so that what follows is queued.
    filler = [
        gevent.spawn(link.request, nodes.Echo(bytes(1_500_000)), 5.0)
        for _ in range(5)
    ]
    gevent.sleep(0.05)
    queued = gevent.spawn(link.request, nodes.Echo(b'z'), 5.0, True)
    gevent.sleep(connections.SILENCE_LIMIT_S + 0.5)
    assert not first.ready()
    with pytest.raises(errors.NotSentError):
        queued.get(block=False)
    gevent.killall([first, *filler])


def test_slow_peer_is_dialled_once(fleet):
    """The link of a slow peer stays open, and one alternative is dialled."""
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    asked = gevent.spawn(a.request, 'b', nodes.Echo(b'x'), 5.0)
    forwarder.gate.clear()
    gevent.sleep(1.2)
    assert forwarder.accepted == 2
    forwarder.gate.set()
    assert asked.get() == nodes.Echo(b'x')


def test_stall_of_the_own_process_loses_no_reply(fleet):
    """After a stall, a timed-out request still reads a reply that arrived."""
    a, _ = fleet.add('a'), fleet.add('b')
    assert request_echo(a, 'b')
    message = nodes.Echo(b'x')
    running = gevent.spawn(a.request, 'b', message, 0.1)
    gevent.sleep(0)
    time.sleep(0.4)  # Blocks the whole process, unlike gevent.sleep.
    assert running.get() == message


def test_stall_of_the_own_process_makes_no_peer_unresponsive(fleet):
    """After a stall of this process, no peer counts as unresponsive."""
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    forwarder.gate.clear()
    running = gevent.spawn(a.request, 'b', nodes.Echo(b'x'), 2.0)
    gevent.sleep(0.4)
    time.sleep(0.6)
    assert not a.list_unresponsive(clocks.read_now())
    forwarder.gate.set()
    assert running.get() == nodes.Echo(b'x')


def test_slow_handler_keeps_its_link(fleet):
    """A request may take longer than the silence limit if pongs arrive."""
    a, _ = fleet.add('a'), fleet.add('b')
    message = nodes.Echo(b'slow', 2.0)
    assert a.request('b', message, 3.0) == message


def test_late_reply_is_ignored(fleet):
    """A reply that arrives after the timeout reaches no later request."""
    a, _ = fleet.add('a'), fleet.add('b')
    with pytest.raises(errors.ReplyLostError):
        a.request('b', nodes.Echo(b'late', 0.2), 0.1)
    for i in range(20):
        assert request_echo(a, 'b', b'%d' % i)
        gevent.sleep(0.01)


def send_large(links):
    """Sends more than fits into the socket buffers; returns greenlets."""
    large = [
        gevent.spawn(links.request, 'b', nodes.Echo(bytes(1_900_000)), 3.0)
        for _ in range(4)
    ]
    gevent.sleep(0.1)
    return large


def test_withdrawn_request_is_never_sent(fleet):
    """After NotSentError, the peer never receives the request."""
    a, b = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    seen = []
    b._handlers._functions[nodes.Divide] = lambda _, m: seen.append(m.divisor)
    forwarder.gate.clear()
    large = send_large(a)
    with pytest.raises(errors.NotSentError):
        a.request('b', nodes.Divide(1), 0.2)
    (link,) = a._links['b']
    forwarder.gate.set()
    assert all(greenlet.get() for greenlet in large)
    assert request_echo(a, 'b') and a._links['b'] == [link] and not seen


def test_lost_link_tells_written_from_unwritten(fleet):
    """A partly written request raises ReplyLostError, not NotSentError."""
    a, _ = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    forwarder.stall()
    large = send_large(a)
    gevent.joinall(large)
    kinds = [type(greenlet.exception) for greenlet in large]
    assert kinds[0] is errors.ReplyLostError
    assert kinds[-1] is errors.NotSentError


def test_unreachable_peer_is_not_sent(fleet):
    """A failed dial raises NotSentError."""
    a = fleet.add('a')
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))
        fleet.addresses['b'] = closed.getsockname()
        for vm in ('b', 'unknown'):
            with pytest.raises(errors.NotSentError):
                request_echo(a, vm)
    assert (
        not a.notify('b', nodes.Divide(1)) and a.broadcast(nodes.Divide(1)) == 0
    )


def test_message_without_reply_opens_a_link(fleet):
    """dial_and_notify opens a link if there is none.

    Otherwise all reports to a node that gets no calls would be lost.
    """
    a, b = fleet.add('a'), fleet.add('b')
    assert not a.notify('b', nodes.Divide(1))
    assert a.dial_and_notify('b', nodes.Divide(1))
    assert b.list_connected_vms() == ['a']
    with pytest.raises(errors.DialError):
        a.dial_and_notify('unknown', nodes.Divide(1))


def test_too_large_request_is_refused_locally(fleet):
    """An oversize message raises an error and leaves the link open."""
    a, _ = fleet.add('a'), fleet.add('b')
    assert request_echo(a, 'b')
    with pytest.raises(errors.TooLargeError):
        request_echo(a, 'b', bytes(frames.MAX_FRAME_BYTES))
    assert request_echo(a, 'b')


def test_strangers_are_bounded(fleet, monkeypatch):
    """Unauthenticated connections are closed and do not lock peers out."""
    monkeypatch.setattr(manager, 'MAX_UNAUTHENTICATED', 4)
    a, b = fleet.add('a'), fleet.add('b')
    unauthenticated = [socket.create_connection(b.address) for _ in range(8)]
    assert nodes.wait_until(lambda: len(b._unauthenticated) == 4)
    assert request_echo(a, 'b')
    before = nodes.read_closes('handshake_timeout')
    start = time.monotonic()
    for sock in unauthenticated:
        sock.settimeout(3.0)
        assert sock.recv(1) == b''
        sock.close()
    assert time.monotonic() - start < manager.HANDSHAKE_DEADLINE_S + 0.5
    assert nodes.read_closes('handshake_timeout') > before
    assert not b._unauthenticated and request_echo(a, 'b')


@pytest.mark.parametrize('data', [b'GET / HTTP/1.1\r\n\r\n', b'\0' * 20000])
def test_garbage_before_authentication(fleet, data):
    """Bytes of another protocol close the connection at once."""
    a, b = fleet.add('a'), fleet.add('b')
    with socket.create_connection(b.address) as sock:
        sock.sendall(data)
        sock.settimeout(1.0)
        with pytest.raises(OSError):
            while sock.recv(65536):
                pass
            raise ConnectionError
    assert nodes.wait_until(lambda: not b._unauthenticated) and request_echo(
        a, 'b'
    )


def test_newer_incarnation_replaces_older(fleet):
    """After a restart, no request goes to the former process."""
    a, c = fleet.add('a'), fleet.add('c')
    events = []
    a.subscribe(lambda *change: events.append(change))
    old = fleet.add('b', incarnation=1)
    assert request_echo(old, 'a') and request_echo(c, 'a')
    new = fleet.add('b', incarnation=2)
    assert request_echo(new, 'a')
    assert nodes.wait_until(lambda: not old.list_connected_vms())
    assert a._preferred['b'].peer == handlers.PeerInfo('b', 2)
    with pytest.raises(errors.DialError):
        request_echo(old, 'a')
    assert [e for e in events if e[0] == 'b'] == [
        ('b', 1, 'open'),
        ('b', 1, 'closed'),
        ('b', 2, 'open'),
    ]
    assert request_echo(c, 'a') and request_echo(new, 'a')


def test_simultaneous_dials_agree_on_one_link(fleet):
    """After simultaneous dials, both sides prefer the same link."""
    a, b = fleet.add('a'), fleet.add('b')
    dials = [
        gevent.spawn(request_echo, a, 'b'),
        gevent.spawn(request_echo, b, 'a'),
    ]
    assert all(greenlet.get() for greenlet in dials)
    gevent.sleep(0.05)
    assert len(a._links['b']) == len(b._links['a']) == 2
    assert a._preferred['b'].dialled and not b._preferred['a'].dialled


def test_stop_lets_replies_leave(fleet):
    """A planned stop waits for the reply of a running handler."""
    a, b = fleet.add('a'), fleet.add('b')
    message = nodes.Echo(b'x' * 100_000, 0.2)
    running = gevent.spawn(a.request, 'b', message, 2.0)
    gevent.sleep(0.1)
    b.stop(1.0)
    assert running.get() == message
    assert nodes.wait_until(lambda: not a.list_connected_vms())


def test_idle_link_is_pinged(fleet, monkeypatch):
    """An idle link whose peer is gone closes without any request."""
    monkeypatch.setattr(connections, 'IDLE_PING_S', 0.3)
    a, b = fleet.add('a'), fleet.add('b')
    forwarder = fleet.forward('b')
    assert request_echo(a, 'b')
    gevent.sleep(2.5)
    assert a.list_connected_vms() == ['b'], 'pongs keep an idle link open'
    forwarder.stall()
    assert nodes.wait_until(lambda: not a.list_connected_vms(), 4.0)
    assert nodes.wait_until(lambda: not b.list_connected_vms(), 4.0)


def test_paused_process_keeps_its_links(fleet):
    """A pause of this process does not count as silence of the peer."""
    a, b = fleet.add('a'), fleet.add('b')
    assert request_echo(a, 'b')
    message = nodes.Echo(b'x', 2.6)
    running = gevent.spawn(a.request, 'b', message, 5.0)
    gevent.sleep(0.1)
    time.sleep(2.0)  # Blocks the whole process, unlike gevent.sleep.
    assert running.get() == message
    gevent.sleep(0.2)
    assert a.list_connected_vms() == ['b'] and b.list_connected_vms() == ['a']


def test_peer_that_cannot_be_dialled_but_dials(fleet):
    """A request that waits for a dial uses a link that the peer opens."""
    a, b = fleet.add('a'), fleet.add('b')
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))
        closed.listen()
        fleet.addresses['b'] = closed.getsockname()
        running = gevent.spawn(request_echo, a, 'b')
        gevent.sleep(0.05)
        assert request_echo(b, 'a') and running.get()
