"""The task that keeps a node on the greatest valid version of each channel."""

import functools
import math
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import tasks
from jayseam.distribution import confirmations
from jayseam.distribution import conflicts
from jayseam.distribution import counters
from jayseam.distribution import delays
from jayseam.distribution import events
from jayseam.distribution import fetching
from jayseam.distribution import joining
from jayseam.distribution import memories
from jayseam.distribution import messages
from jayseam.distribution import offers
from jayseam.distribution import peers as distribution_peers
from jayseam.distribution import reading
from jayseam.distribution import rejections
from jayseam.distribution import states
from jayseam.distribution import status
from jayseam.distribution import syncing
from jayseam.distribution import versions
from jayseam.source import client as source_client
from jayseam.source import watchers

HEARTBEAT_S = 1.0
_log = logs.get_logger(__name__)


class DistributionTask(tasks.Task):
    """Owns the versions of a node and passes them on to its peers.

    The mailbox greenlet is the only one that changes the state. Fetches and
    verification run in one greenlet for each channel.
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
          incarnation: Incarnation of the process.
          zone: Own availability zone.
          peers: Functions that reach other nodes.
          client: Client of the source; None if the node has none.
          watch_wait_s: Wait of one watch, in seconds.
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
        self._memory = memories.Memory(clocks.read_now())
        self._reports = rejections.RejectionReports()
        self._conflicts = conflicts.KnownConflicts()
        self._delays = delays.DelayTable()
        self._numbering = confirmations.Numbering(
            messages.shorten_origin(vm, incarnation)
        )
        self._subscribers: list[Callable[[states.Snapshot, str], Any]] = []
        self._changed = event.Event()
        self._helpers: list[gevent.Greenlet] = []
        self._reader = reading.SourceReader(
            vm,
            zone,
            client,
            watch_wait_s,
            self.send,
            self._read_version,
            self._count_source_failure,
            uniform,
            options,
        )
        self._syncer = syncing.Syncer(
            peers, lambda: self._state, self._send_peer_states, self._changed
        )
        self._joiner = joining.Joiner(
            self._ask_seeds,
            self._reader.read_once,
            lambda: len(self._state.store.held),
            len(versions.CHANNELS),
            self._changed,
            uniform,
            options.join_wait_s,
        )
        self._fetchers = {
            channel: self._build_fetcher(channel, client)
            for channel in versions.CHANNELS
        }
        self._watch_ages()
        self._handle_events()

    def _build_fetcher(
        self, channel: str, client: source_client.SourceClient | None
    ) -> fetching.ChannelFetcher:
        return fetching.ChannelFetcher(
            channel,
            self._peers.request,
            client,
            self._judge,
            lambda: self._state.cache(channel),
            functools.partial(self.ask, timeout_s=None),
            self._counters,
            uniform=self._uniform,
        )

    def _watch_ages(self) -> None:
        for channel in versions.CHANNELS:
            self._counters.confirmation_age.labels(channel).set_function(
                functools.partial(self._read_age, channel)
            )

    def _handle_events(self) -> None:
        self.handle(fetching.Fetched, self._take_fetched)
        self.handle(fetching.Refused, self._take_refused)
        self.handle(watchers.SourceUpdate, self._take_source_update)
        self.handle(watchers.SourceConfirmation, self._take_confirmation)
        self.handle(events.PeerStates, self._take_peer_states)
        self.handle(events.PeerOffer, self._take_peer_offer)
        self.handle(messages.Rejection, self._take_report)

    @property
    def current(self) -> states.Snapshot:
        """What is in force now."""
        return self._state.snapshot

    @property
    def is_reader(self) -> bool:
        """Whether this node watches the source now."""
        return self._reader.is_watching

    def subscribe(
        self, function: Callable[[states.Snapshot, str], Any]
    ) -> None:
        """Has ``function(snapshot, channel)`` called after each swap.

        It runs in the task's greenlet and must not block.
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
        self._helpers = [
            gevent.spawn(self._run_heartbeats),
            gevent.spawn(self._joiner.run),
        ]

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ends the watches, fetches and the task."""
        gevent.killall(self._helpers)
        self._reader.stop()
        for fetcher in self._fetchers.values():
            fetcher.stop()
        super().stop(timeout_s)

    def note_peer_version(
        self, vm: str, channel: str, version: int, digest: str = ''
    ) -> None:
        """Notes that a peer holds a version, for example from a call frame.

        Cheap unless the version is newer than the own one.
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
          The age through any path; None if the source was never heard of.
        """
        return self._state.find_confirmations(channel).compute_age(now)

    def build_heartbeat(self, now: float) -> messages.Heartbeat:
        """Returns the versions held and the ages of their confirmation."""
        return messages.Heartbeat(
            states.pack_channels(self._state, now),
            int(self._memory.compute_age(now) * 1000),
            int(now * 1000),
        )

    def sync(self, vms: Iterable[str], timeout_s: float) -> bool:
        """Asks peers for their versions and waits for what they have.

        Args:
          vms: Peers to ask, all at once.
          timeout_s: Time for all of it, in seconds.

        Returns:
          Whether a peer answered. What it offered is then in force, unless it
          was invalid or the time ran out.
        """
        return self._syncer.sync(vms, timeout_s)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page, as JSON values."""
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

    def _judge(
        self, channel: str, version: int, digest: str
    ) -> versions.Verdict:
        now = clocks.read_now()
        return self._state.store.offer(channel, version, digest, now)

    def _read_version(self, channel: str) -> int:
        return self._state.store.version(channel)

    def _read_age(self, channel: str) -> float:
        age_s = self.compute_confirmation_age(channel, clocks.read_now())
        return math.nan if age_s is None else age_s

    # Messages from other nodes.

    def handle_announce(self, peer: Any, message: messages.Announce) -> None:
        """Takes a peer's announcement; ``peer.vm`` names the peer."""
        self.note_peer_version(
            peer.vm, message.channel, message.version, message.digest
        )

    def handle_pull(self, peer: Any, message: messages.Pull) -> messages.Parts:
        """Returns the parts that a peer lacks of the version held."""
        del peer
        return states.answer_pull(self._state, message)

    def handle_heartbeat(self, peer: Any, message: messages.Heartbeat) -> None:
        """Takes a peer's versions and confirmation ages."""
        sent_at = self._date(peer, message.sent_ms, clocks.read_now())
        self._send_peer_states(peer.vm, message, sent_at)

    def handle_rejection(self, peer: Any, message: messages.Rejection) -> None:
        """Takes a peer's verdict on a version."""
        del peer
        if message.channel in versions.CHANNELS:
            self.send(message)

    def handle_sync(
        self, peer: Any, message: messages.Sync
    ) -> messages.Heartbeat:
        """Takes a peer's versions and returns the own ones."""
        now = clocks.read_now()
        heard = messages.unpack_states(message.states)
        sent_at = self._date(peer, message.sent_ms, now)
        self.send(events.PeerStates(peer.vm, heard, sent_at))
        return self.build_heartbeat(now)

    def _date(self, peer: Any, sent_ms: int, now: float) -> float:
        """Returns the time at which a message was sent, on the own clock."""
        return now - self._delays.measure(
            peer.vm, peer.incarnation, sent_ms, now
        )

    def _send_peer_states(
        self, vm: str, heartbeat: messages.Heartbeat, sent_at: float
    ) -> None:
        heard = messages.unpack_states(heartbeat.states)
        memory_s = heartbeat.memory_ms / 1000
        self.send(events.PeerStates(vm, heard, sent_at, memory_s))

    # Messages to the task: results of fetches.

    def _take_fetched(self, fetched: fetching.Fetched) -> None:
        """Puts a verified version in force, if it is still newer."""
        state = self._state.accept(fetched, clocks.read_now())
        if state is self._state:
            return
        self._state = state
        version = fetched.version
        self._counters.swaps.labels(version.channel).inc()
        self._counters.version.labels(version.channel).set(version.version)
        _log.info('distribution.swapped', extra=attrs.asdict(version))
        self._tell_change()
        self._peers.spawn_announce(
            messages.Announce(version.channel, version.version, version.digest)
        )
        self._tell_subscribers(version.channel)

    def _tell_change(self) -> None:
        """Wakes those that wait for a swap or a rejection."""
        self._changed.set()
        self._changed.clear()

    def _tell_subscribers(self, channel: str) -> None:
        snapshot = self._state.snapshot
        for function in self._subscribers:
            try:
                function(snapshot, channel)
            except Exception:  # pylint: disable=broad-exception-caught
                # The version is in force; the other subscribers must hear it.
                _log.exception('distribution.subscriber_failed')

    def _take_refused(self, refused: fetching.Refused) -> None:
        """Remembers a version that failed verification, and tells peers."""
        state = self._state.reject(refused, clocks.read_now())
        if state is self._state:
            return
        self._state = state
        version, reasons = refused.version, tuple(refused.reasons)
        self._tell_change()
        self._counters.rejections.labels(version.channel).inc()
        _log.error(
            'distribution.rejected',
            extra={
                **attrs.asdict(version),
                'reasons': list(reasons[: rejections.MAX_REASONS]),
                'n_reasons': len(reasons),
            },
        )
        self._take_report(
            rejections.build_report(
                version.channel, version.version, version.digest, reasons
            )
        )

    def _take_report(self, report: messages.Rejection) -> None:
        """Keeps a rejection, and passes it on when first heard."""
        known = self._reports
        self._reports = known.add(report, clocks.read_now())
        if self._reports is not known:
            self._peers.spawn_broadcast(report)

    # Messages to the task: offers and confirmations.

    def _take_source_update(self, update: watchers.SourceUpdate) -> None:
        version = versions.Version(
            update.channel, update.version, update.digest
        )
        if update.reasons:
            self._take_refused(fetching.Refused(version, update.reasons))
            return
        self._take_offer(offers.SOURCE, version, update.bundle)

    def _take_peer_offer(self, offer: events.PeerOffer) -> None:
        self._take_offer(offer.vm, offer.version)

    def _take_offer(self, holder, version, bundle=None) -> versions.Verdict:
        channel = version.channel
        verdict = self._judge(channel, version.version, version.digest)
        self._counters.offers.labels(channel, verdict.value).inc()
        if verdict is versions.Verdict.NEWER:
            ready_at = self._compute_ready_at(holder, channel)
            self._fetchers[channel].add(
                offers.Offer(
                    holder, version.version, version.digest, bundle, ready_at
                )
            )
        elif verdict is versions.Verdict.CONFLICT:
            self._note_conflict(holder, version)
        return verdict

    def _compute_ready_at(self, holder: str, channel: str) -> float:
        """Returns the time from which an offer may be fetched, in seconds.

        A node that holds nothing yet takes what it can get.
        """
        is_near = holder == offers.SOURCE or holder in set(
            self._peers.live_in_zone()
        )
        if is_near or channel not in self._state.store.held:
            return -math.inf
        return clocks.read_now() + offers.FAR_GRACE_S

    def _note_conflict(self, holder: str, version: versions.Version) -> None:
        """Logs a conflict once; the counter counts each time."""
        if not self._conflicts.add(version):
            return
        _log.error(
            'distribution.conflict',
            extra={
                **attrs.asdict(version),
                'holder': holder or 'source',
                'held': self._state.store.digest(version.channel),
            },
        )

    def _take_confirmation(
        self, confirmation: watchers.SourceConfirmation
    ) -> None:
        channel = confirmation.channel
        numbered = self._numbering.number(
            channel, confirmation.version, confirmation.confirmed_at
        )
        self._state = self._state.hear(channel, numbered)

    def _take_peer_states(self, heard: events.PeerStates) -> None:
        self._memory = self._memory.hear(heard.memory_s, heard.sent_at)
        for told in heard.states:
            if told.channel in versions.CHANNELS:
                self._take_channel_state(heard.vm, told, heard.sent_at)

    def _take_channel_state(
        self, vm: str, told: messages.ChannelState, sent_at: float
    ) -> None:
        verdict = versions.Verdict.OLDER
        if told.version:
            version = versions.Version(told.channel, told.version, told.prefix)
            verdict = self._take_offer(vm, version)
        if told.origin:
            confirmation = confirmations.Confirmation(
                told.confirmed_version,
                told.origin,
                told.sequence,
                sent_at - told.age_ms / 1000,
            )
            self._state = self._state.hear(told.channel, confirmation)
        if verdict is versions.Verdict.OLDER:
            self._correct_peer(vm, told.channel)

    def _correct_peer(self, vm: str, channel: str) -> None:
        """Tells a peer that is behind about the version held."""
        held = self._state.store.held.get(channel)
        if held is None:
            return
        announce = messages.Announce(channel, held.version, held.digest)
        self._peers.spawn_notify(vm, announce)

    # Heartbeats, the role of a reader, and the join.

    def _run_heartbeats(self) -> None:
        gevent.sleep(self._uniform() * HEARTBEAT_S)
        while True:
            try:
                self._update_role()
                self._send_heartbeats()
            except Exception:  # pylint: disable=broad-exception-caught
                # Heartbeats repair lost announcements and must go on.
                _log.exception('distribution.heartbeat_failed')
            gevent.sleep(HEARTBEAT_S)

    def _update_role(self) -> None:
        if self._joiner.may_read:
            self._reader.update_role(self._peers.live_in_zone())

    def _send_heartbeats(self) -> None:
        now = clocks.read_now()
        repeated = self._reports.list_to_repeat(now)
        for vm in self._peers.neighbours():
            for message in (self.build_heartbeat(now), *repeated):
                self._peers.spawn_notify(vm, message)

    def _ask_seeds(self) -> bool:
        """Asks seeds and neighbours; tells whether one has a newer version."""
        vms = dict.fromkeys([*self._peers.seeds(), *self._peers.neighbours()])
        vms.pop(self._vm, None)
        return self._syncer.find_newer(vms)

    def _count_source_failure(self, channel: str, error: Any) -> None:
        name = 'behind' if error is None else type(error).__name__
        self._counters.source_failures.labels(channel, name).inc()
