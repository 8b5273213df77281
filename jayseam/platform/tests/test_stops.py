"""Planned stops of real nodes on machines that refuse calls of the system."""

import json
import random

import gevent
import pytest

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import platformbackend
from jayseam.standins import waits

GRACE_S = 6.0
# Calls at work may be cut in the last sixth of the grace.
WORK_S = GRACE_S * 5 / 6
ROUTE_TIMEOUT_S = 20
N_CALLERS = 6


@pytest.fixture(name='start_fleet', scope='module')
def start_fleet_fixture():
    """Starts fleets of four VMs, and ends them after the module."""
    started = {}

    def start(*refused):
        if refused not in started:
            fleet = started[refused] = fleets.Fleet(4, refused)
            operator = operators.Operator(fleet, random.Random(1))
            timeout = f'{ROUTE_TIMEOUT_S}s'
            routes = [
                samples.build_route('book', kind='unsafe', timeout=timeout),
                samples.build_route('view', timeout=timeout),
            ]
            operator.write(
                operators.CONFIGURATION_KEY,
                samples.build_configuration('r2', routes, rate_per_s=1000),
            )
            for ip in fleet.vms:
                operator.register(ip)
            fleet.start_all()
        return started[refused]

    yield start
    for fleet in started.values():
        fleet.close()


def send_calls(fleet, ip, until, outcomes, name):
    """Sends calls one after the other and records how each ends."""
    connection = exchanges.Connection(*fleet.get_caller_address(ip))
    number = 0
    while clocks.read_now() < until:
        number += 1
        headers = {
            'Host': samples.HOST,
            platformbackend.REQUEST_ID_HEADER: f'{name}-{number}',
            platformbackend.DEADLINE_HEADER: '1500',
            'Authorization': f'Bearer {samples.KEYS["school"]}',
        }
        try:
            answer = connection.exchange('POST', '/book/1', headers, b'x' * 9)
            outcomes.append((f'{name}-{number}', answer.status))
        except errors.ExchangeError as error:
            if error.sent:
                outcomes.append((f'{name}-{number}', str(error)))
            gevent.sleep(0.02)


def send_late_call(fleet, ip, at, service_s, deadline_ms, route='book'):
    """Sends a call at a time; returns its answer and when it came."""
    gevent.sleep(max(0.0, at - clocks.read_now()))
    for vm in fleet.vms.values():
        vm.backend.service_s = service_s
    headers = {
        'Host': samples.HOST,
        platformbackend.REQUEST_ID_HEADER: f'late-{service_s}-{at}',
        platformbackend.DEADLINE_HEADER: str(deadline_ms),
        'Authorization': f'Bearer {samples.KEYS["school"]}',
    }
    address = fleet.get_caller_address(ip)
    answer = exchanges.exchange_once(
        address, 'POST', f'/{route}/1', headers, b'x', timeout_s=10.0
    )
    return answer, clocks.read_now()


def stop_beside_calls(
    fleet, sent_after_s, service_s, deadline_ms, route='book'
):
    """Stops a node and sends it calls meanwhile.

    Returns:
      The answers with the seconds from the signal to each, and the seconds
      that the stop took.
    """
    ip = list(fleet.vms)[1]
    began = clocks.read_now() + max(0.0, -min(sent_after_s))
    calls = [
        gevent.spawn(
            send_late_call,
            fleet,
            ip,
            began + after_s,
            service_s,
            deadline_ms,
            route,
        )
        for after_s in sent_after_s
    ]
    try:
        gevent.sleep(max(0.0, began - clocks.read_now()))
        assert fleet.terminate(ip) == 0
        took_s = clocks.read_now() - began
        gevent.joinall(calls, raise_error=True)
    finally:
        for vm in fleet.vms.values():
            vm.backend.service_s = 0.01
        fleet.start(ip)
        waits.wait_until(lambda: fleet.is_ready(ip), 10.0)
    return [(c.value[0], c.value[1] - began) for c in calls], took_s


def test_call_at_work_is_not_cut_early(start_fleet):
    """A call taken in the notice must be answered, late in the grace too."""
    late, took_s = stop_beside_calls(
        start_fleet(), (0.2, 0.8, 1.4, 2.0), 2.3, 2500
    )
    assert [answer.status for answer, _ in late] == [200] * 4
    assert took_s < WORK_S


def test_call_that_comes_late_in_the_grace_is_refused(start_fleet):
    """A request must not be passed on by a node that may be gone before."""
    sent_after_s = (2.0, 2.6, 3.2, 3.8, 4.1)
    late, _ = stop_beside_calls(start_fleet(), sent_after_s, 2.3, 2500)
    assert [answer.status for answer, _ in late] == [200, 503, 503, 503, 503]
    for (_, after_s), at_s in zip(late[1:], sent_after_s[1:]):
        assert after_s < at_s + 0.5


@pytest.mark.parametrize('route', ['book', 'view'])
def test_call_without_end_is_cut_in_the_last_sixth_of_the_grace(
    start_fleet, route
):
    """A call that lasts must get an answer, and run nowhere else instead."""
    fleet = start_fleet()
    for vm in fleet.vms.values():
        vm.backend.arrivals.clear()
    late, took_s = stop_beside_calls(fleet, (-0.5, 0.2, 1.0), 8.0, 12000, route)
    for answer, after_s in late:
        assert answer.status == 504
        assert after_s >= WORK_S
    assert took_s < GRACE_S
    sent = [
        arrival
        for vm in fleet.vms.values()
        for arrival in vm.backend.arrivals
        if arrival.request_id.startswith('late-8.0')
    ]
    assert len(sent) == 3
    # Upstreams don't work on for a node that is gone.
    assert all(arrival.deadline_ms < GRACE_S * 1000 for arrival in sent[1:])


def read_events(fleet, ip):
    """Returns the events in the log of a node."""
    lines = (fleet.directory / f'{ip}.log').read_text('utf-8').splitlines()
    return [json.loads(l)['event'] for l in lines if l.startswith('{')]


@pytest.mark.parametrize(
    'refused', [(), ('attach-filter',)], ids=['none', 'attach-filter']
)
def test_stop_ends_by_itself_and_answers_every_call(start_fleet, refused):
    """A refused packet filter must not leave a node up until SIGKILL."""
    fleet = start_fleet(*refused)
    ip = next(iter(fleet.vms))
    outcomes = []
    until = clocks.read_now() + 4.5
    callers = [
        gevent.spawn(send_calls, fleet, ip, until, outcomes, f'c{number}')
        for number in range(N_CALLERS)
    ]
    gevent.sleep(1.0)
    began = clocks.read_now()
    status = fleet.terminate(ip)
    assert (status, clocks.read_now() - began < GRACE_S) == (0, True)
    gevent.joinall(callers, raise_error=True)
    fleet.start(ip)
    statuses = [status for _, status in outcomes]
    assert set(statuses) == {200, 503} and statuses.count(200) > 50
    events = read_events(fleet, ip)
    assert 'node.stopped' in events and 'task.crashed' not in events
