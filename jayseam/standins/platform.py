"""Stand-in of the operators' configuration service and VM list.

The read listener implements section 3.4 of the design page and accepts no
writes. Tests publish values and inject faults through the control listener.

See Also:
  `jayseam.standins.clusters`, which publishes presets and key sets.
"""

import base64
import collections
import urllib.parse
from collections.abc import Mapping
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.standins import errors
from jayseam.standins import serving

MAX_VALUE_BYTES = 1_000_000
VMS_KEY = '/vms'

_MAX_REVISIONS_PER_KEY = 64
_MAX_COUNTED_SECONDS = 3600
_VALUES_PATH = '/v1/values/'
_PART_FAULTS = ('altered', 'truncated', 'missing')
_DOWN_KINDS = ('refuse', 'answer-503')


@attrs.frozen
class Value:
    """One revision of one key.

    Attributes:
      revision: Number of the revision, greater than all earlier ones.
      data: The raw value.
      visible_at: Time in seconds from which readers see the revision.
    """

    revision: int
    data: bytes
    visible_at: float


class ValueStore:
    """Keeps the latest revisions of every key.

    >>> store = ValueStore()
    >>> store.publish('a', b'1', now=0.0), store.publish('a', b'2', now=0.0)
    (1, 2)
    >>> store.read('a', now=0.0, max_revision=1).data
    b'1'
    """

    def __init__(self) -> None:
        self.revision = 0
        self._values: dict[str, collections.deque[Value]] = {}

    def publish(
        self, key: str, data: bytes, now: float, lag_s: float = 0.0
    ) -> int:
        """Stores a new revision of ``key`` and returns its number."""
        self.revision += 1
        empty = collections.deque(maxlen=_MAX_REVISIONS_PER_KEY)
        values = self._values.setdefault(key, empty)
        values.append(Value(self.revision, data, now + lag_s))
        return self.revision

    def read(
        self,
        key: str,
        now: float,
        max_revision: int | None = None,
        skip: int = 0,
    ) -> Value | None:
        """Returns the latest visible revision of ``key``, or None.

        Args:
          key: Name of the value.
          now: Time in seconds.
          max_revision: Greatest revision that is visible; None sets no limit.
          skip: Number of the latest visible revisions to skip. The oldest
            visible one is never skipped.
        """
        visible = [
            value
            for value in self._values.get(key, ())
            if value.visible_at <= now
            and (max_revision is None or value.revision <= max_revision)
        ]
        return visible[max(0, len(visible) - 1 - skip)] if visible else None


