"""Tests of what an operator learns of the order by objective."""

import logging

import gevent
import prometheus_client

from jayseam.admission import gates
from jayseam.admission import reports
from jayseam.admission import tickets


def _read(name, **labels):
    """Returns the value of a metric, 0 if it has none yet."""
    registry = prometheus_client.REGISTRY
    return registry.get_sample_value(f'{name}_total', labels) or 0.0


def _make_ticket(kind, rank, objective, deadline):
    return tickets.Ticket(
        '', 1.0, deadline, 'r', lambda _: True, rank, objective, kind
    )


def test_starts_and_drops_are_counted_by_cause():
    """Without them nobody can tell why a call was late or refused."""
    now = [0.0]
    gate = gates.Gate(1, 9, queue='objective', read_now=lambda: now[0])
    tiers = ('at_once', 'in_time', 'late')
    before = [_read('jayseam_admission_starts', tier=t) for t in tiers]
    dropped = _read('jayseam_admission_drops', reason='deadline', waited='yes')
    refused = _read('jayseam_admission_drops', reason='deadline', waited='no')
    booked = _read('jayseam_admission_bookings', booked='yes')
    permits = [gate.acquire(_make_ticket('w', 0, 1.0, 9.0), 0.0)]

    def acquire(ticket):
        permits.append(gate.acquire(ticket, now[0]))

    for ticket in (
        _make_ticket('w', 0, 5.0, 9.0),
        _make_ticket('w', 0, 0.5, 9.0),
        _make_ticket('w', 0, 0.5, 0.9),
    ):
        gevent.spawn(acquire, ticket)
    gevent.sleep(0)
    for now[0] in (2.0, 3.0):
        permits[-1].release(tickets.Result.SUCCESS, now[0])
        gevent.sleep(0)
    gevent.spawn(acquire, _make_ticket('w', 0, 3.1, 3.2))
    gevent.sleep(0)
    after = [_read('jayseam_admission_starts', tier=t) for t in tiers]
    assert [b - a for a, b in zip(before, after)] == [1, 1, 1]
    assert (
        _read('jayseam_admission_drops', reason='deadline', waited='yes')
        == dropped + 1
    )
    assert (
        _read('jayseam_admission_drops', reason='deadline', waited='no')
        == refused + 1
    )
    assert _read('jayseam_admission_bookings', booked='yes') == booked + 1


def test_lost_calls_are_logged_at_most_once_in_an_interval(caplog):
    """A line for each call under overload would fill the disk."""
    reporter = reports.Reporter()
    with caplog.at_level(logging.INFO):
        for step in range(100):
            reporter.count_start('late')
            reporter.count_drop('deadline', waited=True)
            reporter.log_loss(lambda: {'0 w': 0.5}, 3, 10.0 + step / 10)
    lines = [r for r in caplog.records if r.msg == 'admission.calls_lost']
    assert len(lines) == 2
    assert lines[1].shares == {'0 w': 0.5} and lines[1].queued == 3
    assert lines[1].starts_late == lines[1].drops_deadline == 50
