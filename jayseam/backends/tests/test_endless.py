"""Tests with servers that send bytes without end on a raw socket."""

import contextlib
import time
import tracemalloc

import gevent
import pytest

from jayseam.backends import client as backend_client
from jayseam.backends import counters
from jayseam.backends import dialects
from jayseam.backends import errors
from jayseam.backends.tests import test_client
from jayseam.core import clocks
from jayseam.core import memory
from jayseam.standins import waits

DIALECT = dialects.Dialect(unsized_answers=True, cancel_path='')
BLOCK_BYTES = 65536
N_CONNECTIONS = 40
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# First bytes of an answer, and bytes that follow without end.
STREAMS = {
    'head line': (HEAD + b'A: ', b'a'),
    'head lines': (HEAD, b'Ab: c\r\n'),
    'status line': (b'HTTP/1.1 2', b'1'),
    'interim answers': (b'', b'HTTP/1.1 100 C\r\n\r\n'),
    'blank lines': (b'', b'\r\n'),
    'line feeds': (b'', b'\n'),
    'no answer': (b'', b'garbage '),
    'body without a length': (HEAD + b'\r\n', b'x'),
    'body with a great length': (
        HEAD + b'Content-Length: 1%s\r\n\r\n' % (b'0' * 12),
        b'x',
    ),
    'body with an endless length': (
        HEAD + b'Content-Length: 1%s\r\n\r\n' % (b'0' * 30),
        b'x',
    ),
    'chunk with a great size': (CHUNKED + b'FFFFFFFFF\r\n', b'x'),
    'small chunks': (CHUNKED, b'1;a=b\r\nx\r\n'),
    'chunk size': (CHUNKED, b'0'),
    'chunk extension': (CHUNKED + b'1;', b'a'),
    'trailers': (CHUNKED + b'0\r\n', b'ab: c\r\n'),
    'trailer': (CHUNKED + b'0\r\nAb: ', b'c'),
}
# Streams of which the first bytes can't begin an answer that fits.
HOPELESS = [
    'blank lines',
    'line feeds',
    'no answer',
    'body with a great length',
    'body with an endless length',
    'chunk with a great size',
]


