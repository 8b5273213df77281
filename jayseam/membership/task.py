"""The task that owns a node's view of the members.

It sends a heartbeat each second to its neighbours, spreads changed records,
repairs differences between views and detects failed members.
"""

import contextlib
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.core import errors as core_errors
from jayseam.core import logs
from jayseam.core import rendezvous
from jayseam.core import tasks
from jayseam.core import tickers
from jayseam.links import errors as link_errors
from jayseam.links import handlers as handlers_module
from jayseam.links import manager
from jayseam.membership import detection
from jayseam.membership import errors
from jayseam.membership import messages
from jayseam.membership import records
from jayseam.membership import topology
from jayseam.membership import views

HEARTBEAT_S = 1.0
REQUEST_TIMEOUT_S = 1.0
PROBERS = 2
# Changes within this time share one message, which bounds the traffic when
# many members start at once.
UPDATE_INTERVAL_S = 0.05
MAX_UPDATE_RECORDS = 256
PULL_BUCKETS = 8
# A difference that persists for two heartbeats is no update in flight.
PULL_AFTER_MISMATCHES = 2
REVIVAL_S = 2.0
REJOIN_S = 10.0
DEAD_RETENTION_S = 600.0

Subscriber = Callable[[views.View, views.Records], None]

_log = logs.get_logger(__name__)


@attrs.frozen
class _Merge:
    records: tuple[records.MemberRecord, ...]
    source: str | None


@attrs.frozen
class _OwnChange:
    state: str | None
    backend: str | None


@attrs.frozen
class _VmList:
    records: tuple[records.MemberRecord, ...]


@attrs.frozen
class _Heard:
    vm: str
    now: float
    indirect: bool


@attrs.frozen
class _Tick:
    """Judges the watched members."""


@attrs.frozen
class _Flush:
    """Sends the changed records."""


@attrs.frozen
class _Drop:
    """Drops members that have been dead for long."""


