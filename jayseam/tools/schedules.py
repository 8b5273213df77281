"""Schedules of calls: the time and the request of each call."""

import collections
import random
from collections.abc import Iterator

import attrs

from jayseam.core import identifiers
from jayseam.tools import profiles
from jayseam.tools import records

# Number of recent calls of a route from which a repeat is chosen.
_MAX_RECENT_CALLS = 64


@attrs.frozen
class ScheduledCall:
    """A call of a schedule.

    Attributes:
      offset_s: Time at which the call is due, in seconds since the start of the
        run.
      record: The record of the call, with the request and no outcome yet.
      route: The entry of the profile that determines the request.
    """

    offset_s: float
    record: records.CallRecord
    route: profiles.RouteLoad


class Schedule:
    """The calls of one workspace entry; equal seeds give equal schedules.

    Args:
      load: The workspace entry.
      profile: The profile that contains the entry.
      generator: Random number generator for arrivals, routes, repeats and
        idempotency keys.
      prefix: Prefix of the echo values, unique to the entry and run.
      start_wall_ms: Wall clock time at the start of the run in milliseconds.
    """

    def __init__(
        self,
        load: profiles.WorkspaceLoad,
        profile: profiles.Profile,
        generator: random.Random,
        prefix: str,
        start_wall_ms: int,
    ):
        self._load = load
        self._profile = profile
        self._generator = generator
        self._prefix = prefix
        self._start_wall_ms = start_wall_ms
        self._shares = [route.share for route in load.routes]
        self._recent: list[collections.deque[records.CallRecord]] = [
            collections.deque(maxlen=_MAX_RECENT_CALLS) for _ in load.routes
        ]

    def generate_calls(self) -> Iterator[ScheduledCall]:
        """Yields the calls in order of time."""
        load, profile = self._load, self._profile
        end_s = min(load.end_s or profile.duration_s, profile.duration_s)
        offset_s = load.start_s
        number = 0
        while True:
            offset_s += self._draw_gap_s()
            if offset_s >= end_s:
                return
            number += 1
            yield self._create_call(number, offset_s)

    def _draw_gap_s(self) -> float:
        """Returns the time from one arrival to the next."""
        if self._profile.arrivals == 'poisson':
            return self._generator.expovariate(self._load.rate_per_s)
        return 1.0 / self._load.rate_per_s

    def _create_call(self, number: int, offset_s: float) -> ScheduledCall:
        indexes = range(len(self._shares))
        index = self._generator.choices(indexes, self._shares)[0]
        route = self._load.routes[index]
        record = records.CallRecord(
            workspace=self._load.name,
            method=route.method,
            path=route.path,
            echo=f'{self._prefix}-{number}',
            idempotency_key='',
            repeat=False,
            scheduled=0.0,
        )
        if not route.repeatable:
            self._set_idempotency_key(
                record, route, self._recent[index], offset_s
            )
        return ScheduledCall(offset_s, record, route)

    def _set_idempotency_key(
        self,
        record: records.CallRecord,
        route: profiles.RouteLoad,
        recent: collections.deque[records.CallRecord],
        offset_s: float,
    ) -> None:
        """Sets the idempotency key of a call: a new key or a recent call's."""
        generator = self._generator
        if recent and generator.random() < route.repeat_share:
            first = generator.choice(recent)
            record.echo = first.echo
            record.idempotency_key = first.idempotency_key
            record.repeat = True
            return
        wall_ms = self._start_wall_ms + int(offset_s * 1000)
        record.idempotency_key = identifiers.make_uuid7(wall_ms, generator)
        recent.append(record)
