"""Experiment on the control traffic and resource use of idle nodes."""

from collections.abc import Iterator, Mapping

import attrs
import gevent

from jayseam.bench import experiments
from jayseam.bench import figures
from jayseam.bench import fleets
from jayseam.bench import processes
from jayseam.core import clocks
from jayseam.standins import clusters

TRAFFIC_LIMIT_KB_PER_S = 4.0
CPU_LIMIT_PERCENT = 2.2
MEMORY_LIMIT_MB = 64.0
PLATFORM_CALLS_LIMIT_PER_S = 500.0
SIZES = (12, 24, 48, 96)
_STARTUP_WAIT_S = 3.0
_IDLE_S = 6.0
# Nodes finish answering the metrics requests before the CPU meter starts.
_AFTER_METRICS_S = 1.0

LinkBytes = Mapping[tuple[str, str], float]


@attrs.frozen
class IdleUsage:
    """Traffic and resource use of a fleet without calls.

    Attributes:
      sent_kb_per_s: Mean rate at which a node sends on links, in kB/s.
      received_kb_per_s: Mean rate at which a node receives on links.
      platform_kb_per_s: Mean rate at which a node reads bytes of values from
        the platform.
      cpu_percent: Mean share of a core that a node uses.
      cpu_percent_max: Share of a core that the busiest node uses.
      rss_mb: Largest resident set size of a node.
      pss_mb: Mean proportional set size of the nodes.
      platform_calls_per_s: Rate of calls of the whole fleet to the platform.
      by_message: Bytes that a node sends in a second, by message class.
    """

    sent_kb_per_s: float
    received_kb_per_s: float
    platform_kb_per_s: float
    cpu_percent: float
    cpu_percent_max: float
    rss_mb: float
    pss_mb: float
    platform_calls_per_s: float
    by_message: dict[str, float]


def read_link_bytes_by_vm(
    cluster: clusters.Cluster,
) -> dict[str, dict[tuple[str, str], float]]:
    """Returns the bytes on links of each node, by VM."""
    return {vm: processes.read_link_bytes(cluster, vm) for vm in cluster.vms}


def sum_direction(counters: LinkBytes, direction: str) -> float:
    """Returns the total bytes of one direction.

    >>> sum_direction({('sent', 'A'): 1.0, ('received', 'A'): 2.0}, 'sent')
    1.0
    """
    return sum(
        v
        for (own_direction, _), v in counters.items()
        if own_direction == direction
    )


def measure_idle_usage(
    cluster: clusters.Cluster, duration_s: float
) -> IdleUsage:
    """Measures the usage of a fleet without calls.

    The interval of the processor times lies within that of the metrics, so
    that the processor shares don't include the reading of metrics.
    """
    size = len(cluster.vms)
    pids = {
        name: vm.process.pid for name, vm in cluster.vms.items() if vm.process
    }
    bytes_before, bytes_start = (
        read_link_bytes_by_vm(cluster),
        clocks.read_now(),
    )
    gevent.sleep(_AFTER_METRICS_S)
    cluster.control_platform('reset-counts')
    meter, start = processes.CpuMeter(pids), clocks.read_now()
    gevent.sleep(duration_s)
    cpu_s = meter.read_used_s().values()
    elapsed_s = clocks.read_now() - start
    counts = cluster.control_platform('counts')['totals']
    bytes_s = clocks.read_now() - bytes_start
    bytes_after = read_link_bytes_by_vm(cluster)
    rates = sum_increases(bytes_before, bytes_after, size * bytes_s)
    memory = [processes.read_memory(pid) for pid in pids.values()]
    return IdleUsage(
        sum_direction(rates, 'sent') / 1e3,
        sum_direction(rates, 'received') / 1e3,
        counts.get('bytes', 0) / size / elapsed_s / 1e3,
        100 * sum(cpu_s) / size / elapsed_s,
        100 * max(cpu_s) / elapsed_s,
        max(m.rss_mb for m in memory),
        sum(m.pss_mb for m in memory) / size,
        # Only the counters of calls have a dot in their names, as "watch.vms".
        sum(v for k, v in counts.items() if '.' in k) / elapsed_s,
        sort_sent_bytes(rates),
    )


def sum_increases(
    before: Mapping[str, LinkBytes],
    after: Mapping[str, LinkBytes],
    divisor: float,
) -> dict[tuple[str, str], float]:
    """Returns the sums of all nodes' increases, divided by ``divisor``.

    >>> key = ('sent', 'Heartbeat')
    >>> after = {'a': {key: 5.0}, 'b': {key: 2.0}}
    >>> sum_increases({'a': {key: 1.0}}, after, 2.0)
    {('sent', 'Heartbeat'): 3.0}

    Args:
      before: Counters by VM.
      after: Later values of the counters; it may have VMs that ``before``
        doesn't have.
      divisor: For example the number of nodes times the seconds between.
    """
    total: dict[tuple[str, str], float] = {}
    for vm, counters in after.items():
        increases = processes.compute_increases(counters, before.get(vm, {}))
        for name, value in increases.items():
            total[name] = total.get(name, 0.0) + value / divisor
    return total


