"""A TCP proxy that delays, silences, cuts and refuses connections.

One process hosts many forwardings. Each connection runs between two
endpoints, a source and a target, which have a name and a group (for nodes:
the VM and its availability zone). A rule applies to the connections whose
endpoints it selects by name or group, open connections included.

Silence keeps the bytes and delivers them once it ends, as TCP does after a
partition. The source of a connection to a forwarding without a fixed source
is found through the process that owns the socket, because all nodes dial the
same advertised address.
"""

import os
import struct
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs
import gevent
from gevent import event
from gevent import queue
from gevent import server
from gevent import socket

from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.standins import errors
from jayseam.standins import serving

_BLOCK_BYTES = 65536
_SILENCES = ('forward', 'backward', 'both')
_MAX_DELAYED_BLOCKS = 1024
# Of sock_diag(7): message type, protocol, and places in the reply.
_SOCK_DIAG_BY_FAMILY = 20
_NETLINK_SOCK_DIAG = 4
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_HEAD_BYTES = 16
_INODE_OFFSET = _HEAD_BYTES + 68


@attrs.frozen
class Endpoint:
    """One end of a connection.

    Attributes:
      name: Name, such as a VM name or ``platform``.
      group: Group, such as an availability zone.
    """

    name: str
    group: str


UNKNOWN = Endpoint('', '')


@attrs.frozen
class Forwarding:
    """A listener and where it forwards to.

    Attributes:
      name: Unique name.
      port: Port to listen on; 0 takes any free one.
      target_port: Port that connections are forwarded to.
      target: Endpoint behind the target port.
      source: Endpoint of all connections; None finds it by process.
      host: Address of both ports.
    """

    name: str
    port: int
    target_port: int
    target: Endpoint
    source: Endpoint | None = None
    host: str = '127.0.0.1'


@attrs.frozen
class ProxySettings:
    """Settings of the fault proxy.

    Attributes:
      forwardings: The forwardings at the start.
      host: Address of the control listener.
      control_port: Port of the control listener.
    """

    forwardings: list[Forwarding] = attrs.field(factory=list)
    host: str = '127.0.0.1'
    control_port: int = 0


@attrs.frozen
class Rule:
    """A fault on the connections from some endpoints to others.

    Attributes:
      source: Names or groups of sources; empty selects all.
      target: Names or groups of targets; empty selects all.
      delay_ms: Added to each direction, in milliseconds.
      silence: Direction that gets no bytes: ``forward`` (to the target),
        ``backward`` or ``both``.
      refuse: Whether new connections are reset.
    """

    source: frozenset[str] = attrs.field(default=(), converter=frozenset)
    target: frozenset[str] = attrs.field(default=(), converter=frozenset)
    delay_ms: float = 0.0
    silence: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.in_(_SILENCES)),
    )
    refuse: bool = False

    def selects(self, source: Endpoint, target: Endpoint) -> bool:
        """Tells whether the rule applies between two endpoints.

        >>> rule = Rule(source=['zone-a'])
        >>> rule.selects(Endpoint('vm-1', 'zone-a'), Endpoint('vm-2', 'b'))
        True
        """
        return all(
            not names or names & {end.name, end.group}
            for names, end in ((self.source, source), (self.target, target))
        )


@attrs.frozen
class Condition:
    """What the rules and the partition together do to one connection."""

    delay_s: float = 0.0
    forward_silent: bool = False
    backward_silent: bool = False
    refused: bool = False


def combine_rules(
    rules: Sequence[Rule],
    partition: Sequence[frozenset[str]],
    source: Endpoint,
    target: Endpoint,
) -> Condition:
    """Returns the condition of connections between two endpoints.

    Args:
      rules: All rules in force.
      partition: Sets of names or groups that can't reach each other; an
        endpoint in none of them reaches all.
      source: The endpoint that connects.
      target: The endpoint that is connected to.

    >>> sides = [frozenset({'a'}), frozenset({'b'})]
    >>> ends = Endpoint('vm-1', 'a'), Endpoint('vm-2', 'b')
    >>> combine_rules([], sides, *ends).forward_silent
    True
    """
    selected = [rule for rule in rules if rule.selects(source, target)]
    sides = [_find_side(partition, end) for end in (source, target)]
    parted = None not in sides and sides[0] != sides[1]
    silences = {rule.silence for rule in selected}
    return Condition(
        delay_s=sum(rule.delay_ms for rule in selected) / 1000.0,
        forward_silent=parted or bool(silences & {'forward', 'both'}),
        backward_silent=parted or bool(silences & {'backward', 'both'}),
        refused=any(rule.refuse for rule in selected),
    )


def _find_side(
    partition: Sequence[frozenset[str]], endpoint: Endpoint
) -> int | None:
    for number, names in enumerate(partition):
        if names & {endpoint.name, endpoint.group}:
            return number
    return None


