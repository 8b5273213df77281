"""Builds the tasks of a node, connects them, and runs the life of the node."""

import random
from typing import Any

import attrs
import gevent
import prometheus_client
from gevent import event

from jayseam import backends
from jayseam import calls
from jayseam import distribution
from jayseam import limits
from jayseam import links
from jayseam import membership
from jayseam import settings as node_settings
from jayseam import source
from jayseam.calls import messages
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.node import admin
from jayseam.node import application
from jayseam.node import callers
from jayseam.node import lifecycles
from jayseam.node import listeners
from jayseam.node import localbackends
from jayseam.node import measures
from jayseam.node import pauses
from jayseam.node import status

_SYNC_PEERS = 1
_SYNC_RETRY_S = 0.05
_DRAIN_POLL_S = 0.05
# After the last call has finished, kept-alive callers get this long to see an
# answer with "Connection: close" before their connections end.
_LINGER_S = 0.5
# Settings that a running node takes over.
_RELOADABLE = ('keys', 'stop')
# Longest wait for a first contact to other nodes before the node says that it
# is ready, in seconds after its start.
_CONTACT_LIMIT_S = 4.0
# The linger, and up to a second each for callers' connections and the admin
# listener.
_CLOSE_RESERVE_S = 2.5
# Time for callers to end connections that were refused further requests.
_CLOSE_WAIT_S = 0.5

_log = logs.get_logger(__name__)


def _build_grace(
    settings: node_settings.model.SourceSettings,
) -> source.watchers.ReturnGrace:
    if settings.lapse_s is None:
        return source.watchers.ReturnGrace()
    return source.watchers.ReturnGrace(
        settings.lapse_s, settings.return_grace_s
    )


