"""The task that owns a node's view of the members.

It sends a heartbeat each second to its neighbours, disseminates changed
records, reconciles its view with those of others and detects failed members.
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
from jayseam.core import loops
from jayseam.core import tasks
from jayseam.core import tickers
from jayseam.links import handlers as handlers_module
from jayseam.links import manager
from jayseam.membership import callbacks
from jayseam.membership import detection
from jayseam.membership import events
from jayseam.membership import exchanges
from jayseam.membership import heartbeats
from jayseam.membership import lists
from jayseam.membership import messages
from jayseam.membership import neighbourhoods
from jayseam.membership import outbox
from jayseam.membership import reconciliation
from jayseam.membership import records
from jayseam.membership import views

DEAD_PROBE_INTERVAL_S = 2.0
REJOIN_INTERVAL_S = 10.0

Subscriber = Callable[[views.View, views.Records], None]

_log = logs.get_logger(__name__)


class MembershipTask(tasks.Task):
    """Keeps the view of the members and detects failures.

    Args:
      own: Record of this node, with the incarnation of its link identity.
      links: Links of this node; they may start after the task is created.
      handlers: Handler registry of ``links``, to which the task adds handlers.
      seeds: Link addresses (host, port) of the members through which to join.

    Attributes:
      view: The current view, an immutable object replaced on every change.
      replaced: True once a newer incarnation of this node's VM has been seen.
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
        self._fields = heartbeats.HeartbeatFields()
        self._followers = heartbeats.Followers()
        self._outbox = outbox.Outbox()
        self._neighbourhoods = neighbourhoods.NeighbourhoodCache()
        self._exchanges = exchanges.Exchanges(
            own.vm,
            links,
            self._fields,
            lambda: self.view,
            self._send_unless_stopped,
        )
        self._subscribers: list[Subscriber] = []
        self._listed: frozenset[str] = frozenset()
        self._loops: list[gevent.Greenlet] = []
        self._register_event_handlers()
        self._register_message_handlers(handlers)

    def _register_event_handlers(self) -> None:
        self.handle(events.Merge, self._handle_merge)
        self.handle(events.OwnChange, self._handle_own_change)
        self.handle(events.VmListReceived, self._handle_vm_list)
        self.handle(events.SignOfLife, self._handle_sign_of_life)
        self.handle(events.Tick, self._handle_tick)
        self.handle(events.Flush, self._handle_flush)
        self.handle(events.RemoveExpired, self._handle_remove_expired)

    def _register_message_handlers(
        self, handlers: handlers_module.HandlerRegistry
    ) -> None:
        handlers.register(messages.MemberUpdate, self._on_update)
        handlers.register(messages.Heartbeat, self._on_heartbeat)
        handlers.register(messages.PullSummary, self._on_pull_summary)
        handlers.register(messages.PullRecords, self._on_pull_records)
        handlers.register(messages.Probe, self._on_probe)

    @property
    def own_record(self) -> records.MemberRecord:
        """The record of this node."""
        return self._own

    @property
    def has_live_peer(self) -> bool:
        """Whether the own record of some other live member has arrived."""
        return any(
            record.incarnation and record.vm != self._own.vm
            for record in self.view.list_live()
        )

    def start(self) -> None:
        """Starts the task; the links must have started."""
        super().start()
        for loop in (self._run_ticks, self._run_heartbeats, self._run_joins):
            self._loops.append(loops.spawn_loop(loop))

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ends the task without notifying others; see `update_own_record`."""
        gevent.killall(self._loops)
        super().stop(timeout_s)

    def subscribe(self, callback: Subscriber) -> None:
        """Registers ``callback(view, changed_records)`` for each change.

        The callback runs in the task and must not block.
        """
        self._subscribers.append(callback)

    def update_own_record(
        self, state: str | None = None, backend: str | None = None
    ) -> None:
        """Changes this node's record and sends it over all open links.

        Args:
          state: ``alive`` or ``leaving``, or None to keep the state.
          backend: One of ``records.BACKEND_STATES``, or None to keep it.

        Raises:
          ValueError: If a value is not allowed.
        """
        if state not in (None, 'alive', 'leaving'):
            raise ValueError(f'own state cannot be {state!r}')
        if backend is not None and backend not in records.BACKEND_STATES:
            raise ValueError(f'unknown backend state {backend!r}')
        self.send(events.OwnChange(state, backend))

    def apply_vm_list(self, entries: Iterable[Mapping[str, Any]]) -> None:
        """Applies the VM list: adds unknown VMs and marks VMs as leaving.

        Entries are those of ``GET /v1/vms``. An invalid entry is logged and
        skipped, so that it does not invalidate the rest of the list.
        """
        self.send(events.VmListReceived(lists.parse_entries(entries)))

    def neighbours(self) -> tuple[str, ...]:
        """Returns the alive or suspect VMs that get this node's heartbeats."""
        return self._find_neighbourhood().neighbours

    def list_ring_members(self) -> tuple[str, ...]:
        """Returns the neighbours, with members that are leaving among them.

        Callers may stay with a leaving node for long, so what nodes tell their
        neighbours of the configuration has to reach it, too.
        """
        return self._find_neighbourhood().monitored

    def find_address(self, vm: str) -> manager.Address | None:
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
        self._fields.add(name, function)

    def on_heartbeat(
        self, name: str, function: Callable[[str, Any], None]
    ) -> None:
        """Registers ``function(vm, value)`` for received fields ``name``.

        The value comes from another node: check its type.
        """
        self._fields.subscribe(name, function)

    def _find_neighbourhood(self) -> neighbourhoods.Neighbourhood:
        return self._neighbourhoods.find(self.view, self._own)

    # Handlers of messages in the mailbox.

    def _handle_merge(self, merge: events.Merge) -> None:
        self._apply(merge.records, merge.source)

    def _handle_own_change(self, change: events.OwnChange) -> None:
        state = change.state or self._own.state
        backend = change.backend or self._own.backend
        if (state, backend) != (self._own.state, self._own.backend):
            self._set_own(attrs.evolve(self._own, state=state, backend=backend))

    def _handle_vm_list(self, vm_list: events.VmListReceived) -> None:
        self._listed = frozenset(record.vm for record in vm_list.records)
        received = lists.find_list_changes(
            self.view, self._own.vm, vm_list.records, self._is_responding
        )
        self._apply(received, None)
        if not self.has_live_peer:
            # A new node gets the other records from its neighbours at once,
            # because waiting for the next round of heartbeats would delay
            # its callers by a second.
            for vm in self.neighbours():
                gevent.spawn(self._exchanges.send_heartbeat, vm)

    def _handle_sign_of_life(self, sign: events.SignOfLife) -> None:
        self._detector = detection.record_sign_of_life(
            self._detector, sign.vm, sign.heard_at, sign.indirect
        )
        record = self.view.members.get(sign.vm)
        if not sign.indirect and record and record.state in ('suspect', 'dead'):
            # The member refutes this state as soon as it receives the record.
            self._links.notify(sign.vm, messages.MemberUpdate([record]))

    def _handle_tick(self, _: events.Tick) -> None:
        now = clocks.read_now()
        monitored = self._find_neighbourhood().monitored
        detector = detection.tick(self._detector, now)
        detector = detection.set_monitored(detector, monitored, now)
        self._detector, verdicts = detection.evaluate(detector, now)
        for verdict in verdicts:
            if verdict.kind == 'probe':
                gevent.spawn(self._exchanges.request_probes, verdict.vm)
            else:
                self._apply_verdict(verdict)

    def _handle_flush(self, _: events.Flush) -> None:
        changes = self._outbox.flush(clocks.read_now())
        receivers = self._list_forward_receivers()
        for vm in self._links.list_connected_vms():
            chosen = outbox.choose_records(changes, vm, vm in receivers)
            for batch in outbox.split_batches(chosen):
                self._links.notify(vm, messages.MemberUpdate(batch))

    def _list_forward_receivers(self) -> set[str]:
        """Returns the VMs that get what this node learns from others.

        These are neighbours and followers; in other zones only for a carrier.
        """
        near = self._followers.list_vms().union(self.neighbours())
        is_carrier = self._find_neighbourhood().is_carrier
        return neighbourhoods.list_forward_receivers(
            self.view, self._own, near, is_carrier
        )

    def _handle_remove_expired(self, _: events.RemoveExpired) -> None:
        expired = lists.find_expired(self.view, self._listed, clocks.read_now())
        if not expired:
            return
        self.view = self.view.without(expired)
        for vm in expired:
            self._exchanges.reset_mismatches(vm)

    # Changes of the view.

    def _apply(
        self, received: Iterable[records.MemberRecord], source: str | None
    ) -> None:
        """Merges records and sends changes to subscribers and members."""
        now = clocks.read_now()
        self.view, changes = self.view.update(received, now)
        if not changes:
            return
        self._outbox.add(changes, source)
        current = self.view.members[self._own.vm]
        if current != self._own:
            self._refute(current)
        for callback in self._subscribers:
            callbacks.call_safely(callback, self.view, changes)
        self._schedule_flush(now)

    def _schedule_flush(self, now: float) -> None:
        delay_s = self._outbox.schedule_flush(now)
        if delay_s == 0:
            self._handle_flush(events.Flush())
        elif delay_s is not None:
            gevent.spawn_later(
                delay_s, self._send_unless_stopped, events.Flush()
            )

    def _refute(self, current: records.MemberRecord) -> None:
        """Handles a record of this node's VM that differs from its own record.

        A record of the same incarnation is refuted by a higher sequence. A
        newer incarnation means that another process has replaced this one.
        """
        if current.incarnation > self._own.incarnation:
            if not self.replaced:
                _log.warning('membership.replaced', extra={'vm': current.vm})
            self.replaced = True
            return
        self._set_own(attrs.evolve(self._own, sequence=current.sequence))

    def _set_own(self, record: records.MemberRecord) -> None:
        self._own = attrs.evolve(record, sequence=record.sequence + 1)
        self._apply([self._own], None)

    def _apply_verdict(self, verdict: detection.Verdict) -> None:
        known = self.view.members.get(verdict.vm)
        if known is None:
            return
        _log.info(
            'membership.verdict',
            extra={'member': verdict.vm, 'verdict': verdict.kind},
        )
        self._apply([attrs.evolve(known, state=verdict.kind)], None)

    def _is_responding(self, vm: str) -> bool:
        member = self._detector.members.get(vm)
        return member is not None and member.suspected_at is None

    # Handlers of messages from other nodes.

    def _on_update(
        self, peer: handlers_module.PeerInfo, update: messages.MemberUpdate
    ) -> None:
        self.send(events.Merge(tuple(update.records), peer.vm))

    def _on_heartbeat(
        self, peer: handlers_module.PeerInfo, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        self._followers.record_heartbeat(peer.vm, clocks.read_now())
        self._exchanges.process_heartbeat(peer.vm, heartbeat)
        return self._exchanges.create_heartbeat()

    def _on_pull_summary(self, *_: Any) -> messages.Summary:
        return messages.Summary(reconciliation.summarize(self.view))

    def _on_pull_records(
        self, _: handlers_module.PeerInfo, pull: messages.PullRecords
    ) -> messages.Records:
        return reconciliation.compare_records(self.view, pull)

    def _on_probe(
        self, _: handlers_module.PeerInfo, probe: messages.Probe
    ) -> messages.ProbeResult:
        return messages.ProbeResult(self._exchanges.send_heartbeat(probe.vm))

    # Background loops.

    def _run_ticks(self) -> None:
        while True:
            tickers.sleep_until_tick(detection.TICK_S)
            self._send_unless_stopped(events.Tick())

    def _run_heartbeats(self) -> None:
        gevent.sleep(random.uniform(0, heartbeats.HEARTBEAT_S))
        contacted_at = clocks.read_now()
        while True:
            now = clocks.read_now()
            self._followers.remove_silent(now)
            for vm in self._choose_heartbeat_targets():
                gevent.spawn(self._exchanges.send_heartbeat, vm)
            if now - contacted_at >= DEAD_PROBE_INTERVAL_S:
                contacted_at = now
                self._contact_dead_member()
                self._send_unless_stopped(events.RemoveExpired())
            gevent.sleep(heartbeats.HEARTBEAT_S)

    def _choose_heartbeat_targets(self) -> set[str]:
        return set(self.neighbours()).union(self._detector.members)

    def _contact_dead_member(self) -> None:
        """Sends a heartbeat to a random dead member.

        After a network partition heals, this is how its sides rejoin.
        """
        dead = [r.vm for r in self.view.members.values() if r.state == 'dead']
        if dead:
            gevent.spawn(self._exchanges.send_heartbeat, random.choice(dead))

    def _run_joins(self) -> None:
        """Joins through the seeds until one answers.

        Joins again whenever this node has no neighbours.
        """
        while True:
            joined = [self._exchanges.join(seed) for seed in self._seeds]
            if not self._seeds or any(joined):
                gevent.sleep(REJOIN_INTERVAL_S)
                while self.neighbours():
                    gevent.sleep(REJOIN_INTERVAL_S)
            else:
                gevent.sleep(random.uniform(0.5, 1.5) * heartbeats.HEARTBEAT_S)

    def _send_unless_stopped(self, message: Any) -> None:
        with contextlib.suppress(core_errors.TaskStoppedError):
            self.send(message)
