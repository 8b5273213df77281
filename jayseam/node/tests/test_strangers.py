"""Unauthenticated and malicious peers at the link port of a node."""

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
    """Yields a VM, and checks that its links and versions are unaffected."""
    vm = fleet.list_vms_in('liege')[1]
    before = fleet.cluster.read_status(vm)
    members = {peer['vm'] for peer in before['peers']}
    lost = count_unplanned_closes(fleet, vm)
    with observers.Callers(fleet, [vm]) as callers:
        yield vm
        gevent.sleep(0.2)
    after = fleet.cluster.read_status(vm)
    assert after['versions'] == before['versions']
    assert {peer['vm'] for peer in after['peers']} == members
    assert all(peer['state'] == 'alive' for peer in after['peers'])
    linked = {peer['vm'] for peer in before['peers'] if peer['link']}
    assert linked <= {peer['vm'] for peer in after['peers'] if peer['link']}
    assert count_unplanned_closes(fleet, vm) == lost
    assert callers.count_served() and not callers.list_failed()
    observers.publish_and_check_convergence(fleet)


def count_unplanned_closes(fleet, vm):
    """Returns the number of links closed because of silence or resets."""
    return sum(
        observers.read_metric(fleet, vm, _CLOSES, reason=reason)
        for reason in ('silent', 'reset')
    )


def expect_close(fleet, vm, reasons, act):
    """Runs an action, and asserts that a close for a reason is counted."""

    def read():
        return sum(
            observers.read_metric(fleet, vm, _CLOSES, reason=reason)
            for reason in reasons
        )

    before = read()
    act()
    fleet.cluster.wait_until(lambda: read() > before, _LIMIT_S, str(reasons))


def assert_closed(sock):
    """Asserts that the node closes a connection in time."""
    sock.settimeout(_LIMIT_S)
    with contextlib.suppress(ConnectionError):
        # The loop's condition reads the bytes that the node still sends.
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
    """Returns an encoded announcement of a version that no node has."""
    digest = digests.compute_digest(b'injected')
    announce = messages.Announce('preset', version, digest)
    return connections.encode_message(codecs.codecs.get('cbor'), announce, 0)


def test_wrong_fleet_secret(fleet, victim):
    """A peer with a wrong fleet secret must be refused, whatever its name."""
    names = ['stranger', next(vm for vm in fleet.cluster.vms if vm != victim)]
    for name in names:

        def act(name=name):
            with pytest.raises(errors.LinkError):
                connect(fleet, victim, 'another-fleet-secret', name)

        expect_close(fleet, victim, ['wrong_secret'], act)


def test_frames_without_handshake(fleet, victim):
    """Frames sent without proof of the fleet secret must be refused."""

    def act():
        port = fleet.cluster.vms[victim].link_port
        transport = transports.dial(_HOST, port)
        own = handshakes.create_hello(handshakes.Identity('x', 1), 'cbor')
        transport.send_all(handshakes.encode_hello(own))
        sealer = frames.Sealer(bytes(32), frames.TO_ACCEPTOR)
        # The node closes the link at the first frame, so later sends may fail.
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
    """A connection with bytes of another protocol must be closed."""

    def act():
        address = _HOST, fleet.cluster.vms[victim].link_port
        with socket.create_connection(address) as sock:
            sock.sendall(data)
            assert_closed(sock)

    reasons = ['handshake', 'protocol', 'handshake_timeout', 'peer_closed']
    expect_close(fleet, victim, reasons, act)


def test_oversize_before_authentication(fleet, victim):
    """An unauthenticated peer must not make a node read without limit."""

    def act():
        port = fleet.cluster.vms[victim].link_port
        transport = transports.dial(_HOST, port)
        with pytest.raises(errors.LinkError):
            transport.send_all(bytes(frames.MAX_FRAME_BYTES))
            transport.receive_one()

    expect_close(fleet, victim, ['handshake'], act)


def test_oversize_frame_of_a_peer(fleet, victim):
    """A peer's oversized frame must close its link, even if authenticated."""

    def act():
        transport, _ = connect(fleet, victim)
        with pytest.raises(errors.LinkError):
            transport.send_all(bytes(frames.MAX_FRAME_BYTES + 1))
            while True:
                transport.receive()

    expect_close(fleet, victim, ['too_large'], act)


@pytest.mark.parametrize('kind', ['replay', 'gap', 'forged'])
def test_frames_out_of_order(fleet, victim, kind):
    """Repeated, missing or altered frames must close the link."""

    def act():
        transport, sealer = connect(fleet, victim)
        # The node already has version 1, so the first frame has no effect.
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
    """A replayed handshake must not open a link."""
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
