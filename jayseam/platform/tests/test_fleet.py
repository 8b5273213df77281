"""Tests of real nodes with stand-ins of the platform's store and servers."""

import contextlib
import signal
import sys

import gevent
import geventhttpclient
import pytest

from jayseam.core import clocks
from jayseam.limits import replicas
from jayseam.platform import main
from jayseam.platform.tests import samples
from jayseam.standins import kvstore
from jayseam.standins import platformbackend
from jayseam.standins import processes
from jayseam.standins import serving
from jayseam.standins import waits

# Deadlines from the platform's settings, in seconds.
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
START_S = 20.0
# Time after an outage of the store from which the deadlines apply, in seconds.
OUTAGE_END_S = 3.0


class _Fleet:
    """Nodes and backend servers on loopback addresses, and the store."""

    def __init__(self, directory):
        self.directory = directory
        self.store = kvstore.KeyValueStore()
        self.ports = processes.PortReservations()
        self.nodes = {}
        self.backends = {}
        self.servers = [kvstore.serve_store(self.store, '127.0.0.1')]
        self.numbers = [self.ports.reserve() for _ in range(6)]
        self.count = 0

    def add_vm(self, ip, zone):
        """Starts a backend server and its node."""
        inbound, outbound, ready, admin, app, _ = self.numbers
        self.count += 1
        backend = platformbackend.Backend(f'i-{self.count}')
        server = serving.Server((ip, app), backend)
        server.start()
        self.servers.append(server)
        self.backends[ip] = backend
        store_port = self.servers[0].server_port
        text = samples.build_settings(
            ip,
            zone,
            f'127.0.0.1:{store_port}',
            **{
                'self.app_address': f'{ip}:{app}',
                'network.listen.inbound': f'{ip}:{inbound}',
                'network.listen.outbound': f'{ip}:{outbound}',
                'network.listen.ready': f'{ip}:{ready}',
                'network.internal_ports': f'{admin},{admin}',
            },
        )
        (self.directory / f'{ip}.conf').write_text(text)
        self.start_node(ip)
        self.register(ip, zone)

    def start_node(self, ip):
        """Starts the node of a VM."""
        path = self.directory / f'{ip}.conf'
        self.nodes[ip] = processes.ManagedProcess(
            f'node {ip}',
            [sys.executable, '-m', 'jayseam.platform.main', '--settings', path],
            self.directory / f'{ip}.log',
        )

    def register(self, ip, zone, **fields):
        """Writes the entry of a backend server into the store."""
        instance = self.backends[ip].instance
        entry = samples.build_entry(
            f'{ip}:{self.numbers[4]}', zone=zone, **fields
        )
        self.store.put(f'servers/{instance}', entry)

    def unregister(self, ip):
        """Removes the entry of a backend server from the store."""
        self.store.delete(f'servers/{self.backends[ip].instance}')

    def is_ready(self, ip):
        """Returns whether a node reports that it is ready."""
        try:
            return self._get(ip, self.numbers[2], '/jayseam/ready')[0] == 200
        except OSError:
            return False

    def call(self, ip, path, key=samples.KEYS['museum'], **headers):
        """Sends a call as a caller on a VM; returns the status and reply."""
        self.count += 1
        fields = {
            'Host': samples.HOST,
            platformbackend.REQUEST_ID_HEADER: f'{self.count:016x}',
            'Jayseam-Deadline-Ms': '1000',
            **headers,
        }
        if key:
            fields['Authorization'] = f'Bearer {key}'
        method = 'POST' if path.startswith('/book/') else 'GET'
        return self._get(ip, self.numbers[1], path, method, fields)

    def _get(self, ip, port, path, method='GET', headers=None):
        client = geventhttpclient.HTTPClient(
            ip, port, connection_timeout=1.0, network_timeout=3.0
        )
        try:
            reply = client.request(method, path, headers=headers or {})
            reply.read()
            return reply.status_code, reply
        finally:
            client.close()

    def arrivals(self, since=0):
        """Returns the requests that backend servers have received."""
        return [
            arrival
            for backend in self.backends.values()
            for arrival in backend.arrivals[since:]
        ]

    def stop(self):
        """Stops all processes and servers."""
        for node in self.nodes.values():
            with contextlib.suppress(ProcessLookupError):
                node.send_signal(signal.SIGKILL)
            node.wait(5.0)
        for server in self.servers:
            server.stop_at_once()
        self.ports.close()


