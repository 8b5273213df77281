"""Calls through a fleet of real processes without network faults."""

import random
import socket

import gevent
import pytest

from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.presets import documents
from jayseam.standins import exchanges

WORKSPACE = 'bureau'
_CONVERGENCE_LIMIT_S = 5.0


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    with fleets.start_fleet() as fleet:
        fleet.wait_admitting()
        yield fleet


def call(fleet, path, key=None, method='GET', headers=None, body=b'', vm=None):
    """Calls a random node, or the given one."""
    chosen = vm or random.choice(list(fleet.cluster.vms))
    return fleet.cluster.call(chosen, path, key, method, headers, body)


def book(fleet, idempotency_key, body=b'a bin', vm=None):
    """Books a pickup, a call that must not run twice."""
    headers = {'Idempotency-Key': idempotency_key}
    key = fleet.keys[WORKSPACE]
    return call(fleet, '/pickups/1', key, 'POST', headers, body, vm)


def send_raw(fleet, data):
    """Sends bytes to a node and returns all bytes that it answers."""
    port = next(iter(fleet.cluster.vms.values())).caller_port
    with socket.create_connection(('127.0.0.1', port), timeout=5) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b''
        while chunk := sock.recv(65536):
            received += chunk
    return received


def test_open_and_keyed_routes_serve(fleet):
    """Any node must serve the routes of any service."""
    for vm in fleet.cluster.vms:
        assert call(fleet, '/drop-off-points/1', vm=vm).status == 200
    answer = call(fleet, '/credits/1', fleet.keys[WORKSPACE])
    assert answer.status == 200
    assert b'"workspace": "bureau"' in answer.body


@pytest.mark.parametrize(
    'path, headers, status, code',
    [
        ('/credits/1', {}, 401, 'key'),
        ('/credits/1', {'Authorization': 'Bearer a.b'}, 401, 'key'),
        ('/credits/1', {'Authorization': 'Basic a'}, 400, 'bad-request'),
        ('/credits/1', {'Jayseam-Call-Token': 'AAAA'}, 401, 'key'),
        ('/credits/1?api_key=a.b', {}, 400, 'key-misplaced'),
        ('/credits/1', {'X-Api-Key': 'a.b'}, 400, 'key-misplaced'),
        ('/nowhere', {}, 404, 'no-route'),
        ('/credits/../pickups', {}, 400, 'bad-request'),
        ('/drop-off-points/1', {'Request-Timeout-Ms': 'x'}, 400, 'bad-request'),
        ('/drop-off-points/1', {'X-Long': 'a' * 17000}, 431, None),
    ],
)
def test_bad_requests_are_refused(fleet, path, headers, status, code):
    """A refused request must not reach a backend server."""
    before = fleet.count_runs()
    answer = call(fleet, path, headers=headers)
    assert answer.status == status
    if code is not None:
        assert fleets.read_problem_code(answer) == code
        assert answer.decode()['ran'] == 'no'
    assert fleet.count_runs() == before


def test_key_copied_elsewhere_is_refused(fleet):
    """A key repeated in another field must not reach the backend server."""
    key = fleet.keys[WORKSPACE]
    answer = call(fleet, '/credits/1', key, headers={'X-Note': f'my {key}'})
    assert fleets.read_problem_code(answer) == 'key-misplaced'


@pytest.mark.parametrize(
    'lines',
    [
        b'Content-Length: 3\r\nContent-Length: 4',
        b'Content-Length: 3\r\nTransfer-Encoding: chunked',
        b'Transfer-Encoding: gzip, chunked',
        b'Content-Length: +3',
        b'Content-Length: -3',
        b'Content-Length : 3',
        b'X-Folded: a\r\n b',
        b'no colon',
    ],
)
def test_ambiguous_framing_is_refused(fleet, lines):
    """Parsers that disagree on a request's length allow request smuggling."""
    before = fleet.count_runs()
    first = b'GET /drop-off-points/1 HTTP/1.1\r\nHost: a\r\n' + lines
    second = b'GET /drop-off-points/2 HTTP/1.1\r\nHost: a\r\n\r\n'
    reply = send_raw(fleet, first + b'\r\n\r\n0\r\n\r\n' + second)
    assert reply.startswith(b'HTTP/1.1 400')
    assert reply.count(b'HTTP/1.1 ') == 1
    assert fleet.count_runs() == before


def test_large_bodies_are_refused(fleet):
    """A body over the limit must not fill the memory of a node."""
    reply = send_raw(
        fleet,
        b'GET /drop-off-points/1 HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 99999999\r\n\r\n',
    )
    assert reply.startswith(b'HTTP/1.1 413')


def test_unrepeatable_call_needs_a_key(fleet):
    """Without a key, a repeat can't be distinguished from a new request."""
    answer = call(fleet, '/pickups/1', fleet.keys[WORKSPACE], 'POST')
    assert fleets.read_problem_code(answer) == 'idempotency-key'


