"""Selection of the upstream that runs a call.

`build_pool` builds a pool of the members of a service once for each view and
preset; `choose` selects a member of the pool for each call. Both are pure
functions: the time, the loads and the random numbers are arguments.

References:
  Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
  Transactions on Parallel and Distributed Systems, 2001.

See Also:
  ``docs/design.md``, section 5.2.
"""

import bisect
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from jayseam.core import registries
from jayseam.routing import eligibility
from jayseam.routing import errors
from jayseam.routing import loads as load_tables
from jayseam.routing import zones

VARIANTS: registries.Registry = registries.Registry('selection strategy')

# Calls spill over to other zones while the less loaded of two candidates in the
# own zone has at least this load. With a higher value fewer bytes are sent
# between zones and calls wait longer.
DEFAULT_SPILL_LOAD = 0.8
# Number of random numbers in [0, 1) for one choice.
DRAWS_PER_CHOICE = 5


@attrs.frozen
class Candidate:
    """A member that may run calls of a service.

    Attributes:
      vm: Name of the VM.
      upstream: Name of the upstream that the VM serves.
      zone: Availability zone of the VM.
      slots: Slots of the upstream.
      share: Weight in a random draw; 1 for a warm member.
    """

    vm: str
    upstream: str
    zone: str
    slots: int
    share: float = 1.0


@attrs.frozen
class ZoneGroup:
    """The candidates of one zone.

    Attributes:
      zone: Name of the zone.
      members: Candidates, ordered by VM.
      cumulative_shares: Running sums of the shares of the members.
    """

    zone: str
    members: tuple[Candidate, ...]
    cumulative_shares: tuple[float, ...]


@attrs.frozen
class CandidatePool:
    """The candidates of a service.

    Attributes:
      groups: Candidates by zone, ordered by zone.
      return_times: Times at which zones returned, in seconds.
    """

    groups: tuple[ZoneGroup, ...]
    return_times: zones.ReturnTimes = {}

    @property
    def candidates(self) -> list[Candidate]:
        """All candidates, ordered by zone and VM."""
        return [member for group in self.groups for member in group.members]

    def exclude(self, vms: Iterable[str]) -> 'CandidatePool':
        """Returns the pool without some VMs, for a retry of a call."""
        excluded = set(vms)
        remaining = [c for c in self.candidates if c.vm not in excluded]
        return group_candidates(remaining, self.return_times)


@attrs.frozen
class Explanation:
    """Why a member is or is not a candidate.

    Attributes:
      vm: Name of the VM.
      upstream: Name of the upstream that the VM serves.
      zone: Availability zone of the VM.
      usable: Whether the member is a candidate.
      reason: Explanation for an operator.
      share: Weight in a random draw, including the share of the zone.
      load: Load of the member as this node knows it.
    """

    vm: str
    upstream: str
    zone: str
    usable: bool
    reason: str
    share: float
    load: float


@attrs.frozen
class LoadView:
    """The loads of members at one time, as they delay calls of a workspace.

    Attributes:
      table: Loads of the members.
      workspace: The workspace; None for the loads of all workspaces together.
      now: Current time in seconds.
      spill_load: Load of the own zone from which calls spill over to others.
      spill_gain: Least difference by which the load in another zone must be
        lower for a call to spill over; None for no such condition.
      outlook: What ``expected_time`` knows of the call; see
        `jayseam.routing.expectations.Outlook`.
    """

    table: load_tables.LoadTable
    workspace: str | None
    now: float
    spill_load: float = DEFAULT_SPILL_LOAD
    spill_gain: float | None = None
    outlook: Any = None

    def estimate(self, candidate: Candidate) -> float:
        """Returns the load of a candidate."""
        return self.table.estimate(
            candidate.vm, candidate.slots, self.now, self.workspace
        )


@attrs.frozen
class Decision:
    """What a strategy decided.

    Attributes:
      candidate: The chosen candidate.
      reason: Why it was chosen, for operators; empty if the strategy gives
        none.
      expected_s: Expected time to an answer in seconds; 0 if the strategy
        doesn't estimate it.
    """

    candidate: Candidate
    reason: str = ''
    expected_s: float = 0.0


Strategy = Callable[
    [CandidatePool, LoadView, str, float, Sequence[float], int], Decision
]


