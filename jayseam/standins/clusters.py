"""Whole deployments as real processes on loopback.

A `Cluster` starts the platform, the backend servers, optional fault proxies
and one ``jayseam-node`` process for each upstream of a preset. It ends only
processes that it started, by process id.

See Also:
  `jayseam.standins.referee`, which judges what the backend servers ran.
"""

import copy
import json
import pathlib
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.core import digests
from jayseam.presets import documents
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import processes

_HOST = '127.0.0.1'
_POLL_S = 0.05
_SEEDS_PER_ZONE = 2
_SHARED_STANDINS = ('platform', 'faults')


def split_document(channel: str, document: Mapping[str, Any]) -> Any:
    """Splits a preset or key set into its manifest and parts.

    Args:
      channel: ``preset`` or ``keys``.
      document: The whole document.

    Returns:
      A bundle with the bytes ``manifest`` and the dict ``parts`` from digest
      to bytes.
    """
    return getattr(documents, f'split_{channel}')(document)


@attrs.frozen
class ClusterPlan:
    """What a cluster consists of.

    Attributes:
      preset: Preset document. Each of its upstreams gets one VM.
      keys: Key-set document.
      fleet_secrets: Secrets of the links.
      secrets: Texts of workspace keys that backend servers watch for.
      node: Settings merged over those of each node, section by section.
      backend: Settings merged over those of each backend server.
      platform: Settings merged over those of the platform.
      fault_proxies: Whether links and reads of the platform pass through
        fault proxies.
      backends_per_process: Backend servers that share a process.
      start_timeout_s: Seconds until all nodes must serve.
      node_module: Module that each node process runs.
      split: Splits the document of a channel, as `split_document` does.
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
    split: Callable[[str, Mapping[str, Any]], Any] = split_document


@attrs.define
class Vm:
    """One VM: a position, the ports of its node, and its process.

    Attributes:
      name: Unique VM name.
      upstream: Name of its position.
      zone: Availability zone.
      region: Region of the zone.
      caller_port: Port for callers.
      link_port: Port that the node listens on for links.
      advertised_port: Port that other nodes dial.
      admin_port: Port of the admin listener.
      state: ``live`` or ``leaving`` in the VM list.
      process: The node process, once started.
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


@attrs.frozen
class _Position:
    """The backend server of an upstream and where to control it."""

    name: str
    zone: str
    port: int
    control: tuple[str, int]