def sort_sent_bytes(counters: LinkBytes) -> dict[str, float]:
    """Returns the bytes sent by message class, in descending order.

    Classes that round to zero are left out.

    >>> counters = {('sent', 'A'): 1.0, ('sent', 'B'): 2.0, ('sent', 'C'): 0.0}
    >>> sort_sent_bytes(counters)
    {'B': 2.0, 'A': 1.0}
    """
    sent = {
        name: round(value, 1)
        for (direction, name), value in counters.items()
        if direction == 'sent' and value >= 0.05
    }
    return dict(sorted(sent.items(), key=lambda item: -item[1]))


@experiments.registry.register('control')
def measure_control(context: experiments.Context) -> Iterator[experiments.Row]:
    """Bytes, processor share, memory and platform calls of idle fleets."""
    context.add_conditions(
        rest_s=_IDLE_S,
        zones=3,
        backends='all in one process',
        bytes='websocket frames; platform bytes are values without headers',
    )
    usage_by_size: dict[int, IdleUsage] = {}
    peak_by_size: dict[int, float] = {}
    for size in SIZES:
        plan = fleets.plan_idle_fleet(size, context.seed)
        with clusters.Cluster(plan) as cluster:
            gevent.sleep(_STARTUP_WAIT_S)
            usage_by_size[size] = measure_idle_usage(cluster, _IDLE_S)
            peak_by_size[size] = _restart_all_nodes(cluster)
        yield from _report_idle_usage(
            size, usage_by_size[size], peak_by_size[size]
        )
    yield from _report_slopes(usage_by_size, peak_by_size)


def _restart_all_nodes(cluster: clusters.Cluster) -> float:
    """Kills and restarts all nodes; returns the peak platform call rate."""
    cluster.control_platform('reset-counts')
    for vm in cluster.vms:
        cluster.kill(vm, backend=False)
    for vm in list(cluster.vms.values()):
        cluster.start_node(vm)
    cluster.wait_serving()
    gevent.sleep(1.0)
    return float(cluster.control_platform('counts')['peak_per_second'])


def _report_idle_usage(
    size: int, usage: IdleUsage, peak: float
) -> Iterator[experiments.Row]:
    load_average = {'load_average': experiments.read_load_average()}
    total = (
        usage.sent_kb_per_s + usage.received_kb_per_s + usage.platform_kb_per_s
    )
    for measure, figure, unit, limit, conditions in (
        (
            'control bytes, sent and received',
            total,
            'KB/s',
            TRAFFIC_LIMIT_KB_PER_S,
            {
                'sent': usage.sent_kb_per_s,
                'received': usage.received_kb_per_s,
                'platform': usage.platform_kb_per_s,
                'sent_bytes_per_s_by_message': usage.by_message,
            },
        ),
        (
            'processor share, mean',
            usage.cpu_percent,
            '%',
            CPU_LIMIT_PERCENT,
            {'max': usage.cpu_percent_max},
        ),
        (
            'RSS, greatest',
            usage.rss_mb,
            'MB',
            MEMORY_LIMIT_MB,
            {'pss_mean_mb': usage.pss_mb},
        ),
        (
            'platform calls at rest',
            usage.platform_calls_per_s,
            'calls/s',
            PLATFORM_CALLS_LIMIT_PER_S,
            {},
        ),
        (
            'platform calls after a restart of all, peak',
            peak,
            'calls/s',
            PLATFORM_CALLS_LIMIT_PER_S,
            {},
        ),
    ):
        yield experiments.Row(
            f'{size} nodes, {measure}',
            figure,
            unit,
            experiments.at_most(limit),
            {**conditions, **load_average},
        )


def _report_slopes(
    usage_by_size: Mapping[int, IdleUsage], peak_by_size: Mapping[int, float]
) -> Iterator[experiments.Row]:
    sizes = list(usage_by_size)
    for measure, unit, values in (
        (
            'control bytes',
            'KB/s per node',
            [
                r.sent_kb_per_s + r.received_kb_per_s + r.platform_kb_per_s
                for r in usage_by_size.values()
            ],
        ),
        (
            'processor share',
            '% per node',
            [r.cpu_percent for r in usage_by_size.values()],
        ),
        ('RSS', 'MB per node', [r.rss_mb for r in usage_by_size.values()]),
        (
            'platform calls at rest',
            'calls/s per node',
            [r.platform_calls_per_s for r in usage_by_size.values()],
        ),
        (
            'platform calls after a restart of all',
            'calls/s per node',
            list(peak_by_size.values()),
        ),
    ):
        slope = figures.fit_slope(sizes, values)
        yield experiments.Row(f'slope of {measure}', slope, unit)
