"""Tests of the backend stand-in through real sockets."""

import gevent
import pytest
from gevent import socket

from jayseam.standins import answers
from jayseam.standins import backend
from jayseam.standins import backendhosts
from jayseam.standins import coldstarts
from jayseam.standins import durations
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins.tests import clients

_HEADERS = {
    'Request-Id': 'r1',
    'Jayseam-Workspace': 'w1',
    'X-Echo': 'e1',
    'X-Answer-Bytes': '100',
}


class _Client(clients.StandinClient):
    """Calls and controls one backend server."""

    def __init__(self, mean_ms=1.0, **settings):
        time = durations.ServiceTime('fixed', mean_ms)
        server = backend.BackendSettings('b1', service_time=time, **settings)
        host = backendhosts.BackendHost(
            backendhosts.BackendHostSettings([server])
        )
        super().__init__(host)

    @property
    def address(self):
        return (clients.HOST, self.standin.backends['b1'].port)

    def connect(self):
        return exchanges.Connection(*self.address)

    def call(self, path='/x', method='GET', timeout_s=2.0, **headers):
        fields = {k.replace('_', '-'): v for k, v in headers.items()}
        return exchanges.exchange_once(
            self.address,
            method,
            path,
            {**_HEADERS, **fields},
            timeout_s=timeout_s,
        )

    def call_together(self, count):
        calls = [gevent.spawn(self.call) for _ in range(count)]
        return [call.get(timeout=3.0).status for call in calls]

    def runs(self):
        return self.control('runs')['b1']

    def peaks(self):
        return self.control('peaks')['b1']


@pytest.fixture(name='make_client')
def _make_client():
    yield from clients.provide_clients(_Client)


def test_answer_is_whole_and_of_its_request(make_client):
    """Callers verify by this metadata that an answer is complete and theirs."""
    answer = make_client().call(Idempotency_Key='k1')
    metadata = answers.verify_body(answer.body)
    assert (metadata['request_id'], metadata['workspace']) == ('r1', 'w1')
    assert (metadata['echo'], metadata['idempotency_key']) == ('e1', 'k1')
    assert metadata['filler_bytes'] == 100
    assert answer.headers['request-id'] == 'r1'


def test_runs_record_keys_seen(make_client):
    """A run must record that a key reached the backend server."""
    client = make_client(secrets=['s3cret'])
    client.call()
    client.call(Authorization='Bearer x')
    client.call(path='/x?api_key=1')
    client.call(X_Other='has s3cret inside')
    assert [run['key_seen'] for run in client.runs()] == [False] + 3 * [True]


@pytest.mark.parametrize('overload', ['slow', 'fail', 'shed'])
def test_overload_is_recorded(make_client, overload):
    """Requests over the slots must be counted, whatever their effect."""
    client = make_client(slots=2, mean_ms=50.0, overload=overload)
    statuses = client.call_together(4)
    expected = {'slow': 200, 'fail': 500, 'shed': 503}[overload]
    assert statuses.count(expected) >= 2
    peaks = client.peaks()
    assert peaks['overloads'] == 2
    assert peaks['in_flight'] == (4 if overload == 'slow' else 2)


def test_connections_over_the_limit_are_reset(make_client):
    """Connections over the limit of a backend server must be reset."""
    client = make_client(connections=2)
    connections = [client.connect() for _ in range(2)]
    for connection in connections:
        connection.exchange('GET', '/x', _HEADERS)
    with pytest.raises(errors.ExchangeError):
        client.call()
    assert client.peaks()['connections_refused'] == 1
    for connection in connections:
        connection.close()


def test_cold_start_falls_over_when_overrun(make_client):
    """Full load during a cold start must fail all requests for a while."""
    cold = coldstarts.ColdStart(1, duration_s=5.0, fall_over_s=0.2)
    client = make_client(cold_start=cold, mean_ms=50.0)
    assert client.call('/.backend/health').decode()['state'] == 'starting'
    assert client.call().status == 200
    assert client.call_together(3) == [500] * 3
    assert client.call().status == 500
    gevent.sleep(0.25)
    assert client.call().status == 200
    assert client.peaks()['falls'] == 1