@pytest.fixture(name='fleet', scope='module')
def _fleet(tmp_path_factory):
    """Yields a ready fleet of four VMs in two zones."""
    fleet = _Fleet(tmp_path_factory.mktemp('fleet'))
    try:
        fleet.store.put('op/config', samples.build_configuration())
        for number, zone in enumerate('abab', 1):
            fleet.add_vm(f'127.0.1.{number}', zone)
        for ip in fleet.nodes:
            waits.wait_until(lambda ip=ip: fleet.is_ready(ip), START_S, ip)
        yield fleet
    finally:
        fleet.stop()


def test_variable_names_the_settings_file(monkeypatch):
    """The platform passes the path in an environment variable."""
    monkeypatch.setenv(main.SETTINGS_VARIABLE, '/nowhere/boot.conf')
    assert main.main(['--check']) == 2


def test_forwarded_call_has_the_expected_headers(fleet):
    """A backend server gets tenant, caller and time left, but not the key."""
    status, reply = fleet.call('127.0.1.1', '/view/1')
    assert status == 200
    assert reply.get(platformbackend.SIGNATURE_HEADER)
    arrival = fleet.arrivals()[-1]
    assert any(
        a.workspace == 'museum' and a.caller_service == 'pickups'
        for a in fleet.arrivals()
    )
    assert not arrival.authorization
    assert 0 < arrival.deadline_ms <= 1000


def test_refuses_what_the_configuration_refuses(fleet):
    """Unknown routes and missing or unknown keys get their own statuses."""
    assert fleet.call('127.0.1.1', '/nothing/1')[0] == 404
    assert fleet.call('127.0.1.1', '/view/1', key='')[0] == 401
    assert fleet.call('127.0.1.1', '/view/1', key='unknown')[0] == 401
    assert fleet.call('127.0.1.1', '/open/1', key='')[0] == 200


def test_a_full_server_is_tried_elsewhere_once(fleet):
    """A call that was refused as not run goes to another server, even unsafe.

    No request may run twice.
    """
    full = fleet.backends['127.0.1.1']
    full.full = True
    try:
        statuses = [fleet.call('127.0.1.1', '/book/1')[0] for _ in range(10)]
    finally:
        full.full = False
    assert statuses.count(200) >= 9
    ran = [a.request_id for a in fleet.arrivals() if a.ran]
    assert len(ran) == len(set(ran))


def test_crossed_and_unsigned_answers_are_not_passed_on(fleet):
    """A caller must not get an answer of another call or an unsigned one."""
    for name in ('crossed', 'unsealed'):
        for backend in fleet.backends.values():
            setattr(backend, name, True)
        try:
            assert fleet.call('127.0.1.2', '/book/1')[0] in (502, 504)
        finally:
            for backend in fleet.backends.values():
                setattr(backend, name, False)


def _wait_for_status(fleet, path, status, within_s):
    """Waits until calls of a path through every node get a status."""
    for ip in fleet.nodes:
        waits.wait_until(
            lambda ip=ip: fleet.call(ip, path)[0] == status, within_s, ip
        )


def test_a_new_version_is_in_force_everywhere(fleet):
    """A new route must be served by every node before the deadline."""
    routes = [
        samples.build_route('view'),
        samples.build_route('book', kind='unsafe'),
        samples.build_route('open', public=True),
        samples.build_route('added'),
    ]
    fleet.store.put('op/config', samples.build_configuration('r5', routes))
    _wait_for_status(fleet, '/added/1', 200, CONFIG_APPLY_S)


def test_a_withdrawn_key_stops(fleet):
    """A revoked key must be refused by every node before the deadline."""
    keys = {'school': samples.KEYS['school']}
    fleet.store.put('op/config', samples.build_configuration('r8', keys=keys))
    _wait_for_status(fleet, '/view/1', 401, REVOKE_S)
    fleet.store.put('op/config', samples.build_configuration('r11'))
    _wait_for_status(fleet, '/view/1', 200, CONFIG_APPLY_S)


def test_a_zone_out_of_service_gets_nothing(fleet):
    """An evacuated zone must serve no call until its evacuation ends."""
    fleet.store.put('op/evacuate/b', {})
    evacuated = [fleet.backends[f'127.0.1.{n}'] for n in (2, 4)]

    def gets_nothing_new():
        before = sum(len(b.arrivals) for b in evacuated)
        for ip in fleet.nodes:
            assert fleet.call(ip, '/view/1')[0] == 200
        return sum(len(b.arrivals) for b in evacuated) == before

    waits.wait_until(gets_nothing_new, CONFIG_APPLY_S)
    fleet.store.delete('op/evacuate/b')
    waits.wait_until(lambda: not gets_nothing_new(), CONFIG_APPLY_S + 10.0)


