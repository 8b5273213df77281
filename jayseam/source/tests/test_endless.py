"""Tests with a source that sends bytes without end on a raw socket."""

import contextlib
import time
import tracemalloc

import gevent
import pytest
from gevent import server

from jayseam.core import clocks
from jayseam.source import endpoints
from jayseam.source import errors

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# First bytes of a reply, and bytes that follow without end.
STREAMS = {
    'head line': (HEAD + b'A: ', b'a'),
    'head lines': (HEAD, b'Ab: c\r\n'),
    'other head lines': (HEAD, None),
    'interim replies': (b'', b'HTTP/1.1 100 C\r\n\r\n'),
    'blank lines': (b'', b'\r\n'),
    'no reply': (b'', b'garbage '),
    'body without a length': (HEAD + b'\r\n', b'x'),
    'endless length': (
        HEAD + b'Content-Length: 1%s\r\n\r\n' % (b'0' * 30),
        b'x',
    ),
    'two lengths': (
        HEAD + b'Content-Length: 9\r\nContent-Length: 8\r\n\r\n',
        b'x',
    ),
    'small chunks': (CHUNKED, b'1;a=b\r\nx\r\n'),
    'chunk size': (CHUNKED, b'0'),
    'chunk extension': (CHUNKED + b'1;', b'a'),
    'trailers': (CHUNKED + b'0\r\n', b'ab: c\r\n'),
    'trailer': (CHUNKED + b'0\r\nAb: ', b'c'),
}
BLOCK_BYTES = 65536
MAX_BODY_BYTES = 1_000_000
# Bytes that a server may send before the test takes them for endless.
MAX_SENT_BYTES = 40_000_000


class EndlessServer:
    """Answers each request without end, up to a bound of the test itself."""

    def __init__(self, name, pause_s):
        self.first, self.repeated = STREAMS[name]
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.n_connections = 0
        self.n_open = 0
        self.server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()

    def _serve(self, sock, _):
        self.n_connections += 1
        self.n_open += 1
        with contextlib.suppress(OSError):
            sock.recv(BLOCK_BYTES)
            sock.sendall(self.first)
            while self.sent_bytes < MAX_SENT_BYTES:
                block = self._build_block()
                sock.sendall(block)
                self.sent_bytes += len(block)
                gevent.sleep(self.pause_s)
        sock.close()
        self.n_open -= 1

    def _build_block(self):
        if self.repeated is None:
            lines = (f'A{self.sent_bytes + n}: c\r\n' for n in range(4000))
            return ''.join(lines).encode()
        size = 16 if self.pause_s else BLOCK_BYTES
        return self.repeated * (size // len(self.repeated) + 1)


@contextlib.contextmanager
def run_endpoint(name, pause_s=0.0):
    """Yields a server and an endpoint that reads from it."""
    endless = EndlessServer(name, pause_s)
    url = f'http://127.0.0.1:{endless.server.server_port}'
    endpoint = endpoints.Endpoint(url, 1.0)
    try:
        yield endless, endpoint
    finally:
        endpoint.close()
        endless.server.stop(timeout=0.1)


@pytest.mark.parametrize('name', STREAMS)
def test_fast_stream_ends_at_its_bound(name):
    """A stream must not fill the memory or use up the processor."""
    with run_endpoint(name) as (endless, endpoint):
        began, cpu_began = clocks.read_now(), time.process_time()
        with pytest.raises(errors.SourceError):
            endpoint.fetch('/', 5.0, MAX_BODY_BYTES)
        assert clocks.read_now() - began < 1.5
        assert time.process_time() - cpu_began < 1.0
        assert endless.sent_bytes < MAX_SENT_BYTES / 2
        gevent.sleep(0.05)
        assert endless.n_open == 0


@pytest.mark.parametrize('name', STREAMS)
def test_fast_stream_takes_little_memory(name):
    """A node has some tens of megabytes for all that it does."""
    with run_endpoint(name) as (_, endpoint):
        tracemalloc.start()
        try:
            with pytest.raises(errors.SourceError):
                endpoint.fetch('/', 5.0, MAX_BODY_BYTES)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak_bytes < 12_000_000


@pytest.mark.parametrize('name', STREAMS)
def test_slow_stream_ends_at_its_limit(name):
    """A stream of a few bytes at a time must not hold a reader."""
    with run_endpoint(name, pause_s=0.01) as (endless, endpoint):
        began = clocks.read_now()
        with pytest.raises(errors.SourceError):
            endpoint.fetch('/', 0.3, MAX_BODY_BYTES)
        assert clocks.read_now() - began < 0.5
        gevent.sleep(0.05)
        assert endless.n_open == 0


def test_bound_is_for_each_reply():
    """Replies that fit must not use up the bound of their connection."""
    body = b'x' * (MAX_BODY_BYTES - 1)
    answer = HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body
    n_connections = []

    def serve(sock, _):
        n_connections.append(1)
        while sock.recv(BLOCK_BYTES):
            sock.sendall(answer)

    sound = server.StreamServer(('127.0.0.1', 0), serve)
    sound.start()
    endpoint = endpoints.Endpoint(f'http://127.0.0.1:{sound.server_port}', 1.0)
    try:
        for _ in range(30):
            assert len(endpoint.fetch('/', 5.0, MAX_BODY_BYTES).body)
        assert len(n_connections) == 1
    finally:
        endpoint.close()
        sound.stop(timeout=0.1)
