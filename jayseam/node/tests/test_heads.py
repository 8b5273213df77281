"""Heads of requests beyond the bounds, and connections beyond the limit."""

import contextlib

import gevent
import pytest
from gevent import socket

from jayseam.core import descriptors
from jayseam.core import memory
from jayseam.node import admin
from jayseam.node import bodies
from jayseam.node import callers
from jayseam.node import listeners
from jayseam.node import refusals
from jayseam.node.tests import samples
from jayseam.settings import model
from jayseam.standins import waits

# The smallest share of heads holds 32 heads of 15 kB.
BUDGET_BYTES = 4_000_000
MAX_CONNECTIONS = 8
_HEAD = b'GET / HTTP/1.1\r\nHost: node\r\n'
_REQUEST = _HEAD + b'\r\n'


def _serve(environ, start_response):
    bodies.read_request(environ)
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@pytest.fixture(name='server')
def _server():
    server = callers.CallerServer(
        ('127.0.0.1', 0),
        _serve,
        log=None,
        budget=memory.ByteBudget(BUDGET_BYTES),
    )
    server.start()
    yield server
    server.stop(timeout=0.1)


@pytest.fixture(name='small_server')
def _small_server():
    server = callers.CallerServer(
        ('127.0.0.1', 0), _serve, log=None, max_connections=MAX_CONNECTIONS
    )
    server.start()
    yield server
    server.stop(timeout=0.1)


def _connect(server, data=b''):
    caller = socket.create_connection(('127.0.0.1', server.server_port))
    caller.settimeout(5.0)
    caller.sendall(data)
    return caller


def _read_to_end(caller):
    """Returns the bytes that come before the end or reset."""
    data = b''
    with contextlib.suppress(OSError):
        while block := caller.recv(65536):
            data += block
    return data


def _count(listener, reason):
    return refusals.REFUSED.labels(listener, reason)._value.get()


def test_head_over_the_bound_is_refused(server):
    """Many fields, each within its bound, must not add up without one."""
    before = _count('callers', refusals.HEAD_SIZE)
    caller = _connect(server, _HEAD + (b'X: ' + b'a' * 30_000 + b'\r\n') * 3)
    assert caller.recv(65536).startswith(b'HTTP/1.1 431')
    assert _count('callers', refusals.HEAD_SIZE) == before + 1
    waits.wait_until(lambda: server.budget.held_bytes == 0, 1.0)


def test_largest_head_within_the_limits_is_served(server):
    """A bound on heads must not refuse what was served before."""
    line = b'GET /' + b'a' * 8000 + b' HTTP/1.1\r\n'
    field = b'X: ' + b'a' * 16_000 + b'\r\n'
    caller = _connect(server, line + b'Host: node\r\n' + field + b'\r\n')
    assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    waits.wait_until(lambda: server.budget.held_bytes == 0, 1.0)


def test_unfinished_heads_do_not_have_others_refused(server):
    """A crowd's heads must end in favour of those of other callers."""
    before = _count('callers', refusals.HEAD_MEMORY)
    part = _HEAD + b'X: ' + b'a' * 60_000
    crowd = [_connect(server, part) for _ in range(20)]
    gevent.sleep(0.3)
    assert server.budget.held_bytes <= BUDGET_BYTES * memory.HEAD_SHARE
    answer = _connect(server, _REQUEST).recv(65536)
    assert answer.startswith(b'HTTP/1.1 200')
    assert _count('callers', refusals.HEAD_MEMORY) > before
    for caller in crowd:
        caller.close()
    waits.wait_until(lambda: server.budget.held_bytes == 0, 1.0)


def test_head_ended_for_memory_is_answered_as_not_run(server):
    """Its caller may send the request again, to another node."""
    crowd = [
        _connect(server, _HEAD + b'X: ' + b'a' * 60_000) for _ in range(20)
    ]
    answers = []
    for caller in crowd:
        with contextlib.suppress(OSError):
            caller.sendall(b'\r\n\r\n')
        answers.append(_read_to_end(caller))
    assert any(a.startswith(b'HTTP/1.1 503') for a in answers)
    assert not any(a.startswith(b'HTTP/1.1 200') for a in answers)


