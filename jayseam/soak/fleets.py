"""Nodes of the operators' platform as processes, and their backend servers."""

import itertools
import pathlib
import shutil
import signal
import tempfile
from collections.abc import Iterator, Sequence

import attrs

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import kvstore
from jayseam.standins import machines
from jayseam.standins import processes
from jayseam.standins import serving
from jayseam.standins import waits
from jayseam.standins import workingbackends

ZONES = ('a', 'b')
_STORE_HOST = '127.0.0.1'
_VM_HOST_PREFIX = '127.0.2.'
_NODE_MODULE = 'jayseam.bootstrap'
# Time from SIGTERM to SIGKILL: the platform's ``grace``.
GRACE_S = 6.0
_START_TIMEOUT_S = 30.0
_READY_TIMEOUT_S = 1.0
# Requests that a backend server says it can work on at a time. The callers'
# requests fit into half of the servers.
_SLOTS = 8


@attrs.define
class Span:
    """A period of time.

    Attributes:
      start: Start in seconds.
      end: End in seconds; infinite while the period lasts.
    """

    start: float
    end: float = float('inf')

    def overlaps(self, start: float, end: float) -> bool:
        """Returns whether it shares a moment with another period."""
        return self.start <= end and start <= self.end


@attrs.define
class Vm:
    """A VM with its backend server and node.

    Attributes:
      ip: Address of the VM, by which the platform names it.
      zone: Availability zone.
      backend: The backend server.
      process: The node process that was started last.
      boots: Lifetimes of the node processes.
      disruptions: Periods in which the node was stopped, paused or killed.
      faults: The disruptions that weren't planned.
      reloads: Times at which the node was told to read its settings again.
    """

    ip: str
    zone: str
    backend: workingbackends.WorkingBackend
    process: processes.ManagedProcess | None = None
    boots: list[Span] = attrs.field(factory=list)
    disruptions: list[Span] = attrs.field(factory=list)
    faults: list[Span] = attrs.field(factory=list)
    reloads: list[float] = attrs.field(factory=list)


@attrs.frozen
class _Ports:
    """Ports of the listeners, the same on all VMs."""

    inbound: int
    outbound: int
    ready: int
    admin: int
    app: int


