"""Nodes, a TCP forwarder and a raw peer for the tests of links."""

import contextlib

import attrs
import gevent
import prometheus_client
from gevent import event
from gevent import server
from gevent import socket

from jayseam.links import codecs
from jayseam.links import connections
from jayseam.links import frames
from jayseam.links import handlers
from jayseam.links import handshakes
from jayseam.links import manager
from jayseam.links import messages
from jayseam.links import transports

SECRET = 'fleet-secret-number-one'
OTHER_SECRET = 'fleet-secret-number-two'


@messages.register(900)
@attrs.frozen
class Echo:
    """Request whose handler returns the message itself after a delay."""

    body: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))
    delay_s: float = attrs.field(default=0.0, validator=messages.is_number)


@messages.register(901)
@attrs.frozen
class Divide:
    """Request whose handler returns None, or raises for a zero divisor."""

    divisor: int = attrs.field(validator=messages.is_integer)


@messages.register(902)
@attrs.frozen
class Unhandled:
    """Message without a handler at any node."""


def echo(_, message):
    """Returns the message after its delay."""
    gevent.sleep(message.delay_s)
    return message


def divide(_, message):
    """Raises for a zero divisor, returns None otherwise."""
    divmod(1, message.divisor)


def create_manager(vm, addresses, secrets=(SECRET,), incarnation=1, **options):
    """Returns a link manager that looks up VMs in ``addresses``."""
    registry = handlers.HandlerRegistry()
    registry.register(Echo, echo)
    registry.register(Divide, divide)
    return manager.LinkManager(
        manager.Identity(vm, incarnation),
        secrets,
        addresses.get,
        registry,
        **options,
    )


class Fleet(contextlib.ExitStack):
    """Link managers on the loopback interface, stopped after the test."""

    def __init__(self):
        super().__init__()
        self.addresses = {}

    def add(self, vm, **options):
        """Starts a link manager and registers its address."""
        links = create_manager(vm, self.addresses, **options)
        links.start()
        self.callback(links.stop, 0.1)
        self.addresses[vm] = links.address
        return links

    def forward(self, vm):
        """Puts a forwarder in front of a node and returns it."""
        forwarder = Forwarder(self.addresses[vm])
        self.callback(forwarder.stop)
        self.addresses[vm] = forwarder.address
        return forwarder


class Forwarder:
    """Forwards TCP connections, which the test can pause or stall.

    Clearing ``gate`` pauses all connections, setting it resumes them.
    ``accepted`` counts the connections.
    """

    def __init__(self, target):
        self._target = target
        self.gate = event.Event()
        self.gate.set()
        self.accepted = 0
        self._pumps = []
        self._socks = []
        self._server = server.StreamServer(('127.0.0.1', 0), self._accept)
        self._server.start()
        self.address = self._server.address

    def stall(self):
        """Keeps the open connections but forwards no more bytes on them."""
        gevent.killall(self._pumps)
        self._pumps.clear()

    def stop(self):
        """Closes the listener and all connections."""
        self.stall()
        self._server.stop()
        for sock in self._socks:
            sock.close()

    def _accept(self, near, _):
        self.accepted += 1
        near = near.dup()
        far = socket.create_connection(self._target)
        self._socks += [near, far]
        self._pumps.append(gevent.spawn(self._pump, near, far))
        self._pumps.append(gevent.spawn(self._pump, far, near))

    def _pump(self, source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self.gate.wait()
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)


class RawPeer:
    """An authenticated peer for which the test builds the frames."""

    def __init__(self, address, vm='raw'):
        self.transport = transports.dial(*address)
        own = handshakes.create_hello(manager.Identity(vm, 1), 'cbor')
        _, key = connections.authenticate_dialled(
            self.transport, own, [SECRET], None
        )
        self.sealer = frames.Sealer(key, frames.TO_ACCEPTOR)

    def send_frame(self, frame):
        """Sends a frame as it is."""
        self.transport.send_all(frame)

    def send_body(self, body):
        """Sends a body in a valid frame."""
        self.send_frame(
            self.sealer.seal(codecs.codecs.get('cbor').encode(body))
        )


def read_closes(reason):
    """Returns the number of links closed for ``reason``."""
    value = prometheus_client.REGISTRY.get_sample_value(
        'jayseam_link_closes_total', {'reason': reason}
    )
    return value or 0


def wait_until(condition, timeout_s=3.0):
    """Waits for ``condition()``; returns whether it held in time."""
    with gevent.Timeout(timeout_s, False):
        while not condition():
            gevent.sleep(0.005)
        return True
    return False
