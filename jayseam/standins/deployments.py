"""Clusters, load and routes of the two sample deployments."""

from typing import Any

from jayseam.presets import model
from jayseam.presets import samples
from jayseam.standins import clusters
from jayseam.standins import plans
from jayseam.tools import profiles

SHORT_RAMP = model.Ramp(initial_slots=4, duration_s=1.0)
DEPLOYMENT_BUILDERS = {
    'agence': samples.build_agence,
    'leeuwenhoek': samples.build_leeuwenhoek,
}
_LOAD_DURATION_S = 13.0
# Offered load of each workspace as a share of its configured rate.
_OFFERED_RATE_SHARE = 0.5
_ADMISSION_TIMEOUT_S = 12.0


def build_plan(deployment: samples.Deployment) -> plans.ClusterPlan:
    """Returns the cluster of a deployment."""
    return plans.plan_deployment(
        deployment,
        backend={'service_time': {'kind': 'fixed', 'mean_ms': 5.0}},
    )


def wait_admitting(
    cluster: clusters.Cluster, deployment: samples.Deployment
) -> None:
    """Waits until every node admits calls of a workspace.

    For some seconds after the whole fleet starts, the nodes count the rates of
    workspaces from zero and may refuse calls.
    """
    route = next(
        r for r in deployment.preset.routes.values() if is_keyed_read(r)
    )
    key = next(iter(deployment.plaintexts.values()))
    for vm in cluster.vms:
        cluster.wait_until(
            lambda vm=vm: cluster.call(vm, route.prefix, key).status == 200,
            _ADMISSION_TIMEOUT_S,
        )


def build_profile(
    cluster: clusters.Cluster, deployment: samples.Deployment, seed: int
) -> profiles.Profile:
    """Returns a load profile with half the rate of every workspace."""
    routes = []
    for route in deployment.preset.routes.values():
        entry: dict[str, Any] = {'path': f'{route.prefix}/1'}
        if 'GET' not in route.methods:
            entry.update(method='POST', body_bytes=200, share=0.5)
            if not route.repeatable:
                entry.update(repeatable=False, repeat_share=0.2)
        routes.append(entry)
    return profiles.parse_profile(
        {
            'targets': cluster.list_targets(),
            'duration_s': _LOAD_DURATION_S,
            'seed': seed,
            'workspaces': [
                {
                    'name': workspace.name,
                    'key': deployment.plaintexts[workspace.name],
                    'rate_per_s': workspace.rate_per_s * _OFFERED_RATE_SHARE,
                    'routes': routes,
                }
                for workspace in deployment.preset.workspaces.values()
            ],
        }
    )


def is_keyed_read(route: model.Route) -> bool:
    """Returns whether a route accepts GET requests and requires a key."""
    return 'GET' in route.methods and not route.open_to_all
