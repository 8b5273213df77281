"""Stand-in of the platform's key-value store, read-only for nodes."""

import base64
import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from gevent import event

from jayseam.standins import serving

PAGE_ITEMS = 500
ERA_HEADER = 'Store-Era'


@attrs.define
class Faults:
    """Faults that the store injects.

    Attributes:
      status: Status of every answer, such as 503 or 429; 0 disables this fault.
      reset: Whether connections are reset.
      silent: Whether requests are never answered.
      silent_watches: Whether requests that wait for changes are never answered.
    """

    status: int = 0
    reset: bool = False
    silent: bool = False
    silent_watches: bool = False


@attrs.frozen
class Copy:
    """The content of a store at one moment.

    Attributes:
      items: Items by key.
      history: Changes in the order in which they were made.
      revision: Revision of the last change.
    """

    items: dict[str, dict[str, Any]]
    history: tuple[dict[str, Any], ...]
    revision: int


class KeyValueStore:
    """Stores keys with a revision counter and the history of changes.

    Attributes:
      faults: Faults in force.
      reads: Number of requests served so far.
      era: Number of the store's lifetime; rises with each restore.
    """

    def __init__(self, page_items: int = PAGE_ITEMS):
        self.faults = Faults()
        self.reads = 0
        self.era = 1
        self._page_items = page_items
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._dropped_revision = 0
        self._changed = event.Event()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def put(self, key: str, value: Any) -> int:
        """Stores a value: bytes unchanged, anything else as JSON."""
        data = value
        if not isinstance(value, bytes):
            data = json.dumps(value).encode()
        self._revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(data).decode(),
            'revision': self._revision,
            'create_rev': self._items.get(key, {}).get(
                'create_rev', self._revision
            ),
            'lease': 0,
        }
        self._items[key] = item
        self._record_change(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Removes a key and returns the new revision."""
        del self._items[key]
        self._revision += 1
        self._record_change(
            {'key': key, 'revision': self._revision, 'tombstone': True}
        )
        return self._revision

    def build_copy(self) -> Copy:
        """Returns a copy of the content, to which the store can go back."""
        return Copy(dict(self._items), tuple(self._history), self._revision)

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy and forgets all that was written since.

        Revisions after the copy's are given out again.
        """
        self.era += 1
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._changed.set()
        self._changed.clear()

    def compact_history(self) -> None:
        """Drops the history, so that watches of older revisions get 410."""
        self._history.clear()
        self._dropped_revision = self._revision

    def list_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Returns one page of the items whose keys begin with a prefix."""
        keys = sorted(k for k in self._items if k.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = keys[: self._page_items]
        return {
            'items': [self._items[key] for key in page],
            'more_pages': len(keys) > len(page),
            'as_of': self._revision,
        }

    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> dict[str, Any] | None:
        """Returns the changes after a revision.

        Returns:
          The changes; None if they were dropped or the store doesn't have the
          revision.
        """
        if not self._has_history(after):
            return None
        events = self._find_events(prefix, after)
        if not events:
            self._changed.wait(wait_s)
            if not self._has_history(after):
                return None
            events = self._find_events(prefix, after)
        return {'events': events, 'as_of': self._revision}

    def _has_history(self, after: int) -> bool:
        return self._dropped_revision <= after <= self._revision

    def _find_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            change
            for change in self._history
            if change['revision'] > after and change['key'].startswith(prefix)
        ]

    def _record_change(self, change: dict[str, Any]) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed.clear()


class StoreApplication:
    """Serves a store over HTTP and applies its faults."""

    def __init__(self, store: KeyValueStore):
        self._store = store

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        self._store.reads += 1
        status, document = self._apply_faults() or self._read(environ)
        # A fault that is set while a watch waits applies to that watch, too.
        status, document = self._apply_faults() or (status, document)
        headers = [(ERA_HEADER, str(self._store.era))]
        return serving.send_json(start_response, status, document, headers)

    def _apply_faults(self) -> tuple[int, Any] | None:
        """Returns the answer that the faults require, or None."""
        faults = self._store.faults
        if faults.silent:
            event.Event().wait()
        if faults.reset:
            raise serving.AbortError(reset=True)
        return (faults.status, {}) if faults.status else None

    def _read(self, environ: dict[str, Any]) -> tuple[int, Any]:
        """Returns the status and body of a list or watch request."""
        query = serving.parse_query(environ)
        prefix = query.get('path_prefix', '')
        if environ['PATH_INFO'] == '/jayseam/kv-range':
            return 200, self._store.list_page(prefix, query.get('after', ''))
        if environ['PATH_INFO'] == '/jayseam/kv-watch':
            wait_s = int(query.get('wait_ms', '0')) / 1000
            if wait_s and self._store.faults.silent_watches:
                event.Event().wait()
            changes = self._store.watch(prefix, int(query['after']), wait_s)
            return (200, changes) if changes else (410, {})
        return 404, {}


def serve_store(
    store: KeyValueStore, host: str, port: int = 0
) -> serving.Server:
    """Returns a started server of a store."""
    server = serving.Server((host, port), StoreApplication(store))
    server.start()
    return server
