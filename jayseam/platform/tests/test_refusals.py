"""Tests of refusals that a backend server repeats."""

import contextlib

import gevent
import pytest

from jayseam import backends
from jayseam.backends import client as backend_client
from jayseam.backends.tests import test_client
from jayseam.platform import dialect

NOT_RUN = 'Jayseam-Not-Executed: 1'
SIGNATURE = 'Jayseam-Response-Signature: s'
REFUSALS = [(503, NOT_RUN), (429, NOT_RUN), (421, ''), (400, NOT_RUN)]


def build_answer(status, request_id, line=''):
    """Returns the bytes of an answer, without an empty field."""
    id_line = f'Jayseam-Request-Id: {request_id}' if request_id else ''
    lines = filter(None, [line, id_line])
    head = [f'HTTP/1.1 {status} X', *lines, 'Content-Length: 2']
    return '\r\n'.join([*head, '', 'ok']).encode()


def build_success(request_id):
    """Returns the bytes of a sound answer."""
    return build_answer(200, request_id, SIGNATURE)


@contextlib.contextmanager
def run_backend(*scripts):
    """Yields a server that answers with scripts, and a client of it."""
    backend = test_client.Backend(*scripts)
    address = ('127.0.0.1', backend.server.server_port)
    client = backend_client.BackendClient(address, 10, dialect=dialect.DIALECT)
    try:
        yield backend, client
    finally:
        backend.server.stop(timeout=0.1)


def call(client, request_id):
    """Runs a call that may run once at most."""
    return test_client.call(client, request_id, method='POST', body=b'x')


@pytest.mark.parametrize('status, line', REFUSALS)
@pytest.mark.parametrize('repeated_id', ['r-1', ''])
def test_repeated_refusal_is_not_the_answer(status, line, repeated_id):
    """A request that runs must not be told to be not run."""
    repeated = build_answer(status, repeated_id, line)
    scripts = [build_success('r-1'), repeated + build_success('r-2')]
    with run_backend(*scripts) as (backend, client):
        assert call(client, 'r-1').status == 200
        try:
            assert call(client, 'r-2').status == 200
        except backends.errors.OutcomeUnknownError as error:
            assert error.reason == 'crossed'
        assert backend.accepted == 1
        # Its connection is in doubt.
        backend.scripts = [build_success('r-3')]
        assert call(client, 'r-3').status == 200
        assert backend.accepted == 2


@pytest.mark.parametrize('status, line', REFUSALS)
def test_no_request_follows_a_refusal_without_an_id(status, line):
    """The refusal may be repeated, and nothing would tell it apart."""
    refusal = build_answer(status, '', line)
    scripts = [refusal, refusal + build_success('r-2'), build_success('r-2')]
    with run_backend(*scripts) as (backend, client):
        with pytest.raises(backends.errors.ShedError):
            call(client, 'r-1')
        # A server that repeats the refusal only writes it on that connection.
        backend.scripts.pop(0)
        assert call(client, 'r-2').status == 200
        assert backend.accepted == 2


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize('request_id', ['r-2', ''])
def test_status_alone_is_no_refusal(status, request_id):
    """Callers take these statuses for a promise, which only the field gives."""
    scripts = [build_success('r-1'), build_answer(status, request_id)]
    with run_backend(*scripts) as (_, client):
        call(client, 'r-1')
        with pytest.raises(backends.errors.OutcomeUnknownError):
            call(client, 'r-2')


@pytest.mark.parametrize('status, line', REFUSALS)
def test_refusal_with_the_id_is_not_run(status, line):
    """A sound refusal must cost neither the call nor the connection."""
    refusal = build_answer(status, 'r-2', line)
    scripts = [build_success('r-1'), refusal, build_success('r-3')]
    with run_backend(*scripts) as (backend, client):
        call(client, 'r-1')
        with pytest.raises(backends.errors.ShedError):
            call(client, 'r-2')
        assert call(client, 'r-3').status == 200
        assert backend.accepted == 1


@pytest.mark.parametrize('status, line', REFUSALS)
@pytest.mark.parametrize('repeated_id', ['r-1', ''])
@pytest.mark.parametrize('late_s', [0.0, 0.02])
def test_refusal_before_the_next_request_is_dropped(
    status, line, repeated_id, late_s
):
    """A refusal that was there before a request can't be about it."""

    def refuse_twice(sock):
        refusal = build_answer(status, 'r-1', line)
        repeated = build_answer(status, repeated_id, line)
        if late_s:
            sock.sendall(refusal)
            gevent.sleep(late_s)
            sock.sendall(repeated)
        else:
            sock.sendall(refusal + repeated)

    with run_backend(refuse_twice, build_success('r-2')) as (backend, client):
        with pytest.raises(backends.errors.ShedError):
            call(client, 'r-1')
        gevent.sleep(2 * late_s)
        assert call(client, 'r-2').status == 200
        assert backend.accepted == 2


@pytest.mark.parametrize('cut', [1, 20, 60])
def test_part_of_a_repeated_refusal_is_dropped(cut):
    """The rest of it may come only with the next request."""
    refusal = build_answer(503, 'r-1', NOT_RUN)
    repeated = build_answer(503, '', NOT_RUN)
    scripts = [refusal + repeated[:cut], repeated[cut:], build_success('r-2')]
    with run_backend(*scripts) as (backend, client):
        with pytest.raises(backends.errors.ShedError):
            call(client, 'r-1')
        backend.scripts.pop(0)
        assert call(client, 'r-2').status == 200
        assert backend.accepted == 2


@pytest.mark.parametrize('late_s', [0.0, 0.05])
def test_call_gets_its_answer_after_a_late_copy(late_s):
    """A server that sends an answer again failed the next call otherwise.

    That call may run once at most, so nobody could repeat it.
    """
    copy = build_success('r-1').replace(b'ok', b'no')

    def answer_after_copy(sock):
        sock.sendall(copy)
        gevent.sleep(late_s)
        sock.sendall(build_success('r-2'))

    scripts = [build_success('r-1'), answer_after_copy, build_success('r-3')]
    with run_backend(*scripts) as (backend, client):
        assert call(client, 'r-1').status == 200
        answer = call(client, 'r-2')
        assert (answer.status, answer.body) == (200, b'ok')
        # The server may send more copies on that connection.
        assert backend.accepted == 1
        assert call(client, 'r-3').body == b'ok'
        assert backend.accepted == 2


def test_caller_that_uses_an_id_again_gets_its_answer():
    """Its own answer would be taken for a copy of the one before."""
    scripts = [build_success('r-1'), build_success('r-1')]
    with run_backend(*scripts) as (backend, client):
        for _ in scripts:
            assert call(client, 'r-1').status == 200
        assert backend.accepted == 1
