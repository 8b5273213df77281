"""Failure detection of the members that a node monitors.

A member that stays silent becomes suspect, and other members are asked to probe
it; if no sign of life follows, it becomes dead. Time during which the observing
process itself was paused does not count as silence, and both timeouts are
doubled for ``EXTENDED_TIMEOUTS_S`` after such a pause.

References:
  Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
  process group membership protocol", DSN 2002.
"""

import types
from collections.abc import Iterable, Mapping

import attrs

TICK_S = 0.1
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 1.5
# A longer gap between ticks means that this process was paused. A tick may be
# two intervals late: one missed tick and the jitter of the scheduler.
MAX_TICK_GAP_S = 0.3
EXTENDED_TIMEOUTS_S = 5.0


@attrs.frozen
class MonitoredMember:
    """State of the failure detector for one member.

    Attributes:
      heard_at: Time of the last sign of life, in seconds.
      suspected_at: Time at which the member became suspect, or None.
      probed_at: Time at which others were last asked to probe it, in seconds.
      indirect: Whether the last sign of life came through another member.
    """

    heard_at: float
    suspected_at: float | None = None
    probed_at: float = float('-inf')
    indirect: bool = False


@attrs.frozen
class Verdict:
    """An action that the observer must take.

    Attributes:
      vm: The member.
      kind: ``probe``, ``suspect`` or ``dead``.
    """

    vm: str
    kind: str


@attrs.frozen
class Detector:
    """State of the failure detector of one node.

    Attributes:
      members: State of each monitored member, by VM.
      ticked_at: Time of the last tick, in seconds.
      extended_until: End of the period in which the timeouts are doubled.
    """

    members: Mapping[str, MonitoredMember]
    ticked_at: float
    extended_until: float = float('-inf')


def create_detector(now: float) -> Detector:
    """Returns a detector that monitors no member yet."""
    return Detector(types.MappingProxyType({}), now)


def set_monitored(
    detector: Detector, vms: Iterable[str], now: float
) -> Detector:
    """Returns a detector that monitors ``vms``.

    The silence of a new member is measured from ``now``. A suspect member is
    monitored until it shows a sign of life or becomes dead, even if it is no
    longer among ``vms``.
    """
    members = {
        vm: member
        for vm, member in detector.members.items()
        if member.suspected_at is not None
    }
    for vm in vms:
        members[vm] = detector.members.get(vm) or MonitoredMember(now)
    return _replace(detector, members)


def record_sign_of_life(
    detector: Detector, vm: str, now: float, indirect: bool = False
) -> Detector:
    """Returns the detector after a sign of life of ``vm``.

    A sign of life ends the suspicion of a member; one of a member that is not
    monitored is ignored.
    """
    if vm not in detector.members:
        return detector
    members = dict(detector.members)
    members[vm] = MonitoredMember(now, None, members[vm].probed_at, indirect)
    return _replace(detector, members)


def tick(detector: Detector, now: float) -> Detector:
    """Returns the detector after a tick of the observer.

    A late tick means that the observer was paused, so the times of the last
    sign of life and of the suspicion move forward by the gap, and the timeouts
    are doubled for ``EXTENDED_TIMEOUTS_S``.

    >>> detector = set_monitored(create_detector(0.0), ['a'], now=0.0)
    >>> paused = tick(detector, now=60.0)
    >>> paused.members['a'].heard_at, paused.extended_until
    (60.0, 65.0)
    """
    gap = now - detector.ticked_at
    if gap <= MAX_TICK_GAP_S:
        return attrs.evolve(detector, ticked_at=now)
    members = {
        vm: attrs.evolve(
            member,
            heard_at=min(member.heard_at + gap, now),
            suspected_at=_shift(member.suspected_at, gap, now),
        )
        for vm, member in detector.members.items()
    }
    return Detector(
        types.MappingProxyType(members), now, now + EXTENDED_TIMEOUTS_S
    )


def evaluate(
    detector: Detector, now: float
) -> tuple[Detector, tuple[Verdict, ...]]:
    """Applies the timeouts at ``now``.

    Call `tick` with the same ``now`` first.

    Returns:
      The new detector and the verdicts on members that exceeded a timeout.
    """
    factor = 2.0 if now < detector.extended_until else 1.0
    verdicts: list[Verdict] = []
    members = {}
    for vm, member in detector.members.items():
        kinds, updated = _evaluate_member(member, now, factor)
        verdicts += [Verdict(vm, kind) for kind in kinds]
        if 'dead' not in kinds:
            members[vm] = updated
    if not verdicts:
        return detector, ()
    return _replace(detector, members), tuple(verdicts)


def _evaluate_member(
    member: MonitoredMember, now: float, factor: float
) -> tuple[tuple[str, ...], MonitoredMember]:
    if member.suspected_at is not None:
        if now - member.suspected_at >= DEAD_AFTER_S * factor:
            return ('dead',), member
        return (), member
    silence = now - member.heard_at
    if silence >= SUSPECT_AFTER_S * factor:
        updated = attrs.evolve(member, suspected_at=now, probed_at=now)
        return ('suspect', 'probe'), updated
    # A member that only others can reach is probed after half the timeout, so
    # that it does not become suspect again and again.
    early = member.indirect and silence >= SUSPECT_AFTER_S * factor / 2
    if early and member.probed_at <= member.heard_at:
        return ('probe',), attrs.evolve(member, probed_at=now)
    return (), member


def _shift(time: float | None, gap: float, now: float) -> float | None:
    return None if time is None else min(time + gap, now)


def _replace(
    detector: Detector, members: dict[str, MonitoredMember]
) -> Detector:
    return attrs.evolve(detector, members=types.MappingProxyType(members))