def test_repeats_get_the_first_answer_everywhere(fleet):
    """A repeat on another VM must join the first run."""
    key = fleets.make_idempotency_key()
    vms = random.sample(list(fleet.cluster.vms), 4)
    bodies = {book(fleet, key, vm=vm).body for vm in vms}
    assert len(bodies) == 1
    assert fleet.count_runs(idempotency_key=key) == 1
    mismatch = book(fleet, key, body=b'another bin')
    assert fleets.read_problem_code(mismatch) == 'idempotency-mismatch'


def test_concurrent_repeats_run_once(fleet):
    """Concurrent repeats at all nodes must run only once."""
    for _ in range(5):
        key = fleets.make_idempotency_key()
        jobs = [
            gevent.spawn(book, fleet, key, b'a bin', vm)
            for vm in fleet.cluster.vms
        ]
        gevent.joinall(jobs)
        statuses = {job.value.status for job in jobs}
        assert fleet.count_runs(idempotency_key=key) == 1
        assert statuses <= {200, 201}
        gevent.sleep(0.3)


def test_old_and_unknown_outcomes(fleet):
    """Any node must report the outcome of a key."""
    key = fleets.make_idempotency_key()
    path = f'/.jayseam/outcomes/{key}'
    workspace_key = fleet.keys[WORKSPACE]
    assert call(fleet, path, workspace_key).decode()['state'] == 'unknown'
    status = book(fleet, key).status
    answer = call(fleet, path, workspace_key).decode()
    assert answer == {'state': 'settled', 'status': status}
    other = call(fleet, path, fleet.keys['recyclers']).decode()
    assert other['state'] == 'unknown'
    hour_ago = clocks.read_wall_ms() - 3_600_000
    old = book(fleet, fleets.make_idempotency_key(hour_ago))
    assert fleets.read_problem_code(old) == 'idempotency-key'


def test_key_older_than_all_keepers_is_not_run(fleet):
    """Keepers started after the key was made can't confirm that it is new."""
    minutes_ago = clocks.read_wall_ms() - 300_000
    key = fleets.make_idempotency_key(minutes_ago)
    answer = book(fleet, key)
    assert fleets.read_problem_code(answer) == 'outcome-unknown'
    assert answer.decode()['ran'] == 'unknown'
    assert fleet.count_runs(idempotency_key=key) == 0


def test_nested_calls_are_bounded(fleet):
    """Nested calls run for the same workspace, at most ten levels deep."""
    key = fleet.keys[WORKSPACE]
    shallow = call(fleet, '/credits/1', key, headers={'X-Nest': '3'})
    assert shallow.status == 200
    before = fleet.count_runs(workspace=WORKSPACE)
    call(fleet, '/credits/1', key, headers={'X-Nest': '12'})
    assert fleet.count_runs(workspace=WORKSPACE) - before <= 11


def test_no_backend_server_sees_a_key(fleet):
    """The entry must remove the workspace key from requests."""
    assert fleet.count_runs() > 0
    assert not [run for run in fleet.cluster.collect_runs() if run['key_seen']]


def test_caller_that_leaves_cancels_its_call(fleet):
    """A call whose caller has disconnected must not hold a slot."""
    vm = fleet.list_vms_of('credits')[0]
    upstream = fleet.cluster.vms[vm].upstream
    fleet.cluster.control_backend(upstream, 'fault', kind='hang')
    try:
        port = fleet.cluster.vms[vm].caller_port
        key = fleet.keys[WORKSPACE]
        with socket.create_connection(('127.0.0.1', port)) as sock:
            sock.sendall(
                b'GET /credits/1 HTTP/1.1\r\nHost: a\r\n'
                b'Authorization: Bearer ' + key.encode() + b'\r\n\r\n'
            )
            gevent.sleep(0.5)
        fleet.cluster.wait_until(
            lambda: all(
                fleet.cluster.read_status(name)['backend']['in_flight'] == 0
                for name in fleet.list_vms_of('credits')
            ),
            2.0,
        )
    finally:
        fleet.cluster.control_backend(upstream, 'fault', kind='')


def test_withdrawn_key_stops_on_an_open_connection(fleet):
    """A withdrawn key must stop on an open connection within seconds."""
    workspace = 'huy'
    vm = fleet.cluster.vms[fleet.list_vms_of('refunds')[0]]
    connection = exchanges.Connection('127.0.0.1', vm.caller_port)
    fields = {'Authorization': f'Bearer {fleet.keys[workspace]}'}

    def status():
        return connection.exchange('GET', '/credits/1', fields, b'', 5.0).status

    assert status() == 200
    key_id = fleet.keys[workspace].partition('.')[0]
    fleet.cluster.withdraw_key(key_id)
    fleet.cluster.wait_until(lambda: status() == 401, _CONVERGENCE_LIMIT_S)
    # Publishing a preset again must not make the key valid again.
    preset = dict(
        documents.decode_json(documents.encode_json(fleet.cluster.preset))
    )
    version = fleet.cluster.publish(preset)
    fleet.cluster.wait_until(
        lambda: all(
            fleet.cluster.read_status(name)['versions']['preset'] >= version
            for name in fleet.cluster.vms
        ),
        _CONVERGENCE_LIMIT_S,
    )
    assert status() == 401
    connection.close()