class MembershipTask(tasks.Task):
    """Keeps the view of the members and detects failures.

    Args:
      own: Record of this node; its incarnation is that of the link identity.
      links: Links of this node; may start after the task is built.
      handlers: Registry of the same links, to which the task adds handlers.
      seeds: Link addresses (host, port) of members to ask first.

    Attributes:
      view: The current view; replaced, never changed.
      replaced: True once a newer incarnation of the own VM has been seen.
    """

    def __init__(
        self,
        own: records.MemberRecord,
        links: manager.LinkManager,
        handlers: handlers_module.HandlerRegistry,
        seeds: Sequence[manager.Address] = (),
    ):
        super().__init__('membership')
        now = clocks.read_now()
        self.view = views.create_view([own], now)
        self.replaced = False
        self._own = own
        self._links = links
        self._seeds = tuple(seeds)
        self._detector = detection.create_detector(now)
        self._fields: dict[str, Callable[[], Any]] = {}
        self._field_readers: dict[str, list[Callable[[str, Any], None]]] = {}
        self._subscribers: list[Subscriber] = []
        self._followers: dict[str, float] = {}
        self._mismatches: dict[str, int] = {}
        self._listed: frozenset[str] = frozenset()
        self._outgoing: dict[str, tuple[records.MemberRecord, str | None]] = {}
        self._flush = _FlushTimer()
        self._pulling = False
        self._near: tuple[views.View, tuple] | None = None
        self._loops: list[gevent.Greenlet] = []
        for kind, function in (
            (_Merge, self._take_records),
            (_OwnChange, self._take_own_change),
            (_VmList, self._take_vm_list),
            (_Heard, self._take_sign_of_life),
            (_Tick, self._take_tick),
            (_Flush, self._take_flush),
            (_Drop, self._take_drop),
        ):
            self.handle(kind, function)
        for kind, function in (
            (messages.MemberUpdate, self._on_update),
            (messages.Heartbeat, self._on_heartbeat),
            (messages.PullSummary, self._on_pull_summary),
            (messages.PullRecords, self._on_pull_records),
            (messages.Probe, self._on_probe),
        ):
            handlers.register(kind, function)

    @property
    def own(self) -> records.MemberRecord:
        """The record of this node."""
        return self._own

    def start(self) -> None:
        """Starts the task; the links must have started."""
        super().start()
        for loop in (self._run_ticks, self._run_heartbeats, self._run_joins):
            self._loops.append(gevent.spawn(loop))

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ends the task without telling others; see `set_own`."""
        gevent.killall(self._loops)
        super().stop(timeout_s)

    def subscribe(self, callback: Subscriber) -> None:
        """Calls ``callback(view, changed_records)`` after each change.

        The callback runs in the task and must not block.
        """
        self._subscribers.append(callback)

    def set_own(
        self, state: str | None = None, backend: str | None = None
    ) -> None:
        """Changes the own record and pushes it to all open links.

        Args:
          state: ``alive`` or ``leaving``, or None to keep the state.
          backend: One of ``records.BACKENDS``, or None to keep it.

        Raises:
          ValueError: If a value is not allowed.
        """
        if state not in (None, 'alive', 'leaving'):
            raise ValueError(f'own state cannot be {state!r}')
        if backend is not None and backend not in records.BACKENDS:
            raise ValueError(f'unknown backend state {backend!r}')
        self.send(_OwnChange(state, backend))

    def merge_vms(self, entries: Iterable[Mapping[str, Any]]) -> None:
        """Takes the VM list: adds unknown VMs and marks VMs as leaving.

        Entries are those of ``GET /v1/vms``. An invalid entry is logged and
        skipped, because one wrong entry must not hide the others.
        """
        listed = []
        for entry in entries:
            try:
                listed.append(records.read_vm_entry(entry))
            except errors.VmListError as error:
                _log.warning(
                    'membership.vm_entry_invalid', extra={'detail': str(error)}
                )
        self.send(_VmList(tuple(listed)))

    def neighbours(self) -> tuple[str, ...]:
        """Returns the alive or suspect VMs that this node heartbeats."""
        return self._choose_near()[0]

    def resolve(self, vm: str) -> manager.Address | None:
        """Returns the link address of a VM, for `LinkManager`."""
        record = self.view.members.get(vm)
        return None if record is None else (record.host, record.port)

    def add_heartbeat_field(
        self, name: str, function: Callable[[], Any]
    ) -> None:
        """Adds ``function()`` to each heartbeat under ``name``.

        Keep the value small: it is sent to all neighbours each second. A field
        whose function returns None is left out.

        Raises:
          ValueError: If the name is taken.
        """
        if name in self._fields:
            raise ValueError(f'heartbeat field {name!r} is already added')
        self._fields[name] = function

    def on_heartbeat(
        self, name: str, function: Callable[[str, Any], None]
    ) -> None:
        """Calls ``function(vm, value)`` for each received field ``name``.

        The value comes from another node: check its type.
        """
        self._field_readers.setdefault(name, []).append(function)

    def _choose_near(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Returns the neighbours and the watched members, once for each view.

        Leaving members are watched too, so that their end is noticed.
        """
        if self._near is None or self._near[0] is not self.view:
            neighbours = self._find_neighbours(views.is_live)
            watched = self._find_neighbours(lambda r: r.state != 'dead')
            self._near = self.view, (neighbours, watched)
        return self._near[1]

    def _find_neighbours(
        self, accepts: Callable[[records.MemberRecord], bool]
    ) -> tuple[str, ...]:
        zones: dict[str, list[str]] = {}
        for record in self.view.members.values():
            if record.vm != self._own.vm and accepts(record):
                zones.setdefault(record.zone, []).append(record.vm)
        return topology.find_neighbours(self._own.vm, self._own.zone, zones)

    # Messages to the task.

    def _take_records(self, message: _Merge) -> None:
        self._apply(message.records, message.source)

    def _take_own_change(self, change: _OwnChange) -> None:
        state = change.state or self._own.state
        backend = change.backend or self._own.backend
        if (state, backend) != (self._own.state, self._own.backend):
            self._set_own(attrs.evolve(self._own, state=state, backend=backend))

    def _take_vm_list(self, message: _VmList) -> None:
        members = self.view.members
        self._listed = frozenset(record.vm for record in message.records)
        received = []
        for record in message.records:
            known = members.get(record.vm)
            if record.vm == self._own.vm:
                continue
            if known is None:
                received.append(record)
            elif record.state == 'leaving' and not self._hears(record.vm):
                # A member that is wrongly marked refutes it.
                received.append(attrs.evolve(known, state='leaving'))
        self._apply(received, None)

    def _take_sign_of_life(self, sign: _Heard) -> None:
        self._detector = detection.hear(
            self._detector, sign.vm, sign.now, sign.indirect
        )
        record = self.view.members.get(sign.vm)
        if not sign.indirect and record and record.state in ('suspect', 'dead'):
            # The member refutes the state as soon as it learns of it.
            self._links.notify(sign.vm, messages.MemberUpdate([record]))

    def _take_tick(self, _: _Tick) -> None:
        now = clocks.read_now()
        detector = detection.tick(self._detector, now)
        detector = detection.follow(detector, self._choose_near()[1], now)
        self._detector, verdicts = detection.judge(detector, now)
        for verdict in verdicts:
            if verdict.kind == 'probe':
                gevent.spawn(self._request_probes, verdict.vm)
            else:
                self._condemn(verdict)

    def _take_flush(self, _: _Flush) -> None:
        self._flush.finish(clocks.read_now())
        outgoing, self._outgoing = self._outgoing, {}
        own_news = [r for r, source in outgoing.values() if source is None]
        near = set(self.neighbours()) | set(self._followers)
        for vm in self._links.connected():
            changed = list(own_news)
            if vm in near:
                changed += [
                    record
                    for record, source in outgoing.values()
                    if source not in (None, vm)
                ]
            for start in range(0, len(changed), MAX_UPDATE_RECORDS):
                part = changed[start : start + MAX_UPDATE_RECORDS]
                self._links.notify(vm, messages.MemberUpdate(part))

    def _take_drop(self, _: _Drop) -> None:
        now = clocks.read_now()
        old = {
            vm
            for vm, record in self.view.members.items()
            if record.state == 'dead'
            and vm not in self._listed
            and now - self.view.since[vm] > DEAD_RETENTION_S
        }
        if old:
            self.view = self.view.without(old)
            for vm in old:
                self._mismatches.pop(vm, None)

    # Changes of the view.

    def _apply(
        self, received: Iterable[records.MemberRecord], source: str | None
    ) -> None:
        now = clocks.read_now()
        self.view, changes = self.view.update(received, now)
        if not changes:
            return
        for record in changes:
            self._outgoing[record.vm] = record, source
        held = self.view.members[self._own.vm]
        if held != self._own:
            self._refute(held)
        for callback in self._subscribers:
            self._call(callback, self.view, changes)
        delay_s = self._flush.plan(now)
        if delay_s == 0:
            self._take_flush(_Flush())
        elif delay_s is not None:
            gevent.spawn_later(delay_s, self._send_quietly, _Flush())

    def _refute(self, held: records.MemberRecord) -> None:
        if held.incarnation > self._own.incarnation:
            if not self.replaced:
                _log.warning('membership.replaced', extra={'vm': held.vm})
            self.replaced = True
            return
        self._set_own(attrs.evolve(self._own, sequence=held.sequence))

    def _set_own(self, record: records.MemberRecord) -> None:
        self._own = attrs.evolve(record, sequence=record.sequence + 1)
        self._apply([self._own], None)

    def _condemn(self, verdict: detection.Verdict) -> None:
        known = self.view.members.get(verdict.vm)
        if known is not None:
            _log.info(
                'membership.verdict',
                extra={'member': verdict.vm, 'verdict': verdict.kind},
            )
            self._apply([attrs.evolve(known, state=verdict.kind)], None)

    def _hears(self, vm: str) -> bool:
        watch = self._detector.watches.get(vm)
        return watch is not None and watch.suspected_at is None

    def _call(self, function: Callable, *arguments: Any) -> None:
        try:
            function(*arguments)
        except Exception:  # pylint: disable=broad-exception-caught
            # A failing callback must not affect the membership.
            _log.exception('membership.callback_failed')

    # Messages from other nodes.

    def _on_update(
        self, peer: handlers_module.PeerInfo, update: messages.MemberUpdate
    ) -> None:
        self.send(_Merge(tuple(update.records), peer.vm))

    def _on_heartbeat(
        self, peer: handlers_module.PeerInfo, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        self._followers[peer.vm] = clocks.read_now()
        self._read_heartbeat(peer.vm, heartbeat)
        return self._create_heartbeat()

    def _on_pull_summary(self, *_: Any) -> messages.Summary:
        return messages.Summary(_shorten(self.view.buckets))

    def _on_pull_records(
        self, _: handlers_module.PeerInfo, pull: messages.PullRecords
    ) -> messages.Records:
        return compare_records(self.view, pull)

    def _on_probe(
        self, _: handlers_module.PeerInfo, probe: messages.Probe
    ) -> messages.ProbeResult:
        return messages.ProbeResult(self._beat(probe.vm))

    # Loops and exchanges.

    def _run_ticks(self) -> None:
        while True:
            tickers.wait_tick(detection.TICK_S)
            self._send_quietly(_Tick())

    def _run_heartbeats(self) -> None:
        gevent.sleep(random.uniform(0, HEARTBEAT_S))
        revived_at = clocks.read_now()
        while True:
            now = clocks.read_now()
            self._forget_followers(now)
            for vm in self._choose_heartbeat_targets():
                gevent.spawn(self._beat, vm)
            if now - revived_at >= REVIVAL_S:
                revived_at = now
                self._revive()
                self._send_quietly(_Drop())
            gevent.sleep(HEARTBEAT_S)

    def _run_joins(self) -> None:
        while True:
            joined = [self._join(seed) for seed in self._seeds]
            if not self._seeds or any(joined):
                gevent.sleep(REJOIN_S)
                while self.neighbours():
                    gevent.sleep(REJOIN_S)
            else:
                gevent.sleep(random.uniform(0.5, 1.5) * HEARTBEAT_S)

    def _join(self, seed: manager.Address) -> bool:
        try:
            vm = self._links.dial_address(*seed)
        except link_errors.LinkError:
            return False
        return self._beat(vm) and self._pull(vm, views.BUCKETS)

    def _choose_heartbeat_targets(self) -> set[str]:
        return set(self.neighbours()).union(self._detector.watches)

    def _forget_followers(self, now: float) -> None:
        for vm, heard_at in list(self._followers.items()):
            if now - heard_at > 3 * HEARTBEAT_S:
                del self._followers[vm]

    def _revive(self) -> None:
        """Tries one dead member, so that healed partitions find each other."""
        dead = [r.vm for r in self.view.members.values() if r.state == 'dead']
        if dead:
            gevent.spawn(self._beat, random.choice(dead))

    def _beat(self, vm: str) -> bool:
        try:
            reply = self._links.request(
                vm, self._create_heartbeat(), REQUEST_TIMEOUT_S
            )
        except link_errors.LinkError:
            return False
        if not isinstance(reply, messages.Heartbeat):
            return False
        self._read_heartbeat(vm, reply)
        self._compare_digest(vm, reply.digest)
        return True

    def _create_heartbeat(self) -> messages.Heartbeat:
        fields = {}
        for name, function in self._fields.items():
            value = function()
            if value is not None:
                fields[name] = value
        return messages.Heartbeat(self.view.digest, fields)

    def _read_heartbeat(self, vm: str, heartbeat: messages.Heartbeat) -> None:
        self._send_quietly(_Heard(vm, clocks.read_now(), indirect=False))
        for name, value in heartbeat.fields.items():
            for function in self._field_readers.get(name, ()):
                self._call(function, vm, value)

    def _compare_digest(self, vm: str, digest: bytes) -> None:
        if digest == self.view.digest:
            self._mismatches.pop(vm, None)
            return
        count = self._mismatches.get(vm, 0) + 1
        self._mismatches[vm] = count
        if count >= PULL_AFTER_MISMATCHES and not self._pulling:
            self._mismatches.pop(vm)
            self._pull(vm, PULL_BUCKETS)

    def _pull(self, vm: str, max_buckets: int) -> bool:
        """Reconciles up to ``max_buckets`` buckets with another member."""
        self._pulling = True
        try:
            summary = self._links.request(
                vm, messages.PullSummary(), REQUEST_TIMEOUT_S
            )
            own = _shorten(self.view.buckets)
            buckets = [
                i for i, value in enumerate(summary.buckets) if value != own[i]
            ]
            random.shuffle(buckets)
            for start in range(0, min(len(buckets), max_buckets), PULL_BUCKETS):
                self._pull_buckets(vm, buckets[start : start + PULL_BUCKETS])
        except (link_errors.LinkError, AttributeError):
            # AttributeError: the reply is of another class.
            return False
        finally:
            self._pulling = False
        return True

    def _pull_buckets(self, vm: str, buckets: list[int]) -> None:
        asked = messages.PullRecords(buckets, known_hashes(self.view, buckets))
        reply = self._links.request(vm, asked, REQUEST_TIMEOUT_S)
        newer = choose_newer(self.view, reply)
        self._send_quietly(_Merge(tuple(reply.records), vm))
        if newer:
            self._links.notify(vm, messages.MemberUpdate(newer))

    def _request_probes(self, vm: str) -> None:
        others = [r.vm for r in self.view.live() if r.state == 'alive']
        others = [name for name in others if name not in (vm, self._own.vm)]
        near = [name for name in others if name in self._links.connected()]
        for prober in rendezvous.rank(vm, near or others)[:PROBERS]:
            gevent.spawn(self._request_probe, prober, vm)

    def _request_probe(self, prober: str, vm: str) -> None:
        try:
            result = self._links.request(
                prober, messages.Probe(vm), 2 * REQUEST_TIMEOUT_S
            )
        except link_errors.LinkError:
            return
        if isinstance(result, messages.ProbeResult) and result.reachable:
            self._send_quietly(_Heard(vm, clocks.read_now(), indirect=True))

    def _send_quietly(self, message: Any) -> None:
        with contextlib.suppress(core_errors.TaskStoppedError):
            self.send(message)


class _FlushTimer:
    """Spaces the flushes of changed records."""

    def __init__(self):
        self._flushed_at = float('-inf')
        self._planned = False

    def plan(self, now: float) -> float | None:
        """Returns the delay in seconds of the next flush, None if planned."""
        if self._planned:
            return None
        self._planned = True
        return max(0.0, self._flushed_at + UPDATE_INTERVAL_S - now)

    def finish(self, now: float) -> None:
        """Records a flush."""
        self._flushed_at = now
        self._planned = False


def known_hashes(view: views.View, buckets: Iterable[int]) -> dict[str, int]:
    """Returns the short hash of each record in some buckets, by VM.

    The hash of a dead record is 0.
    """
    return {
        record.vm: _shorten_one(records.hash_record(record))
        for bucket in buckets
        for record in view.bucket_members(bucket)
    }


def compare_records(
    view: views.View, pull: messages.PullRecords
) -> messages.Records:
    """Returns what the asker lacks and what it should send.

    Dead records are included only where the asker holds another record, so
    members that it has dropped do not come back.
    """
    changed, wanted = [], []
    held = set()
    for bucket in set(pull.buckets):
        for record in view.bucket_members(bucket):
            held.add(record.vm)
            known = pull.known.get(record.vm)
            if known is None and record.state == 'dead':
                continue
            if known != _shorten_one(records.hash_record(record)):
                changed.append(record)
                if known is not None:
                    wanted.append(record.vm)
    wanted += [
        vm for vm, known in pull.known.items() if known and vm not in held
    ]
    return messages.Records(changed, wanted)


def choose_newer(
    view: views.View, reply: messages.Records
) -> list[records.MemberRecord]:
    """Returns the wanted records that replace those in the reply."""
    theirs = {record.vm: record for record in reply.records}
    newer = []
    for vm in reply.wanted:
        own, other = view.members.get(vm), theirs.get(vm)
        if own is None:
            continue
        if other is None or records.merge(own, other) != other:
            newer.append(own)
    return newer


def _shorten(hashes: Iterable[int]) -> list[int]:
    return [_shorten_one(value) for value in hashes]


def _shorten_one(value: int) -> int:
    return value & 0xFFFFFFFF
