"""Dry runs of the choice of a VM, for operators.

The choice itself is that of `choosers.Chooser`; nothing is sent or recorded.
"""

import collections
import math
import random
from collections.abc import Mapping
from typing import Any

import attrs

from jayseam import membership
from jayseam import routing
from jayseam.backends import dialects
from jayseam.calls import avoidances
from jayseam.calls import choosers
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import urgency

# Choices that a dry run makes; a share is exact to about 0.05.
N_CHOICES = 400
# Choices of which the result is listed one by one.
N_LISTED_CHOICES = 5
# The same loads and members give the same document each time.
_SEED = 1
_MS_PER_S = 1000


@attrs.frozen
class CandidateReport:
    """A member of a service of the route, and what becomes of it.

    Attributes:
      vm: Name of the VM.
      upstream: Name of the upstream that the VM serves.
      zone: Availability zone of the VM.
      service: Service of the upstream.
      state: State of the member and of its backend server.
      usable: Whether a first attempt may go to it.
      load: Load as this node knows it: calls in flight and queued over the
        limit.
      expected_s: Expected time to an answer, in seconds; None if unknown.
      probability: Share of the choices of the dry run that fell on it.
      reason: Why it is or isn't selected.
    """

    vm: str
    upstream: str
    zone: str
    service: str
    state: str
    usable: bool
    load: float
    expected_s: float | None
    probability: float
    reason: str


@attrs.frozen
class Decision:
    """The result of a dry run.

    Attributes:
      vm: VM that was chosen most often; None if there is none.
      is_random: Whether the choices differ.
      probability: Share of the choices that fell on the VM.
      n_choices: Number of choices made.
      first_choices: VMs of the first choices.
      strategy: Name of the selection strategy.
      own_zone: Zone at which the call enters.
    """

    vm: str | None
    is_random: bool
    probability: float
    n_choices: int
    first_choices: tuple[str, ...]
    strategy: str
    own_zone: str


@attrs.frozen
class Preview:
    """A decision, and all members among which it was made."""

    decision: Decision
    candidates: tuple[CandidateReport, ...]


def estimate_expected_s(
    loads: routing.loads.LoadTable, vm: str, load: float
) -> float | None:
    """Returns the expected time to an answer of a VM, in seconds.

    This is for strategies that don't estimate it themselves: the mean service
    time that the VM reported, times one more than the calls that wait over the
    limit.

    Args:
      loads: Loads of members.
      vm: Name of the VM.
      load: Load of the VM, (in flight + queued) / limit.

    Returns:
      None if the VM has reported no service time.
    """
    report = loads.get(vm).report
    if report is None or not report.service_s:
        return None
    return report.service_s * (1.0 + max(0.0, load - 1.0))


def build_profile(
    preset: Any,
    route: Any,
    now: float,
    workspace: str = '',
    dialect: dialects.Dialect = dialects.DEFAULT,
) -> choosers.CallProfile:
    """Returns the profile of a call that comes now with the route's timeout.

    Args:
      preset: Preset in force.
      route: Route of the call.
      now: Present time in seconds.
      workspace: Workspace of the call; empty if there is none.
      dialect: Header fields of callers, which tell how nested calls look.
    """
    caller = keys.Caller(workspace, '')
    objective = math.inf
    if not urgency.is_nested(preset, caller, dialect):
        objective = urgency.compute_objective(route, route.timeout_ms, now)
    deadline = now + route.timeout_ms / _MS_PER_S
    needs = routing.refusals.CallNeeds(
        workspace,
        urgency.rank_caller(preset, route, caller, dialect),
        min(objective, deadline) - now,
    )
    return choosers.CallProfile(route.name, needs)


