"""Builds and connects the tasks of a node, and starts and stops them."""

import functools
import random
from collections.abc import Mapping
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
from jayseam.node import disconnects
from jayseam.node import lifecycles
from jayseam.node import limitmembers
from jayseam.node import listeners
from jayseam.node import localbackends
from jayseam.node import metrics
from jayseam.node import pauses
from jayseam.node import status
from jayseam.node import stops

_N_RANDOM_SYNC_PEERS = 1
_SYNC_RETRY_S = 0.05
_DRAIN_POLL_S = 0.05
# Time between the last call and the end of connections, in which kept-alive
# callers can receive an answer with "Connection: close".
_LINGER_S = 0.5
# Settings that a running node applies on SIGHUP.
_RELOADABLE_SETTINGS = ('keys', 'stop')
# Time after the start from which the node reports itself ready even if it has
# not reached another node.
_CONTACT_TIMEOUT_S = 4.0
# Longest wait for callers to close connections on which a refusal was sent.
_CLOSE_WAIT_S = 0.5
# Longest wait for replies to other nodes that are still to be sent.
_LINKS_WAIT_S = 1.0
# Wait before the start in which signals are handled that came before.
_SIGNAL_WAIT_S = 0.001
# Longest wait for a task to end.
_TASK_WAIT_S = 1.0

_log = logs.get_logger(__name__)


def _build_outage_grace(
    settings: node_settings.model.SourceSettings,
) -> source.watchers.OutageGrace:
    if settings.lapse_s is None:
        return source.watchers.OutageGrace()
    return source.watchers.OutageGrace(
        settings.lapse_s, settings.return_grace_s
    )


