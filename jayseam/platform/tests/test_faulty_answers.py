"""Real nodes beside backend servers whose answers are faulty byte by byte."""

import collections
import pathlib
import random

import gevent
import pytest

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.standins import answerfaults
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import platformbackend

SLOTS = 18
# Memory limit of the smallest sites.
MAX_PEAK_MB = 128.0
N_CALLERS = 60
LOAD_S = 1.5
ROUTE_TIMEOUT = '3000ms'


@pytest.fixture(name='fleet', scope='module')
def fleet_fixture():
    """Starts a fleet of three VMs, and ends it after the module."""
    fleet = fleets.Fleet(3)
    operator = operators.Operator(fleet, random.Random(1))
    routes = [
        samples.build_route('view', timeout=ROUTE_TIMEOUT),
        samples.build_route('book', kind='unsafe', timeout=ROUTE_TIMEOUT),
    ]
    configuration = samples.build_configuration('r2', routes, rate_per_s=10_000)
    for resource in configuration['resources']:
        if resource['resource_type'] == 'services':
            resource['spec'].update(max_connections=110, cold_start='0s')
    operator.write(operators.CONFIGURATION_KEY, configuration)
    for ip, vm in fleet.vms.items():
        entry = {**fleet.build_entry(ip, 'ready', 1), 'slots': SLOTS}
        operator.write(f'servers/{vm.backend.instance}', entry)
    fleet.start_all()
    yield fleet
    fleet.close()


@pytest.fixture(autouse=True)
def reset_fixture(fleet):
    """Starts each test with sound backend servers and no peaks."""
    for vm in fleet.vms.values():
        path = pathlib.Path(f'/proc/{vm.process.pid}/clear_refs')
        path.write_text('5', encoding='ascii')
    yield
    for vm in fleet.vms.values():
        vm.backend.answer_fault = None
        vm.backend.body_bytes = 0
    gevent.sleep(0.2)
    assert not list(fleet.list_exit_statuses())


def read_peaks_mb(fleet):
    """Returns the greatest memory of each node since the test began."""
    peaks = {}
    for ip, vm in fleet.vms.items():
        path = pathlib.Path(f'/proc/{vm.process.pid}/status')
        for line in path.read_text('utf-8').splitlines():
            if line.startswith('VmHWM'):
                peaks[ip] = int(line.split()[1]) / 1024
    return peaks


def build_headers(request_id, deadline_ms=2500):
    """Returns the header fields of a call."""
    return {
        'Host': samples.HOST,
        platformbackend.REQUEST_ID_HEADER: request_id,
        platformbackend.DEADLINE_HEADER: str(deadline_ms),
        'Authorization': f'Bearer {samples.KEYS["school"]}',
    }


def send_call(fleet, name, method='GET', body=b''):
    """Sends a call to the first node; returns its answer."""
    address = fleet.get_caller_address(next(iter(fleet.vms)))
    path = '/view/1' if method == 'GET' else '/book/1'
    return exchanges.exchange_once(
        address, method, path, build_headers(name), body
    )


def send_calls(fleet, name, until, outcomes):
    """Sends calls one after the other and counts how they end."""
    number = 0
    while clocks.read_now() < until:
        number += 1
        try:
            outcomes[send_call(fleet, f'{name}-{number}').status] += 1
        except errors.ExchangeError as error:
            outcomes[str(error)] += 1


def send_load(fleet, name):
    """Sends many calls at once; returns how they ended."""
    outcomes = collections.Counter()
    until = clocks.read_now() + LOAD_S
    gevent.joinall(
        [
            gevent.spawn(send_calls, fleet, f'{name}-{n}', until, outcomes)
            for n in range(N_CALLERS)
        ],
        raise_error=True,
    )
    return outcomes


@pytest.mark.parametrize('pause_s', [0.0, 0.05])
@pytest.mark.parametrize('kind', ['head', 'length', 'chunked', 'unsized'])
def test_streams_on_all_connections_leave_nodes_running(fleet, kind, pause_s):
    """Faulty servers must not end the nodes, or the calls of others."""
    fault = answerfaults.AnswerFault(
        f'endless-{kind}', size_bytes=1_800_000, pause_s=pause_s
    )
    for vm in list(fleet.vms.values())[1:]:
        vm.backend.answer_fault = fault
    outcomes = send_load(fleet, f'{kind}-{pause_s}')
    assert max(read_peaks_mb(fleet).values()) < MAX_PEAK_MB
    assert set(outcomes) <= {200, 503, 504}
    assert outcomes[200] > N_CALLERS


