"""The network of a cluster, whose connections pass the fault proxy."""

from collections.abc import Iterable
from typing import Any

import attrs

from jayseam.standins import exchanges
from jayseam.standins import faultrules
from jayseam.standins import launchers
from jayseam.standins import vmlists

_PLATFORM = faultrules.Endpoint('platform', 'platform')


class Network:
    """Adds forwardings to a running fault proxy and injects faults.

    Args:
      launcher: Launcher that started the fault proxy and reserves its ports.
      control: Address of the control listener of the fault proxy.
    """

    def __init__(self, launcher: launchers.Launcher, control: tuple[str, int]):
        self._launcher = launcher
        self._control = control

    def control(self, action: str, **fields: Any) -> Any:
        """Calls a control action of the fault proxy."""
        return exchanges.call_control(
            self._control, f'/control/{action}', fields
        )

    def forward_source(self, zone: str, platform_port: int) -> int:
        """Returns a port at which a zone reaches the platform."""
        source = faultrules.Endpoint(zone, zone)
        return self._add_forwarding(
            f'platform/{zone}', platform_port, _PLATFORM, source
        )

    def forward_link(self, vm: str, zone: str, link_port: int) -> int:
        """Returns a port at which other nodes reach the links of a VM."""
        target = faultrules.Endpoint(vm, zone)
        return self._add_forwarding(f'link/{vm}', link_port, target, None)

    def register_process(self, vm: vmlists.Vm) -> None:
        """Registers the node process of a VM as a source of connections."""
        assert vm.process is not None
        endpoint = faultrules.Endpoint(vm.name, vm.zone)
        self.control(
            'sources', processes={str(vm.process.pid): attrs.asdict(endpoint)}
        )

    def partition(self, groups: Iterable[str | Iterable[str]]) -> None:
        """Separates groups of zones, VM names or ``platform``.

        A single string is a group with one name.
        """
        name_groups = [[g] if isinstance(g, str) else list(g) for g in groups]
        self.control('partition', groups=name_groups)

    def heal(self, rules: bool) -> None:
        """Ends the partition, and with ``rules`` all other network faults."""
        self.control('heal', rules=rules)

    def _add_forwarding(
        self,
        name: str,
        target_port: int,
        target: faultrules.Endpoint,
        source: faultrules.Endpoint | None,
    ) -> int:
        """Adds a forwarding on a reserved port and returns the port."""
        return self.control(
            'forwardings',
            name=name,
            port=self._launcher.reserve_port(),
            target_port=target_port,
            target=attrs.asdict(target),
            source=None if source is None else attrs.asdict(source),
        )['port']
