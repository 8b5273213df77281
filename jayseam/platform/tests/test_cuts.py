"""Replies that the store cuts at any byte, by a close or a reset."""

import contextlib
import json

import pytest
from gevent import server

from jayseam.platform import store
from jayseam.source import errors
from jayseam.standins import serving

DOCUMENT = json.dumps(
    {
        'items': [{'key': 'op/config', 'value': 'e30=', 'revision': 7}],
        'events': [{'key': 'servers/a', 'revision': 8, 'tombstone': True}],
        'as_of': 12,
        'more_pages': False,
    }
).encode()
OK = b'HTTP/1.1 200 OK\r\nStore-Era: 123\r\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(DOCUMENT)
REPLIES = {
    'length': OK + LENGTH + DOCUMENT,
    'without a length': OK + b'\r\n' + DOCUMENT,
    'chunked': OK
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'%x\r\n%s\r\n0\r\n\r\n' % (len(DOCUMENT), DOCUMENT),
}


@pytest.fixture(name='serve')
def serve_fixture():
    """Starts a store that cuts its replies; returns a client of it."""
    script = {}

    def answer(sock, _):
        with contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(script['data'])
        if script['reset']:
            serving.set_reset_on_close(sock)
        sock.close()

    listener = server.StreamServer(('127.0.0.1', 0), answer)
    listener.start()

    def serve(data, reset):
        script.update(data=data, reset=reset)
        return store.StoreClient(f'127.0.0.1:{listener.server_port}')

    yield serve
    listener.stop(timeout=0.1)


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('name', REPLIES)
def test_cut_reply_is_no_listing_and_no_change(serve, name, reset):
    """A cut listing would take away entries, keys or the configuration."""
    data = REPLIES[name]
    for cut_at in range(len(data)):
        client = serve(data[:cut_at], reset)
        with pytest.raises(errors.SourceError):
            if cut_at % 2:
                client.list_items('')
            else:
                client.watch('', 3, 0.0)
        client.close()


@pytest.mark.parametrize('name', REPLIES)
def test_whole_reply_is_taken(serve, name):
    """The cuts would show nothing if whole replies failed, too."""
    client = serve(REPLIES[name], False)
    assert client.list_items('').items == (store.Item('op/config', b'{}', 7),)
    assert client.watch('', 3, 0.0).revision == 12
    client.close()


@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 103 Hints\r\n\r\n'])
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('name', REPLIES)
def test_broken_status_is_no_reply(serve, name, status, interim):
    """A head with a broken status must not pass as an interim reply."""
    broken = b'HTTP/1.1 ' + status + b' X\r\n'
    without_body = interim + broken + b'\r\n' + REPLIES[name]
    with_body = interim + REPLIES[name].replace(b'200 OK', status + b' X', 1)
    for data in (without_body, with_body):
        client = serve(data, False)
        with pytest.raises(errors.SourceReplyError):
            client.list_items('')
        with pytest.raises(errors.SourceReplyError):
            client.watch('', 3, 0.0)
        client.close()
