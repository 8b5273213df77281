"""Signs of closed connections on machines that don't show all of them."""

import socket

import pytest
from gevent import socket as gevent_socket

from jayseam.core import hangups
from jayseam.standins import machines


@pytest.fixture(name='pair')
def _create_pair():
    """Yields two ends of a TCP connection."""
    with gevent_socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        left = gevent_socket.create_connection(listener.getsockname())
        right, _ = listener.accept()
    with left, right:
        yield left, right


@pytest.fixture(name='machine')
def _run_on_machine(request):
    """Makes the process see a machine until the end of the test."""
    names = request.param.split('+')
    with machines.play(names):
        yield names


MACHINES = [
    'no-tcp-info',
    'rdhup-with-input',
    'no-rdhup',
    'silent-poll',
    'poll-refused',
    'no-peek',
    'no-peek+no-tcp-info',
    'silent-poll+no-tcp-info',
]


@pytest.mark.parametrize('machine', MACHINES, indirect=True)
@pytest.mark.parametrize('is_reset', [False, True])
def test_closed_connection_shows_a_sign(machine, pair, is_reset):
    """A caller that had left was never found where POLLRDHUP was missing."""
    left, right = pair
    assert hangups.find_sign(right) is None
    if is_reset:
        linger = b'\x01\0\0\0\0\0\0\0'
        left.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    left.close()
    assert hangups.find_sign(right), machine


@pytest.mark.parametrize('machine', MACHINES, indirect=True)
def test_open_connection_shows_none(machine, pair):
    """A caller that only sends its next request has not left."""
    left, right = pair
    left.sendall(b'GET ')
    assert hangups.find_sign(right) is None, machine
    assert hangups.has_input(right)
    assert right.recv(10) == b'GET '
    assert hangups.has_input(right) is False


@pytest.mark.parametrize(
    'machine', ['silent-poll', 'no-peek', 'poll-refused'], indirect=True
)
def test_end_counts_as_input(machine, pair):
    """A kept connection that was closed must not carry the next request."""
    left, right = pair
    left.close()
    assert hangups.has_input(right), machine


@pytest.mark.parametrize('machine', ['no-peek+poll-refused'], indirect=True)
def test_machine_that_refuses_all_leaves_connections_open(machine, pair):
    """What can't be told must not end calls."""
    assert hangups.find_sign(pair[1]) is None, machine
    assert hangups.has_input(pair[1]) is None


@pytest.mark.parametrize('machine', ['no-rdhup+no-peek'], indirect=True)
def test_examination_tells_missing_from_refused_signs(machine, pair):
    """The log has to tell machines apart that nobody else can reach."""
    left, right = pair
    left.close()
    assert hangups.examine(right) == {
        hangups.HANG_UP: False,
        hangups.END_OF_INPUT: None,
        hangups.TCP_STATE: True,
    }, machine
