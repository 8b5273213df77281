"""Management of the links of one node: listening, dialling and selection."""

from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent import event
from gevent import server
from gevent import socket

from jayseam.core import clocks
from jayseam.core import descriptors
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import sockets
from jayseam.core import tickers
from jayseam.links import codecs
from jayseam.links import connections
from jayseam.links import counters
from jayseam.links import errors
from jayseam.links import handlers as handlers_module
from jayseam.links import handshakes
from jayseam.links import transports

HANDSHAKE_DEADLINE_S = 1.5
MAX_UNAUTHENTICATED = 256
_BACKLOG = 1024
_SHUTDOWN_WAIT_S = 0.2
_IDLE_CHECK_S = 1.0
# If a tick is later than this, this process was paused, so there may be unread
# bytes in its sockets.
_LATE_TICK_S = 0.2

Identity = handshakes.Identity
Address = tuple[str, int]
Subscriber = Callable[[str, int, str], None]

_log = logs.get_logger(__name__)


class _Listener(server.StreamServer):
    """Accepts connections and leaves their sockets open."""

    # With the default of 100, a burst of unauthenticated peers took 160 of 256
    # descriptors before the first of them was counted and closed.
    max_accept = 32

    def do_close(self, *_):
        """Does nothing, because the transport owns the accepted socket."""

    @classmethod
    def get_listener(cls, address, backlog=None, family=None) -> socket.socket:
        """Returns the listening socket."""
        return sockets.open_listener(address, backlog, family)


