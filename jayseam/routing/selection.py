"""Choice of the upstream that runs a call.

`build_pool` turns the members of a service into a pool once for each view
and preset; `choose` picks from it for each call. Both are pure: the time,
the loads and the random numbers are arguments.

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
from jayseam.routing import errors
from jayseam.routing import loads as load_tables
from jayseam.routing import zones

VARIANTS: registries.Registry = registries.Registry('selection strategy')

# The own zone is left while the better of its two is at least this loaded. A
# greater load sends fewer bytes between zones and has calls wait longer.
DEFAULT_SPILL_LOAD = 0.8
COLD_SHARE = 0.3
# Random numbers in [0, 1) that a choice takes.
DRAWS = 5


@attrs.frozen
class Candidate:
    """A member that may run calls of a service.

    Attributes:
      vm: Name of the VM.
      upstream: Name of its position.
      zone: Its availability zone.
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
      sums: Running sums of their shares.
    """

    zone: str
    members: tuple[Candidate, ...]
    sums: tuple[float, ...]


@attrs.frozen
class Pool:
    """The candidates of a service.

    Attributes:
      groups: Candidates by zone, ordered by zone.
      returns: Times at which zones returned, in seconds.
    """

    groups: tuple[ZoneGroup, ...]
    returns: zones.Returns = {}

    @property
    def candidates(self) -> list[Candidate]:
        """All candidates, ordered by zone and VM."""
        return [member for group in self.groups for member in group.members]

    def exclude(self, vms: Iterable[str]) -> 'Pool':
        """Returns the pool without some VMs, for another try of a call."""
        gone = set(vms)
        kept = [c for c in self.candidates if c.vm not in gone]
        return group_candidates(kept, self.returns)


@attrs.frozen
class Explanation:
    """Why a member is or is not a candidate.

    Attributes:
      vm: Name of the VM.
      upstream: Name of its position.
      zone: Its availability zone.
      usable: Whether it is a candidate.
      reason: Plain words for an operator.
      share: Its weight in a draw, including the share of its zone.
      load: Its load as this node sees it.
    """

    vm: str
    upstream: str
    zone: str
    usable: bool
    reason: str
    share: float
    load: float


@attrs.frozen
class _Verdict:
    """Judgement of one member: a share above 0 makes it a candidate."""

    reason: str
    share: float = 0.0
    spare: bool = False


@attrs.frozen
class LoadView:
    """The loads of members at one time, as calls of a workspace feel them.

    Attributes:
      table: What is known of the members.
      workspace: The workspace; None for the loads of all workspaces together.
      now: Current time in seconds.
      spill_load: Load from which the own zone is left.
      spill_gain: Load by which a backend server elsewhere must be under that
        of the own zone; None if it need not.
    """

    table: load_tables.LoadTable
    workspace: str | None
    now: float
    spill_load: float = DEFAULT_SPILL_LOAD
    spill_gain: float | None = None

    def estimate(self, candidate: Candidate) -> float:
        """Returns the load of a candidate."""
        return self.table.estimate(
            candidate.vm, candidate.slots, self.now, self.workspace
        )


Strategy = Callable[
    [Pool, LoadView, str, float, Sequence[float], int], Candidate
]


def choose(
    pool: Pool,
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
    """Returns the candidate that a strategy chooses.

    Args:
      pool: Candidates of the service.
      loads: Loads of members.
      own_zone: Zone of this node.
      now: Current time in seconds.
      draws: `DRAWS` random numbers in [0, 1).
      turn: Number of choices made before, for ``round_robin``.
      strategy: Name of a variant in `VARIANTS`.
      workspace: Workspace of the call, if the load that matters is what delays
        its calls.
      spill_load: Load from which the own zone is left.
      spill_gain: Load by which a backend server elsewhere must be under that
        of the own zone; None if it need not.

    Raises:
      NoCandidateError: If the pool is empty.
      UnknownVariantError: If there is no such strategy.
    """
    view = LoadView(loads, workspace, now, spill_load, spill_gain)
    return VARIANTS.get(strategy)(pool, view, own_zone, now, draws, turn)


@VARIANTS.register('two_choices')
def choose_two_choices(
    pool: Pool,
    loads: LoadView,
    own_zone: str,
    now: float,
    draws: Sequence[float],
    turn: int = 0,
) -> Candidate:
    """Returns the less loaded of two random candidates.

    The two come from the own zone while the better of them is loaded under
    the spill load, else from all zones, if that gains enough. A returned zone,
    or one with only a cold member, is preferred by its own entries only as
    often as its share allows.
    """
    del turn
    if not pool.groups:
        raise errors.NoCandidateError('no usable member')
    groups = pool.groups
    weights = [
        group.sums[-1] * zones.compute_share(pool.returns, group.zone, now)
        for group in groups
    ]
    for position, group in enumerate(groups):
        if group.zone != own_zone:
            continue
        share = zones.compute_share(pool.returns, own_zone, now)
        if draws[0] >= share * min(1.0, group.sums[-1]):
            if len(groups) > 1:
                weights[position] = 0.0
            continue
        pair = _draw_pair((group,), (1.0,), draws)
        best, load = _pick_better(pair, loads)
        if load < loads.spill_load:
            return best
        other, _ = _pick_better(_draw_pair(groups, weights, draws), loads)
        return _pick_for_gain(best, other, loads)
    return _pick_better(_draw_pair(groups, weights, draws), loads)[0]


@VARIANTS.register('round_robin')
def choose_round_robin(
    pool: Pool,
    loads: LoadView,
    own_zone: str,
    now: float,
    draws: Sequence[float],
    turn: int = 0,
) -> Candidate:
    """Returns the candidates in turn, whatever their load and zone."""
    del loads, own_zone, now, draws
    candidates = pool.candidates
    if not candidates:
        raise errors.NoCandidateError('no usable member')
    return candidates[turn % len(candidates)]


def build_pool(
    preset: Any,
    members: Iterable[Any],
    service: str,
    returns: zones.Returns,
) -> Pool:
    """Returns the candidates of a service.

    Args:
      preset: The preset in force, with lookups ``upstreams`` and ``zones``.
      members: Member records of the view.
      service: Name of the service.
      returns: Times at which zones returned, in seconds.
    """
    judged = _judge_members(preset, members, service)
    chosen = [
        Candidate(
            member.vm,
            member.upstream,
            member.zone,
            preset.upstreams[member.upstream].slots,
            verdict.share,
        )
        for member, verdict in judged
        if verdict.share > 0
    ]
    return group_candidates(chosen, returns)


def group_candidates(
    candidates: Iterable[Candidate], returns: zones.Returns
) -> Pool:
    """Returns a pool of candidates, ordered by zone and VM."""
    ordered = sorted(candidates, key=lambda c: (c.zone, c.vm))
    groups = []
    for zone, in_zone in itertools.groupby(ordered, key=lambda c: c.zone):
        group = tuple(in_zone)
        sums = tuple(itertools.accumulate(c.share for c in group))
        groups.append(ZoneGroup(zone, group, sums))
    return Pool(tuple(groups), dict(returns))


def explain(
    preset: Any,
    members: Iterable[Any],
    service: str,
    returns: zones.Returns,
    loads: load_tables.LoadTable,
    now: float,
) -> list[Explanation]:
    """Tells for each member of a service whether it is usable, and why.

    Args:
      preset: The preset in force.
      members: Member records of the view.
      service: Name of the service.
      returns: Times at which zones returned, in seconds.
      loads: Loads of members.
      now: Current time in seconds.
    """
    explained = []
    for member, verdict in _judge_members(preset, members, service):
        upstream = preset.upstreams.get(member.upstream)
        zone_share = zones.compute_share(returns, member.zone, now)
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


def _judge_members(
    preset: Any, members: Iterable[Any], service: str
) -> list[tuple[Any, _Verdict]]:
    """Returns the members of the service with their verdicts."""
    own = [m for m in members if _find_service(preset, m) == service]
    newest: dict[str, Any] = {}
    for member in own:
        held = newest.get(member.upstream)
        if held is None or member.incarnation > held.incarnation:
            newest[member.upstream] = member
    judged = [(m, _judge(preset, m, newest[m.upstream])) for m in own]
    if any(v.share > 0 and not v.spare for _, v in judged):
        judged = [
            (m, attrs.evolve(v, share=0.0) if v.spare else v) for m, v in judged
        ]
    return judged


def _find_service(preset: Any, member: Any) -> str:
    """Returns the service of a member; the preset outranks the record."""
    upstream = preset.upstreams.get(member.upstream)
    return member.service if upstream is None else upstream.service


def _judge(preset: Any, member: Any, newest: Any) -> _Verdict:
    """Judges one member by itself.

    Suspect and replaced members are spare: they are candidates only when a
    service has no other.
    """
    upstream = preset.upstreams.get(member.upstream)
    if upstream is None:
        return _Verdict('upstream is not in the preset')
    for name in (member.zone, upstream.zone):
        zone = preset.zones.get(name)
        if zone is None or not zone.in_service:
            return _Verdict(f'zone {name} is out of service')
    if member.state not in ('alive', 'suspect'):
        return _Verdict(f'member is {member.state}')
    if member.backend not in ('ready', 'cold'):
        return _Verdict(f'backend server is {member.backend}')
    # Where calls of a cold server are spaced, its load tells how many it takes.
    is_held_back = member.backend == 'cold' and not upstream.ramp.rate_per_s
    share = COLD_SHARE if is_held_back else 1.0
    if member.state == 'suspect':
        reason = 'member is suspect; used only without another candidate'
        return _Verdict(reason, share, spare=True)
    if member is not newest and _is_warm_or_cold(newest):
        reason = f'replaced by {newest.vm}; used only without another'
        return _Verdict(reason, share, spare=True)
    if member.backend == 'cold':
        return _Verdict('usable; cold, with less share', share)
    return _Verdict('usable', share)


def _is_warm_or_cold(member: Any) -> bool:
    return member.state == 'alive' and member.backend in ('ready', 'cold')


def _draw_pair(
    groups: Sequence[ZoneGroup],
    weights: Sequence[float],
    draws: Sequence[float],
) -> tuple[Candidate, Candidate]:
    """Draws two candidates by weight, without replacement.

    Both are the same one if there is no other.
    """
    at = _find_position(list(itertools.accumulate(weights)), draws[1])
    group = groups[at]
    inner = _find_position(group.sums, draws[2])
    first = group.members[inner]
    left = list(weights)
    left[at] *= 1.0 - first.share / group.sums[-1]
    sums = list(itertools.accumulate(left))
    if sums[-1] <= 0.0:
        return first, first
    at_second = _find_position(sums, draws[3])
    group = groups[at_second]
    if at_second != at:
        return first, group.members[_find_position(group.sums, draws[4])]
    # Positions in the running sums beyond the first one skip its share.
    target = draws[4] * (group.sums[-1] - first.share)
    if target >= group.sums[inner] - first.share:
        target += first.share
    position = bisect.bisect_right(group.sums, target)
    return first, group.members[min(position, len(group.members) - 1)]


def _find_position(sums: Sequence[float], draw: float) -> int:
    position = bisect.bisect_right(sums, draw * sums[-1])
    return min(position, len(sums) - 1)


def _pick_for_gain(
    own: Candidate, other: Candidate, loads: LoadView
) -> Candidate:
    """Returns another zone's candidate if it is less loaded by enough.

    When all zones are overloaded, going elsewhere only costs bytes.
    """
    if other.zone == own.zone or loads.spill_gain is None:
        return other
    ratio = loads.table.compare_service(own.vm, other.vm)
    bound = loads.estimate(own) * ratio - loads.spill_gain
    return other if loads.estimate(other) < bound else own


def _pick_better(
    pair: tuple[Candidate, Candidate],
    loads: LoadView,
) -> tuple[Candidate, float]:
    first, second = pair
    first_load = loads.estimate(first)
    if second is first:
        return first, first_load
    second_load = loads.estimate(second)
    # A queue of the same length takes longer at a slower backend server.
    ratio = loads.table.compare_service(first.vm, second.vm)
    if second_load < first_load * ratio:
        return second, second_load
    return first, first_load