class EndlessServer(test_client.Backend):
    """Answers its first request without end.

    Attributes:
      ended_at: Time at which the client closed the connection, in seconds.
    """

    def __init__(self, name, pause_s=0.0):
        super().__init__(self._send_without_end)
        self.first, repeated = STREAMS[name]
        # A slow sender sends a few bytes at a time.
        size = 16 if pause_s else BLOCK_BYTES
        self.block = repeated * (size // len(repeated) + 1)
        self.pause_s = pause_s
        self.ended_at = None

    def _send_without_end(self, sock):
        with contextlib.suppress(OSError):
            sock.sendall(self.first)
            while True:
                sock.sendall(self.block)
                gevent.sleep(self.pause_s)
        self.ended_at = clocks.read_now()


@pytest.fixture(name='start')
def start_fixture():
    """Starts a server and a client; stops the server after the test."""
    started = []

    def start(*args, budget=None, **options):
        backend = EndlessServer(*args, **options)
        started.append(backend)
        address = ('127.0.0.1', backend.server.server_port)
        client = backend_client.BackendClient(
            address, N_CONNECTIONS, dialect=DIALECT, budget=budget
        )
        return backend, client

    yield start
    for backend in started:
        backend.server.stop(timeout=0.1)


def fail_call(backend, client, timeout_s):
    """Makes a call that must fail; returns its seconds when all is freed."""
    began = clocks.read_now()
    with pytest.raises(errors.OutcomeUnknownError):
        test_client.call(client, timeout_s=timeout_s)
    elapsed_s = clocks.read_now() - began
    assert client.in_flight == 0 and client._pool.in_use == 0
    waits.wait_until(lambda: backend.ended_at, 1.0)
    assert test_client.call(client, 'r-2').body == b'ok'
    return elapsed_s


@pytest.mark.parametrize('name', STREAMS)
def test_fast_stream_ends_at_its_bound(start, name):
    """A stream must not fill the memory, or the time until the deadline."""
    backend, client = start(name)
    tracemalloc.start()
    try:
        elapsed_s = fail_call(backend, client, 5.0)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert elapsed_s < 2.5
    assert peak_bytes < 8_000_000


@pytest.mark.parametrize('name', STREAMS)
def test_slow_stream_ends_at_the_deadline(start, name):
    """The slot and the connection must be free when the call's time is up."""
    backend, client = start(name, pause_s=0.01)
    elapsed_s = fail_call(backend, client, 0.3)
    assert elapsed_s < 0.45
    if name in HOPELESS:
        assert elapsed_s < 0.15


@pytest.mark.parametrize('name', STREAMS)
def test_stream_costs_little_processor_time(start, name):
    """The processor time belongs to all calls of the node."""
    backend, client = start(name)
    began = time.process_time()
    fail_call(backend, client, 5.0)
    assert time.process_time() - began < 0.5


def test_other_calls_go_on_beside_a_stream(start):
    """One faulty answer must not hold up the others."""
    backend, client = start('chunk extension', pause_s=0.01)
    slow = gevent.spawn(fail_call, backend, client, 0.5)
    gevent.sleep(0.05)
    for number in range(20):
        began = clocks.read_now()
        assert test_client.call(client, f'b-{number}').body == b'ok'
        assert clocks.read_now() - began < 0.2
    slow.get()


def send_streams(backend, client, count):
    """Makes calls that all get streams; returns their greenlets."""
    backend.scripts = [backend._send_without_end] * count

    def fail(number):
        with pytest.raises(errors.OutcomeUnknownError) as caught:
            test_client.call(client, f's-{number}', timeout_s=2.0)
        return caught.value.reason

    return [gevent.spawn(fail, number) for number in range(count)]


@pytest.mark.parametrize('pause_s', [0.0, 0.004])
@pytest.mark.parametrize(
    'name', ['body without a length', 'small chunks', 'trailers']
)
def test_many_streams_stay_within_the_budget(start, name, pause_s):
    """A bound for each answer lets many answers fill the memory."""
    budget = memory.ByteBudget(4_000_000)
    backend, client = start(name, budget=budget)
    backend.pause_s = pause_s
    streams = send_streams(backend, client, N_CONNECTIONS - 2)
    greatest = 0
    while not all(stream.ready() for stream in streams):
        greatest = max(greatest, budget.held_bytes)
        gevent.sleep(0.001)
    assert greatest <= 4_000_000
    reasons = {stream.get() for stream in streams}
    assert reasons <= {'memory', 'too-large', 'timeout'}
    assert budget.held_bytes == 0 and client._pool.in_use == 0


def test_whole_answers_are_not_ended_by_streams(start):
    """Calls with sound answers must not fail because others are faulty."""
    backend, client = start(
        'body without a length', budget=memory.ByteBudget(4_000_000)
    )
    backend.pause_s = 0.004
    streams = send_streams(backend, client, 20)
    waits.wait_until(lambda: not backend.scripts, 1.0)
    body = b'y' * 500_000
    answer = HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body
    for number in range(20):
        backend.scripts = [answer]
        assert test_client.call(client, f'w-{number}').body == body
    reasons = [stream.get() for stream in streams]
    assert 'memory' in reasons


def test_faulty_answer_is_logged_and_counted(start, caplog):
    """On-call must see which backend server sends what."""
    backend, client = start('no answer')
    fail_call(backend, client, 1.0)
    address = f'127.0.0.1:{backend.server.server_port}'
    # Streams of an earlier test may still be ending.
    (record,) = [
        record
        for record in caplog.records
        if record.msg == 'backend.answer_faulty' and record.backend == address
    ]
    assert record.reason == 'framing'
    sample = counters.FAULTY_ANSWERS.labels(record.backend, 'framing')
    assert sample._value.get() == 1


@pytest.mark.parametrize('data', [b'\r\n', b'\r\n\r\n', b'\n' * 50, b'HTTP'])
def test_end_without_an_answer_is_no_answer(start, data):
    """The end of a connection ends a body, but never makes a head."""
    backend, client = start('no answer')
    backend.scripts = [lambda sock: sock.sendall(data) or sock.close()]
    with pytest.raises(errors.OutcomeUnknownError):
        test_client.call(client)
