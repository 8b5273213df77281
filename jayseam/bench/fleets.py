"""Deployments that several experiments start."""

import copy
from collections.abc import Mapping
from typing import Any

import attrs

from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import deployments
from jayseam.standins import plans
from jayseam.standins import vmlists

_UNLIMITED_PER_S = 1_000_000.0
_READY_TIMEOUT_S = 20.0


@attrs.frozen
class PathFleet:
    """One VM in each of three zones, each with a service of its own.

    A call that enters at the first VM passes through one node on
    ``local_path`` and through two nodes on ``remote_path``. The replicas of
    idempotency keys need three zones.

    Attributes:
      cluster: The cluster.
      entry: VM at which calls enter.
      ingress: VM that runs the calls to ``remote_path``.
      key: API key of a workspace whose rate limit is never reached.
      local_path: Path of the service at the entry VM.
      remote_path: Path of the service at the ingress VM.
    """

    cluster: clusters.Cluster
    entry: vmlists.Vm
    ingress: vmlists.Vm
    key: str
    local_path: str = '/service-01'
    remote_path: str = '/service-02'

    @property
    def backend_port(self) -> int:
        """Port of the backend server behind ``remote_path``."""
        settings = self.cluster.build_node_settings(self.ingress)
        return settings['backend']['port']

    @property
    def roles(self) -> dict[str, vmlists.Vm]:
        """The VMs on the path of a call to ``remote_path``, by role."""
        return {'entry': self.entry, 'ingress': self.ingress}

    @property
    def headers(self) -> dict[str, str]:
        """Header fields that each call needs."""
        return {'Authorization': f'Bearer {self.key}'}


def plan_path_fleet(
    seed: int, service_time: Mapping[str, Any]
) -> tuple[plans.ClusterPlan, str]:
    """Returns the plan of a `PathFleet` and the API key of its callers.

    Args:
      seed: Seed of the API keys.
      service_time: Settings of `standins.durations.ServiceTime`.
    """
    deployment = samples.build_large(
        3, 3, 3, n_workspaces=1, seed=seed, ramp=deployments.SHORT_RAMP
    )
    plan = plans.plan_deployment(
        deployment,
        backend={'service_time': dict(service_time)},
        backends_per_process=1,
    )
    preset = copy.deepcopy(dict(plan.preset))
    for number, upstream in enumerate(preset['upstreams']):
        upstream['zone'] = f'zone-{number + 1}'
    for route in preset['routes']:
        if route['methods'] == ['POST']:
            route['repeatable'] = False
    key = next(iter(deployment.plaintexts.values()))
    plan = attrs.evolve(plan, preset=preset)
    return override_limits(plan, unlimited=True), key


def override_limits(
    plan: plans.ClusterPlan, slots: int | None = None, unlimited: bool = False
) -> plans.ClusterPlan:
    """Returns a copy of a plan with other slots or rate limits in its preset.

    Args:
      plan: The plan.
      slots: Slots of every upstream; None keeps those of the plan.
      unlimited: Whether to set rate limits that are never reached.
    """
    preset = copy.deepcopy(dict(plan.preset))
    if slots is not None:
        for upstream in preset['upstreams']:
            upstream['slots'] = slots
    if unlimited:
        for workspace in preset['workspaces']:
            workspace['rate_per_s'] = workspace['burst'] = _UNLIMITED_PER_S
    return attrs.evolve(plan, preset=preset)


def prepare_path_fleet(cluster: clusters.Cluster, key: str) -> PathFleet:
    """Waits until a started cluster can run calls; returns its fleet."""
    entry, ingress, _ = cluster.vms.values()
    fleet = PathFleet(cluster, entry, ingress, key)
    for path in (fleet.local_path, fleet.remote_path):
        wait_admitting(cluster, path, key)
    return fleet


def wait_admitting(cluster: clusters.Cluster, path: str, key: str) -> None:
    """Waits until a node answers calls and all backend servers are ready."""
    vm = next(iter(cluster.vms))
    cluster.wait_until(
        lambda: cluster.call(vm, path, key).status == 200, _READY_TIMEOUT_S
    )
    for name in cluster.vms:
        wait_backend_ready(cluster, name)


def wait_backend_ready(cluster: clusters.Cluster, vm: str) -> None:
    """Waits until a node sees its backend server in state ``ready``."""
    cluster.wait_until(
        lambda: cluster.read_status(vm)['backend']['state'] == 'ready',
        _READY_TIMEOUT_S,
        f'backend server of {vm} is ready',
    )


def plan_idle_fleet(
    size: int, seed: int, n_services: int = 4, n_zones: int = 3
) -> plans.ClusterPlan:
    """Returns the plan of a fleet whose backends share one process."""
    deployment = samples.build_large(
        size,
        n_services,
        n_zones,
        n_workspaces=8,
        seed=seed,
        ramp=deployments.SHORT_RAMP,
    )
    return plans.plan_deployment(
        deployment,
        backend={'service_time': {'kind': 'fixed', 'mean_ms': 1.0}},
        backends_per_process=size,
        start_timeout_s=60.0,
    )
