"""Tests of the fault proxy through real sockets."""

import os

import gevent
from gevent import server
from gevent import socket
import pytest

from jayseam.core import clocks
from jayseam.standins import faultrules
from jayseam.standins import faults
from jayseam.standins import socketowners
from jayseam.standins.tests import clients

_TARGET = faultrules.Endpoint('vm-2', 'b')


class _Network(clients.StandinClient):
    """An echo server behind one forwarding."""

    def __init__(self, source):
        super().__init__(faults.FaultProxy(faults.ProxySettings()))

        def echo(sock, _):
            while data := sock.recv(4096):
                sock.sendall(data)

        self.echo = server.StreamServer((clients.HOST, 0), echo)
        self.echo.start()
        forwarding = faults.Forwarding(
            'link', 0, self.echo.server_port, _TARGET, source
        )
        self.port = self.standin.add_forwarding(forwarding)

    def stop(self):
        super().stop()
        self.echo.stop(timeout=0)

    def connect(self):
        sock = socket.create_connection((clients.HOST, self.port))
        sock.settimeout(0.2)
        return sock


@pytest.fixture(name='network')
def _network():
    network = _Network(faultrules.Endpoint('vm-1', 'a'))
    yield network
    network.stop()


def _exchange(sock, data=b'x'):
    sock.sendall(data)
    return sock.recv(4096)


def test_delay_holds_in_both_directions(network):
    """A delay must also apply to a connection that is already open."""
    with network.connect() as sock:
        _exchange(sock)
        network.control('rules', id='slow', source=['a'], delay_ms=50)
        started_at = clocks.read_now()
        _exchange(sock)
        assert 0.1 <= clocks.read_now() - started_at < 0.2
        network.control('rules', id='slow', clear=True)


@pytest.mark.parametrize('silence', ['forward', 'backward', 'both'])
def test_silenced_bytes_arrive_when_it_ends(network, silence):
    """Silenced bytes must arrive late, a fault that callers must survive."""
    with network.connect() as sock:
        _exchange(sock)
        network.control('rules', id='mute', target=['vm-2'], silence=silence)
        with pytest.raises(TimeoutError):
            _exchange(sock, b'late')
        network.control('rules', id='mute', clear=True)
        assert sock.recv(4096) == b'late'


def test_half_open_connections_stay_silent_while_new_ones_work(network):
    """A half-open connection must stay silent while new ones work."""
    with network.connect() as old:
        _exchange(old)
        assert network.control('half-open')['silenced'] == 1
        with pytest.raises(TimeoutError):
            _exchange(old)
        network.control('heal', rules=True)
        with pytest.raises(TimeoutError):
            old.recv(1)
        with network.connect() as new:
            assert _exchange(new) == b'x'


@pytest.mark.parametrize('reset', [False, True])
def test_cut_ends_open_connections(network, reset):
    """A cut must close or reset a connection, as requested."""
    with network.connect() as sock:
        _exchange(sock)
        assert network.control('cut', source=['b'])['cut'] == 0
        assert network.control('cut', source=['a'], reset=reset)['cut'] == 1
        if reset:
            with pytest.raises(ConnectionResetError):
                sock.recv(1)
        else:
            assert sock.recv(1) == b''


def test_refuse_resets_new_connections_only(network):
    """Refusal of new connections must not affect open ones."""
    with network.connect() as sock:
        _exchange(sock)
        network.control('rules', id='shut', refuse=True)
        with pytest.raises(ConnectionResetError):
            with network.connect() as refused:
                _exchange(refused)
        assert _exchange(sock) == b'x'


def test_partition_parts_groups_until_healed(network):
    """No bytes may pass between partitioned zones, even on new connections."""
    with network.connect() as sock:
        _exchange(sock)
        network.control('partition', groups=[['a', 'b'], ['c']])
        assert _exchange(sock) == b'x'
        network.control('partition', groups=[['a'], ['b', 'c']])
        with network.connect() as other:
            for link in (sock, other):
                with pytest.raises(TimeoutError):
                    _exchange(link)
            network.control('heal')
            assert sock.recv(1) == other.recv(1) == b'x'


def test_close_passes_through(network):
    """A close at one end must reach the other and free the connection."""
    with network.connect() as sock:
        _exchange(sock)
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(1) == b''
    gevent.sleep(0.05)
    assert not network.control('connections')['connections']


def test_source_is_found_by_process():
    """All nodes connect to one address, so the process gives the zone."""
    network = _Network(None)
    endpoint = {'name': 'vm-1', 'group': 'a'}
    network.control('sources', processes={str(os.getpid()): endpoint})
    with network.connect() as sock:
        _exchange(sock)
        (found,) = network.control('connections')['connections']
        assert found['source'] == endpoint
        # Connections of other processes may have the same local port.
        local = sock.getsockname()[1]
        pids = [os.getpid()]
        assert socketowners.find_owner(local, network.port, pids) == pids[0]
        assert socketowners.find_owner(local, network.port - 1, pids) == 0
    network.stop()