class _Direction:
    """Copies bytes one way, with delay and silence."""

    def __init__(self, reader: Any, writer: Any):
        self._reader = reader
        self._writer = writer
        self._delay_s = 0.0
        self._audible = event.Event()
        self._audible.set()
        self._delayed: queue.Queue = queue.Queue(maxsize=_MAX_DELAYED_BLOCKS)
        self._sender: gevent.Greenlet | None = None

    def apply(self, delay_s: float, silent: bool) -> None:
        """Sets the delay and silence from now on."""
        self._delay_s = delay_s
        if silent:
            self._audible.clear()
        else:
            self._audible.set()

    def copy(self) -> None:
        """Copies until the reader closes or either end fails."""
        try:
            while True:
                self._audible.wait()
                block = self._reader.recv(_BLOCK_BYTES)
                # Silence may have begun during the wait for this block.
                self._audible.wait()
                self._pass_on(block)
                if not block:
                    break
            if self._sender is not None:
                self._sender.join()
        except OSError:
            pass

    def stop(self) -> None:
        """Ends the greenlet that sends delayed blocks."""
        if self._sender is not None:
            self._sender.kill()

    def _pass_on(self, block: bytes) -> None:
        if self._sender is None and not self._delay_s:
            self._write(block)
            return
        if self._sender is None:
            self._sender = gevent.spawn(self._send_delayed)
        self._delayed.put((clocks.read_now() + self._delay_s, block))

    def _send_delayed(self) -> None:
        while True:
            due, block = self._delayed.get()
            gevent.sleep(max(0.0, due - clocks.read_now()))
            self._audible.wait()
            try:
                self._write(block)
            except OSError:
                return
            if not block:
                return

    def _write(self, block: bytes) -> None:
        if block:
            self._writer.sendall(block)
        else:
            self._writer.shutdown(socket.SHUT_WR)


class _Connection:
    """One proxied connection."""

    def __init__(self, source: Endpoint, target: Endpoint, near: Any, far: Any):
        self.source = source
        self.target = target
        self.dead = False
        self._sockets = (near, far)
        self._directions = (_Direction(near, far), _Direction(far, near))

    def apply(self, condition: Condition) -> None:
        """Puts a condition in force; a dead connection stays silent."""
        forward, backward = self._directions
        forward.apply(condition.delay_s, self.dead or condition.forward_silent)
        backward.apply(
            condition.delay_s, self.dead or condition.backward_silent
        )

    def run(self) -> None:
        """Copies both ways until both ends have closed or one failed."""
        pumps = [gevent.spawn(d.copy) for d in self._directions]
        try:
            gevent.joinall(pumps)
        finally:
            gevent.killall(pumps)
            for direction in self._directions:
                direction.stop()
            self.close(reset=False)

    def close(self, reset: bool) -> None:
        """Closes both sockets, which ends the pumps."""
        for sock in self._sockets:
            try:
                if reset:
                    serving.set_reset_on_close(sock)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


