"""A planned stop ends in time, whatever its steps meet."""

import logging
import types

import gevent
import prometheus_client
import pytest
from gevent import socket

from jayseam.core import clocks
from jayseam.node import composition
from jayseam.node import stops
from jayseam.node.tests import samples
from jayseam.settings import model

_DEADLINE_S = 1.0


def _refuse():
    raise PermissionError(1, 'Operation not permitted')


def _hang():
    gevent.sleep(60.0)


def _hang_on():
    """Waits on, whatever interrupts it."""
    while True:
        try:
            gevent.sleep(60.0)
        except BaseException:  # pylint: disable=broad-exception-caught
            pass


@pytest.mark.parametrize('step', [_refuse, _hang])
def test_failed_step_does_not_keep_the_next_from_running(step):
    """A refused call of the system must not leave connections open."""
    steps = stops.StopSteps(clocks.read_now() + 0.5)
    counter = stops.FAILED_STEPS.labels('first')
    before = counter._value.get()
    assert steps.run('first', step, 0.05) is None
    assert steps.run('second', lambda: 'closed') == 'closed'
    assert steps.failed == ['first']
    assert counter._value.get() == before + 1


def test_steps_after_the_end_still_run():
    """A late stop must close what it owns all the same."""
    steps = stops.StopSteps(clocks.read_now() - 1.0)
    assert steps.run('last', lambda: 'closed', 1.0) == 'closed'


@pytest.fixture(name='node')
def _node(monkeypatch):
    # Each node registers its metrics.
    registry = prometheus_client.CollectorRegistry()
    monkeypatch.setattr(prometheus_client, 'REGISTRY', registry)
    settings = samples.build_settings(
        stop=model.StopSettings(_DEADLINE_S, 0.1, 0.5)
    )
    node = composition.Node(settings)
    node.start()
    yield node
    node._listeners.caller_server.stop()


@pytest.mark.parametrize('step', [_refuse, _hang, _hang_on])
@pytest.mark.parametrize(
    'owner', ['_ingress', '_limits', '_monitor', '_distribution', '_links']
)
def test_node_ends_in_time_if_a_step_fails(node, owner, step, monkeypatch):
    """A node that is still up at the end of its grace is killed."""
    name = 'refuse_new_calls' if owner == '_ingress' else 'stop'
    monkeypatch.setattr(getattr(node, owner), name, lambda *_: step())
    address = node._listeners.caller_server.address
    began = clocks.read_now()
    with socket.create_connection(address) as caller:
        gevent.sleep(0.05)
        node.request_stop()
        assert node._stopped.wait(_DEADLINE_S + 1.0)
        assert clocks.read_now() - began < _DEADLINE_S + 0.25
        if step is not _hang_on:
            # The steps after it have run: an idle caller knows of the stop.
            caller.settimeout(0.5)
            assert caller.recv(65536).startswith(b'HTTP/1.1 503')
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)


def test_answer_that_is_not_read_by_the_end_is_logged(node, caplog):
    """On-call must find the request of an answer that the end has cut."""
    caplog.set_level('ERROR', 'jayseam')
    logging.getLogger('jayseam').propagate = True
    node._application._writing[gevent.getcurrent()] = 'r-9'
    node.request_stop()
    assert node._stopped.wait(_DEADLINE_S + 1.0)
    cut = {
        id(record): record.request_id
        for record in caplog.records
        if record.getMessage() == 'node.answer_cut'
    }
    assert list(cut.values()) == ['r-9']


def test_listing_does_not_revive_a_stopped_node(node):
    """Other nodes must not choose a node that closes its connections."""
    node.request_stop()
    assert node._stopped.wait(_DEADLINE_S + 1.0)
    states = []
    node._membership.update_own_record = lambda **f: states.append(f)
    node._apply_listed_state(types.SimpleNamespace(by_name={}))
    assert not states
