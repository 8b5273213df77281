"""Zones, VMs and backend servers taken out and in again under load."""

import collections

import gevent
import pytest

from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.node.tests import observers

ZONE = 'namur'
_DRAIN_LIMIT_S = 3.0
_GROWTH_S = 10.0
# Longest wait of a watch, two heartbeats on the way, and a reserve.
_CONFIRMATION_LIMIT_S = 14.0


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    backend = {'service_time': {'kind': 'fixed', 'mean_ms': 40.0}}
    with fleets.start_fleet(backend=backend) as fleet:
        yield fleet


def list_runs(fleet, upstreams, start, end=1e18):
    """Returns the start times of runs at upstreams within a time span."""
    return [
        run['started']
        for run in fleet.cluster.collect_runs()
        if run['backend'] in upstreams and start < run['started'] < end
    ]


def list_upstreams(fleet, zone):
    """Returns the upstreams of a zone."""
    return {fleet.cluster.vms[vm].upstream for vm in fleet.list_vms_in(zone)}


def test_zone_leaves_and_returns(fleet):
    """A zone that is out gets no runs, and its load grows back gradually."""
    upstreams = list_upstreams(fleet, ZONE)
    vms = list(fleet.cluster.vms)
    # With more callers than slots, calls wait in the queues all the time.
    with observers.Callers(fleet, vms, per_vm=5, pause_s=0.0) as callers:
        gevent.sleep(1.0)
        queued = [
            fleet.cluster.read_status(vm)['backend']['queued']
            for vm in fleet.list_vms_in(ZONE)
        ]
        out_at = clocks.read_now()
        fleet.cluster.take_zone_out(ZONE)
        gevent.sleep(_DRAIN_LIMIT_S + 1.0)
    # With fewer callers no queues hide how the load shifts between zones.
    with observers.Callers(fleet, vms, per_vm=2, pause_s=0.06) as later:
        gevent.sleep(0.5)
        in_at = clocks.read_now()
        fleet.cluster.take_zone_in(ZONE)
        gevent.sleep(_GROWTH_S)
        end = clocks.read_now()
    late = list_runs(fleet, upstreams, out_at + _DRAIN_LIMIT_S, in_at)
    assert len(list_runs(fleet, upstreams, 0.0, out_at)) > 0
    assert max(queued) > 0, 'no call was waiting when the zone left'
    assert not late
    for observed in (callers, later):
        failures = collections.Counter(
            (r.status, r.body[:200]) for r in observed.list_failed()
        )
        assert not failures
        observed.check_deadlines()
    others = {vm.upstream for vm in fleet.cluster.vms.values()} - upstreams
    early, last = [
        [
            len(list_runs(fleet, chosen, start, start + 2.0))
            for chosen in (upstreams, others)
        ]
        for start in (in_at, end - 2.0)
    ]
    print(f'runs in the zone and elsewhere: {early}, later {last}')
    assert 0 < early[0] < 0.6 * last[0]
    assert last[1] < 0.9 * early[1]


def test_leaving_vm_gets_no_new_runs(fleet):
    """A VM that is stopped under load must get no new runs."""
    leaving = fleet.list_vms_of('drop-off-points')[0]
    upstream = fleet.cluster.vms[leaving].upstream
    vms = [vm for vm in fleet.cluster.vms if vm != leaving]
    with observers.Callers(fleet, vms, per_vm=3, pause_s=0.0) as callers:
        gevent.sleep(0.5)
        left_at = clocks.read_now()
        assert fleet.cluster.terminate(leaving) == 0
        gevent.sleep(
            max(0.0, left_at + _DRAIN_LIMIT_S + 1.0 - clocks.read_now())
        )
    assert list_runs(fleet, {upstream}, 0.0, left_at)
    assert not list_runs(fleet, {upstream}, left_at + _DRAIN_LIMIT_S)
    assert not callers.list_failed()
    fleet.cluster.restart(leaving)
    fleet.cluster.wait_serving()


def test_vm_listed_as_leaving_gets_no_new_runs(fleet):
    """A VM listed as leaving gets no runs, though its process is alive."""
    leaving = fleet.list_vms_of('drop-off-points')[0]
    vm = fleet.cluster.vms[leaving]
    with observers.Callers(fleet, fleet.cluster.vms, pause_s=0.0) as callers:
        gevent.sleep(0.5)
        vm.state = 'leaving'
        left_at = clocks.read_now()
        fleet.cluster.publish_vms()
        gevent.sleep(_DRAIN_LIMIT_S + 1.5)
        vm.state = 'live'
        back_at = clocks.read_now()
        fleet.cluster.publish_vms()
        gevent.sleep(_DRAIN_LIMIT_S)
    assert list_runs(fleet, {vm.upstream}, 0.0, left_at)
    late = list_runs(fleet, {vm.upstream}, left_at + _DRAIN_LIMIT_S, back_at)
    assert not late
    assert list_runs(fleet, {vm.upstream}, back_at)
    assert not callers.list_failed()


def test_vm_listed_as_leaving_is_told_of_confirmations(fleet):
    """Callers stay with a leaving VM, so its node must go on trusting its keys.

    Its node doesn't read the source itself.
    """
    leaving = next(
        name
        for name in fleet.cluster.vms
        if not fleet.cluster.read_status(name)['reader']
    )
    vm = fleet.cluster.vms[leaving]
    vm.state = 'leaving'
    fleet.cluster.publish_vms()
    try:
        gevent.sleep(_CONFIRMATION_LIMIT_S + 3.0)
        status = fleet.cluster.read_status(leaving)
        assert not status['reader']
        age_s = status['channels']['keys']['confirmation_age_s']
        assert age_s < _CONFIRMATION_LIMIT_S
    finally:
        vm.state = 'live'
        fleet.cluster.publish_vms()


def test_draining_backend_gets_no_new_runs(fleet):
    """A draining backend server must get no new and no queued calls."""
    vm = fleet.list_vms_of('drop-off-points')[1]
    upstream = fleet.cluster.vms[vm].upstream
    vms = list(fleet.cluster.vms)
    with observers.Callers(fleet, vms, per_vm=4, pause_s=0.0) as callers:
        gevent.sleep(0.5)
        drained_at = clocks.read_now()
        fleet.cluster.control_backend(upstream, 'drain')
        gevent.sleep(_DRAIN_LIMIT_S + 1.0)
        fleet.cluster.control_backend(upstream, 'drain', draining=False)
        ended_at = clocks.read_now()
        gevent.sleep(1.5)
    assert list_runs(fleet, {upstream}, 0.0, drained_at)
    assert not list_runs(
        fleet, {upstream}, drained_at + _DRAIN_LIMIT_S, ended_at
    )
    assert list_runs(fleet, {upstream}, ended_at)
    assert not callers.list_failed()