def test_bodies_that_come_slowly_leave_the_node_running(fleet):
    """Callers that send slowly must not end the calls of others."""
    address = fleet.get_caller_address(next(iter(fleet.vms)))
    fields = {**build_headers('slow'), 'Content-Length': '1048576'}
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    head = f'POST /book/1 HTTP/1.1\r\n{lines}\r\n'.encode()
    slow = []
    for _ in range(150):
        caller = gevent.socket.create_connection(address)
        caller.sendall(head)
        slow.append((caller, gevent.spawn(send_quietly, caller)))
    gevent.sleep(1.0)
    for number in range(20):
        assert send_call(fleet, f'beside-{number}').status == 200
    for caller, sender in slow:
        sender.kill()
        caller.close()
    assert max(read_peaks_mb(fleet).values()) < MAX_PEAK_MB


def send_quietly(caller):
    """Sends a body without its end; the node may refuse it meanwhile."""
    try:
        caller.sendall(b'x' * 1_048_000)
    except OSError:
        # The test looks at the calls of others.
        pass


# Faults with which no answer is whole and valid.
CUTS = {
    'nothing': answerfaults.AnswerFault(),
    'status line': answerfaults.AnswerFault(cut_at=11),
    'field': answerfaults.AnswerFault(cut_at=30),
    'end of head': answerfaults.AnswerFault(cut_at=-1, after_head=True),
    'end of head, chunked': answerfaults.AnswerFault(
        form='chunked', cut_at=-2, after_head=True
    ),
    'end of head, no length': answerfaults.AnswerFault(
        form='unsized', cut_at=-1, after_head=True
    ),
    'head only': answerfaults.AnswerFault(after_head=True),
    'body': answerfaults.AnswerFault(cut_at=63, after_head=True),
    'chunk': answerfaults.AnswerFault(
        form='chunked', cut_at=66, after_head=True
    ),
    'body, no length, reset': answerfaults.AnswerFault(
        form='unsized', cut_at=10, after_head=True, reset=True
    ),
    'body, reset': answerfaults.AnswerFault(
        cut_at=63, after_head=True, reset=True
    ),
    'status line, reset': answerfaults.AnswerFault(cut_at=11, reset=True),
    **{
        f'status {status}': answerfaults.AnswerFault('status', status=status)
        for status in ('000', '099', '600', '999', '1000', '20x')
    },
}


def count_runs(fleet, request_id):
    """Returns how often a call reached a backend server."""
    return sum(
        arrival.request_id == request_id
        for vm in fleet.vms.values()
        for arrival in vm.backend.arrivals
    )


@pytest.mark.parametrize('name', CUTS)
def test_cut_answer_is_no_success(fleet, name):
    """A caller must not get a part of an answer as a whole one."""
    for vm in fleet.vms.values():
        vm.backend.answer_fault = CUTS[name]
    for method in ('GET', 'POST'):
        request_id = f'cut-{name}-{method}'
        answer = send_call(fleet, request_id, method)
        assert answer.status in (502, 504)
        n_runs = count_runs(fleet, request_id)
        # A call that may not be repeated never runs at a second server.
        assert n_runs == 1 if method == 'POST' else 1 <= n_runs <= 2


@pytest.mark.parametrize('name', CUTS)
def test_repeatable_call_is_sent_elsewhere(fleet, name):
    """One faulty server must not fail calls that others can answer."""
    faulty = list(fleet.vms.values())[0]
    faulty.backend.answer_fault = CUTS[name]
    n_retried = 0
    for number in range(12):
        request_id = f'again-{name}-{number}'
        answer = send_call(fleet, request_id)
        assert answer.status in (200, 504)
        if answer.status == 200:
            assert answer.decode()['id'] == request_id
            n_retried += count_runs(fleet, request_id) == 2
    assert n_retried
