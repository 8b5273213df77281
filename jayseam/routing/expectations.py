"""Selection of the VM with the least expected time to an answer.

Calls draw a few candidates by capacity and take the best of them. The draw
keeps nodes with the same stale reports from all choosing the same VM: no VM
gets more than `SAMPLES` times its share of the calls, and less the busier the
service is.

References:
  Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel
  and Distributed Systems, 2000.

See Also:
  ``docs/design/placement.md``.
"""

import bisect
import itertools
import math
from collections.abc import Mapping, Sequence

import attrs

from jayseam.routing import errors
from jayseam.routing import loads as load_tables
from jayseam.routing import selection
from jayseam.routing import speeds as speed_tables
from jayseam.routing import zones

# Candidates that are drawn from the own zone, and from all others together.
SAMPLES = 3
# Time of a round trip to another zone in seconds: the longest stated.
ZONE_DISTANCE_S = 0.007
# Time in which the weight of a load report falls to a half, in seconds. Queues
# change within a few service times; the rest of the weight goes to the usual
# load of the VM.
REPORT_HALF_LIFE_S = 0.25
# Without any report of a zone for this long, its usual load loses weight, by a
# half in the same time again. That of a single VM, of which a node hears more
# rarely, falls to a half in this time and gives way to that of the zone.
USUAL_LOAD_LIFE_S = 3.0
# Calls below its limit from which a VM that resets others costs time, and cost
# of a call beyond that, as waiting calls.
RESET_MARGIN = 2.0
RESET_COST = 4.0
# Load of a VM that got `SAMPLES` times its share of the calls, from which fewer
# calls prefer fast VMs. VMs get less than that, so it may be above 1: with 0.9
# a service at half load answers fewer calls in time, with 2.5 its fastest VM
# has a load of 0.87.
MAX_PREFERRED_LOAD = 1.2
# Difference of loads from which a busy zone's calls prefer the VM with less.
MIN_LOAD_DIFFERENCE = 0.3
# Saving, over the expected time in the own zone, from which all calls go to
# another zone. With a lower value all nodes of a zone move at once.
FULL_MOVE_SAVING = 0.5
# Time left to calls without an objective and a deadline, in seconds.
MAX_TIME_LEFT_S = 10.0
# Time for which capacities are reused, in seconds.
REFRESH_S = 0.5
# A multiplier that makes further random numbers of the fraction of one.
_DRAW_MULTIPLIER = 1_000_003.0


@attrs.frozen
class Capacity:
    """What a VM can do for one kind of call.

    Attributes:
      service_s: Expected service time in seconds.
      limit: Concurrency limit, with what resets have taught.
      usual_calls: Average of the calls in flight and queued; 0 if unknown.
      reported_limit: Limit to which reported loads refer.
      resets: Whether the VM resets calls beyond its limit.
    """

    service_s: float
    limit: int
    usual_calls: float
    reported_limit: int
    resets: bool = False

    @property
    def rate_per_s(self) -> float:
        """Calls that the VM can answer in a second."""
        return self.limit / self.service_s


@attrs.frozen
class _ZoneLoad:
    """Mean usual load of a zone.

    Attributes:
      mean: Mean over the VMs that have reported.
      weight: Weight from 0 to 1; it falls without new reports.
    """

    mean: float
    weight: float


@attrs.frozen
class _Capacities:
    """Capacities for one service and kind of call at one time.

    Attributes:
      computed_at: Time of the computation, in seconds.
      by_vm: Capacity by VM.
      rates_per_s: Rate by VM, for draws.
      preferences: Part of the calls, by zone, that go to the fastest of their
        candidates.
    """

    computed_at: float
    by_vm: Mapping[str, Capacity]
    rates_per_s: Mapping[str, float]
    preferences: Mapping[str, float]