def test_longest_idle_connection_makes_room(small_server):
    """Connections that idle must not keep other callers from connecting."""
    idle = [_connect(small_server, _REQUEST) for _ in range(MAX_CONNECTIONS)]
    for caller in idle:
        assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    other = _connect(small_server, _REQUEST)
    assert other.recv(65536).startswith(b'HTTP/1.1 200')
    assert _read_to_end(idle[0]).startswith(b'HTTP/1.1 503')
    idle[-1].sendall(_REQUEST)
    assert idle[-1].recv(65536).startswith(b'HTTP/1.1 200')
    assert len(small_server.open_connections) <= MAX_CONNECTIONS


def test_request_on_a_connection_being_closed_is_refused(small_server):
    """A request that crosses the end of its connection has not run."""
    idle = [_connect(small_server) for _ in range(MAX_CONNECTIONS)]
    waits.wait_until(
        lambda: len(small_server.idle_handlers) == MAX_CONNECTIONS, 1.0
    )
    other = _connect(small_server, _REQUEST)
    gevent.sleep(0.1)
    with contextlib.suppress(OSError):
        idle[0].sendall(_REQUEST)
    answer = _read_to_end(idle[0])
    assert answer.startswith(b'HTTP/1.1 503') and answer.count(b'HTTP/1.1') == 1
    assert other.recv(65536).startswith(b'HTTP/1.1 200')


def test_accepting_goes_on_when_busy_connections_end(small_server):
    """A pause of accepting must end with the first connection that ends."""
    busy = [_connect(small_server, _HEAD) for _ in range(MAX_CONNECTIONS)]
    gevent.sleep(0.1)
    other = _connect(small_server, _REQUEST)
    waits.wait_until(lambda: small_server.is_paused, 1.0)
    busy[0].close()
    assert other.recv(65536).startswith(b'HTTP/1.1 200')
    assert not small_server.is_paused


def test_accepting_goes_on_when_a_busy_connection_becomes_idle(small_server):
    """Connections that became idle during a pause must make room, too."""
    busy = [_connect(small_server, _HEAD) for _ in range(MAX_CONNECTIONS)]
    gevent.sleep(0.1)
    other = _connect(small_server, _REQUEST)
    waits.wait_until(lambda: small_server.is_paused, 1.0)
    for caller in busy:
        caller.sendall(b'\r\n')
        assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    assert other.recv(65536).startswith(b'HTTP/1.1 200')


def test_stop_answers_the_backlog_at_the_limit(small_server):
    """The limit must not leave requests in the backlog of a stopping node."""
    busy = [_connect(small_server, _HEAD) for _ in range(MAX_CONNECTIONS)]
    gevent.sleep(0.1)
    other = _connect(small_server, _REQUEST)
    waits.wait_until(lambda: small_server.is_paused, 1.0)
    job = gevent.spawn(small_server.shut_down, 1.0)
    assert other.recv(65536).startswith(b'HTTP/1.1 200')
    for caller in busy:
        caller.close()
    job.get()


def test_settings_reach_the_listeners():
    """A limit that an operator sets must be in force."""
    settings = samples.build_settings(
        connections=model.ConnectionSettings(max_callers=7),
        ready=samples.LOOPBACK,
    )
    built = listeners.build_listeners(settings, _serve, None, None)
    limits = descriptors.compute_limits(descriptors.read_descriptor_limit())
    assert built.caller_server.max_connections == 7
    assert built.admin_server.max_connections == limits.operators
    assert built.readiness_server.max_connections == limits.operators


def test_oldest_connection_of_operators_makes_room():
    """A crowd must not keep operators from the admin listener."""
    application = admin.ReadinessApplication(lambda: True)
    server = admin.AdminServer(
        ('127.0.0.1', 0), application, log=None, max_connections=4
    )
    server.start()
    crowd = [_connect(server, _HEAD) for _ in range(4)]
    gevent.sleep(0.1)
    other = _connect(server, _REQUEST)
    assert other.recv(65536).startswith(b'HTTP/1.1 200')
    assert not _read_to_end(crowd[0]).startswith(b'HTTP/1.1 200')
    server.stop(timeout=0.1)
