"""The task that keeps a node at the greatest valid version of each channel."""

import functools
import itertools
import math
import random
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import tasks
from jayseam.core import versionnumbers
from jayseam.distribution import confirmations
from jayseam.distribution import conflicts
from jayseam.distribution import counters
from jayseam.distribution import delays
from jayseam.distribution import events
from jayseam.distribution import fetching
from jayseam.distribution import joining
from jayseam.distribution import messages
from jayseam.distribution import offers
from jayseam.distribution import peers as distribution_peers
from jayseam.distribution import reading
from jayseam.distribution import rejections
from jayseam.distribution import spreading
from jayseam.distribution import states
from jayseam.distribution import status
from jayseam.distribution import syncing
from jayseam.distribution import version_memory
from jayseam.distribution import versions
from jayseam.source import client as source_client
from jayseam.source import watchers

HEARTBEAT_INTERVAL_S = 1.0
_log = logs.get_logger(__name__)


class DistributionTask(tasks.Task):
    """Owns the versions of a node and distributes them to its peers.

    Only the mailbox greenlet changes the state. Each channel has a greenlet
    that fetches and verifies versions.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        zone: str,
        peers: distribution_peers.Peers,
        client: source_client.SourceClient | None = None,
        watch_wait_s: float = 10.0,
        registry: prometheus_client.CollectorRegistry | None = None,
        uniform: Callable[[], float] = random.random,
        options: reading.Options = reading.Options(),
    ):
        """Prepares the task.

        Args:
          vm: Name of the own VM.
          incarnation: Incarnation of this process.
          zone: Own availability zone.
          peers: Functions that reach other nodes.
          client: Client of the source; None if the node has none.
          watch_wait_s: Time that one watch request may wait at the source, in
            seconds.
          registry: Registry of the metrics; a new one by default.
          uniform: Returns a random number in [0, 1).
          options: How the source is read.
        """
        super().__init__('distribution')
        self._vm = vm
        self._peers = peers
        self._uniform = uniform
        self._counters = counters.Counters(
            registry or prometheus_client.CollectorRegistry()
        )
        self._state = states.State()
        self._memory = version_memory.Memory(clocks.read_now())
        self._reports = rejections.RejectionReports()
        self._conflicts = conflicts.KnownConflicts()
        self._delays = delays.DelayTable()
        self._sequencer = confirmations.ConfirmationSequencer(
            messages.shorten_origin(vm, incarnation)
        )
        self._subscribers: list[Callable[[states.Snapshot, str], Any]] = []
        self._changed = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._reader = reading.SourceReader(
            vm,
            zone,
            client,
            watch_wait_s,
            self.send,
            self._read_held,
            self._count_source_failure,
            uniform,
            options,
            self._read_known_vms,
        )
        self._syncer = syncing.Syncer(
            peers, lambda: self._state, self._send_peer_states, self._changed
        )
        self._joiner = joining.Joiner(
            self._has_newer_peer,
            self._reader.read_once,
            lambda: len(self._state.store.held),
            len(versions.CHANNELS),
            self._changed,
            uniform,
            lambda: self.send(events.Joined()),
            options.join_wait_s,
        )
        self._fetchers = {
            channel: self._build_fetcher(channel, client)
            for channel in versions.CHANNELS
        }
        self._export_ages()
        self._register_mailbox_handlers()

    def _build_fetcher(
        self, channel: str, client: source_client.SourceClient | None
    ) -> fetching.ChannelFetcher:
        return fetching.ChannelFetcher(
            channel,
            self._peers.request,
            client,
            self._classify,
            lambda: self._state.get_cache(channel),
            functools.partial(self.ask, timeout_s=None),
            self._counters,
            uniform=self._uniform,
        )

    def _export_ages(self) -> None:
        for channel in versions.CHANNELS:
            self._counters.confirmation_age.labels(channel).set_function(
                functools.partial(self._compute_age, channel)
            )

    def _register_mailbox_handlers(self) -> None:
        self.handle(fetching.VerifiedVersion, self._accept_version)
        self.handle(fetching.InvalidVersion, self._reject_version)
        self.handle(watchers.SourceUpdate, self._handle_source_update)
        self.handle(watchers.SourceConfirmation, self._handle_confirmation)
        self.handle(events.PeerStates, self._handle_peer_states)
        self.handle(events.PeerOffer, self._handle_peer_offer)
        self.handle(messages.Rejection, self._record_report)
        self.handle(events.Joined, self._handle_joined)

    @property
    def snapshot(self) -> states.Snapshot:
        """The configuration in force."""
        return self._state.snapshot

    @property
    def is_reader(self) -> bool:
        """Whether this node watches the source now."""
        return self._reader.is_watching

    @property
    def has_joined(self) -> bool:
        """Whether the node holds what its peers remember; see `joining`."""
        return self._joiner.has_joined

    def subscribe(
        self, function: Callable[[states.Snapshot, str], Any]
    ) -> None:
        """Has ``function(snapshot, channel)`` called after each swap.

        It is also called with an empty channel when the node has joined.

        The function runs in the task's greenlet and must not block.
        """
        self._subscribers.append(function)

    def register_handlers(self, handlers: Any) -> None:
        """Registers the handlers of this task's messages.

        Args:
          handlers: ``handlers.register(message_class, function)``.
        """
        handlers.register(messages.Announce, self.handle_announce)
        handlers.register(messages.Pull, self.handle_pull)
        handlers.register(messages.Heartbeat, self.handle_heartbeat)
        handlers.register(messages.Sync, self.handle_sync)
        handlers.register(messages.Rejection, self.handle_rejection)

    def start(self) -> None:
        """Starts the task, its fetchers, heartbeats and the join."""
        super().start()
        for fetcher in self._fetchers.values():
            fetcher.start()
        self._greenlets = [
            loops.spawn_loop(self._run_heartbeats),
            loops.spawn_loop(self._joiner.run),
        ]

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ends the watches, the fetches and the task."""
        gevent.killall(self._greenlets)
        self._reader.stop()
        for fetcher in self._fetchers.values():
            fetcher.stop()
        super().stop(timeout_s)

    def record_peer_version(
        self, vm: str, channel: str, version: int, digest: str = ''
    ) -> None:
        """Handles the information that a peer holds a version.

        It may come from any message, such as the frame of a call. The method
        is cheap unless the version is newer than the one held.
        """
        if channel not in versions.CHANNELS:
            return
        if self._state.has(channel, version, digest):
            return
        offered = versions.Version(channel, version, digest)
        self.send(events.PeerOffer(vm, offered))

    def compute_confirmation_age(
        self, channel: str, now: float
    ) -> float | None:
        """Returns the seconds since the source confirmed a channel.

        Returns:
          The age of the latest confirmation, received directly or through
          peers; None if there is none.
        """
        return self._state.get_confirmations(channel).compute_age(now)

    def has_newer_offer(self, channel: str) -> bool:
        """Returns whether a newer version is known and not yet in force.

        The offer of a peer is dropped if the peer can't be reached; what is
        known of the confirmation remains.
        """
        return (
            self._fetchers[channel].count_offers() > 0
            or self._state.get_confirmations(channel).is_newer_confirmed
        )

    def build_heartbeat(self, now: float) -> messages.Heartbeat:
        """Returns the versions held and the ages of their confirmations."""
        return messages.Heartbeat(
            states.pack_channels(self._state, now),
            int(self._memory.compute_age(now) * 1000),
            int(now * 1000),
        )

    def sync(self, vms: Iterable[str], timeout_s: float) -> bool:
        """Asks peers for their versions and waits for the newer ones.

        Args:
          vms: Peers to ask, concurrently.
          timeout_s: Time for the whole exchange, in seconds.

        Returns:
          Whether a peer replied. The versions in its reply are then in force,
          unless they were invalid or the time ran out.
        """
        return self._syncer.sync(vms, timeout_s)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state of the distribution as JSON values."""
        channels = {
            channel: status.describe_channel(
                self._state,
                channel,
                self._memory,
                self._reports,
                fetcher.count_offers(),
                now,
            )
            for channel, fetcher in self._fetchers.items()
        }
        return {
            'reader': self.is_reader,
            'source': self._reader.url,
            'channels': channels,
        }

    def _classify(
        self, channel: str, version: int, digest: str
    ) -> versions.Verdict:
        now = clocks.read_now()
        return self._state.store.classify(channel, version, digest, now)

    def _read_held(self, channel: str) -> watchers.KnownVersion:
        store = self._state.store
        return watchers.KnownVersion(
            store.version(channel), store.digest(channel)
        )

    def _read_known_vms(self) -> watchers.KnownVms:
        latest = self._state.get_confirmations('vms').latest
        vm_list = self._state.snapshot.vms
        if latest is None or vm_list is None:
            return watchers.KnownVms()
        live = (entry.vm for entry in vm_list.vms if entry.state == 'live')
        return watchers.KnownVms(latest.confirmed_at, frozenset(live))

    def _compute_age(self, channel: str) -> float:
        age_s = self.compute_confirmation_age(channel, clocks.read_now())
        return math.nan if age_s is None else age_s

    # Messages from other nodes.

    def handle_announce(self, peer: Any, message: messages.Announce) -> None:
        """Handles the announcement of the peer ``peer.vm``."""
        self.record_peer_version(
            peer.vm, message.channel, message.version, message.digest
        )

    def handle_pull(self, peer: Any, message: messages.Pull) -> messages.Parts:
        """Returns the parts of the version held that a peer lacks."""
        del peer
        return states.answer_pull(self._state, message)

    def handle_heartbeat(self, peer: Any, message: messages.Heartbeat) -> None:
        """Handles a peer's versions and confirmation ages."""
        sent_at = self._estimate_sent_at(
            peer, message.sent_ms, clocks.read_now()
        )
        self._send_peer_states(peer.vm, message, sent_at)

    def handle_rejection(self, peer: Any, message: messages.Rejection) -> None:
        """Handles a peer's report that it rejected a version."""
        del peer
        if message.channel in versions.CHANNELS:
            self.send(message)

    def handle_sync(
        self, peer: Any, message: messages.Sync
    ) -> messages.Heartbeat:
        """Handles a peer's versions and returns those of this node."""
        now = clocks.read_now()
        received = messages.unpack_states(message.states)
        sent_at = self._estimate_sent_at(peer, message.sent_ms, now)
        self.send(events.PeerStates(peer.vm, received, sent_at))
        return self.build_heartbeat(now)

    def _estimate_sent_at(self, peer: Any, sent_ms: int, now: float) -> float:
        """Returns the time of sending on this node's clock, in seconds."""
        return now - self._delays.measure(
            peer.vm, peer.incarnation, sent_ms, now
        )

    def _send_peer_states(
        self, vm: str, heartbeat: messages.Heartbeat, sent_at: float
    ) -> None:
        received = messages.unpack_states(heartbeat.states)
        memory_s = heartbeat.memory_ms / 1000
        self.send(events.PeerStates(vm, received, sent_at, memory_s))

    # Messages to the task: results of fetches.

    def _accept_version(self, verified: fetching.VerifiedVersion) -> None:
        """Puts a verified version in force if it is still newer."""
        now = clocks.read_now()
        state = self._state.accept(verified, now)
        if state is self._state:
            return
        self._state = state
        version = verified.version
        self._counters.swaps.labels(version.channel).inc()
        # A float has too few digits for changes of a long version number.
        self._counters.version.labels(version.channel).set(
            versionnumbers.shorten(version.version)
        )
        _log.info(
            'distribution.swapped',
            extra={
                **version.describe(),
                'holder': verified.holder or 'source',
                'fetch_s': round(now - verified.fetch_began_at, 3),
            },
        )
        self._notify_waiters()
        self._peers.spawn_announce(
            messages.Announce(version.channel, version.version, version.digest),
            self._is_carrier(verified.holder),
        )
        self._notify_subscribers(version.channel)

    def _is_carrier(self, holder: str) -> bool:
        """Returns whether this node tells its whole zone of a version.

        Args:
          holder: VM from which the version was fetched, or `offers.SOURCE`.
        """
        if self.is_reader:
            return True
        if holder == offers.SOURCE:
            return False
        return holder not in set(self._peers.list_live_in_zone())

    def _notify_waiters(self) -> None:
        """Wakes the greenlets that wait for a swap or a rejection."""
        self._changed.set()
        self._changed.clear()

    def _notify_subscribers(self, channel: str) -> None:
        snapshot = self._state.snapshot
        for function in self._subscribers:
            try:
                function(snapshot, channel)
            except Exception:  # pylint: disable=broad-exception-caught
                # The version is in force; the other subscribers must be called.
                _log.exception('distribution.subscriber_failed')

    def _handle_joined(self, _: events.Joined) -> None:
        _log.info('distribution.joined')
        self._notify_subscribers('')

    def _reject_version(self, invalid: fetching.InvalidVersion) -> None:
        """Records an invalid version and reports it to peers."""
        state = self._state.reject(invalid, clocks.read_now())
        if state is self._state:
            return
        self._state = state
        version, reasons = invalid.version, tuple(invalid.reasons)
        self._notify_waiters()
        self._counters.rejections.labels(version.channel).inc()
        _log.error(
            'distribution.rejected',
            extra={
                **version.describe(),
                'reasons': list(reasons[: rejections.MAX_REASONS]),
                'n_reasons': len(reasons),
            },
        )
        self._record_report(
            rejections.build_report(
                version.channel, version.version, version.digest, reasons
            )
        )

    def _record_report(self, report: messages.Rejection) -> None:
        """Records a report of a rejection and broadcasts it if it is new."""
        known = self._reports
        self._reports = known.add(report, clocks.read_now())
        if self._reports is not known:
            self._peers.spawn_broadcast(report)

    # Messages to the task: offers and confirmations.

    def _handle_source_update(self, update: watchers.SourceUpdate) -> None:
        version = versions.Version(
            update.channel, update.version, update.digest
        )
        if update.reasons:
            self._reject_version(
                fetching.InvalidVersion(version, update.reasons)
            )
            return
        self._process_offer(offers.SOURCE, version, update.bundle)

    def _handle_peer_offer(self, offer: events.PeerOffer) -> None:
        self._process_offer(offer.vm, offer.version)

    def _process_offer(self, holder, version, bundle=None) -> versions.Verdict:
        channel = version.channel
        verdict = self._classify(channel, version.version, version.digest)
        self._counters.offers.labels(channel, verdict.value).inc()
        if verdict is versions.Verdict.NEWER:
            ready_at = self._compute_ready_at(holder, channel)
            self._fetchers[channel].add(
                offers.Offer(
                    holder, version.version, version.digest, bundle, ready_at
                )
            )
        elif verdict is versions.Verdict.CONFLICT:
            self._log_conflict(holder, version)
        return verdict

    def _compute_ready_at(self, holder: str, channel: str) -> float:
        """Returns the time from which an offer may be fetched, in seconds.

        A node that holds no version of the channel yet does not wait.
        """
        is_near = holder == offers.SOURCE or holder in set(
            self._peers.list_live_in_zone()
        )
        if is_near or channel not in self._state.store.held:
            return -math.inf
        return clocks.read_now() + offers.OTHER_ZONE_DELAY_S

    def _log_conflict(self, holder: str, version: versions.Version) -> None:
        """Logs a conflict once; the metric counts every occurrence."""
        if not self._conflicts.add(version):
            return
        _log.error(
            'distribution.conflict',
            extra={
                **version.describe(),
                'holder': holder or 'source',
                'held': self._state.store.digest(version.channel),
            },
        )

    def _handle_confirmation(
        self, confirmation: watchers.SourceConfirmation
    ) -> None:
        channel = confirmation.channel
        numbered = self._sequencer.create(
            channel, confirmation.version, confirmation.confirmed_at
        )
        self._state = self._state.add_confirmation(channel, numbered)

    def _handle_peer_states(self, received: events.PeerStates) -> None:
        self._memory = self._memory.merge(received.memory_s, received.sent_at)
        for channel_state in received.states:
            if channel_state.channel in versions.CHANNELS:
                self._handle_channel_state(
                    received.vm, channel_state, received.sent_at
                )

    def _handle_channel_state(
        self, vm: str, channel_state: messages.ChannelState, sent_at: float
    ) -> None:
        verdict = versions.Verdict.OLDER
        if channel_state.version:
            version = versions.Version(
                channel_state.channel,
                channel_state.version,
                channel_state.prefix,
            )
            verdict = self._process_offer(vm, version)
        if channel_state.origin:
            confirmation = confirmations.Confirmation(
                channel_state.confirmed_version,
                channel_state.origin,
                channel_state.sequence,
                sent_at - channel_state.age_ms / 1000,
            )
            self._state = self._state.add_confirmation(
                channel_state.channel, confirmation
            )
        if verdict is versions.Verdict.OLDER:
            self._announce_to_peer(vm, channel_state.channel)

    def _announce_to_peer(self, vm: str, channel: str) -> None:
        """Announces the version held to a peer that is behind."""
        held = self._state.store.held.get(channel)
        if held is None:
            return
        announce = messages.Announce(channel, held.version, held.digest)
        self._peers.spawn_notify(vm, announce)

    # Heartbeats, the reader role and the join.

    def _run_heartbeats(self) -> None:
        gevent.sleep(self._uniform() * HEARTBEAT_INTERVAL_S)
        for round_number in itertools.count():
            try:
                self._update_role()
                self._send_heartbeats(round_number)
            except Exception:  # pylint: disable=broad-exception-caught
                # Heartbeats repair lost announcements, so they must go on.
                _log.exception('distribution.heartbeat_failed')
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _update_role(self) -> None:
        if self._joiner.may_watch:
            self._reader.update_role(self._peers.list_live_in_zone())

    def _send_heartbeats(self, round_number: int) -> None:
        now = clocks.read_now()
        receivers = spreading.list_heartbeat_receivers(
            self._peers.surroundings, self._reader.rank, round_number
        )
        receivers.discard(self._vm)
        repeated = self._reports.list_to_repeat(now)
        for vm in receivers:
            for message in (self.build_heartbeat(now), *repeated):
                self._peers.spawn_dial_and_notify(vm, message)

    def _has_newer_peer(self) -> bool | None:
        """Asks seeds and neighbours whether one of them has a newer version.

        Returns:
          None if none replied.
        """
        vms = dict.fromkeys(
            [*self._peers.list_seeds(), *self._peers.list_neighbours()]
        )
        vms.pop(self._vm, None)
        return self._syncer.has_newer_peer(vms)

    def _count_source_failure(self, channel: str, error: Any) -> None:
        name = 'behind' if error is None else type(error).__name__
        self._counters.source_failures.labels(channel, name).inc()
