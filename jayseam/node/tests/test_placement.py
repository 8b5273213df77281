"""Calls through a fleet of real processes that choose by expected time."""

import itertools

import pytest

from jayseam.node.tests import fleets
from jayseam.standins import exchanges

_SELECTION = {'strategy': 'expected_time', 'zone_price': 0.3}
_CALLS = 120


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    with fleets.start_fleet(node={'selection': _SELECTION}) as fleet:
        fleet.wait_admitting()
        yield fleet


def _read_counts(fleet, name):
    """Returns the values of a counter of all nodes, by labels."""
    counts = {}
    for vm in fleet.cluster.vms.values():
        answer = exchanges.exchange_once(
            ('127.0.0.1', vm.admin_port), 'GET', '/metrics'
        )
        for line in answer.body.decode().splitlines():
            if line.startswith(name):
                labels, value = line.rsplit(' ', 1)
                counts[labels] = counts.get(labels, 0.0) + float(value)
    return counts


def test_calls_are_served_and_loads_shared(fleet):
    """Replies with the new fields must be decoded by the real links.

    With a field that nodes can't decode, every reply would be lost.
    """
    vms = itertools.cycle(fleet.cluster.vms)
    statuses = [
        fleet.cluster.call(vm, '/drop-off-points/1').status
        for vm in itertools.islice(vms, _CALLS)
    ]
    assert statuses == [200] * _CALLS
    choices = _read_counts(fleet, 'jayseam_placement_choices_total')
    assert sum(choices.values()) >= _CALLS
    merged = _read_counts(fleet, 'jayseam_placement_merged_loads_total')
    assert sum(merged.values()) > 0