class CapacityCache:
    """Capacities by service and kind of call, refreshed twice a second.

    Args:
      speeds: Speeds, limits and usual loads of VMs.
    """

    def __init__(self, speeds: speed_tables.SpeedTable):
        self._speeds = speeds
        self._by_kind: dict[tuple[str, str], _Capacities] = {}

    def copy(self) -> 'CapacityCache':
        """Returns a cache with the same content, for a dry run.

        A dry run that refreshed this cache would change what later calls see.
        """
        copied = CapacityCache(self._speeds)
        copied._by_kind.update(self._by_kind)
        return copied

    def get(
        self,
        pool: selection.CandidatePool,
        service: str,
        kind: str,
        now: float,
    ) -> _Capacities:
        """Returns capacities that include all candidates of a pool."""
        cached = self._by_kind.get((service, kind))
        if (
            cached is not None
            and now < cached.computed_at + REFRESH_S
            and all(
                member.vm in cached.by_vm
                for group in pool.groups
                for member in group.members
            )
        ):
            return cached
        if len(self._by_kind) >= speed_tables.MAX_KINDS:
            self._by_kind.clear()
        computed = self.compute(pool, kind, now)
        self._by_kind[service, kind] = computed
        return computed

    def compute(
        self, pool: selection.CandidatePool, kind: str, now: float
    ) -> _Capacities:
        """Computes the capacities of all candidates of a pool."""
        return compute_capacities(self._speeds, pool, kind, now)


@attrs.frozen
class Outlook:
    """What the strategy knows of a call besides the loads.

    Attributes:
      cache: Capacities of VMs.
      service: Service of the call.
      kind: Kind of the call.
      time_left_s: Time until the latency objective or, without one, until the
        deadline, in seconds.
      zone_price: Least saving of time, over the time left, for which a call
        goes to another zone.
    """

    cache: CapacityCache
    service: str = ''
    kind: str = ''
    time_left_s: float = MAX_TIME_LEFT_S
    zone_price: float = 0.0


@attrs.frozen
class _Pick:
    """The best candidate of a draw and its expected time in seconds."""

    candidate: selection.Candidate
    expected_s: float


def compute_capacities(
    speeds: speed_tables.SpeedTable,
    pool: selection.CandidatePool,
    kind: str,
    now: float,
) -> _Capacities:
    """Computes the capacities of all candidates of a pool."""
    candidates = pool.candidates
    times = speeds.estimate_services([c.vm for c in candidates], kind, now)
    zone_loads = {
        group.zone: _compute_zone_load(speeds, group, now)
        for group in pool.groups
    }
    by_vm = {
        candidate.vm: Capacity(
            service_s,
            speeds.estimate_limit(candidate.vm, candidate.slots, now),
            _estimate_usual_load(
                speeds, candidate.vm, zone_loads[candidate.zone], now
            )
            * speeds.get_reported_limit(candidate.vm, candidate.slots),
            speeds.get_reported_limit(candidate.vm, candidate.slots),
            speeds.has_reset_limit(candidate.vm, now),
        )
        for candidate, service_s in zip(candidates, times, strict=True)
    }
    return _Capacities(
        now,
        by_vm,
        {vm: capacity.rate_per_s for vm, capacity in by_vm.items()},
        {
            zone: _compute_preference(zone_load)
            for zone, zone_load in zone_loads.items()
        },
    )


def estimate_time(
    candidate: selection.Candidate,
    capacity: Capacity,
    table: load_tables.LoadTable,
    own_zone: str,
    now: float,
) -> tuple[float, float]:
    """Returns the expected time to an answer in seconds, and the load.

    The time is the service time, longer in proportion to the waiting calls,
    and the distance of the zone. The load is that of the last report as long
    as it is fresh, and approaches the usual load.
    """
    member = table.find(candidate.vm)
    calls, limit = capacity.usual_calls, capacity.limit
    if member is not None:
        others = capacity.usual_calls - member.in_flight_at_report
        if member.report is not None:
            age_s = max(0.0, now - member.reported_at)
            weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
            reported_calls = member.report.load * capacity.reported_limit
            others += weight * (reported_calls - capacity.usual_calls)
        calls = member.in_flight + max(0.0, others)
    waiting = max(0.0, calls + 1.0 - limit)
    if capacity.resets:
        waiting = max(0.0, calls + 1.0 + RESET_MARGIN - limit) * RESET_COST
    expected_s = capacity.service_s * (1.0 + waiting / limit)
    if candidate.zone != own_zone:
        expected_s += ZONE_DISTANCE_S
    return expected_s, calls / limit


