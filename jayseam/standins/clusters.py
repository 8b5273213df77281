"""Whole deployments as real processes on loopback.

A `Cluster` starts the platform, the backend servers, an optional fault proxy
and one ``jayseam-node`` process for each upstream of a preset. It ends only
processes that it started, by process id.

See Also:
  `jayseam.standins.plans` for what a cluster consists of;
  `jayseam.standins.invariants`, which checks what the backend servers ran.
"""

import copy
import signal
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs

from jayseam.standins import edits
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import launchers
from jayseam.standins import networks
from jayseam.standins import plans
from jayseam.standins import processes
from jayseam.standins import publications
from jayseam.standins import vmlists
from jayseam.standins import vmsettings
from jayseam.standins import waits

_HOST = vmlists.HOST

Address = tuple[str, int]


@attrs.frozen
class _BackendServer:
    """The port of a backend server and the control listener of its process."""

    port: int
    control: Address


class Cluster:
    """Starts and controls a deployment; use it as a context manager.

    Entering the context starts all processes and waits until every node serves.
    Leaving it ends them, and after an exception prints the last lines of their
    logs.

    Args:
      plan: Processes to start and their settings.
      start_nodes: Whether the nodes are started besides the stand-ins.
    """

    def __init__(self, plan: plans.ClusterPlan, start_nodes: bool = True):
        self.plan = plan
        self.preset: dict[str, Any] = copy.deepcopy(dict(plan.preset))
        self.keys: dict[str, Any] = copy.deepcopy(dict(plan.keys))
        self.vms: dict[str, vmlists.Vm] = {}
        self.launcher = launchers.Launcher(_HOST, plan.start_timeout_s)
        self.platform_port = 0
        self._start_nodes = start_nodes
        self._platform_control: Address | None = None
        self._network: networks.Network | None = None
        self._backend_hosts: list[Address] = []
        self._backends: dict[str, _BackendServer] = {}
        self._source_ports: dict[str, int] = {}
        self._n_created_vms = 0

    def __enter__(self) -> 'Cluster':
        try:
            self.start()
        except BaseException:
            self.launcher.show_logs()
            self.stop()
            raise
        return self

    def __exit__(self, kind: Any, error: Any, trace: Any) -> None:
        if error is not None:
            self.launcher.show_logs()
        self.stop()

    def start(self) -> None:
        """Starts all processes and waits until they serve.

        Raises:
          ClusterError: If a process ends or doesn't serve in time.
        """
        self.launcher.open()
        self._start_platform()
        if self.plan.fault_proxies:
            self._start_network()
        for upstream in self.preset['upstreams']:
            self._add_vm(upstream['name'], upstream['zone'])
        self._start_backends()
        self._publish_channel('keys', self.keys)
        self._publish_channel('preset', self.preset)
        self.publish_vms()
        if self._start_nodes:
            for vm in self.vms.values():
                self.start_node(vm)
            self.wait_serving()

    def stop(self) -> None:
        """Ends all processes of this cluster and removes its files."""
        self.launcher.close()

    # Processes of VMs.

    def kill(self, vm: str, backend: bool = True) -> None:
        """Crashes a VM: kills its node and stops its backend server.

        Args:
          vm: Name of the VM, which stays in the VM list.
          backend: Whether the backend server is stopped, too.
        """
        self._get_process(vm).kill()
        if backend:
            self.control_backend(self.vms[vm].upstream, 'stop')

    def pause(self, vm: str) -> None:
        """Pauses the node process of a VM (SIGSTOP)."""
        self._get_process(vm).send_signal(signal.SIGSTOP)

    def resume(self, vm: str) -> None:
        """Resumes a paused node process (SIGCONT)."""
        self._get_process(vm).send_signal(signal.SIGCONT)

    def terminate(
        self, vm: str, timeout_s: float = 30.0, listed: bool = True
    ) -> int:
        """Stops a node in a planned way (SIGTERM); returns its exit status.

        Args:
          vm: Name of the VM.
          timeout_s: Seconds until the process must have ended.
          listed: Whether the VM list is published with the VM as ``leaving``.

        Raises:
          ClusterError: If the process still runs after ``timeout_s`` seconds.
        """
        if listed:
            self.vms[vm].state = 'leaving'
            self.publish_vms()
        process = self._get_process(vm)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout_s)

    def restart(self, vm: str, graceful: bool = True) -> None:
        """Restarts the node of a VM, as a new incarnation.

        Args:
          vm: Name of the VM. Its backend server is started if it is down.
          graceful: Whether a running node is terminated instead of killed.
        """
        self._stop_node(vm, graceful, listed=False)
        self.control_backend(self.vms[vm].upstream, 'start')
        self.vms[vm].state = 'live'
        self.publish_vms()
        self.start_node(self.vms[vm])

    def replace(self, vm: str, graceful: bool = True) -> str:
        """Replaces a VM by a new one with its upstream; returns its name.

        Args:
          vm: Name of the old VM, which is removed from the VM list.
          graceful: Whether the old node is terminated instead of killed.
        """
        old_vm = self.vms[vm]
        self._stop_node(vm, graceful, listed=True)
        del self.vms[vm]
        for action in ('stop', 'start'):
            self.control_backend(old_vm.upstream, action)
        new_vm = self._add_vm(old_vm.upstream, old_vm.zone)
        self.control_backend(
            old_vm.upstream, 'node', host=_HOST, port=new_vm.caller_port
        )
        self.publish_vms()
        self.start_node(new_vm)
        return new_vm.name

    # Actions of operators.

    def publish(self, preset: Mapping[str, Any]) -> int:
        """Publishes a preset and returns its version."""
        self.preset = copy.deepcopy(dict(preset))
        return self._publish_channel('preset', self.preset)

    def publish_keys(self, keys: Mapping[str, Any]) -> int:
        """Publishes a key set and returns its version."""
        self.keys = copy.deepcopy(dict(keys))
        return self._publish_channel('keys', self.keys)

    def withdraw_key(self, key_id: str) -> int:
        """Publishes the key set without one key and returns its version."""
        return self.publish_keys(edits.remove_key(self.keys, key_id))

    def take_zone_out(self, zone: str) -> int:
        """Publishes the preset with a zone out of service."""
        return self.publish(edits.set_zone_in_service(self.preset, zone, False))

    def take_zone_in(self, zone: str) -> int:
        """Publishes the preset with a zone in service."""
        return self.publish(edits.set_zone_in_service(self.preset, zone, True))

    def publish_vms(self) -> int:
        """Publishes the VM list and returns its revision."""
        entries = vmlists.list_vms(self.vms.values())
        return self.publish_vm_entries(entries)

    def publish_vm_entries(self, entries: Iterable[dict[str, Any]]) -> int:
        """Publishes a VM list of arbitrary entries; returns its revision."""
        body = vmlists.encode_vm_list(entries)
        return self.control_platform('vms', body=body)['revision']

    # The network.

    def partition(self, *groups: str | Iterable[str]) -> None:
        """Separates groups of zones, VM names or ``platform``.

        A single string is a group with one name.

        Raises:
          ClusterError: If the plan has no fault proxies.
        """
        self._require_network().partition(groups)

    def heal(self, rules: bool = False) -> None:
        """Ends the partition, and with ``rules`` all other network faults.

        Raises:
          ClusterError: If the plan has no fault proxies.
        """
        self._require_network().heal(rules)

    # Control listeners.

    def control_platform(self, action: str, **fields: Any) -> Any:
        """Calls a control action of the platform."""
        assert self._platform_control is not None
        return exchanges.call_control(
            self._platform_control, f'/control/{action}', fields
        )

    def control_fault_proxy(self, action: str, **fields: Any) -> Any:
        """Calls a control action of the fault proxy.

        Raises:
          ClusterError: If the plan has no fault proxies.
        """
        return self._require_network().control(action, **fields)

    def control_backend(self, upstream: str, action: str, **fields: Any) -> Any:
        """Calls a control action of the backend server of an upstream."""
        fields['backend'] = upstream
        return exchanges.call_control(
            self._backends[upstream].control, f'/control/{action}', fields
        )

    def collect_runs(self) -> list[dict[str, Any]]:
        """Returns the runs of all backend servers, each with ``backend``."""
        return [
            {**run, 'backend': name}
            for name, runs in self._collect_by_backend('runs').items()
            for run in runs
        ]

    def collect_peaks(self, reset: bool = False) -> dict[str, dict[str, Any]]:
        """Returns the peaks of all backend servers by upstream."""
        return self._collect_by_backend('peaks', reset=reset)

    # Nodes.

    def read_status(self, vm: str, timeout_s: float = 2.0) -> dict[str, Any]:
        """Returns what a node's admin listener answers to ``GET /status``.

        Raises:
          ExchangeError: If the node doesn't answer in time.
        """
        address = (_HOST, self.vms[vm].admin_port)
        return exchanges.exchange_once(
            address, 'GET', '/status', timeout_s=timeout_s
        ).decode()

    def call(
        self,
        vm: str,
        path: str,
        key: str | None = None,
        method: str = 'GET',
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_s: float = 5.0,
    ) -> exchanges.Answer:
        """Makes one call to the caller listener of a node.

        Raises:
          ExchangeError: If no complete answer arrived.
        """
        fields = dict(headers or {})
        if key is not None:
            fields['Authorization'] = f'Bearer {key}'
        address = (_HOST, self.vms[vm].caller_port)
        return exchanges.exchange_once(
            address, method, path, fields, body, timeout_s
        )

    def list_targets(self) -> list[str]:
        """Returns the caller addresses of all VMs as ``host:port``."""
        return [f'{_HOST}:{vm.caller_port}' for vm in self.vms.values()]

    def wait_until(
        self,
        predicate: Callable[[], Any],
        timeout_s: float,
        reason: str = 'condition',
    ) -> Any:
        """Waits for a true result of ``predicate`` and returns it.

        See `waits.wait_until`.

        Raises:
          ClusterError: If the condition doesn't hold in time.
        """
        return waits.wait_until(predicate, timeout_s, reason)

    def wait_serving(self, vms: Iterable[str] | None = None) -> None:
        """Waits until nodes have the state ``serving``; all by default.

        Raises:
          ClusterError: If a node ends or doesn't serve in time.
        """
        for vm in list(self.vms if vms is None else vms):
            self.wait_until(
                lambda vm=vm: self._serves(vm),
                self.plan.start_timeout_s,
                f'{vm} is serving',
            )

    def _serves(self, vm: str) -> bool:
        process = self._get_process(vm)
        if process.returncode is not None:
            raise errors.ClusterError(
                f'{vm} ended with status {process.returncode}'
            )
        return self.read_status(vm).get('state') == 'serving'

    def _get_process(self, vm: str) -> processes.ManagedProcess:
        process = self.vms[vm].process
        if process is None:
            raise errors.ClusterError(f'{vm} has no node process')
        return process

    def _require_network(self) -> networks.Network:
        if self._network is None:
            raise errors.ClusterError('the plan has no fault proxies')
        return self._network

    def _collect_by_backend(self, action: str, **fields: Any) -> dict[str, Any]:
        """Calls a control action of all backend hosts; merges the answers."""
        collected: dict[str, Any] = {}
        for control in self._backend_hosts:
            collected.update(
                exchanges.call_control(control, f'/control/{action}', fields)
            )
        return collected

    def _stop_node(self, vm: str, graceful: bool, listed: bool) -> None:
        """Stops the node of a VM if it runs."""
        process = self._get_process(vm)
        if process.returncode is not None:
            return
        if graceful:
            self.terminate(vm, listed=listed)
        else:
            process.kill()

    # Startup.

    def start_node(self, vm: vmlists.Vm) -> None:
        """Starts the node process of a VM, without waiting for it."""
        settings = self.build_node_settings(vm)
        vm.process = self.launcher.launch(
            vm.name, self.plan.node_module, [], settings
        )
        if self._network is not None:
            self._network.register_process(vm)

    def build_node_settings(self, vm: vmlists.Vm) -> dict[str, Any]:
        """Returns the settings document of the node of a VM."""
        return vmsettings.build_node_settings(
            vm,
            self.plan,
            backend_port=self._backends[vm.upstream].port,
            source_port=self._source_ports.get(vm.zone, self.platform_port),
            members=self.vms.values(),
        )

    def _start_platform(self) -> None:
        self.platform_port = self.launcher.reserve_port()
        settings = {**self.plan.platform, 'port': self.platform_port}
        self._platform_control = self.launcher.launch_standin(
            'platform', 'platform', settings
        )

    def _start_network(self) -> None:
        control = self.launcher.launch_standin('faults', 'faults', {})
        self._network = networks.Network(self.launcher, control)
        for zone in self.preset['zones']:
            self._source_ports[zone['name']] = self._network.forward_source(
                zone['name'], self.platform_port
            )

    def _add_vm(self, upstream: str, zone: str) -> vmlists.Vm:
        self._n_created_vms += 1
        name = f'vm-{self._n_created_vms:03d}-{upstream}'
        regions = {
            entry['name']: entry['region'] for entry in self.preset['zones']
        }
        link_port = advertised_port = self.launcher.reserve_port()
        if self._network is not None:
            advertised_port = self._network.forward_link(name, zone, link_port)
        vm = vmlists.Vm(
            name=name,
            upstream=upstream,
            zone=zone,
            region=regions[zone],
            caller_port=self.launcher.reserve_port(),
            link_port=link_port,
            advertised_port=advertised_port,
            admin_port=self.launcher.reserve_port(),
        )
        self.vms[name] = vm
        return vm

    def _start_backends(self) -> None:
        """Starts processes with several backend servers each."""
        upstreams = self.preset['upstreams']
        size = self.plan.backends_per_process
        for first in range(0, len(upstreams), size):
            self._start_backend_host(
                f'backends-{first // size}',
                first,
                upstreams[first : first + size],
            )

    def _start_backend_host(
        self, name: str, first: int, upstreams: Sequence[Mapping[str, Any]]
    ) -> None:
        """Starts one process with backend servers.

        Args:
          name: Name of the process.
          first: Seed of the first backend server, increased by 1 for each of
            the others.
          upstreams: Entries of their upstreams in the preset.
        """
        node_ports = {vm.upstream: vm.caller_port for vm in self.vms.values()}
        settings = [
            vmsettings.build_backend_settings(
                upstream,
                self.plan,
                seed=seed,
                port=self.launcher.reserve_port(),
                node_port=node_ports[upstream['name']],
            )
            for seed, upstream in enumerate(upstreams, first)
        ]
        control = self.launcher.launch_standin(
            name, 'backend', {'backends': settings}
        )
        self._backend_hosts.append(control)
        for entry in settings:
            self._backends[entry['name']] = _BackendServer(
                entry['port'], control
            )

    def _publish_channel(
        self, channel: str, document: Mapping[str, Any]
    ) -> int:
        """Publishes a document and returns the version of its channel."""
        bundle = self.plan.split(channel, document)
        values = publications.list_values(channel, bundle)
        answer = self.control_platform('publish', values=values)
        return answer['revisions'][publications.build_pointer_key(channel)]
