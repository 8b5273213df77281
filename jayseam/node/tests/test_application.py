"""The application for callers while its node stops."""

import io
import math

import attrs
import gevent
import pytest
from gevent import event
from gevent import socket

from jayseam.calls import errors
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.node import application
from jayseam.node import callers
from jayseam.node import disconnects
from jayseam.node import pauses
from jayseam.platform import dialect
from jayseam.standins import waits

_ANSWER = requests.CallAnswer(200, (), b'ok')


@attrs.define
class _Route:
    repeatable: bool = False
    keyed: bool = True


@attrs.define
class _Caller:
    workspace: str = 'school'


@attrs.define
class _Call:
    route: _Route = attrs.field(factory=_Route)
    caller: _Caller = _Caller()


class _Entry:
    """Answers calls when told to, and records the latest end of each."""

    def __init__(self):
        self.latest_ends = []
        self.may_shorten = True
        self.is_sent = True
        self.answer = _ANSWER
        self.may_answer = event.Event()

    def admit_request(
        self, request, request_id, now, latest_end, may_shorten, received_at
    ):
        del request, request_id, now, received_at
        self.latest_ends.append(latest_end)
        self.may_shorten = may_shorten
        return _Call()

    def run(self, call):
        del call
        try:
            self.may_answer.wait()
        except errors.CallAbortedError as error:
            error.may_have_run = self.is_sent
            raise
        return self.answer

    def describe_versions(self, now):
        del now
        return {}


class _Node:
    """An application with stand-ins of what it uses."""

    def __init__(self):
        self.entry = _Entry()
        self.attempts = False
        self.connection = None
        self.application = application.CallerApplication(
            self.entry,
            pauses.PauseGuard(lambda now, paused_s: None),
            disconnects.DisconnectMonitor(),
            lambda: True,
            lambda: self.attempts,
            dialect.DIALECT,
        )
        self.statuses = []

    def send(self, authorization='Bearer key', stream=None, length=0):
        """Starts a request; returns the greenlet that makes its answer."""
        environ = {
            'HTTP_JAYSEAM_REQUEST_ID': 'r-1',
            'REQUEST_METHOD': 'POST',
            'PATH_INFO': '/book/1',
            'CONTENT_LENGTH': str(length),
            'wsgi.input': stream or io.BytesIO(),
            'jayseam.headers': [],
            'jayseam.target': '/book/1',
            'jayseam.handler': _Handler(),
            disconnects.SOCKET_KEY: self.connection,
        }
        if authorization:
            environ['HTTP_AUTHORIZATION'] = authorization
        job = gevent.spawn(
            self.application,
            environ,
            lambda status, _: self.statuses.append(int(status[:3])),
        )
        gevent.sleep(0)
        return job


class _Handler:
    """The connection of a request, which has memory for it."""

    def hold_head(self):
        """Grants the memory."""

    def hold_body(self, n_bytes):
        """Grants the memory."""

    def finish_input(self):
        """Has no requests behind this one."""


class _SlowBody(io.BytesIO):
    """A body whose sender pauses before its end."""

    rfile = None

    def read(self, size=-1):
        del size
        gevent.sleep(60.0)


@pytest.fixture(name='node')
def _node():
    return _Node()


def test_answer_that_is_still_written_is_in_flight(node):
    """The process must not end before a slow caller has its whole answer."""
    node.entry.may_answer.set()
    body = node.send().get()
    assert list(body) == [b'ok'] and node.application.in_flight == 1
    assert node.application.list_writing() == ['r-1']
    assert not node.application.list_in_flight()
    body.close()
    assert node.application.in_flight == 0


def test_aborting_calls_spares_answers_that_are_written(node):
    """An upstream's answer must not be replaced once it is there."""
    node.entry.may_answer.set()
    job = node.send()
    job.get()
    node.application.abort_calls()
    assert node.statuses == [200]


def test_refusals_of_a_stop_are_not_in_flight(node):
    """Callers that go on asking must not keep a stop from draining."""
    node.application.stop_accepting_calls()
    body = node.send().get()
    assert node.statuses == [503] and node.application.in_flight == 0
    body.close()


def test_calls_of_a_stopping_node_end_with_its_work(node):
    """No call may be passed on with more time than the node has left."""
    node.send()
    work_end = clocks.read_now() + 2.0
    node.application.begin_stop(work_end)
    node.send()
    assert node.entry.latest_ends == [math.inf, work_end]


def test_aborted_call_that_was_not_read_has_not_run(node):
    """A caller must learn that it may repeat a request that wasn't read."""
    job = node.send(stream=_SlowBody(), length=3)
    node.application.abort_calls()
    job.get()
    assert node.statuses == [503]


@pytest.mark.parametrize(('is_sent', 'status'), [(True, 504), (False, 503)])
def test_aborted_call_tells_whether_it_may_have_run(node, is_sent, status):
    """A refusal must be true, and a call that waits hasn't run."""
    node.entry.is_sent = is_sent
    job = node.send()
    node.application.abort_calls()
    job.get()
    assert node.statuses == [status]


def test_abort_spares_an_answer_that_comes_at_the_same_moment(node):
    """An answer must not be cut in the middle by the abort."""
    node.entry.answer = requests.CallAnswer(200, (), b'x' * 4_000_000)
    server = callers.CallerServer(('127.0.0.1', 0), node.application, log=None)
    server.start()
    try:
        with socket.create_connection(server.address) as caller:
            caller.settimeout(5.0)
            caller.sendall(
                b'POST /book/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
                b'Jayseam-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n'
            )
            waits.wait_until(lambda: node.application.in_flight, 1.0)
            node.entry.may_answer.set()
            node.application.abort_calls()
            received = b''.join(iter(lambda: caller.recv(65536), b''))
    finally:
        server.stop()
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert len(body) == 4_000_000


@pytest.mark.parametrize(
    ('attempts', 'authorization', 'status'),
    [
        (True, '', 200),
        (False, '', 503),
        (True, 'Bearer key', 503),
    ],
)
def test_nested_calls_are_served_while_their_callers_run(
    node, attempts, authorization, status
):
    """A call at work must not fail because its own calls are refused."""
    node.entry.may_answer.set()
    node.attempts = attempts
    node.application.stop_accepting_calls()
    node.send(authorization).get()
    assert node.statuses == [status]
    # A call that may be cut before its own limit is not taken any more.
    assert status == 503 or not node.entry.may_shorten


@pytest.mark.parametrize('is_gone', [True, False])
def test_request_that_is_read_after_its_caller_left_does_not_run(node, is_gone):
    """A node that was behind sent on requests of callers that had left."""
    began = []
    node.entry.admit_request = lambda *_, **__: _Call(_Route(keyed=False))
    node.entry.run = lambda call: began.append(call) or _ANSWER
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        caller = socket.create_connection(listener.getsockname())
        node.connection, _ = listener.accept()
    with caller, node.connection:
        if is_gone:
            caller.close()
            gevent.sleep(0.01)
        node.send().join(1.0)
    assert len(began) == (not is_gone)
    assert node.statuses == [499 if is_gone else 200]