def estimate_times(
    pool: selection.CandidatePool,
    usable: selection.CandidatePool,
    outlook: Outlook,
    table: load_tables.LoadTable,
    own_zone: str,
    now: float,
) -> dict[str, float]:
    """Returns the expected times by which calls are decided, by VM.

    Args:
      pool: All candidates of the service.
      usable: Those that are not passed over; their capacities are those of a
        decision, and the others are computed with all candidates.
      outlook: What the strategy knows of the call. Its cache is refreshed.
      table: Loads of members.
      own_zone: Zone at which the call enters.
      now: Current time in seconds.

    Returns:
      Times in seconds.
    """
    cache, kind = outlook.cache, outlook.kind
    capacities = {
        **cache.compute(pool, kind, now).by_vm,
        **cache.get(usable, outlook.service, kind, now).by_vm,
    }
    return {
        candidate.vm: estimate_time(
            candidate, capacities[candidate.vm], table, own_zone, now
        )[0]
        for candidate in pool.candidates
    }


@selection.VARIANTS.register('expected_time')
def choose_expected_time(
    pool: selection.CandidatePool,
    loads: selection.LoadView,
    own_zone: str,
    now: float,
    draws: Sequence[float],
    turn: int = 0,
) -> selection.Decision:
    """Decides for the candidate with the least expected time to an answer.

    A call leaves the own zone if the saving, over the time left, exceeds the
    price, or if it would miss its objective only there.
    """
    del turn
    if not pool.groups:
        raise errors.NoCandidateError('no usable member')
    outlook = loads.outlook
    if outlook is None:
        outlook = Outlook(CapacityCache(speed_tables.SpeedTable()))
    capacities = outlook.cache.get(pool, outlook.service, outlook.kind, now)
    own = [group for group in pool.groups if group.zone == own_zone]
    others = [group for group in pool.groups if group.zone != own_zone]

    def pick(groups: list[selection.ZoneGroup], numbers: Sequence[float]):
        weights = [
            zones.compute_share(pool.return_times, group.zone, now)
            for group in groups
        ]
        drawn = _draw_candidates(groups, weights, capacities, numbers)
        return _pick_best(drawn, capacities, loads, own_zone, numbers[0])

    own_numbers = draws[1:]
    if not others:
        return _build_decision(pick(own, own_numbers), 'own-zone')
    if not own or draws[0] >= _compute_own_share(own[0], pool, now):
        reason = 'own-zone-returning' if own else 'no-own-zone'
        return _build_decision(pick(others, own_numbers), reason)
    local = pick(own, own_numbers)
    left_s = min(MAX_TIME_LEFT_S, max(0.0, outlook.time_left_s))
    # If even an answer without delay saves too little, the others don't matter.
    if local.expected_s <= min(
        left_s, outlook.zone_price * left_s + ZONE_DISTANCE_S
    ):
        return _build_decision(local, 'own-zone')
    remote = pick(others, [_redraw(draw) for draw in own_numbers])
    if remote.expected_s <= left_s < local.expected_s:
        return _build_decision(remote, 'objective')
    # A call that is late everywhere must not cross zones for a small saving.
    reference_s = max(left_s, local.expected_s)
    saving_s = local.expected_s - remote.expected_s
    excess_s = saving_s - outlook.zone_price * reference_s
    move_share = excess_s / (FULL_MOVE_SAVING * local.expected_s)
    if excess_s > 0.0 and _redraw(draws[0]) < move_share:
        return _build_decision(remote, 'saving')
    return _build_decision(local, 'own-zone')


def _build_decision(pick: _Pick, reason: str) -> selection.Decision:
    return selection.Decision(pick.candidate, reason, pick.expected_s)


def _compute_own_share(
    group: selection.ZoneGroup, pool: selection.CandidatePool, now: float
) -> float:
    """Returns the part of the calls that prefer their own zone."""
    share = zones.compute_share(pool.return_times, group.zone, now)
    return share * min(1.0, group.cumulative_shares[-1])


