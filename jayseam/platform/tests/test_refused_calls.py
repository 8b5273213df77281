"""Real nodes start, serve, reload and stop where the system refuses calls."""

import json
import os
import pathlib
import random
import signal

import gevent
import pytest
from gevent import socket

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.soak import fleets
from jayseam.soak import operators
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import platformbackend
from jayseam.standins import refusals
from jayseam.standins import waits

GRACE_S = 6.0
N_CALLERS = 4
# Event by which a node tells what was refused, if it has to do without.
EVENTS = {
    'no-delay': 'sockets.option_refused',
    'boot-time': 'node.boot_time_refused',
    'non-blocking-output': 'logs.blocking_output',
}
# The packet filter of a stop has its own test, in test_stops.
REFUSED = [name for name in refusals.registry.list_names() if name != 'output']
REFUSED.remove('attach-filter')
# Enough for twice the room of a pipe in messages of 100 bytes.
N_MALFORMED = 1300


def build_fleet(*refused):
    """Returns a fleet of two VMs with one route, whose nodes don't run yet."""
    fleet = fleets.Fleet(2, refused)
    operator = operators.Operator(fleet, random.Random(1))
    routes = [samples.build_route('book', kind='unsafe', timeout='20s')]
    operator.write(
        operators.CONFIGURATION_KEY,
        samples.build_configuration('r2', routes, rate_per_s=1000),
    )
    for ip in fleet.vms:
        operator.register(ip)
    return fleet


def send_call(fleet, ip, name):
    """Sends one call and returns its status, or None if it was not sent."""
    headers = {
        'Host': samples.HOST,
        platformbackend.REQUEST_ID_HEADER: name,
        platformbackend.DEADLINE_HEADER: '1500',
        'Authorization': f'Bearer {samples.KEYS["school"]}',
    }
    address = fleet.get_caller_address(ip)
    try:
        answer = exchanges.exchange_once(
            address, 'POST', '/book/1', headers, b'x' * 9
        )
    except errors.ExchangeError as error:
        return str(error) if error.sent else None
    return answer.status


def send_calls(fleet, ip, until, outcomes, name):
    """Sends calls one after the other and records how each ends."""
    number = 0
    while clocks.read_now() < until:
        number += 1
        outcomes.append(send_call(fleet, ip, f'{name}-{number}'))
        gevent.sleep(0.02)


def read_events(fleet, ip):
    """Returns the events in the log of a node."""
    lines = (fleet.directory / f'{ip}.log').read_text('utf-8').splitlines()
    return [json.loads(l)['event'] for l in lines if l.startswith('{')]


def run_node_through_its_life(fleet, writes_log=True):
    """Serves, reloads and stops a node; returns how its calls ended."""
    ip = next(iter(fleet.vms))
    fleet.start_all()
    outcomes = []
    until = clocks.read_now() + 2.0
    callers = [
        gevent.spawn(send_calls, fleet, ip, until, outcomes, f'c{number}')
        for number in range(N_CALLERS)
    ]
    gevent.sleep(0.3)
    assert set(outcomes) == {200}
    fleet.vms[ip].process.send_signal(signal.SIGHUP)
    if writes_log:
        waits.wait_until(
            lambda: 'node.reloaded' in read_events(fleet, ip), 2.0, 'reload'
        )
    # Wrong settings change nothing; they must not end the node either.
    (fleet.directory / f'{ip}.conf').write_bytes(b'self.ip=\xff')
    fleet.vms[ip].process.send_signal(signal.SIGHUP)
    if writes_log:
        waits.wait_until(
            lambda: 'node.reload_failed' in read_events(fleet, ip), 2.0, 'error'
        )
    gevent.sleep(0.2)
    began = clocks.read_now()
    status = fleet.terminate(ip)
    assert (status, clocks.read_now() - began < GRACE_S) == (0, True)
    gevent.joinall(callers, raise_error=True)
    return outcomes


@pytest.mark.parametrize('refused', REFUSED)
def test_node_serves_and_stops_where_a_call_is_refused(refused):
    """A refused call that only improves a node must not end what it does."""
    fleet = build_fleet(refused)
    try:
        outcomes = run_node_through_its_life(fleet)
        events = read_events(fleet, next(iter(fleet.vms)))
    finally:
        fleet.close()
    assert set(outcomes) <= {200, 503, None}
    assert 'node.stopped' in events and 'task.crashed' not in events
    assert EVENTS.get(refused) in (None, *events)


def test_node_serves_and_stops_where_its_output_is_refused():
    """A log that can't be written must not end a node or its stop."""
    fleet = build_fleet('output')
    try:
        outcomes = run_node_through_its_life(fleet, writes_log=False)
    finally:
        fleet.close()
    assert set(outcomes) <= {200, 503, None}


def send_malformed(address):
    """Sends a request that a server complains of on standard error."""
    with socket.create_connection(address) as sock:
        sock.sendall(b'GET / HTTP/9.9\r\n\r\n')
        while sock.recv(4096):
            pass


@pytest.mark.parametrize('refused', [(), ('non-blocking-output',)])
def test_output_that_nobody_reads_does_not_block_a_node(refused):
    """A node that waits for the reader of its log answers no call."""
    fleet = build_fleet(*refused)
    ip = next(iter(fleet.vms))
    path = fleet.directory / f'{ip}.log'
    os.mkfifo(path)
    pipe = os.open(path, os.O_RDWR)
    try:
        fleet.start_all()
        # The server for callers writes nothing about such requests.
        address = (ip, fleet._ports.ready)
        with gevent.Timeout(10.0):
            for _ in range(N_MALFORMED):
                send_malformed(address)
        outcomes = [send_call(fleet, ip, f'full-{n}') for n in range(9)]
        began = clocks.read_now()
        status = fleet.terminate(ip)
        assert (status, clocks.read_now() - began < GRACE_S) == (0, True)
    finally:
        os.close(pipe)
        fleet.close()
    assert outcomes == [200] * 9


def is_blocked(pid, number):
    """Returns whether a process holds a signal back."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text('utf-8')
    (mask,) = [
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigBlk')
    ]
    return bool(int(mask, 16) & 1 << number - 1)


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_the_imports_is_handled_later(number):
    """A reload must not end a node that is being started."""
    fleet = build_fleet()
    ip = next(iter(fleet.vms))
    try:
        fleet.start(ip)
        process = fleet.vms[ip].process
        # The interpreter starts before it can hold signals back.
        waits.wait_until(lambda: is_blocked(process.pid, number), 5.0, 'mask')
        process.send_signal(number)
        if number == signal.SIGTERM:
            assert fleet.vms[ip].process.wait(GRACE_S) == 0
        else:
            waits.wait_until(lambda: fleet.is_ready(ip), 30.0, 'ready')
        events = read_events(fleet, ip)
    finally:
        fleet.close()
    assert ('node.reloaded' in events) == (number == signal.SIGHUP)