@attrs.frozen
class Faults:
    """The faults in force.

    Attributes:
      down: ``refuse`` closes the listener; ``answer-503`` answers every read
        with status 503.
      slow_ms: Delay of each answer in milliseconds.
      stale_at: Revisions after this one are hidden.
      parts: Damage to values below ``parts/``: ``altered``, ``truncated`` or
        ``missing``.
      digests: Digests of the parts that are damaged; empty means all.
      disorder: Whether every second answer for a key has the revision before
        the latest one.
    """

    down: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.in_(_DOWN_KINDS)),
    )
    slow_ms: float = 0.0
    stale_at: int | None = None
    parts: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.in_(_PART_FAULTS)),
    )
    digests: frozenset[str] = attrs.field(default=(), converter=frozenset)
    disorder: bool = False

    def damage(self, key: str, data: bytes) -> bytes | None:
        """Returns the data to serve for a key, None if it is to be missing.

        >>> Faults(parts='truncated').damage('parts/12', b'abcd')
        b'ab'
        """
        prefix, _, digest = key.partition('/')
        affected = prefix == 'parts' and (
            not self.digests or digest in self.digests
        )
        if self.parts is None or not affected:
            return data
        if self.parts == 'missing':
            return None
        if self.parts == 'truncated':
            return data[: len(data) // 2]
        return bytes([data[0] ^ 1]) + data[1:] if data else b'?'


class CallCounter:
    """Counts calls by kind and by second, and applies the budget."""

    def __init__(self, budget_per_s: int):
        self._budget_per_s = budget_per_s
        self._totals: collections.Counter[str] = collections.Counter()
        self._seconds: dict[int, int] = {}

    def admit(self, kind: str, now: float) -> bool:
        """Counts a call and returns whether it is within the budget."""
        second = int(now)
        issued = self._seconds.get(second, 0) + 1
        self._seconds[second] = issued
        if len(self._seconds) > _MAX_COUNTED_SECONDS:
            del self._seconds[next(iter(self._seconds))]
        self._totals[kind] += 1
        if issued <= self._budget_per_s:
            return True
        self._totals['refused'] += 1
        return False

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a total that is not a kind of call."""
        self._totals[name] += amount

    def summarize(self) -> dict[str, Any]:
        """Returns totals, calls by second, and the peak of these calls."""
        return {
            'totals': dict(self._totals),
            'per_second': [list(pair) for pair in self._seconds.items()],
            'peak_per_second': max(self._seconds.values(), default=0),
        }


@attrs.frozen
class PlatformSettings:
    """Settings of the platform stand-in.

    Attributes:
      host: Address of both listeners.
      port: Port of the read listener.
      control_port: Port of the control listener.
      budget_per_s: Calls in a second above which calls get status 429.
      vms_lag_s: Seconds until a change of the VM list is visible.
    """

    host: str = '127.0.0.1'
    port: int = 0
    control_port: int = 0
    budget_per_s: int = 2000
    vms_lag_s: float = 0.0


class Platform:
    """Serves values, the VM list and the control actions of tests."""

    def __init__(self, settings: PlatformSettings):
        self._settings = settings
        self._store = ValueStore()
        self._faults = Faults()
        self._counter = CallCounter(settings.budget_per_s)
        self._vms_lag_s = settings.vms_lag_s
        self._changed = event.Event()
        self._answer_counts: collections.Counter[str] = collections.Counter()
        self._port = settings.port
        self._server: serving.Server | None = None
        self._control = serving.ControlServer(
            (settings.host, settings.control_port),
            {
                '/control/publish': self._publish,
                '/control/vms': self._publish_vms,
                '/control/fault': self._set_faults,
                '/control/counts': self._report_counts,
                '/control/reset-counts': self._reset_counts,
            },
        )

    def start(self) -> None:
        """Starts both listeners."""
        self._listen()
        self._control.start()

    def stop(self) -> None:
        """Stops both listeners."""
        self._stop_listening()
        self._control.stop()

    @property
    def port(self) -> int:
        """The port of the read listener."""
        return self._port

    @property
    def control_port(self) -> int:
        """The port of the control listener."""
        return self._control.port

    def _listen(self) -> None:
        if self._server is None:
            address = (self._settings.host, self._port)
            self._server = serving.Server(address, self._handle_request)
            self._server.start()
            self._port = self._server.server_port

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.stop_at_once(reset=True)
            self._server = None

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def _publish(self, request: Mapping[str, Any]) -> dict[str, Any]:
        """Publishes one key, or all of ``values`` in the given order.

        A part that is already stored keeps its revision.
        """
        entries = request.get('values') or [request]
        decoded = [(entry['key'], _decode_value(entry)) for entry in entries]
        now = clocks.read_now()
        revisions = {}
        for key, data in decoded:
            current = self._store.read(key, now)
            if key.startswith('parts/') and current and current.data == data:
                revisions[key] = current.revision
            else:
                revisions[key] = self._store.publish(key, data, now)
        self._wake_watches()
        return {'revisions': revisions, 'revision': self._store.revision}

    def _publish_vms(self, request: Mapping[str, Any]) -> dict[str, Any]:
        """Publishes ``body`` as the VM list and sets ``lag_s`` if given."""
        self._vms_lag_s = float(request.get('lag_s', self._vms_lag_s))
        if 'body' not in request:
            return {'lag_s': self._vms_lag_s}
        data = request['body'].encode()
        now = clocks.read_now()
        lag_s = self._vms_lag_s
        revision = self._store.publish(VMS_KEY, data, now, lag_s)
        if lag_s:
            gevent.spawn_later(lag_s + 0.001, self._wake_watches)
        self._wake_watches()
        return {'revision': revision}

    def _set_faults(self, request: Mapping[str, Any]) -> dict[str, Any]:
        """Sets the faults named in the request; ``clear`` ends all others.

        ``stale`` hides all revisions after a number, or after the current one
        if it is true; false ends this fault.
        """
        changes = dict(request)
        current = Faults() if changes.pop('clear', False) else self._faults
        if 'stale' in changes:
            stale = changes.pop('stale')
            if stale is True:
                stale = self._store.revision
            changes['stale_at'] = None if stale is False else stale
        self._faults = attrs.evolve(current, **changes)
        if self._faults.down == 'refuse':
            self._stop_listening()
        else:
            self._listen()
        self._wake_watches()
        described = attrs.asdict(self._faults)
        described['digests'] = sorted(self._faults.digests)
        return described

    def _report_counts(self, _: Mapping[str, Any]) -> dict[str, Any]:
        return {**self._counter.summarize(), 'revision': self._store.revision}

    def _reset_counts(self, _: Mapping[str, Any]) -> dict[str, Any]:
        self._counter = CallCounter(self._settings.budget_per_s)
        return {}

    def _handle_request(
        self, environ: dict[str, Any], start_response: serving.StartResponse
    ) -> list[bytes]:
        key = _parse_key(environ)
        if environ['REQUEST_METHOD'] != 'GET' or key is None:
            return serving.send_answer(start_response, 404)
        query = serving.parse_query(environ)
        try:
            after = int(query['after']) if 'after' in query else None
            wait_s = float(query.get('wait_s', 0.0))
        except ValueError:
            return serving.send_answer(
                start_response, 400, b'invalid after or wait_s'
            )
        subject = 'vms' if key == VMS_KEY else key.partition('/')[0]
        kind = 'read' if after is None else 'watch'
        if not self._counter.admit(f'{kind}.{subject}', clocks.read_now()):
            return serving.send_answer(
                start_response, 429, b'', [('Retry-After', '1')]
            )
        if self._faults.slow_ms:
            gevent.sleep(self._faults.slow_ms / 1000.0)
        if self._faults.down is not None:
            return serving.send_answer(start_response, 503)
        value = self._wait_for_value(key, after, wait_s)
        return self._send_value(start_response, key, value, after)

    def _wait_for_value(
        self, key: str, after: int | None, wait_s: float
    ) -> Any:
        """Returns the value to serve; None if there is none or none newer."""
        deadline = clocks.read_now() + wait_s
        while True:
            changed = self._changed
            now = clocks.read_now()
            value, disordered = self._select_revision(key, now)
            if value is not None and (
                after is None or disordered or value.revision > after
            ):
                self._answer_counts[key] += 1
                return value
            if after is None or now >= deadline or self._faults.down:
                return None
            changed.wait(deadline - now)

    def _select_revision(
        self, key: str, now: float
    ) -> tuple[Value | None, bool]:
        """Returns the revision to serve and whether it is out of order."""
        max_revision = self._faults.stale_at
        latest = self._store.read(key, now, max_revision)
        if not self._faults.disorder or self._answer_counts[key] % 2 == 0:
            return latest, False
        earlier = self._store.read(key, now, max_revision, skip=1)
        return earlier, earlier is not latest

    def _send_value(
        self,
        start_response: serving.StartResponse,
        key: str,
        value: Value | None,
        after: int | None,
    ) -> list[bytes]:
        if self._faults.down is not None:
            return serving.send_answer(start_response, 503)
        if value is None:
            known, _ = self._select_revision(key, clocks.read_now())
            status = 304 if after is not None and known else 404
            return serving.send_answer(start_response, status)
        data = self._faults.damage(key, value.data)
        if data is None:
            return serving.send_answer(start_response, 404)
        self._counter.count('bytes', len(data))
        revision = [('Revision', str(value.revision))]
        return serving.send_answer(start_response, 200, data, revision)


def _parse_key(environ: Mapping[str, Any]) -> str | None:
    """Returns the key that a request reads; None for an unknown path."""
    path = environ['PATH_INFO']
    if path == '/v1/vms':
        return VMS_KEY
    if path.startswith(_VALUES_PATH):
        return urllib.parse.unquote(path[len(_VALUES_PATH) :]) or None
    return None


def _decode_value(entry: Mapping[str, Any]) -> bytes:
    """Returns the bytes of ``value`` or of the decoded ``value_base64``."""
    if 'value_base64' in entry:
        data = base64.b64decode(entry['value_base64'])
    else:
        data = entry['value'].encode()
    if len(data) > MAX_VALUE_BYTES:
        raise errors.ControlError(f'{entry["key"]}: over {MAX_VALUE_BYTES} B')
    return data
