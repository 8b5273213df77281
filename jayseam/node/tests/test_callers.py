"""The server for callers: requests that arrive during its stop are answered."""

import json
import select
import socket
import time

import gevent
import pytest

from jayseam.calls import errors
from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.node import admin
from jayseam.node import bodies
from jayseam.node import callers

_REQUEST = b'GET /credits/1 HTTP/1.1\r\nHost: node\r\n\r\n'
_TIMEOUT_S = 2.0


def _serve(environ, start_response):
    bodies.read_request(environ)
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


def test_locked_filter_does_not_keep_the_server_open(server):
    """Where packet filters are refused, the stop must still close all."""
    # SO_LOCK_FILTER makes the kernel refuse filters with EPERM.
    server.socket.setsockopt(socket.SOL_SOCKET, 44, 1)
    with _connect(server) as caller:
        caller.sendall(_REQUEST)
        job = _shut_down(server)
        assert _read_all(caller).startswith(b'HTTP/1.1 200')
        job.get(timeout=_TIMEOUT_S)
    with pytest.raises(ConnectionRefusedError):
        _connect(server)


def test_failing_accept_does_not_hold_up_the_end(server, monkeypatch):
    """Without free descriptors the backlog can't be emptied."""

    def refuse():
        raise OSError(24, 'Too many open files')

    with _connect(server):
        monkeypatch.setattr(server, 'do_read', refuse)
        began = time.monotonic()
        server.shut_down(0.5)
        assert time.monotonic() - began < 0.3


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


_CHUNKED = (
    b'POST /credits HTTP/1.1\r\nHost: node\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
# First bytes of a request, and bytes that follow without end.
_STREAMS = {
    'request line': (b'GET /', b'a'),
    'blank lines': (b'', b'\r\n'),
    'header line': (b'GET / HTTP/1.1\r\nA: ', b'a'),
    'header lines': (b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
    'chunk size': (_CHUNKED, b'0'),
    'chunk extension': (_CHUNKED + b'1;', b'a'),
    'chunk extensions': (_CHUNKED, b'1;' + b'a' * 8000 + b'\r\nx\r\n'),
    'chunks': (_CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'trailers': (_CHUNKED + b'0\r\n', b'ab: c\r\n'),
    'trailer': (_CHUNKED + b'0\r\nAb: ', b'c'),
    'body': (
        b'POST / HTTP/1.1\r\nContent-Length: 1%s\r\n\r\n' % (b'0' * 15),
        b'x',
    ),
    'endless length': (
        b'POST / HTTP/1.1\r\nContent-Length: 1%s\r\n\r\n' % (b'0' * 30),
        b'x',
    ),
}
_FLOOD_BYTES = 20_000_000


def _answer_or_refuse(environ, start_response):
    """Serves as the application does: a refusal is an answer, too."""
    try:
        return _serve_kept(environ, start_response)
    except errors.CallError as error:
        start_response(f'{error.status} Refused', [('Content-Length', '2')])
        return [b'no']


def _serve_kept(environ, start_response):
    bodies.read_request(environ)
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@pytest.fixture(name='refusing_server')
def _refusing_server():
    server = callers.CallerServer(('127.0.0.1', 0), _answer_or_refuse, log=None)
    server.start()
    yield server
    server.stop()


def _flood(port, name):
    """Sends a stream; returns the number of bytes sent before it failed."""
    first, repeated = _STREAMS[name]
    block = repeated * (65536 // len(repeated) + 1)
    sent = 0
    with socket.create_connection(('127.0.0.1', port)) as caller:
        caller.settimeout(5.0)
        try:
            caller.sendall(first)
            while sent < _FLOOD_BYTES:
                caller.sendall(block)
                sent += len(block)
        except OSError:
            pass
    return sent


def _measure_stall(server, name):
    """Floods a server; returns the longest stall of this thread, in seconds.

    Returns:
      The stall, and the bytes that the server let the caller send.
    """
    # A thread of its own sends while the server reads.
    flood = gevent.get_hub().threadpool.spawn(_flood, server.server_port, name)
    longest_s = 0.0
    while not flood.ready():
        began = clocks.read_now()
        gevent.sleep(0.01)
        longest_s = max(longest_s, clocks.read_now() - began)
    return longest_s, flood.get()


@pytest.mark.parametrize('name', _STREAMS)
def test_endless_request_holds_up_no_other(refusing_server, name):
    """The greenlet that reads a flood must let the others run."""
    cpu_began = time.process_time()
    longest_s, sent = _measure_stall(refusing_server, name)
    assert longest_s < 0.3
    assert sent < _FLOOD_BYTES
    assert time.process_time() - cpu_began < 2.5
    gevent.sleep(0.1)
    assert not refusing_server.open_connections


@pytest.mark.parametrize('name', _STREAMS)
def test_endless_request_to_the_readiness_holds_up_no_call(name):
    """The node answers operators and the platform beside its calls."""
    application = admin.ReadinessApplication(lambda: True)
    server = admin.AdminServer(('127.0.0.1', 0), application, log=None)
    server.start()
    try:
        longest_s, sent = _measure_stall(server, name)
        assert longest_s < 0.3
        assert sent < _FLOOD_BYTES
        with _connect(server) as caller:
            caller.sendall(_REQUEST)
            gevent.sleep(0.1)
            assert caller.recv(100).startswith(b'HTTP/1.1 200')
    finally:
        server.stop()


@pytest.mark.parametrize('name', ['chunk extensions', 'trailers', 'chunks'])
def test_rest_of_an_endless_request_is_no_request(refusing_server, name):
    """Bytes after the bound of a body must not be read as a request."""
    first, repeated = _STREAMS[name]
    served = []
    refusing_server.application = lambda environ, start_response: (
        served.append(environ['PATH_INFO'])
        or _answer_or_refuse(environ, start_response)
    )
    request = b'GET /smuggled HTTP/1.1\r\nHost: node\r\n\r\n'
    block = repeated * (8192 // len(repeated)) + request * 4
    with _connect(refusing_server) as caller:
        caller.settimeout(0.0)
        data = first + block * 400
        while data:
            try:
                data = data[caller.send(data) :]
            except BlockingIOError:
                gevent.sleep(0.01)
            except OSError:
                break
        gevent.sleep(0.2)
    assert served == ['/credits']
