"""A TCP proxy that delays, silences, cuts and refuses connections.

One process runs many forwardings. A rule applies to the connections that it
selects, including open ones.

Bytes sent during a silence are held back and delivered when the silence ends,
as TCP does after a partition. If a forwarding has no fixed source, the source
of a connection is found through the process that owns the socket, because all
nodes connect to the same advertised address.

See Also:
  `jayseam.standins.faultrules` for the rules; `jayseam.standins.relays` for the
  connections.
"""

from collections.abc import Mapping
from typing import Any

import attrs
from gevent import server
from gevent import socket

from jayseam.core import sockets
from jayseam.standins import errors
from jayseam.standins import faultrules
from jayseam.standins import relays
from jayseam.standins import serving
from jayseam.standins import socketowners


@attrs.frozen
class Forwarding:
    """A listener and the port that it forwards connections to.

    Attributes:
      name: Unique name.
      port: Port to listen on; 0 takes any free one.
      target_port: Port that connections are forwarded to.
      target: Endpoint behind the target port.
      source: Endpoint of all connections; None looks it up by process.
      host: Address of both ports.
    """

    name: str
    port: int
    target_port: int
    target: faultrules.Endpoint
    source: faultrules.Endpoint | None = None
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


class FaultProxy:
    """Runs forwardings and the control listener that injects faults.

    Control actions:
      ``/control/rules``: Sets the rule ``id`` to the fields of
        `faultrules.Rule`; ``clear`` true ends it.
      ``/control/partition``: Separates ``groups`` of names from each other.
      ``/control/heal``: Ends the partition, and with ``rules`` true all rules.
      ``/control/cut``: Closes the connections that ``source`` and ``target``
        select, with resets if ``reset`` is true.
      ``/control/half-open``: Silences the selected open connections until they
        are closed.
      ``/control/forwardings``: Adds a forwarding.
      ``/control/sources``: Assigns endpoints to process ids.
      ``/control/connections``: Lists the connections.
    """

    def __init__(self, settings: ProxySettings):
        self._settings = settings
        self._servers: dict[str, server.StreamServer] = {}
        self._relays: set[relays.Relay] = set()
        self._rules: dict[str, faultrules.Rule] = {}
        self._partition: list[frozenset[str]] = []
        self._sources: dict[int, faultrules.Endpoint] = {}
        self._control = serving.ControlServer(
            (settings.host, settings.control_port),
            {
                '/control/rules': self._set_rule,
                '/control/partition': self._set_partition,
                '/control/heal': self._heal,
                '/control/cut': self._cut,
                '/control/half-open': self._silence_connections,
                '/control/forwardings': self._add_requested_forwarding,
                '/control/sources': self._set_sources,
                '/control/connections': self._list_connections,
            },
        )

    def start(self) -> None:
        """Starts all listeners."""
        for forwarding in self._settings.forwardings:
            self.add_forwarding(forwarding)
        self._control.start()

    def stop(self) -> None:
        """Stops all listeners and closes all connections."""
        for listener in self._servers.values():
            listener.stop(timeout=0)
        for relay in list(self._relays):
            relay.close(reset=False)
        self._control.stop()

    @property
    def control_port(self) -> int:
        """The port of the control listener."""
        return self._control.port

    def add_forwarding(self, forwarding: Forwarding) -> int:
        """Adds a forwarding and returns the port it listens on."""
        if forwarding.name in self._servers:
            raise errors.ControlError(f'{forwarding.name} exists already')

        def handle(sock: Any, address: tuple[str, int]) -> None:
            self._handle_connection(forwarding, sock, address[1])

        listener = server.StreamServer(
            (forwarding.host, forwarding.port), handle
        )
        listener.start()
        self._servers[forwarding.name] = listener
        return listener.server_port

    def _handle_connection(
        self, forwarding: Forwarding, source_socket: Any, source_port: int
    ) -> None:
        sockets.set_nodelay(source_socket)
        source = forwarding.source
        if source is None:
            source = self._find_source(source_port, source_socket)
        target_socket = self._connect(forwarding, source)
        if target_socket is None:
            serving.reset_connection(source_socket)
            return
        relay = relays.Relay(
            source, forwarding.target, source_socket, target_socket
        )
        relay.apply(self._combine_rules(source, forwarding.target))
        self._relays.add(relay)
        try:
            relay.run()
        finally:
            self._relays.discard(relay)

    def _find_source(
        self, source_port: int, source_socket: Any
    ) -> faultrules.Endpoint:
        """Returns the endpoint of the process that opened a connection."""
        own_port = source_socket.getsockname()[1]
        pid = socketowners.find_owner(source_port, own_port, self._sources)
        return self._sources.get(pid, faultrules.UNKNOWN_ENDPOINT)

    def _connect(
        self, forwarding: Forwarding, source: faultrules.Endpoint
    ) -> Any:
        """Returns a connection to the target, or None if it is refused."""
        if self._combine_rules(source, forwarding.target).refused:
            return None
        try:
            address = (forwarding.host, forwarding.target_port)
            target_socket = socket.create_connection(address)
        except OSError:
            return None
        sockets.set_nodelay(target_socket)
        return target_socket

    def _combine_rules(
        self, source: faultrules.Endpoint, target: faultrules.Endpoint
    ) -> faultrules.ConnectionFaults:
        active = list(self._rules.values())
        return faultrules.combine_rules(active, self._partition, source, target)

    def _apply_rules(self) -> dict[str, Any]:
        for relay in self._relays:
            relay.apply(self._combine_rules(relay.source, relay.target))
        return {'connections': len(self._relays)}

    def _set_rule(self, request: dict[str, Any]) -> dict[str, Any]:
        name = request.pop('id')
        if request.pop('clear', False):
            self._rules.pop(name, None)
        else:
            self._rules[name] = faultrules.Rule(**request)
        return self._apply_rules()

    def _set_partition(self, request: dict[str, Any]) -> dict[str, Any]:
        self._partition = [frozenset(names) for names in request['groups']]
        return self._apply_rules()

    def _heal(self, request: dict[str, Any]) -> dict[str, Any]:
        self._partition = []
        if request.get('rules'):
            self._rules.clear()
        return self._apply_rules()

    def _select_relays(self, request: Mapping[str, Any]) -> list[relays.Relay]:
        rule = faultrules.Rule(
            request.get('source', ()), request.get('target', ())
        )
        return [
            relay
            for relay in self._relays
            if rule.selects(relay.source, relay.target)
        ]

    def _cut(self, request: dict[str, Any]) -> dict[str, Any]:
        selected = self._select_relays(request)
        for relay in selected:
            relay.close(bool(request.get('reset')))
        return {'cut': len(selected)}

    def _silence_connections(self, request: dict[str, Any]) -> dict[str, Any]:
        selected = self._select_relays(request)
        for relay in selected:
            relay.dead = True
        self._apply_rules()
        return {'silenced': len(selected)}

    def _add_requested_forwarding(
        self, request: dict[str, Any]
    ) -> dict[str, Any]:
        source = request.get('source')
        forwarding = Forwarding(
            name=request['name'],
            port=request['port'],
            target_port=request['target_port'],
            target=faultrules.Endpoint(**request['target']),
            source=faultrules.Endpoint(**source) if source else None,
        )
        return {'port': self.add_forwarding(forwarding)}

    def _set_sources(self, request: dict[str, Any]) -> dict[str, Any]:
        for pid, endpoint in request['processes'].items():
            self._sources[int(pid)] = faultrules.Endpoint(**endpoint)
        return {'processes': len(self._sources)}

    def _list_connections(self, _: dict[str, Any]) -> dict[str, Any]:
        pairs = [
            {
                'source': attrs.asdict(relay.source),
                'target': attrs.asdict(relay.target),
                'dead': relay.dead,
            }
            for relay in self._relays
        ]
        return {'connections': pairs, 'rules': sorted(self._rules)}