def test_a_leaving_server_gets_nothing(fleet):
    """After an entry becomes draining, calls must go to other servers."""
    fleet.register('127.0.1.3', 'a', state='draining', sequence=2)
    leaving = fleet.backends['127.0.1.3']

    def gets_nothing_new():
        before = len(leaving.arrivals)
        for ip in list(fleet.nodes)[:3]:
            for _ in range(4):
                assert fleet.call(ip, '/view/1')[0] == 200
        return len(leaving.arrivals) == before

    waits.wait_until(gets_nothing_new, CONFIG_APPLY_S)
    # The node of the draining server must still serve its callers at the
    # fleet's rates, even after the timeout for silent peers.
    gevent.sleep(replicas.SILENCE_TIMEOUT_S + 0.5)
    for _ in range(20):
        assert fleet.call('127.0.1.3', '/view/1')[0] == 200
    fleet.register('127.0.1.3', 'a', sequence=3)
    waits.wait_until(lambda: not gets_nothing_new(), CONFIG_APPLY_S + 3.0)


def test_an_outage_of_the_store_stops_keyed_calls_in_time(fleet):
    """Calls with unconfirmed keys are refused as not run during an outage."""
    fleet.store.faults = kvstore.Faults(status=503)
    try:
        waits.wait_until(
            lambda: fleet.call('127.0.1.1', '/view/1')[0] == 503, REVOKE_S
        )
        assert fleet.call('127.0.1.1', '/open/1', key='')[0] == 200
    finally:
        fleet.store.faults = kvstore.Faults()
    waits.wait_until(
        lambda: fleet.call('127.0.1.1', '/view/1')[0] == 200, REVOKE_S
    )


def test_a_long_outage_refuses_no_proper_request(fleet):
    """What was added in an outage must be served after it and not called wrong.

    The store is silent for longer than two watch requests, so that a node which
    gives up reading is found out. Until a node can know better, the new key and
    the new route are answered as not run, never with 401 or 404.
    """
    fleet.store.faults = kvstore.Faults(silent=True)
    try:
        waits.wait_until(
            lambda: fleet.call('127.0.1.1', '/view/1')[0] == 503, REVOKE_S
        )
        statuses = set()
        for _ in range(10):
            for ip in fleet.nodes:
                statuses.add(fleet.call(ip, '/view/1', key='unknown')[0])
                statuses.add(fleet.call(ip, '/nothing/1')[0])
            gevent.sleep(1.0)
        keys = {**samples.KEYS, 'museum': 'addedaddedaddedadded'}
        routes = [samples.build_route('view'), samples.build_route('late')]
        fleet.store.put(
            'op/config', samples.build_configuration('r14', routes, keys)
        )
    finally:
        fleet.store.faults = kvstore.Faults()
    try:
        for ip in fleet.nodes:
            waits.wait_until(
                lambda ip=ip: fleet.call(ip, '/late/1', key=keys['museum'])[0]
                == 200,
                OUTAGE_END_S + CONFIG_APPLY_S,
                ip,
            )
    finally:
        fleet.store.put('op/config', samples.build_configuration('r17'))
        _wait_for_status(fleet, '/view/1', 200, START_S)
    assert statuses == {503}


def _call_all(fleet, path, key=samples.KEYS['museum']):
    """Returns the statuses of one call of a path through every node."""
    return {fleet.call(ip, path, key=key)[0] for ip in fleet.nodes}


