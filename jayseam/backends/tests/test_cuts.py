"""Answers that a backend server cuts at any byte, by a close or a reset."""

import socket as std_socket

import gevent
import pytest

from jayseam.backends import client as backend_client
from jayseam.backends import dialects
from jayseam.backends import errors
from jayseam.backends import messages
from jayseam.backends.tests import test_client
from jayseam.core import clocks

DIALECT = dialects.Dialect(
    unsized_answers=True,
    echoes_ids=True,
    signature_field='Signed',
    cancel_path='',
)
FIELDS = b'Request-Id: r-1\r\nSigned: 1\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + FIELDS
BODY = b'{"a": "bcdefghijkl"}'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKS = b'9\r\n%s\r\nb;x=y\r\n%s\r\n0\r\nT: 1\r\n\r\n' % (BODY[:9], BODY[9:])
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 H\r\nLink: </a>\r\n\r\n'


def call(client, method='GET'):
    """Runs a call and returns its answer."""
    return test_client.call(client, method=method, timeout_s=2.0)


# Method of the request, head of the answer, and its body.
ANSWERS = {
    'length': ('GET', OK + LENGTH, BODY),
    'chunked': ('GET', OK + CHUNKED, CHUNKS),
    'without a length': ('GET', OK + b'\r\n', BODY),
    'without a length, closing': (
        'GET',
        OK + b'Connection: close\r\n\r\n',
        BODY,
    ),
    'HTTP/1.0': ('GET', OK.replace(b'1.1', b'1.0') + b'\r\n', BODY),
    'interim, length': ('GET', INTERIM + OK + LENGTH, BODY),
    'interim, chunked': ('POST', INTERIM + OK + CHUNKED, CHUNKS),
    'interim, without a length': ('GET', INTERIM + OK + b'\r\n', BODY),
    'HEAD': ('HEAD', OK + LENGTH, b''),
    'HEAD, without a length': ('HEAD', OK + b'\r\n', b''),
    'no content': ('POST', OK.replace(b'200 OK', b'204 N') + b'\r\n', b''),
    'not modified': ('GET', OK.replace(b'200 OK', b'304 N') + LENGTH, b''),
}


@pytest.fixture(name='run')
def run_fixture():
    """Runs a call to a server that cuts its answer."""
    backend = test_client.Backend()
    address = ('127.0.0.1', backend.server.server_port)

    def run(method, data, reset):
        def answer(sock):
            sock.sendall(data)
            if reset:
                test_client.reset(sock)
            sock.close()

        backend.scripts = [answer]
        client = backend_client.BackendClient(address, 4, dialect=DIALECT)
        try:
            return call(client, method)
        except errors.BackendError:
            assert not client._pool._idle
            raise
        finally:
            assert client.in_flight == 0 and client._pool.in_use == 0
            client.close()

    yield run
    backend.server.stop(timeout=0.1)


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('name', ANSWERS)
def test_cut_head_is_no_answer(run, name, reset):
    """A head that ends early must not become an answer with a short body."""
    method, head, _ = ANSWERS[name]
    for cut_at in range(len(head)):
        with pytest.raises(errors.OutcomeUnknownError):
            run(method, head[:cut_at], reset)


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize(
    'name', [name for name, (_, _, body) in ANSWERS.items() if body]
)
def test_cut_body_is_no_answer(run, name, reset):
    """Only a close may end a body, and only one without a length."""
    method, head, body = ANSWERS[name]
    ends_with_close = body is BODY and LENGTH not in head and not reset
    for cut_at in range(len(body)):
        data = head + body[:cut_at]
        if ends_with_close:
            assert run(method, data, reset).body == body[:cut_at]
        else:
            with pytest.raises(errors.OutcomeUnknownError):
                run(method, data, reset)


