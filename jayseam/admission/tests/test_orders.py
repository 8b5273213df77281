"""Tests of a gate that serves calls in order of their objectives."""

import gevent
import pytest

from jayseam.admission import errors
from jayseam.admission import gates
from jayseam.admission import queues
from jayseam.admission import tickets


def make_ticket(kind='w', rank=0, objective=1.0, deadline=9.0):
    """Returns a ticket with times in seconds of a clock that begins at 0."""
    return tickets.Ticket(
        '',
        1.0,
        deadline,
        f'r-{kind}',
        lambda now: True,
        rank=rank,
        objective=objective,
        kind=kind,
    )


class Server:
    """A gate with one slot and a clock that only the test moves."""

    def __init__(self, queue='objective', bounds=queues.Bounds(), **service_s):
        self.now = 0.0
        self.started = []
        self.gate = gates.Gate(
            1, 10, queue=queue, bounds=bounds, read_now=lambda: self.now
        )
        for kind, seconds in service_s.items():
            for _ in range(30):
                permit = self.gate.acquire(make_ticket(kind), -seconds)
                permit.release(tickets.Result.SUCCESS, 0.0)

    def send(self, ticket):
        """Sends a call that waits or starts; returns its greenlet."""
        greenlet = gevent.spawn(self._run, ticket)
        # Another call's greenlet may have to end because of this one.
        for _ in range(2):
            gevent.sleep(0)
        return greenlet

    def _run(self, ticket):
        permit = self.gate.acquire(ticket, self.now)
        self.started.append(ticket.kind)
        return permit

    def release(self, permit, now):
        """Ends a call and lets the next one start."""
        self.now = now
        permit.release(tickets.Result.SUCCESS, now)
        gevent.sleep(0)


def test_call_that_misses_its_objective_waits_for_a_late_answer():
    """A late answer is worth 12 to 44% of one in time, a refusal nothing."""
    server = Server(w=0.4)
    permit = server.send(make_ticket()).get()
    for _ in range(2):
        server.send(make_ticket(objective=2.0))
    late = server.send(make_ticket('late', objective=0.3))
    server.release(permit, 0.4)
    assert server.started == ['w', 'w'] and not late.dead
    server.gate.close()
    with pytest.raises(errors.ClosedError):
        late.get()
    # The order by rank refuses the same call.
    server = Server('ranked', w=0.4)
    server.send(make_ticket()).get()
    for _ in range(2):
        server.send(make_ticket(objective=2.0))
    refused = server.send(make_ticket('late', objective=0.3))
    assert isinstance(refused.exception, errors.ObjectiveError)
    server.gate.close()


def test_call_that_would_miss_its_deadline_is_refused_at_once():
    """Held until its deadline, its caller could not retry elsewhere."""
    server = Server(w=0.4)
    server.send(make_ticket()).get()
    for _ in range(4):
        server.send(make_ticket(objective=0.5, deadline=3.0))
    refused = server.send(make_ticket(objective=0.5, deadline=1.0))
    assert isinstance(refused.exception, errors.DeadlineError)
    server.gate.close()


def test_urgent_call_is_not_refused_for_calls_that_go_later():
    """The wait of a call comes from the calls ahead of it alone."""
    server = Server(w=0.4, r=0.4)
    server.send(make_ticket()).get()
    for _ in range(20):
        server.send(make_ticket('r', 2, 7.0))
    urgent = server.send(make_ticket('w', 0, 1.0, 1.2))
    assert not urgent.dead
    server.gate.close()


def test_service_time_is_that_of_the_kind():
    """A mean over all kinds refuses short calls and starts long ones late."""
    server = Server(short=0.02, long=0.9)
    server.send(make_ticket()).get()
    waiting = server.send(make_ticket('short', 0, 0.4, 0.5))
    refused = server.send(make_ticket('long', 0, 0.4, 0.5))
    assert not waiting.dead
    assert isinstance(refused.exception, errors.DeadlineError)
    server.gate.close()


def test_cold_server_paces_the_waiting_calls():
    """The wait at a cold server is that of its rate, not of its slots."""

    class Ramp:
        """Four calls a second in the first 3 s."""

        initial_slots = 6
        duration_s = 3.0
        rate_per_s = 4.0

    server = Server()
    server.gate.set_capacity(6, 10, Ramp)
    server.gate.restart_ramp(0.0)
    for _ in range(5):
        server.send(make_ticket(objective=2.5, deadline=2.9))
    refused = server.send(make_ticket('p', 1, 0.5, 0.9))
    assert server.started == ['w']
    assert isinstance(refused.exception, errors.DeadlineError)
    server.gate.close()


def test_refused_callers_return_one_after_another():
    """Callers that return together would be refused together again."""
    server = Server(w=0.1)
    server.send(make_ticket()).get()
    waiting = [
        server.send(make_ticket('w', 0, 0.5, 2.1 + number / 100))
        for number in range(19)
    ]
    assert not any(greenlet.dead for greenlet in waiting)
    delays_s = {}
    for rank in (2, 1):
        refused = [
            server.send(make_ticket('w', rank, 0.5, 1.5)) for _ in range(4)
        ]
        delays_s[rank] = [
            greenlet.exception.retry_after_s for greenlet in refused
        ]
        gaps_s = [
            later - earlier
            for earlier, later in zip(delays_s[rank], delays_s[rank][1:])
        ]
        assert gaps_s == pytest.approx([0.1] * 3)
        # Callers honour a third of the time that they have left.
        assert max(delays_s[rank]) <= 1.5 / 3
    assert delays_s[1] == pytest.approx(delays_s[2])
    server.gate.close()


def test_caller_of_a_displaced_call_learns_when_to_return():
    """Without a time, it would return at once and be displaced again."""
    bounds = queues.Bounds(3, 3)
    server = Server(bounds=bounds, r=0.1)
    server.send(make_ticket('r')).get()
    displaced = [
        server.send(make_ticket('r', 2, 5.0 + number)) for number in range(3)
    ][-1]
    server.send(make_ticket('w', 0, 1.0))
    assert isinstance(displaced.exception, errors.QueueFullError)
    assert displaced.exception.retry_after_s > 0
    refused = server.send(make_ticket('r', 2, 9.0)).exception
    assert isinstance(refused, errors.QueueFullError)
    assert refused.retry_after_s > displaced.exception.retry_after_s
    server.gate.close()
