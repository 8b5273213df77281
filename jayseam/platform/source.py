"""The platform's store as the source of a node."""

import random
from collections.abc import Callable, Mapping

import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import logs
from jayseam.platform import errors
from jayseam.platform import mirrors
from jayseam.platform import store
from jayseam.presets import documents
from jayseam.source import backoff
from jayseam.source import client as source_client
from jayseam.source import errors as source_errors

# Wait of one watch of a zone's first reader, in seconds: the age of a
# confirmation grows by as much.
WATCH_WAIT_S = 1.5
# Least time between two reads of the first reader, in seconds. Reads are dear,
# and entries change many times a second while VMs come and go; what changes
# meanwhile waits for the next read.
READ_GAP_S = 0.3
# The same for the other readers, which stand by. A change must reach them in
# time while the first reader is cut off: the platform's bounds are two seconds
# and more.
STANDBY_WAIT_S = 3.0
STANDBY_GAP_S = 1.0
# Caps of the wait after a failed read, in seconds. The platform asks for
# removed entries to be taken for gone two seconds after an outage.
RETRY_CAP_S = 0.2
RETRY_MAX_CAP_S = 1.0
# The store is watched until nobody has asked for this long, in seconds.
IDLE_S = 5.0
# A reader that hears nothing for this long gives up, in seconds. While the
# store is away it has no other use for its greenlet.
MAX_WAIT_S = 60.0

_ALL_KEYS = ''
_CHANNEL_PREFIX = 'channels/'

_log = logs.get_logger(__name__)


