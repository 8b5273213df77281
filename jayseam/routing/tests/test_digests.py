"""Tests of the loads of other VMs that replies carry."""

import pytest

from jayseam.routing import digests
from jayseam.routing import loads
from jayseam.routing import speeds

_VMS = {f'vm-{number:02}' for number in range(12)}


def _report(table, vm, load, now):
    report = loads.ReportedLoad(load, load, load, 0.1, 0.1, 6)
    table.record_report(vm, '', report, now)


def test_digest_has_the_newest_loads_only():
    """Replies must stay small, and old loads mislead their receivers."""
    table = loads.LoadTable()
    for number in range(12):
        _report(table, f'vm-{number:02}', 0.5, 10.0 - number * 0.06)
    _report(table, 'other-zone', 0.5, 10.0)
    _report(table, 'vm-00', 0.5, 8.9)
    items = digests.collect(table, _VMS, 10.0)
    assert [item[0] for item in items] == [
        f'vm-{number:02}' for number in range(1, 9)
    ]
    assert items[0] == ['vm-01', 6, 3, 60]
    assert not digests.collect(table, _VMS, 11.1)


def test_vm_without_a_stated_limit_is_left_out():
    """Older nodes don't state the limit, without which calls mean little."""
    table = loads.LoadTable()
    table.record_report('vm-01', '', loads.ReportedLoad(1.0, 1.0, 1.0), 10.0)
    assert not digests.collect(table, _VMS, 10.0)


def test_newer_load_replaces_an_older_one():
    """A node hears of a VM from others before it hears from the VM itself."""
    table, speed_table = loads.LoadTable(), speeds.SpeedTable()
    _report(table, 'vm-01', 0.5, 9.0)
    _report(table, 'vm-02', 0.5, 9.9)
    items = [['vm-01', 6, 12, 200], ['vm-02', 6, 12, 200], ['x', 6, 12, 0]]
    assert digests.merge(table, speed_table, items, _VMS, 10.0) == 1
    assert table.estimate('vm-01', 6, 10.0) == 2.0
    assert table.estimate('vm-02', 6, 10.0) == 0.5
    assert table.find('x') is None
    assert speed_table.get_usual_load('vm-01') == 2.0
    # The service time is still the one that the VM has reported.
    assert table.find('vm-01').report.service_s == 0.1


def test_late_digest_and_odd_values_do_no_harm():
    """A reply may be delayed by a pause, and a VM may state no limit."""
    table, speed_table = loads.LoadTable(), speeds.SpeedTable()
    items = [['vm-01', 6, 12, 1001], ['vm-02', 0, 12, 0]]
    assert not digests.merge(table, speed_table, items, _VMS, 10.0)
    many = [[f'vm-{number % 12:02}', 6, 3, 0] for number in range(100)]
    assert digests.merge(table, speed_table, many, _VMS, 10.0) <= 8


def test_calls_of_this_node_are_not_lost_from_the_load():
    """Calls that this node has just sent may not be in a digest."""
    table, speed_table = loads.LoadTable(), speeds.SpeedTable()
    for _ in range(3):
        table.record_call_start('vm-01')
    digests.merge(table, speed_table, [['vm-01', 6, 3, 100]], _VMS, 10.0)
    assert table.estimate('vm-01', 6, 10.0) == pytest.approx(1.0)
