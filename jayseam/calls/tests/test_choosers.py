"""Tests of the choice of a VM for each attempt."""

import types

import prometheus_client
import pytest

from jayseam import routing
from jayseam.calls import choosers
from jayseam.presets import model

_ZONES = {'vm-1': 'a', 'vm-2': 'b'}


class _View:
    """Members that are all alive."""

    def __init__(self):
        self.members = {
            vm: types.SimpleNamespace(
                vm=vm,
                upstream=vm,
                service='s',
                zone=zone,
                state='alive',
                backend='ready',
                incarnation=1,
            )
            for vm, zone in _ZONES.items()
        }

    def list_upstream_members(self, name):
        """Returns the members at a position."""
        return [self.members[name]]


def _build_preset():
    ramp = model.Ramp(4, 0.0)
    upstreams = {
        vm: model.Upstream(vm, 's', zone, 4, 10, ramp)
        for vm, zone in _ZONES.items()
    }
    zones = {zone: model.Zone(zone, 'r') for zone in _ZONES.values()}
    return model.Preset(
        'p', {'s': model.Service('s')}, upstreams, zones, {}, {}
    )


@pytest.mark.parametrize(
    'unresponsive, chosen',
    [(set(), 'vm-1'), ({'vm-1'}, 'vm-2'), ({'vm-1', 'vm-2'}, None)],
)
def test_silent_node_gets_no_calls(unresponsive, chosen):
    """Calls sent to a partitioned zone are lost instead of being refused."""
    chooser = choosers.Chooser(
        'a',
        'two_choices',
        lambda: 0.0,
        list_unresponsive=lambda now: unresponsive,
    )
    found = chooser.choose(_build_preset(), 's', _View(), set(), 10.0)
    assert (found and found.vm) == chosen


def test_node_that_failed_is_better_than_none():
    """A failed call is weaker evidence of an outage than an unanswered ping."""
    chooser = choosers.Chooser('a', 'two_choices', lambda: 0.0)
    for vm in _ZONES:
        chooser.record_failure(vm, 10.0)
    assert chooser.choose(_build_preset(), 's', _View(), set(), 10.5)


def test_search_for_room_passes_over_full_nodes():
    """Retries skip full nodes; a first attempt may go to a full node."""
    chooser = choosers.Chooser('a', 'two_choices', lambda: 0.0)
    needs = routing.refusals.CallNeeds('w', 1, 0.5)
    for vm in _ZONES:
        chooser.record_full(vm, needs, 1.0, 10.0)
    arguments = (_build_preset(), 's', _View(), set())
    assert chooser.choose(*arguments, 10.05, 'w')
    assert not chooser.choose(*arguments, 10.05, 'w', needs)
    assert chooser.choose(
        *arguments, 10.0 + routing.refusals.MAX_REFUSAL_S, 'w', needs
    )


def _choose_by_time(chooser, now=10.0, time_left_s=0.5, needs=None):
    """Returns the choice of a chooser for a call of kind w."""
    profile = choosers.CallProfile(
        'w', routing.refusals.CallNeeds('', 1, time_left_s)
    )
    return chooser.choose(
        _build_preset(), 's', _View(), set(), now, '', needs, profile
    )


def _report(chooser, vm, service_s, load=0.2):
    """Stores the report of a reply to a call of kind w."""
    report = routing.loads.ReportedLoad(
        load, load, load, service_s, service_s, 4
    )
    chooser.record_load(vm, '', report, 10.0, 'w')


def test_reported_times_and_price_direct_the_choice():
    """What replies report must reach the strategy ``expected_time``."""
    choices = {}
    for price in (0.0, 1.0):
        chooser = choosers.Chooser(
            'a', 'expected_time', lambda: 0.0, zone_price=price
        )
        _report(chooser, 'vm-1', 0.2)
        _report(chooser, 'vm-2', 0.05)
        choices[price] = _choose_by_time(chooser)
    assert choices[0.0].vm == 'vm-2' and choices[0.0].reason == 'saving'
    assert choices[0.0].expected_s == pytest.approx(
        0.05 + routing.expectations.ZONE_DISTANCE_S
    )
    assert choices[1.0].vm == 'vm-1' and choices[1.0].reason == 'own-zone'
    assert _choose_by_time(chooser, time_left_s=0.1).reason == 'objective'


def test_vm_without_room_is_chosen_only_without_another():
    """Calls to a VM that has just refused one would mostly be refused."""
    chooser = choosers.Chooser(
        'a', 'expected_time', lambda: 0.0, zone_price=1.0
    )
    needs = routing.refusals.CallNeeds('', 1, 0.5)
    assert _choose_by_time(chooser).vm == 'vm-1'
    chooser.record_full('vm-1', needs, 1.0, 10.0)
    assert _choose_by_time(chooser, 10.05).vm == 'vm-2'
    chooser.record_full('vm-2', needs, 1.0, 10.0)
    assert _choose_by_time(chooser, 10.05).vm == 'vm-1'
    assert not _choose_by_time(chooser, 10.05, needs=needs)


def test_resets_lower_the_limit():
    """A server that resets calls when full must seem full before that."""
    chooser = choosers.Chooser('a', 'expected_time', lambda: 0.0)
    _report(chooser, 'vm-1', 0.1, load=0.75)
    assert chooser._speeds.estimate_limit('vm-1', 4, 10.0) == 4
    chooser.record_reset('vm-1', 10.0)
    assert chooser._speeds.estimate_limit('vm-1', 4, 10.0) == 3


def test_digest_reaches_the_load_table():
    """Spare capacity must be known before a call is sent."""
    first = choosers.Chooser('a', 'expected_time', lambda: 0.0)
    second = choosers.Chooser('a', 'expected_time', lambda: 0.0)
    for chooser in (first, second):
        _choose_by_time(chooser)
    _report(first, 'vm-1', 0.1, load=2.0)
    _report(first, 'vm-2', 0.1, load=2.0)
    items = first.collect_reports(10.5)
    # VMs of other zones are left out.
    assert items == [['vm-1', 4, 8, 500]]
    second.merge_reports(items, 10.5)
    assert second.loads.estimate('vm-1', 4, 10.5) == 2.0


def test_other_strategies_send_no_digests():
    """Deployments with other strategies must not pay for the bytes."""
    chooser = choosers.Chooser('a', 'two_choices', lambda: 0.0)
    _choose_by_time(chooser)
    _report(chooser, 'vm-1', 0.1)
    assert not chooser.report_zone and not chooser.collect_reports(10.1)
    chooser.merge_reports([['vm-1', 4, 8, 0]], 10.1)
    assert chooser.loads.estimate('vm-1', 4, 10.1) == 0.2


def _read_metric(name, **labels):
    """Returns the value of a metric of this process, or 0."""
    return prometheus_client.REGISTRY.get_sample_value(name, labels) or 0.0


def test_choices_are_counted_by_reason():
    """Operators must see why calls leave their zone."""
    before = _read_metric('jayseam_placement_choices_total', reason='saving')
    chooser = choosers.Chooser('a', 'expected_time', lambda: 0.0)
    _report(chooser, 'vm-1', 0.2)
    _report(chooser, 'vm-2', 0.05)
    _choose_by_time(chooser)
    after = _read_metric('jayseam_placement_choices_total', reason='saving')
    assert after == before + 1