class Node:
    """One node process: owns its tasks and follows the chart ``node``.

    Args:
      settings: Checked settings.
      client: Client of the source; by default that of the URLs in the
        settings.
      dialect: Header fields of callers and backend servers.
    """

    def __init__(
        self,
        settings: node_settings.model.NodeSettings,
        client: source.client.Source | None = None,
        dialect: backends.dialects.Dialect = backends.dialects.DEFAULT,
    ):
        self._settings = settings
        self._dialect = dialect
        self._life = lifecycles.Lifecycle()
        self._started_at = clocks.read_now()
        self._stopped = event.Event()
        self._incarnation = settings.incarnation or clocks.read_wall_ms()
        self._build_links()
        self._build_distribution(
            client or source.client.SourceClient(settings.source.urls)
        )
        self._build_backend()
        self._build_calls()
        self._build_listeners()

    # Construction, from the lowest layer up.

    def _build_links(self) -> None:
        settings = self._settings
        self._handlers = links.handlers.HandlerRegistry()
        self._links = links.manager.LinkManager(
            links.handshakes.Identity(settings.vm, self._incarnation),
            settings.fleet_secrets,
            self._resolve,
            self._handlers,
            codec=settings.codec,
            listen=settings.link.as_tuple(),
        )
        host, port = settings.link.advertised()
        own = membership.records.MemberRecord(
            vm=settings.vm,
            upstream=settings.upstream,
            service='',
            zone=settings.zone,
            region=settings.region,
            host=host,
            port=port,
            incarnation=self._incarnation,
            sequence=1,
            state='alive',
            backend='down',
        )
        seeds = [(seed.host, seed.port) for seed in settings.seeds]
        self._membership = membership.task.MembershipTask(
            own, self._links, self._handlers, seeds
        )

    def _build_distribution(self, client: source.client.Source) -> None:
        settings = self._settings
        peers = distribution.peers.Peers(
            request=self._links.request,
            broadcast=self._links.broadcast,
            notify=self._links.notify,
            neighbours=self._membership.neighbours,
            live_in_zone=self._list_live_in_zone,
            seeds=self._dial_seeds,
        )
        self._distribution = distribution.task.DistributionTask(
            settings.vm,
            self._incarnation,
            settings.zone,
            peers,
            client=client,
            watch_wait_s=settings.source.watch_wait_s,
            registry=prometheus_client.REGISTRY,
            options=distribution.reading.Options(
                settings.source.readers_per_zone,
                settings.source.join_wait_s,
                _build_grace(settings.source),
            ),
        )
        self._distribution.register_handlers(self._handlers)
        self._distribution.subscribe(self._on_swap)

    def _build_backend(self) -> None:
        self._backend = localbackends.LocalBackend(
            self._settings,
            self._incarnation,
            lambda: self._distribution.current,
            lambda name: self._membership.set_own(backend=name),
            self._ensure_fresh,
            self._dialect,
        )
        self._ingress = self._backend.ingress

    def _build_calls(self) -> None:
        settings = self._settings
        self._limits = limits.task.LimitTask(
            settings.vm,
            settings.upstream,
            settings.zone,
            self._incarnation,
            self._links.request,
            # Calls may never open a link to the node that relays reports.
            self._links.dial_and_notify,
            self._list_limiters,
            strategy=settings.limits.strategy,
        )
        if settings.limits.tolerance:
            self._limits.set_tolerance(settings.limits.tolerance)
        self._store = calls.keepers.KeeperStore(
            clocks.read_wall_ms(), settings.idempotency.window_s
        )
        self._chooser = calls.choosers.Chooser(
            settings.zone,
            settings.selection.strategy,
            spill_load=settings.selection.spill_load,
            spill_gain=settings.selection.spill_gain,
            list_unresponsive=self._links.list_unresponsive,
        )
        coordinator = calls.claims.ClaimCoordinator(
            settings.vm,
            self._store,
            self._links.request,
            self._find_holder,
        )
        self._entry = calls.entry.Entry(
            calls.entry.EntryParts(
                own_vm=settings.vm,
                token_keys=tuple(
                    calls.tokens.derive_token_key(secret)
                    for secret in settings.fleet_secrets
                ),
                read_snapshot=lambda: self._distribution.current,
                read_view=lambda: self._membership.view,
                chooser=self._chooser,
                limiter=self._limits,
                forwarder=self._forward,
                coordinator=coordinator,
                cancel=self._cancel,
                keys_usable=self._keys_usable,
                read_keys_age=self._read_keys_age,
                window_s=settings.idempotency.window_s,
                dialect=self._dialect,
                service=settings.service,
                retry_budget=calls.retries.BudgetSize(
                    settings.retries.share, settings.retries.max_saved
                ),
                retry_bound=calls.retries.FleetBound(
                    settings.retries.fleet_share, settings.retries.fleet_slack
                ),
            )
        )
        self._register_call_handlers()

    def _register_call_handlers(self) -> None:
        for kind in (
            messages.Claim,
            messages.Settle,
            messages.Abandon,
            messages.LookUp,
        ):
            self._handlers.register(kind, self._on_keeper_message)
        self._handlers.register(messages.Forward, self._on_forward)
        self._handlers.register(messages.CancelAttempt, self._on_cancel)
        for kind, handler in self._limits.handlers().items():
            self._handlers.register(
                kind, lambda peer, message, h=handler: h(peer.vm, message)
            )

    def _build_listeners(self) -> None:
        settings = self._settings
        self._guard = pauses.PauseGuard(self._refresh)
        self._monitor = callers.DepartureMonitor()
        self._application = application.CallerApplication(
            self._entry,
            self._guard,
            self._monitor,
            self._zone_in_service,
            self._dialect,
        )
        self._listeners = listeners.build_listeners(
            settings,
            self._application,
            admin.AdminApplication(self.describe, self.explain),
            admin.ReadinessApplication(self._is_ready),
        )

    # Life of the node.

    def start(self) -> None:
        """Starts all tasks and listeners.

        Raises:
          OSError: If an address can't be bound.
        """
        self._links.start()
        self._membership.start()
        self._distribution.start()
        self._limits.start()
        self._backend.start()
        self._guard.start()
        self._monitor.start()
        self._listeners.start()
        _log.info('node.started', extra={'incarnation': self._incarnation})

    def run(self) -> None:
        """Starts the node and returns after its graceful shutdown."""
        self.start()
        self._stopped.wait()

    def apply_settings(
        self, settings: node_settings.model.NodeSettings
    ) -> None:
        """Takes over settings that may change while the node runs.

        These are the trust in unconfirmed keys and the times of a stop. Others
        take effect at the next start; their names are logged.
        """
        changed = [
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = attrs.evolve(
            self._settings, keys=settings.keys, stop=settings.stop
        )
        _log.info(
            'node.reloaded',
            extra={
                'applied': [n for n in changed if n in _RELOADABLE],
                'at_next_start': [n for n in changed if n not in _RELOADABLE],
            },
        )

    def request_stop(self) -> None:
        """Begins a graceful shutdown; later requests change nothing."""
        if self._life.try_advance('stop_requested'):
            gevent.spawn(self._stop)

    def _stop(self) -> None:
        # The listeners end within the deadline too.
        deadline_s = self._settings.stop.deadline_s
        reserved_s = min(_CLOSE_RESERVE_S, deadline_s / 2)
        deadline = clocks.read_now() + deadline_s - reserved_s
        self._membership.set_own(state='leaving')
        self._ingress.leave()
        self._application.announce_stop()
        gevent.sleep(self._settings.stop.notice_s)
        self._application.leave()
        drained = self._drain(deadline)
        if not drained:
            self._report_cut_calls()
            self._application.cut()
        self._limits.stop()
        gevent.sleep(_LINGER_S)
        self._life.try_advance('drained' if drained else 'deadline_passed')
        self._monitor.stop()
        self._listeners.calls.shut_down(_CLOSE_WAIT_S)
        self._guard.stop()
        self._distribution.stop()
        self._membership.stop()
        self._links.stop()
        self._listeners.stop_control()
        self._backend.stop()
        _log.info('node.stopped', extra={'drained': drained})
        self._stopped.set()

    def _drain(self, deadline: float) -> bool:
        """Waits for the calls in flight; tells whether all have finished."""
        while self._application.in_flight or self._ingress.in_flight:
            if clocks.read_now() >= deadline:
                return False
            gevent.sleep(_DRAIN_POLL_S)
        return True

    def _report_cut_calls(self) -> None:
        for request_id in self._application.running():
            _log.error('node.call_cut', extra={'request_id': request_id})
        for attempt, request_id in self._ingress.running_attempts().items():
            _log.error(
                'node.attempt_cut',
                extra={'attempt': attempt, 'request_id': request_id},
            )

    # Events of the tasks.

    def _on_swap(self, snapshot: Any, channel: str) -> None:
        """Passes a new version on to the tasks that depend on it."""
        now = clocks.read_now()
        preset = snapshot.preset
        restaffed = channel == 'vms' and preset and preset.has_listed_services
        if channel == 'preset' or restaffed:
            self._chooser.set_preset(preset, now)
            # The limits ignore versions that they have seen; the number of
            # upstreams changes with either channel.
            version = snapshot.preset_version + (
                snapshot.vms_version if preset.has_listed_services else 0
            )
            self._limits.set_preset(preset, version, now)
            self._backend.apply_preset(preset)
        if channel == 'vms':
            self._membership.merge_vms(
                [attrs.asdict(entry) for entry in snapshot.vms.vms]
            )
            self._heed_vm_list(snapshot.vms)
            if not self._settings.backend_health.polls:
                self._backend.apply_vms(snapshot.vms, now)
        complete = snapshot.preset is not None and snapshot.keys is not None
        if complete:
            self._life.try_advance('configured')

    def _heed_vm_list(self, vm_list: Any) -> None:
        """Takes no new work while the platform lists the own VM as leaving."""
        entry = vm_list.by_name.get(self._settings.vm)
        withdrawn = entry is not None and entry.state == 'leaving'
        self._ingress.set_withdrawn(withdrawn)
        if self._life.state != 'leaving':
            self._membership.set_own(state='leaving' if withdrawn else 'alive')

    def _refresh(self, now: float, paused_s: float) -> None:
        """Asks peers for versions after a pause; returns after an answer."""
        measures.PAUSES.inc()
        self._limits.on_pause(now)
        self._backend.notice_pause(now, paused_s)
        self._life.try_advance('pause_detected')
        try:
            # Links that ended during the pause fail at once, so that a failed
            # attempt says nothing about how long peers stay out of reach.
            while not self._sync_with_peers():
                gevent.sleep(_SYNC_RETRY_S)
        finally:
            self._life.try_advance('refreshed')

    def _ensure_fresh(self, now: float) -> float:
        """Returns the time once a pause, if any, has been made up for."""
        return self._guard.ensure_fresh(now)

    def _sync_with_peers(self) -> bool:
        """Tells whether a peer has told its versions, or none is known."""
        peers = list(self._membership.neighbours())
        others = [
            record.vm
            for record in self._membership.view.live()
            if record.vm not in peers and record.vm != self._settings.vm
        ]
        peers += random.sample(others, min(_SYNC_PEERS, len(others)))
        if not peers:
            return True
        return self._distribution.sync(peers, pauses.REFRESH_LIMIT_S)

    # Functions that tasks use to reach each other.

    def _resolve(self, vm: str) -> tuple[str, int] | None:
        return self._membership.resolve(vm)

    def _list_live_in_zone(self) -> list[str]:
        """Returns the VMs of the own zone whose processes were heard of."""
        zone = self._settings.zone
        return [
            record.vm
            for record in self._membership.view.live_in_zone(zone)
            if record.incarnation
        ]

    def _list_limiters(self) -> list[membership.records.MemberRecord]:
        """Returns the members that keep the limits together with this node."""
        view = self._membership.view
        strategy = limits.strategies.registry.get(
            self._settings.limits.strategy
        )
        if strategy.counts_leaving:
            found = [r for r in view.members.values() if r.state != 'dead']
        else:
            found = list(view.live())
        return [record for record in found if record.incarnation]

    def _dial_seeds(self) -> list[str]:
        found = []
        for seed in self._settings.seeds:
            try:
                found.append(self._links.dial_address(seed.host, seed.port))
            except links.errors.LinkError as error:
                _log.debug('node.seed_failed', extra={'reason': str(error)})
        return [vm for vm in found if vm != self._settings.vm]

    def _find_holder(self, upstream: str) -> str | None:
        record = self._membership.view.holder(upstream)
        return None if record is None else record.vm

    def _keys_usable(self, now: float) -> bool:
        return self._read_keys_age(now) <= self._settings.keys.max_unconfirmed_s

    def _read_keys_age(self, now: float) -> float:
        """Returns the seconds since the source confirmed the keys."""
        age_s = self._distribution.compute_confirmation_age('keys', now)
        return round(now - self._started_at if age_s is None else age_s, 3)

    def _zone_in_service(self) -> bool:
        preset = self._distribution.current.preset
        zone = preset.zones.get(self._settings.zone) if preset else None
        return zone is None or zone.in_service

    def _is_ready(self) -> bool:
        """Tells whether callers may send their calls to this node."""
        if self._life.state not in ('serving', 'resuming'):
            return False
        # Without contact, calls could only be served by the own backend
        # server; but a node that is cut off serves what it can.
        waited_s = clocks.read_now() - self._started_at
        return self._membership.has_contact or waited_s > _CONTACT_LIMIT_S

    def _forward(
        self, vm: str, forward: messages.Forward, timeout_s: float
    ) -> messages.Answered | messages.Refused:
        if vm == self._settings.vm:
            return self._ingress.handle_forward(forward)
        return self._links.request(vm, forward, timeout_s)

    def _cancel(self, vm: str, attempt: str) -> None:
        if vm == self._settings.vm:
            self._ingress.cancel(attempt)
        else:
            self._links.notify(vm, messages.CancelAttempt(attempt))

    def _on_forward(
        self, peer: links.handlers.PeerInfo, forward: messages.Forward
    ) -> messages.Answered | messages.Refused:
        self._guard.ensure_fresh(clocks.read_now())
        self._distribution.note_peer_version(
            peer.vm, 'preset', forward.preset_version
        )
        self._distribution.note_peer_version(
            peer.vm, 'keys', forward.keys_version
        )
        return self._ingress.handle_forward(forward)

    def _on_cancel(
        self, peer: links.handlers.PeerInfo, message: messages.CancelAttempt
    ) -> None:
        del peer
        self._ingress.cancel(message.attempt)

    def _on_keeper_message(
        self, peer: links.handlers.PeerInfo, message: Any
    ) -> messages.ClaimState | None:
        del peer
        now = self._guard.ensure_fresh(clocks.read_now())
        return calls.claims.apply_message(self._store, message, now)

    # What operators see.

    def describe(self) -> dict[str, Any]:
        """Returns the state of the node, for ``/status``."""
        now = clocks.read_now()
        settings = self._settings
        return {
            **status.describe_identity(settings, self._incarnation),
            'state': self._life.state,
            **status.describe_configuration(self._distribution, now),
            'backend': self._backend.describe(now),
            'peers': status.describe_peers(
                self._membership.view, settings.vm, set(self._links.connected())
            ),
            'limits': self._limits.describe(),
            'idempotency_records': len(self._store),
            'pauses': self._guard.pauses,
        }

    def explain(self, question: status.Question) -> dict[str, Any]:
        """Returns why each VM is or isn't chosen for a call.

        Raises:
          CallError: If no route matches, or no preset is in force.
        """
        return status.explain_route(
            self._distribution.current,
            self._membership.view,
            self._chooser,
            question,
            clocks.read_now(),
        )
