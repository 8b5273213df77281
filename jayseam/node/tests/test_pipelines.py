"""Requests that are sent before earlier ones have been answered."""

import json
import re
import socket

import gevent
import hypothesis
import pytest
from gevent import event
from hypothesis import strategies

from jayseam.calls import errors
from jayseam.core import clocks
from jayseam.core import memory
from jayseam.node import bodies
from jayseam.node import callers
from jayseam.node import disconnects
from jayseam.node import pipelines

_TIMEOUT_S = 3.0
_ANSWER = re.compile(
    rb'HTTP/1\.1 (\d+) [^\r]*\r\n((?:[^\r\n]+\r\n)*)\r\n(.*)', re.DOTALL
)


def _encode(path, method='GET', body=b'', fields=''):
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = f'{method} /{path} HTTP/1.1\r\nHost: node\r\n{length}{fields}\r\n'
    return head.encode() + body


class _Application:
    """Answers each path when told to, as the application of callers does.

    Paths that begin with ``once`` may run only once; ``close`` closes its
    connection, and ``large`` has a large answer.
    """

    def __init__(self):
        self.monitor = disconnects.DisconnectMonitor()
        self.monitor.start()
        self.begun = []
        self.gone = []
        self.bodies = {}
        self.ready = {}

    def release(self, *paths):
        """Lets requests be answered."""
        for path in paths:
            self.ready.setdefault(path, event.Event()).set()

    def __call__(self, environ, start_response):
        request = bodies.read_request(environ)
        path = request.path[1:]
        exchange = environ[pipelines.EXCHANGE_KEY]
        exchange.is_repeatable = not path.startswith('once')
        handle = self.monitor.watch(environ)
        status = '200 OK'
        try:
            exchange.wait_to_run()
            self.begun.append(path)
            self.bodies[path] = request.body
            self.ready.setdefault(path, event.Event()).wait()
        except errors.CallerGoneError:
            self.gone.append(path)
            status = '499 Gone'
        finally:
            self.monitor.unwatch(handle)
        headers = [('Connection', 'close')] if 'close' in path else []
        body = b'x' * 300_000 if 'large' in path else path.encode()
        start_response(status, [*headers, ('Content-Length', str(len(body)))])
        return [body]


@pytest.fixture(name='application')
def _application():
    application = _Application()
    yield application
    application.monitor.stop()


@pytest.fixture(name='server')
def _server(application):
    server = callers.CallerServer(('127.0.0.1', 0), application, log=None)
    server.start()
    yield server
    server.stop(timeout=0)


@pytest.fixture(name='caller')
def _caller(server):
    caller = gevent.socket.create_connection(('127.0.0.1', server.server_port))
    caller.settimeout(_TIMEOUT_S)
    yield caller
    caller.close()


def _wait_until(condition):
    end = clocks.read_now() + _TIMEOUT_S
    while not condition():
        assert clocks.read_now() < end, 'not in time'
        gevent.sleep(0.005)


class _Reader:
    """Reads answers in the order in which they come."""

    def __init__(self, caller):
        self._caller = caller
        self._data = b''

    def read(self):
        """Returns status, header fields and body of the next answer."""
        while b'\r\n\r\n' not in self._data:
            self._receive()
        match = _ANSWER.fullmatch(self._data)
        fields = match[2].decode().lower()
        length = int(re.search(r'content-length: (\d+)', fields)[1])
        end = len(self._data) - len(match[3]) + length
        while len(self._data) < end:
            self._receive()
        body, self._data = self._data[end - length : end], self._data[end:]
        return int(match[1]), fields, body

    def _receive(self):
        block = self._caller.recv(65536)
        assert block, f'closed after {self._data!r}'
        self._data += block

    def is_ended(self):
        """Returns whether the connection ends with no further byte."""
        return not self._data and self._caller.recv(1) == b''


def test_requests_run_side_by_side(application, caller):
    """A slow answer must not hold up what was sent behind it."""
    caller.sendall(_encode('a') + _encode('b'))
    caller.sendall(_encode('c'))
    _wait_until(lambda: sorted(application.begun) == ['a', 'b', 'c'])


