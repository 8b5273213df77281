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
_READY_LIMIT_S = 20.0


@attrs.frozen
class PathFleet:
    """One VM in each of three zones, each with a service of its own.

    A call that enters at the first VM takes one node to ``local_path`` and two
    nodes to ``remote_path``. Three zones are what the keepers of idempotency
    keys need.

    Attributes:
      cluster: The cluster.
      entry: VM at which calls enter.
      ingress: VM that runs the calls to ``remote_path``.
      key: Key of a workspace whose rate is never reached.
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
        """The VMs on the path of a call by their part in it."""
        return {'entry': self.entry, 'ingress': self.ingress}

    @property
    def headers(self) -> dict[str, str]:
        """Header fields of a call."""
        return {'Authorization': f'Bearer {self.key}'}


def plan_path_fleet(
    seed: int, service_time: Mapping[str, Any]
) -> tuple[plans.ClusterPlan, str]:
    """Returns the plan of a `PathFleet` and the key of its callers.

    Args:
      seed: Seed of the keys.
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
    return change_plan(plan, unlimited=True), key


def change_plan(
    plan: plans.ClusterPlan, slots: int | None = None, unlimited: bool = False
) -> plans.ClusterPlan:
    """Returns a plan whose preset has other slots or rates.

    Args:
      plan: The plan.
      slots: Slots of every upstream; None leaves them.
      unlimited: Whether every workspace gets a rate that is never reached.
    """
    preset = copy.deepcopy(dict(plan.preset))
    if slots is not None:
        for upstream in preset['upstreams']:
            upstream['slots'] = slots
    if unlimited:
        for workspace in preset['workspaces']:
            workspace['rate_per_s'] = workspace['burst'] = _UNLIMITED_PER_S
    return attrs.evolve(plan, preset=preset)


def open_path_fleet(cluster: clusters.Cluster, key: str) -> PathFleet:
    """Returns the fleet of a started cluster, ready for calls."""
    entry, ingress, _ = cluster.vms.values()
    fleet = PathFleet(cluster, entry, ingress, key)
    for path in (fleet.local_path, fleet.remote_path):
        wait_admitting(cluster, path, key)
    return fleet


def wait_admitting(cluster: clusters.Cluster, path: str, key: str) -> None:
    """Waits until a node answers calls and all backend servers are warm."""
    vm = next(iter(cluster.vms))
    cluster.wait_until(
        lambda: cluster.call(vm, path, key).status == 200, _READY_LIMIT_S
    )
    for name in cluster.vms:
        wait_warm(cluster, name)


def wait_warm(cluster: clusters.Cluster, vm: str) -> None:
    """Waits until the backend server of a VM is ``ready``."""
    cluster.wait_until(
        lambda: cluster.status(vm)['backend']['state'] == 'ready',
        _READY_LIMIT_S,
        f'{vm} is warm',
    )


def plan_idle_fleet(
    size: int, seed: int, n_services: int = 4, n_zones: int = 3
) -> plans.ClusterPlan:
    """Returns the plan of a fleet of any size with all backends together."""
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
