"""The gate that admits calls to the node's own backend server.

Only the ingress, the node of the backend server, admits calls, so its gate
counts every call in flight there. The number of calls in flight never exceeds
the slots, the ramp of a freshly started backend server, or the adaptive limit.

See Also:
  ``docs/design.md``, section 5.4.
"""

import collections
from collections.abc import Callable, Mapping

import attrs
import gevent
from gevent import event

from jayseam.admission import concurrency
from jayseam.admission import errors
from jayseam.admission import orders
from jayseam.admission import pacereports
from jayseam.admission import pacing
from jayseam.admission import queues
from jayseam.admission import ramps
from jayseam.admission import servicetimes
from jayseam.admission import tickets
from jayseam.admission import waits
from jayseam.core import clocks


@attrs.define(eq=False)
class _Waiter:
    """A greenlet blocked in `Gate.acquire` and the decision on its call."""

    ticket: tickets.Ticket
    decided: event.Event
    permit: 'Permit | None' = None
    error: errors.AdmissionError | None = None


class Permit:
    """Permission for one call to be in flight until `release`."""

    def __init__(
        self, gate: 'Gate', ticket: tickets.Ticket, admitted_at: float
    ):
        self.ticket = ticket
        self.admitted_at = admitted_at
        self._gate = gate
        self._released = False

    def release(
        self, result: tickets.Result | str, now: float, kind: str = ''
    ) -> None:
        """Ends the call; only the first release of a permit counts.

        Args:
          result: How the call ended, as a `tickets.Result` or its value.
          now: Current time in seconds.
          kind: Kind of the call; calls of one kind take a similar time.

        Raises:
          ValueError: If the result is unknown.
        """
        outcome = tickets.Result(result)
        if not self._released:
            self._released = True
            self._gate._release(self, outcome, now, kind)


