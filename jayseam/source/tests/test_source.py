"""Tests of the source client and watchers against a scripted server."""

import socket

import gevent
import hypothesis
import pytest
from gevent import pywsgi
from gevent import server as gevent_server
from hypothesis import strategies

from jayseam.core import clocks
from jayseam.core import digests
from jayseam.presets import documents
from jayseam.source import backoff
from jayseam.source import client
from jayseam.source import errors
from jayseam.source import watchers


class _Platform:
    """A fake of the platform's HTTP interface."""

    def __init__(self):
        self.values = {}
        self.connections = set()
        self.requests = []
        self.status = None
        self._server = pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._answer, log=None
        )
        self._server.start()
        self.url = f'http://127.0.0.1:{self._server.server_port}'

    def stop(self):
        """Ends the server."""
        self._server.stop(timeout=0.1)

    def _answer(self, environ, start_response):
        self.connections.add(environ['REMOTE_PORT'])
        path, query = environ['PATH_INFO'], environ['QUERY_STRING']
        self.requests.append((path, query))
        if self.status is not None:
            start_response(self.status, [])
            return [b'']
        values = dict(p.split('=') for p in query.split('&') if p)
        after, wait_s = int(values.get('after', -1)), values.get('wait_s', 0)
        deadline = clocks.read_now() + float(wait_s)
        while True:
            revision, body = self.values.get(path, (None, b''))
            if revision is None:
                start_response('404 Not Found', [])
                return [b'']
            if revision > after:
                start_response('200 OK', [('Revision', str(revision))])
                return [body]
            if clocks.read_now() >= deadline:
                start_response(
                    '304 Not Modified', [('Revision', str(revision))]
                )
                return [b'']
            gevent.sleep(0.01)


@pytest.fixture(name='platform')
def _build_platform():
    platform = _Platform()
    yield platform
    platform.stop()


def _serve_raw(data, delay_s=0.0):
    """Starts a server that sends fixed bytes on every connection."""

    def answer(sock, _):
        sock.recv(65_536)
        sock.sendall(data)
        gevent.sleep(delay_s)
        sock.close()

    server = gevent_server.StreamServer(('127.0.0.1', 0), answer)
    server.start()
    return server, f'http://127.0.0.1:{server.server_port}'


def _find_closed_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def test_read_and_watch(platform):
    """A watch must return a newer value at once and 304 without one."""
    platform.values['/v1/values/channels/preset'] = (5, b'five')
    source = client.SourceClient([platform.url])
    reply = source.read_value('channels/preset')
    assert (reply.revision, reply.body) == (5, b'five')
    reply = source.read_value('channels/preset', after_revision=5, wait_s=0.1)
    assert (reply.revision, reply.body) == (5, None)
    watch = gevent.spawn(source.read_value, 'channels/preset', 5, 5.0)
    gevent.sleep(0.05)
    platform.values['/v1/values/channels/preset'] = (6, b'six')
    assert watch.get(timeout=1.0).body == b'six'
    assert len(platform.connections) == 1


def test_failover_and_typed_errors(platform):
    """A read must succeed if one of the replicas is unreachable."""
    body = b'part'
    digest = digests.compute_digest(body)
    path = f'/v1/values/parts/{digest}'
    platform.values[path] = (1, body)
    closed = f'http://127.0.0.1:{_find_closed_port()}'
    source = client.SourceClient([closed, platform.url])
    assert source.read_part(digest) == body
    assert source.url == platform.url
    platform.values[path] = (2, b'altered')
    with pytest.raises(errors.SourceError):
        source.read_part(digest)
    only = client.SourceClient([platform.url])
    with pytest.raises(errors.SourceReplyError):
        only.read_part(digest)
    with pytest.raises(errors.ValueMissingError):
        only.read_value('channels/none')
    platform.status = '429 Too Many Requests'
    n_requests = len(platform.requests)
    with pytest.raises(errors.SourceBudgetError):
        client.SourceClient([platform.url, platform.url]).read_vms()
    assert len(platform.requests) == n_requests + 1
    with pytest.raises(errors.SourceUnreachableError):
        client.SourceClient([closed]).read_vms()


@pytest.mark.parametrize(
    'data, error',
    [
        (
            b'HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 9\r\n\r\nab',
            errors.SourceUnreachableError,
        ),
        (
            b'HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 9999999\r\n'
            b'\r\n',
            errors.BodyTooLargeError,
        ),
        (
            b'HTTP/1.1 200 OK\r\nRevision: 1\r\nTransfer-Encoding: chunked'
            b'\r\n\r\n200000\r\n' + b'x' * 0x200000,
            errors.BodyTooLargeError,
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab',
            errors.SourceReplyError,
        ),
        (
            b'HTTP/1.1 200 OK\r\nRevision: -1\r\nContent-Length: 2\r\n\r\nab',
            errors.SourceReplyError,
        ),
        (
            b'HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nab',
            errors.SourceReplyError,
        ),
        (b'SSH-2.0-x\r\n', errors.SourceUnreachableError),
        *(
            (
                b'HTTP/1.1 %s X\r\nRevision: 1\r\nContent-Length: 2\r\n\r\nab'
                % status,
                errors.SourceReplyError,
            )
            for status in (b'000', b'099', b'600', b'999')
        ),
    ],
)
def test_broken_replies_are_refused(data, error):
    """A truncated, oversized or malformed reply must not yield a value."""
    server, url = _serve_raw(data)
    source = client.SourceClient([url], timeout_s=1.0)
    with pytest.raises(error):
        source.read_value('channels/preset')
    server.stop(timeout=0.1)


