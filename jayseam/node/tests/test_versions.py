"""Presets in a fleet of processes: invalid, damaged, late or reordered."""

import copy
import json

import gevent
import pytest

from jayseam.core import digests
from jayseam.distribution import messages
from jayseam.links import handlers
from jayseam.links import handshakes
from jayseam.links import manager
from jayseam.node.tests import fleets
from jayseam.node.tests import observers
from jayseam.presets import documents
from jayseam.standins import publications

_N_ROUNDS = 10


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    with fleets.start_fleet() as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def _heal(fleet):
    yield
    fleet.cluster.control_platform('fault', clear=True, stale=False)
    fleet.cluster.wait_serving()


def read_revision(fleet):
    """Returns the greatest revision of the platform."""
    return fleet.cluster.control_platform('counts')['revision']


def restart(fleet, vms):
    """Kills all given nodes, then restarts them."""
    for vm in vms:
        fleet.cluster.kill(vm, backend=False)
    for vm in vms:
        fleet.cluster.restart(vm)


def _route_to_missing_service(preset):
    preset['routes'][0]['targets'] = [['nowhere', 1]]


def _set_unknown_zone(preset):
    preset['upstreams'][0]['zone'] = 'atlantis'


def _set_invalid_limits(preset):
    preset['workspaces'][0]['rate_per_s'] = -1.0
    preset['upstreams'][0]['slots'] = 0


def read_rejection_reasons(fleet, version, vms):
    """Returns each VM's reasons against a version; None if any has none."""
    found = [
        [
            entry['reasons']
            for entry in fleet.cluster.read_status(vm)['rejected']
            if entry['version'] == version
        ]
        for vm in vms
    ]
    return found if all(found) else None


@pytest.mark.parametrize(
    'invalidate, n_reasons',
    [
        (_route_to_missing_service, 1),
        (_set_unknown_zone, 1),
        (_set_invalid_limits, 2),
    ],
)
def test_bad_preset_is_never_in_force(fleet, invalidate, n_reasons):
    """An invalid preset must not be applied in part, or at some nodes."""
    good = copy.deepcopy(fleet.cluster.preset)
    before = observers.read_versions(fleet, 'preset')
    bad, path = observers.add_probe(good)
    invalidate(bad)
    vms = list(fleet.cluster.vms)
    readers = [vm for vm in vms if fleet.cluster.read_status(vm)['reader']]
    try:
        with observers.Callers(fleet, vms, path) as probes:
            with observers.Callers(fleet, vms) as callers:
                version = fleet.cluster.publish(bad)
                verdicts = fleet.cluster.wait_until(
                    lambda: read_rejection_reasons(fleet, version, readers),
                    observers.CONVERGENCE_LIMIT_S,
                    'verdicts of the readers',
                )
                gevent.sleep(1.0)
    finally:
        # The later tests of this fleet build on the good preset.
        fleet.cluster.preset = good
    assert len(verdicts[0][0]) >= n_reasons
    assert all(verdict == verdicts[0] for verdict in verdicts)
    assert observers.read_versions(fleet, 'preset') == before
    observers.check_not_in_force(probes.records)
    assert callers.count_served() and not callers.list_failed()
    observers.publish_and_check_convergence(fleet)


def test_bad_preset_is_explained_everywhere(fleet):
    """Every node must report why it rejected a preset."""
    good = copy.deepcopy(fleet.cluster.preset)
    bad, _ = observers.add_probe(good)
    _route_to_missing_service(bad)
    version = fleet.cluster.publish(bad)
    fleet.cluster.preset = good
    try:
        verdicts = fleet.cluster.wait_until(
            lambda: read_rejection_reasons(fleet, version, fleet.cluster.vms),
            observers.CONVERGENCE_LIMIT_S,
            'verdicts of all nodes',
        )
        assert all(verdict == verdicts[0] for verdict in verdicts)
    finally:
        observers.publish_and_check_convergence(fleet)


@pytest.mark.parametrize('kind', ['altered', 'truncated', 'missing'])
@pytest.mark.parametrize('part', ['manifest', 'routes'])
def test_damaged_parts_are_never_in_force(fleet, kind, part):
    """Damaged content must not be applied; repaired content must be."""
    before = observers.read_versions(fleet, 'preset')
    preset, path = observers.add_probe(fleet.cluster.preset)
    bundle = publications.split_document('preset', preset)
    damaged = digests.compute_digest(bundle.manifest)
    if part == 'routes':
        damaged = documents.parse_manifest(bundle.manifest).parts['routes']
    fleet.cluster.control_platform('fault', parts=kind, digests=[damaged])
    vms = list(fleet.cluster.vms)
    with observers.Callers(fleet, vms, path) as probes:
        with observers.Callers(fleet, vms) as callers:
            fleet.cluster.publish(preset)
            gevent.sleep(1.0)
    observers.check_not_in_force(probes.records)
    assert callers.count_served() and not callers.list_failed()
    assert observers.read_versions(fleet, 'preset') == before
    # Damage is no fault of the version, so the version must not be rejected.
    assert not any(fleet.cluster.read_status(vm)['rejected'] for vm in vms)
    observers.check_convergence(
        fleet,
        path,
        lambda: fleet.cluster.control_platform('fault', clear=True),
    )


