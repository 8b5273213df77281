"""An authenticated link between two nodes.

A link owns its socket, its pending requests and its outbox. It has a reader and
a writer greenlet. While the writer is idle, the greenlet that sends a message
writes the frame itself, which saves a switch; otherwise the message is queued,
and the writer joins the queued frames into one send.
"""

import collections
import math
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import statecharts
from jayseam.links import bulk
from jayseam.links import codecs
from jayseam.links import counters
from jayseam.links import errors
from jayseam.links import frames
from jayseam.links import handlers
from jayseam.links import handshakes
from jayseam.links import messages
from jayseam.links import outboxes
from jayseam.links import transports

TICK_S = 0.05
IDLE_PING_S = 10.0
SILENCE_PING_S = 0.3
# A peer that has not answered a ping in this time gets no new calls until bytes
# arrive from it. Pongs take milliseconds; the rest allows for a busy processor.
PONG_LIMIT_S = 0.2
SILENCE_LIMIT_S = 1.5
# A timeout that expires this much late means that this process was stalled
# itself. It then waits for REPLY_GRACE_S, so that replies that have arrived can
# be read.
STALL_THRESHOLD_S = 0.1
REPLY_GRACE_S = 0.05
MAX_OUTBOX_BYTES = 8 * 1024 * 1024
# Replies may exceed MAX_OUTBOX_BYTES, because the caller cannot know the
# outcome of a request whose reply is lost. The higher limit still bounds the
# memory if a peer stops reading.
MAX_REPLY_OUTBOX_BYTES = 2 * MAX_OUTBOX_BYTES
MAX_RUNNING_HANDLERS = 1024
_MAX_BATCH_BYTES = 256 * 1024
_MAX_FAILURE_TEXT_CHARS = 500
_READS_PER_SWITCH = 16
_MS_PER_S = 1000
_PLANNED_REASONS = frozenset({'stopped', 'peer_closed', 'replaced'})

_log = logs.get_logger(__name__)
_chart = statecharts.load_chart('link')


def authenticate_dialled(
    transport: transports.Transport,
    own: handshakes.Hello,
    secrets: Sequence[str],
    expected_vm: str | None,
) -> tuple[handshakes.Identity, bytes]:
    """Runs the dialler's side of the handshake.

    Args:
      transport: The upgraded connection.
      own: Hello of this node.
      secrets: One or two fleet secrets.
      expected_vm: Name of the VM that was dialled, or None if it is unknown.

    Returns:
      The peer's identity and the session key.

    Raises:
      HandshakeError: If the peer is another VM or shares no secret.
      TransportClosedError: If the connection ends.
    """
    transport.send_all(handshakes.encode_hello(own))
    peer = handshakes.decode_hello(transport.receive_one())
    if expected_vm is not None and peer.identity.vm != expected_vm:
        raise errors.HandshakeError(
            f'dialled {expected_vm!r} but reached {peer.identity.vm!r}',
            'wrong_peer',
        )
    transcript = handshakes.build_transcript(own, peer)
    proofs = [
        handshakes.create_proof(secret, handshakes.DIALLER, transcript)
        for secret in secrets
    ]
    transport.send_all(handshakes.encode_proofs(proofs))
    answer = handshakes.decode_proofs(transport.receive_one())
    secret = handshakes.find_secret(
        secrets, handshakes.ACCEPTOR, transcript, answer
    )
    transport.remaining_handshake_bytes = None
    return peer.identity, handshakes.derive_session_key(secret, transcript)


