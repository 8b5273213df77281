"""Plans of clusters: the processes to start and their settings."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs

from jayseam.presets import documents
from jayseam.presets import samples
from jayseam.standins import publications


@attrs.frozen
class ClusterPlan:
    """The documents, processes and settings of a cluster.

    Attributes:
      preset: Preset document. Each of its upstreams gets one VM.
      keys: Key-set document.
      fleet_secrets: Secrets with which nodes authenticate their links.
      secrets: Secret parts of workspace keys. Backend servers record the
        requests that contain one.
      node: Settings merged over those of each node, section by section.
      backend: Settings merged over those of each backend server.
      platform: Settings merged over those of the platform.
      fault_proxies: Whether links and reads of the platform pass through the
        fault proxy.
      backends_per_process: Number of backend servers in one process.
      start_timeout_s: Seconds until all nodes must serve.
      node_module: Module that each node process runs.
      split: Splits the document of a channel, as
        `publications.split_document` does.
    """

    preset: Mapping[str, Any]
    keys: Mapping[str, Any]
    fleet_secrets: Sequence[str] = ('standin-fleet-secret-1',)
    secrets: Sequence[str] = ()
    node: Mapping[str, Any] = attrs.field(factory=dict)
    backend: Mapping[str, Any] = attrs.field(factory=dict)
    platform: Mapping[str, Any] = attrs.field(factory=dict)
    fault_proxies: bool = False
    backends_per_process: int = 12
    start_timeout_s: float = 20.0
    node_module: str = 'jayseam.node.main'
    split: Callable[[str, Mapping[str, Any]], documents.Bundle] = (
        publications.split_document
    )


def plan_deployment(
    deployment: samples.Deployment, **options: Any
) -> ClusterPlan:
    """Returns the plan of a sample deployment.

    Args:
      deployment: The deployment.
      **options: Further attributes of the plan.
    """
    return ClusterPlan(
        preset=documents.dump_preset(deployment.preset),
        keys=documents.dump_keys(deployment.key_set),
        secrets=[
            plaintext.partition('.')[2]
            for plaintext in deployment.plaintexts.values()
        ],
        **options,
    )