def decide(
    pool: CandidatePool,
    view: LoadView,
    own_zone: str,
    draws: Sequence[float],
    turn: int = 0,
    strategy: str = 'two_choices',
) -> Decision:
    """Returns the decision of a strategy.

    Args:
      pool: Candidates of the service.
      view: Loads of members at the current time.
      own_zone: Zone of this node.
      draws: `DRAWS_PER_CHOICE` random numbers in [0, 1).
      turn: Number of choices made before, for ``round_robin``.
      strategy: Name of a variant in `VARIANTS`.

    Raises:
      NoCandidateError: If the pool is empty.
      UnknownVariantError: If there is no such strategy.
    """
    return VARIANTS.get(strategy)(pool, view, own_zone, view.now, draws, turn)


def choose(
    pool: CandidatePool,
    loads: load_tables.LoadTable,
    own_zone: str,
    now: float,
    draws: Sequence[float],
    turn: int = 0,
    strategy: str = 'two_choices',
    workspace: str | None = None,
    spill_load: float = DEFAULT_SPILL_LOAD,
    spill_gain: float | None = None,
) -> Candidate:
    """Returns the candidate that `decide` chooses with a new view.

    Args:
      pool: Candidates of the service.
      loads: Loads of members.
      own_zone: Zone of this node.
      now: Current time in seconds.
      draws: `DRAWS_PER_CHOICE` random numbers in [0, 1).
      turn: Number of choices made before, for ``round_robin``.
      strategy: Name of a variant in `VARIANTS`.
      workspace: Workspace of the call, if only the load that delays its calls
        counts.
      spill_load: Load of the own zone from which calls spill over to others.
      spill_gain: Least difference by which the load in another zone must be
        lower for a call to spill over; None for no such condition.

    Raises:
      NoCandidateError: If the pool is empty.
      UnknownVariantError: If there is no such strategy.
    """
    view = LoadView(loads, workspace, now, spill_load, spill_gain)
    return decide(pool, view, own_zone, draws, turn, strategy).candidate


@VARIANTS.register('two_choices')
def choose_two_choices(
    pool: CandidatePool,
    loads: LoadView,
    own_zone: str,
    now: float,
    draws: Sequence[float],
    turn: int = 0,
) -> Decision:
    """Decides for the less loaded of two random candidates.

    The two come from the own zone while the load of the better one is under
    the spill load, else from all zones, if the load there is lower by enough.
    If the own zone has returned recently or has only a cold member, this node
    prefers it only as often as the zone's share allows.
    """
    del turn
    if not pool.groups:
        raise errors.NoCandidateError('no usable member')
    groups = pool.groups
    weights = [
        group.cumulative_shares[-1]
        * zones.compute_share(pool.return_times, group.zone, now)
        for group in groups
    ]
    for position, group in enumerate(groups):
        if group.zone != own_zone:
            continue
        share = zones.compute_share(pool.return_times, own_zone, now)
        if draws[0] >= share * min(1.0, group.cumulative_shares[-1]):
            if len(groups) > 1:
                weights[position] = 0.0
            continue
        pair = _draw_pair((group,), (1.0,), draws)
        best, load = _pick_less_loaded(pair, loads)
        if load < loads.spill_load:
            return Decision(best)
        other, _ = _pick_less_loaded(_draw_pair(groups, weights, draws), loads)
        return Decision(_pick_if_gain(best, other, loads))
    pair = _draw_pair(groups, weights, draws)
    return Decision(_pick_less_loaded(pair, loads)[0])


@VARIANTS.register('round_robin')
def choose_round_robin(
    pool: CandidatePool,
    loads: LoadView,
    own_zone: str,
    now: float,
    draws: Sequence[float],
    turn: int = 0,
) -> Decision:
    """Decides for the candidates in rotation, whatever their load and zone."""
    del loads, own_zone, now, draws
    candidates = pool.candidates
    if not candidates:
        raise errors.NoCandidateError('no usable member')
    return Decision(candidates[turn % len(candidates)])


def build_pool(
    preset: Any,
    members: Iterable[Any],
    service: str,
    return_times: zones.ReturnTimes,
) -> CandidatePool:
    """Builds the pool of the candidates of a service.

    Args:
      preset: The preset in force, with lookups ``upstreams`` and ``zones``.
      members: Member records of the view.
      service: Name of the service.
      return_times: Times at which zones returned, in seconds.
    """
    evaluated = eligibility.evaluate_members(preset, members, service)
    chosen = [
        Candidate(
            member.vm,
            member.upstream,
            member.zone,
            preset.upstreams[member.upstream].slots,
            verdict.share,
        )
        for member, verdict in evaluated
        if verdict.share > 0
    ]
    return group_candidates(chosen, return_times)