def authenticate_accepted(
    transport: transports.Transport,
    own: handshakes.Hello,
    secrets: Sequence[str],
    check_peer: Callable[[handshakes.Identity], None],
) -> tuple[handshakes.Identity, bytes]:
    """Runs the acceptor's side of the handshake.

    Args:
      transport: The upgraded connection.
      own: Hello of this node.
      secrets: One or two fleet secrets.
      check_peer: Called with the authenticated peer before the last step;
        raises ``HandshakeError`` to refuse it.

    Returns:
      The peer's identity and the session key.

    Raises:
      HandshakeError: If the peer is refused or shares no secret.
      TransportClosedError: If the connection ends.
    """
    peer = handshakes.decode_hello(transport.receive_one())
    transport.send_all(handshakes.encode_hello(own))
    transcript = handshakes.build_transcript(peer, own)
    proofs = handshakes.decode_proofs(transport.receive_one())
    secret = handshakes.find_secret(
        secrets, handshakes.DIALLER, transcript, proofs
    )
    check_peer(peer.identity)
    transport.remaining_handshake_bytes = None
    proof = handshakes.create_proof(secret, handshakes.ACCEPTOR, transcript)
    transport.send_all(handshakes.encode_proofs([proof]))
    return peer.identity, handshakes.derive_session_key(secret, transcript)


@attrs.define
class SilenceState:
    """Times by which a link detects a silent peer.

    The link updates one instance in place, because it does so on every read.

    Attributes:
      received_at: Time of the last byte, in seconds.
      waiting_since: Time since which a reply or pong is outstanding, or None.
      pinged_at: Time of the last ping, in seconds.
      is_kept: Whether the link was kept past the limit for patient requests.
    """

    received_at: float
    waiting_since: float | None
    pinged_at: float
    is_kept: bool = False


def choose_silence_action(silence: SilenceState, now: float) -> str:
    """Returns what to do about a silence: ``ping``, ``close`` or ``wait``.

    A link is closed one tick before ``SILENCE_LIMIT_S``, because the next check
    may come a tick late and the link must be closed within the limit.

    >>> choose_silence_action(SilenceState(0.0, None, 0.0), now=9.0)
    'wait'
    >>> choose_silence_action(SilenceState(0.0, 9.0, 0.0), now=9.6)
    'ping'
    >>> choose_silence_action(SilenceState(0.0, 9.0, 9.6), now=10.5)
    'close'
    """
    if silence.waiting_since is None:
        idle = now - silence.received_at >= IDLE_PING_S
        return 'ping' if idle else 'wait'
    silent_since = max(silence.received_at, silence.waiting_since)
    if now - silent_since > SILENCE_LIMIT_S - TICK_S:
        return 'close'
    if (
        now - silent_since >= SILENCE_PING_S
        and silence.pinged_at < silent_since
    ):
        return 'ping'
    return 'wait'


def is_unresponsive(silence: SilenceState, now: float) -> bool:
    """Returns whether a pong is overdue while a reply is due.

    >>> is_unresponsive(SilenceState(9.0, 9.1, 9.5), now=9.8)
    True
    >>> is_unresponsive(SilenceState(9.6, 9.1, 9.5), now=9.8)
    False
    """
    if silence.waiting_since is None:
        return False
    silent_since = max(silence.received_at, silence.waiting_since)
    return silent_since < silence.pinged_at <= now - PONG_LIMIT_S


class _PendingRequest:
    """A request that waits for its reply."""

    __slots__ = ('result', 'sent', 'entry', 'is_patient')

    def __init__(self, is_patient: bool):
        self.result = event.AsyncResult()
        self.sent = False
        self.entry = None
        self.is_patient = is_patient


class _OutboxEntry:
    """An entry of the outbox; ``body`` is None once sent or withdrawn."""

    __slots__ = ('body', 'label', 'pending')

    def __init__(self, body: bytes, label: str | None, pending):
        self.body = body
        self.label = label
        self.pending = pending


@attrs.define
class _Writer:
    """State of the writer greenlet.

    Attributes:
      is_busy: Whether it is writing batches.
      left_bytes: Bytes of the present batch that are not written yet.
    """

    is_busy: bool = False
    left_bytes: int = 0


