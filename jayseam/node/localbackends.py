"""The backend server of a node: admission, health, client and ingress."""

from collections.abc import Callable
from typing import Any

import attrs

from jayseam import admission
from jayseam import backends
from jayseam import calls
from jayseam import settings as node_settings
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import memory

_log = logs.get_logger(__name__)


class LocalBackend:
    """Gate, health monitor, client and ingress of the node's backend server.

    Args:
      settings: Settings of the node.
      incarnation: Incarnation of this process.
      read_snapshot: Returns the configuration in force.
      publish_state: Publishes a new state of the backend server to the other
        members.
      wait_for_refresh: Waits for the refresh after a pause of the process, if
        there was one; takes and returns the time in seconds.
      dialect: Names of the header fields that the backend server uses.

    Attributes:
      budget: Bytes of all messages in progress at this node.
    """

    def __init__(
        self,
        settings: node_settings.model.NodeSettings,
        incarnation: int,
        read_snapshot: Callable[[], Any],
        publish_state: Callable[[str], None],
        wait_for_refresh: Callable[[float], float],
        dialect: backends.dialects.Dialect = backends.dialects.DEFAULT,
    ):
        self.budget = memory.ByteBudget(settings.memory.message_bytes)
        self._vm = settings.vm
        self._upstream = settings.upstream
        self._publish_state = publish_state
        self._was_listed = False
        self._cold_excess = settings.admission.cold_excess
        self._gate = admission.gates.Gate(
            slots=1,
            connections=1,
            queue=settings.admission.get_queue(),
            ramp_shape=settings.admission.get_ramp_variant(),
        )
        self._health = backends.health.HealthMonitor(
            ramp_s=0.0,
            on_start=self._gate.restart_ramp,
            on_state=self._on_state_change,
            polls=settings.backend_health.polls,
        )
        self._client = backends.client.BackendClient(
            settings.backend.as_tuple(),
            1,
            observe=self._health.observe,
            dialect=dialect,
            budget=self.budget,
        )
        self.ingress = calls.ingress.Ingress(
            calls.ingress.IngressIdentity(
                settings.vm, incarnation, settings.zone, settings.upstream
            ),
            read_snapshot,
            self._gate,
            self._client,
            wait_for_refresh,
            dialect,
            self.budget,
        )

    def start(self) -> None:
        """Starts to monitor the health of the backend server."""
        self._health.start(self._client)

    def stop(self) -> None:
        """Stops the health monitor and closes the connections."""
        self._health.stop()
        self._client.close()

    def notice_pause(self, now: float, paused_s: float) -> None:
        """Discards measurements that span a pause of this process."""
        self._gate.notice_pause(now)
        self._health.ignore_earlier_latencies(now)
        self.ingress.ignore_earlier_calls(now)
        self._client.check_after_pause(now, paused_s)

    def apply_preset(self, preset: Any) -> None:
        """Applies slots, connections, ramp and weights of a preset."""
        self._gate.set_weights(
            {name: item.weight for name, item in preset.workspaces.items()}
        )
        upstream = preset.upstreams.get(self._upstream)
        if upstream is None and preset.has_listed_services:
            return
        if upstream is None:
            _log.warning(
                'node.upstream_unknown', extra={'upstream': self._upstream}
            )
            return
        rate_per_s = upstream.ramp.rate_per_s * (1.0 + self._cold_excess)
        ramp = attrs.evolve(upstream.ramp, rate_per_s=rate_per_s)
        self._gate.set_capacity(upstream.slots, upstream.connections, ramp)
        self._client.set_connections(upstream.connections)
        self._health.set_ramp(upstream.ramp.duration_s)

    def apply_vms(self, vm_list: Any, now: float) -> None:
        """Applies the state of the backend server in the VM list.

        A list without this VM is ignored until one with it has arrived: the
        backend server may not have registered yet.
        """
        entry = vm_list.by_name.get(self._vm)
        if entry is None and not self._was_listed:
            return
        self._was_listed = True
        live = entry is not None and entry.state == 'live'
        cold = entry is not None and entry.cold
        self._health.apply_listing(live, cold, now)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns state, concurrency limit and load, for ``/status``."""
        report = self._gate.describe(now)
        return {
            'state': self._health.state.name,
            'limit': report.limit,
            'in_flight': report.in_flight,
            'queued': report.queued,
        }

    def _on_state_change(self, state: str) -> None:
        """Closes or reopens the gate, and publishes the state to the fleet."""
        if state == 'draining':
            self._gate.close()
        elif state in ('cold', 'ready'):
            self._gate.reopen(clocks.read_now())
        self._publish_state(state)