def test_a_restored_store_brings_nothing_old_back(fleet):
    """A store that comes back from a copy must not undo confirmed changes.

    A route, the withdrawal of a key and an evacuation are in force when the
    store goes back to a copy from before them. They are written again a second
    later, then a route is added.
    """
    school = {'school': samples.KEYS['school']}
    both = [samples.build_route('view'), samples.build_route('kept')]
    copy = fleet.store.build_copy()
    # Revisions of the store are lower after the restore than before.
    for sequence in range(10, 20):
        fleet.register('127.0.1.1', 'a', sequence=sequence)
    fleet.store.put(
        'op/config', samples.build_configuration('r20', both, school)
    )
    fleet.store.put('op/evacuate/b', {})
    for ip in fleet.nodes:
        waits.wait_until(
            lambda ip=ip: fleet.call(ip, '/kept/1', samples.KEYS['school'])[0]
            == 200
            and fleet.call(ip, '/kept/1')[0] == 401,
            CONFIG_APPLY_S,
            ip,
        )
    evacuated = [fleet.backends[f'127.0.1.{n}'] for n in (2, 4)]
    gevent.sleep(1.0)
    arrivals = sum(len(b.arrivals) for b in evacuated)
    fleet.store.faults = kvstore.Faults(reset=True)
    gevent.sleep(0.5)
    fleet.store.restore(copy)
    fleet.store.faults = kvstore.Faults()
    kept, withdrawn = set(), set()
    for _ in range(10):
        kept |= _call_all(fleet, '/kept/1', samples.KEYS['school'])
        withdrawn |= _call_all(fleet, '/view/1')
        gevent.sleep(0.1)
    fleet.store.put(
        'op/config', samples.build_configuration('r20', both, school)
    )
    fleet.store.put('op/evacuate/b', {})
    for _ in range(20):
        kept |= _call_all(fleet, '/kept/1', samples.KEYS['school'])
        withdrawn |= _call_all(fleet, '/view/1')
        gevent.sleep(0.1)
    later = [*both, samples.build_route('later')]
    fleet.store.put(
        'op/config', samples.build_configuration('r23', later, school)
    )
    try:
        for ip in fleet.nodes:
            waits.wait_until(
                lambda ip=ip: fleet.call(
                    ip, '/later/1', samples.KEYS['school']
                )[0]
                == 200,
                CONFIG_APPLY_S,
                ip,
            )
        assert sum(len(b.arrivals) for b in evacuated) == arrivals
        assert kept == {200}
        assert withdrawn <= {401, 503}
    finally:
        fleet.store.delete('op/evacuate/b')
        fleet.store.put('op/config', samples.build_configuration('r26'))
        _wait_for_status(fleet, '/view/1', 200, START_S)


def test_a_node_that_starts_after_a_restore_asks_its_peers(fleet):
    """A node without a memory must not trust a copy that its peers outlived.

    The store comes back from a copy in which a withdrawn key is still granted,
    and nobody has written the configuration again yet.
    """
    copy = fleet.store.build_copy()
    school = {'school': samples.KEYS['school']}
    for sequence in range(30, 40):
        fleet.register('127.0.1.1', 'a', sequence=sequence)
    fleet.store.put(
        'op/config', samples.build_configuration('r30', keys=school)
    )
    _wait_for_status(fleet, '/view/1', 401, CONFIG_APPLY_S)
    fleet.store.restore(copy)
    statuses = set()
    try:
        fleet.nodes['127.0.1.1'].kill()
        fleet.start_node('127.0.1.1')
        deadline = clocks.read_now() + START_S
        while clocks.read_now() < deadline:
            with contextlib.suppress(OSError):
                statuses.add(fleet.call('127.0.1.1', '/view/1')[0])
            if statuses and fleet.is_ready('127.0.1.1'):
                break
        for _ in range(20):
            statuses.add(fleet.call('127.0.1.1', '/view/1')[0])
            gevent.sleep(0.1)
    finally:
        fleet.store.put('op/config', samples.build_configuration('r33'))
        _wait_for_status(fleet, '/view/1', 200, START_S)
    assert statuses <= {401, 503}


def test_a_new_server_gets_its_share(fleet):
    """A new VM must become ready and receive calls within seconds."""
    fleet.add_vm('127.0.1.5', 'a')
    waits.wait_until(lambda: fleet.is_ready('127.0.1.5'), START_S)

    def has_calls():
        for _ in range(5):
            fleet.call('127.0.1.1', '/view/1')
        return fleet.backends['127.0.1.5'].arrivals

    waits.wait_until(has_calls, 10.0)


def test_a_reload_keeps_the_node_running(fleet):
    """SIGHUP reloads the settings; invalid settings change nothing."""
    node = fleet.nodes['127.0.1.2']
    path = fleet.directory / '127.0.1.2.conf'
    text = path.read_text()
    for changed in (text.replace('grace=6s', 'grace=7s'), 'nonsense', text):
        path.write_text(changed)
        node.send_signal(signal.SIGHUP)
        gevent.sleep(0.2)
    assert fleet.call('127.0.1.2', '/view/1')[0] == 200
    log = node.log_path.read_text()
    assert 'node.reloaded' in log and 'node.reload_failed' in log


def test_a_stop_is_announced_and_cuts_nothing(fleet):
    """After SIGTERM a node is not ready, still serves and exits with 0."""
    node = fleet.nodes['127.0.1.4']
    node.send_signal(signal.SIGTERM)
    waits.wait_until(lambda: not fleet.is_ready('127.0.1.4'), 1.0)
    assert fleet.call('127.0.1.4', '/view/1')[0] == 200
    waits.wait_until(lambda: node.returncode is not None, 6.0)
    assert node.returncode == 0
    del fleet.nodes['127.0.1.4']
