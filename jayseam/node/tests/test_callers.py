"""The server for callers: requests that arrive during its stop are answered."""

import json
import select
import socket

import gevent
import pytest

from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.node import callers

_REQUEST = b'GET /credits/1 HTTP/1.1\r\nHost: node\r\n\r\n'
_TIMEOUT_S = 2.0


def _serve(environ, start_response):
    callers.read_request(environ)
    headers = [('Content-Length', '2'), ('Connection', 'close')]
    start_response('200 OK', headers)
    return [b'ok']


@pytest.fixture(name='server')
def _server():
    server = callers.CallerServer(('127.0.0.1', 0), _serve, log=None)
    server.start()
    yield server
    server.stop()


def _connect(server):
    # The kernel completes the connection; the server hasn't accepted it yet.
    caller = socket.create_connection(('127.0.0.1', server.server_port))
    caller.settimeout(_TIMEOUT_S)
    return caller


def _shut_down(server):
    job = gevent.spawn(server.shut_down, 1.0)
    gevent.sleep(0.2)
    return job


def _read_all(caller):
    """Returns all bytes until the server closes the connection."""
    received = b''
    while block := caller.recv(65536):
        received += block
    return received


def test_connection_in_the_backlog_is_answered(server):
    """A connection with a request in the backlog must not be reset."""
    with _connect(server) as caller:
        caller.sendall(_REQUEST)
        _shut_down(server)
        assert _read_all(caller).startswith(b'HTTP/1.1 200')


def test_connection_in_the_backlog_without_request_is_refused(server):
    """A caller that sends after the stop must learn that nothing has run."""
    with _connect(server) as caller:
        _shut_down(server)
        caller.sendall(_REQUEST)
        head, _, body = _read_all(caller).partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 503')
        assert json.loads(body)['ran'] == 'no'


def test_request_that_crosses_the_end_of_its_connection_is_refused(server):
    """A request sent just as its idle connection is closed must be refused."""
    with _connect(server) as caller:
        gevent.sleep(0.05)
        job = _shut_down(server)
        caller.sendall(_REQUEST)
        gevent.sleep(0.05)
        caller.sendall(_REQUEST)
        head, _, body = _read_all(caller).partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 503')
        assert b'connection: close' in head.lower()
        assert json.loads(body)['code'] == 'not-run'
    job.get(timeout=_TIMEOUT_S)
    assert not server.open_connections


def test_end_waits_for_the_answer_under_way(server):
    """A stop must not cut off an answer in progress."""
    server.application = _serve_late
    with _connect(server) as caller:
        caller.sendall(_REQUEST)
        gevent.sleep(0.05)
        _shut_down(server).get()
        assert _read_all(caller).startswith(b'HTTP/1.1 200')


def _serve_late(environ, start_response):
    gevent.sleep(0.4)
    return _serve(environ, start_response)


def test_caller_that_stays_does_not_hold_the_end(server):
    """A caller that keeps its idle connection must not delay a stop."""
    with _connect(server):
        gevent.sleep(0.05)
        with gevent.Timeout(1.0 + 0.5):
            server.shut_down(1.0)


@pytest.mark.parametrize('line', [b'X: a\r\n', b''])
def test_slow_header_fields_are_refused(server, monkeypatch, line):
    """Callers that send header fields slowly must not hold connections."""
    monkeypatch.setattr(callers, '_READ_TIMEOUT_S', 1.0)
    with _connect(server) as caller:
        caller.sendall(_REQUEST[:-2])
        start = clocks.read_now()
        while not select.select([caller], [], [], 0)[0]:
            assert clocks.read_now() - start < 2.0
            caller.sendall(line)
            gevent.sleep(0.05)
        assert _read_all(caller).startswith(b'HTTP/1.1 400')
    assert not server.header_read_starts


def test_listener_refuses_connections_while_it_empties_its_backlog():
    """The backlog must not take connections after its last one is accepted."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        sockets.drop_new_connections(listener)
        with pytest.raises(TimeoutError):
            socket.create_connection(listener.getsockname(), 0.2)
