"""Answers whose status is outside the range that HTTP defines."""

import contextlib

import pytest
from gevent import server

from jayseam.backends import client as backend_client
from jayseam.backends import errors
from jayseam.backends import latecopies
from jayseam.backends import messages
from jayseam.core import clocks

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

BROKEN_STATUSES = [
    b'000',
    b'099',
    b'600',
    b'999',
    b'1000',
    b'1xx',
    b'10',
    b'1',
    b'20',
    b'20x',
    b'0200',
    b'2000',
    b'-20',
    b'',
]


def read(parts):
    """Returns the reader after all parts; stops when it is complete."""
    reader = messages.AnswerReader('GET', 1000)
    for part in parts:
        if part and reader.receive(part):
            break
    return reader


@pytest.mark.parametrize('cut_at', [0, 9, 10, 11, 12])
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 103 Hints\r\n\r\n'])
@pytest.mark.parametrize('status', BROKEN_STATUSES)
def test_status_outside_the_range_is_no_answer(status, interim, cut_at):
    """A status that HTTP doesn't define must not reach a caller."""
    head = b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 2\r\n\r\n'
    cut_at += len(interim)
    answer = interim + head + b'ok'
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        read([answer[:cut_at], answer[cut_at:]])
    assert caught.value.reason == 'framing'


@pytest.mark.parametrize('status', BROKEN_STATUSES)
def test_broken_status_is_no_interim_answer(status):
    """Such a head must not be passed over as an interim answer."""
    head = b'HTTP/1.1 ' + status + b' X\r\n\r\n'
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        read([head + OK])
    assert caught.value.reason == 'framing'


@pytest.mark.parametrize('status', [200, 299, 304, 400, 451, 503, 599])
def test_statuses_within_the_range_pass(status):
    """The check must not refuse a status that servers may send."""
    reader = read([b'HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n' % status])
    assert reader.build_answer().status == status
    assert reader.is_reusable()


def test_broken_status_is_no_late_copy():
    """Only an answer that was valid can come a second time."""
    head = 'HTTP/1.1 999 X\r\nId: r-1\r\nContent-Length: 2\r\n'
    data = f'{head}\r\nno'.encode()
    copies = latecopies.CopyFilter('Id', 'r-1')
    assert (copies.receive(data), copies.n_copies) == (data, 0)


@pytest.fixture(name='serve')
def serve_fixture():
    """Starts a server that sends given answers, one for each request."""
    scripts = []
    connections = []

    def answer(sock, _):
        connections.append(sock)
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                sock.sendall(scripts.pop(0))

    listener = server.StreamServer(('127.0.0.1', 0), answer)
    listener.start()

    def serve(*answers):
        scripts.extend(answers)
        address = ('127.0.0.1', listener.server_port)
        return backend_client.BackendClient(address, 10), connections

    yield serve
    listener.stop(timeout=0.1)


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_connection_of_a_broken_status_is_not_reused(serve, status):
    """What follows a malformed answer could be taken for the next answer."""
    broken = b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 2\r\n\r\nno'
    client, connections = serve(broken, OK)
    deadline = clocks.read_now() + 1.0
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        client.run(messages.BackendRequest('r-1', 'GET', '/'), deadline)
    assert caught.value.reason == 'framing'
    request = messages.BackendRequest('r-2', 'GET', '/')
    assert client.run(request, deadline).body == b'ok'
    assert len(connections) == 2
