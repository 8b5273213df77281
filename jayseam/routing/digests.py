"""Digests of recent loads, which replies carry within a zone.

A node hears from a given VM only once in several seconds, but all nodes of its
zone together hear from it all the time. Each item of a digest has the name of
a VM, its limit, its calls in flight and queued, and the age of that count in
milliseconds.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Any

from jayseam.routing import loads as load_tables
from jayseam.routing import speeds as speed_tables

MAX_ITEMS = 8
# Older counts are neither sent nor used: a queue fills or empties in less.
MAX_AGE_S = 1.0
_MS_PER_S = 1000


def collect(
    table: load_tables.LoadTable, vms: Collection[str], now: float
) -> list[list[Any]]:
    """Returns the newest counts that a table has of some VMs.

    Args:
      table: Loads as this node knows them.
      vms: VMs of the own zone, without that of this node.
      now: Current time in seconds.

    >>> table = load_tables.LoadTable()
    >>> report = load_tables.ReportedLoad(0.5, 0.5, 0.5, limit=6)
    >>> table.record_report('vm-1', '', report, now=1.0)
    >>> collect(table, ['vm-1', 'vm-2'], now=1.25)
    [['vm-1', 6, 3, 250]]
    """
    found = []
    for vm in vms:
        member = table.find(vm)
        if member is None or member.report is None or not member.report.limit:
            continue
        age_s = max(0.0, now - member.reported_at)
        if age_s <= MAX_AGE_S:
            found.append((age_s, vm, member.report))
    found.sort(key=lambda item: item[0])
    return [
        [
            vm,
            report.limit,
            round(report.load * report.limit),
            int(age_s * _MS_PER_S),
        ]
        for age_s, vm, report in found[:MAX_ITEMS]
    ]


def merge(
    table: load_tables.LoadTable,
    speeds: speed_tables.SpeedTable,
    items: Iterable[Sequence[Any]],
    vms: Collection[str],
    now: float,
) -> int:
    """Takes over the counts that are newer than those known.

    Args:
      table: Loads of VMs.
      speeds: Limits and usual loads of VMs.
      items: Items of a digest.
      vms: VMs of the own zone; items of others are ignored.
      now: Current time in seconds.

    Returns:
      The number of counts taken over.
    """
    merged = 0
    for vm, limit, calls, age_ms in list(items)[:MAX_ITEMS]:
        age_s = age_ms / _MS_PER_S
        if vm not in vms or not limit or age_s > MAX_AGE_S:
            continue
        reported_at = now - age_s
        load = calls / limit
        if table.merge_report(vm, load, limit, reported_at):
            speeds.record_load(vm, limit, load, reported_at)
            merged += 1
    return merged