class StoreSource:
    """Offers the content of the store as the channels of a node.

    One greenlet keeps a copy of all keys up to date while somebody reads; the
    reads are answered from the copy. The store has no manifests or parts: they
    are made here, and are the same at all nodes.

    Args:
      client: Client of the store.
      place: What the translation needs beside the store's content.
      uniform: Returns a random number in [0, 1).
    """

    def __init__(
        self,
        client: store.StoreClient,
        place: mirrors.Place,
        uniform: Callable[[], float] = random.random,
    ):
        self._client = client
        self._translator = mirrors.Translator(place)
        self._retry = backoff.Retry(uniform, RETRY_CAP_S, RETRY_MAX_CAP_S)
        self._mirror: mirrors.Mirror | None = None
        self._channels: Mapping[str, mirrors.Channel] = {}
        self._refreshed = event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._asked_at = 0.0
        self._is_lost = False
        self._wait_s = WATCH_WAIT_S
        self._gap_s = READ_GAP_S

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return self._client.url

    def set_reader_rank(self, rank: int) -> None:
        """Sets how often the store is read.

        Args:
          rank: Rank among the readers of the zone, zero for the first.
        """
        stands_by = rank > 0
        self._wait_s = STANDBY_WAIT_S if stands_by else WATCH_WAIT_S
        self._gap_s = STANDBY_GAP_S if stands_by else READ_GAP_S

    def read_value(
        self, key: str, after: int | None = None, wait_s: float = 0.0
    ) -> source_client.Reply:
        """Reads the pointer of a channel, or waits for a newer one.

        Raises:
          SourceError: If the store is silent, or has no such value.
        """
        return self._read(key.removeprefix(_CHANNEL_PREFIX), after, wait_s)

    def read_vms(
        self, after: int | None = None, wait_s: float = 0.0
    ) -> source_client.Reply:
        """Reads the VM list, or waits for a newer one.

        Raises:
          SourceError: If the store is silent.
        """
        return self._read('vms', after, wait_s)

    def read_part(self, digest: str) -> bytes:
        """Returns a manifest or part of a channel.

        Raises:
          ValueMissingError: If no channel has it any more.
        """
        for channel in self._channels.values():
            if channel.bundle.digest == digest:
                return channel.bundle.manifest
            part = channel.bundle.parts.get(digest)
            if part is not None:
                return part
        raise source_errors.ValueMissingError(f'no part {digest}')

    def close(self) -> None:
        """Ends the watch of the store."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._client.close()

    def _read(
        self, channel: str, after: int | None, wait_s: float
    ) -> source_client.Reply:
        """Returns a version after ``after``, or the next confirmation of it."""
        seen_at = None if after is None else self._confirmed_at()
        until = clocks.read_now() + max(wait_s, MAX_WAIT_S)
        while True:
            reply = self._answer(channel, after, seen_at)
            if reply is not None:
                return reply
            self._wait_for_refresh(until - clocks.read_now())

    def _confirmed_at(self) -> float | None:
        return None if self._mirror is None else self._mirror.confirmed_at

    def _answer(
        self, channel: str, after: int | None, seen_at: float | None
    ) -> source_client.Reply | None:
        """Returns the answer to a read, or None if it has to wait.

        Raises:
          ValueMissingError: If the store has no such value.
        """
        if self._mirror is None or self._mirror.revision < (after or 0):
            return None
        confirmed_at = self._mirror.confirmed_at
        held = self._channels.get(channel)
        if held is not None and held.version > (after or 0):
            body = _encode_reply(channel, held.bundle)
            return source_client.Reply(
                held.version, body, confirmed_at, confirmed_at
            )
        if confirmed_at == seen_at or (held is None and after is None):
            return None
        return source_client.Reply(after, None, confirmed_at, confirmed_at)

    def _wait_for_refresh(self, wait_s: float) -> None:
        if self._greenlet is None or self._greenlet.dead:
            self._greenlet = gevent.spawn(self._run)
        self._asked_at = clocks.read_now()
        if wait_s <= 0 or not self._refreshed.wait(wait_s):
            raise source_errors.SourceTimeoutError(f'{self.url}: silent')

    def _run(self) -> None:
        """Keeps the copy up to date while somebody reads."""
        while clocks.read_now() - self._asked_at < IDLE_S + self._wait_s:
            started = clocks.read_now()
            try:
                self._refresh()
            except source_errors.SourceError as error:
                self._note_failure(error)
                gevent.sleep(self._retry.fail(clocks.read_now()))
            else:
                self._note_success()
                self._retry.succeed()
                self._refreshed.set()
                self._refreshed.clear()
                # Readers ask again before the store is watched again.
                gevent.sleep(
                    compute_rest(started, self._gap_s, clocks.read_now())
                )

    def _refresh(self) -> None:
        """Reads once what is new in the store."""
        if self._mirror is None:
            listing = self._client.list_items(_ALL_KEYS)
            mirror = mirrors.read_listing(listing)
        else:
            mirror = self._watch(self._mirror)
        self._channels = self._translator.translate(mirror)
        self._mirror = mirror

    def _watch(self, mirror: mirrors.Mirror) -> mirrors.Mirror:
        wait_s = self._wait_s
        try:
            changes = self._client.watch(_ALL_KEYS, mirror.revision, wait_s)
        except errors.HistoryGoneError:
            _log.info(
                'platform.history_gone', extra={'revision': mirror.revision}
            )
            return mirrors.read_listing(self._client.list_items(_ALL_KEYS))
        return mirrors.apply_changes(mirror, changes, wait_s)

    def _note_failure(self, error: source_errors.SourceError) -> None:
        if not self._is_lost:
            self._is_lost = True
            _log.warning('platform.store_lost', extra={'error': str(error)})

    def _note_success(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _log.info('platform.store_regained')


def compute_rest(started: float, gap_s: float, now: float) -> float:
    """Returns the seconds until the store may be read again.

    >>> compute_rest(10.0, 0.3, now=12.0)
    0.0
    >>> round(compute_rest(10.0, 0.3, now=10.1), 3)
    0.2

    Args:
      started: Start of the last read, in seconds.
      gap_s: Least time between two reads, in seconds.
      now: Present time in seconds.
    """
    return max(0.0, started + gap_s - now)


def _encode_reply(channel: str, bundle: documents.Bundle) -> bytes:
    """Returns what the product's own source would answer."""
    if channel != 'vms':
        return documents.encode_json({'manifest': bundle.digest})
    vms = []
    for part in bundle.parts.values():
        vms += documents.decode_list(part)
    return documents.encode_json({'vms': vms})
