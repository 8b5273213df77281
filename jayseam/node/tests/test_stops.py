"""Planned stops under load lose no call and end in time."""

import json

import gevent
from jayseam.core import clocks
from jayseam.node.tests import fleets
from jayseam.standins import answers as standin_answers
from jayseam.tools import profiles

_DEADLINE_S = 5.0
_ROUTES = [
    profiles.RouteLoad('/credits/1'),
    profiles.RouteLoad('/drop-off-points/1', share=0.5),
    profiles.RouteLoad('/refunds/1', nest=2, nest_path='/credits/1'),
    profiles.RouteLoad('/pickups/1', 'POST', repeatable=False),
]


def _stop(fleet, vm):
    """Stops a node and returns its exit status and the seconds it took."""
    started = clocks.read_now()
    status = fleet.cluster.terminate(vm, timeout_s=_DEADLINE_S + 5.0)
    return status, clocks.read_now() - started


def _read_events(fleet, vm, name):
    """Returns the log records of a node with an event name."""
    log = fleet.cluster.vms[vm].process.log_path.read_text(encoding='utf-8')
    lines = [json.loads(line) for line in log.splitlines() if name in line]
    return [line for line in lines if line['event'] == name]


def test_nodes_stop_one_after_another_without_losing_a_call(fleet):
    """A rolling stop must not fail kept-alive callers or nested calls."""
    cluster = fleet.cluster
    fleet.wait_keys_confirmable()
    rates = {'bureau': 30.0, 'recyclers': 30.0, 'eupen': 10.0, 'huy': 10.0}
    running = fleet.start_load(rates, _ROUTES, 9.0, connections=60)
    for service, delay_ms in (('credits', 30.0), ('refunds', 300.0)):
        # The delay lets some refunds calls make nested calls after SIGTERM.
        fleet.set_fault(service, 'late', when='before', ms=delay_ms)
    gevent.sleep(1.0)
    stops = []
    for vm in [
        fleet.list_vms_of(s)[0] for s in ('credits', 'pickups', 'refunds')
    ]:
        stops.append(_stop(fleet, vm))
        cluster.restart(vm)
        cluster.wait_serving([vm])
    report = running.get()
    for service in ('credits', 'refunds'):
        fleet.set_fault(service, '')
    outcomes = report.count_outcomes()
    print(stops, outcomes, report.lag_p99_ms)
    failures = ('lost', 'timeout', 'outcome-unknown')
    print([record for record in report.records if record.outcome in failures])
    assert not fleet.judge(report.records, 1.0)
    for status, seconds in stops:
        assert status == 0
        assert seconds < _DEADLINE_S
    # A stopped node refuses connections before a request is sent, and the load
    # generator uses another node ("unreachable").
    assert set(outcomes) <= {'ok', 'not-run', 'unreachable', 'limit'}
    assert outcomes['ok'] > 0.9 * len(report.records)
    assert not sum(record.nested_failures for record in report.records)


def test_stopping_node_serves_nested_calls_of_running_calls(fleet):
    """A call in flight at SIGTERM must still get its nested answers."""
    vms = fleet.list_vms_of('refunds')
    headers = {'X-Nest': '1', 'X-Nest-Path': '/credits/1'}
    fleet.set_fault('refunds', 'late', when='before', ms=1000.0)
    try:
        jobs = [
            gevent.spawn(
                fleet.cluster.call,
                vm,
                '/refunds/1',
                fleet.keys['recyclers'],
                headers=headers,
            )
            for vm in fleet.list_vms_of('credits') * 5
        ]
        gevent.sleep(0.4)
        status, _ = _stop(fleet, vms[1])
        gevent.joinall(jobs)
    finally:
        fleet.set_fault('refunds', '')
        fleet.cluster.restart(vms[1])
        fleet.cluster.wait_serving([vms[1]])
    answers = [job.value for job in jobs]
    assert status == 0
    assert {answer.status for answer in answers} == {200}
    upstream = fleet.cluster.vms[vms[1]].upstream
    assert fleet.count_runs(backend=upstream, path='/refunds/1') > 0
    documents = [standin_answers.verify_body(answer.body) for answer in answers]
    assert {entry['nested'][0]['status'] for entry in documents} == {200}


def test_stop_past_its_deadline_logs_the_calls_that_it_cuts(fleet):
    """Calls that a stop aborts must be logged for operators."""
    cluster = fleet.cluster
    vm = fleet.list_vms_of('drop-off-points')[2]
    key = fleet.keys['recyclers']
    fleet.set_fault('credits', 'hang')
    try:
        # The route's timeout of 20 s is longer than the stop's deadline.
        job = gevent.spawn(
            cluster.call, vm, '/credits/1', key, 'POST', timeout_s=25.0
        )
        gevent.sleep(0.5)
        status, seconds = _stop(fleet, vm)
        answer = job.get()
    finally:
        fleet.set_fault('credits', '')
    assert status == 0
    assert seconds < _DEADLINE_S + 0.5
    assert fleets.read_problem_code(answer) == 'outcome-unknown'
    aborted = {
        entry['request_id']
        for entry in _read_events(fleet, vm, 'node.call_cut')
    }
    assert aborted == {answer.headers['Request-Id']}