def test_request_that_comes_later_runs_beside_the_first(application, caller):
    """Requests needn't arrive together."""
    caller.sendall(_encode('a'))
    _wait_until(lambda: application.begun == ['a'])
    gevent.sleep(0.05)
    caller.sendall(_encode('b'))
    _wait_until(lambda: application.begun == ['a', 'b'])


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    strategies.integers(1, 6).flatmap(
        lambda n: strategies.permutations(range(n))
    ),
    strategies.lists(strategies.integers(1, 150), max_size=5),
    strategies.integers(0, 6),
)
def test_answers_keep_the_order_of_requests(order, cuts, n_held):
    """Whatever ends first and however bytes arrive, the order must hold."""
    application = _Application()
    server = callers.CallerServer(('127.0.0.1', 0), application, log=None)
    server.start()
    caller = gevent.socket.create_connection(('127.0.0.1', server.server_port))
    caller.settimeout(_TIMEOUT_S)
    paths = [f'p{i}' for i in range(len(order))]
    try:
        sender = gevent.spawn(_send_in_parts, caller, paths, cuts)
        for index in order[n_held:]:
            application.release(paths[index])
        gevent.sleep(0)
        application.release(*paths)
        reader = _Reader(caller)
        assert [reader.read()[2].decode() for _ in paths] == paths
        sender.get()
    finally:
        caller.close()
        server.stop(timeout=0)
        application.monitor.stop()


def _send_in_parts(caller, paths, cuts):
    data = b''.join(_encode(path) for path in paths)
    for size in cuts:
        caller.sendall(data[:size])
        data = data[size:]
        gevent.sleep(0.001)
    caller.sendall(data)


def test_connection_goes_on_after_a_pipeline(application, caller):
    """A caller may wait for its answers and then send more."""
    reader = _Reader(caller)
    application.release('a', 'b', 'c', 'd')
    caller.sendall(_encode('a') + _encode('b'))
    assert [reader.read()[2], reader.read()[2]] == [b'a', b'b']
    caller.sendall(_encode('c'))
    assert reader.read()[2] == b'c'
    caller.sendall(_encode('d'))
    assert reader.read()[2] == b'd'


def test_calls_that_run_once_keep_their_turn(application, caller):
    """A call that isn't repeatable must not run before earlier answers."""
    caller.sendall(
        _encode('a')
        + _encode('once', 'POST', body=b'bin 4')
        + _encode('b')
        + _encode('c')
    )
    gevent.sleep(0.1)
    assert application.begun == ['a']
    application.release('a')
    _wait_until(lambda: application.begun == ['a', 'once'])
    gevent.sleep(0.05)
    assert application.begun == ['a', 'once']
    application.release('once')
    _wait_until(lambda: sorted(application.begun) == ['a', 'b', 'c', 'once'])
    assert application.bodies['once'] == b'bin 4'


def test_number_of_unanswered_requests_is_bounded(application, caller):
    """A caller must not have any number of calls run at once."""
    n_sent = pipelines.MAX_UNANSWERED + 5
    caller.sendall(b''.join(_encode(f'p{i}') for i in range(n_sent)))
    _wait_until(lambda: len(application.begun) == pipelines.MAX_UNANSWERED)
    gevent.sleep(0.05)
    assert len(application.begun) == pipelines.MAX_UNANSWERED
    application.release(*(f'p{i}' for i in range(n_sent)))
    reader = _Reader(caller)
    assert [reader.read()[0] for _ in range(n_sent)] == [200] * n_sent


def test_requests_behind_a_closing_answer_are_not_run(application, caller):
    """The caller sends them again, so none of them may have been run."""
    caller.sendall(_encode('close'))
    _wait_until(lambda: application.begun)
    caller.sendall(_encode('once', 'POST', body=b'x'))
    gevent.sleep(0.05)
    application.release('close')
    reader = _Reader(caller)
    # The request behind had been begun, so it is answered; its answer closes.
    status, fields, _ = reader.read()
    assert status == 200 and 'connection: close' not in fields
    application.release('once')
    caller.sendall(_encode('late'))
    _, fields, body = reader.read()
    assert body == b'once' and 'connection: close' in fields
    assert reader.is_ended()
    assert 'late' not in application.begun


def test_closing_answer_ends_what_comes_behind(application, caller):
    """Nothing is run that arrives as the closing answer is written."""
    application.release('close', 'b')
    caller.sendall(_encode('close'))
    reader = _Reader(caller)
    assert 'connection: close' in reader.read()[1]
    caller.sendall(_encode('b'))
    assert reader.is_ended()
    assert application.begun == ['close']


