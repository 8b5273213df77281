"""Stand-in of the platform's key-value store, which nodes can only read."""

import base64
import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from gevent import event

from jayseam.standins import serving

PAGE_ITEMS = 500


@attrs.define
class Faults:
    """What goes wrong at the store.

    Attributes:
      status: Status of every answer, such as 503 or 429; 0 for none.
      reset: Whether connections are reset.
      silent: Whether requests stay without an answer.
    """

    status: int = 0
    reset: bool = False
    silent: bool = False


class KeyValueStore:
    """Keys with a revision counter and the history of changes."""

    def __init__(self, page_items: int = PAGE_ITEMS):
        self.faults = Faults()
        self.reads = 0
        self._page_items = page_items
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._oldest = 0
        self._changed = event.Event()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def put(self, key: str, value: Any) -> int:
        """Writes a value, as bytes or anything that has a JSON form."""
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
        self._add(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Removes a key."""
        del self._items[key]
        self._revision += 1
        self._add({'key': key, 'revision': self._revision, 'tombstone': True})
        return self._revision

    def forget_history(self) -> None:
        """Drops the history, so that watches from before get 410."""
        self._history.clear()
        self._oldest = self._revision

    def list_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Returns one page of the keys that begin with a prefix."""
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
        """Returns the changes after a revision; None if they are forgotten."""
        if after < self._oldest:
            return None
        events = self._find_events(prefix, after)
        if not events:
            self._changed.wait(wait_s)
            if after < self._oldest:
                return None
            events = self._find_events(prefix, after)
        return {'events': events, 'as_of': self._revision}

    def _find_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            change
            for change in self._history
            if change['revision'] > after and change['key'].startswith(prefix)
        ]

    def _add(self, change: dict[str, Any]) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed.clear()


class StoreApplication:
    """Serves a store over HTTP, with its faults."""

    def __init__(self, store: KeyValueStore):
        self._store = store

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        self._store.reads += 1
        status, document = self._apply_faults() or self._read(environ)
        # An outage ends the watches that wait, too.
        status, document = self._apply_faults() or (status, document)
        return serving.send_json(start_response, status, document)

    def _apply_faults(self) -> tuple[int, Any] | None:
        """Returns the answer of a store that fails, or None."""
        faults = self._store.faults
        if faults.silent:
            event.Event().wait()
        if faults.reset:
            raise serving.AbortError(reset=True)
        return (faults.status, {}) if faults.status else None

    def _read(self, environ: dict[str, Any]) -> tuple[int, Any]:
        """Returns status and body of a read."""
        query = serving.parse_query(environ)
        prefix = query.get('path_prefix', '')
        if environ['PATH_INFO'] == '/jayseam/kv-range':
            return 200, self._store.list_page(prefix, query.get('after', ''))
        if environ['PATH_INFO'] == '/jayseam/kv-watch':
            wait_s = int(query.get('wait_ms', '0')) / 1000
            found = self._store.watch(prefix, int(query['after']), wait_s)
            return (200, found) if found else (410, {})
        return 404, {}


def serve_store(
    store: KeyValueStore, host: str, port: int = 0
) -> serving.Server:
    """Returns a started server of a store."""
    server = serving.Server((host, port), StoreApplication(store))
    server.start()
    return server