def test_parts_later_than_their_pointer(fleet):
    """A version must not be applied before its parts can be read."""
    preset, path = observers.add_probe(fleet.cluster.preset)
    bundle = publications.split_document('preset', preset)
    manifest = digests.compute_digest(bundle.manifest)
    pointer = json.dumps({'manifest': manifest})
    before = observers.read_versions(fleet, 'preset')
    fleet.cluster.control_platform(
        'publish', key='channels/preset', value=pointer
    )
    gevent.sleep(1.5)
    assert observers.read_versions(fleet, 'preset') == before
    values = {manifest: bundle.manifest, **bundle.parts}
    entries = [
        {'key': f'parts/{digest}', 'value': data.decode()}
        for digest, data in values.items()
    ]
    observers.check_convergence(
        fleet,
        path,
        lambda: fleet.cluster.control_platform('publish', values=entries),
    )
    fleet.cluster.preset = preset


@pytest.mark.parametrize('who', ['one', 'zone', 'all-but-one'])
def test_restart_under_stale_platform(fleet, who):
    """Restarted nodes must not apply an older revision of the platform."""
    vms = list(fleet.cluster.vms)
    chosen = {
        'one': vms[:1],
        'zone': fleet.list_vms_in('liege'),
        'all-but-one': vms[1:],
    }[who]
    revision = read_revision(fleet)
    path = observers.publish_and_check_convergence(fleet)
    version = min(observers.read_versions(fleet, 'preset').values())
    fleet.cluster.control_platform('fault', stale=revision)
    with observers.VersionLog(fleet) as log:
        with observers.Callers(fleet, chosen, path) as probes:
            restart(fleet, chosen)
            fleet.cluster.wait_serving(chosen)
            gevent.sleep(1.5)
    log.check()
    assert probes.count_served()
    assert 404 not in {record.status for record in probes.records}
    assert min(observers.read_versions(fleet, 'preset').values()) == version
    fleet.cluster.control_platform('fault', clear=True, stale=False)
    observers.publish_and_check_convergence(fleet)


def test_updates_that_cross(fleet):
    """Reordered answers of the platform must not revert versions."""
    fleet.cluster.control_platform('fault', disorder=True)
    with observers.VersionLog(fleet) as log:
        for _ in range(_N_ROUNDS):
            _, path = observers.publish_probe(fleet)
            gevent.sleep(0.15)
        observers.check_convergence(fleet, path)
    log.check()


def test_two_contents_under_one_revision(fleet):
    """Other content must not replace the content in force at a revision."""
    path = observers.publish_and_check_convergence(fleet)
    version = max(observers.read_versions(fleet, 'preset').values())
    preset, other_path = observers.add_probe(fleet.cluster.preset)
    bundle = publications.split_document('preset', preset)
    digest = digests.compute_digest(bundle.manifest)
    pulls = []
    registry = handlers.HandlerRegistry()
    registry.register(messages.Pull, lambda peer, pull: pulls.append(peer.vm))
    vms = fleet.cluster.vms
    twin = manager.LinkManager(
        handshakes.Identity('twin', 1),
        fleet.cluster.plan.fleet_secrets,
        lambda vm: ('127.0.0.1', vms[vm].link_port),
        registry,
    )
    twin.start()
    announce = messages.Announce('preset', version, digest)
    name = 'jayseam_distribution_offers_total'
    try:
        for vm in vms:
            twin.dial_address('127.0.0.1', vms[vm].link_port)
            assert twin.notify(vm, announce)
        fleet.cluster.wait_until(
            lambda: all(
                observers.read_metric(fleet, vm, name, verdict='conflict')
                for vm in vms
            ),
            3.0,
            'conflicts are counted',
        )
    finally:
        twin.stop()
    for vm in vms:
        assert fleet.cluster.call(vm, path).status == 200
        assert fleet.cluster.call(vm, other_path).status == 404
    assert not pulls
    observers.publish_and_check_convergence(fleet)


def restart_all_under_stale_platform(fleet):
    """Restarts all nodes while the platform serves an older revision.

    Returns:
      The paths of a probe that is in force again, and of one that is not.
    """
    old_path = observers.publish_and_check_convergence(fleet)
    revision = read_revision(fleet)
    path = observers.publish_and_check_convergence(fleet)
    fleet.cluster.control_platform('fault', stale=revision)
    restart(fleet, list(fleet.cluster.vms))
    fleet.cluster.wait_serving()
    return old_path, path


def test_all_new_and_platform_stale(fleet):
    """A fully restarted fleet must serve an old revision, then catch up."""
    old_path, path = restart_all_under_stale_platform(fleet)
    with observers.VersionLog(fleet) as log:
        for vm in fleet.cluster.vms:
            assert fleet.cluster.call(vm, old_path).status == 200
            assert fleet.cluster.call(vm, path).status == 404
        observers.check_convergence(
            fleet,
            path,
            lambda: fleet.cluster.control_platform('fault', stale=False),
        )
    log.check()


def test_all_new_and_platform_stale_is_shown(fleet):
    """The status must show that no node can confirm the newest version."""
    restart_all_under_stale_platform(fleet)
    shown = {
        vm: fleet.cluster.read_status(vm)['unconfirmed']
        for vm in fleet.cluster.vms
    }
    assert all(shown.values()), shown


def test_platform_outage(fleet):
    """A platform outage must not stop calls, nor later versions."""
    vms = list(fleet.cluster.vms)
    with observers.VersionLog(fleet) as log:
        with observers.Callers(fleet, vms) as callers:
            fleet.cluster.control_platform('fault', down='refuse')
            gevent.sleep(3.0)
            fleet.cluster.control_platform('fault', down='answer-503')
            gevent.sleep(1.5)
            fleet.cluster.control_platform('fault', clear=True)
            observers.publish_and_check_convergence(fleet)
    log.check()
    assert callers.count_served() and not callers.list_failed()
