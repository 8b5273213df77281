"""Tests of the state of the backend server and of the health task."""

import json

import gevent
import pytest
from gevent import pywsgi

from jayseam.backends import client as backend_client
from jayseam.backends import health
from jayseam.backends import states
from jayseam.core import clocks

RAMP_S = 10.0


def report_health(state, reported_state, now):
    """Observes a report of the health endpoint."""
    return states.observe(
        state, states.ReportedHealth(reported_state, None, now), now
    )


def answer(state, now, latency_s=0.01, in_flight=1, kind='k'):
    """Observes an answer that ends at ``now``."""
    evidence = states.AnswerReceived(
        kind, now - latency_s, latency_s, in_flight
    )
    return states.observe(state, evidence, now)


def make_ready(in_flight=1, kinds=('k',), latency_s=0.01):
    """Returns a ready state with a baseline, by default 10 ms, at time 100."""
    state = report_health(states.BackendState(ramp_s=RAMP_S), 'ready', 0.0)
    for step in range(40):
        for kind in kinds:
            state = answer(state, 60.0 + step, latency_s, in_flight, kind)
    assert state.name == 'ready'
    return state


def test_first_contact_is_a_cold_start():
    """A node that starts must not send a full load to an unknown server."""
    state = report_health(states.BackendState(ramp_s=RAMP_S), 'ready', 5.0)
    assert (state.name, state.starts, state.started_at) == ('cold', 1, 5.0)
    assert states.tick(state, 14.9).name == 'cold'
    assert states.tick(state, 15.0).name == 'ready'


def test_refused_connection_is_down_until_a_new_request_is_answered():
    """An answer of the ended process must not pass for its successor."""
    down = states.observe(make_ready(), states.ConnectionRefused(), 100.0)
    assert down.name == 'down' and down.starts == 2
    assert answer(down, 100.05, latency_s=0.1).name == 'down'
    again = states.observe(down, states.ConnectionRefused(), 120.0)
    assert again.started_at == 120.0
    back = answer(again, 121.0)
    assert (back.name, back.started_at) == ('cold', 121.0)


def test_one_connect_timeout_is_not_down():
    """One lost packet must not mark a server as down."""
    once = states.observe(make_ready(), states.ConnectTimedOut(), 100.0)
    assert once.name == 'ready'
    assert states.observe(once, states.ConnectTimedOut(), 101.0).name == 'down'
    between = answer(once, 100.5)
    between = states.observe(between, states.ConnectTimedOut(), 101.0)
    assert between.name == 'ready'


@pytest.mark.parametrize('survivors,name', [(True, 'ready'), (False, 'cold')])
def test_reset_is_a_start_unless_a_connection_survives(survivors, name):
    """A handler that fails must not keep the server in its ramp."""
    state = states.observe(make_ready(), states.Reset(survivors), 100.0)
    assert state.name == name


def test_high_latency_is_a_start():
    """A restart between two polls is detected by the latency of calls."""
    state = make_ready()
    for step in range(4):
        state = answer(state, 100.0 + step, latency_s=0.06)
        assert state.name == 'ready'
    state = answer(state, 104.0, latency_s=0.06)
    assert (state.name, state.starts) == ('cold', 2)


def test_lasting_high_latency_is_one_start():
    """A server that became slow must not be ramped again and again."""
    state = make_ready()
    for step in range(1000):
        state = answer(state, 100.0 + step * 0.1, latency_s=0.06)
    assert (state.name, state.starts) == ('ready', 2)


def test_few_slow_calls_are_no_start():
    """A heavy tail of latencies must not restart the ramp."""
    state = make_ready()
    for step in range(200):
        slow = step % 3 == 0
        state = answer(state, 100.0 + step, latency_s=0.5 if slow else 0.01)
    assert state.starts == 1


def test_latency_explained_by_own_load_is_no_start():
    """Eight times the calls in flight make each take eight times as long."""
    state = make_ready(in_flight=1)
    for step in range(50):
        state = answer(state, 100.0 + step, latency_s=0.08, in_flight=8)
    assert state.starts == 1


def test_change_of_mix_is_no_start():
    """More calls of a slow kind must not look like a slower server."""
    state = make_ready(kinds=('fast',))
    for step in range(100):
        state = answer(state, 100.0 + step, latency_s=0.3, kind='slow')
    assert state.starts == 1


def test_pause_of_the_node_is_no_start():
    """All calls in flight seem slow after the node itself was paused."""
    state = states.ignore_earlier_latencies(make_ready(), 103.0)
    for _ in range(20):
        state = answer(state, 103.01, latency_s=3.0)
    assert state.starts == 1


def test_starting_restarts_the_ramp_for_a_bounded_time():
    """A stuck health endpoint must not keep the ramp at its start for ever."""
    state = make_ready()
    for step in range(100):
        now = 100.0 + step * 0.5
        state = report_health(state, 'starting', now)
        if now < 109.0:
            assert state.started_at == now
    assert state.name == 'ready'
    state = report_health(
        report_health(state, 'ready', 200.0), 'starting', 201.0
    )
    assert (state.name, state.started_at) == ('cold', 201.0)