@attrs.frozen
class LinkGroup:
    """What all links of a node share.

    Attributes:
      waiting_links: Links that wait for a reply or pong.
      outbox_total: Bytes that wait in the outboxes of all links.
      bulk_sender: Sends large replies in turn.
    """

    waiting_links: set['Link'] = attrs.field(factory=set)
    outbox_total: outboxes.OutboxTotal = attrs.field(
        factory=outboxes.OutboxTotal
    )
    bulk_sender: bulk.BulkSender = attrs.field(factory=bulk.BulkSender)


class Link:
    """An authenticated connection that both sides use for requests.

    Args:
      transport: The connection after the handshake.
      peer: The authenticated peer.
      key: Session key.
      dialled: True if this node dialled.
      codec: Codec of the messages.
      registry: Handlers of requests and notifications.
      on_closed: Called once with the link and the reason.
      group: What all links of the node share.

    Attributes:
      peer: The authenticated peer.
      dialled: True if this node dialled.
      state: State in the state chart ``link``.
      opened_at: Time at which the link opened, in seconds.
    """

    def __init__(
        self,
        transport: transports.Transport,
        peer: handlers.PeerInfo,
        key: bytes,
        dialled: bool,
        codec: codecs.Codec,
        registry: handlers.HandlerRegistry,
        on_closed: Callable[['Link', str], None],
        group: LinkGroup,
    ):
        outgoing, incoming = frames.TO_ACCEPTOR, frames.TO_DIALLER
        if not dialled:
            outgoing, incoming = incoming, outgoing
        self.peer = peer
        self.dialled = dialled
        self.state = _chart.initial
        for step in ('connected', 'authenticated'):
            self.state = _chart.advance(self.state, step)
        self.opened_at = clocks.read_now()
        self.transport = transport
        self._sealer = frames.Sealer(key, outgoing)
        self._opener = frames.Opener(key, incoming)
        self._codec = codec
        self._registry = registry
        self._on_closed = on_closed
        self._group = group
        self._pending: dict[int, _PendingRequest] = {}
        self._last_correlation = 0
        self._running_handlers = 0
        self._outbox: collections.deque[_OutboxEntry] = collections.deque()
        self._outbox_bytes = 0
        # The unwritten part of a frame and the request that it belongs to.
        self._partial_frame: (
            tuple[memoryview, _PendingRequest | None] | None
        ) = None
        self._writer = _Writer()
        self._wake = event.Event()
        self._silence = SilenceState(self.opened_at, None, 0.0)

    @property
    def is_open(self) -> bool:
        """Whether the link accepts messages."""
        return self.state != 'closed'

    def start(self) -> None:
        """Starts the reader and writer greenlets."""
        gevent.spawn(self._run, self._read)
        gevent.spawn(self._run, self._write)

    def request(
        self, message: Any, timeout_s: float, is_patient: bool = False
    ) -> Any:
        """Sends a request and returns the reply, or None if it is ``Done``.

        Args:
          message: An instance of a registered message class.
          timeout_s: Seconds until the reply.
          is_patient: Whether to wait for the reply of a silent peer until the
            timeout, once the request has been sent.

        Raises:
          NotSentError: If no byte was or will be written.
          ReplyLostError: If the request may have arrived, also on timeout.
          RemoteError: If the handler raised.
          TooLargeError: If the message exceeds the frame limit.
        """
        body = self._encode(message, self._last_correlation + 1)
        self._last_correlation += 1
        correlation = self._last_correlation
        self._check_outbox_space(len(body), MAX_OUTBOX_BYTES)
        if not self._group.outbox_total.has_space(len(body)):
            raise errors.NotSentError('the outboxes are full')
        pending = _PendingRequest(is_patient)
        self._pending[correlation] = pending
        if self._silence.waiting_since is None:
            self._silence.waiting_since = clocks.read_now()
            self._group.waiting_links.add(self)
        try:
            self._send(body, type(message).__name__, pending)
            self._wait(pending, timeout_s)
            if not pending.result.ready():
                raise self._withdraw(pending)
        finally:
            self._pending.pop(correlation, None)
            if (
                not self._pending
                and self._silence.pinged_at <= self._silence.received_at
            ):
                self._silence.waiting_since = None
        return unwrap_reply(pending.result.get())

    def _wait(self, pending: _PendingRequest, timeout_s: float) -> None:
        """Waits for a reply, for longer if this process was stalled."""
        end = clocks.read_now() + timeout_s
        pending.result.wait(timeout_s)
        if (
            not pending.result.ready()
            and clocks.read_now() > end + STALL_THRESHOLD_S
        ):
            pending.result.wait(REPLY_GRACE_S)

    def notify(self, message: Any) -> bool:
        """Sends a notification.

        Returns:
          False if the link is closed or its outbox is full.

        Raises:
          TooLargeError: If the message exceeds the frame limit.
        """
        return self.notify_body(
            self._encode(message, 0), type(message).__name__
        )

    def notify_body(self, body: bytes, label: str) -> bool:
        """Sends an encoded notification.

        Args:
          body: Result of `encode_message` with correlation 0.
          label: Name of the message class.

        Returns:
          False if the link is closed or its outbox is full.
        """
        try:
            self._check_outbox_space(len(body), MAX_OUTBOX_BYTES)
            self._send(body, label, None)
        except errors.NotSentError:
            return False
        return self.is_open

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether a pong is overdue while a reply is due."""
        return is_unresponsive(self._silence, now)

    def check_silence(self, now: float) -> None:
        """Pings the peer if it is silent and closes the link at the limit."""
        if not self.is_open:
            self._group.waiting_links.discard(self)
            return
        action = choose_silence_action(self._silence, now)
        if action == 'close' and self._has_patient_requests():
            self._fail_impatient_requests()
        elif action == 'close':
            self.close('silent')
        elif action == 'ping':
            self._ping(now)
        elif self._silence.waiting_since is None:
            self._group.waiting_links.discard(self)

    def _has_patient_requests(self) -> bool:
        return any(p.is_patient and p.sent for p in self._pending.values())

    def _fail_impatient_requests(self) -> None:
        """Fails the requests that needn't wait for a silent peer.

        The peer may only be paused and still answer the others, which nobody
        can send again. New requests use another link meanwhile.
        """
        for pending in list(self._pending.values()):
            if not pending.result.ready() and not (
                pending.is_patient and pending.sent
            ):
                pending.result.set_exception(self._withdraw(pending))
        if not self._silence.is_kept:
            self._silence.is_kept = True
            _log.info(
                'link.kept_while_silent',
                extra={'peer': self.peer.vm, 'pending': len(self._pending)},
            )

    def discount_pause(self, duration_s: float, now: float) -> None:
        """Excludes a pause of this process from the silence of the peer."""
        silence = self._silence
        silence.received_at = min(silence.received_at + duration_s, now)
        if silence.waiting_since is not None:
            silence.waiting_since = min(silence.waiting_since + duration_s, now)

    def drain(self, timeout_s: float) -> None:
        """Waits until all handlers have replied and the outbox is empty."""
        end = clocks.read_now() + timeout_s
        while self.is_open and clocks.read_now() < end:
            if not (
                self._running_handlers or self._outbox or self._partial_frame
            ):
                return
            gevent.sleep(0.01)

    def shut_down_writing(self) -> None:
        """Shuts down writing; the link closes when the peer has read all."""
        if self.is_open:
            self.transport.shut_down_writing()

    def close(self, reason: str) -> None:
        """Closes the link and fails its pending requests."""
        if not self.is_open:
            return
        self._advance('closed' if reason in _PLANNED_REASONS else 'failed')
        self._group.waiting_links.discard(self)
        self._group.outbox_total.remove(self)
        counters.CLOSES.labels(reason).inc()
        if self._partial_frame is None and not self._writer.is_busy:
            self.transport.close()
        else:
            self.transport.abort()
        self._wake.set()
        for pending in list(self._pending.values()):
            error_class = (
                errors.ReplyLostError if pending.sent else errors.NotSentError
            )
            pending.result.set_exception(
                error_class(f'link to {self.peer.vm} closed: {reason}')
            )
        self._on_closed(self, reason)

    def _advance(self, step: str) -> None:
        self.state = _chart.advance(self.state, step)

    def _run(self, loop: Callable[[], None]) -> None:
        try:
            loop()
        except errors.TransportClosedError as error:
            self.close(error.reason)
        except errors.ProtocolError as error:
            _log.warning(
                'link.protocol_error',
                extra={
                    'peer': self.peer.vm,
                    'reason': error.reason,
                    'detail': str(error),
                },
            )
            self.close(error.reason)
        except Exception:  # pylint: disable=broad-exception-caught
            # Without its reader or writer, a link would take requests that are
            # never sent or read.
            _log.exception('link.crashed', extra={'peer': self.peer.vm})
            self.close('crashed')

    def _encode(self, message: Any, correlation: int) -> bytes:
        return encode_message(self._codec, message, correlation)

    def _check_outbox_space(self, size: int, limit: int) -> None:
        if not self.is_open:
            raise errors.NotSentError(f'link to {self.peer.vm} is closed')
        if self._outbox_bytes + size > limit:
            raise errors.NotSentError(f'outbox to {self.peer.vm} is full')

    def _free_total_space(self, size: int) -> None:
        """Closes the links with the longest outboxes until a reply fits.

        Raises:
          NotSentError: If this link has the longest outbox.
        """
        while not self._group.outbox_total.has_space(size):
            longest = self._group.outbox_total.find_longest()
            if longest is None or longest is self:
                raise errors.NotSentError('the outboxes are full')
            longest.close('outbox_full')

    def _count_waiting(self, n_bytes: int) -> None:
        """Counts bytes that wait to be written, or no longer wait."""
        if self.is_open:
            self._group.outbox_total.add(self, n_bytes)

    def _send(self, body: bytes, label: str, pending) -> None:
        if (
            self._writer.is_busy
            or self._outbox
            or self._partial_frame is not None
        ):
            entry = _OutboxEntry(body, label, pending)
            if pending is not None:
                pending.entry = entry
            self._outbox.append(entry)
            self._outbox_bytes += len(body)
            self._count_waiting(len(body))
            self._wake.set()
            return
        try:
            data = self._encode_frame(body, label)
            self._send_directly(data, pending)
        except errors.TransportClosedError as error:
            self.close(error.reason)
            if pending is None:
                raise errors.NotSentError(str(error)) from error

    def _encode_frame(self, body: bytes, label: str | None) -> bytes:
        if label is None:
            counters.count_bytes('sent', 'control', len(body))
            return body
        data = self.transport.encode(self._sealer.seal(body))
        counters.count_bytes('sent', label, len(data))
        return data

    def _send_directly(self, data: bytes, pending) -> None:
        written = self.transport.send_nowait(data)
        if pending is not None:
            pending.sent = written > 0
        if written < len(data):
            self._partial_frame = memoryview(data)[written:], pending
            self._count_waiting(len(data) - written)
            self._wake.set()

    def _send_control(self, data: bytes) -> None:
        if (
            self._writer.is_busy
            or self._outbox
            or self._partial_frame is not None
        ):
            self._outbox.append(_OutboxEntry(data, None, None))
            self._outbox_bytes += len(data)
            self._count_waiting(len(data))
            self._wake.set()
        else:
            self._send_directly(self._encode_frame(data, None), None)

    def _withdraw(self, pending: _PendingRequest) -> errors.LinkError:
        """Takes back a request if possible; returns the error for it."""
        entry = pending.entry
        if entry is not None and entry.body is not None and not pending.sent:
            # The writer assigns the frame counter when it dequeues an entry, so
            # withdrawing an entry leaves no gap in the counters.
            self._outbox_bytes -= len(entry.body)
            self._count_waiting(-len(entry.body))
            entry.body = None
            return errors.NotSentError(
                f'request to {self.peer.vm} timed out in the outbox'
            )
        return errors.ReplyLostError(
            f'request to {self.peer.vm} timed out without a reply'
        )

    def _write(self) -> None:
        while self.is_open:
            self._wake.wait()
            self._wake.clear()
            self._writer.is_busy = True
            try:
                while self.is_open and (
                    self._partial_frame is not None or self._outbox
                ):
                    self._write_batch()
            finally:
                self._writer.is_busy = False

    def _write_batch(self) -> None:
        request_offsets: list[tuple[int, _PendingRequest]] = []
        if self._partial_frame is not None:
            data, pending = self._partial_frame
            if pending is not None:
                request_offsets.append((0, pending))
            self._partial_frame = None
        else:
            data = memoryview(self._dequeue_batch(request_offsets))
            self._count_waiting(len(data))
        sent = 0
        while sent < len(data):
            self._writer.left_bytes = len(data) - sent
            sent += self.transport.send_partial(data[sent:])
            while request_offsets and request_offsets[0][0] < sent:
                request_offsets.pop(0)[1].sent = True
        self._writer.left_bytes = 0
        self._count_waiting(-len(data))

    def _dequeue_batch(
        self, request_offsets: list[tuple[int, _PendingRequest]]
    ) -> bytes:
        parts = []
        size = 0
        while self._outbox and size < _MAX_BATCH_BYTES:
            entry = self._outbox.popleft()
            if entry.body is None:
                continue
            self._outbox_bytes -= len(entry.body)
            self._count_waiting(-len(entry.body))
            data = self._encode_frame(entry.body, entry.label)
            entry.body = None
            if entry.pending is not None:
                request_offsets.append((size, entry.pending))
            parts.append(data)
            size += len(data)
        return b''.join(parts)

    def _read(self) -> None:
        reads = 0
        while self.is_open:
            reads += 1
            if reads % _READS_PER_SWITCH == 0:
                # A read does not switch greenlets while the socket has data, so
                # a fast peer would keep all other greenlets from running.
                gevent.sleep(0)
            payloads = self.transport.receive()
            self._silence.received_at = clocks.read_now()
            if self.state == 'probing':
                self._advance('received')
            if not self._pending:
                self._silence.waiting_since = None
            if self.transport.control_bytes:
                size, self.transport.control_bytes = (
                    self.transport.control_bytes,
                    0,
                )
                counters.count_bytes('received', 'control', size)
            control = self.transport.pop_control_frames()
            if control:
                self._send_control(control)
            for payload in payloads:
                self._process_payload(payload)

    def _process_payload(self, payload: bytes) -> None:
        body = self._codec.decode(self._opener.open(payload))
        message, correlation = messages.decode_body(body)
        label = type(message).__name__
        size = transports.compute_frame_size(len(payload), not self.dialled)
        counters.count_bytes('received', label, size)
        if correlation < 0:
            pending = self._pending.get(-correlation)
            if pending is not None:
                pending.result.set(message)
            return
        function = self._registry.find(type(message))
        if function is None:
            self._reply(correlation, messages.Failure('no-handler', label))
        elif self._running_handlers >= MAX_RUNNING_HANDLERS:
            self._reply(correlation, messages.Failure('overloaded', label))
        else:
            self._running_handlers += 1
            gevent.spawn(self._handle, function, message, correlation)

    def _handle(
        self, function: handlers.Handler, message: Any, correlation: int
    ) -> None:
        received_at = clocks.read_now()
        try:
            reply = run_handler(function, self.peer, message)
            body = getattr(reply, 'body', b'')
            if len(body) >= bulk.LARGE_BYTES and correlation:
                timeout_ms = getattr(message, 'timeout_ms', math.inf)
                expires_at = received_at + timeout_ms / _MS_PER_S
                self._reply_in_turn(correlation, reply, len(body), expires_at)
                return
        finally:
            self._running_handlers -= 1
        self._reply(correlation, reply)

    def _reply_in_turn(
        self, correlation: int, reply: Any, n_bytes: int, expires_at: float
    ) -> None:
        """Sends a large reply, and waits until it has left.

        Args:
          correlation: Number of the request.
          reply: The reply.
          n_bytes: Size of its body, in bytes.
          expires_at: Time from which the peer doesn't wait for it, in seconds.
        """
        try:
            self._free_total_space(n_bytes)
        except errors.NotSentError:
            self.close('outbox_full')
            return
        self._count_waiting(n_bytes)
        with self._group.bulk_sender.reserve(n_bytes, expires_at) as may_send:
            self._count_waiting(-n_bytes)
            if not may_send:
                _log.info(
                    'link.reply_expired',
                    extra={'peer': self.peer.vm, 'bytes': n_bytes},
                )
                return
            self._reply(correlation, reply)
            bulk.wait_until_left(self._count_unsent_bytes)

    def _count_unsent_bytes(self) -> int:
        """Returns the bytes of this link that have not left the machine."""
        if not self.is_open:
            return 0
        partial = self._partial_frame
        return (
            self._outbox_bytes
            + self._writer.left_bytes
            + (len(partial[0]) if partial is not None else 0)
            + bulk.count_unsent_bytes(self.transport.sock)
        )

    def _reply(self, correlation: int, reply: Any) -> None:
        if correlation == 0 or not self.is_open:
            return
        try:
            body = self._encode(reply, -correlation)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # Codecs raise errors of many classes, and the peer waits.
            text = str(error)[:_MAX_FAILURE_TEXT_CHARS]
            reply = messages.Failure(type(error).__name__, text)
            body = self._encode(reply, -correlation)
        try:
            self._check_outbox_space(len(body), MAX_REPLY_OUTBOX_BYTES)
            self._free_total_space(len(body))
            self._send(body, type(reply).__name__, None)
        except errors.NotSentError:
            self.close('outbox_full')

    def _ping(self, now: float) -> None:
        if self.state == 'open':
            self._advance('silence')
        self._silence.pinged_at = now
        if self._silence.waiting_since is None:
            self._silence.waiting_since = now
            self._group.waiting_links.add(self)
        try:
            self._send_control(self.transport.encode_ping())
        except errors.TransportClosedError as error:
            self.close(error.reason)


def encode_message(
    codec: codecs.Codec, message: Any, correlation: int
) -> bytes:
    """Returns the encoded body of a message.

    Raises:
      TooLargeError: If the message exceeds the frame limit.
      TypeError: If the message cannot be converted to plain values.
    """
    body = codec.encode(messages.encode_body(message, correlation))
    if len(body) > frames.MAX_BODY_BYTES:
        raise errors.TooLargeError(f'message of {len(body)} bytes')
    return body


def run_handler(
    function: handlers.Handler, peer: handlers.PeerInfo, message: Any
) -> Any:
    """Runs a handler.

    Returns:
      Its reply, ``Done`` for None, or ``Failure`` if it raised an exception.
    """
    try:
        reply = function(peer, message)
    except (Exception, gevent.Timeout) as error:  # pylint: disable=W0718
        # Any exception of a handler is reported to the requester.
        _log.info(
            'link.handler_failed',
            extra={'message_class': type(message).__name__},
            exc_info=True,
        )
        text = str(error)[:_MAX_FAILURE_TEXT_CHARS]
        return messages.Failure(type(error).__name__, text)
    return messages.Done() if reply is None else reply


def unwrap_reply(reply: Any) -> Any:
    """Returns the content of a reply, None for ``Done``.

    Raises:
      RemoteError: If the reply is a ``Failure``.
    """
    if isinstance(reply, messages.Failure):
        raise errors.RemoteError(reply.kind, reply.text)
    return None if isinstance(reply, messages.Done) else reply
