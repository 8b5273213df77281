"""Tests of the ingress alone, with a fake backend server."""

import types

import attrs
import gevent
import pytest

from jayseam import admission
from jayseam import backends
from jayseam.calls import errors
from jayseam.calls import ingress
from jayseam.calls import messages
from jayseam.core import clocks
from jayseam.core import memory
from jayseam.presets import model

DIALECT = backends.dialects.Dialect(instance='Expect-Instance')


def _snapshot(service, instance):
    """Returns a configuration that gives the node's upstream a service."""
    entry = model.VmEntry(
        'vm-1', 'u-1', 'a', 'r', '10.0.0.1', 1, 'live', service, 4, instance
    )
    vms = model.VmList((entry,))
    services = {
        name: model.Service(name, listed=True, connections=4)
        for name in ('points', 'credits')
    }
    preset = model.Preset(
        'p', services, {}, {'a': model.Zone('a', 'r')}, {}, {}
    )
    return types.SimpleNamespace(
        preset=model.add_listed_upstreams(preset, vms),
        preset_version=1,
        keys=None,
        keys_version=0,
        vms=vms,
    )


class _Harness:
    """An ingress, its configuration, and the requests that it has run."""

    def __init__(self):
        self.snapshot = _snapshot('points', 'i-1')
        self.ran = []
        self.gate = admission.gates.Gate(1, 1)
        self.budget = memory.ByteBudget(100)
        self.ingress = ingress.Ingress(
            ingress.IngressIdentity('vm-1', 1, 'a', 'u-1'),
            lambda: self.snapshot,
            self.gate,
            self,
            lambda now: now,
            DIALECT,
            self.budget,
        )

    def run(self, request, deadline):
        """Runs a request, as the backend client does."""
        del deadline
        self.ran.append(dict(request.headers)['Expect-Instance'])
        return backends.messages.BackendAnswer(200)

    def find_cancellation(self, request_id):
        """Returns None: nothing is being cancelled."""
        del request_id


def _forward(service='points'):
    return messages.Forward(
        attempt='a-1',
        request_id='r-1',
        incarnation=1,
        route='view',
        service=service,
        workspace='',
        key_id='',
        timeout_ms=1000,
        repeatable=True,
        preset_version=1,
        keys_version=0,
        method='GET',
        target='/view/1',
        headers=[],
        body=b'',
    )


def test_names_the_listed_instance():
    """Only the instance in the VM list may run the call."""
    harness = _Harness()
    assert harness.ingress.handle_forward(_forward()).status == 200
    assert harness.ran == ['i-1']


def test_queued_call_does_not_reach_another_service():
    """An address may be reassigned to another service while a call waits.

    Guards against a fault that trouble-3 of reprise-piles showed with seed
    886349507094 (ROUTE): the ingress sent the name of the new instance to the
    server, so the server ran a call of the old service.
    """
    harness = _Harness()
    ticket = admission.tickets.Ticket('', 1.0, 1e9, 'r-0', lambda now: True)
    permit = harness.gate.acquire(ticket, 0.0)
    waiting = gevent.spawn(harness.ingress.handle_forward, _forward())
    gevent.sleep(0)
    harness.snapshot = _snapshot('credits', 'i-2')
    permit.release(admission.tickets.Result.SUCCESS, 0.1)
    reply = waiting.get(timeout=2.0)
    assert isinstance(reply, messages.Refused) and reply.ran == 'no'
    assert not harness.ran


def test_ticket_names_the_route(monkeypatch):
    """Without the route, all kinds of calls would share one service time."""
    harness = _Harness()
    kinds = []
    acquire = harness.gate.acquire

    def record_kind(ticket, now):
        kinds.append(ticket.kind)
        return acquire(ticket, now)

    monkeypatch.setattr(harness.gate, 'acquire', record_kind)
    harness.ingress.handle_forward(_forward())
    assert kinds == ['view']


def test_unlisted_server_runs_nothing():
    """Without an entry in the VM list there is no instance to run a call."""
    harness = _Harness()
    harness.snapshot.vms = model.VmList(())
    reply = harness.ingress.handle_forward(_forward())
    assert reply.ran == 'no' and 'not listed' in reply.detail
    assert not harness.ran


def test_waiting_bodies_stay_within_the_budget():
    """Bodies of calls in the queue must not fill the memory of the process."""
    harness = _Harness()
    ticket = admission.tickets.Ticket('', 1.0, 1e9, 'r-0', lambda now: True)
    permit = harness.gate.acquire(ticket, clocks.read_now())
    forwards = [
        attrs.evolve(_forward(), attempt=f'a-{n}', body=b'x' * 20)
        for n in range(4)
    ]
    waiting = [
        gevent.spawn(harness.ingress.handle_forward, forward)
        for forward in forwards
    ]
    gevent.sleep(0)
    # Half of the budget is for bodies.
    replies = [call.value for call in waiting if call.ready()]
    assert [reply.ran for reply in replies] == ['no', 'no']
    assert harness.budget.held_bytes == 40
    permit.release(admission.tickets.Result.SUCCESS, clocks.read_now())
    assert [call.get(timeout=2.0).status for call in waiting[:2]] == [200, 200]
    assert harness.budget.held_bytes == 0


