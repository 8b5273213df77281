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
from jayseam import links
from jayseam import membership
from jayseam import settings as node_settings
from jayseam import source
from jayseam.calls import messages
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.node import admin
from jayseam.node import application
from jayseam.node import callpaths
from jayseam.node import confirmations
from jayseam.node import disconnects
from jayseam.node import forwarding
from jayseam.node import lifecycles
from jayseam.node import listeners
from jayseam.node import localbackends
from jayseam.node import memberlists
from jayseam.node import metrics
from jayseam.node import pauses
from jayseam.node import routes
from jayseam.node import shutdowns
from jayseam.node import status

_N_RANDOM_SYNC_PEERS = 1
_SYNC_RETRY_S = 0.05
# Settings that a running node applies on SIGHUP.
_RELOADABLE_SETTINGS = ('keys', 'stop')
# Time after the start from which the node reports itself ready even if it has
# not reached another node.
_CONTACT_TIMEOUT_S = 4.0
# Wait before the start in which signals are handled that came before.
_SIGNAL_WAIT_S = 0.001

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
        members = memberlists.MemberLists(
            lambda: self._membership.view, settings.zone
        )
        peers = distribution.peers.Peers(
            request=self._links.request,
            broadcast=self._links.broadcast,
            notify=self._links.notify,
            dial_and_notify=self._links.dial_and_notify,
            list_neighbours=self._membership.list_ring_members,
            list_live_in_zone=members.list_live_in_zone,
            list_running_in_zone=members.list_running_in_zone,
            list_seeds=self._dial_seeds,
            list_live_elsewhere=members.list_live_elsewhere,
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
        confirmed = confirmations.Confirmations(
            self._distribution,
            lambda: self._settings.keys.max_unconfirmed_s,
            self._started_at,
        )
        self._path = callpaths.build_call_path(
            self._settings,
            self._incarnation,
            self._dialect,
            self._links,
            self._membership,
            self._distribution,
            forwarding.Forwarder(self._settings.vm, self._links, self._ingress),
            confirmed,
        )
        self._limits = self._path.limiter
        self._ingress.set_report_source(self._path.chooser.collect_reports)
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
            self._path.entry,
            self._guard,
            self._monitor,
            self._is_zone_in_service,
            lambda: bool(self._ingress.in_flight),
            self._dialect,
        )
        explainer = routes.RouteExplainer(
            lambda: self._distribution.snapshot,
            lambda: self._membership.view,
            self._path.chooser,
            self._dialect,
        )
        self._listeners = listeners.build_listeners(
            settings,
            self._application,
            admin.AdminApplication(
                self.describe, explainer.explain, explainer.decide
            ),
            admin.ReadinessApplication(self._is_ready),
            self._backend.budget,
        )
        self._shutdown = shutdowns.Shutdown(
            shutdowns.Parts(
                self._lifecycle,
                self._application,
                self._listeners,
                self._backend,
                self._limits,
                self._monitor,
                self._guard,
                self._distribution,
                self._membership,
                self._links,
            ),
            lambda: self._settings.stop,
            self._stopped,
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
            gevent.spawn(self._shutdown.run)

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
            gevent.spawn(self._shutdown.run)

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
            self._path.chooser.set_preset(preset, now)
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

    def _dial_seeds(self) -> list[str]:
        vms = []
        for seed in self._settings.seeds:
            try:
                vms.append(self._links.dial_address(seed.host, seed.port))
            except links.errors.LinkError as error:
                _log.debug('node.seed_failed', extra={'reason': str(error)})
        return [vm for vm in vms if vm != self._settings.vm]

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
        return calls.claims.apply_message(self._path.store, message, now)

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
            'idempotency_records': len(self._path.store),
            'pauses': self._guard.n_pauses,
        }


# Most entries of a new VM list are those of the last one.
@functools.lru_cache(maxsize=2048)
def _describe_entry(entry: Any) -> Mapping[str, Any]:
    return attrs.asdict(entry)