@pytest.mark.parametrize('name', ANSWERS)
def test_whole_answer_is_taken(run, name):
    """The cuts would show nothing if whole answers failed, too."""
    method, head, body = ANSWERS[name]
    answer = run(method, head + body, False)
    assert answer.body == (BODY if body else b'')


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('name', ['length', 'chunked', 'without a length'])
def test_head_with_bare_line_feeds_is_no_answer(run, name, reset):
    """Line ends that parsers read differently must not end a head."""
    method, head, body = ANSWERS[name]
    data = head.replace(b'\r\n', b'\n') + body.replace(b'\r\n', b'\n')
    for cut_at in range(len(data) + 1):
        with pytest.raises(errors.OutcomeUnknownError):
            run(method, data[:cut_at], reset)


@pytest.mark.parametrize('size', [1, 2, 3, 7])
@pytest.mark.parametrize('name', ANSWERS)
def test_cut_in_small_blocks_is_no_answer(name, size):
    """Where blocks begin and end must not change what is whole."""
    method, head, body = ANSWERS[name]
    data = head + body
    for cut_at in range(len(head)):
        reader = messages.AnswerReader(method, 1000, unsized=True)
        for start in range(0, cut_at, size):
            assert not reader.receive(data[start : min(cut_at, start + size)])
        with pytest.raises(errors.OutcomeUnknownError):
            reader.receive(b'')


def find_outcomes(client, requests, deadline):
    """Runs calls at once; returns the answer or the error of each."""

    def find_outcome(request):
        try:
            return client.run(request, deadline)
        except errors.BackendError as error:
            return error

    greenlets = [gevent.spawn(find_outcome, request) for request in requests]
    gevent.joinall(greenlets, timeout=5.0, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def test_resets_of_several_connections_end_no_answer():
    """A half answer looked whole after another call's failure was handled.

    The check for connections that survived the failure reads the error of a
    reset connection, which the kernel reports once.
    """
    n_calls = 6
    sockets = []

    def answer_half(sock):
        sock.sendall(OK + b'\r\n' + BODY[:9])
        sockets.append(sock)
        if len(sockets) == n_calls:
            # The client has read each half before the first reset.
            gevent.sleep(0.1)
            for started in sockets:
                test_client.reset(started)
        gevent.sleep(1.0)

    backend = test_client.Backend(*[answer_half] * n_calls)
    address = ('127.0.0.1', backend.server.server_port)
    client = backend_client.BackendClient(address, 10, dialect=DIALECT)
    requests = [
        messages.BackendRequest(f'r-{n}', 'GET', '/') for n in range(n_calls)
    ]
    outcomes = find_outcomes(client, requests, clocks.read_now() + 2.0)
    backend.server.stop(timeout=0.1)
    assert {getattr(o, 'reason', 'whole') for o in outcomes} == {
        'connection-lost'
    }


def run_large_request(handle):
    """Returns the outcome of a request that the server doesn't read."""
    backend = test_client.Backend()
    backend.server.set_handle(lambda sock, _: handle(sock))
    address = ('127.0.0.1', backend.server.server_port)
    client = backend_client.BackendClient(address, 4, dialect=DIALECT)
    request = messages.BackendRequest(
        'r-1', 'POST', '/', body=bytes(30_000_000)
    )
    outcomes = find_outcomes(client, [request], clocks.read_now() + 2.0)
    backend.server.stop(timeout=0.1)
    return outcomes[0]


def test_reset_during_a_write_ends_no_answer():
    """A half answer looked whole if the reset was found by a write.

    A server may answer and close before it has read a large request, so the
    answer is read after the failed write.
    """

    def answer_half(sock):
        sock.sendall(OK + b'\r\n' + BODY[:9])
        gevent.sleep(0.2)
        test_client.reset(sock)

    outcome = run_large_request(answer_half)
    assert getattr(outcome, 'reason', 'whole') == 'connection-lost'


def test_reset_after_the_end_leaves_the_answer_whole():
    """A server that ends its answer may reset what it doesn't read."""

    def answer(sock):
        sock.sendall(OK + b'\r\n' + BODY)
        sock.shutdown(std_socket.SHUT_WR)
        gevent.sleep(0.2)
        test_client.reset(sock)

    assert run_large_request(answer).body == BODY
