"""Replies that a source cuts at any byte, by a close or a reset."""

import contextlib

import pytest
from gevent import server

from jayseam.source import client as source_client
from jayseam.source import endpoints
from jayseam.source import errors
from jayseam.source import statuslines
from jayseam.standins import serving

OK = b'HTTP/1.1 200 OK\r\nRevision: 12345\r\n'
BODY = b'{"a": "bcdefghijkl"}'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKS = b'9\r\n%s\r\nb;x=y\r\n%s\r\n0\r\nT: 1\r\n\r\n' % (BODY[:9], BODY[9:])
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Head of the reply and its body.
REPLIES = {
    'length': (OK + LENGTH, BODY),
    'chunked': (OK + CHUNKED, CHUNKS),
    'without a length': (OK + b'\r\n', BODY),
    'interim, length': (INTERIM + OK + LENGTH, BODY),
    'interim, chunked': (INTERIM + OK + CHUNKED, CHUNKS),
    'not modified': (OK.replace(b'200 OK', b'304 N') + b'\r\n', b''),
    'line feeds': ((OK + LENGTH).replace(b'\r\n', b'\n'), BODY),
}


@pytest.fixture(name='serve')
def serve_fixture():
    """Starts a source that cuts its replies; returns its URL."""
    script = {}

    def answer(sock, _):
        with contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(script['data'])
        if script['reset']:
            serving.set_reset_on_close(sock)
        sock.close()

    source = server.StreamServer(('127.0.0.1', 0), answer)
    source.start()

    def serve(data, reset):
        script.update(data=data, reset=reset)
        return f'http://127.0.0.1:{source.server_port}'

    yield serve
    source.stop(timeout=0.1)


def read_value(url):
    """Reads a value of which an older revision is held."""
    client = source_client.SourceClient([url])
    try:
        return client.read_value('channels/preset', 1)
    finally:
        client.close()


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('name', REPLIES)
def test_cut_head_is_no_reply(serve, name, reset):
    """A head that ends early must not become a value, or no change."""
    head, _ = REPLIES[name]
    for cut_at in range(len(head)):
        with pytest.raises(errors.SourceError):
            read_value(serve(head[:cut_at], reset))


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize(
    'name', [name for name, (_, body) in REPLIES.items() if body]
)
def test_cut_body_is_no_value(serve, name, reset):
    """A part of a configuration must not be taken for the whole."""
    head, body = REPLIES[name]
    for cut_at in range(len(body)):
        with pytest.raises(errors.SourceError):
            read_value(serve(head + body[:cut_at], reset))


def test_reply_without_a_length_is_no_value(serve):
    """Its end looks like that of a source which has ended on the way."""
    with pytest.raises(errors.SourceError):
        read_value(serve(OK + b'\r\n' + BODY, False))


@pytest.mark.parametrize('name', ['length', 'chunked', 'interim, length'])
def test_whole_reply_is_taken(serve, name):
    """The cuts would show nothing if whole replies failed, too."""
    head, body = REPLIES[name]
    assert read_value(serve(head + body, False)).body == BODY


def test_endpoint_keeps_no_connection_of_a_cut_reply(serve):
    """The next request must not read the rest of another reply."""
    url = serve((OK + LENGTH + BODY)[:-1], False)
    endpoint = endpoints.Endpoint(url, 1.0)
    with pytest.raises(errors.SourceError):
        endpoint.fetch('/', 2.0, 1000)
    serve(OK + LENGTH + BODY, False)
    assert endpoint.fetch('/', 2.0, 1000).body == BODY
    endpoint.close()


@pytest.mark.parametrize('cut_at', range(0, 60, 7))
@pytest.mark.parametrize('break_', [b'\r\n', b'\n'], ids=['crlf', 'lf'])
def test_broken_status_is_found_in_pieces(cut_at, break_):
    """Where TCP splits a reply must not decide whether its status counts."""
    data = b'HTTP/1.1 103 H\r\nA: b\r\n\r\nHTTP/1.1 099 X\r\n\r\n'
    data = data.replace(b'\r\n', break_)
    check = statuslines.StatusLineCheck()
    with pytest.raises(errors.SourceReplyError):
        check.receive(data[:cut_at])
        for byte in data[cut_at:]:
            check.receive(bytes([byte]))
