"""Failing readers of the platform, and a restart of the whole fleet."""

import gevent
import pytest

from jayseam.node.tests import fleets
from jayseam.node.tests import observers

# A quarter of the rate that the platform allows to all its readers together.
_MAX_CALLS_PER_S = 500
_READERS_PER_ZONE = 2


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    with fleets.start_fleet() as fleet:
        yield fleet


def find_readers(fleet, vms):
    """Returns the VMs that read the platform."""
    return [vm for vm in vms if fleet.cluster.read_status(vm)['reader']]


def wait_readers(fleet):
    """Waits until each zone has its readers."""
    zones = {vm.zone for vm in fleet.cluster.vms.values()}
    fleet.cluster.wait_until(
        lambda: all(
            len(find_readers(fleet, fleet.list_vms_in(zone)))
            == _READERS_PER_ZONE
            for zone in zones
        ),
        10.0,
        'two readers in each zone',
    )


@pytest.mark.parametrize('zones', [['liege'], ['charleroi', 'liege', 'namur']])
def test_readers_killed_at_a_publication(fleet, zones):
    """A publication must arrive although its readers are killed."""
    wait_readers(fleet)
    readers = [
        vm
        for zone in zones
        for vm in find_readers(fleet, fleet.list_vms_in(zone))
    ]
    others = [vm for vm in fleet.cluster.vms if vm not in readers]
    preset, path = observers.add_probe(fleet.cluster.preset)

    def publish_and_kill_readers():
        for vm in readers:
            fleet.cluster.kill(vm, backend=False)
        fleet.cluster.publish(preset)

    with observers.VersionLog(fleet) as log:
        observers.check_convergence(
            fleet, path, publish_and_kill_readers, others
        )
        for vm in readers:
            fleet.cluster.restart(vm)
        observers.check_convergence(fleet, path, vms=readers)
    log.check()


def test_restart_of_all_spares_the_platform(fleet):
    """Reconnecting nodes must not exhaust the platform's request budget."""
    path = observers.publish_and_check_convergence(fleet)
    fleet.cluster.control_platform('reset-counts')
    for vm in fleet.cluster.vms:
        fleet.cluster.kill(vm, backend=False)
    for vm in fleet.cluster.vms:
        fleet.cluster.restart(vm)
    observers.check_convergence(fleet, path, within_s=10.0)
    gevent.sleep(2.0)
    counts = fleet.cluster.control_platform('counts')
    print(counts['totals'], counts['per_second'])
    assert counts['peak_per_second'] <= _MAX_CALLS_PER_S
    wait_readers(fleet)
