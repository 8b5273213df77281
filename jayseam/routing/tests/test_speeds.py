"""Tests of the speeds that are learned from replies."""

import pytest

from jayseam.routing import speeds


def _record(table, vm, kind, service_s, now=0.0, limit=6, load=0.5):
    table.record_reply(vm, kind, service_s, limit, load, now)


def test_vm_without_samples_counts_as_average():
    """A VM of unknown speed must be neither avoided nor preferred."""
    table = speeds.SpeedTable()
    assert (
        table.estimate_services(['a', 'b'], 'w', 0.0)
        == [speeds.DEFAULT_SERVICE_S] * 2
    )
    _record(table, 'a', 'w', 0.06)
    _record(table, 'b', 'w', 0.14)
    estimated = table.estimate_services(['a', 'b', 'c'], 'w', 0.0)
    assert estimated == pytest.approx([0.06, 0.14, 0.1])


def test_average_counts_only_the_given_vms():
    """VMs of another service that serves the same kind must not count."""
    table = speeds.SpeedTable()
    _record(table, 'a', 'w', 0.1)
    _record(table, 'other', 'w', 5.0)
    assert table.estimate_services(['a', 'b'], 'w', 0.0) == [0.1, 0.1]


def test_speed_is_learned_from_other_kinds():
    """A kind that is called rarely must not be sent to known slow servers."""
    table = speeds.SpeedTable()
    for vm, service_s in (('a', 0.06), ('b', 0.12)):
        _record(table, vm, 'w', service_s)
    _record(table, 'a', 'h', 0.2)
    first, second = table.estimate_services(['a', 'b'], 'h', 0.0)
    assert second > 1.2 * first


def test_old_samples_approach_the_average():
    """A server that was slow once must be tried again some time."""
    table = speeds.SpeedTable()
    _record(table, 'slow', 'w', 0.3)
    for vm in 'abc':
        _record(table, vm, 'w', 0.1)
    later = 4 * speeds.SERVICE_HALF_LIFE_S
    for vm in 'abc':
        _record(table, vm, 'w', 0.1, later)
    names = ['slow', 'a', 'b', 'c']
    assert table.estimate_services(names, 'w', 0.0)[0] == pytest.approx(0.3)
    assert table.estimate_services(names, 'w', later)[0] < 0.13


def test_reset_of_a_full_server_lowers_its_limit_for_a_while():
    """A server that resets calls when full must get fewer of them at once."""
    table = speeds.SpeedTable()
    _record(table, 'a', 'w', 0.1)
    assert table.estimate_limit('a', 6, 0.0) == 6
    table.record_reset('a', 6, 0.0)
    assert table.estimate_limit('a', 6, 0.0) == 5
    table.record_reset('a', 9, 0.1)
    assert table.estimate_limit('a', 6, 0.1) == 4
    assert table.estimate_limit('a', 6, 0.2 + 2 * speeds.LIMIT_GROWTH_S) == 6


def test_reset_of_an_idle_server_does_not_lower_its_limit():
    """A broken connection says nothing about the room of a server."""
    table = speeds.SpeedTable()
    _record(table, 'a', 'w', 0.1)
    table.record_reset('a', 1, 0.0)
    table.record_reset('unknown', 9, 0.0)
    assert table.estimate_limit('a', 6, 0.0) == 6
    assert table.estimate_limit('unknown', 3, 0.0) == 3


def test_usual_load_follows_the_reports():
    """One report of a short queue must not stand for the load of a server."""
    table = speeds.SpeedTable()
    assert table.get_usual_load('a') is None
    _record(table, 'a', 'w', 0.1, 0.0, load=1.0)
    _record(table, 'a', 'w', 0.1, 0.1, load=0.0)
    assert 0.9 < table.get_usual_load('a') < 1.0
    _record(table, 'a', 'w', 0.1, 20.0, load=0.2)
    assert table.get_usual_load('a') == pytest.approx(0.2, abs=0.01)


def test_memory_is_bounded():
    """VMs that have left and kinds that are gone must not fill the memory."""
    table = speeds.SpeedTable()
    for number in range(3 * speeds.MAX_VMS):
        _record(table, f'vm-{number}', f'k-{number}', 0.1)
        _record(table, 'a', f'k-{number}', 0.1)
    assert len(table._speeds) <= speeds.MAX_VMS
    assert len(table._speeds['a'].means) <= speeds.MAX_KINDS
