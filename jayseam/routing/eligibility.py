"""Which members may run calls of a service, and why."""

from collections.abc import Iterable
from typing import Any

import attrs

# Weight of a cold member in a random draw.
COLD_SHARE = 0.3


@attrs.frozen
class Eligibility:
    """Whether one member may run calls.

    Attributes:
      reason: Explanation for an operator.
      share: Weight in a random draw; above 0 for a candidate.
      is_fallback: Whether the member is used only when there is no other.
    """

    reason: str
    share: float = 0.0
    is_fallback: bool = False


def evaluate_members(
    preset: Any, members: Iterable[Any], service: str
) -> list[tuple[Any, Eligibility]]:
    """Returns the members of the service with their verdicts."""
    in_service = [m for m in members if _find_service(preset, m) == service]
    newest: dict[str, Any] = {}
    for member in in_service:
        known = newest.get(member.upstream)
        if known is None or member.incarnation > known.incarnation:
            newest[member.upstream] = member
    evaluated = [
        (m, _evaluate_member(preset, m, newest[m.upstream])) for m in in_service
    ]
    if any(e.share > 0 and not e.is_fallback for _, e in evaluated):
        evaluated = [
            (m, attrs.evolve(e, share=0.0) if e.is_fallback else e)
            for m, e in evaluated
        ]
    return evaluated


def _find_service(preset: Any, member: Any) -> str:
    """Returns the service of a member, by the preset if it knows it."""
    upstream = preset.upstreams.get(member.upstream)
    return member.service if upstream is None else upstream.service


def _evaluate_member(preset: Any, member: Any, newest: Any) -> Eligibility:
    """Evaluates one member by itself.

    Suspect and replaced members are candidates only when the service has no
    other.
    """
    upstream = preset.upstreams.get(member.upstream)
    if upstream is None:
        return Eligibility('upstream is not in the preset')
    for name in (member.zone, upstream.zone):
        zone = preset.zones.get(name)
        if zone is None or not zone.in_service:
            return Eligibility(f'zone {name} is out of service')
    if member.state not in ('alive', 'suspect'):
        return Eligibility(f'member is {member.state}')
    if member.backend not in ('ready', 'cold'):
        return Eligibility(f'backend server is {member.backend}')
    # If calls to a cold server are paced, its load shows how many it can take.
    has_reduced_share = (
        member.backend == 'cold' and not upstream.ramp.rate_per_s
    )
    share = COLD_SHARE if has_reduced_share else 1.0
    if member.state == 'suspect':
        reason = 'member is suspect; used only without another candidate'
        return Eligibility(reason, share, is_fallback=True)
    if member is not newest and _can_run_calls(newest):
        reason = f'replaced by {newest.vm}; used only without another'
        return Eligibility(reason, share, is_fallback=True)
    if member.backend == 'cold':
        return Eligibility('usable; cold, with less share', share)
    return Eligibility('usable', share)


def _can_run_calls(member: Any) -> bool:
    return member.state == 'alive' and member.backend in ('ready', 'cold')