def test_failing_calls_restart_the_ramp_for_a_bounded_time():
    """A server that falls over in an unreported cold start needs its ramp.

    A few failures are no evidence of that, and a route that always fails must
    not keep its server at the initial slots for ever.
    """
    state = make_ready()
    for step in range(40):
        evidence = states.AnswerReceived(
            '', 100.0, 0.001, 1, failed=step % 3 == 0
        )
        state = states.observe(state, evidence, 100.0)
    assert state.name == 'ready'
    failed = states.AnswerReceived('', 100.0, 0.001, 1, failed=True)
    for step in range(100):
        state = states.observe(state, failed, 101.0 + step * 0.1)
    assert state.name == 'cold' and state.started_at > 110.0
    state = states.observe(state, failed, 110.9 + 2 * RAMP_S)
    assert state.name == 'ready'


def fail(state, now, latency_s, kind='k'):
    """Returns the state after a call that was answered with an error."""
    evidence = states.AnswerReceived(
        kind, now - latency_s, latency_s, 3, failed=True
    )
    return states.observe(state, evidence, now)


@pytest.mark.parametrize('kind', ['k', 'other'])
def test_failures_of_an_overload_are_no_start(kind):
    """Servers whose nested calls were refused got a ramp in the overload.

    They answer 500 after having worked for a while. The ramp held back warm
    servers, so more calls were refused, and more nested ones among them.
    """
    state = make_ready(latency_s=0.2)
    for step in range(200):
        state = fail(state, 200.0 + step * 0.02, 0.06 + step % 7 * 0.2, kind)
    assert (state.name, state.starts) == ('ready', 1)


def test_server_that_falls_over_in_an_overload_gets_its_ramp():
    """Calls that fail after working must not hide those that fail at once."""
    state = make_ready(latency_s=0.2)
    for step in range(8):
        state = fail(state, 200.0 + step * 0.02, 0.3)
        state = fail(state, 200.01 + step * 0.02, 0.004)
    assert state.name == 'cold'


def test_draining_is_trusted_at_once_and_left_on_repeated_ready():
    """A draining server gets no new calls, even after one late ``ready``."""
    state = report_health(make_ready(), 'draining', 100.0)
    assert state.name == 'draining'
    assert answer(state, 100.2).name == 'draining'
    once = report_health(state, 'ready', 100.5)
    assert once.name == 'draining'
    assert report_health(once, 'ready', 101.0).name == 'cold'
    assert (
        report_health(report_health(once, None, 101.0), 'ready', 101.5).name
        == 'draining'
    )


@pytest.mark.parametrize('reported_state', [None, 'ready', 'unheard-of'])
def test_other_reported_states_change_nothing(reported_state):
    """A misleading health endpoint must not mark a working server as down."""
    state = report_health(make_ready(), reported_state, 100.0)
    assert (state.name, state.starts) == ('ready', 1)


def test_monitor_follows_a_real_server():
    """A start, a drain and a stop must reach the gate and the members."""
    reported_state = ['starting']

    def serve(environ, start_response):
        del environ
        body = json.dumps({'state': reported_state[0], 'load': 0.25}).encode()
        status = '503 X' if reported_state[0] == 'draining' else '200 OK'
        start_response(status, [('Content-Length', str(len(body)))])
        return [body]

    server = pywsgi.WSGIServer(('127.0.0.1', 0), serve, log=None)
    server.start()
    starts, names = [], []
    monitor = health.HealthMonitor(0.02, starts.append, names.append)
    address = ('127.0.0.1', server.server_port)
    client = backend_client.BackendClient(address, 10, monitor.observe)
    monitor.start(client)
    gevent.sleep(0.01)
    assert names == ['cold'] and monitor.state.load == 0.25
    reported_state[0] = 'ready'
    gevent.sleep(0.03)
    monitor.poll_once()
    assert names == ['cold', 'ready']
    reported_state[0] = 'draining'
    monitor.poll_once()
    monitor.stop()
    server.stop(timeout=0.01)
    client.close()
    before = len(starts)
    monitor.poll_once()
    assert names == ['cold', 'ready', 'draining', 'down']
    assert before < len(starts) and starts[-1] <= clocks.read_now()


def test_log_tells_what_moved_the_state(caplog):
    """A ramp in an overload could not be traced to failed answers."""
    caplog.set_level('INFO')
    monitor = health.HealthMonitor(RAMP_S, lambda now: None, lambda name: None)
    monitor.observe(states.Listed(True, False), 1.0)
    monitor.observe(states.Reset(False), 2.0)
    lines = [r for r in caplog.records if r.message == 'backend.state_changed']
    assert [(r.after, r.evidence) for r in lines] == [
        ('ready', 'Listed'),
        ('cold', 'Reset'),
    ]
    assert lines[1].survivors is False
