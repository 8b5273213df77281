"""Links whose reader, writer, handlers or dials meet an unexpected error."""

import gevent
import pytest

from jayseam.links import connections
from jayseam.links import errors
from jayseam.links import transports
from jayseam.links.tests import nodes


@pytest.fixture(name='fleet')
def fleet_fixture():
    """Yields an empty fleet and stops its nodes."""
    with nodes.Fleet() as fleet:
        yield fleet


def fail(*_):
    """Raises an error that nothing expects."""
    raise RuntimeError('a bug')


def open_link(fleet):
    """Returns two managers and the link of the second to the first."""
    a, b = fleet.add('a'), fleet.add('b')
    a.request('b', nodes.Echo(b'x'), 1.0)
    (link,) = b._preferred.values()
    return a, b, link


def test_link_with_a_dead_reader_is_closed(fleet, monkeypatch):
    """A link that takes requests and never reads them hides outcomes."""
    a, _, link = open_link(fleet)
    before = nodes.read_closes('crashed')
    monkeypatch.setattr(link, '_process_payload', fail)
    with pytest.raises(errors.ReplyLostError):
        a.request('b', nodes.Echo(b'x'), 0.5)
    assert nodes.wait_until(lambda: not link.is_open, 0.5)
    assert nodes.read_closes('crashed') == before + 1
    assert a.request('b', nodes.Echo(b'x'), 1.0)


def test_link_with_a_dead_writer_is_closed(fleet, monkeypatch):
    """Replies that nothing sends would keep peers waiting until timeout."""
    a, _, link = open_link(fleet)
    monkeypatch.setattr(link, '_write_batch', fail)
    link._partial_frame = memoryview(b'rest'), None
    link._wake.set()
    assert nodes.wait_until(lambda: not link.is_open, 0.5)
    assert nodes.wait_until(lambda: not a.list_connected_vms(), 0.5)
    assert a.request('b', nodes.Echo(b'x'), 1.0)


def test_reply_that_cannot_be_encoded_is_a_failure(fleet, monkeypatch):
    """A call that has run must not look as if its reply were lost."""
    a, _, link = open_link(fleet)
    encode, n_calls = link._encode, []

    def fail_once(message, correlation):
        n_calls.append(correlation)
        return fail() if len(n_calls) == 1 else encode(message, correlation)

    monkeypatch.setattr(link, '_encode', fail_once)
    with pytest.raises(errors.RemoteError):
        a.request('b', nodes.Echo(b'x'), 0.5)


def test_timeout_of_a_handler_is_a_failure(fleet, monkeypatch):
    """A time limit is no `Exception`; the peer must not wait for its own."""

    def wait(*_):
        raise gevent.Timeout(0.1)

    a, b, _ = open_link(fleet)
    monkeypatch.setitem(b._handlers._functions, nodes.Divide, wait)
    with pytest.raises(errors.RemoteError):
        a.request('b', nodes.Divide(1), 0.5)


def test_dial_that_crashes_closes_its_socket(fleet, monkeypatch):
    """Sockets of failed dials must not stay open until memory is collected."""
    a, _ = fleet.add('a'), fleet.add('b')
    dialled = []

    def dial(*address, original=transports.dial):
        dialled.append(original(*address))
        return dialled[-1]

    monkeypatch.setattr(transports, 'dial', dial)
    monkeypatch.setattr(connections, 'authenticate_dialled', fail)
    with pytest.raises(errors.DialError):
        a.request('b', nodes.Echo(b'x'), 0.5)
    assert dialled[0].sock.fileno() == -1
