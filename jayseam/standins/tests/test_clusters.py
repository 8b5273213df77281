"""Tests of clusters without real nodes."""

import json
import os
import signal
import types

import pytest

from jayseam.core import digests
from jayseam.standins import clusters
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import plans
from jayseam.standins.tests import clients

_PRESET = {
    'name': 'ordinary',
    'zones': [
        {'name': zone, 'region': 'r', 'in_service': True} for zone in 'ab'
    ],
    'upstreams': [
        {'name': f'u{i}', 'zone': 'ab'[i % 2], 'slots': 4, 'connections': 9}
        for i in range(4)
    ],
}
_KEYS = {'keys': [{'key_id': 'k1'}, {'key_id': 'k2'}]}


def _split(_, document):
    part = json.dumps(document).encode()
    digest = digests.compute_digest(part)
    manifest = json.dumps({'parts': {'all': digest}}).encode()
    return types.SimpleNamespace(manifest=manifest, parts={digest: part})


def _plan(**options):
    return plans.ClusterPlan(_PRESET, _KEYS, split=_split, **options)


def _read(port, path):
    address = (clients.HOST, port)
    return exchanges.exchange_once(address, 'GET', path, timeout_s=0.5)


def _read_document(cluster, channel):
    """Follows a channel's pointer and manifest to the document."""
    prefix = '/v1/values/'
    path = f'{prefix}channels/{channel}'
    pointer = _read(cluster.platform_port, path).decode()
    path = f'{prefix}parts/{pointer["manifest"]}'
    parts = _read(cluster.platform_port, path).decode()['parts']
    path = f'{prefix}parts/{parts["all"]}'
    return _read(cluster.platform_port, path).decode()


def test_cluster_publishes_and_parts_zones():
    """Operator actions and partitions must change what nodes read."""
    with clusters.Cluster(_plan(fault_proxies=True), False) as cluster:
        version = cluster.take_zone_out('a')
        assert cluster.withdraw_key('k1') > version
        zones = _read_document(cluster, 'preset')['zones']
        assert [zone['in_service'] for zone in zones] == [False, True]
        keys = _read_document(cluster, 'keys')['keys']
        assert keys == [{'key_id': 'k2'}]
        ports = {}
        for vm in cluster.vms.values():
            settings = cluster.build_node_settings(vm)
            url = settings['source']['urls'][0]
            ports[vm.zone] = int(url.rpartition(':')[2])
            assert vm.name not in [seed['vm'] for seed in settings['seeds']]
            assert vm.advertised_port != vm.link_port
        cluster.partition('a', ['b', 'platform'])
        assert _read(ports['b'], '/v1/vms').status == 200
        with pytest.raises(errors.ExchangeError):
            _read(ports['a'], '/v1/vms')
        cluster.heal()
        listed = _read(ports['a'], '/v1/vms').decode()['vms']
        assert {entry['vm'] for entry in listed} == set(cluster.vms)
        assert set(cluster.collect_peaks()) == {'u0', 'u1', 'u2', 'u3'}
        assert not cluster.collect_runs()


def test_failed_start_ends_its_processes(capfd):
    """A failed start must end all its processes and print their logs."""
    cluster = clusters.Cluster(_plan(backend={'overload': 'wrong'}), False)
    launched = []
    launch = cluster.launcher.launch

    def record(*arguments):
        launched.append(launch(*arguments))
        return launched[-1]

    cluster.launcher.launch = record
    with pytest.raises(errors.ClusterError):
        with cluster:
            pass
    assert len(launched) == 2
    for process in launched:
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)
    assert 'overload' in capfd.readouterr().err
    assert cluster.launcher.directory is None


def test_wait_until_reports_the_condition():
    """The error of a wait that times out must name the condition."""
    cluster = clusters.Cluster(_plan(), False)
    with pytest.raises(errors.ClusterError, match='all serve'):
        cluster.wait_until(lambda: False, 0.1, 'all serve')
    cluster.stop()


def test_node_processes_are_governed():
    """Pause, restart, stop, kill and replacement must act on the processes."""
    plan = _plan(node_module='jayseam.standins.tests.idle_node')
    with clusters.Cluster(plan) as cluster:
        first, second, third, fourth = sorted(cluster.vms)
        before = cluster.read_status(first)['incarnation']
        cluster.pause(first)
        with pytest.raises(errors.ExchangeError):
            cluster.read_status(first, timeout_s=0.1)
        cluster.resume(first)
        assert cluster.read_status(first)['incarnation'] == before
        cluster.restart(first)
        assert cluster.terminate(second) == 0
        cluster.kill(third)
        killed = cluster.vms[third].process.returncode
        assert killed == -signal.SIGKILL
        new_vm = cluster.replace(fourth, graceful=False)
        cluster.wait_serving([first, new_vm])
        assert cluster.read_status(first)['incarnation'] != before
        assert cluster.vms[new_vm].upstream == 'u3'
        listed = _read(cluster.platform_port, '/v1/vms').decode()['vms']
        states = {entry['vm']: entry['state'] for entry in listed}
        assert states[second] == 'leaving'
        assert fourth not in states and states[new_vm] == 'live'
        assert len(cluster.list_targets()) == 4
        pids = [vm.process.pid for vm in cluster.vms.values()]
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_failing_node_fails_the_start(capfd):
    """A node that exits must fail the start at once and show its log."""
    plan = _plan(node_module='jayseam.standins.tests.absent')
    with pytest.raises(errors.ClusterError, match='ended with status 1'):
        with clusters.Cluster(plan):
            pass
    assert 'No module named' in capfd.readouterr().err
