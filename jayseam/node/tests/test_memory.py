"""Memory that callers hold by sending or reading slowly."""

import contextlib

import gevent
import pytest
from gevent import socket

from jayseam.calls import errors
from jayseam.core import memory
from jayseam.node import bodies
from jayseam.node import callers
from jayseam.standins import waits

ANSWER_BYTES = 1_800_000
BUDGET_BYTES = 8_000_000
BODY_BYTES = 1_000_000
_BODY = b'x' * ANSWER_BYTES


def _serve(environ, start_response):
    """Answers with many bytes, or with a refusal."""
    try:
        bodies.read_request(environ)
    except errors.CallError as error:
        start_response(f'{error.status} Refused', [('Content-Length', '2')])
        return [b'no']
    body = b'ok' if environ['REQUEST_METHOD'] == 'POST' else _BODY
    start_response('200 OK', [('Content-Length', str(len(body)))])
    return [body]


@pytest.fixture(name='server')
def _server():
    budget = memory.ByteBudget(BUDGET_BYTES)
    server = callers.CallerServer(
        ('127.0.0.1', 0), _serve, log=None, budget=budget
    )
    server.start()
    # Otherwise the kernel takes a whole answer from the process.
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    yield server
    server.stop(timeout=0.1)


def _connect(server):
    caller = socket.create_connection(('127.0.0.1', server.server_port))
    caller.settimeout(3.0)
    return caller


def _ask(server):
    """Sends a request for a great answer and reads none of it."""
    caller = _connect(server)
    caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    return caller


def _read_to_end(caller):
    """Returns the bytes that come before the end or reset."""
    data = b''
    with contextlib.suppress(OSError):
        while block := caller.recv(65536):
            data += block
    return data


def _send_part(server, framing, sent):
    """Sends a request without the last part of its body."""
    caller = _connect(server)
    caller.sendall(b'POST / HTTP/1.1\r\nHost: h\r\n' + framing + b'\r\n\r\n')
    caller.sendall(sent)
    return caller


def test_answers_that_are_not_read_stay_within_the_budget(server):
    """Callers that don't read must not fill the memory of the process."""
    slow = [_ask(server) for _ in range(12)]
    gevent.sleep(0.3)
    assert server.budget.held_bytes <= BUDGET_BYTES
    assert _read_to_end(_ask(server)).endswith(_BODY)
    answers = [_read_to_end(caller) for caller in slow]
    whole = [a for a in answers if a.endswith(_BODY)]
    assert len(whole) == BUDGET_BYTES // ANSWER_BYTES - 1
    # The length shows the caller that the answer isn't whole.
    assert all(b'Content-Length: 1800000' in answer for answer in answers)
    waits.wait_until(lambda: server.budget.held_bytes == 0, 1.0)


@pytest.mark.parametrize('is_chunked', [False, True])
def test_bodies_that_come_slowly_stay_within_the_budget(server, is_chunked):
    """Bodies of 1 MiB on each connection must not fill the memory."""
    framing, first, last = b'Content-Length: 1000000', b'', b'x'
    if is_chunked:
        framing, first = b'Transfer-Encoding: chunked', b'f4240\r\n'
        last = b'x\r\n0\r\n\r\n'
    part = first + b'x' * (BODY_BYTES - 1)
    slow = [_send_part(server, framing, part) for _ in range(10)]
    gevent.sleep(0.3)
    assert server.budget.held_bytes <= BUDGET_BYTES * memory.REQUEST_SHARE
    assert _read_to_end(_ask(server)).endswith(_BODY)
    answers = []
    for caller in slow:
        with contextlib.suppress(OSError):
            caller.sendall(last)
        answers.append(caller.recv(65536))
    n_served = sum(a.startswith(b'HTTP/1.1 200') for a in answers)
    n_refused = sum(a.startswith(b'HTTP/1.1 503') for a in answers)
    assert n_served + n_refused == 10
    assert 2 <= n_served <= 4
    waits.wait_until(lambda: server.budget.held_bytes == 0, 1.0)


def test_announced_lengths_take_no_memory(server):
    """A length that a caller only announces must not have others refused."""
    slow = [
        _send_part(server, b'Content-Length: 1000000', b'x') for _ in range(40)
    ]
    gevent.sleep(0.1)
    caller = _send_part(server, b'Content-Length: 500000', b'x' * 500_000)
    assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    for other in slow:
        other.close()
    waits.wait_until(lambda: server.budget.held_bytes == 0, 1.0)