def test_caller_that_closes_gets_all_answers(application, caller):
    """``Connection: close`` on the last request ends the connection then."""
    caller.sendall(_encode('a') + _encode('b', fields='Connection: close\r\n'))
    _wait_until(lambda: len(application.begun) == 2)
    application.release('b', 'a')
    reader = _Reader(caller)
    assert reader.read()[2] == b'a'
    assert reader.read()[2] == b'b'
    assert reader.is_ended()


def test_malformed_request_is_refused_in_its_turn(application, caller):
    """Requests before it must get their answers, those behind it none."""
    bad = b'GET /x HTTP/1.1\r\nbad field\r\n\r\n'
    caller.sendall(_encode('a') + _encode('b') + bad + _encode('c'))
    _wait_until(lambda: len(application.begun) == 2)
    application.release('b')
    gevent.sleep(0.05)
    application.release('a')
    reader = _Reader(caller)
    assert reader.read()[2] == b'a'
    assert reader.read()[2] == b'b'
    status, fields, body = reader.read()
    assert status == 400 and 'connection: close' in fields
    assert json.loads(body)['ran'] == 'no'
    assert reader.is_ended()
    assert 'c' not in application.begun


def test_caller_that_leaves_ends_all_its_calls(application, caller):
    """Calls must not run on for a caller that has left."""
    caller.sendall(_encode('a') + _encode('b') + _encode('once', 'POST'))
    _wait_until(lambda: len(application.begun) == 2)
    caller.close()
    _wait_until(lambda: sorted(application.gone) == ['a', 'b', 'once'])


def test_slow_caller_holds_a_bounded_number_of_bytes(server, caller):
    """Answers that wait for their turn must count as memory in use."""
    server.budget = memory.ByteBudget(500_000)
    server.application.release('large1', 'large2', 'large3')
    caller.sendall(
        _encode('a') + _encode('large1') + _encode('large2') + _encode('large3')
    )
    # The second large answer ends the connection; the third may come too late.
    _wait_until(lambda: len(server.application.begun) >= 3)
    gevent.sleep(0.05)
    assert server.budget.held_bytes <= 500_000
    server.application.release('a')
    # The connection ends rather than that its answers take more memory.
    with pytest.raises((AssertionError, OSError)):
        reader = _Reader(caller)
        for _ in range(4):
            reader.read()
    _wait_until(lambda: server.budget.held_bytes == 0)


def test_body_of_a_request_behind_is_its_own(application, caller):
    """Bytes of a body must not be taken for the next request."""
    body = _encode('smuggled')
    caller.sendall(_encode('a') + _encode('b', 'POST', body) + _encode('c'))
    _wait_until(lambda: len(application.begun) == 3)
    assert application.bodies['b'] == body
    assert 'smuggled' not in application.begun


def test_chunked_request_is_followed_after_its_answer(application, caller):
    """The next request begins only behind the last chunk."""
    chunked = (
        b'POST /b HTTP/1.1\r\nHost: node\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
    )
    caller.sendall(_encode('a') + chunked + _encode('c'))
    _wait_until(lambda: len(application.begun) == 2)
    assert application.bodies['b'] == b'abc'
    application.release('a', 'b', 'c')
    reader = _Reader(caller)
    assert [reader.read()[2] for _ in range(3)] == [b'a', b'b', b'c']


def test_stop_answers_what_was_begun(application, server, caller):
    """A planned stop must cut off none of the requests that were accepted."""
    caller.sendall(_encode('a') + _encode('b') + _encode('c'))
    _wait_until(lambda: len(application.begun) == 3)
    job = gevent.spawn(server.shut_down, _TIMEOUT_S)
    gevent.sleep(0.05)
    application.release('c', 'b')
    gevent.sleep(0.05)
    application.release('a')
    reader = _Reader(caller)
    assert [reader.read()[2] for _ in range(3)] == [b'a', b'b', b'c']
    caller.close()
    job.get(timeout=_TIMEOUT_S)


def test_last_answer_is_not_lost_to_a_reset(application, server):
    """Bytes that cross a closing answer must not discard it."""
    application.release('close')
    with socket.create_connection(('127.0.0.1', server.server_port)) as caller:
        caller.settimeout(_TIMEOUT_S)
        caller.sendall(_encode('close') + b'G')
        # The handler has answered; its side is closed, this one isn't.
        gevent.sleep(0.1)
        for _ in range(3):
            caller.sendall(_encode('late'))
            gevent.sleep(0.02)
        data = b''
        while block := caller.recv(65536):
            data += block
    assert data.startswith(b'HTTP/1.1 200') and data.endswith(b'close')
