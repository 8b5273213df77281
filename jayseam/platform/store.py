"""Read-only client of the platform's key-value store."""

import base64
import binascii
import json
import urllib.parse
from typing import Any

import attrs

from jayseam.platform import errors
from jayseam.source import endpoints
from jayseam.source import errors as source_errors

# A page contains up to about 1 MB of values, encoded in base64 and with other
# fields.
MAX_REPLY_BYTES = 4_000_000
# Values of one reply, estimated from its commas and brackets. 4 MB of empty
# lists and objects take 98 to 119 MB once decoded; a page of 1,000 entries has
# 6,000 values.
MAX_REPLY_VALUES = 100_000
# Timeout of a reply in addition to the wait of a watch request, in seconds. The
# store replies in milliseconds; a configuration of 1 MB takes 2 s on a link of
# 5 Mbit/s.
REPLY_TIMEOUT_S = 4.0
# Timeout of the head of a reply in addition to the wait, in seconds. A request
# whose answer is lost must end before the deadlines apply again, three seconds
# after an outage.
HEAD_TIMEOUT_S = 2.0
# Timeout to establish a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
# One greenlet reads the store; an overdue watch is read past on a connection of
# its own.
MAX_CONNECTIONS = 1
# Most pages of one listing, in case the store always announces another page.
MAX_PAGES = 1000
# Bytes of all pages of one listing together. A configuration takes up to 1 MB
# and the entries of 670 backend servers 0.3 MB.
MAX_LISTING_BYTES = 12_000_000

_MS_PER_S = 1000
# Revisions and eras are counters of 64 bits.
_MAX_COUNTER = 2**63
_MAX_COUNTER_DIGITS = 19
_ERA_FIELD = 'Store-Era'