def preview(
    chooser: choosers.Chooser,
    preset: Any,
    view: membership.views.View,
    route: Any,
    now: float,
    zone: str = '',
    workspace: str = '',
    dialect: dialects.Dialect = dialects.DEFAULT,
) -> Preview:
    """Returns how the first attempt of a call would choose its VM.

    Args:
      chooser: Chooser of the node.
      preset: Preset in force.
      view: Members known.
      route: Route of the call.
      now: Present time in seconds.
      zone: Zone at which the call enters; by default that of the node.
      workspace: Workspace of the call; empty if there is none.
      dialect: Header fields of callers, which tell how nested calls look.

    Raises:
      BadRequestError: If the preset has no such zone.
    """
    if zone and zone not in preset.zones:
        raise errors.BadRequestError(f'no zone {zone} in the preset')
    profile = build_profile(preset, route, now, workspace, dialect)
    chosen = _choose(
        chooser, preset, view, route, now, zone, workspace, profile
    )
    counts = collections.Counter(chosen)
    exclusions = chooser.list_exclusions(now, workspace, profile)
    explained = chooser.explain(preset, view, route, now)
    times = _estimate_times(
        chooser, preset, view, route, now, zone, profile, explained
    )
    reports = tuple(
        _report_candidate(
            explanation,
            exclusions.get(explanation.vm),
            counts[explanation.vm] / N_CHOICES,
            view,
            preset,
            times.get(explanation.vm),
        )
        for explanation in explained
    )
    vm, count = (counts.most_common(1) or [(None, 0)])[0]
    decision = Decision(
        vm,
        len(counts) > 1,
        count / N_CHOICES,
        N_CHOICES,
        tuple(chosen[:N_LISTED_CHOICES]),
        chooser.strategy,
        zone or chooser.own_zone,
    )
    return Preview(decision, reports)


def _choose(
    chooser: choosers.Chooser,
    preset: Any,
    view: membership.views.View,
    route: Any,
    now: float,
    zone: str,
    workspace: str,
    profile: choosers.CallProfile,
) -> list[str]:
    """Returns the VMs of all choices, in their order."""
    generator = random.Random(_SEED)
    services = [
        routing.matching.choose_service(route.targets, generator.random())
        for _ in range(N_CHOICES)
    ]
    by_service = {}
    for service, count in collections.Counter(services).items():
        draws = [
            [
                generator.random()
                for _ in range(routing.selection.DRAWS_PER_CHOICE)
            ]
            for _ in range(count)
        ]
        decisions = chooser.preview(
            preset, service, view, now, draws, zone, workspace, profile
        )
        by_service[service] = iter([d.candidate.vm for d in decisions])
    chosen = [next(by_service[service], None) for service in services]
    # A service without a usable member has no choice.
    return [vm for vm in chosen if vm is not None]


def _estimate_times(
    chooser: choosers.Chooser,
    preset: Any,
    view: membership.views.View,
    route: Any,
    now: float,
    zone: str,
    profile: choosers.CallProfile,
    explained: list[routing.selection.Explanation],
) -> Mapping[str, float | None]:
    """Returns expected times by VM: those that decide, if there are such."""
    if not chooser.estimates_time:
        return {
            e.vm: estimate_expected_s(chooser.loads, e.vm, e.load)
            for e in explained
        }
    times = {}
    for service, _ in route.targets:
        times |= chooser.estimate_times(
            preset, service, view, now, zone, profile
        )
    return times


def _report_candidate(
    explanation: routing.selection.Explanation,
    exclusion: avoidances.Exclusion | None,
    probability: float,
    view: membership.views.View,
    preset: Any,
    expected_s: float | None,
) -> CandidateReport:
    member = view.members[explanation.vm]
    upstream = preset.upstreams.get(explanation.upstream)
    return CandidateReport(
        vm=explanation.vm,
        upstream=explanation.upstream,
        zone=explanation.zone,
        service=member.service if upstream is None else upstream.service,
        state=f'{member.state}, {member.backend}',
        usable=probability > 0
        or (explanation.usable and not _is_passed_over(exclusion)),
        load=explanation.load,
        expected_s=expected_s,
        probability=probability,
        reason=_explain(explanation, exclusion, probability),
    )


def _is_passed_over(exclusion: avoidances.Exclusion | None) -> bool:
    return exclusion is not None and exclusion.kind != 'full'


def _explain(
    explanation: routing.selection.Explanation,
    exclusion: avoidances.Exclusion | None,
    probability: float,
) -> str:
    """Returns why a member is or isn't selected."""
    if not explanation.usable:
        return explanation.reason
    parts = [explanation.reason]
    if exclusion is not None:
        parts.append(exclusion.reason)
    if probability:
        if _is_passed_over(exclusion):
            parts.append('selected, as there is no other')
        else:
            parts.append('selected in a part of the choices')
    elif not _is_passed_over(exclusion):
        parts.append('others are preferred by load, zone or share')
    return '; '.join(parts)
