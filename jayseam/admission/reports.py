"""What an operator learns of the order by objective: metrics and a log line."""

import collections
import math
from collections.abc import Callable

import prometheus_client

from jayseam.core import logs

# At most one line in this time, in seconds.
LOG_INTERVAL_S = 5.0

_log = logs.get_logger(__name__)

_STARTS = prometheus_client.Counter(
    'jayseam_admission_starts',
    'Calls that started, by why they were the next: at_once, in_time, late, '
    'floor or reserved',
    ('tier',),
)
_DROPS = prometheus_client.Counter(
    'jayseam_admission_drops',
    'Calls that were not admitted, by reason and whether they had waited',
    ('reason', 'waited'),
)
_BOOKINGS = prometheus_client.Counter(
    'jayseam_admission_bookings',
    'Refused calls, by whether a start was booked for their return',
    ('booked',),
)


class Reporter:
    """Counts starts, drops and bookings, and logs them while calls are lost.

    The labelled counters are kept because ``labels`` validates its arguments
    on every call.
    """

    def __init__(self):
        self._counters: dict[tuple, prometheus_client.Counter] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_at = -math.inf

    def count_start(self, tier: str) -> None:
        """Counts a call that starts, by its tier."""
        self._count(_STARTS, tier)
        self._counts[f'starts_{tier}'] += 1

    def count_drop(self, reason: str, waited: bool) -> None:
        """Counts a call that was refused, or dropped after it had waited."""
        self._count(_DROPS, reason, 'yes' if waited else 'no')
        self._counts[f'drops_{reason}'] += 1

    def count_booking(self, booked: bool) -> None:
        """Counts a refused caller that was told when to return."""
        self._count(_BOOKINGS, 'yes' if booked else 'no')
        self._counts['bookings'] += booked

    def log_loss(
        self,
        list_shares: Callable[[], dict[str, float]],
        queued: int,
        now: float,
    ) -> None:
        """Logs the counts since the last line, at most once in 5 s.

        Args:
          list_shares: Returns the recent share of calls that start, by kind.
          queued: Calls that wait.
          now: Current time in seconds.
        """
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged_at = now
        _log.info(
            'admission.calls_lost',
            extra={'queued': queued, 'shares': list_shares(), **self._counts},
        )
        self._counts.clear()

    def _count(self, metric: prometheus_client.Counter, *labels: str) -> None:
        key = (metric, *labels)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._counters[key] = metric.labels(*labels)
        counter.inc()
