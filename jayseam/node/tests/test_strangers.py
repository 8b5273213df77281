"""Strangers and attackers at the link port of a node in a running fleet."""

import contextlib
import os

import gevent
import pytest
from gevent import socket

from jayseam.core import digests
from jayseam.distribution import messages
from jayseam.links import codecs
from jayseam.links import connections
from jayseam.links import errors
from jayseam.links import frames
from jayseam.links import handshakes
from jayseam.links import transports
from jayseam.node.tests import fleets
from jayseam.node.tests import observers

_SECRET = 'standin-fleet-secret-1'
_HOST = '127.0.0.1'
_CLOSES = 'jayseam_link_closes_total'
_LIMIT_S = 3.0


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    with fleets.start_fleet() as fleet:
        gevent.sleep(2.0)
        yield fleet


@pytest.fixture(name='victim')
def _victim(fleet):
    """Yields a node, and checks that its other links and versions stay."""
    vm = fleet.vms_in('liege')[1]
    before = fleet.cluster.status(vm)
    members = {peer['vm'] for peer in before['peers']}
    lost = read_unplanned(fleet, vm)
    with observers.Callers(fleet, [vm]) as callers:
        yield vm
        gevent.sleep(0.2)
    after = fleet.cluster.status(vm)
    assert after['versions'] == before['versions']
    assert {peer['vm'] for peer in after['peers']} == members
    assert all(peer['state'] == 'alive' for peer in after['peers'])
    linked = {peer['vm'] for peer in before['peers'] if peer['link']}
    assert linked <= {peer['vm'] for peer in after['peers'] if peer['link']}
    assert read_unplanned(fleet, vm) == lost
    assert callers.count_served() and not callers.list_failed()
    observers.publish_and_converge(fleet)


def read_unplanned(fleet, vm):
    """Returns the number of links that a node lost to silence or resets."""
    return sum(
        observers.read_metric(fleet, vm, _CLOSES, reason=reason)
        for reason in ('silent', 'reset')
    )


def expect_close(fleet, vm, reasons, act):
    """Acts, and asserts that one of the reasons is counted."""

    def read():
        return sum(
            observers.read_metric(fleet, vm, _CLOSES, reason=reason)
            for reason in reasons
        )

    before = read()
    act()
    fleet.cluster.wait_until(lambda: read() > before, _LIMIT_S, str(reasons))


def assert_closed(sock):
    """Asserts that the other side closes a connection in time."""
    sock.settimeout(_LIMIT_S)
    with contextlib.suppress(ConnectionError):
        # The loop's condition drains what the other side still sends.
        while sock.recv(65536):
            continue


def connect(fleet, vm, secret=_SECRET, name='stranger'):
    """Runs the dialler's handshake; returns the transport and a sealer."""
    port = fleet.cluster.vms[vm].link_port
    transport = transports.dial(_HOST, port)
    own = handshakes.create_hello(handshakes.Identity(name, 1), 'cbor')
    _, key = connections.authenticate_dialled(transport, own, [secret], None)
    return transport, frames.Sealer(key, frames.TO_ACCEPTOR)


def build_announce(version=10**6):
    """Returns the body of an announcement of a version that nobody has."""
    digest = digests.compute_digest(b'injected')
    announce = messages.Announce('preset', version, digest)
    return connections.encode_message(codecs.codecs.get('cbor'), announce, 0)


def test_wrong_fleet_secret(fleet, victim):
    """A process of another fleet, also under the name of a member."""
    names = ['stranger', next(vm for vm in fleet.cluster.vms if vm != victim)]
    for name in names:

        def act(name=name):
            with pytest.raises(errors.LinkError):
                connect(fleet, victim, 'another-fleet-secret', name)

        expect_close(fleet, victim, ['wrong_secret'], act)


def test_frames_without_handshake(fleet, victim):
    """Frames of a peer that skips the proof of the fleet secret."""

    def act():
        port = fleet.cluster.vms[victim].link_port
        transport = transports.dial(_HOST, port)
        own = handshakes.create_hello(handshakes.Identity('x', 1), 'cbor')
        transport.send_all(handshakes.encode_hello(own))
        sealer = frames.Sealer(bytes(32), frames.TO_ACCEPTOR)
        # The node closes at the first frame, which later ones may meet.
        with contextlib.suppress(errors.TransportClosedError):
            for _ in range(3):
                transport.send_all(sealer.seal(build_announce()))
        assert_closed(transport.sock)

    expect_close(fleet, victim, ['handshake', 'wrong_secret'], act)


@pytest.mark.parametrize(
    'data',
    [
        os.urandom(4096),
        b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
        b'\x16\x03\x01' + bytes(20000),
    ],
    ids=['random', 'http', 'zeros'],
)
def test_raw_garbage(fleet, victim, data):
    """Bytes of another protocol."""

    def act():
        address = _HOST, fleet.cluster.vms[victim].link_port
        with socket.create_connection(address) as sock:
            sock.sendall(data)
            assert_closed(sock)

    reasons = ['handshake', 'protocol', 'handshake_timeout', 'peer_closed']
    expect_close(fleet, victim, reasons, act)


def test_oversize_before_authentication(fleet, victim):
    """A stranger that makes a node read without end."""

    def act():
        port = fleet.cluster.vms[victim].link_port
        transport = transports.dial(_HOST, port)
        with pytest.raises(errors.LinkError):
            transport.send_all(bytes(frames.MAX_FRAME_BYTES))
            transport.receive_one()

    expect_close(fleet, victim, ['handshake'], act)


def test_oversize_frame_of_a_peer(fleet, victim):
    """An authenticated peer whose frame exceeds the limit."""

    def act():
        transport, _ = connect(fleet, victim)
        with pytest.raises(errors.LinkError):
            transport.send_all(bytes(frames.MAX_FRAME_BYTES + 1))
            while True:
                transport.receive()

    expect_close(fleet, victim, ['too_large'], act)


@pytest.mark.parametrize('kind', ['replay', 'gap', 'forged'])
def test_frames_out_of_order(fleet, victim, kind):
    """Frames that somebody repeated, dropped or changed on the way."""

    def act():
        transport, sealer = connect(fleet, victim)
        # The version is held already, so the first frame changes nothing.
        first = sealer.seal(build_announce(1))
        second = sealer.seal(build_announce())
        sent = {
            'replay': [first, first],
            'gap': [second],
            'forged': [first, second[:-1] + bytes([second[-1] ^ 1])],
        }[kind]
        for frame in sent:
            transport.send_all(frame)
        assert_closed(transport.sock)

    expect_close(fleet, victim, ['bad_mac'], act)


def test_replayed_handshake(fleet, victim):
    """A recorded handshake that is sent again opens no link."""
    recorded = []
    port = fleet.cluster.vms[victim].link_port
    transport = transports.dial(_HOST, port)
    send = transport.send_all
    transport.send_all = lambda data: (recorded.append(data), send(data))
    own = handshakes.create_hello(handshakes.Identity('stranger', 1), 'cbor')
    connections.authenticate_dialled(transport, own, [_SECRET], None)
    transport.abort()

    def act():
        again = transports.dial(_HOST, port)
        for data in recorded:
            again.send_all(data)
        assert_closed(again.sock)

    expect_close(fleet, victim, ['wrong_secret'], act)
