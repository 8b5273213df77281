"""What the kernel and the admin listeners tell about node processes."""

import os
import pathlib
from collections.abc import Mapping

import attrs
from prometheus_client import parser
from prometheus_client import samples

from jayseam.core import clocks
from jayseam.standins import clusters
from jayseam.standins import exchanges
from jayseam.standins import vmlists

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_UTIME_FIELD = 11
_KIB = 1024
_LINK_BYTES = 'jayseam_link_bytes'


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


class CpuMeter:
    """Processor time that processes use from the creation of the meter on.

    >>> meter = CpuMeter({'self': os.getpid()})
    >>> meter.read_used_s()['self'] >= 0
    True

    Args:
      pids: Process ids by name.
    """

    def __init__(self, pids: Mapping[str, int]):
        self._pids = dict(pids)
        self._before_s = self._read_all_s()
        self._started = clocks.read_now()

    def read_used_s(self) -> dict[str, float]:
        """Returns the processor time of each process in seconds."""
        return {
            name: used_s - self._before_s[name]
            for name, used_s in self._read_all_s().items()
        }

    def read_shares(self) -> dict[str, float]:
        """Returns the share of a core that each process used."""
        used_s = self.read_used_s()
        elapsed_s = clocks.read_now() - self._started
        return {name: value / elapsed_s for name, value in used_s.items()}

    def _read_all_s(self) -> dict[str, float]:
        return {name: read_cpu_s(pid) for name, pid in self._pids.items()}


def read_smaps(pid: int | str) -> dict[str, int]:
    """Returns the sums over the mappings of a process, in bytes.

    >>> read_smaps('self')['Rss'] > 1_000_000
    True

    Args:
      pid: Process id, or ``self`` for this process.

    References:
      proc(5), on ``/proc/pid/smaps_rollup``.
    """
    path = pathlib.Path(f'/proc/{pid}/smaps_rollup')
    sums = {}
    for line in path.read_text(encoding='ascii').splitlines()[1:]:
        name, _, rest = line.partition(':')
        sums[name] = int(rest.split()[0]) * _KIB
    return sums


def read_memory(pid: int) -> Memory:
    """Returns the memory of a process.

    >>> read_memory(os.getpid()).rss_mb > 1
    True
    """
    sums = read_smaps(pid)
    return Memory(sums['Rss'] / 1e6, sums['Pss'] / 1e6)


def read_metrics(cluster: clusters.Cluster, vm: str) -> str:
    """Returns the text of ``/metrics`` of a node."""
    address = (vmlists.HOST, cluster.vms[vm].admin_port)
    return exchanges.exchange_once(address, 'GET', '/metrics').body.decode()


def read_samples(
    cluster: clusters.Cluster, vm: str, name: str
) -> list[samples.Sample]:
    """Returns the samples of a metric family of a node."""
    text = read_metrics(cluster, vm)
    return [
        sample
        for family in parser.text_string_to_metric_families(text)
        if family.name == name
        for sample in family.samples
    ]


def read_gauges(
    cluster: clusters.Cluster, vm: str, name: str
) -> dict[tuple[str, ...], float]:
    """Returns the values of a gauge by its labels in alphabetical order."""
    return {
        tuple(v for _, v in sorted(sample.labels.items())): sample.value
        for sample in read_samples(cluster, vm, name)
    }


def read_link_bytes(
    cluster: clusters.Cluster, vm: str
) -> dict[tuple[str, str], float]:
    """Returns the bytes on links of a node by direction and message."""
    return {
        (sample.labels['direction'], sample.labels['message']): sample.value
        for sample in read_samples(cluster, vm, _LINK_BYTES)
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
