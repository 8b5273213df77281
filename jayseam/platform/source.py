"""Makes the platform's store the source of a node's configuration."""

import random
from collections.abc import Callable, Mapping

import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import versionnumbers
from jayseam.distribution import fetching
from jayseam.platform import errors
from jayseam.platform import mirrors
from jayseam.platform import store
from jayseam.presets import documents
from jayseam.source import backoff
from jayseam.source import client as source_client
from jayseam.source import errors as source_errors
from jayseam.source import hedging
from jayseam.source import restores

# Wait of a watch request of the first reader of a zone, in seconds. A longer
# wait lets the latest confirmation become older by as much, a shorter one costs
# more of the priced calls. With `OVERDUE_S` it leaves time to put a change in
# force within the platform's two seconds when the watch doesn't tell of it.
WATCH_WAIT_S = 1.3
# Time after the end of its wait from which a watch is overdue, in seconds.
OVERDUE_S = 0.2
# Minimum time between the starts of two reads of the first reader, in seconds.
# Reads are priced, and entries change many times a second while VMs start and
# stop; changes in between are batched in the next read.
READ_INTERVAL_S = 0.3
# The same for the other readers, which are on standby. A change must reach them
# in time even if the first reader is disconnected; the platform's deadlines are
# two seconds or more.
STANDBY_WATCH_WAIT_S = 3.0
STANDBY_READ_INTERVAL_S = 1.0
# Caps of the backoff after the first failed read and after any failed read, in
# seconds. The platform requires that removed entries count as gone two seconds
# after an outage.
RETRY_CAP_S = 0.2
RETRY_MAX_CAP_S = 1.0
# The watch of a reader ends when no read has waited for this long, in seconds.
# Other nodes read the store once, so their watch ends with the read.
IDLE_TIMEOUT_S = 5.0
# Time after which a waiting read looks at the mirror by itself, in seconds.
_RECHECK_S = 1.0
# Timeout of a read that allows a shorter wait, in seconds. It may be this long
# because the reader's greenlet has nothing else to do during an outage.
READ_TIMEOUT_S = 60.0

_ALL_KEYS = ''
_CHANNEL_PREFIX = 'channels/'

_log = logs.get_logger(__name__)

_requests = prometheus_client.Counter(
    'jayseam_platform_requests',
    'Requests to the store, by result: ok or the class of the error',
    ('result',),
)
_watch_running = prometheus_client.Gauge(
    'jayseam_platform_watch_running', 'Whether the store is being read'
)
_store_era = prometheus_client.Gauge(
    'jayseam_platform_store_era',
    "Number of the store's lifetime, which rises when it is restored",
)
_store_revision = prometheus_client.Gauge(
    'jayseam_platform_store_revision', 'Revision of the store that was read'
)
_waiting_reads = prometheus_client.Gauge(
    'jayseam_platform_waiting_reads', 'Reads that wait for the store'
)
_missed_refreshes = prometheus_client.Counter(
    'jayseam_platform_missed_refreshes',
    'Reads that found a change of the mirror of which they had not been told',
)
_renewed_versions = prometheus_client.Counter(
    'jayseam_platform_renewed_versions',
    'Channels published again because nodes had content that changed back',
    ('channel',),
)
_read_seconds = prometheus_client.Histogram(
    'jayseam_platform_read_seconds',
    'Time from the start of a read of the store until the mirror was current',
    buckets=(0.01, 0.03, 0.1, 0.3, 1.0, 1.3, 2.0, 4.0),
)