class FaultProxy:
    """Hosts forwardings and the control listener that governs them.

    Control actions: ``/control/rules`` (POST ``id`` and the fields of `Rule`;
    ``clear`` true ends it), ``/control/partition`` (POST ``groups``),
    ``/control/heal`` (ends the partition, and all rules with ``rules`` true),
    ``/control/cut`` (closes connections selected by ``source`` and
    ``target``, with resets if ``reset``), ``/control/half-open`` (silences
    the open connections selected for good), ``/control/forwardings`` (adds
    one), ``/control/sources`` (names processes by id) and
    ``/control/connections``.
    """

    def __init__(self, settings: ProxySettings):
        self._settings = settings
        self._servers: dict[str, server.StreamServer] = {}
        self._connections: set[_Connection] = set()
        self._rules: dict[str, Rule] = {}
        self._partition: list[frozenset[str]] = []
        self._sources: dict[int, Endpoint] = {}
        self._control = serving.ControlServer(
            (settings.host, settings.control_port),
            {
                '/control/rules': self._set_rule,
                '/control/partition': self._set_partition,
                '/control/heal': self._heal,
                '/control/cut': self._cut,
                '/control/half-open': self._silence_open,
                '/control/forwardings': self._add,
                '/control/sources': self._name_sources,
                '/control/connections': self._report,
            },
        )

    def start(self) -> None:
        """Starts all listeners."""
        for forwarding in self._settings.forwardings:
            self.forward(forwarding)
        self._control.start()

    def stop(self) -> None:
        """Stops all listeners and closes all connections."""
        for listener in self._servers.values():
            listener.stop(timeout=0)
        for connection in list(self._connections):
            connection.close(reset=False)
        self._control.stop()

    @property
    def control_port(self) -> int:
        """The port of the control listener."""
        return self._control.port

    def forward(self, forwarding: Forwarding) -> int:
        """Adds a forwarding and returns the port it listens on."""
        if forwarding.name in self._servers:
            raise errors.ControlError(f'{forwarding.name} exists already')

        def handle(sock: Any, address: tuple[str, int]) -> None:
            self._serve(forwarding, sock, address[1])

        listener = server.StreamServer(
            (forwarding.host, forwarding.port), handle
        )
        listener.start()
        self._servers[forwarding.name] = listener
        return listener.server_port

    def _serve(
        self, forwarding: Forwarding, near: Any, source_port: int
    ) -> None:
        sockets.set_nodelay(near)
        source = forwarding.source
        if source is None:
            pid = find_owner(source_port, near.getsockname()[1], self._sources)
            source = self._sources.get(pid, UNKNOWN)
        condition = self._combine(source, forwarding.target)
        if condition.refused:
            serving.set_reset_on_close(near)
            near.close()
            return
        try:
            address = (forwarding.host, forwarding.target_port)
            far = socket.create_connection(address)
        except OSError:
            serving.set_reset_on_close(near)
            near.close()
            return
        sockets.set_nodelay(far)
        connection = _Connection(source, forwarding.target, near, far)
        connection.apply(self._combine(source, forwarding.target))
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _combine(self, source: Endpoint, target: Endpoint) -> Condition:
        rules = list(self._rules.values())
        return combine_rules(rules, self._partition, source, target)

    def _apply_all(self) -> dict[str, Any]:
        for connection in self._connections:
            connection.apply(
                self._combine(connection.source, connection.target)
            )
        return {'connections': len(self._connections)}

    def _set_rule(self, request: dict[str, Any]) -> dict[str, Any]:
        name = request.pop('id')
        if request.pop('clear', False):
            self._rules.pop(name, None)
        else:
            self._rules[name] = Rule(**request)
        return self._apply_all()

    def _set_partition(self, request: dict[str, Any]) -> dict[str, Any]:
        self._partition = [frozenset(names) for names in request['groups']]
        return self._apply_all()

    def _heal(self, request: dict[str, Any]) -> dict[str, Any]:
        self._partition = []
        if request.get('rules'):
            self._rules.clear()
        return self._apply_all()

    def _select(self, request: Mapping[str, Any]) -> list[_Connection]:
        rule = Rule(request.get('source', ()), request.get('target', ()))
        return [
            c for c in self._connections if rule.selects(c.source, c.target)
        ]

    def _cut(self, request: dict[str, Any]) -> dict[str, Any]:
        selected = self._select(request)
        for connection in selected:
            connection.close(bool(request.get('reset')))
        return {'cut': len(selected)}

    def _silence_open(self, request: dict[str, Any]) -> dict[str, Any]:
        selected = self._select(request)
        for connection in selected:
            connection.dead = True
        self._apply_all()
        return {'silenced': len(selected)}

    def _add(self, request: dict[str, Any]) -> dict[str, Any]:
        source = request.get('source')
        forwarding = Forwarding(
            name=request['name'],
            port=request['port'],
            target_port=request['target_port'],
            target=Endpoint(**request['target']),
            source=Endpoint(**source) if source else None,
        )
        return {'port': self.forward(forwarding)}

    def _name_sources(self, request: dict[str, Any]) -> dict[str, Any]:
        for pid, endpoint in request['processes'].items():
            self._sources[int(pid)] = Endpoint(**endpoint)
        return {'processes': len(self._sources)}

    def _report(self, _: dict[str, Any]) -> dict[str, Any]:
        pairs = [
            {
                'source': attrs.asdict(connection.source),
                'target': attrs.asdict(connection.target),
                'dead': connection.dead,
            }
            for connection in self._connections
        ]
        return {'connections': pairs, 'rules': sorted(self._rules)}


def find_owner(port: int, peer_port: int, pids: Iterable[int]) -> int:
    """Returns the process that owns a TCP connection on loopback, or 0.

    The kernel gives the same local port to connections with different peers,
    so both ports are compared.

    Args:
      port: Port at the end whose owner is wanted.
      peer_port: Port at the other end.
      pids: Processes to look at.

    References:
      proc(5), on ``/proc/pid/fd``.
    """
    inode = _find_inode(port, peer_port)
    if not inode:
        return 0
    name = f'socket:[{inode}]'
    for pid in pids:
        try:
            entries = os.scandir(f'/proc/{pid}/fd')
        except OSError:
            continue
        for entry in entries:
            try:
                if os.readlink(entry.path) == name:
                    return pid
            except OSError:
                continue
    return 0


def _find_inode(port: int, peer_port: int) -> int:
    """Returns the inode of a TCP socket on loopback, or 0.

    The kernel is asked for the one socket. Reading the table of all sockets
    took 40 ms for each new connection with 11,000 sockets on the machine, so
    that handshakes timed out and a fleet that dialled anew never recovered.

    References:
      sock_diag(7).
    """
    host = socket.inet_aton('127.0.0.1').ljust(16, b'\0')
    body = struct.pack(
        '=BBBxI', socket.AF_INET, socket.IPPROTO_TCP, 0, _ALL_STATES
    )
    body += struct.pack('>HH', port, peer_port) + host + host
    body += struct.pack('=III', 0, _NO_COOKIE, _NO_COOKIE)
    head = struct.pack(
        '=IHHII', _HEAD_BYTES + len(body), _SOCK_DIAG_BY_FAMILY, 1, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, _NETLINK_SOCK_DIAG
    ) as sock:
        sock.settimeout(1.0)
        sock.send(head + body)
        reply = sock.recv(_BLOCK_BYTES)
    if struct.unpack_from('=IH', reply)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from('=I', reply, _INODE_OFFSET)[0]