@pytest.mark.parametrize('queued', [False, True])
def test_caller_that_leaves_ends_its_call_and_not_just_an_attempt(queued):
    """An attempt at the own server runs in the greenlet of the call.

    When the caller left, such an attempt ended as if its outcome were unknown,
    and the call was sent to another server.
    """
    harness = _Harness()
    harness.run = lambda request, deadline: gevent.sleep(9.0)
    if queued:
        ticket = admission.tickets.Ticket('', 1.0, 1e9, 'r', lambda now: True)
        harness.gate.acquire(ticket, clocks.read_now())
    call = gevent.spawn(harness.ingress.handle_forward, _forward())
    gevent.sleep(0)
    assert harness.ingress.in_flight == 1
    call.kill(errors.CallerGoneError('left'), block=False)
    with pytest.raises(errors.CallerGoneError):
        call.get(timeout=2.0)
    assert harness.ingress.in_flight == 0
    report = harness.gate.describe(clocks.read_now())
    assert report.in_flight == (1 if queued else 0)
    assert harness.gate.count_queued('') == 0


def test_cancelled_attempt_gets_a_reply():
    """The entry may still wait for the reply to an attempt that it cancels."""
    harness = _Harness()
    harness.run = lambda request, deadline: gevent.sleep(9.0)
    call = gevent.spawn(harness.ingress.handle_forward, _forward())
    gevent.sleep(0)
    harness.ingress.cancel('a-1')
    assert call.get(timeout=2.0).ran == 'unknown'


def test_attempt_that_was_cancelled_before_it_began_does_not_run():
    """A forwarded call may wait for a refresh while its caller leaves."""
    harness = _Harness()
    harness.ingress.cancel('a-1')
    reply = harness.ingress.handle_forward(_forward())
    assert reply.ran == 'no' and not harness.ran
    # What is remembered is bounded.
    for number in range(2000):
        harness.ingress.cancel(f'b-{number}')
    assert harness.ingress.handle_forward(_forward()).status == 200


def test_reply_reports_the_service_time_of_its_route():
    """Entries can't tell a slow server from one that gets long calls."""
    harness = _Harness()
    durations = {'view': 0.02, 'report': 0.3}
    harness.run = lambda request, deadline: (
        gevent.sleep(durations[request.kind])
        or backends.messages.BackendAnswer(200)
    )
    replies = {
        route: harness.ingress.handle_forward(
            attrs.evolve(
                _forward(), route=route, attempt=route, report_zone='b'
            )
        )
        for route in durations
    }
    for route, duration_s in durations.items():
        assert replies[route].kind_service_s >= duration_s
        assert replies[route].limit == 1
    assert replies['view'].kind_service_s < replies['report'].kind_service_s
    refused = harness.ingress.handle_forward(
        attrs.evolve(_forward('credits'), route='report', report_zone='b')
    )
    assert isinstance(refused, messages.Refused) and refused.limit == 1
    assert refused.kind_service_s == replies['report'].kind_service_s


def test_call_without_an_answer_in_time_counts_as_slow():
    """A server that answers nothing in time must not seem of average speed."""
    harness = _Harness()

    def run(request, deadline):
        del request
        gevent.sleep(max(0.0, deadline - clocks.read_now()))
        raise backends.errors.OutcomeUnknownError('no answer in time')

    harness.run = run
    reply = harness.ingress.handle_forward(
        attrs.evolve(_forward(), timeout_ms=50, report_zone='a')
    )
    assert reply.ran == 'unknown' and reply.kind_service_s >= 0.04


def _raise(error):
    """Returns a run of the backend client that fails."""

    def run(request, deadline):
        raise error

    return run


def _answer(status, headers=()):
    """Returns a run of the backend client that ends with an answer."""
    answer = backends.messages.BackendAnswer(status, list(headers))
    return lambda request, deadline: answer


def _raise_unknown(reason):
    """Returns a run of the backend client without a complete answer."""
    return _raise(backends.errors.OutcomeUnknownError(reason))


@pytest.mark.parametrize(
    'run,result',
    [
        (_answer(200), 'success'),
        (_answer(404), 'success'),
        (_answer(500), 'error'),
        (_answer(503), 'error'),
        (_answer(503, [('Shed', 'not-run')]), 'shed'),
        (_raise(backends.errors.ShedError()), 'shed'),
        (_raise_unknown('connection-lost'), 'reset'),
        (_raise_unknown('timeout'), 'timeout'),
        (_raise_unknown('cancelled'), 'failed'),
        (_raise_unknown('too-large'), 'failed'),
        (_raise(backends.errors.NotRunError('no-connection')), 'failed'),
    ],
)
def test_gate_learns_how_the_server_ended_a_call(run, result):
    """A reset lowers the limit; a failure of another cause must not."""
    harness = _Harness()
    harness.run = run
    released = []
    harness.gate._release = lambda permit, *end: released.append(end)
    harness.ingress.handle_forward(_forward())
    assert len(released) == 1
    outcome, _, kind = released[0]
    assert outcome.value == result
    # Calls of one route are compared with each other.
    assert kind == 'view'


def test_times_that_span_a_pause_are_ignored():
    """A pause of the process must not make its backend server seem slow."""
    harness = _Harness()
    harness.run = lambda request, deadline: (
        harness.ingress.ignore_earlier_calls(clocks.read_now() + 0.001)
        or backends.messages.BackendAnswer(200)
    )
    forward = attrs.evolve(_forward(), report_zone='b')
    assert harness.ingress.handle_forward(forward).kind_service_s == 0.0


def test_loads_of_other_vms_stay_within_the_zone():
    """Bytes between zones are expensive, and other zones rarely need them."""
    harness = _Harness()
    digest = [['vm-2', 6, 3, 250]]
    harness.ingress.set_report_source(lambda now: digest)
    for zone, reports in (('a', digest), ('b', ()), ('', ())):
        forward = attrs.evolve(_forward(), report_zone=zone)
        assert harness.ingress.handle_forward(forward).reports == reports
