"""Partitions and silent links in a fleet of processes behind fault proxies."""

import gevent
import pytest

from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.node.tests import observers
from jayseam.standins import exchanges

ZONE = 'liege'
_RECOVERY_LIMIT_S = 3.0
_N_ROUNDS = 8


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    with fleets.start_fleet(fault_proxies=True) as fleet:
        fleet.wait_admitting()
        yield fleet


@pytest.fixture(autouse=True)
def _heal(fleet):
    yield
    fleet.cluster.heal(rules=True)
    vms = list(fleet.cluster.vms)
    fleet.cluster.wait_until(
        lambda: all(
            peer['state'] == 'alive'
            for vm in vms
            for peer in fleet.cluster.read_status(vm)['peers']
        ),
        10.0,
        'all members are alive',
    )


def list_other_vms(fleet):
    """Returns the VMs of the other zones."""
    inside = fleet.list_vms_in(ZONE)
    return [vm for vm in fleet.cluster.vms if vm not in inside]


def wait_partitioned(fleet):
    """Waits until both sides declare the members of the other side dead."""
    zones = {name: vm.zone for name, vm in fleet.cluster.vms.items()}

    def is_partitioned():
        return all(
            peer['state'] == 'dead'
            for vm in fleet.cluster.vms
            for peer in fleet.cluster.read_status(vm)['peers']
            if (zones[vm] == ZONE) != (zones[peer['vm']] == ZONE)
        )

    fleet.cluster.wait_until(is_partitioned, 10.0, 'the other side is dead')


def test_zone_without_platform(fleet):
    """Peers must supply versions to a zone that can't read the platform."""
    with observers.Callers(fleet, fleet.cluster.vms) as callers:
        fleet.cluster.partition('platform', ZONE)
        gevent.sleep(1.0)
        for _ in range(2):
            observers.publish_and_check_convergence(fleet)
    assert callers.count_served() and not callers.list_failed()
    callers.check_deadlines()


def test_zone_without_everything(fleet):
    """An isolated zone serves its callers, and catches up afterwards."""
    inside, outside = fleet.list_vms_in(ZONE), list_other_vms(fleet)
    partitioned_at = clocks.read_now()
    key = fleet.keys['bureau']
    with observers.VersionLog(fleet) as log:
        with (
            observers.Callers(fleet, inside) as isolated,
            observers.Callers(
                fleet, inside, '/credits/1', key, 1, 0.5
            ) as keyed,
            observers.Callers(fleet, outside) as others,
        ):
            fleet.cluster.partition(
                [ZONE], [*_list_other_zones(fleet), 'platform']
            )
            gevent.sleep(1.0)
            path = observers.publish_and_check_convergence(fleet, outside)
            wait_partitioned(fleet)
            statuses = {fleet.cluster.call(vm, path).status for vm in inside}
            healed_at = clocks.read_now()
            observers.check_convergence(fleet, path, fleet.cluster.heal)
    log.check()
    assert statuses == {404}
    for callers in (isolated, keyed, others):
        callers.check_deadlines()
        start = partitioned_at + _RECOVERY_LIMIT_S
        assert callers.count_served(start)
        assert not callers.list_failed(start, healed_at)


def _list_other_zones(fleet):
    zones = {vm.zone for vm in fleet.cluster.vms.values()}
    return sorted(zones - {ZONE})


def test_newer_version_on_the_small_side(fleet):
    """A version known only to the small side must win after a partition."""
    inside = fleet.list_vms_in(ZONE)
    others = _list_other_zones(fleet)
    with observers.VersionLog(fleet) as log:
        fleet.cluster.partition([ZONE, 'platform'], others)
        path = observers.publish_and_check_convergence(fleet, inside)
        wait_partitioned(fleet)
        # The other zones still can't reach the platform: peers supply them.
        observers.check_convergence(
            fleet, path, lambda: fleet.cluster.partition('platform', others)
        )
    log.check()


def test_updates_that_cross_between_peers(fleet):
    """Late and reordered announcements and parts must not revert versions."""
    zones = [ZONE, *_list_other_zones(fleet)]
    for number, zone in enumerate(zones):
        fleet.cluster.control_fault_proxy(
            'rules', id=zone, source=[zone], delay_ms=100 * number
        )
    with observers.VersionLog(fleet) as log:
        for number in range(_N_ROUNDS):
            _, path = observers.publish_probe(fleet)
            gevent.sleep(0.1)
            zone = zones[number % len(zones)]
            fleet.cluster.control_fault_proxy(
                'rules', id=zone, source=[zone], delay_ms=50 * number
            )
        observers.check_convergence(fleet, path)
    log.check()


def test_half_open_links(fleet):
    """Permanently silent links must not block calls or versions."""
    key = fleet.keys['bureau']
    vms = list(fleet.cluster.vms)
    with (
        observers.Callers(fleet, vms, per_vm=2) as callers,
        observers.Callers(fleet, vms, '/credits/1', key, 1, 0.5) as keyed,
    ):
        gevent.sleep(0.5)
        silenced_at = clocks.read_now()
        found = fleet.cluster.control_fault_proxy('half-open', target=vms)
        gevent.sleep(_RECOVERY_LIMIT_S)
        observers.publish_and_check_convergence(fleet)
    assert found['silenced']
    for observed in (callers, keyed):
        observed.check_deadlines()
        start = silenced_at + _RECOVERY_LIMIT_S
        assert observed.count_served(start)
        assert not observed.list_failed(start)


@pytest.mark.parametrize('direction', ['forward', 'backward'])
def test_silent_vm(fleet, direction):
    """Calls must avoid a VM whose links are silent in one direction."""
    inside = set(fleet.list_vms_in(ZONE))
    (silent,) = inside.intersection(fleet.list_vms_of('drop-off-points'))
    near = sorted(inside - {silent})
    with observers.Callers(fleet, near, per_vm=2) as callers:
        gevent.sleep(0.5)
        silenced_at = clocks.read_now()
        fleet.cluster.control_fault_proxy(
            'rules', id='silent', target=[silent], silence=direction
        )
        gevent.sleep(_RECOVERY_LIMIT_S + 1.0)
    callers.check_deadlines()
    start = silenced_at + _RECOVERY_LIMIT_S
    assert callers.count_served(start)
    assert not callers.list_failed(start)


def test_pause_without_reachable_peers(fleet):
    """A resumed node whose links are refused must wait for an answer."""
    vm = fleet.list_vms_in(ZONE)[0]
    cluster = fleet.cluster
    connection = exchanges.Connection('127.0.0.1', cluster.vms[vm].caller_port)
    assert connection.exchange('GET', observers.OPEN_PATH, {}).status == 200
    cluster.pause(vm)
    preset, path = observers.add_probe(cluster.preset)
    cluster.publish(preset)
    gevent.sleep(2.0)
    job = gevent.spawn(connection.exchange, 'GET', path, {})
    for number, side in enumerate(('source', 'target')):
        cluster.control_fault_proxy(
            'rules', id=f'refuse-{number}', refuse=True, **{side: [vm]}
        )
        cluster.control_fault_proxy('cut', reset=True, **{side: [vm]})
    resumed_at = clocks.read_now()
    cluster.resume(vm)
    gevent.sleep(0.4)
    cluster.heal(rules=True)
    status = job.get().status
    print(f'{clocks.read_now() - resumed_at:.2f} s')
    connection.close()
    assert status == 200
