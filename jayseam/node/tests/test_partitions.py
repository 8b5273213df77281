"""Partitions and silent links in a fleet of real processes behind a proxy."""

import gevent
import pytest

from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.node.tests import observers
from jayseam.standins import exchanges

ZONE = 'liege'
_RECOVERY_S = 3.0
_ROUNDS = 8


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
            for peer in fleet.cluster.status(vm)['peers']
        ),
        10.0,
        'all members are alive',
    )


def list_outside(fleet):
    """Returns the VMs of the other zones."""
    inside = fleet.vms_in(ZONE)
    return [vm for vm in fleet.cluster.vms if vm not in inside]


def wait_parted(fleet):
    """Waits until both sides declare the members of the other side dead."""
    zones = {name: vm.zone for name, vm in fleet.cluster.vms.items()}

    def is_parted():
        return all(
            peer['state'] == 'dead'
            for vm in fleet.cluster.vms
            for peer in fleet.cluster.status(vm)['peers']
            if (zones[vm] == ZONE) != (zones[peer['vm']] == ZONE)
        )

    fleet.cluster.wait_until(is_parted, 10.0, 'the other side is dead')


def test_zone_without_platform(fleet):
    """Peers must supply a zone that cannot read the platform."""
    with observers.Callers(fleet, fleet.cluster.vms) as callers:
        fleet.cluster.partition('platform', ZONE)
        gevent.sleep(1.0)
        for _ in range(2):
            observers.publish_and_converge(fleet)
    assert callers.count_served() and not callers.list_failed()
    callers.check_deadlines()


def test_zone_without_everything(fleet):
    """A zone alone serves its callers, and follows when it is back."""
    inside, outside = fleet.vms_in(ZONE), list_outside(fleet)
    parted_at = clocks.read_now()
    key = fleet.keys['bureau']
    with observers.VersionLog(fleet) as log:
        with (
            observers.Callers(fleet, inside) as alone,
            observers.Callers(
                fleet, inside, '/credits/1', key, 1, 0.5
            ) as keyed,
            observers.Callers(fleet, outside) as others,
        ):
            fleet.cluster.partition([ZONE], [*_others(fleet), 'platform'])
            gevent.sleep(1.0)
            path = observers.publish_and_converge(fleet, outside)
            wait_parted(fleet)
            statuses = {fleet.cluster.call(vm, path).status for vm in inside}
            healed_at = clocks.read_now()
            observers.converge(fleet, path, fleet.cluster.heal)
    log.check()
    assert statuses == {404}
    for callers in (alone, keyed, others):
        callers.check_deadlines()
        start = parted_at + _RECOVERY_S
        assert callers.count_served(start)
        assert not callers.list_failed(start, healed_at)


def _others(fleet):
    zones = {vm.zone for vm in fleet.cluster.vms.values()}
    return sorted(zones - {ZONE})


def test_newer_version_on_the_small_side(fleet):
    """A version that only the zone alone has must win after the partition."""
    inside = fleet.vms_in(ZONE)
    others = _others(fleet)
    with observers.VersionLog(fleet) as log:
        fleet.cluster.partition([ZONE, 'platform'], others)
        path = observers.publish_and_converge(fleet, inside)
        wait_parted(fleet)
        # The platform stays out of reach of the others: peers supply them.
        observers.converge(
            fleet, path, lambda: fleet.cluster.partition('platform', others)
        )
    log.check()


def test_updates_that_cross_between_peers(fleet):
    """Announcements and parts that arrive late and in another order."""
    zones = [ZONE, *_others(fleet)]
    for number, zone in enumerate(zones):
        fleet.cluster.control_faults(
            'rules', id=zone, source=[zone], delay_ms=100 * number
        )
    with observers.VersionLog(fleet) as log:
        for number in range(_ROUNDS):
            _, path = observers.publish_probe(fleet)
            gevent.sleep(0.1)
            zone = zones[number % len(zones)]
            fleet.cluster.control_faults(
                'rules', id=zone, source=[zone], delay_ms=50 * number
            )
        observers.converge(fleet, path)
    log.check()


def test_half_open_links(fleet):
    """Links that are silent for good must not hold calls or versions."""
    key = fleet.keys['bureau']
    vms = list(fleet.cluster.vms)
    with (
        observers.Callers(fleet, vms, per_vm=2) as callers,
        observers.Callers(fleet, vms, '/credits/1', key, 1, 0.5) as keyed,
    ):
        gevent.sleep(0.5)
        silenced_at = clocks.read_now()
        found = fleet.cluster.control_faults('half-open', target=vms)
        gevent.sleep(_RECOVERY_S)
        observers.publish_and_converge(fleet)
    assert found['silenced']
    for observed in (callers, keyed):
        observed.check_deadlines()
        start = silenced_at + _RECOVERY_S
        assert observed.count_served(start)
        assert not observed.list_failed(start)


@pytest.mark.parametrize('direction', ['forward', 'backward'])
def test_silent_vm(fleet, direction):
    """Calls must go elsewhere when one VM is silent in either direction."""
    inside = set(fleet.vms_in(ZONE))
    (silent,) = inside.intersection(fleet.vms_of('drop-off-points'))
    near = sorted(inside - {silent})
    with observers.Callers(fleet, near, per_vm=2) as callers:
        gevent.sleep(0.5)
        silenced_at = clocks.read_now()
        fleet.cluster.control_faults(
            'rules', id='silent', target=[silent], silence=direction
        )
        gevent.sleep(_RECOVERY_S + 1.0)
    callers.check_deadlines()
    start = silenced_at + _RECOVERY_S
    assert callers.count_served(start)
    assert not callers.list_failed(start)


def test_pause_without_reachable_peers(fleet):
    """A node that wakes among refused links must wait for an answer."""
    vm = fleet.vms_in(ZONE)[0]
    cluster = fleet.cluster
    connection = exchanges.Connection('127.0.0.1', cluster.vms[vm].caller_port)
    assert connection.exchange('GET', observers.OPEN_PATH, {}).status == 200
    cluster.pause(vm)
    preset, path = observers.add_probe(cluster.preset)
    cluster.publish(preset)
    gevent.sleep(2.0)
    job = gevent.spawn(connection.exchange, 'GET', path, {})
    for number, side in enumerate(('source', 'target')):
        cluster.control_faults(
            'rules', id=f'refuse-{number}', refuse=True, **{side: [vm]}
        )
        cluster.control_faults('cut', reset=True, **{side: [vm]})
    resumed_at = clocks.read_now()
    cluster.resume(vm)
    gevent.sleep(0.4)
    cluster.heal(rules=True)
    status = job.get().status
    print(f'{clocks.read_now() - resumed_at:.2f} s')
    connection.close()
    assert status == 200
