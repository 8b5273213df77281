"""Real nodes whose callers close their connections before the answer."""

import math
import random

import gevent
import pytest
from gevent import socket

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.platform.tests import test_unusable
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.standins import platformbackend
from jayseam.standins import waits

# Twice the slots of both backend servers, so that half of the calls wait.
N_CALLS = 32
WORK_S = 1.1
LEAVES_AFTER_S = 0.25
# Time after which no upstream may get a request whose caller has left.
GONE_S = 0.5


def build_fleet(machines=()):
    """Returns a fleet of two VMs with a route that may be retried.

    Args:
      machines: Differences of the nodes' machine; see `standins.machines`.
    """
    fleet = fleets.Fleet(2, machines)
    operator = operators.Operator(fleet, random.Random(1))
    route = samples.build_route(
        'open', public=True, timeout='3s', target_latency='3s', max_attempts=3
    )
    operator.write(
        operators.CONFIGURATION_KEY, samples.build_configuration('r2', [route])
    )
    for ip in fleet.vms:
        operator.register(ip)
    return fleet


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    """Yields a ready fleet on this machine."""
    fleet = build_fleet()
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.close()


def leave_early(fleet, ip, name, left_at):
    """Sends a request and closes the connection before the answer."""
    text = (
        'GET /open/1 HTTP/1.1\r\n'
        f'Host: {samples.HOST}\r\n'
        f'{platformbackend.REQUEST_ID_HEADER}: {name}\r\n'
        f'{platformbackend.DEADLINE_HEADER}: 3000\r\n\r\n'
    )
    with socket.create_connection(fleet.get_caller_address(ip)) as sock:
        sock.sendall(text.encode())
        gevent.sleep(LEAVES_AFTER_S)
    left_at[name] = clocks.read_now()


def check_leaving_callers(fleet, n_calls):
    """Checks that requests end everywhere, and run once, when callers leave."""
    ip = next(iter(fleet.vms))
    backends = [vm.backend for vm in fleet.vms.values()]
    for round_number in range(3):
        for backend in backends:
            backend.service_s = WORK_S
            backend.drops = True
            backend.arrivals.clear()
            backend.dropped_at.clear()
        left_at = {}
        callers = [
            gevent.spawn(
                leave_early, fleet, ip, f'{round_number}-{number}', left_at
            )
            for number in range(n_calls)
        ]
        gevent.joinall(callers, raise_error=True)
        gevent.sleep(GONE_S)
        for backend in backends:
            backend.service_s = 0.01
        waits.wait_until(
            lambda: test_unusable.call(fleet, ip, '/open/1', '') == 200, GONE_S
        )
        gevent.sleep(WORK_S)
        arrivals = [
            arrival
            for backend in backends
            for arrival in backend.arrivals
            if arrival.request_id in left_at
        ]
        assert len(arrivals) >= min(4, n_calls)
        names = [arrival.request_id for arrival in arrivals]
        assert len(names) == len(set(names))
        assert not [
            arrival
            for arrival in arrivals
            if arrival.at > left_at[arrival.request_id] + GONE_S
        ]
        dropped_at = {
            name: at
            for backend in backends
            for name, at in backend.dropped_at.items()
        }
        assert not [
            name
            for name in names
            if dropped_at.get(name, math.inf) > left_at[name] + GONE_S
        ]


@pytest.mark.parametrize('n_calls', [4, N_CALLS])
def test_request_whose_caller_has_left_runs_nowhere_else(fleet, n_calls):
    """A repeatable request was sent to another upstream, for nobody.

    Calls are at work at the own or another upstream, or wait, when their
    callers leave. What they held must be free for others afterwards.
    """
    check_leaving_callers(fleet, n_calls)