class StoreSource:
    """Provides the content of the store as the channels of a node.

    One greenlet keeps a mirror of all keys up to date while there are readers;
    reads are answered from the mirror. The store contains no manifests and
    parts: each node builds them here, with the same result at all nodes.

    Args:
      client: Client of the store.
      deployment_facts: Facts that the store doesn't contain.
      hold_s: Time after a restore of the store in which nothing is taken from
        it, in seconds. Its writers write again what it has lost.
      lease_s: Time after a restore in which the store may still have entries of
        servers that had left, in seconds.
      uniform: Returns a random number in [0, 1).
    """

    def __init__(
        self,
        client: store.StoreClient,
        deployment_facts: mirrors.DeploymentFacts,
        hold_s: float,
        lease_s: float,
        uniform: Callable[[], float] = random.random,
    ):
        self._client = client
        self._translator = mirrors.Translator(
            deployment_facts, fetching.Pauser()
        )
        self._retry = backoff.RetryTimer(uniform, RETRY_CAP_S, RETRY_MAX_CAP_S)
        self._mirror: mirrors.Mirror | None = None
        self._channels: Mapping[str, mirrors.Channel] = {}
        self._hold = restores.RestoreHold(hold_s)
        self._lease_s = lease_s
        self._restored: mirrors.RestoredEntries | None = None
        self._must_list = False
        self._refreshed = event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._waiting_reads = 0
        self._last_read_at = 0.0
        self._is_unavailable = False
        self._watch_wait_s = WATCH_WAIT_S
        self._read_interval_s = READ_INTERVAL_S
        self._is_reader = False

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return self._client.url

    @property
    def min_read_interval_s(self) -> float:
        """Zero, as reads wait for the next refresh of the mirror."""
        return 0.0

    @property
    def is_local(self) -> bool:
        """True, as reads are answered from the mirror."""
        return True

    def set_reader_rank(self, rank: int | None) -> None:
        """Sets how often the store is read.

        Args:
          rank: Rank among the readers of the zone, zero for the first; None for
            a node that is no reader.
        """
        self._is_reader = rank is not None
        is_standby = bool(rank)
        self._watch_wait_s = (
            STANDBY_WATCH_WAIT_S if is_standby else WATCH_WAIT_S
        )
        self._read_interval_s = (
            STANDBY_READ_INTERVAL_S if is_standby else READ_INTERVAL_S
        )

    def read_value(
        self,
        key: str,
        after_revision: int | None = None,
        wait_s: float = 0.0,
        after_digest: str = '',
    ) -> source_client.Reply:
        """Reads the pointer of a channel, or waits for a newer one.

        Raises:
          SourceError: If there is no reply from the store, or no such value in
            the store, until the timeout.
        """
        return self._read(
            key.removeprefix(_CHANNEL_PREFIX),
            after_revision,
            wait_s,
            after_digest,
        )

    def read_vms(
        self,
        after_revision: int | None = None,
        wait_s: float = 0.0,
        after_digest: str = '',
    ) -> source_client.Reply:
        """Reads the VM list, or waits for a newer one.

        Raises:
          SourceError: If there is no reply from the store until the timeout.
        """
        return self._read('vms', after_revision, wait_s, after_digest)

    def read_part(self, digest: str) -> bytes:
        """Returns a manifest or part of a channel.

        Raises:
          ValueMissingError: If no current version of a channel contains it.
        """
        for channel in self._channels.values():
            if channel.bundle.digest == digest:
                return channel.bundle.manifest
            part = channel.bundle.parts.get(digest)
            if part is not None:
                return part
        raise source_errors.ValueMissingError(f'no part {digest}')

    def close(self) -> None:
        """Stops the watch of the store and closes the client."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._client.close()

    def _read(
        self,
        channel: str,
        after_revision: int | None,
        wait_s: float,
        after_digest: str,
    ) -> source_client.Reply:
        """Returns a newer version, or a new confirmation of the one held."""
        last_confirmed_at = (
            None if after_revision is None else self._get_confirmed_at(channel)
        )
        deadline = clocks.read_now() + max(wait_s, READ_TIMEOUT_S)
        was_told = True
        while True:
            self._renew_outdated(channel, after_revision or 0, after_digest)
            reply = self._build_reply(
                channel, after_revision, last_confirmed_at
            )
            if reply is not None:
                if not was_told:
                    self._report_missed_refresh(channel)
                return reply
            was_told = self._wait_for_refresh(deadline - clocks.read_now())

    def _renew_outdated(
        self, channel: str, after_revision: int, after_digest: str
    ) -> None:
        """Publishes a channel again if the reader has outdated content.

        Versions are ordered, so without a greater version nodes would keep what
        the store had only for a moment.
        """
        current = self._channels.get(channel)
        if current is None or not current.outdates(
            after_revision, after_digest
        ):
            return
        self._channels = self._translator.renew_version(channel)
        _renewed_versions.labels(channel).inc()
        _log.info(
            'platform.version_renewed',
            extra={
                'channel': channel,
                'version': versionnumbers.shorten(current.as_of),
                'digest': current.bundle.digest,
                'outdated_version': versionnumbers.shorten(after_revision),
                'outdated_digest': after_digest,
            },
        )

    def _report_missed_refresh(self, channel: str) -> None:
        _missed_refreshes.inc()
        _log.warning('platform.refresh_missed', extra={'channel': channel})

    def _get_confirmed_at(self, channel: str) -> float | None:
        current = self._channels.get(channel)
        return None if current is None else current.confirmed_at

    def _build_reply(
        self,
        channel: str,
        after_revision: int | None,
        last_confirmed_at: float | None,
    ) -> source_client.Reply | None:
        """Returns the reply to a read, or None if the read has to wait.

        Args:
          channel: Channel to read.
          after_revision: Version that the reader has; None if it has none.
          last_confirmed_at: Confirmation that the reader may know already.
        """
        current = self._channels.get(channel)
        if self._mirror is None or current is None:
            return None
        confirmed_at = current.confirmed_at
        if current.version > (after_revision or 0):
            body = _encode_body(channel, current.bundle)
            return source_client.Reply(
                current.version, body, confirmed_at, confirmed_at
            )
        if confirmed_at == last_confirmed_at or not current.confirms(
            after_revision
        ):
            return None
        return source_client.Reply(
            after_revision, None, confirmed_at, confirmed_at
        )

    def _wait_for_refresh(self, wait_s: float) -> bool:
        """Waits for the next refresh, for a limited time.

        Args:
          wait_s: Seconds until the read times out.

        Returns:
          Whether this read was told of a refresh.

        Raises:
          SourceTimeoutError: If the read times out.
        """
        if wait_s <= 0:
            raise source_errors.SourceTimeoutError(
                f'{self.url}: no reply in time'
            )
        if self._greenlet is None or self._greenlet.dead:
            self._greenlet = loops.spawn_loop(self._run)
        self._waiting_reads += 1
        _waiting_reads.inc()
        try:
            return bool(self._refreshed.wait(min(wait_s, _RECHECK_S)))
        finally:
            self._waiting_reads -= 1
            _waiting_reads.dec()
            self._last_read_at = clocks.read_now()

    def _run(self) -> None:
        """Keeps the mirror up to date while there are readers."""
        _watch_running.set(1)
        try:
            self._refresh_while_read()
        finally:
            _watch_running.set(0)
            _log.info(
                'platform.watch_ended',
                extra={
                    'idle_s': clocks.read_now() - self._last_read_at,
                    'unavailable': self._is_unavailable,
                },
            )

    def _is_wanted(self, now: float) -> bool:
        """Returns whether a read is waiting or one ended a short time ago."""
        if self._waiting_reads:
            return True
        idle_s = now - self._last_read_at
        return self._is_reader and idle_s < IDLE_TIMEOUT_S + self._watch_wait_s

    def _refresh_while_read(self) -> None:
        while self._is_wanted(clocks.read_now()):
            started = clocks.read_now()
            try:
                self._refresh()
            except source_errors.SourceError as error:
                self._record_failure(error)
                gevent.sleep(self._retry.fail(clocks.read_now()))
            except Exception as error:  # pylint: disable=broad-exception-caught
                # Readers wait for this greenlet, so a bug must not end it.
                _log.exception('platform.read_crashed')
                self._record_failure(error)
                gevent.sleep(self._retry.fail(clocks.read_now()))
            else:
                self._record_success()
                _read_seconds.observe(clocks.read_now() - started)
                self._retry.succeed()
                self._refreshed.set()
                self._refreshed.clear()
                # Readers read again before the next watch request starts.
                gevent.sleep(
                    compute_read_delay(
                        started, self._read_interval_s, clocks.read_now()
                    )
                )

    def _refresh(self) -> None:
        """Updates the mirror and the channels by one read of the store."""
        previous = self._mirror
        if previous is None:
            mirror = mirrors.build_mirror(self._client.list_items(_ALL_KEYS))
        else:
            mirror = self._watch(previous)
        now = clocks.read_now()
        if previous is not None and previous.era != mirror.era:
            self._record_restore(previous, mirror)
            self._hold = self._hold.start(now)
            self._restored = mirrors.RestoredEntries(
                self._correct(previous, now).items,
                mirror.items,
                now + self._lease_s,
            )
            self._must_list = True
        if self._hold.compute_wait(now):
            self._channels = self._translator.withdraw_confirmations()
        else:
            corrected = self._correct(mirror, now)
            self._channels = self._translator.translate(corrected)
        _store_era.set(mirror.era)
        _store_revision.set(mirror.revision)
        self._mirror = mirror

    def _correct(self, mirror: mirrors.Mirror, now: float) -> mirrors.Mirror:
        """Returns the mirror without what a restore has brought back."""
        if self._restored is None:
            return mirror
        corrected = self._restored.correct(mirror, now)
        if corrected.is_settled:
            self._restored = None
        return corrected

    def _watch(self, mirror: mirrors.Mirror) -> mirrors.Mirror:
        """Returns the mirror after a watch request, or after a new listing.

        After a restore the store's revisions have another meaning, also if it
        still has the revision from which the watch began.
        """
        now = clocks.read_now()
        hold_s = self._hold.compute_wait(now)
        if self._must_list and not hold_s:
            # A watch doesn't tell of entries in which only the sequence number
            # has changed.
            listing = self._client.list_items(_ALL_KEYS)
            self._must_list = False
            return mirrors.build_mirror(listing)
        # After a failure, a reply without a wait confirms the mirror at once,
        # and a lost one is noticed sooner.
        wait_s = 0.0 if self._is_unavailable else self._watch_wait_s
        wait_s = min(wait_s, hold_s or wait_s)
        try:
            changes, waited_s = hedging.read_hedged(
                lambda: (
                    self._client.watch(_ALL_KEYS, mirror.revision, wait_s),
                    wait_s,
                ),
                lambda: (
                    self._client.read_changes(_ALL_KEYS, mirror.revision),
                    0.0,
                ),
                wait_s + OVERDUE_S,
            )
        except errors.HistoryGoneError:
            _log.info(
                'platform.history_gone', extra={'revision': mirror.revision}
            )
        except source_errors.BodyTooLargeError as error:
            # The same changes would come again; a listing has only the newest
            # value of each key.
            _log.info(
                'platform.changes_too_large',
                extra={'revision': mirror.revision, 'error': str(error)},
            )
        else:
            if changes.era == mirror.era:
                return mirrors.apply_changes(mirror, changes, waited_s)
        return mirrors.build_mirror(self._client.list_items(_ALL_KEYS))

    def _record_restore(
        self, previous: mirrors.Mirror, mirror: mirrors.Mirror
    ) -> None:
        _log.warning(
            'platform.store_restored',
            extra={
                'era': mirror.era,
                'revision': mirror.revision,
                'previous_era': previous.era,
                'previous_revision': previous.revision,
                'hold_s': self._hold.grace_s,
            },
        )

    def _record_failure(self, error: Exception) -> None:
        _requests.labels(type(error).__name__).inc()
        if not self._is_unavailable:
            self._is_unavailable = True
            _log.warning('platform.store_lost', extra={'error': str(error)})

    def _record_success(self) -> None:
        _requests.labels('ok').inc()
        if self._is_unavailable:
            self._is_unavailable = False
            _log.info('platform.store_regained')


def compute_read_delay(started: float, interval_s: float, now: float) -> float:
    """Returns the seconds until the store may be read again.

    >>> compute_read_delay(10.0, 0.3, now=12.0)
    0.0
    >>> round(compute_read_delay(10.0, 0.3, now=10.1), 3)
    0.2

    Args:
      started: Start of the last read, in seconds.
      interval_s: Minimum time between the starts of two reads, in seconds.
      now: Current time in seconds.
    """
    return max(0.0, started + interval_s - now)


def _encode_body(channel: str, bundle: documents.Bundle) -> bytes:
    """Returns the body of a reply in the format of jayseam's own source."""
    if channel != 'vms':
        return documents.encode_json({'manifest': bundle.digest})
    vms = []
    for part in bundle.parts.values():
        vms += documents.decode_list(part)
    return documents.encode_json({'vms': vms})
