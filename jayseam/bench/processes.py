"""What the kernel and the admin listeners tell about node processes."""

import os
import pathlib
from collections.abc import Mapping

import attrs
from prometheus_client import parser

from jayseam.standins import clusters
from jayseam.standins import exchanges

_HOST = '127.0.0.1'
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_UTIME_FIELD = 11
_KIB = 1024


@attrs.frozen
class Memory:
    """Memory of a process in megabytes (1e6 bytes).

    Attributes:
      rss_mb: Resident set.
      pss_mb: Resident set with shared pages divided among their users.
    """

    rss_mb: float
    pss_mb: float


def read_cpu_s(pid: int) -> float:
    """Returns the processor time of a process in seconds.

    >>> read_cpu_s(os.getpid()) > 0
    True
    """
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    # The name in parentheses may hold spaces.
    fields = text.rpartition(')')[2].split()
    user, system = fields[_UTIME_FIELD : _UTIME_FIELD + 2]
    return (int(user) + int(system)) / _TICKS_PER_S


def read_memory(pid: int) -> Memory:
    """Returns the memory of a process.

    >>> read_memory(os.getpid()).rss_mb > 1
    True
    """
    path = pathlib.Path(f'/proc/{pid}/smaps_rollup')
    values = {}
    for line in path.read_text(encoding='ascii').splitlines()[1:]:
        name, _, rest = line.partition(':')
        values[name] = int(rest.split()[0]) * _KIB / 1e6
    return Memory(values['Rss'], values['Pss'])


def read_metrics(cluster: clusters.Cluster, vm: str) -> str:
    """Returns the text of ``/metrics`` of a node."""
    address = (_HOST, cluster.vms[vm].admin_port)
    return exchanges.exchange_once(address, 'GET', '/metrics').body.decode()


def read_gauges(
    cluster: clusters.Cluster, vm: str, name: str
) -> dict[tuple[str, ...], float]:
    """Returns the values of a gauge by its labels in alphabetical order."""
    return {
        tuple(v for _, v in sorted(sample.labels.items())): sample.value
        for family in parser.text_string_to_metric_families(
            read_metrics(cluster, vm)
        )
        if family.name == name
        for sample in family.samples
    }


def read_link_bytes(
    cluster: clusters.Cluster, vm: str
) -> dict[tuple[str, str], float]:
    """Returns the bytes on links of a node by direction and message."""
    return {
        (sample.labels['direction'], sample.labels['message']): sample.value
        for family in parser.text_string_to_metric_families(
            read_metrics(cluster, vm)
        )
        if family.name == 'jayseam_link_bytes'
        for sample in family.samples
        if sample.name.endswith('_total')
    }


def subtract(
    after: Mapping[tuple[str, str], float],
    before: Mapping[tuple[str, str], float],
) -> dict[tuple[str, str], float]:
    """Returns what was added to counters that never decrease.

    >>> subtract({('sent', 'Heartbeat'): 5.0}, {('sent', 'Heartbeat'): 2.0})
    {('sent', 'Heartbeat'): 3.0}
    """
    return {name: value - before.get(name, 0) for name, value in after.items()}