def test_restart_can_be_silent(make_client):
    """A new cold start must be possible without a change of the health."""
    cold = coldstarts.ColdStart(1, duration_s=0.3, fall_over_s=0.1)
    client = make_client(cold_start=cold, mean_ms=20.0)
    gevent.sleep(0.35)
    assert client.call_together(3) == [200] * 3
    client.control('restart')
    assert client.call('/.backend/health').decode()['state'] == 'ready'
    assert client.call_together(3) == [500] * 3


def test_stop_resets_and_start_listens_again(make_client):
    """A crashed server must refuse connections until it is started again."""
    client = make_client()
    client.control('stop')
    with pytest.raises(errors.ExchangeError) as refused:
        client.call()
    assert not refused.value.sent
    client.control('start')
    assert client.call().status == 200


def test_drain_shows_in_health_answers_and_runs(make_client):
    """Requests sent to a draining server must be recorded as such."""
    client = make_client()
    client.control('drain')
    assert client.call('/.backend/health').decode()['state'] == 'draining'
    assert client.call().headers['connection'].lower() == 'close'
    assert client.runs()[0]['draining_s'] >= 0


def test_health_can_lag_and_lie(make_client):
    """Health answers are only hints, so tests must be able to falsify them."""
    client = make_client(health_lag_s=5.0)
    client.call('/.backend/health')
    client.control('drain')
    assert client.call('/.backend/health').decode()['state'] == 'ready'
    client.control('health', state='starting', load=0.9)
    report = client.call('/.backend/health').decode()
    assert report == {'state': 'starting', 'load': 0.9}


def test_work_is_not_started_past_the_deadline(make_client):
    """A request past its deadline must not run, as its caller has left."""
    client = make_client()
    client.control('fault', kind='late', when='before', ms=50)
    answer = client.call(Request_Timeout_Ms='20')
    assert (answer.status, answer.headers['shed']) == (503, 'not-run')
    assert not client.runs()


def test_cancel_ends_a_running_request(make_client):
    """A cancelled request must free its slot at once."""
    client = make_client(mean_ms=1500.0)
    running = gevent.spawn(client.call)
    gevent.sleep(0.05)
    assert client.call('/.backend/cancel/r1', 'POST').status == 200
    assert running.get(timeout=1.0).status == 409
    assert client.runs()[0]['status'] == 'cancelled'
    assert client.call('/.backend/cancel/r1', 'POST').status == 404


@pytest.mark.parametrize('kind', ['hang', 'reset', 'truncate'])
def test_faults_lose_the_answer_after_the_run(make_client, kind):
    """Requests must be able to run without a complete answer arriving."""
    client = make_client()
    client.control('fault', kind=kind)
    with pytest.raises(errors.ExchangeError) as lost:
        client.call(timeout_s=0.2)
    assert lost.value.sent
    assert [run['status'] for run in client.runs()] == ['done']


@pytest.mark.parametrize('status', [0, 99, 600, 999])
def test_broken_statuses_are_sent_after_the_run(make_client, status):
    """Tests need servers that answer with statuses that don't exist."""
    client = make_client()
    client.control('fault', kind='status', status=status)
    with socket.create_connection(client.address) as sock:
        sock.sendall(b'GET /x HTTP/1.1\r\nHost: b\r\nRequest-Id: r\r\n\r\n')
        assert sock.recv(12) == b'HTTP/1.1 %03d' % status
    assert [run['status'] for run in client.runs()] == ['done']


def test_shed_requests_do_not_run(make_client):
    """A shed answer says that the request did not run, so it must not."""
    client = make_client()
    client.control('fault', kind='shed')
    answer = client.call()
    assert (answer.status, answer.headers['shed']) == (503, 'not-run')
    assert 'retry-after' in answer.headers and not client.runs()


def test_nested_calls_carry_the_token(make_client):
    """A nested call must carry the call token that the server received."""
    inner = make_client()
    outer = make_client(node_port=inner.address[1])
    answer = outer.call(X_Nest='2', Jayseam_Call_Token='t1')
    nested = answers.verify_body(answer.body)['nested']
    assert [entry['status'] for entry in nested] == [200]
    assert inner.runs()[0]['nested']
