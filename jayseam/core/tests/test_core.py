"""Tests of the core modules."""

import socket

import pytest

from jayseam.core import errors
from jayseam.core import rendezvous
from jayseam.core import sockets
from jayseam.core import statecharts
from jayseam.core import tasks


@pytest.mark.parametrize('name', ['node', 'link', 'backend'])
def test_charts_reach_every_state(name):
    """A state that no event leads to would be a mistake in the chart."""
    chart = statecharts.load_chart(name)
    reached = {chart.initial}
    for _ in chart.transitions:
        reached |= {t for s in reached for t in chart.transitions[s].values()}
    assert reached == set(chart.transitions)


def test_chart_refuses_unknown_event():
    """An event that a state does not expect must raise an error."""
    chart = statecharts.load_chart('link')
    with pytest.raises(errors.InvalidTransitionError):
        chart.advance('closed', 'connected')


def test_nodelay_is_set():
    """Without TCP_NODELAY each hop takes about 43 ms longer."""
    with socket.socket() as sock:
        sockets.set_nodelay(sock)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0


def test_rank_moves_few_keys_when_a_candidate_leaves():
    """Removing a candidate must only move the keys assigned to it."""
    names = [f'vm-{i}' for i in range(10)]
    for key in map(str, range(200)):
        before = rendezvous.rank(key, names)[0]
        after = rendezvous.rank(key, names[:-1])[0]
        assert before in (after, 'vm-9')


def test_task_survives_failing_handler():
    """An exception in one handler must not end the task."""
    task = tasks.Task('divide')
    task.handle(int, lambda divisor: 12 // divisor)
    task.start()
    with pytest.raises(ZeroDivisionError):
        task.ask(0, timeout_s=1.0)
    task.send(0)
    assert task.ask(4, timeout_s=1.0) == 3
    task.stop()
    with pytest.raises(errors.TaskStoppedError):
        task.send(1)


def _lock_filter(listener):
    """Makes the kernel refuse packet filters on a socket (SO_LOCK_FILTER)."""
    listener.setsockopt(socket.SOL_SOCKET, 44, 1)


def test_refused_packet_filter_leaves_the_listener_usable():
    """A machine that refuses packet filters must not end a stop halfway."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        _lock_filter(listener)
        assert not sockets.drop_new_connections(listener)
        with socket.create_connection(listener.getsockname()):
            # The smallest backlog holds one connection.
            with pytest.raises(TimeoutError):
                socket.create_connection(listener.getsockname(), 0.2)
            listener.accept()[0].close()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        assert sockets.drop_new_connections(listener)