class Node:
    """One node process: owns its tasks and follows the state chart ``node``.

    Args:
      settings: Checked settings.
      client: Client of the configuration source; by default a client for the
        URLs in the settings.
      dialect: Names of the header fields of callers and backend servers.
    """

    def __init__(
        self,
        settings: node_settings.model.NodeSettings,
        client: source.client.Source | None = None,
        dialect: backends.dialects.Dialect = backends.dialects.DEFAULT,
    ):
        self._settings = settings
        self._dialect = dialect
        self._lifecycle = lifecycles.Lifecycle()
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
            self._find_address,
            self._handlers,
            codec=settings.codec,
            listen=settings.link.as_tuple(),
        )
        host, port = settings.link.get_advertised_address()
        own_record = membership.records.MemberRecord(
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
            own_record, self._links, self._handlers, seeds
        )

    def _build_distribution(self, client: source.client.Source) -> None:
        settings = self._settings
        peers = distribution.peers.Peers(
            request=self._links.request,
            broadcast=self._links.broadcast,
            notify=self._links.notify,
            dial_and_notify=self._links.dial_and_notify,
            list_neighbours=self._membership.list_ring_members,
            list_live_in_zone=self._list_live_in_zone,
            list_running_in_zone=self._list_running_in_zone,
            list_seeds=self._dial_seeds,
            list_live_elsewhere=self._list_live_elsewhere,
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
                _build_outage_grace(settings.source),
            ),
        )
        self._distribution.register_handlers(self._handlers)
        self._distribution.subscribe(self._apply_snapshot)

    def _build_backend(self) -> None:
        self._backend = localbackends.LocalBackend(
            self._settings,
            self._incarnation,
            lambda: self._distribution.snapshot,
            lambda state: self._membership.update_own_record(backend=state),
            self._wait_for_refresh,
            self._dialect,
        )
        self._ingress = self._backend.ingress

    def _build_calls(self) -> None:
        settings = self._settings
        limiting = limitmembers.LimitingMembers(settings.limits.strategy)
        self._limits = limits.task.LimitTask(
            settings.vm,
            settings.upstream,
            settings.zone,
            self._incarnation,
            self._links.request,
            # Calls may never open a link to the node that relays reports, so
            # sending a report opens it.
            self._links.dial_and_notify,
            lambda: limiting.list_in(self._membership.view),
            strategy=settings.limits.strategy,
        )
        if settings.limits.tolerance:
            self._limits.set_tolerance(settings.limits.tolerance)
        self._store = calls.keepers.ClaimStore(
            clocks.read_wall_ms(), settings.idempotency.window_s
        )
        self._chooser = calls.choosers.Chooser(
            settings.zone,
            settings.selection.strategy,
            spill_load=settings.selection.spill_load,
            spill_gain=settings.selection.spill_gain,
            zone_price=settings.selection.zone_price,
            list_unresponsive=self._links.list_unresponsive,
        )
        self._ingress.set_report_source(self._chooser.collect_reports)
        coordinator = calls.claims.ClaimCoordinator(
            settings.vm,
            self._store,
            self._links.request,
            self._find_holder,
        )
        self._entry = calls.entry.Entry(
            calls.entry.EntryDependencies(
                own_vm=settings.vm,
                token_keys=tuple(
                    calls.tokens.derive_token_key(secret)
                    for secret in settings.fleet_secrets
                ),
                read_snapshot=lambda: self._distribution.snapshot,
                read_view=lambda: self._membership.view,
                chooser=self._chooser,
                limiter=self._limits,
                forwarder=self._forward,
                coordinator=coordinator,
                cancel=self._cancel,
                are_keys_trusted=self._are_keys_trusted,
                is_current=self._is_current,
                compute_keys_age=self._compute_keys_age,
                window_s=settings.idempotency.window_s,
                dialect=self._dialect,
                service=settings.service,
                retry_budget=calls.retries.RetryBudgetParameters(
                    settings.retries.share, settings.retries.max_saved
                ),
                retry_bound=calls.retries.FleetRetryBound(
                    settings.retries.fleet_share, settings.retries.fleet_slack
                ),
            )
        )
        self._register_call_handlers()

    def _register_call_handlers(self) -> None:
        for message_class in (
            messages.Claim,
            messages.Settle,
            messages.Abandon,
            messages.LookUp,
        ):
            self._handlers.register(message_class, self._on_claim_message)
        self._handlers.register(messages.Forward, self._on_forward)
        self._handlers.register(messages.CancelAttempt, self._on_cancel)
        for message_class, handler in self._limits.handlers().items():
            self._handlers.register(
                message_class,
                lambda peer, message, h=handler: h(peer.vm, message),
            )

    def _build_listeners(self) -> None:
        settings = self._settings
        self._guard = pauses.PauseGuard(self._refresh_after_pause)
        self._monitor = disconnects.DisconnectMonitor()
        self._application = application.CallerApplication(
            self._entry,
            self._guard,
            self._monitor,
            self._is_zone_in_service,
            lambda: bool(self._ingress.in_flight),
            self._dialect,
        )
        self._listeners = listeners.build_listeners(
            settings,
            self._application,
            admin.AdminApplication(self.describe, self.explain),
            admin.ReadinessApplication(self._is_ready),
            self._backend.budget,
        )

    # Start, reload and stop.

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
        _log.info(
            'node.started',
            extra={
                'incarnation': self._incarnation,
                **status.describe_machine(),
            },
        )
        if self._lifecycle.state == 'leaving':
            gevent.spawn(self._stop)

    def run(self) -> None:
        """Starts the node and returns after its graceful shutdown.

        Raises:
          OSError: If an address can't be bound.
        """
        # Signals that came before are handled now.
        gevent.sleep(_SIGNAL_WAIT_S)
        if self._lifecycle.state == 'leaving':
            _log.info('node.stopped', extra={'started': False})
            return
        self.start()
        self._stopped.wait()

    def apply_settings(
        self, settings: node_settings.model.NodeSettings
    ) -> None:
        """Applies the settings that may change while the node runs.

        These are the settings ``keys`` and ``stop``. Changes of other settings
        take effect at the next start; the names of all changed settings are
        logged.

        Raises:
          SettingsError: If the node is stopping, by the settings it has.
        """
        if self._lifecycle.state in ('leaving', 'stopped'):
            raise node_settings.errors.SettingsError(['the node is stopping'])
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
                'applied': [n for n in changed if n in _RELOADABLE_SETTINGS],
                'at_next_start': [
                    n for n in changed if n not in _RELOADABLE_SETTINGS
                ],
            },
        )

    def request_stop(self) -> None:
        """Begins a graceful shutdown; later requests change nothing.

        A node that is being started stops once it has started, because a stop
        ends only what runs.
        """
        requested = self._lifecycle.try_advance('stop_requested')
        # The server for callers starts last.
        if requested and self._listeners.caller_server.started:
            gevent.spawn(self._stop)

    def _stop(self) -> None:
        """Drains the calls in flight, then stops all servers and tasks."""
        began = clocks.read_now()
        times = stops.plan_times(self._settings.stop, began)
        # Ends the process even if a step ignores its time limit.
        watch = gevent.spawn_later(times.end - began, self._end_overdue_stop)
        steps = stops.StopSteps(times.end, self._describe_work)
        drained = False
        try:
            drained = self._run_stop_steps(times, steps)
        finally:
            watch.kill()
            _log.info(
                'node.stopped',
                extra={
                    'drained': drained,
                    'failed_steps': steps.failed,
                    'elapsed_s': round(clocks.read_now() - began, 3),
                },
            )
            self._stopped.set()

    def _run_stop_steps(
        self, times: stops.StopTimes, steps: stops.StopSteps
    ) -> bool:
        """Runs the steps of a stop; returns whether no call was cut."""
        steps.run('announce', lambda: self._announce_stop(times.work_end))
        steps.run('notice', lambda: _sleep_until(times.notice_end))
        drained = bool(steps.run('drain', lambda: self._drain(times.work_end)))
        if not drained:
            steps.run('abort', self._abort_calls)
        steps.run('limits', self._limits.stop, _TASK_WAIT_S)
        linger_s = steps.share_time(_LINGER_S)
        steps.run('linger', lambda: gevent.sleep(linger_s))
        outcome = 'drained' if drained else 'deadline_passed'
        steps.run('state', lambda: self._lifecycle.try_advance(outcome))
        steps.run('monitor', self._monitor.stop, _TASK_WAIT_S)
        close_s = steps.share_time(_CLOSE_WAIT_S)
        steps.run(
            'callers',
            lambda: self._listeners.caller_server.shut_down(close_s),
        )
        self._log_cut_answers()
        steps.run('guard', self._guard.stop, _TASK_WAIT_S)
        steps.run('distribution', self._distribution.stop, _TASK_WAIT_S)
        steps.run('membership', self._membership.stop, _TASK_WAIT_S)
        links_s = steps.share_time(_LINKS_WAIT_S)
        steps.run('links', lambda: self._links.stop(links_s))
        steps.run('admin', self._listeners.stop_admin, _TASK_WAIT_S)
        steps.run('backend', self._backend.stop, _TASK_WAIT_S)
        return drained

    def _announce_stop(self, work_end: float) -> None:
        """Refuses forwarded calls, bounds others and tells the members."""
        self._ingress.refuse_new_calls()
        self._application.begin_stop(work_end)
        self._membership.update_own_record(state='leaving')

    def _abort_calls(self) -> None:
        self._log_aborted_calls()
        self._application.abort_calls()

    def _log_cut_answers(self) -> None:
        """Logs the answers that callers haven't read as a whole."""
        for request_id in self._application.list_writing():
            _log.error('node.answer_cut', extra={'request_id': request_id})

    def _end_overdue_stop(self) -> None:
        _log.error('node.stop_overdue', extra=self._describe_work())
        self._stopped.set()

    def _describe_work(self) -> dict[str, int]:
        return {
            'calls': self._application.in_flight,
            'attempts': self._ingress.in_flight,
        }

    def _drain(self, deadline: float) -> bool:
        """Takes no more calls; returns whether those in flight finished."""
        self._application.stop_accepting_calls()
        while self._application.in_flight or self._ingress.in_flight:
            if clocks.read_now() >= deadline:
                return False
            gevent.sleep(_DRAIN_POLL_S)
        return True

    def _log_aborted_calls(self) -> None:
        for request_id in self._application.list_in_flight():
            _log.error('node.call_cut', extra={'request_id': request_id})
        for (
            attempt,
            request_id,
        ) in self._ingress.list_attempts_in_flight().items():
            _log.error(
                'node.attempt_cut',
                extra={'attempt': attempt, 'request_id': request_id},
            )

    # Events of the tasks.

    def _apply_snapshot(self, snapshot: Any, channel: str) -> None:
        """Passes a new configuration to the tasks that depend on it.

        Args:
          snapshot: Configuration in force.
          channel: Channel that has changed; empty when the node has joined.
        """
        now = clocks.read_now()
        preset = snapshot.preset
        upstreams_changed = (
            channel == 'vms' and preset and preset.has_listed_services
        )
        if channel == 'preset' or upstreams_changed:
            self._chooser.set_preset(preset, now)
            # The limit task ignores a version that it has already applied. The
            # number of upstreams can change with either channel, so with listed
            # services the version includes both.
            version = snapshot.preset_version + (
                snapshot.vms_version if preset.has_listed_services else 0
            )
            self._limits.set_preset(preset, version, now)
            self._backend.apply_preset(preset)
        if channel == 'vms':
            self._membership.apply_vm_list(
                _describe_entry(entry) for entry in snapshot.vms.vms
            )
            self._apply_listed_state(snapshot.vms)
            if not self._settings.backend_health.polls:
                self._backend.apply_vms(snapshot.vms, now)
        complete = snapshot.preset is not None and snapshot.keys is not None
        if complete and self._distribution.has_joined:
            self._lifecycle.try_advance('configured')

    def _apply_listed_state(self, vm_list: Any) -> None:
        """Refuses new calls while the platform lists this VM as leaving."""
        entry = vm_list.by_name.get(self._settings.vm)
        withdrawn = entry is not None and entry.state == 'leaving'
        self._ingress.refuse_while_withdrawn(withdrawn)
        if self._lifecycle.state not in ('leaving', 'stopped'):
            self._membership.update_own_record(
                state='leaving' if withdrawn else 'alive'
            )

    def _refresh_after_pause(self, now: float, paused_s: float) -> None:
        """Tells the tasks of a pause, then asks peers for their versions.

        Returns once a peer has answered.
        """
        metrics.PAUSES.inc()
        self._limits.drop_expired(now)
        self._backend.notice_pause(now, paused_s)
        self._lifecycle.try_advance('pause_detected')
        try:
            # Requests on links that were closed during the pause fail at once,
            # so a failed attempt doesn't show that peers are unreachable.
            while not self._sync_with_peers():
                gevent.sleep(_SYNC_RETRY_S)
        finally:
            self._lifecycle.try_advance('refreshed')

    def _wait_for_refresh(self, now: float) -> float:
        """Waits for the refresh after a pause; returns the time afterwards."""
        return self._guard.wait_for_refresh(now)

    def _sync_with_peers(self) -> bool:
        """Asks peers for their versions.

        Returns:
          Whether a peer has answered, or no peer is known.
        """
        peers = list(self._membership.neighbours())
        others = [
            record.vm
            for record in self._membership.view.list_live()
            if record.vm not in peers and record.vm != self._settings.vm
        ]
        peers += random.sample(others, min(_N_RANDOM_SYNC_PEERS, len(others)))
        if not peers:
            return True
        return self._distribution.sync(peers, pauses.REFRESH_TIMEOUT_S)

    # Callbacks through which the tasks use each other.

    def _find_address(self, vm: str) -> tuple[str, int] | None:
        return self._membership.find_address(vm)

    def _list_live_in_zone(self) -> list[str]:
        """Returns the live VMs of the node's zone with a known incarnation."""
        return self._list_started(self._settings.zone)

    def _list_running_in_zone(self) -> list[str]:
        """Returns the same, with VMs that are leaving."""
        members = self._membership.view.list_zone_members(self._settings.zone)
        return [record.vm for record in members if record.incarnation]

    def _list_live_elsewhere(self) -> dict[str, list[str]]:
        """Returns such VMs of each other zone."""
        return {
            zone: self._list_started(zone)
            for zone in self._membership.view.list_zones()
            if zone != self._settings.zone
        }

    def _list_started(self, zone: str) -> list[str]:
        return [
            record.vm
            for record in self._membership.view.list_live_in_zone(zone)
            if record.incarnation
        ]

    def _dial_seeds(self) -> list[str]:
        vms = []
        for seed in self._settings.seeds:
            try:
                vms.append(self._links.dial_address(seed.host, seed.port))
            except links.errors.LinkError as error:
                _log.debug('node.seed_failed', extra={'reason': str(error)})
        return [vm for vm in vms if vm != self._settings.vm]

    def _find_holder(self, upstream: str) -> str | None:
        record = self._membership.view.find_holder(upstream)
        return None if record is None else record.vm

    def _are_keys_trusted(self, now: float) -> bool:
        return (
            self._distribution.has_joined
            and self._compute_keys_age(now)
            <= self._settings.keys.max_unconfirmed_s
        )

    def _is_current(self, channel: str, now: float) -> bool:
        """Returns whether the version held of a channel is the newest.

        It was confirmed recently, and no peer has told of a newer one since.
        """
        if not self._distribution.has_joined:
            return False
        age_s = self._distribution.compute_confirmation_age(channel, now)
        if age_s is None or age_s > self._settings.keys.max_unconfirmed_s:
            return False
        return not self._distribution.has_newer_offer(channel)

    def _compute_keys_age(self, now: float) -> float:
        """Returns the seconds since the source confirmed the keys."""
        age_s = self._distribution.compute_confirmation_age('keys', now)
        return round(now - self._started_at if age_s is None else age_s, 3)

    def _is_zone_in_service(self) -> bool:
        preset = self._distribution.snapshot.preset
        zone = preset.zones.get(self._settings.zone) if preset else None
        return zone is None or zone.in_service

    def _is_ready(self) -> bool:
        """Returns whether callers may send their calls to this node."""
        if self._lifecycle.state not in ('serving', 'resuming'):
            return False
        # A node without contact to others can only use its own backend server,
        # so it waits for contact; after the timeout it serves what it can.
        waited_s = clocks.read_now() - self._started_at
        return self._membership.has_live_peer or waited_s > _CONTACT_TIMEOUT_S

    def _forward(
        self, vm: str, forward: messages.Forward, timeout_s: float
    ) -> messages.Answered | messages.Refused:
        if vm == self._settings.vm:
            return self._ingress.handle_forward(forward)
        # Nobody can repeat a call that may run only once, and a silent VM may
        # only be paused.
        return self._links.request(
            vm, forward, timeout_s, is_patient=not forward.repeatable
        )

    def _cancel(self, vm: str, attempt: str) -> None:
        """Cancels an attempt at a VM; opens a link if there is none."""
        if vm == self._settings.vm:
            self._ingress.cancel(attempt)
            return
        message = messages.CancelAttempt(attempt)
        if not self._links.notify(vm, message):
            gevent.spawn(self._send_cancellation, vm, message)

    def _send_cancellation(
        self, vm: str, message: messages.CancelAttempt
    ) -> None:
        is_sent, reason = False, 'no open link took it'
        try:
            is_sent = self._links.dial_and_notify(vm, message)
        except links.errors.LinkError as error:
            reason = str(error)
        metrics.CANCELLATIONS_RESENT.labels(str(is_sent).lower()).inc()
        _log.info(
            'call.cancellation_resent',
            extra={
                'upstream_vm': vm,
                'attempt': message.attempt,
                'sent': is_sent,
                'reason': reason,
            },
        )

    def _on_forward(
        self, peer: links.handlers.PeerInfo, forward: messages.Forward
    ) -> messages.Answered | messages.Refused:
        self._guard.wait_for_refresh(clocks.read_now())
        self._distribution.record_peer_version(
            peer.vm, 'preset', forward.preset_version
        )
        self._distribution.record_peer_version(
            peer.vm, 'keys', forward.keys_version
        )
        return self._ingress.handle_forward(forward)

    def _on_cancel(
        self, peer: links.handlers.PeerInfo, message: messages.CancelAttempt
    ) -> None:
        del peer
        self._ingress.cancel(message.attempt)

    def _on_claim_message(
        self, peer: links.handlers.PeerInfo, message: Any
    ) -> messages.ClaimState | None:
        del peer
        now = self._guard.wait_for_refresh(clocks.read_now())
        return calls.claims.apply_message(self._store, message, now)

    # Documents for operators.

    def describe(self) -> dict[str, Any]:
        """Returns the state of the node, for ``/status``."""
        now = clocks.read_now()
        settings = self._settings
        return {
            **status.describe_identity(settings, self._incarnation),
            'state': self._lifecycle.state,
            **status.describe_configuration(self._distribution, now),
            'backend': self._backend.describe(now),
            'peers': status.describe_peers(
                self._membership.view,
                settings.vm,
                set(self._links.list_connected_vms()),
            ),
            'limits': self._limits.describe(),
            'idempotency_records': len(self._store),
            'pauses': self._guard.n_pauses,
        }

    def explain(self, query: status.RouteQuery) -> dict[str, Any]:
        """Returns the route of a call and why each VM is or isn't chosen.

        Raises:
          CallError: If no route matches, or no preset is in force.
        """
        return status.explain_route(
            self._distribution.snapshot,
            self._membership.view,
            self._chooser,
            query,
            clocks.read_now(),
        )


# Most entries of a new VM list are those of the last one.
@functools.lru_cache(maxsize=2048)
def _describe_entry(entry: Any) -> Mapping[str, Any]:
    return attrs.asdict(entry)


def _sleep_until(end: float) -> None:
    gevent.sleep(max(0.0, end - clocks.read_now()))