def plan_deployment(deployment: Any, **options: Any) -> ClusterPlan:
    """Returns the plan of a sample deployment.

    Args:
      deployment: A `presets.samples.Deployment`.
      **options: Other attributes of the plan.
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


class Cluster:
    """Starts and governs a deployment; use it as a context manager.

    Entering starts all processes and waits until every node serves. Leaving
    ends them, and shows the ends of their logs after an exception.

    Args:
      plan: What to start.
      start_nodes: False starts the stand-ins only.
    """

    def __init__(self, plan: ClusterPlan, start_nodes: bool = True):
        self.plan = plan
        self.preset: dict[str, Any] = copy.deepcopy(dict(plan.preset))
        self.keys: dict[str, Any] = copy.deepcopy(dict(plan.keys))
        self.vms: dict[str, Vm] = {}
        self.directory: pathlib.Path | None = None
        self.platform_port = 0
        self._start_nodes = start_nodes
        self._ports = processes.PortReservations(_HOST)
        self._processes: list[processes.ManagedProcess] = []
        self._controls: dict[str, tuple[str, int]] = {}
        self._positions: dict[str, _Position] = {}
        self._source_ports: dict[str, int] = {}
        self._names = 0

    def __enter__(self) -> 'Cluster':
        try:
            self.start()
        except BaseException:
            self._show_logs()
            self.stop()
            raise
        return self

    def __exit__(self, kind: Any, error: Any, trace: Any) -> None:
        if error is not None:
            self._show_logs()
        self.stop()

    def start(self) -> None:
        """Starts all processes and waits until they serve.

        Raises:
          ClusterError: If a process ends or doesn't serve in time.
        """
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='jayseam-'))
        self._start_platform()
        if self.plan.fault_proxies:
            self._start_faults()
        upstreams = self.preset['upstreams']
        for upstream in upstreams:
            self._add_vm(upstream['name'], upstream['zone'])
        self._start_backends(upstreams)
        for channel, document in (('keys', self.keys), ('preset', self.preset)):
            self._publish_channel(channel, document)
        self.publish_vms()
        if self._start_nodes:
            for vm in self.vms.values():
                self._start_node(vm)
            self.wait_serving()

    def stop(self) -> None:
        """Ends all processes of this cluster and removes its files."""
        for process in reversed(self._processes):
            process.kill()
        self._processes.clear()
        self._ports.close()
        if self.directory is not None:
            shutil.rmtree(self.directory, ignore_errors=True)
            self.directory = None

    # Processes of VMs.

    def kill(self, vm: str, backend: bool = True) -> None:
        """Ends a VM without warning: its node and its backend server.

        Args:
          vm: Name of the VM. It stays in the VM list.
          backend: Whether the backend server ends too.
        """
        self._process_of(vm).kill()
        if backend:
            self.control_backend(self.vms[vm].upstream, 'stop')

    def pause(self, vm: str) -> None:
        """Stops the node process of a VM from running (SIGSTOP)."""
        self._process_of(vm).send_signal(signal.SIGSTOP)

    def resume(self, vm: str) -> None:
        """Lets a paused node process run on (SIGCONT)."""
        self._process_of(vm).send_signal(signal.SIGCONT)

    def terminate(
        self, vm: str, timeout_s: float = 30.0, listed: bool = True
    ) -> int:
        """Stops a node as planned and returns its exit status.

        Args:
          vm: Name of the VM.
          timeout_s: Seconds until the process must have ended.
          listed: Whether the VM list shows the VM as leaving.

        Raises:
          ClusterError: If it still runs then.
        """
        if listed:
            self.vms[vm].state = 'leaving'
            self.publish_vms()
        process = self._process_of(vm)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout_s)

    def restart(self, vm: str, graceful: bool = True) -> None:
        """Starts the node of a VM anew, as another incarnation.

        Args:
          vm: Name of the VM, whose backend server is started if it is down.
          graceful: Whether a running node is terminated, not killed.
        """
        process = self._process_of(vm)
        if process.returncode is None:
            if graceful:
                self.terminate(vm, listed=False)
            else:
                process.kill()
        self.control_backend(self.vms[vm].upstream, 'start')
        self.vms[vm].state = 'live'
        self.publish_vms()
        self._start_node(self.vms[vm])

    def replace(self, vm: str, graceful: bool = True) -> str:
        """Puts a new VM at the position of another and returns its name.

        Args:
          vm: The VM that goes. It leaves the VM list.
          graceful: Whether it is terminated, not killed.
        """
        leaving = self.vms[vm]
        process = self._process_of(vm)
        if process.returncode is None:
            if graceful:
                self.terminate(vm)
            else:
                process.kill()
        del self.vms[vm]
        for action in ('stop', 'start'):
            self.control_backend(leaving.upstream, action)
        arriving = self._add_vm(leaving.upstream, leaving.zone)
        self.control_backend(
            leaving.upstream, 'node', host=_HOST, port=arriving.caller_port
        )
        self.publish_vms()
        self._start_node(arriving)
        return arriving.name

    # What operators do.

    def publish(self, preset: Mapping[str, Any]) -> int:
        """Puts a preset in force and returns its version."""
        self.preset = copy.deepcopy(dict(preset))
        return self._publish_channel('preset', self.preset)

    def publish_keys(self, keys: Mapping[str, Any]) -> int:
        """Publishes a key set and returns its version."""
        self.keys = copy.deepcopy(dict(keys))
        return self._publish_channel('keys', self.keys)

    def withdraw_key(self, key_id: str) -> int:
        """Publishes the key set without one key and returns its version."""
        return self.publish_keys(remove_key(self.keys, key_id))

    def take_zone_out(self, zone: str) -> int:
        """Publishes the preset with a zone out of service."""
        return self.publish(set_zone_service(self.preset, zone, False))

    def take_zone_in(self, zone: str) -> int:
        """Publishes the preset with a zone in service."""
        return self.publish(set_zone_service(self.preset, zone, True))

    def publish_vms(self) -> int:
        """Publishes the VM list and returns its revision."""
        entries = [
            {
                'vm': vm.name,
                'upstream': vm.upstream,
                'zone': vm.zone,
                'region': vm.region,
                'host': _HOST,
                'port': vm.advertised_port,
                'state': vm.state,
            }
            for vm in self.vms.values()
        ]
        body = json.dumps({'vms': entries}, sort_keys=True)
        return self.control_platform('vms', body=body)['revision']

    # The network.

    def partition(self, *groups: Iterable[str]) -> None:
        """Parts groups of zones, VM names or ``platform`` from each other.

        A zone given as a string alone forms a group.
        """
        named = [[g] if isinstance(g, str) else list(g) for g in groups]
        self.control_faults('partition', groups=named)

    def heal(self, rules: bool = False) -> None:
        """Ends the partition, and with ``rules`` all other network faults."""
        self.control_faults('heal', rules=rules)

    # Control listeners.

    def control_platform(self, action: str, **fields: Any) -> Any:
        """Calls a control action of the platform."""
        return self._control('platform', action, fields)

    def control_faults(self, action: str, **fields: Any) -> Any:
        """Calls a control action of the fault proxy.

        Raises:
          ClusterError: If the plan has no fault proxies.
        """
        if 'faults' not in self._controls:
            raise errors.ClusterError('the plan has no fault proxies')
        return self._control('faults', action, fields)

    def control_backend(self, upstream: str, action: str, **fields: Any) -> Any:
        """Calls a control action of the backend server of a position."""
        position = self._positions[upstream]
        fields['backend'] = upstream
        return exchanges.call_control(
            position.control, f'/control/{action}', fields
        )

    def collect_runs(self) -> list[dict[str, Any]]:
        """Returns the runs of all backend servers, with ``backend`` added."""
        return [
            {**run, 'backend': name}
            for name, runs in self._collect('runs').items()
            for run in runs
        ]

    def collect_peaks(self, reset: bool = False) -> dict[str, dict[str, Any]]:
        """Returns the peaks of all backend servers by upstream."""
        return self._collect('peaks', reset=reset)

    # Nodes.

    def status(self, vm: str, timeout_s: float = 2.0) -> dict[str, Any]:
        """Returns the answer of a node to admin ``GET /status``.

        Raises:
          ExchangeError: If it doesn't answer within ``timeout_s`` seconds.
        """
        connection = exchanges.Connection(_HOST, self.vms[vm].admin_port)
        try:
            answer = connection.exchange(
                'GET', '/status', {}, timeout_s=timeout_s
            )
        finally:
            connection.close()
        return answer.decode()

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
          ExchangeError: If no whole answer arrived.
        """
        fields = dict(headers or {})
        if key is not None:
            fields['Authorization'] = f'Bearer {key}'
        connection = exchanges.Connection(_HOST, self.vms[vm].caller_port)
        try:
            return connection.exchange(method, path, fields, body, timeout_s)
        finally:
            connection.close()

    def targets(self) -> list[str]:
        """Returns the caller addresses of all VMs as ``host:port``."""
        return [f'{_HOST}:{vm.caller_port}' for vm in self.vms.values()]

    def wait_until(
        self,
        predicate: Callable[[], Any],
        timeout_s: float,
        reason: str = 'condition',
    ) -> Any:
        """Waits for a true result of ``predicate`` and returns it.

        An `ExchangeError` counts as not yet true. Other greenlets run on.

        Raises:
          ClusterError: If it isn't true within ``timeout_s`` seconds.
        """
        deadline = clocks.read_now() + timeout_s
        while True:
            try:
                result: Any = predicate()
            except errors.ExchangeError as error:
                result = None
                reason = f'{reason.partition(" [")[0]} [{error}]'
            if result:
                return result
            if clocks.read_now() >= deadline:
                raise errors.ClusterError(f'{reason}: not in {timeout_s} s')
            gevent.sleep(_POLL_S)

    def wait_serving(self, vms: Iterable[str] | None = None) -> None:
        """Waits until nodes have the state ``serving``; all by default.

        Raises:
          ClusterError: If one ends or doesn't serve in time.
        """
        for vm in list(self.vms if vms is None else vms):
            self.wait_until(
                lambda vm=vm: self._serves(vm),
                self.plan.start_timeout_s,
                f'{vm} is serving',
            )

    def _serves(self, vm: str) -> bool:
        process = self._process_of(vm)
        if process.returncode is not None:
            raise errors.ClusterError(
                f'{vm} ended with status {process.returncode}'
            )
        return self.status(vm).get('state') == 'serving'

    def _process_of(self, vm: str) -> processes.ManagedProcess:
        process = self.vms[vm].process
        if process is None:
            raise errors.ClusterError(f'{vm} has no node process')
        return process

    def _control(self, name: str, action: str, fields: Any) -> Any:
        return exchanges.call_control(
            self._controls[name], f'/control/{action}', fields
        )

    def _collect(self, action: str, **fields: Any) -> dict[str, Any]:
        collected: dict[str, Any] = {}
        for name in self._controls:
            if name not in _SHARED_STANDINS:
                collected.update(self._control(name, action, fields))
        return collected

    def _launch(
        self, name: str, module: str, words: Sequence[str], settings: Any
    ) -> processes.ManagedProcess:
        assert self.directory is not None
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        process = processes.ManagedProcess(
            name,
            [sys.executable, '-m', module, *words, '--settings', str(path)],
            self.directory / f'{name}.log',
        )
        self._processes.append(process)
        return process

    def _launch_standin(self, name: str, kind: str, settings: Any) -> None:
        """Starts a stand-in and waits for its control listener."""
        port = self._ports.reserve()
        settings = {**settings, 'host': _HOST, 'control_port': port}
        process = self._launch(name, 'jayseam.standins.main', [kind], settings)
        address = (_HOST, port)

        def answers() -> bool:
            if process.returncode is not None:
                raise errors.ClusterError(f'{name} ended at its start')
            connection = exchanges.Connection(*address)
            connection.exchange('GET', '/', {})
            connection.close()
            return True

        self.wait_until(answers, self.plan.start_timeout_s, name)
        self._controls[name] = address

    def _start_platform(self) -> None:
        self.platform_port = self._ports.reserve()
        settings = {**self.plan.platform, 'port': self.platform_port}
        self._launch_standin('platform', 'platform', settings)

    def _start_faults(self) -> None:
        self._launch_standin('faults', 'faults', {})
        for zone in self.preset['zones']:
            self._source_ports[zone['name']] = self._forward(
                f'platform/{zone["name"]}',
                self.platform_port,
                ('platform', 'platform'),
                (zone['name'], zone['name']),
            )

    def _forward(
        self,
        name: str,
        target_port: int,
        target: tuple[str, str],
        source: tuple[str, str] | None,
    ) -> int:
        """Adds a forwarding on a reserved port and returns the port."""
        ends = [
            None if end is None else {'name': end[0], 'group': end[1]}
            for end in (target, source)
        ]
        return self.control_faults(
            'forwardings',
            name=name,
            port=self._ports.reserve(),
            target_port=target_port,
            target=ends[0],
            source=ends[1],
        )['port']

    def _add_vm(self, upstream: str, zone: str) -> Vm:
        self._names += 1
        name = f'vm-{self._names:03d}-{upstream}'
        regions = {
            entry['name']: entry['region'] for entry in self.preset['zones']
        }
        link_port = advertised = self._ports.reserve()
        if self.plan.fault_proxies:
            advertised = self._forward(
                f'link/{name}', link_port, (name, zone), None
            )
        vm = Vm(
            name=name,
            upstream=upstream,
            zone=zone,
            region=regions[zone],
            caller_port=self._ports.reserve(),
            link_port=link_port,
            advertised_port=advertised,
            admin_port=self._ports.reserve(),
        )
        self.vms[name] = vm
        return vm

    def _start_backends(self, upstreams: Sequence[Mapping[str, Any]]) -> None:
        nodes = {vm.upstream: vm.caller_port for vm in self.vms.values()}
        size = self.plan.backends_per_process
        for first in range(0, len(upstreams), size):
            name = f'backends-{first // size}'
            settings = []
            for number, upstream in enumerate(upstreams[first : first + size]):
                settings.append(
                    {
                        'slots': upstream['slots'],
                        'connections': upstream['connections'],
                        'seed': first + number,
                        **self.plan.backend,
                        'name': upstream['name'],
                        'port': self._ports.reserve(),
                        'node_port': nodes[upstream['name']],
                        'secrets': list(self.plan.secrets),
                    }
                )
            self._launch_standin(name, 'backend', {'backends': settings})
            for upstream, entry in zip(upstreams[first:], settings):
                self._positions[entry['name']] = _Position(
                    entry['name'],
                    upstream['zone'],
                    entry['port'],
                    self._controls[name],
                )

    def _start_node(self, vm: Vm) -> None:
        settings = self.build_node_settings(vm)
        vm.process = self._launch(vm.name, self.plan.node_module, [], settings)
        if self.plan.fault_proxies:
            endpoint = {'name': vm.name, 'group': vm.zone}
            self.control_faults(
                'sources', processes={str(vm.process.pid): endpoint}
            )

    def build_node_settings(self, vm: Vm) -> dict[str, Any]:
        """Returns the settings document of the node of a VM."""
        source_port = self._source_ports.get(vm.zone, self.platform_port)
        settings: dict[str, Any] = {
            'vm': vm.name,
            'region': vm.region,
            'zone': vm.zone,
            'upstream': vm.upstream,
            'caller': {'host': _HOST, 'port': vm.caller_port},
            'link': {
                'host': _HOST,
                'port': vm.link_port,
                'advertise_host': _HOST,
                'advertise_port': vm.advertised_port,
            },
            'admin': {'host': _HOST, 'port': vm.admin_port},
            'backend': {
                'host': _HOST,
                'port': self._positions[vm.upstream].port,
            },
            'source': {'urls': [f'http://{_HOST}:{source_port}']},
            'seeds': self._choose_seeds(vm),
            'fleet_secrets': list(self.plan.fleet_secrets),
        }
        for name, value in self.plan.node.items():
            held = settings.get(name)
            if isinstance(held, dict) and isinstance(value, Mapping):
                settings[name] = {**held, **value}
            else:
                settings[name] = value
        return settings

    def _choose_seeds(self, vm: Vm) -> list[dict[str, Any]]:
        """Returns the first VMs of each zone, without ``vm`` itself."""
        zones: dict[str, list[Vm]] = {}
        for other in self.vms.values():
            if other.name != vm.name:
                zones.setdefault(other.zone, []).append(other)
        return [
            {
                'vm': seed.name,
                'zone': seed.zone,
                'host': _HOST,
                'port': seed.advertised_port,
            }
            for members in zones.values()
            for seed in members[:_SEEDS_PER_ZONE]
        ]

    def _publish_channel(
        self, channel: str, document: Mapping[str, Any]
    ) -> int:
        """Publishes parts and manifest first and the pointer last."""
        bundle = self.plan.split(channel, document)
        values = dict(bundle.parts)
        manifest = digests.compute_digest(bundle.manifest)
        values[manifest] = bundle.manifest
        entries = [
            {'key': f'parts/{digest}', 'value': data.decode()}
            for digest, data in values.items()
        ]
        key = f'channels/{channel}'
        pointer = json.dumps({'manifest': manifest})
        entries.append({'key': key, 'value': pointer})
        answer = self.control_platform('publish', values=entries)
        return answer['revisions'][key]

    def _show_logs(self) -> None:
        for process in self._processes:
            tail = process.read_tail()
            if tail:
                status = process.returncode
                print(
                    f'--- {process.name} (status {status})\n{tail}',
                    file=sys.stderr,
                )


def set_zone_service(
    preset: Mapping[str, Any], zone: str, in_service: bool
) -> dict[str, Any]:
    """Returns the preset with one zone in or out of service.

    >>> before = {'zones': [{'name': 'a', 'in_service': True}]}
    >>> set_zone_service(before, 'a', False)
    {'zones': [{'name': 'a', 'in_service': False}]}

    Raises:
      ClusterError: If the preset has no such zone.
    """
    changed = copy.deepcopy(dict(preset))
    found = [entry for entry in changed['zones'] if entry['name'] == zone]
    if not found:
        raise errors.ClusterError(f'no zone {zone!r}')
    found[0]['in_service'] = in_service
    return changed


def remove_key(keys: Mapping[str, Any], key_id: str) -> dict[str, Any]:
    """Returns the key set without one key.

    >>> remove_key({'keys': [{'key_id': 'k1'}, {'key_id': 'k2'}]}, 'k1')
    {'keys': [{'key_id': 'k2'}]}

    Raises:
      ClusterError: If the key set has no such key.
    """
    kept = [entry for entry in keys['keys'] if entry['key_id'] != key_id]
    if len(kept) == len(keys['keys']):
        raise errors.ClusterError(f'no key {key_id!r}')
    return {**keys, 'keys': kept}
