"""Measurements of node processes from the kernel and admin listeners."""

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
# Index of utime among the fields after the process name, see proc(5).
_UTIME_FIELD = 11
_KIB = 1024
_LINK_BYTES_METRIC = 'jayseam_link_bytes'


@attrs.frozen
class Memory:
    """Memory use of a process in megabytes (1e6 bytes).

    Attributes:
      rss_mb: Resident set size.
      pss_mb: Proportional set size: shared pages are divided by the number of
        processes that map them.
    """

    rss_mb: float
    pss_mb: float


def read_cpu_s(pid: int) -> float:
    """Returns the processor time of a process in seconds.

    >>> read_cpu_s(os.getpid()) > 0
    True
    """
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    # The process name is in parentheses and may contain spaces.
    fields = text.rpartition(')')[2].split()
    user, system = fields[_UTIME_FIELD : _UTIME_FIELD + 2]
    return (int(user) + int(system)) / _TICKS_PER_S


class CpuMeter:
    """Measures the processor time of processes since the meter was created.

    >>> meter = CpuMeter({'self': os.getpid()})
    >>> meter.read_used_s()['self'] >= 0
    True

    Args:
      pids: Process ids by name.
    """

    def __init__(self, pids: Mapping[str, int]):
        self._pids = dict(pids)
        self._initial_cpu_s = self._read_all_cpu_s()
        self._started_at = clocks.read_now()

    def read_used_s(self) -> dict[str, float]:
        """Returns the processor time of each process in seconds."""
        return {
            name: cpu_s - self._initial_cpu_s[name]
            for name, cpu_s in self._read_all_cpu_s().items()
        }

    def read_shares(self) -> dict[str, float]:
        """Returns the share of a core that each process used."""
        cpu_s = self.read_used_s()
        elapsed_s = clocks.read_now() - self._started_at
        return {name: value / elapsed_s for name, value in cpu_s.items()}

    def _read_all_cpu_s(self) -> dict[str, float]:
        return {name: read_cpu_s(pid) for name, pid in self._pids.items()}


def read_smaps(pid: int | str) -> dict[str, int]:
    """Returns memory totals over all mappings of a process, in bytes.

    >>> read_smaps('self')['Rss'] > 1_000_000
    True

    Args:
      pid: Process id, or ``self`` for this process.

    References:
      proc(5), on ``/proc/pid/smaps_rollup``.
    """
    path = pathlib.Path(f'/proc/{pid}/smaps_rollup')
    totals = {}
    for line in path.read_text(encoding='ascii').splitlines()[1:]:
        name, _, rest = line.partition(':')
        totals[name] = int(rest.split()[0]) * _KIB
    return totals


def read_memory(pid: int) -> Memory:
    """Returns the memory use of a process.

    >>> read_memory(os.getpid()).rss_mb > 1
    True
    """
    totals = read_smaps(pid)
    return Memory(totals['Rss'] / 1e6, totals['Pss'] / 1e6)


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
    """Returns bytes on the links of a node by direction and message class."""
    return {
        (sample.labels['direction'], sample.labels['message']): sample.value
        for sample in read_samples(cluster, vm, _LINK_BYTES_METRIC)
        if sample.name.endswith('_total')
    }


def compute_increases(
    after: Mapping[tuple[str, str], float],
    before: Mapping[tuple[str, str], float],
) -> dict[tuple[str, str], float]:
    """Returns the increases of counters that never decrease.

    >>> key = ('sent', 'Heartbeat')
    >>> compute_increases({key: 5.0}, {key: 2.0})
    {('sent', 'Heartbeat'): 3.0}
    """
    return {name: value - before.get(name, 0) for name, value in after.items()}
