"""Calls of callers that leave, on machines that show it in different ways."""

import gevent
import pytest
from gevent import socket

from jayseam.calls import errors
from jayseam.core import clocks
from jayseam.node import bodies
from jayseam.node import callers
from jayseam.node import disconnects
from jayseam.node import pipelines
from jayseam.standins import machines
from jayseam.standins import waits

# Time after which nothing may be at work for a caller that has left.
GONE_S = 0.5
_HEAD = b'POST /refunds/1 HTTP/1.1\r\nHost: node\r\nContent-Length: '


class _Application:
    """Watches the callers of calls that never end by themselves.

    Attributes:
      monitor: The monitor under test.
      began: Number of calls that began.
      gone: Errors of the calls whose callers had left, with their times.
    """

    def __init__(self):
        self.monitor = disconnects.DisconnectMonitor()
        self.began = 0
        self.gone = []

    def __call__(self, environ, start_response):
        bodies.read_request(environ)
        exchange = environ[pipelines.EXCHANGE_KEY]
        exchange.is_repeatable = True
        handle = self.monitor.watch(environ)
        self.began += 1
        try:
            gevent.sleep(30.0)
        except errors.CallerGoneError as error:
            self.gone.append((error, clocks.read_now()))
        finally:
            self.monitor.unwatch(handle)
        start_response('499 Gone', [('Content-Length', '0')])
        return [b'']


@pytest.fixture(name='application')
def _application():
    return _Application()


@pytest.fixture(name='server')
def _server(application):
    server = callers.CallerServer(('127.0.0.1', 0), application, log=None)
    server.start()
    yield server
    application.monitor.stop()
    server.stop()


def leave(server, application, n_calls=1):
    """Sends requests, closes the connection, and returns when it did."""
    caller = socket.create_connection(('127.0.0.1', server.server_port))
    for _ in range(n_calls):
        caller.sendall(_HEAD + b'1\r\n\r\nx')
    waits.wait_until(lambda: application.began >= n_calls, 2.0)
    gevent.sleep(0.15)
    assert not application.gone
    caller.close()
    return clocks.read_now()


def check_gone(application, left_at, n_calls=1):
    """Checks that all calls were ended in time; returns the first sign."""
    waits.wait_until(lambda: len(application.gone) >= n_calls, GONE_S)
    assert all(at <= left_at + GONE_S for _, at in application.gone)
    return application.gone[0][0].sign


@pytest.mark.parametrize(
    'machine',
    [
        'rdhup-with-input',
        'no-rdhup',
        'silent-poll',
        'poll-refused',
        'no-peek',
        'silent-poll+no-peek',
    ],
)
@pytest.mark.parametrize('n_calls', [1, 3])
def test_calls_end_whatever_the_machine_shows(
    server, application, machine, n_calls
):
    """Calls went on for nobody where the poll didn't report POLLRDHUP."""
    with machines.play(machine.split('+')):
        application.monitor.start()
        left_at = leave(server, application, n_calls)
        check_gone(application, left_at, n_calls)


@pytest.mark.parametrize(
    'machine', ['', 'rdhup-with-input', 'no-rdhup', 'silent-poll', 'no-peek']
)
def test_periodic_look_does_without_the_reader(
    server, application, monkeypatch, machine
):
    """The event loop may not tell of the end of a connection."""
    monkeypatch.setattr(pipelines.Pipeline, 'read_ahead', lambda _: None)
    with machines.play([machine] if machine else []):
        application.monitor.start()
        left_at = leave(server, application)
        assert check_gone(application, left_at) != disconnects.READ_END


def test_reader_does_without_the_periodic_look(server, application):
    """The timer of the periodic look may come late or never."""
    counter = disconnects.CALLERS_GONE.labels(disconnects.READ_END)
    before = counter._value.get()
    left_at = leave(server, application, 2)
    assert check_gone(application, left_at, 2) == disconnects.READ_END
    assert counter._value.get() == before + 2
    assert application.gone[0][0].watched_s > 0.1


def test_end_that_the_poll_misses_is_logged_once(
    server, application, monkeypatch
):
    """The log has to tell which sign a machine lacks."""
    events = []
    monkeypatch.setattr(
        disconnects._log, 'warning', lambda event, extra: events.append(extra)
    )
    monkeypatch.setattr(pipelines.Pipeline, 'read_ahead', lambda _: None)
    with machines.play(['no-rdhup']):
        application.monitor.start()
        for _ in range(2):
            left_at = leave(server, application)
            check_gone(application, left_at)
            application.began = 0
            application.gone.clear()
    assert [extra['sign'] for extra in events] == ['end-of-input']
    assert events[0]['signs']['hang-up'] is False


def test_next_request_of_a_caller_does_not_end_its_calls(server, application):
    """A connection with input is not one that has ended."""
    application.monitor.start()
    address = ('127.0.0.1', server.server_port)
    with socket.create_connection(address) as caller:
        for _ in range(pipelines.MAX_UNANSWERED + 2):
            caller.sendall(_HEAD + b'1\r\n\r\nx')
        waits.wait_until(
            lambda: application.began == pipelines.MAX_UNANSWERED, 2.0
        )
        gevent.sleep(GONE_S)
        assert not application.gone
    waits.wait_until(
        lambda: len(application.gone) == pipelines.MAX_UNANSWERED, 2.0
    )


def test_silent_poll_does_not_make_the_reader_spin(
    server, application, monkeypatch
):
    """The reader looked for input 30,000 times a second at an ended one."""
    looks = []
    has_input = pipelines.Pipeline._has_input

    def count_looks(pipeline):
        looks.append(pipeline)
        return has_input(pipeline)

    monkeypatch.setattr(pipelines.Pipeline, '_has_input', count_looks)
    with machines.play(['silent-poll']):
        left_at = leave(server, application)
        gevent.sleep(GONE_S)
        check_gone(application, left_at)
    assert len(looks) < 10


def test_call_that_ends_before_its_interruption_is_left_alone():
    """The error would end the caller's connection as a crash of its task."""
    monitor = disconnects.DisconnectMonitor()
    near, far = socket.socketpair()
    outcomes = []

    def handle():
        watched = monitor.watch({disconnects.SOCKET_KEY: near})
        # The event loop runs the call before the interruption that is due.
        gevent.sleep(0)
        monitor.unwatch(watched)
        try:
            gevent.sleep(0.05)
            outcomes.append('whole')
        except errors.CallerGoneError:
            outcomes.append('interrupted')

    with near, far:
        task = gevent.spawn(handle)
        gevent.sleep(0)
        monitor.report_end(near)
        task.join(timeout=5)
    assert outcomes == ['whole']
