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

    def at_upstream(self, name):
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
    'silent, chosen',
    [(set(), 'vm-1'), ({'vm-1'}, 'vm-2'), ({'vm-1', 'vm-2'}, None)],
)
def test_silent_node_gets_no_calls(silent, chosen):
    """A zone that is cut off: what is sent there is lost, not refused."""
    chooser = choosers.Chooser(
        'a', 'two_choices', lambda: 0.0, list_unresponsive=lambda now: silent
    )
    found = chooser.choose(_build_preset(), 's', _View(), set(), 10.0)
    assert (found and found.vm) == chosen


def test_node_that_failed_is_better_than_none():
    """A failure says less than a ping without an answer."""
    chooser = choosers.Chooser('a', 'two_choices', lambda: 0.0)
    for vm in _ZONES:
        chooser.record_failure(vm, 10.0)
    assert chooser.choose(_build_preset(), 's', _View(), set(), 10.5)


def test_search_for_room_passes_over_full_nodes():
    """A first attempt goes to a full node all the same."""
    chooser = choosers.Chooser('a', 'two_choices', lambda: 0.0)
    need = routing.rooms.Need('w', 1, 0.5)
    for vm in _ZONES:
        chooser.record_full(vm, need, 1.0, 10.0)
    arguments = (_build_preset(), 's', _View(), set())
    assert chooser.choose(*arguments, 10.05, 'w')
    assert not chooser.choose(*arguments, 10.05, 'w', need)
    assert chooser.choose(
        *arguments, 10.0 + routing.rooms.MOST_MARK_S, 'w', need
    )