class Fleet:
    """Runs nodes and backend servers on loopback addresses, and a store.

    Args:
      n_vms: Number of VMs, divided among the zones in turn.
      refused: Names of the calls of the operating system that are refused to
        the nodes, and of other differences; see `jayseam.standins.machines`.

    Attributes:
      directory: Directory of settings and logs.
      store: The platform's store.
      vms: VMs by address.
    """

    def __init__(self, n_vms: int, refused: Sequence[str] = ()):
        self._refused = refused
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='jayseam-'))
        self.store = kvstore.KeyValueStore()
        self.vms: dict[str, Vm] = {}
        self._reservations = processes.PortReservations()
        self._ports = _Ports(*(self._reservations.reserve() for _ in range(5)))
        self._instance_numbers = itertools.count(1)
        self._store_server = kvstore.serve_store(self.store, _STORE_HOST)
        self._servers: list[serving.Server] = [self._store_server]
        zones = itertools.cycle(ZONES)
        for number in range(1, n_vms + 1):
            self._add_vm(f'{_VM_HOST_PREFIX}{number}', next(zones))

    def close(self) -> None:
        """Ends all processes and servers and removes the directory."""
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.kill()
        for server in self._servers:
            server.stop_at_once()
        self._reservations.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def list_ips(self, zone: str) -> Sequence[str]:
        """Returns the addresses of the VMs of a zone."""
        return [vm.ip for vm in self.vms.values() if vm.zone == zone]

    def draw_instance(self) -> str:
        """Returns an identifier for a new start of a backend server."""
        return f'i-{next(self._instance_numbers)}'

    def build_entry(self, ip: str, state: str, sequence: int) -> dict:
        """Returns the store's entry of a backend server."""
        vm = self.vms[ip]
        return samples.build_entry(
            f'{ip}:{self._ports.app}',
            zone=vm.zone,
            state=state,
            sequence=sequence,
            born=clocks.read_wall_ms(),
            slots=_SLOTS,
        )

    def get_caller_address(self, ip: str) -> tuple[str, int]:
        """Returns the address to which callers on a VM send calls."""
        return ip, self._ports.outbound

    def get_admin_address(self, ip: str) -> tuple[str, int]:
        """Returns the address at which a node answers operators."""
        return ip, self._ports.admin

    def list_exit_statuses(self) -> Iterator[tuple[str, int]]:
        """Yields the nodes whose process has ended, with its exit status."""
        for vm in self.vms.values():
            status = None if vm.process is None else vm.process.returncode
            if status is not None:
                yield vm.ip, status

    # Processes. A disruption lasts until the process runs again.

    def start_all(self) -> None:
        """Starts all nodes.

        Raises:
          ClusterError: If a node isn't ready in time.
        """
        for ip in self.vms:
            self.start(ip)
        for ip in self.vms:
            waits.wait_until(
                lambda ip=ip: self.is_ready(ip), _START_TIMEOUT_S, ip
            )

    def start(self, ip: str) -> None:
        """Starts the node of a VM."""
        vm = self.vms[ip]
        path = self._get_settings_path(ip)
        vm.process = processes.ManagedProcess(
            f'node {ip}',
            machines.build_command(
                self._refused, _NODE_MODULE, ['--settings', str(path)]
            ),
            self.directory / f'{ip}.log',
        )
        now = clocks.read_now()
        vm.boots.append(Span(now))
        self._end_disruption(vm, now)

    def kill(self, ip: str) -> None:
        """Ends a node with SIGKILL."""
        vm = self._begin_disruption(ip)
        assert vm.process is not None
        vm.process.kill()
        vm.boots[-1].end = clocks.read_now()

    def pause(self, ip: str) -> None:
        """Pauses a node (SIGSTOP)."""
        vm = self._begin_disruption(ip)
        assert vm.process is not None
        vm.process.send_signal(signal.SIGSTOP)

    def resume(self, ip: str) -> None:
        """Ends the pause of a node (SIGCONT)."""
        vm = self.vms[ip]
        assert vm.process is not None
        vm.process.send_signal(signal.SIGCONT)
        self._end_disruption(vm, clocks.read_now())

    def terminate(self, ip: str) -> int:
        """Stops a node as planned: SIGTERM, and SIGKILL after the grace.

        Returns:
          The exit status; negative if a signal ended the process.
        """
        vm = self._begin_disruption(ip, is_planned=True)
        assert vm.process is not None
        vm.process.send_signal(signal.SIGTERM)
        try:
            return vm.process.wait(GRACE_S)
        except errors.ClusterError:
            vm.process.kill()
            return -signal.SIGKILL
        finally:
            vm.boots[-1].end = clocks.read_now()

    def send_signal(self, ip: str, number: signal.Signals) -> None:
        """Sends a signal that a node is expected to survive."""
        vm = self.vms[ip]
        assert vm.process is not None
        if number == signal.SIGHUP:
            vm.reloads.append(clocks.read_now())
        vm.process.send_signal(number)

    def read_settings(self, ip: str) -> str:
        """Returns the text of a node's settings file."""
        return self._get_settings_path(ip).read_text(encoding='utf-8')

    def write_settings(self, ip: str, text: str) -> None:
        """Replaces a node's settings file."""
        self._get_settings_path(ip).write_text(text, encoding='utf-8')

    def read_log(self, ip: str) -> str:
        """Returns what the processes of a node have logged."""
        path = self.directory / f'{ip}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def is_ready(self, ip: str) -> bool:
        """Returns whether a node reports that it is ready."""
        address = (ip, self._ports.ready)
        try:
            answer = exchanges.exchange_once(
                address, 'GET', '/jayseam/ready', timeout_s=_READY_TIMEOUT_S
            )
        except errors.ExchangeError:
            return False
        return answer.status == 200

    def _begin_disruption(self, ip: str, is_planned: bool = False) -> Vm:
        vm = self.vms[ip]
        vm.disruptions.append(Span(clocks.read_now()))
        if not is_planned:
            vm.faults.append(vm.disruptions[-1])
        return vm

    def _get_settings_path(self, ip: str) -> pathlib.Path:
        return self.directory / f'{ip}.conf'

    def _end_disruption(self, vm: Vm, now: float) -> None:
        if vm.disruptions:
            vm.disruptions[-1].end = min(vm.disruptions[-1].end, now)

    def _add_vm(self, ip: str, zone: str) -> None:
        """Starts the backend server of a VM and writes the node's settings."""
        ports = self._ports
        backend = workingbackends.WorkingBackend(self.draw_instance())
        server = serving.Server((ip, ports.app), backend)
        server.start()
        self._servers.append(server)
        self.vms[ip] = Vm(ip, zone, backend)
        text = samples.build_settings(
            ip,
            zone,
            f'{_STORE_HOST}:{self._store_server.server_port}',
            **{
                'self.app_address': f'{ip}:{ports.app}',
                'network.listen.inbound': f'{ip}:{ports.inbound}',
                'network.listen.outbound': f'{ip}:{ports.outbound}',
                'network.listen.ready': f'{ip}:{ports.ready}',
                'network.internal_ports': f'{ports.admin},{ports.admin}',
            },
        )
        self.write_settings(ip, text)
