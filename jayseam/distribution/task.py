"""The task that keeps a node on the greatest valid version of each channel."""

import functools
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import errors as core_errors
from jayseam.core import logs
from jayseam.core import tasks
from jayseam.distribution import confirmations
from jayseam.distribution import counters
from jayseam.distribution import exchange
from jayseam.distribution import fetching
from jayseam.distribution import memories
from jayseam.distribution import messages
from jayseam.distribution import parts
from jayseam.distribution import rejections
from jayseam.distribution import versions
from jayseam.presets import model
from jayseam.source import backoff
from jayseam.source import client as source_client
from jayseam.source import errors as source_errors
from jayseam.source import watchers

HEARTBEAT_S = 1.0
_SYNC_TIMEOUT_S = 1.0
# A fresh node's first pulls end well within this time.
_JOIN_CHECK_S = 0.5
_MAX_KNOWN_CONFLICTS = 256
_log = logs.get_logger(__name__)


@attrs.frozen
class Snapshot:
    """What is in force at a node. It is replaced whole, never changed.

    Attributes:
      preset: Preset in force, None before the first.
      preset_version: Its version, zero before the first.
      keys: Key set in force, None before the first.
      keys_version: Its version, zero before the first.
      vms: VM list, None before the first.
      vms_version: Its version, zero before the first.
    """

    preset: model.Preset | None = None
    preset_version: int = 0
    keys: model.KeySet | None = None
    keys_version: int = 0
    vms: model.VmList | None = None
    vms_version: int = 0


@attrs.frozen
class Peers:
    """The functions through which the task reaches other nodes.

    Attributes:
      request: ``request(vm, message, timeout_s)`` returns the reply.
      broadcast: ``broadcast(message)`` sends to all open links.
      notify: ``notify(vm, message)`` sends without waiting for a reply.
      neighbours: Returns the VMs that get heartbeats.
      live_in_zone: Returns the live VMs of the own zone.
      seeds: Returns the VMs that a fresh node asks first; it may dial.
    """

    request: Callable[[str, Any, float], Any]
    broadcast: Callable[[Any], Any]
    notify: Callable[[str, Any], Any]
    neighbours: Callable[[], Iterable[str]]
    live_in_zone: Callable[[], Iterable[str]]
    seeds: Callable[[], Iterable[str]] = tuple


@attrs.frozen
class _State:
    """Everything that a swap replaces, so that one assignment does it."""

    store: versions.VersionStore = versions.VersionStore()
    snapshot: Snapshot = Snapshot()
    caches: Mapping[str, parts.PartCache] = attrs.field(factory=dict)
    confirmed: Mapping[str, confirmations.ChannelConfirmations] = attrs.field(
        factory=dict
    )

    def cache(self, channel: str) -> parts.PartCache:
        return self.caches.get(channel, parts.PartCache())

    def confirmations(self, channel: str) -> confirmations.ChannelConfirmations:
        return self.confirmed.get(channel, confirmations.ChannelConfirmations())


@attrs.frozen
class _PeerStates:
    vm: str
    states: Sequence[messages.ChannelState]
    heard_at: float
    memory_s: float = 0.0


