"""Settings documents of the node and backend server of each VM."""

from collections.abc import Iterable, Mapping
from typing import Any

from jayseam.standins import plans
from jayseam.standins import vmlists

_SEEDS_PER_ZONE = 2


def build_node_settings(
    vm: vmlists.Vm,
    plan: plans.ClusterPlan,
    backend_port: int,
    source_port: int,
    members: Iterable[vmlists.Vm],
) -> dict[str, Any]:
    """Returns the settings document of a node.

    Args:
      vm: The VM of the node.
      plan: Plan of the cluster; its section ``node`` overrides the other
        settings.
      backend_port: Port of the node's backend server.
      source_port: Port at which the node reads the platform.
      members: All VMs of the cluster, from which the seeds are chosen.
    """
    settings: dict[str, Any] = {
        'vm': vm.name,
        'region': vm.region,
        'zone': vm.zone,
        'upstream': vm.upstream,
        'caller': {'host': vmlists.HOST, 'port': vm.caller_port},
        'link': {
            'host': vmlists.HOST,
            'port': vm.link_port,
            'advertise_host': vmlists.HOST,
            'advertise_port': vm.advertised_port,
        },
        'admin': {'host': vmlists.HOST, 'port': vm.admin_port},
        'backend': {'host': vmlists.HOST, 'port': backend_port},
        'source': {'urls': [f'http://{vmlists.HOST}:{source_port}']},
        'seeds': choose_seeds(vm, members),
        'fleet_secrets': list(plan.fleet_secrets),
    }
    return merge_sections(settings, plan.node)


def merge_sections(
    settings: Mapping[str, Any], changes: Mapping[str, Any]
) -> dict[str, Any]:
    """Returns settings with changes merged into their sections.

    >>> merge_sections({'a': {'x': 1, 'y': 2}, 'b': 3}, {'a': {'x': 5}, 'b': 4})
    {'a': {'x': 5, 'y': 2}, 'b': 4}
    """
    merged = dict(settings)
    for name, value in changes.items():
        current = merged.get(name)
        if isinstance(current, dict) and isinstance(value, Mapping):
            merged[name] = {**current, **value}
        else:
            merged[name] = value
    return merged


def choose_seeds(
    vm: vmlists.Vm, members: Iterable[vmlists.Vm]
) -> list[dict[str, Any]]:
    """Returns the seeds of a VM: the first other VMs of each zone."""
    zones: dict[str, list[vmlists.Vm]] = {}
    for other in members:
        if other.name != vm.name:
            zones.setdefault(other.zone, []).append(other)
    return [
        {
            'vm': seed.name,
            'zone': seed.zone,
            'host': vmlists.HOST,
            'port': seed.advertised_port,
        }
        for in_zone in zones.values()
        for seed in in_zone[:_SEEDS_PER_ZONE]
    ]


def build_backend_settings(
    upstream: Mapping[str, Any],
    plan: plans.ClusterPlan,
    seed: int,
    port: int,
    node_port: int,
) -> dict[str, Any]:
    """Returns the settings document of a backend server.

    Args:
      upstream: Entry of the server's upstream in the preset.
      plan: Plan of the cluster; its section ``backend`` overrides slots,
        connections and seed.
      seed: Seed of run times and faults.
      port: Port to listen on.
      node_port: Caller port of the node beside the server.
    """
    return {
        'slots': upstream['slots'],
        'connections': upstream['connections'],
        'seed': seed,
        **plan.backend,
        'name': upstream['name'],
        'port': port,
        'node_port': node_port,
        'secrets': list(plan.secrets),
    }
