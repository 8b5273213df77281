"""VMs of a cluster and the VM list that the platform serves."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

from jayseam.standins import processes

HOST = '127.0.0.1'


@attrs.define
class Vm:
    """One VM: its upstream, the ports of its node, and the node process.

    Attributes:
      name: Unique VM name.
      upstream: Name of the upstream that the VM serves.
      zone: Availability zone.
      region: Region of the zone.
      caller_port: Port for callers.
      link_port: Port that the node listens on for links.
      advertised_port: Port that other nodes connect to for links.
      admin_port: Port of the admin listener.
      state: ``live`` or ``leaving`` in the VM list.
      process: The node process; None before its start.
    """

    name: str
    upstream: str
    zone: str
    region: str
    caller_port: int
    link_port: int
    advertised_port: int
    admin_port: int
    state: str = 'live'
    process: processes.ManagedProcess | None = None


def list_vms(vms: Iterable[Vm]) -> list[dict[str, Any]]:
    """Returns the VM list entries of VMs."""
    return [
        {
            'vm': vm.name,
            'upstream': vm.upstream,
            'zone': vm.zone,
            'region': vm.region,
            'host': HOST,
            'port': vm.advertised_port,
            'state': vm.state,
        }
        for vm in vms
    ]


def encode_vm_list(entries: Iterable[dict[str, Any]]) -> str:
    """Returns the body of a VM list.

    >>> encode_vm_list([{'vm': 'vm-1', 'state': 'live'}])
    '{"vms": [{"state": "live", "vm": "vm-1"}]}'
    """
    return json.dumps({'vms': list(entries)}, sort_keys=True)