@attrs.frozen
class _PeerOffer:
    vm: str
    version: versions.Version


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
        peers: Peers,
        client: source_client.SourceClient | None = None,
        watch_wait_s: float = 10.0,
        registry: prometheus_client.CollectorRegistry | None = None,
        uniform: Callable[[], float] = random.random,
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
        """
        super().__init__('distribution')
        self._vm = vm
        self._zone = zone
        self._origin = messages.shorten_origin(vm, incarnation)
        self._peers = peers
        self._client = client
        self._watch_wait_s = watch_wait_s
        self._uniform = uniform
        self._counters = counters.Counters(
            registry or prometheus_client.CollectorRegistry()
        )
        self._state = _State()
        self._memory = memories.Memory(clocks.read_now())
        self._reports = rejections.RejectionReports()
        self._subscribers: list[Callable[[Snapshot, str], Any]] = []
        self._sequences = dict.fromkeys(versions.CHANNELS, 0)
        self._known_conflicts: dict[versions.Version, None] = {}
        self._watchers: list[watchers.SourceWatcher] = []
        self._may_read = event.Event()
        self._changed = event.Event()
        self._helpers: list[gevent.Greenlet] = []
        self._fetchers = {
            channel: self._build_fetcher(channel)
            for channel in versions.CHANNELS
        }
        for channel in versions.CHANNELS:
            self._counters.confirmation_age.labels(channel).set_function(
                functools.partial(self._read_age, channel)
            )
        self.handle(fetching.Fetched, self._take_fetched)
        self.handle(fetching.Refused, self._take_refused)
        self.handle(watchers.SourceUpdate, self._take_source_update)
        self.handle(watchers.SourceConfirmation, self._take_confirmation)
        self.handle(_PeerStates, self._take_peer_states)
        self.handle(_PeerOffer, self._take_peer_offer)
        self.handle(messages.Rejection, self._take_report)

    @property
    def current(self) -> Snapshot:
        """What is in force now."""
        return self._state.snapshot

    @property
    def is_reader(self) -> bool:
        """Whether this node watches the source now."""
        return bool(self._watchers)

    def subscribe(self, function: Callable[[Snapshot, str], Any]) -> None:
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
            gevent.spawn(self._run_join),
        ]

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ends the watches, fetches and the task."""
        gevent.killall(self._helpers)
        self._stop_watchers()
        for fetcher in self._fetchers.values():
            fetcher.stop()
        super().stop(timeout_s)

    def handle_announce(self, peer: Any, message: messages.Announce) -> None:
        """Takes a peer's announcement; ``peer.vm`` names the peer."""
        self.note_peer_version(
            peer.vm, message.channel, message.version, message.digest
        )

    def handle_pull(self, peer: Any, message: messages.Pull) -> messages.Parts:
        """Returns the parts that a peer lacks of the version held."""
        del peer
        state = self._state
        version = state.store.version(message.channel)
        cache = state.cache(message.channel)
        held = cache.held
        if version < message.version or not version:
            return messages.Parts(message.channel, version, '', b'', {}, True)
        # A peer that names missing parts of this manifest has the manifest.
        is_repeat = bool(message.wanted) and message.of_digest == held.digest
        wanted = message.wanted if is_repeat else ()
        selection = exchange.select_parts(
            held.order,
            cache.known.get(message.have_digest, ()),
            wanted,
            {digest: len(data) for digest, data in held.compressed.items()},
        )
        chosen = {
            digest: held.compressed[digest] for digest in selection.digests
        }
        return messages.Parts(
            message.channel,
            version,
            held.digest,
            b'' if is_repeat else held.manifest,
            chosen,
            selection.complete,
        )

    def handle_heartbeat(self, peer: Any, message: messages.Heartbeat) -> None:
        """Takes a peer's versions and confirmation ages."""
        self._send_peer_states(peer.vm, message)

    def handle_rejection(self, peer: Any, message: messages.Rejection) -> None:
        """Takes a peer's verdict on a version."""
        del peer
        if message.channel in versions.CHANNELS:
            self.send(message)

    def handle_sync(
        self, peer: Any, message: messages.Sync
    ) -> messages.Heartbeat:
        """Takes a peer's versions and returns the own ones."""
        states = messages.unpack_states(message.states)
        self.send(_PeerStates(peer.vm, states, clocks.read_now()))
        return self.build_heartbeat(clocks.read_now())

    def note_peer_version(
        self, vm: str, channel: str, version: int, digest: str = ''
    ) -> None:
        """Notes that a peer holds a version, for example from a call frame.

        Cheap unless the version is newer than the own one.
        """
        if channel not in versions.CHANNELS:
            return
        held = self._state.store.held.get(channel)
        if held is not None and version <= held.version:
            if version < held.version or held.digest.startswith(digest):
                return
        self.send(_PeerOffer(vm, versions.Version(channel, version, digest)))

    def compute_confirmation_age(
        self, channel: str, now: float
    ) -> float | None:
        """Returns the seconds since the source confirmed a channel.

        Returns:
          The age through any path; None if the source was never heard of.
        """
        return self._state.confirmations(channel).compute_age(now)

    def build_heartbeat(self, now: float) -> messages.Heartbeat:
        """Returns the versions held and the ages of their confirmation."""
        state = self._state
        return messages.Heartbeat(
            messages.pack_states(
                _describe_channel(state, channel, now)
                for channel in versions.CHANNELS
            ),
            int(self._memory.compute_age(now) * 1000),
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
        deadline = clocks.read_now() + timeout_s
        answers = self._ask_peers(vms, timeout_s, 1)
        if not answers:
            return False
        offered = {
            state.channel: state.version
            for answer in answers
            for state in messages.unpack_states(answer.states)
        }
        self._wait_for(offered, deadline)
        return True

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page, as JSON values."""
        state = self._state
        channels = {
            channel: self._describe_status(state, channel, now)
            for channel in versions.CHANNELS
        }
        return {
            'reader': self.is_reader,
            'source': self._client.url if self._client else None,
            'channels': channels,
        }

    def _describe_status(self, state, channel, now) -> dict[str, Any]:
        known = state.confirmations(channel)
        version = state.store.version(channel)
        latest = known.latest
        return {
            'version': version,
            'digest': state.store.digest(channel),
            'unconfirmed': latest is None
            or latest.version != version
            or not self._memory.is_trusted(now),
            'confirmation_age_s': known.compute_age(now),
            'cached_bytes': state.cache(channel).count_bytes(),
            'open_offers': self._fetchers[channel].count_offers(),
            'rejected': self._describe_rejected(state, channel),
        }

    def _describe_rejected(self, state, channel) -> list[dict[str, Any]]:
        """Returns the own verdicts, then those that only peers have."""
        own = [
            rejections.build_report(
                channel, item.version, item.digest, item.reasons
            )
            for item in state.store.rejections.get(channel, ())
        ]
        known = {(report.version, report.digest) for report in own}
        told = [
            report
            for report in self._reports.list_for(channel)
            if (report.version, report.digest) not in known
            and report.version > state.store.version(channel)
        ]
        return [
            {
                'version': report.version,
                'digest': report.digest,
                'reasons': list(report.reasons),
                'n_reasons': report.n_reasons,
            }
            for report in own + told
        ]

    def _build_fetcher(self, channel: str) -> fetching.ChannelFetcher:
        return fetching.ChannelFetcher(
            channel,
            self._peers.request,
            self._client,
            self._judge,
            lambda: self._state.cache(channel),
            functools.partial(self.ask, timeout_s=None),
            self._counters,
            uniform=self._uniform,
        )

    def _read_age(self, channel: str) -> float:
        age_s = self.compute_confirmation_age(channel, clocks.read_now())
        return math.nan if age_s is None else age_s

    def _judge(
        self, channel: str, version: int, digest: str
    ) -> versions.Verdict:
        now = clocks.read_now()
        return self._state.store.offer(channel, version, digest, now)

    def _take_fetched(self, fetched: fetching.Fetched) -> None:
        """Puts a verified version in force, if it is still newer."""
        version, now = fetched.version, clocks.read_now()
        channel, state = version.channel, self._state
        store = state.store.accept(
            channel, version.version, version.digest, now
        )
        if store is state.store:
            return
        snapshot = attrs.evolve(
            state.snapshot,
            **{channel: fetched.value, f'{channel}_version': version.version},
        )
        self._state = _State(
            store,
            snapshot,
            {
                **state.caches,
                channel: state.cache(channel).replace(fetched.held),
            },
            {
                **state.confirmed,
                channel: state.confirmations(channel).accept(version.version),
            },
        )
        self._counters.swaps.labels(channel).inc()
        self._counters.version.labels(channel).set(version.version)
        _log.info('distribution.swapped', extra=attrs.asdict(version))
        self._tell_swap(version, snapshot)

    def _tell_swap(self, version: versions.Version, snapshot: Snapshot) -> None:
        self._changed.set()
        self._changed.clear()
        announce = messages.Announce(
            version.channel, version.version, version.digest
        )
        gevent.spawn(self._send_quietly, self._peers.broadcast, announce)
        for function in self._subscribers:
            try:
                function(snapshot, version.channel)
            except Exception:  # pylint: disable=broad-exception-caught
                # The version is in force; the other subscribers must hear it.
                _log.exception('distribution.subscriber_failed')

    def _take_refused(self, refused: fetching.Refused) -> None:
        version = refused.version
        store = self._state.store.reject(
            version.channel,
            version.version,
            version.digest,
            refused.reasons,
            clocks.read_now(),
        )
        if store is self._state.store:
            return
        self._state = attrs.evolve(self._state, store=store)
        self._changed.set()
        self._changed.clear()
        self._counters.rejections.labels(version.channel).inc()
        _log.error(
            'distribution.rejected',
            extra={
                **attrs.asdict(version),
                'reasons': list(refused.reasons[: rejections.MAX_REASONS]),
                'n_reasons': len(refused.reasons),
            },
        )
        self._take_report(
            rejections.build_report(
                version.channel,
                version.version,
                version.digest,
                tuple(refused.reasons),
            )
        )

    def _take_report(self, report: messages.Rejection) -> None:
        """Keeps a rejection, and passes it on when first heard."""
        known = self._reports
        self._reports = known.add(report)
        if self._reports is not known:
            gevent.spawn(self._send_quietly, self._peers.broadcast, report)

    def _take_source_update(self, update: watchers.SourceUpdate) -> None:
        version = versions.Version(
            update.channel, update.version, update.digest
        )
        if update.reasons:
            self._take_refused(fetching.Refused(version, update.reasons))
            return
        self._take_offer(fetching.SOURCE, version, update.bundle)

    def _take_peer_offer(self, offer: _PeerOffer) -> None:
        self._take_offer(offer.vm, offer.version)

    def _take_offer(self, holder, version, bundle=None) -> versions.Verdict:
        channel = version.channel
        verdict = self._judge(channel, version.version, version.digest)
        self._counters.offers.labels(channel, verdict.value).inc()
        if verdict is versions.Verdict.NEWER:
            self._fetchers[channel].add(
                fetching.Offer(holder, version.version, version.digest, bundle)
            )
        elif verdict is versions.Verdict.CONFLICT:
            self._note_conflict(holder, version)
        return verdict

    def _note_conflict(self, holder: str, version: versions.Version) -> None:
        """Logs a conflict once; the counter counts each time."""
        if version in self._known_conflicts:
            return
        while len(self._known_conflicts) >= _MAX_KNOWN_CONFLICTS:
            self._known_conflicts.pop(next(iter(self._known_conflicts)))
        self._known_conflicts[version] = None
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
        self._sequences[channel] += 1
        self._hear(
            channel,
            confirmations.Confirmation(
                confirmation.version,
                self._origin,
                self._sequences[channel],
                confirmation.confirmed_at,
            ),
        )

    def _hear(self, channel, confirmation) -> None:
        state = self._state
        known = state.confirmations(channel).hear(
            confirmation, state.store.version(channel)
        )
        self._state = attrs.evolve(
            state, confirmed={**state.confirmed, channel: known}
        )

    def _send_peer_states(self, vm: str, heartbeat: messages.Heartbeat) -> None:
        memory_s = heartbeat.memory_ms / 1000
        states = messages.unpack_states(heartbeat.states)
        self.send(_PeerStates(vm, states, clocks.read_now(), memory_s))

    def _take_peer_states(self, heard: _PeerStates) -> None:
        self._memory = self._memory.hear(heard.memory_s, heard.heard_at)
        for state in heard.states:
            if state.channel not in versions.CHANNELS:
                continue
            version = versions.Version(
                state.channel, state.version, state.prefix
            )
            verdict = versions.Verdict.OLDER
            if state.version:
                verdict = self._take_offer(heard.vm, version)
            if state.origin:
                self._hear(
                    state.channel,
                    confirmations.Confirmation(
                        state.confirmed_version,
                        state.origin,
                        state.sequence,
                        heard.heard_at - state.age_ms / 1000,
                    ),
                )
            if verdict is versions.Verdict.OLDER:
                self._correct_peer(heard.vm, state.channel)

    def _correct_peer(self, vm: str, channel: str) -> None:
        """Tells a peer that is behind about the version held."""
        held = self._state.store.held.get(channel)
        if held is None:
            return
        announce = messages.Announce(channel, held.version, held.digest)
        gevent.spawn(self._send_quietly, self._peers.notify, vm, announce)

    def _run_heartbeats(self) -> None:
        gevent.sleep(self._uniform() * HEARTBEAT_S)
        while True:
            try:
                self._update_role()
                heartbeat = self.build_heartbeat(clocks.read_now())
                for vm in self._peers.neighbours():
                    gevent.spawn(
                        self._send_quietly, self._peers.notify, vm, heartbeat
                    )
            except Exception:  # pylint: disable=broad-exception-caught
                # Heartbeats repair lost announcements and must go on.
                _log.exception('distribution.heartbeat_failed')
            gevent.sleep(HEARTBEAT_S)

    def _send_quietly(self, function: Callable[..., Any], *args: Any) -> None:
        """Sends what a later heartbeat repeats if it is lost."""
        try:
            function(*args)
        except (core_errors.JayseamError, OSError, gevent.Timeout) as error:
            _log.debug('distribution.send_failed', extra={'error': str(error)})

    def _update_role(self) -> None:
        """Starts or ends the watches when the node's role changes."""
        if self._client is None or not self._may_read.is_set():
            return
        should_read = exchange.is_reader(
            self._vm, self._zone, self._peers.live_in_zone()
        )
        if should_read and not self._watchers:
            _log.info('distribution.reader_started')
            self._watchers = [self._build_watcher(c) for c in versions.CHANNELS]
            for watcher in self._watchers:
                watcher.start()
        elif not should_read and self._watchers:
            _log.info('distribution.reader_stopped')
            self._stop_watchers()

    def _stop_watchers(self) -> None:
        ended, self._watchers = self._watchers, []
        for watcher in ended:
            watcher.stop()

    def _build_watcher(self, channel: str) -> watchers.SourceWatcher:
        return watchers.SourceWatcher(
            self._client,
            channel,
            self._watch_wait_s,
            self.send,
            self.send,
            lambda: self._state.store.version(channel) or None,
            self._uniform,
            self._count_source_failure,
        )

    def _count_source_failure(self, channel: str, error: Any) -> None:
        name = 'behind' if error is None else type(error).__name__
        self._counters.source_failures.labels(channel, name).inc()

    def _run_join(self) -> None:
        """Brings a fresh node onto the greatest version that it can find.

        Seeds are asked first. The source is read after a wait with full
        jitter, and only while nothing at all is held, so that a mass restart
        does not use up the source's budget.
        """
        wait = backoff.Backoff()
        while not self._is_joined():
            try:
                found = self._ask_seeds()
            except Exception:  # pylint: disable=broad-exception-caught
                _log.exception('distribution.join_failed')
                found = False
            if found:
                self._may_read.set()
                self._changed.wait(_JOIN_CHECK_S)
                continue
            if wait.failures and not self._state.store.held:
                self._read_source()
            now = clocks.read_now()
            wait = wait.fail(now, self._uniform())
            self._changed.wait(wait.compute_wait(now))
            self._may_read.set()
        self._may_read.set()

    def _is_joined(self) -> bool:
        return len(self._state.store.held) == len(versions.CHANNELS)

    def _ask_seeds(self) -> bool:
        """Asks seeds and neighbours; tells whether one has a newer version."""
        vms = dict.fromkeys([*self._peers.seeds(), *self._peers.neighbours()])
        vms.pop(self._vm, None)
        answers = self._ask_peers(vms, _SYNC_TIMEOUT_S, len(vms))
        return any(
            self._judge(state.channel, state.version, state.prefix)
            is versions.Verdict.NEWER
            for answer in answers
            for state in messages.unpack_states(answer.states)
        )

    def _ask_peers(
        self, vms: Iterable[str], timeout_s: float, enough: int
    ) -> list[messages.Heartbeat]:
        """Sends `Sync` to peers; returns once ``enough`` have answered."""
        sync = messages.Sync(self.build_heartbeat(clocks.read_now()).states)
        asked = [
            gevent.spawn(self._ask_peer, vm, sync, timeout_s) for vm in vms
        ]
        answers = []
        for greenlet in gevent.iwait(asked, timeout=timeout_s):
            if greenlet.value is not None:
                answers.append(greenlet.value)
            if len(answers) >= enough:
                break
        return answers

    def _ask_peer(self, vm, sync, timeout_s) -> messages.Heartbeat | None:
        try:
            answer = self._peers.request(vm, sync, timeout_s)
        except (core_errors.JayseamError, OSError, gevent.Timeout) as error:
            _log.debug(
                'distribution.sync_failed',
                extra={'vm': vm, 'error': str(error)},
            )
            return None
        if not isinstance(answer, messages.Heartbeat):
            return None
        self._send_peer_states(vm, answer)
        return answer

    def _read_source(self) -> None:
        """Reads each channel once."""
        if self._client is None:
            return
        for channel in versions.CHANNELS:
            try:
                outcome = watchers.read_channel(self._client, channel)
            except source_errors.SourceError as error:
                self._count_source_failure(channel, error)
                continue
            self.send(outcome.update)
            self.send(outcome.confirmation)

    def _wait_for(self, offered: Mapping[str, int], deadline: float) -> None:
        """Waits until offered versions are in force or turn out invalid."""
        while (now := clocks.read_now()) < deadline:
            store = self._state.store
            if all(
                store.offer(channel, version, '', now)
                is not versions.Verdict.NEWER
                for channel, version in offered.items()
            ):
                return
            self._changed.wait(deadline - now)


def _describe_channel(
    state: _State, channel: str, now: float
) -> messages.ChannelState:
    known = state.confirmations(channel)
    latest, age_s = known.latest, known.compute_age(now)
    return messages.ChannelState(
        channel,
        state.store.version(channel),
        state.store.digest(channel)[: exchange.PREFIX_CHARS],
        latest.version if latest else 0,
        latest.origin if latest else '',
        latest.sequence if latest else 0,
        int((age_s or 0.0) * 1000),
    )
