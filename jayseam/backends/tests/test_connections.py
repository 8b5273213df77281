"""Connections to a backend server on machines that show their end otherwise."""

import os

import pytest
from gevent import socket

from jayseam.backends import connections
from jayseam.core import clocks
from jayseam.standins import machines
from jayseam.standins import waits

_TIMEOUT_S = 1.0


@pytest.fixture(name='pair')
def _create_pair():
    """Yields a connection and the server's end of it."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        connection = connections.Connection(
            listener.getsockname(), _TIMEOUT_S, clocks.read_now()
        )
        served, _ = listener.accept()
    with served:
        yield connection, served
    connection.close()


@pytest.fixture(name='machine')
def _run_on_machine(request):
    """Makes the process see a machine until the end of the test."""
    with machines.play([request.param]):
        yield request.param


@pytest.fixture(name='machine_pair')
def _create_pair_on_machine(machine, pair):
    """Yields a pair that was connected on the machine."""
    del machine
    return pair


@pytest.mark.parametrize(
    'machine', ['silent-poll', 'poll-refused', 'no-peek'], indirect=True
)
def test_closed_connection_is_not_used_again(machine_pair):
    """A call that may run only once was lost on a connection that had ended."""
    connection, served = machine_pair
    assert connection.is_idle() and connection.is_open()
    served.close()
    waits.wait_until(lambda: not connection.is_idle(), _TIMEOUT_S)
    assert not connection.is_open()


@pytest.mark.parametrize(
    'machine', ['silent-poll', 'poll-refused', 'no-peek'], indirect=True
)
def test_stray_bytes_keep_a_connection_from_reuse(machine_pair):
    """They would be taken for the answer to the next request."""
    connection, served = machine_pair
    served.sendall(b'x')
    waits.wait_until(lambda: not connection.is_idle(), _TIMEOUT_S)
    assert connection.is_open()


def test_closing_reaches_the_server_whatever_has_the_descriptor(pair):
    """A server went on working where closing alone told it nothing."""
    connection, served = pair
    kept = os.dup(connection.socket.fileno())
    try:
        connection.close()
        served.settimeout(_TIMEOUT_S)
        assert served.recv(1) == b''
    finally:
        os.close(kept)