@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 103 Hints\r\n\r\n'])
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_reply_behind_a_broken_status_is_refused(status, interim):
    """A head with a broken status must not be passed over, or reused."""
    good = b'HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 2\r\n\r\nab'
    broken = b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 0\r\n\r\n'
    server, url = _serve_raw(interim + broken + good, delay_s=0.5)
    source = client.SourceClient([url], timeout_s=1.0)
    for _ in range(2):
        with pytest.raises(errors.SourceReplyError):
            source.read_value('channels/preset')
    server.stop(timeout=0.1)


def test_silent_server_times_out():
    """A connection that stops responding must not hang the reader."""
    server, url = _serve_raw(b'HTTP/1.1 200 OK\r\n', delay_s=5.0)
    source = client.SourceClient([url], timeout_s=0.2)
    started_at = clocks.read_now()
    with pytest.raises(errors.SourceTimeoutError):
        source.read_vms(after_revision=1, wait_s=0.2)
    assert 0.3 < clocks.read_now() - started_at < 1.0
    server.stop(timeout=0.1)


def test_connections_have_nodelay(platform):
    """Without TCP_NODELAY each read costs about 43 ms."""
    platform.values['/v1/vms'] = (1, b'{"vms":[]}')
    source = client.SourceClient([platform.url])
    source.read_vms()
    sock = source._endpoints[0].http._connection_pool.get_socket()
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0


def _watch(
    platform,
    channel,
    read_held=lambda: watchers.NO_VERSION,
    uniform=lambda: 0.1,
):
    updates, confirmed, failures = [], [], []
    watcher = watchers.SourceWatcher(
        client.SourceClient([platform.url]),
        channel,
        0.3,
        updates.append,
        confirmed.append,
        read_held,
        uniform,
        lambda *failure: failures.append(failure),
    )
    watcher.start()
    return watcher, updates, confirmed, failures


def test_watcher_reports_updates_and_confirmations(platform):
    """Each version must be reported once, and 304 must confirm it."""
    pointer = documents.encode_json({'manifest': 'ab' * 32})
    platform.values['/v1/values/channels/preset'] = (5, pointer)
    watcher, updates, confirmed, _ = _watch(platform, 'preset')
    gevent.sleep(0.8)
    platform.values['/v1/values/channels/preset'] = (6, b'{}')
    gevent.sleep(0.8)
    watcher.stop()
    assert [u.version for u in updates] == [5, 6]
    assert updates[0].digest == 'ab' * 32 and not updates[0].reasons
    assert updates[1].reasons == ('pointer: no manifest digest',)
    assert {c.version for c in confirmed} == {5, 6}
    assert len(platform.requests) < 12


def test_watcher_does_not_take_a_stale_replica_for_confirmation(platform):
    """A replica behind the held version must confirm nothing."""
    platform.values['/v1/values/channels/keys'] = (5, b'{}')
    watcher, updates, confirmed, failures = _watch(
        platform, 'keys', lambda: watchers.KnownVersion(9)
    )
    gevent.sleep(0.3)
    watcher.stop()
    assert not updates and not confirmed
    assert failures[0] == ('keys', None)


def test_watcher_backs_off_and_recovers(platform):
    """Failed reads must not use up the source's budget."""
    platform.status = '500 Oops'
    watcher, updates, _, failures = _watch(platform, 'vms', uniform=lambda: 0.2)
    gevent.sleep(1.0)
    assert 2 <= len(failures) <= 4
    platform.status = None
    body = documents.encode_json(
        {
            'vms': [
                {
                    'vm': 'a',
                    'upstream': 'u',
                    'zone': 'z',
                    'region': 'r',
                    'host': '127.0.0.1',
                    'port': 1,
                    'state': 'live',
                    'rack': 'later field',
                }
            ]
        }
    )
    platform.values['/v1/vms'] = (3, body)
    gevent.sleep(1.6)
    watcher.stop()
    assert [u.version for u in updates] == [3]
    (part,) = updates[0].bundle.parts.values()
    assert b'rack' not in part


@hypothesis.given(
    strategies.lists(strategies.floats(0, 1, exclude_max=True), max_size=50)
)
def test_backoff_is_bounded_and_jittered(numbers):
    """Waits must grow to a cap and never exceed it."""
    state = backoff.Backoff()
    for k, uniform in enumerate(numbers):
        state = state.fail(10.0, uniform)
        cap_s = min(8.0, 2.0**k)
        assert state.compute_wait(10.0) == pytest.approx(uniform * cap_s)
    assert state.succeed() == backoff.Backoff()
