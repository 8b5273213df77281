"""Tests of the choice of a VM for each attempt."""

import types

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
