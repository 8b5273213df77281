"""Tests of the callers, their connections and what they call."""

import random

import gevent
import pytest
from gevent import socket

from jayseam.standins import callers
from jayseam.standins import processes
from jayseam.standins import readiness
from jayseam.standins import serving
from jayseam.standins import wires
from jayseam.standins import workingbackends

_SERVICE = callers.Service('look', 'credit', 5.0, 'k', 'school')
_HOST = '127.0.0.1'


@pytest.fixture(name='server')
def server_fixture():
    """Yields a backend server without a node before it."""
    server = serving.Server(
        (_HOST, 0), workingbackends.WorkingBackend('i-1', 0.0)
    )
    server.start()
    yield server
    server.stop_at_once()


def _run_callers(server, habits, is_out=lambda ip: False):
    sent = callers.Callers(
        lambda ip: (ip, server.server_port),
        is_out,
        _SERVICE,
        random.Random(1),
        0.1,
    )
    sent.run(_HOST, habits, 1.5)
    return sent.requests


@pytest.mark.parametrize('habits', callers.ALL_HABITS)
def test_whole_answers_are_told_apart_from_others(server, habits):
    """Requests in pieces and chunks must reach a sound server as they are."""
    requests = _run_callers(server, habits)
    assert requests
    assert {request.call.outcome for request in requests} == {'ok'}
    arrivals = server.application.arrivals
    assert len(arrivals) == len(requests)


def test_callers_send_nothing_to_a_node_that_is_out(server):
    """Those that heed readiness send no request, the others go on."""
    heeding, going_on = callers.ALL_HABITS[1], callers.ALL_HABITS[0]
    assert heeding.heeds_readiness and not going_on.heeds_readiness
    assert not _run_callers(server, heeding, lambda ip: True)
    assert _run_callers(server, going_on, lambda ip: True)


def test_a_server_ends_its_work_at_the_deadline(server):
    """A stopping node sends a shorter deadline, which servers keep to."""
    query = workingbackends.format_query(3.0, 5)
    head = f'GET /look/1?{query} HTTP/1.1\r\nJayseam-Deadline-Ms: 100\r\n\r\n'
    wire = wires.Wire((_HOST, server.server_port))
    exchange = wire.exchange('GET', [wires.Piece(head.encode())], 2.0)
    wire.close()
    assert (exchange.ending, exchange.status) == ('answer', 504)
    assert 'Jayseam-Response-Signature' in exchange.headers


def _serve_once(answer, is_read):
    """Returns the port of a server that ends its first connection so."""
    listener = socket.socket()
    listener.bind((_HOST, 0))
    listener.listen()

    def serve():
        connection, _ = listener.accept()
        if is_read:
            connection.recv(65536)
            connection.sendall(answer)
        gevent.sleep(0.3)
        connection.close()
        listener.close()

    gevent.spawn(serve)
    return listener.getsockname()[1]


@pytest.mark.parametrize(
    'answer, is_read, ending, is_dropped',
    [
        (b'', True, 'end', True),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx', True, 'end', True),
        (b'', False, 'reset', False),
    ],
    ids=['nothing', 'half', 'unread'],
)
def test_the_end_of_a_connection_tells_what_was_read(
    answer, is_read, ending, is_dropped
):
    """A request that was read must be told from one that never was."""
    wire = wires.Wire((_HOST, _serve_once(answer, is_read)))
    request = wires.Piece(b'GET / HTTP/1.1\r\n\r\n')
    exchange = wire.exchange('GET', [request], 2.0)
    assert exchange.ending == ending
    ended = exchange.sent_whole_at + 0.3
    assert exchange.is_dropped(ended, 0.2) == is_dropped


def test_a_closed_port_is_unreachable():
    """A refused connection must not count as a lost request."""
    reservations = processes.PortReservations()
    wire = wires.Wire((_HOST, reservations.reserve()))
    exchange = wire.exchange('GET', [wires.Piece(b'GET / HTTP/1.1')], 2.0)
    reservations.close()
    assert exchange.ending == 'unreachable'


def test_two_misses_take_a_node_out_unless_half_of_the_zone_is_out():
    """Callers have to follow the platform's rule, with its exception."""
    ready = {'a': True, 'b': False, 'c': True}
    monitor = readiness.Monitor({'z': list(ready)}, lambda ip: ready[ip])
    jobs = [gevent.spawn(monitor.watch, ip, 0.0, 1.5) for ip in ready]
    gevent.sleep(0.5)
    assert not monitor.is_out('b')
    gevent.joinall(jobs, raise_error=True)
    assert [monitor.is_out(ip) for ip in ready] == [False, True, False]
    ready['a'] = False
    for _ in range(2):
        monitor.watch('a', 0.0, 0.1)
    assert [monitor.is_out(ip) for ip in ready] == [False, False, False]


def test_an_answer_and_a_refusal_behind_it_are_told_apart():
    """A slow caller must not take the refusal of a stop for its answer."""
    answer = (
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab'
        b'HTTP/1.1 503 Refused\r\nContent-Length: 3\r\n\r\nabc'
    )
    wire = wires.Wire((_HOST, _serve_once(answer, True)))
    request = wires.Piece(b'GET / HTTP/1.1\r\n\r\n')
    exchange = wire.exchange('GET', [request], 2.0)
    assert (exchange.status, exchange.body_bytes) == (200, 2)
    assert exchange.headers['Content-Length'] == '2'