@attrs.frozen
class Item:
    """A key of the store with its value.

    Attributes:
      key: The key.
      value: Its bytes.
      revision: Revision of the store at which the key was last written.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Deletion:
    """A key that was removed."""

    key: str
    revision: int


@attrs.frozen
class Listing:
    """All keys with a common prefix.

    Attributes:
      items: The keys and values.
      revision: Revision of the store that the listing represents.
      requested_at: Time before the request was sent, in seconds.
      era: Number of the store's lifetime, which rises when the store is
        restored from a copy; its revisions before and after can't be compared.
        Zero if the store states none.
    """

    items: tuple[Item, ...]
    revision: int
    requested_at: float
    era: int = 0


@attrs.frozen
class Changes:
    """Changes of keys after a revision.

    Attributes:
      events: Changes in the order in which they were made.
      revision: Revision up to which there are no other changes.
      requested_at: Time before the request was sent, in seconds.
      received_at: Time at which the reply was complete, in seconds.
      era: Number of the store's lifetime; see `Listing`.
    """

    events: tuple[Item | Deletion, ...]
    revision: int
    requested_at: float
    received_at: float
    era: int = 0


class StoreClient:
    """Lists and watches keys.

    Args:
      address: ``host:port`` of the store.
    """

    def __init__(self, address: str):
        self._endpoint = _build_endpoint(address)
        self._plain_endpoint = _build_endpoint(address)

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return self._endpoint.url

    def list_items(self, prefix: str) -> Listing:
        """Reads all keys that begin with a prefix.

        The pages are no consistent snapshot, so the listing gets the revision
        of the first page. A watch from that revision repeats changes that later
        pages may already contain.

        Raises:
          StoreRestoredError: If the store was restored between two pages.
          SourceError: If the store sent no valid reply.
        """
        items: list[Item] = []
        first: endpoints.RawReply | None = None
        revision, after = 0, ''
        page_ends: set[str] = set()
        n_bytes = 0
        for _ in range(MAX_PAGES):
            query = {'path_prefix': prefix}
            if after:
                query['after'] = after
            reply = self._get(self._endpoint, '/jayseam/kv-range', query)
            n_bytes += len(reply.body)
            if n_bytes > MAX_LISTING_BYTES:
                raise source_errors.SourceReplyError('the listing is too large')
            document = _read_document(reply)
            if first is None:
                first, revision = reply, _read_revision(document, 'as_of')
            if _read_era(reply) != _read_era(first):
                raise errors.StoreRestoredError(
                    f'{self.url}: restored during a listing'
                )
            page = [
                _decode_item(item) for item in _read_list(document, 'items')
            ]
            items += page
            if not document.get('more_pages') or not page:
                return Listing(
                    tuple(items), revision, first.requested_at, _read_era(first)
                )
            after = page[-1].key
            if after in page_ends:
                raise source_errors.SourceReplyError('a page does not advance')
            page_ends.add(after)
        raise source_errors.SourceReplyError('the listing has too many pages')

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Waits for changes of keys that begin with a prefix.

        Args:
          prefix: The prefix.
          after_revision: Revision up to which changes are known.
          wait_s: Longest time that the store may wait for a change, in seconds.

        Raises:
          HistoryGoneError: If the store no longer has these changes.
          SourceError: If the store sent no valid reply.
        """
        return self._read_changes(
            self._endpoint, prefix, after_revision, wait_s
        )

    def read_changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads changes without a wait, on a connection that no watch uses.

        Args:
          prefix: Prefix of the keys.
          after_revision: Revision up to which changes are known.

        Raises:
          HistoryGoneError: If the store no longer has these changes.
          SourceError: If the store sent no valid reply.
        """
        return self._read_changes(
            self._plain_endpoint, prefix, after_revision, 0.0
        )

    def _read_changes(
        self,
        endpoint: endpoints.Endpoint,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Changes:
        query = {
            'path_prefix': prefix,
            'after': after_revision,
            'wait_ms': int(wait_s * _MS_PER_S),
        }
        reply = self._get(endpoint, '/jayseam/kv-watch', query, wait_s)
        document = _read_document(reply)
        events = _read_list(document, 'events')
        return Changes(
            tuple(_decode_event(event) for event in events),
            _read_revision(document, 'as_of'),
            reply.requested_at,
            reply.received_at,
            _read_era(reply),
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self._endpoint.close()
        self._plain_endpoint.close()

    def _get(
        self,
        endpoint: endpoints.Endpoint,
        path: str,
        query: dict[str, Any],
        wait_s: float = 0.0,
    ) -> endpoints.RawReply:
        # Keys with lone surrogates must not fail here; the store judges them.
        encoded = urllib.parse.urlencode(
            query, safe='/', errors='surrogatepass'
        )
        reply = endpoint.fetch(
            f'{path}?{encoded}',
            REPLY_TIMEOUT_S + wait_s,
            MAX_REPLY_BYTES,
            HEAD_TIMEOUT_S + wait_s,
        )
        if reply.status == 429:
            raise source_errors.SourceBudgetError(f'{self.url}: over budget')
        if reply.status == 410:
            raise errors.HistoryGoneError(
                f'{self.url}: changes are no longer available'
            )
        if reply.status == 503:
            raise errors.StoreUnavailableError(f'{self.url}: unavailable')
        if reply.status != 200:
            raise source_errors.SourceReplyError(
                f'{self.url}: status {reply.status}'
            )
        return reply


def _build_endpoint(address: str) -> endpoints.Endpoint:
    return endpoints.Endpoint(
        f'http://{address}', CONNECT_TIMEOUT_S, MAX_CONNECTIONS
    )


def _read_document(reply: endpoints.RawReply) -> dict[str, Any]:
    n_values = sum(reply.body.count(mark) for mark in (b',', b'[', b'{'))
    if n_values > MAX_REPLY_VALUES:
        raise source_errors.SourceReplyError('the reply has too many values')
    try:
        document = json.loads(reply.body)
    except (ValueError, RecursionError) as error:
        raise source_errors.SourceReplyError(f'not JSON: {error}') from error
    if not isinstance(document, dict):
        raise source_errors.SourceReplyError('the reply is not an object')
    return document


def _read_era(reply: endpoints.RawReply) -> int:
    """Returns the era that a reply states; zero if it states none."""
    text = reply.headers.get(_ERA_FIELD) or '0'
    # A field that comes twice is a list.
    if (
        not isinstance(text, str)
        or not text.isascii()
        or not text.isdigit()
        or len(text) > _MAX_COUNTER_DIGITS
    ):
        raise source_errors.SourceReplyError(f'{_ERA_FIELD}: no number')
    return int(text)


def _read_list(document: dict[str, Any], name: str) -> list[Any]:
    values = document.get(name)
    if not isinstance(values, list):
        raise source_errors.SourceReplyError(f'{name}: not a list')
    return values


def _read_revision(document: Any, name: str) -> int:
    revision = document.get(name) if isinstance(document, dict) else None
    if not isinstance(revision, int) or isinstance(revision, bool):
        raise source_errors.SourceReplyError(f'{name}: not a revision')
    if not 0 <= revision < _MAX_COUNTER:
        raise source_errors.SourceReplyError(f'{name}: out of range')
    return revision


def _decode_event(event: Any) -> Item | Deletion:
    revision = _read_revision(event, 'revision')
    if event.get('tombstone'):
        return Deletion(_read_key(event), revision)
    return _decode_item(event)


def _decode_item(item: Any) -> Item:
    revision = _read_revision(item, 'revision')
    try:
        value = base64.b64decode(item.get('value', ''), validate=True)
    except (TypeError, binascii.Error, ValueError) as error:
        raise source_errors.SourceReplyError(f'value: {error}') from error
    return Item(_read_key(item), value, revision)


def _read_key(item: dict[str, Any]) -> str:
    key = item.get('key')
    if not isinstance(key, str):
        raise source_errors.SourceReplyError('key: not a string')
    return key