class Gate:
    """Admits calls up to the limit and queues the others.

    The gate must be used from the greenlets of one thread.

    >>> gate = Gate(slots=1, connections=10)
    >>> ticket = tickets.Ticket('w', 1.0, 2.0, 'r-1', lambda now: True)
    >>> permit = gate.acquire(ticket, now=1.0)
    >>> gate.describe(now=1.0).in_flight
    1
    >>> permit.release(tickets.Result.SUCCESS, now=1.1)
    >>> gate.describe(now=1.1).in_flight
    0
    """

    def __init__(
        self,
        slots: int,
        connections: int,
        ramp=None,
        queue: str = 'fair',
        ramp_shape: str = 'linear',
        bounds: queues.Bounds = queues.Bounds(),
        read_now: Callable[[], float] = clocks.read_now,
    ):
        """Creates an open gate.

        Args:
          slots: Calls the backend server handles at once.
          connections: Connections the backend server accepts.
          ramp: Object with ``initial_slots``, ``duration_s`` and, if calls to
            a cold server are paced, ``rate_per_s``; or None.
          queue: Name of a variant in `queues.VARIANTS`.
          ramp_shape: Name of a variant in `ramps.VARIANTS`.
          bounds: Greatest lengths of the queue.
          read_now: Clock used by timers, in seconds.

        Raises:
          UnknownVariantError: If a variant has another name.
        """
        self._queue = queues.VARIANTS.get(queue)(bounds)
        self._order: orders.ObjectiveOrder | None = None
        if self._queue.serves_late:
            self._order = orders.ObjectiveOrder(self._queue)
        self._read_now = read_now
        self._in_flight = 0
        self._in_flight_by_rank: collections.Counter[int] = (
            collections.Counter()
        )
        self._closed = False
        self._paused = False
        self._idle = event.Event()
        self._idle.set()
        self._timer: gevent.Greenlet | None = None
        self._service_times = servicetimes.ServiceTimes()
        self._capacity = min(slots, connections)
        self._adaptive = concurrency.build_limit(self._capacity)
        self._pacer = pacing.Pacer()
        self._reporter = pacereports.PaceReporter()
        self._ramp = ramps.VARIANTS.get(ramp_shape)(
            self._capacity, self._capacity, 0.0, None
        )
        self._ramp = self._build_ramp(ramp, None)

    def acquire(self, ticket: tickets.Ticket, now: float) -> Permit:
        """Waits until the call may run.

        Args:
          ticket: The call.
          now: Current time in seconds.

        Returns:
          The permit, which the caller must release.

        Raises:
          QueueFullError: If the queue has no room.
          DeadlineError: If the call cannot finish before its deadline.
          ObjectiveError: If it would wait past its latency objective, unless
            the queue serves late calls.
          NoLongerValidError: If the call may no longer run.
          ClosedError: If the gate is draining or closed.
        """
        if self._closed:
            raise errors.ClosedError('the gate admits no new calls')
        entry = queues.Entry(
            ticket.workspace,
            ticket.cost,
            ticket.deadline,
            ticket.still_valid,
            rank=ticket.rank,
        )
        if self._order is not None:
            self._order.complete_entry(entry, ticket, now)
        # A call that would wait past its deadline is refused at once, while
        # its entry node has time to try another VM. If the call waited, it
        # might also be admitted with too little time left to run.
        wait_s = self._estimate_wait(entry, now)
        reason = queues.find_drop_reason(
            entry, now + wait_s, self._estimate_shortest_time(entry, now)
        )
        if reason is not None:
            self._record_loss(entry, reason.value, False, now)
            error = waits.build_error(reason, ticket, wait_s)
            self._promise_room(error, entry, now)
            raise error
        if self._order is None:
            self._check_objective(ticket, wait_s, now)
        if not self._paused and len(self._queue) == 0:
            if self._can_admit(now):
                if self._order is not None:
                    self._order.record_start(entry)
                return self._admit(ticket, now)
        waiter = _Waiter(ticket, event.Event())
        entry.payload = waiter
        try:
            displaced = self._queue.push(entry)
        except errors.QueueFullError as error:
            self._record_loss(entry, 'queue_full', False, now)
            self._promise_room(error, entry, now)
            raise
        if displaced is not None:
            self._refuse(displaced, queues.DropReason.DISPLACED)
            self._record_loss(displaced, 'displaced', True, now)
            self._promise_room(displaced.payload.error, displaced, now)
        self._idle.clear()
        self._admit_queued(now)
        return self._wait(entry, waiter, now)

    def estimate_cost(self, workspace: str) -> float:
        """Returns the cost of a call of the workspace.

        The cost is the workspace's mean service time over the mean of all
        calls. An average call and a call of an unknown workspace cost 1.
        """
        return self._service_times.estimate_cost(workspace)

    def set_capacity(self, slots: int, connections: int, ramp=None) -> None:
        """Applies the capacity of a new preset; calls in flight continue.

        Args:
          slots: Calls the backend server handles at once.
          connections: Connections the backend server accepts.
          ramp: Object with ``initial_slots`` and ``duration_s``, or None.
        """
        self._capacity = min(slots, connections)
        self._adaptive = self._adaptive.resize(self._capacity)
        self._ramp = self._build_ramp(ramp, self._ramp.started_at)
        self._admit_queued(self._read_now())

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the weights of workspaces in the queue."""
        self._queue.set_weights(weights)

    def restart_ramp(self, now: float) -> None:
        """Restarts the ramp: the backend server started at ``now``."""
        self._replace_ramp(self._ramp.restart(now), now)
        ends_at = now + self._ramp.duration_s
        self._pacer = attrs.evolve(self._pacer, ends_at=ends_at)
        self._schedule_timer(now)

    def notice_pause(self, now: float) -> None:
        """Ignores calls that started before a pause of the process ended."""
        self._replace_ramp(self._ramp.record_pause(now), now)

    def pause(self) -> None:
        """Stops admissions until `resume`; new calls are queued."""
        self._paused = True

    def resume(self, now: float) -> None:
        """Continues admissions after `pause`."""
        self._paused = False
        self._admit_queued(now)

    def drain(self) -> None:
        """Refuses new calls; queued calls and calls in flight finish.

        See Also:
          `wait_idle`.
        """
        self._closed = True

    def close(self) -> None:
        """Refuses new and queued calls; calls in flight finish."""
        self._closed = True
        for entry in self._queue.clear():
            entry.payload.error = errors.ClosedError('the gate was closed')
            entry.payload.decided.set()
        self._update_idle()

    def reopen(self, now: float) -> None:
        """Admits calls again after `drain` or `close`."""
        self._closed = False
        self._admit_queued(now)

    def wait_idle(self, timeout_s: float) -> bool:
        """Waits until no call is queued or in flight.

        Returns:
          Whether the gate became idle within ``timeout_s`` seconds.
        """
        return self._idle.wait(timeout_s)

    def describe(self, now: float) -> tickets.GateReport:
        """Returns the state of the gate, including its load."""
        return tickets.GateReport(
            self._in_flight,
            len(self._queue),
            self._compute_limit(now),
            self._capacity,
            self._ramp.compute_limit(now),
            self._adaptive.compute_limit(),
            self._service_times.mean_s,
            self._queue.count_backlogs(),
        )

    def count_queued(self, workspace: str) -> int:
        """Returns the number of calls of a workspace that wait."""
        return self._queue.count(workspace)

    def _build_ramp(self, ramp, started_at: float | None):
        self._pacer = self._build_pacer(ramp, started_at)
        if ramp is None:
            full = self._ramp.resize(self._capacity, self._capacity, 0.0)
            return attrs.evolve(full, started_at=None)
        return self._ramp.resize(
            ramp.initial_slots, self._capacity, ramp.duration_s
        )

    def _build_pacer(self, ramp, started_at: float | None) -> pacing.Pacer:
        rate_per_s = getattr(ramp, 'rate_per_s', 0.0)
        ends_at = self._pacer.ends_at
        if started_at is not None and ramp is not None:
            # The preset with the rate may arrive after the start was detected.
            ends_at = started_at + ramp.duration_s
        return attrs.evolve(self._pacer, rate_per_s=rate_per_s, ends_at=ends_at)

    def _replace_ramp(self, ramp: ramps.Ramp, now: float) -> None:
        self._reporter.report(self._ramp, ramp, now)
        self._ramp = ramp

    def _compute_limit(self, now: float) -> int:
        return min(
            self._capacity,
            self._ramp.compute_limit(now),
            self._adaptive.compute_limit(),
            self._pacer.compute_limit(self._service_times.mean_s, now),
        )

    def _can_admit(self, now: float) -> bool:
        has_slot = self._in_flight < self._compute_limit(now)
        return has_slot and self._pacer.allows(now)

    def _estimate_shortest_time(self, entry: queues.Entry, now: float) -> float:
        if self._order is not None:
            return self._order.estimate_shortest(entry, now)
        return self._service_times.estimate_shortest(entry.workspace, now)

    def _estimate_wait(self, entry: queues.Entry, now: float) -> float:
        """Returns the time that a new call is expected to wait, in seconds.

        The limit is taken as of the deadline, so that no call is refused that
        a growing ramp could admit in time.
        """
        limit = self._compute_limit(entry.deadline)
        if self._paused or limit <= 0:
            return 0.0
        # Slots of more urgent calls don't count as free: such calls keep coming
        # and take them again.
        free_slots = max(1, limit - self._count_more_urgent(entry.rank))
        if self._order is not None:
            ahead = self._order.measure_ahead(entry, free_slots, now)
            paced_s = self._pacer.estimate_wait(ahead.entries, now)
            return max(paced_s, ahead.work_s / free_slots)
        ahead = self._queue.count_ahead(entry.workspace, entry.rank)
        paced_s = self._pacer.estimate_wait(ahead, self._read_now())
        mean_s = self._service_times.estimate_mean(entry.workspace)
        return max(paced_s, ahead * mean_s / free_slots)

    def _count_more_urgent(self, rank: int) -> int:
        """Returns the number of calls in flight more urgent than a rank."""
        return sum(
            count
            for other, count in self._in_flight_by_rank.items()
            if other < rank
        )

    def _check_objective(
        self, ticket: tickets.Ticket, wait_s: float, now: float
    ) -> None:
        """Refuses a call that would wait past its latency objective.

        Capacity spent on late answers is lost to calls that could be answered
        in time. A caller that is refused at once can retry, also elsewhere.

        Raises:
          ObjectiveError: If the expected wait exceeds the longest allowed.
        """
        mean_s = self._service_times.estimate_mean(ticket.workspace)
        max_wait_s = waits.compute_max_wait(ticket.objective, mean_s, now)
        if wait_s > max_wait_s:
            raise errors.ObjectiveError(
                f'call {ticket.request_id} would wait {wait_s:.2f} s',
                max(waits.MIN_RETRY_AFTER_S, wait_s - max_wait_s),
            )

    def _admit(self, ticket: tickets.Ticket, now: float) -> Permit:
        self._in_flight += 1
        self._in_flight_by_rank[ticket.rank] += 1
        self._pacer = self._pacer.record_start(now)
        self._idle.clear()
        return Permit(self, ticket, now)

    def _wait(self, entry: queues.Entry, waiter: _Waiter, now: float) -> Permit:
        ticket = waiter.ticket
        try:
            waiter.decided.wait(max(0.0, ticket.deadline - now))
        except BaseException:
            # The greenlet was killed; a permit granted meanwhile is released.
            self._cancel_wait(entry, waiter)
            raise
        if waiter.permit is not None:
            return waiter.permit
        if waiter.error is not None:
            raise waiter.error
        self._cancel_wait(entry, waiter)
        self._record_loss(entry, 'deadline', True, ticket.deadline)
        raise errors.DeadlineError(
            f'call {ticket.request_id} waited until its deadline'
        )

    def _cancel_wait(self, entry: queues.Entry, waiter: _Waiter) -> None:
        self._queue.remove(entry)
        if waiter.permit is not None:
            waiter.permit.release(tickets.Result.FAILED, self._read_now())
        self._update_idle()

    def _refuse(self, entry: queues.Entry, reason: queues.DropReason) -> None:
        waiter = entry.payload
        waiter.error = waits.build_error(reason, waiter.ticket)
        waiter.decided.set()

    def _record_loss(
        self, entry: queues.Entry, reason: str, waited: bool, now: float
    ) -> None:
        if self._order is not None:
            self._order.record_loss(entry, reason, waited, now)

    def _promise_room(
        self, error: errors.AdmissionError, entry: queues.Entry, now: float
    ) -> None:
        if self._order is not None:
            wait_s = self._estimate_wait(entry, now)
            limit = self._compute_limit(now)
            self._order.promise_room(error, entry, wait_s, limit, now)

    def _admit_queued(self, now: float) -> None:
        """Admits queued calls while the limit allows."""
        while not self._paused and len(self._queue) > 0:
            if not self._can_admit(now):
                break
            entry, dropped = self._pop(now)
            for dropped_entry, reason in dropped:
                self._refuse(dropped_entry, reason)
            if entry is not None:
                entry.payload.permit = self._admit(entry.payload.ticket, now)
                entry.payload.decided.set()
        self._schedule_timer(now)
        self._update_idle()

    def _pop(self, now: float):
        def estimate_s(waiting: queues.Entry) -> float:
            return self._estimate_shortest_time(waiting, now)

        if self._order is not None:
            return self._order.pop(now, self._compute_limit(now), estimate_s)
        return self._queue.pop(now, estimate_s)

    def _schedule_timer(self, now: float) -> None:
        """Sets a timer for the next step of ramp or pacer while calls wait."""
        if self._timer is not None or len(self._queue) == 0:
            return
        steps = [self._ramp.compute_next_step(now)]
        if not self._pacer.allows(now):
            steps.append(min(self._pacer.next_start_at, self._pacer.ends_at))
        step_at = min((at for at in steps if at is not None), default=None)
        if step_at is not None:
            delay_s = max(0.001, step_at - now)
            self._timer = gevent.spawn_later(delay_s, self._fire_timer)

    def _fire_timer(self) -> None:
        self._timer = None
        self._admit_queued(self._read_now())

    def _update_idle(self) -> None:
        if self._in_flight == 0 and len(self._queue) == 0:
            self._idle.set()

    def _release(
        self,
        permit: Permit,
        result: tickets.Result,
        now: float,
        kind: str,
    ) -> None:
        latency_s = max(0.0, now - permit.admitted_at)
        is_complete = result in (tickets.Result.SUCCESS, tickets.Result.ERROR)
        if is_complete:
            self._service_times.record(permit.ticket.workspace, latency_s, now)
            if self._order is not None:
                self._order.record(permit.ticket, latency_s, now)
        if self._ramp.adapts_to_answers:
            sample = ramps.Sample(
                kind, permit.admitted_at, now, self._in_flight
            )
            self._replace_ramp(self._ramp.record(result, sample), now)
        elif is_complete:
            self._adaptive = self._adaptive.record_success(
                latency_s, self._in_flight
            )
        elif result is tickets.Result.SHED:
            self._adaptive = self._adaptive.record_shed(now)
        self._in_flight -= 1
        self._in_flight_by_rank[permit.ticket.rank] -= 1
        self._admit_queued(now)
