"""Decisions of a gate whose queue serves calls in order of their objectives.

The gate owns the clock and the calls in flight; this module estimates waits and
picks the next call. It reads no clock.

See Also:
  ``docs/design/order-of-service.md``.
"""

from collections.abc import Callable

from jayseam.admission import errors
from jayseam.admission import objectives
from jayseam.admission import promises
from jayseam.admission import queues
from jayseam.admission import reports
from jayseam.admission import reserves
from jayseam.admission import servicetimes
from jayseam.admission import tickets


class ObjectiveOrder:
    """Order of service by objective, with service times for each kind.

    Args:
      queue: The queue of the gate.
    """

    def __init__(self, queue: objectives.ObjectiveQueue):
        self._queue = queue
        self._times = servicetimes.ServiceTimes()
        self._occupancy = reserves.Occupancy()
        self._reserve = reserves.Reserve()
        self._timeouts = reserves.Timeouts()
        self._bookings = promises.Bookings()
        self._reporter = reports.Reporter()

    def record(
        self, ticket: tickets.Ticket, latency_s: float, now: float
    ) -> None:
        """Adds the service time of a call that succeeded."""
        self._times.record(ticket.kind, latency_s, now)
        self._occupancy = self._occupancy.add_sample(latency_s)

    def complete_entry(
        self, entry: queues.Entry, ticket: tickets.Ticket, now: float
    ) -> None:
        """Sets the fields of an entry that only this order uses."""
        timeout_s = self._timeouts.record(ticket.kind, ticket.deadline - now)
        entry.is_short = reserves.is_short(timeout_s, self._occupancy.mean_s)
        entry.kind = ticket.kind
        entry.objective = ticket.objective
        entry.service_s = self._times.estimate_mean(ticket.kind)

    def estimate_shortest(self, entry: queues.Entry, now: float) -> float:
        """Returns the usual shortest time of such a call, in seconds."""
        return self._times.estimate_shortest(entry.kind, now)

    def measure_ahead(
        self, entry: queues.Entry, slots: int, now: float
    ) -> objectives.Ahead:
        """Returns the entries that are expected to start before a new one.

        A call that would start too late for its objective starts after all
        calls that are in time.

        Args:
          entry: An entry that isn't in the queue.
          slots: Slots that the calls ahead share.
          now: Current time in seconds.
        """
        ahead = self._queue.measure_ahead(entry, now)
        latest_start = objectives.compute_latest_start(entry)
        if now + ahead.work_s / slots > latest_start:
            ahead = self._queue.measure_late_ahead(entry)
        if not entry.is_short:
            return ahead
        # Short calls start before the others while their reserve lasts.
        entries = self._queue.count_short()
        work_s = entries * self._times.mean_s
        return min(ahead, objectives.Ahead(entries, work_s), key=_get_work)

    def record_start(self, entry: queues.Entry) -> None:
        """Counts a call that starts without waiting."""
        self._queue.record(entry, True)
        self._reporter.count_start('at_once')

    def record_loss(
        self, entry: queues.Entry, reason: str, waited: bool, now: float
    ) -> None:
        """Counts a call that is refused, displaced or waited in vain."""
        self._queue.record(entry, False)
        self._report_loss(reason, waited, now)

    def _report_loss(self, reason: str, waited: bool, now: float) -> None:
        self._reporter.count_drop(reason, waited)
        self._reporter.log_loss(self._queue.list_shares, len(self._queue), now)

    def promise_room(
        self,
        error: errors.AdmissionError,
        entry: queues.Entry,
        wait_s: float,
        limit: int,
        now: float,
    ) -> None:
        """Sets the time after which the caller of a refused call may return.

        Args:
          error: The error of the refused call.
          entry: The refused call.
          wait_s: Expected wait of the call in seconds.
          limit: Calls allowed in flight.
          now: Current time in seconds.
        """
        room_at, latest_at = promises.compute_window(
            entry.deadline, wait_s, now
        )
        self._bookings, booked_at = self._bookings.book(
            room_at, self._times.mean_s / max(1, limit), entry.rank, latest_at
        )
        self._reporter.count_booking(booked_at is not None)
        return_at = latest_at if booked_at is None else booked_at
        error.retry_after_s = return_at - now

    def pop(
        self,
        now: float,
        limit: int,
        estimate_s: Callable[[queues.Entry], float],
    ):
        """Removes and returns the next entry; see `objectives`."""
        reserved = self._reserve.is_due()
        entry, dropped = self._queue.pop(now, estimate_s, reserved)
        for _, reason in dropped:
            self._report_loss(reason.value, True, now)
        if entry is not None:
            self._reporter.count_start(entry.tier)
            self._reserve = self._reserve.record_start(
                entry.service_s, entry.is_short, limit, self._occupancy.mean_s
            )
        return entry, dropped


def _get_work(ahead: objectives.Ahead) -> float:
    return ahead.work_s