def _draw_candidates(
    groups: Sequence[selection.ZoneGroup],
    weights: Sequence[float],
    capacities: _Capacities,
    draws: Sequence[float],
) -> list[selection.Candidate]:
    """Draws candidates by capacity, share and weight of the zone."""
    rates = capacities.rates_per_s
    members = [member for group in groups for member in group.members]
    sums = list(
        itertools.accumulate(
            weight * member.share * rates[member.vm]
            for group, weight in zip(groups, weights, strict=True)
            for member in group.members
        )
    )
    last = len(members) - 1
    return [
        members[min(last, bisect.bisect_right(sums, draw * sums[-1]))]
        for draw in draws[:SAMPLES]
    ]


def _pick_best(
    drawn: Sequence[selection.Candidate],
    capacities: _Capacities,
    loads: selection.LoadView,
    own_zone: str,
    draw: float,
) -> _Pick:
    """Returns the fastest of the drawn candidates, or one that evens the load.

    In a busy zone the first candidate drawn is kept unless another one has
    clearly less load, so that fast VMs get no more than they can take.
    """
    estimates = {}
    for candidate in drawn:
        if candidate.vm not in estimates:
            estimates[candidate.vm] = (
                *estimate_time(
                    candidate,
                    capacities.by_vm[candidate.vm],
                    loads.table,
                    own_zone,
                    loads.now,
                ),
                candidate,
            )
    first_s, first_load, first = estimates[drawn[0].vm]
    if _redraw(draw) < capacities.preferences.get(first.zone, 0.0):
        expected_s, _, best = min(estimates.values(), key=lambda e: e[0])
        return _Pick(best, expected_s)
    expected_s, load, best = min(estimates.values(), key=lambda e: e[1])
    if load <= first_load - MIN_LOAD_DIFFERENCE:
        return _Pick(best, expected_s)
    return _Pick(first, first_s)


def _compute_zone_load(
    speeds: speed_tables.SpeedTable, group: selection.ZoneGroup, now: float
) -> _ZoneLoad:
    """Returns the mean of the usual loads of a zone, and its weight."""
    calls, limits, reported_at = 0.0, 0, -math.inf
    for member in group.members:
        at = speeds.get_reported_at(member.vm)
        if at is not None:
            reported_limit = speeds.get_reported_limit(member.vm, member.slots)
            usual_load = speeds.get_usual_load(member.vm) or 0.0
            calls += usual_load * reported_limit
            limits += speeds.estimate_limit(member.vm, member.slots, now)
            reported_at = max(reported_at, at)
    if not limits:
        return _ZoneLoad(0.0, 0.0)
    age_s = max(0.0, now - reported_at - USUAL_LOAD_LIFE_S)
    return _ZoneLoad(calls / limits, 0.5 ** (age_s / USUAL_LOAD_LIFE_S))


def _estimate_usual_load(
    speeds: speed_tables.SpeedTable, vm: str, zone_load: _ZoneLoad, now: float
) -> float:
    """Returns the usual load of a VM, or that of its zone as it gets old."""
    usual_load = speeds.get_usual_load(vm)
    mean = zone_load.mean * zone_load.weight
    if usual_load is None:
        return mean
    age_s = max(0.0, now - (speeds.get_reported_at(vm) or 0.0))
    weight = 0.5 ** (age_s / USUAL_LOAD_LIFE_S)
    return weight * usual_load + (1.0 - weight) * mean


def _compute_preference(zone_load: _ZoneLoad) -> float:
    """Returns the part of a zone's calls that go to the fastest candidate.

    A VM that is preferred by all calls that draw it gets up to `SAMPLES` times
    its share of the load, which it can take only while the zone is idle. Where
    no load was reported lately, calls are drawn by capacity alone.
    """
    load = max(zone_load.mean, 1e-3)
    preference = (MAX_PREFERRED_LOAD / load - 1.0) / (SAMPLES - 1)
    return zone_load.weight * min(1.0, max(0.0, preference))


def _redraw(draw: float) -> float:
    """Returns another random number in [0, 1), made of a random number."""
    return draw * _DRAW_MULTIPLIER % 1.0