class LinkManager:
    """Opens links on demand and sends messages over them.

    Two nodes that dial each other at the same time get two links. Both sides
    then send new requests over the link dialled by the VM whose name sorts
    first. When a newer incarnation of a VM connects, the links of its older
    incarnations are closed.

    Args:
      identity: Identity of this process.
      secrets: One or two fleet secrets.
      resolve: Returns the address of a VM, or None if it is unknown.
      handlers: Handlers of requests and notifications.
      codec: Name of a registered codec; see ``codecs.codecs``.
      listen: Host and port to listen on; port 0 chooses a free one.

    Attributes:
      identity: Identity of this process.
      address: Host and port of the listener; `start` sets the actual port.
    """

    def __init__(
        self,
        identity: Identity,
        secrets: Sequence[str],
        resolve: Callable[[str], Address | None],
        handlers: handlers_module.HandlerRegistry,
        codec: str = 'cbor',
        listen: Address = ('127.0.0.1', 0),
    ):
        if not 1 <= len(secrets) <= handshakes.MAX_SECRETS:
            raise ValueError('one or two fleet secrets are required')
        self.identity = identity
        self.address: Address = listen
        self._secrets = tuple(secrets)
        self._resolve = resolve
        self._handlers = handlers
        self._codec_name = codec
        self._codec = codecs.codecs.get(codec)
        self._server: _Listener | None = None
        self._ticker: gevent.Greenlet | None = None
        self._links: dict[str, list[connections.Link]] = {}
        self._preferred: dict[str, connections.Link] = {}
        self._dials: dict[str, event.AsyncResult] = {}
        self._dialled_addresses: dict[Address, connections.Link] = {}
        self._unauthenticated: dict[socket.socket, None] = {}
        self._max_unauthenticated = descriptors.compute_limits(
            descriptors.read_descriptor_limit()
        ).unauthenticated
        self._group = connections.LinkGroup()
        self._ticked_at = clocks.read_now()
        # Silent links beside which an alternative link has been dialled.
        self._bypassed: set[connections.Link] = set()
        self._subscribers: list[Subscriber] = []
        self._stopped = False

    def start(self) -> None:
        """Starts the listener and the detection of silent links.

        Raises:
          OSError: If the address cannot be bound.
        """
        self._server = _Listener(self.address, self._accept, backlog=_BACKLOG)
        self._server.start()
        self.address = self._server.address[:2]
        self._ticker = loops.spawn_loop(self._run_ticks)

    def stop(self, timeout_s: float = 1.0) -> None:
        """Stops listening, sends outstanding replies and closes all links."""
        self._stopped = True
        if self._server is not None:
            self._server.stop()
        links = [link for group in self._links.values() for link in group]
        drains = [gevent.spawn(link.drain, timeout_s) for link in links]
        gevent.joinall(drains)
        for link in links:
            # Closing a socket with unread bytes resets the connection, which
            # can discard replies that are still in transit.
            link.shut_down_writing()
        with gevent.Timeout(min(_SHUTDOWN_WAIT_S, timeout_s), False):
            while any(link.is_open for link in links):
                gevent.sleep(0.01)
        for link in links:
            link.close('stopped')
        for sock in list(self._unauthenticated):
            sock.close()
        if self._ticker is not None:
            self._ticker.kill()

    def subscribe(self, function: Subscriber) -> None:
        """Registers ``function(vm, incarnation, event)`` for changes of links.

        The event is ``open`` for the first link to an incarnation and
        ``closed`` for the last. The function must not block.
        """
        self._subscribers.append(function)

    def list_connected_vms(self) -> list[str]:
        """Returns the VMs to which a link is open."""
        return list(self._preferred)

    def list_unresponsive(self, now: float) -> set[str]:
        """Returns the VMs whose pong is overdue while a reply is due."""
        if now - self._ticked_at > connections.TICK_S + _LATE_TICK_S:
            # This process was stalled, so its sockets may have unread pongs.
            return set()
        return {
            link.peer.vm
            for link in self._group.waiting_links
            if self._preferred.get(link.peer.vm) is link
            and link.is_unresponsive(now)
        }

    def request(
        self,
        vm: str,
        message: Any,
        timeout_s: float,
        is_patient: bool = False,
    ) -> Any:
        """Sends a request to ``vm`` and returns the reply message or None.

        Dials if no link is open. A request to this node's VM runs the handler
        without a link.

        Args:
          vm: Name of the VM.
          message: An instance of a registered message class.
          timeout_s: Seconds for dialling and the reply together.
          is_patient: Whether to wait for the reply of a silent peer until the
            timeout, once the request has been sent.

        Raises:
          NotSentError: If no byte was or will be written to a socket.
          ReplyLostError: If the request may have arrived, also on timeout.
          RemoteError: If the handler raised.
          TooLargeError: If the message exceeds the frame limit.
        """
        link = self._preferred.get(vm)
        if link is not None:
            return link.request(message, timeout_s, is_patient)
        if vm == self.identity.vm:
            return self._request_locally(message, timeout_s)
        start = clocks.read_now()
        link = self._dial_vm(vm, timeout_s)
        remaining_s = timeout_s - (clocks.read_now() - start)
        if remaining_s <= 0:
            raise errors.NotSentError(
                f'request to {vm} timed out after dialling'
            )
        return link.request(message, remaining_s, is_patient)

    def notify(self, vm: str, message: Any) -> bool:
        """Sends a notification over an open link.

        Returns:
          Whether an open link accepted the message; it may still be lost.

        Raises:
          TooLargeError: If the message exceeds the frame limit.
        """
        link = self._preferred.get(vm)
        return link is not None and link.notify(message)

    def dial_and_notify(self, vm: str, message: Any) -> bool:
        """Sends a notification, and opens a link if there is none.

        Returns:
          Whether a link accepted the message; it may still be lost.

        Raises:
          DialError: If no link could be opened.
          TooLargeError: If the message exceeds the frame limit.
        """
        if self.notify(vm, message):
            return True
        if vm not in self._preferred:
            self._dial_vm(vm, HANDSHAKE_DEADLINE_S)
        return self.notify(vm, message)

    def broadcast(self, message: Any) -> int:
        """Sends a notification to each VM with an open link.

        Returns:
          The number of links that accepted the message.

        Raises:
          TooLargeError: If the message exceeds the frame limit.
        """
        body = connections.encode_message(self._codec, message, 0)
        label = type(message).__name__
        links = list(self._preferred.values())
        return sum(link.notify_body(body, label) for link in links)

    def dial_address(self, host: str, port: int) -> str:
        """Opens a link to an address and returns the name of its VM.

        An open link that was dialled to the same address is reused.

        Raises:
          DialError: If no link can be opened.
        """
        link = self._dialled_addresses.get((host, port))
        if link is None or not link.is_open:
            link = self._dial((host, port), None)
        return link.peer.vm

    def _request_locally(self, message: Any, timeout_s: float) -> Any:
        function = self._handlers.find(type(message))
        if function is None:
            raise errors.RemoteError('no-handler', type(message).__name__)
        peer = handlers_module.PeerInfo(
            self.identity.vm, self.identity.incarnation
        )
        runner = gevent.spawn(connections.run_handler, function, peer, message)
        runner.join(timeout_s)
        if not runner.ready():
            raise errors.ReplyLostError('local handler timed out')
        return connections.unwrap_reply(runner.get())

    def _dial_vm(self, vm: str, timeout_s: float) -> connections.Link:
        result = self._dials.get(vm)
        if result is None:
            result = self._dials[vm] = event.AsyncResult()
            gevent.spawn(self._dial_and_set_result, vm, result)
        result.wait(timeout_s)
        if not result.ready():
            raise errors.DialError(f'dialling {vm} timed out')
        return result.get()

    def _dial_and_set_result(self, vm: str, result: event.AsyncResult) -> None:
        try:
            address = self._resolve(vm)
            if address is None:
                raise errors.DialError(f'no address of {vm} is known')
            self._dial(address, vm)
        except errors.DialError as error:
            if not result.ready():
                result.set_exception(error)
        finally:
            del self._dials[vm]
            if not result.ready():
                result.set_exception(errors.DialError(f'no link to {vm}'))

    def _dial(self, address: Address, vm: str | None) -> connections.Link:
        if self._stopped:
            raise errors.DialError('the node is stopping')
        timeout = gevent.Timeout.start_new(HANDSHAKE_DEADLINE_S)
        transport = None
        try:
            transport = transports.dial(*address)
            hello = handshakes.create_hello(self.identity, self._codec_name)
            peer, key = connections.authenticate_dialled(
                transport, hello, self._secrets, vm
            )
            self._check_peer(peer)
        except (errors.LinkError, gevent.Timeout) as error:
            if isinstance(error, gevent.Timeout) and error is not timeout:
                raise
            if transport is not None:
                transport.abort()
            reason = getattr(error, 'reason', 'handshake_timeout')
            counters.CLOSES.labels(reason).inc()
            name = vm or f'{address[0]}:{address[1]}'
            raise errors.DialError(f'no link to {name}: {error}') from error
        except BaseException:
            if transport is not None:
                transport.abort()
            raise
        finally:
            timeout.close()
        link = self._open_link(transport, peer, key, dialled=True)
        self._dialled_addresses[address] = link
        return link

    def _accept(self, sock: socket.socket, _: Any) -> None:
        limit = min(MAX_UNAUTHENTICATED, self._max_unauthenticated)
        if len(self._unauthenticated) >= limit:
            # Closes the oldest connection: a genuine peer completes the
            # handshake within a few round trips, while an unauthenticated
            # peer that sends nothing stays until the deadline.
            oldest = next(iter(self._unauthenticated))
            self._unauthenticated.pop(oldest)
            oldest.close()
            counters.CLOSES.labels('unauthenticated_limit').inc()
        self._unauthenticated[sock] = None
        timeout = gevent.Timeout.start_new(HANDSHAKE_DEADLINE_S)
        peer = None
        try:
            transport = transports.accept(sock)
            hello = handshakes.create_hello(self.identity, self._codec_name)
            peer, key = connections.authenticate_accepted(
                transport, hello, self._secrets, self._check_peer
            )
        except (errors.LinkError, gevent.Timeout) as error:
            if isinstance(error, gevent.Timeout) and error is not timeout:
                raise
            if sock in self._unauthenticated:
                self._report_handshake_failure(error)
            return
        finally:
            timeout.close()
            self._unauthenticated.pop(sock, None)
            if peer is None:
                sock.close()
        self._open_link(transport, peer, key, dialled=False)

    def _report_handshake_failure(self, error: BaseException) -> None:
        reason = getattr(error, 'reason', 'handshake_timeout')
        counters.CLOSES.labels(reason).inc()
        _log.info(
            'link.handshake_failed',
            extra={'reason': reason, 'detail': str(error)},
        )

    def _check_peer(self, peer: Identity) -> None:
        if self._stopped:
            raise errors.HandshakeError('the node is stopping', 'stopped')
        for link in self._links.get(peer.vm, ()):
            if link.peer.incarnation > peer.incarnation:
                raise errors.HandshakeError(
                    f'{peer.vm} has a newer incarnation', 'old_incarnation'
                )

    def _open_link(
        self,
        transport: transports.Transport,
        peer: Identity,
        key: bytes,
        dialled: bool,
    ) -> connections.Link:
        link = connections.Link(
            transport,
            handlers_module.PeerInfo(peer.vm, peer.incarnation),
            key,
            dialled,
            self._codec,
            self._handlers,
            self._remove_link,
            self._group,
        )
        for other in list(self._links.get(peer.vm, ())):
            if other.peer.incarnation < peer.incarnation:
                other.close('replaced')
        group = self._links.setdefault(peer.vm, [])
        group.append(link)
        self._choose_preferred(peer.vm)
        counters.OPEN_LINKS.inc()
        link.start()
        dial = self._dials.get(peer.vm)
        if dial is not None and not dial.ready():
            # Requests that wait for a dial also use a link dialled by the peer.
            dial.set(link)
        if len(group) == 1:
            self._notify_subscribers(link, 'open')
        return link

    def _remove_link(self, link: connections.Link, reason: str) -> None:
        vm = link.peer.vm
        counters.OPEN_LINKS.dec()
        _log.info('link.closed', extra={'peer': vm, 'reason': reason})
        group = self._links[vm]
        group.remove(link)
        self._bypassed.discard(link)
        if not group:
            del self._links[vm]
        for address, other in list(self._dialled_addresses.items()):
            if other is link:
                del self._dialled_addresses[address]
        self._choose_preferred(vm)
        if not group:
            self._notify_subscribers(link, 'closed')

    def _choose_preferred(self, vm: str) -> None:
        group = self._links.get(vm)
        if not group:
            self._preferred.pop(vm, None)
            return
        own_is_lower = self.identity.vm < vm
        now = clocks.read_now()
        self._preferred[vm] = max(
            group,
            key=lambda link: (
                not link.is_unresponsive(now),
                link.dialled == own_is_lower,
                link.opened_at,
            ),
        )

    def _notify_subscribers(self, link: connections.Link, change: str) -> None:
        for function in self._subscribers:
            try:
                function(link.peer.vm, link.peer.incarnation, change)
            except Exception:  # pylint: disable=broad-exception-caught
                # A failing subscriber must not affect the link.
                _log.exception('link.subscriber_failed')

    def _run_ticks(self) -> None:
        last_idle = clocks.read_now()
        while True:
            tickers.sleep_until_tick(connections.TICK_S)
            now = clocks.read_now()
            late_s = now - self._ticked_at - connections.TICK_S
            if late_s > _LATE_TICK_S:
                self._discount_pause(late_s, now)
                # Lets the readers process the bytes that arrived meanwhile.
                gevent.sleep(0.001)
            self._ticked_at = now
            for link in list(self._group.waiting_links):
                link.check_silence(now)
            for vm in self.list_unresponsive(now):
                self._dial_alternative(vm)
            if now - last_idle >= _IDLE_CHECK_S:
                last_idle = now
                self._check_idle(now)

    def _dial_alternative(self, vm: str) -> None:
        """Dials an alternative to a silent link, once for each such link.

        One connection may have stalled for good while new ones work. The
        silent link is kept until the silence limit, because its peer may only
        be slow.
        """
        silent = self._preferred[vm]
        if silent not in self._bypassed and vm not in self._dials:
            self._bypassed.add(silent)
            self._dials[vm] = event.AsyncResult()
            gevent.spawn(self._dial_and_set_result, vm, self._dials[vm])

    def _discount_pause(self, late_s: float, now: float) -> None:
        for group in self._links.values():
            for link in group:
                link.discount_pause(late_s, now)

    def _check_idle(self, now: float) -> None:
        for group in list(self._links.values()):
            for link in list(group):
                link.check_silence(now)