def group_candidates(
    candidates: Iterable[Candidate], return_times: zones.ReturnTimes
) -> CandidatePool:
    """Builds a pool of candidates, ordered by zone and VM."""
    ordered = sorted(candidates, key=lambda c: (c.zone, c.vm))
    groups = []
    for zone, in_zone in itertools.groupby(ordered, key=lambda c: c.zone):
        group = tuple(in_zone)
        cumulative_shares = tuple(itertools.accumulate(c.share for c in group))
        groups.append(ZoneGroup(zone, group, cumulative_shares))
    return CandidatePool(tuple(groups), dict(return_times))


def explain(
    preset: Any,
    members: Iterable[Any],
    service: str,
    return_times: zones.ReturnTimes,
    loads: load_tables.LoadTable,
    now: float,
) -> list[Explanation]:
    """Returns for each member of a service whether it is usable, and why.

    Args:
      preset: The preset in force.
      members: Member records of the view.
      service: Name of the service.
      return_times: Times at which zones returned, in seconds.
      loads: Loads of members.
      now: Current time in seconds.
    """
    explained = []
    for member, verdict in eligibility.evaluate_members(
        preset, members, service
    ):
        upstream = preset.upstreams.get(member.upstream)
        zone_share = zones.compute_share(return_times, member.zone, now)
        load = loads.estimate(member.vm, upstream.slots if upstream else 1, now)
        reason = verdict.reason
        if verdict.share > 0 and zone_share < 1:
            reason += f'; zone returned, share {zone_share:.2f}'
        explained.append(
            Explanation(
                member.vm,
                member.upstream,
                member.zone,
                verdict.share > 0,
                reason,
                verdict.share * zone_share,
                load,
            )
        )
    return explained


def _draw_pair(
    groups: Sequence[ZoneGroup],
    weights: Sequence[float],
    draws: Sequence[float],
) -> tuple[Candidate, Candidate]:
    """Draws two candidates by weight, without replacement.

    Both are the same candidate if there is only one.
    """
    first_group = _find_position(list(itertools.accumulate(weights)), draws[1])
    group = groups[first_group]
    first_member = _find_position(group.cumulative_shares, draws[2])
    first = group.members[first_member]
    remaining = list(weights)
    remaining[first_group] *= 1.0 - first.share / group.cumulative_shares[-1]
    cumulative_weights = list(itertools.accumulate(remaining))
    if cumulative_weights[-1] <= 0.0:
        return first, first
    second_group = _find_position(cumulative_weights, draws[3])
    group = groups[second_group]
    if second_group != first_group:
        return (
            first,
            group.members[_find_position(group.cumulative_shares, draws[4])],
        )
    # The running sums after the first candidate include its share, which
    # must not be drawn again.
    target = draws[4] * (group.cumulative_shares[-1] - first.share)
    if target >= group.cumulative_shares[first_member] - first.share:
        target += first.share
    position = bisect.bisect_right(group.cumulative_shares, target)
    return first, group.members[min(position, len(group.members) - 1)]


def _find_position(sums: Sequence[float], draw: float) -> int:
    position = bisect.bisect_right(sums, draw * sums[-1])
    return min(position, len(sums) - 1)


def _pick_if_gain(
    own: Candidate, other: Candidate, loads: LoadView
) -> Candidate:
    """Returns another zone's candidate if its load is lower by enough.

    When all zones are overloaded, calls to other zones only cost bytes.
    """
    if other.zone == own.zone or loads.spill_gain is None:
        return other
    ratio = loads.table.compute_service_ratio(own.vm, other.vm)
    bound = loads.estimate(own) * ratio - loads.spill_gain
    return other if loads.estimate(other) < bound else own


def _pick_less_loaded(
    pair: tuple[Candidate, Candidate],
    loads: LoadView,
) -> tuple[Candidate, float]:
    first, second = pair
    first_load = loads.estimate(first)
    if second is first:
        return first, first_load
    second_load = loads.estimate(second)
    # A queue of the same length takes more time at a slower backend server.
    ratio = loads.table.compute_service_ratio(first.vm, second.vm)
    if second_load < first_load * ratio:
        return second, second_load
    return first, first_load
