"""Failure detection of the members that a node watches.

A silent member becomes suspect, and others are asked to probe it; without any
sign of life it becomes dead. Time during which the observer itself did not run
never counts as silence, and doubles both limits for a while.

References:
  Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
  process group membership protocol", DSN 2002.
"""

import types
from collections.abc import Iterable, Mapping

import attrs

TICK_S = 0.1
SUSPECT_S = 1.5
DEAD_S = 1.5
# Two ticks late: one missed tick and the jitter of the scheduler.
LATE_S = 0.3
SLOW_PERIOD_S = 5.0


@attrs.frozen
class Watch:
    """What the observer knows of one member.

    Attributes:
      heard_at: Time of the last sign of life, in seconds.
      suspected_at: Time of the suspicion, or None.
      probed_at: Time of the last request to probe it, in seconds.
      indirect: Whether the last sign of life came through another member.
    """

    heard_at: float
    suspected_at: float | None = None
    probed_at: float = float('-inf')
    indirect: bool = False


@attrs.frozen
class Verdict:
    """A step that the observer must take.

    Attributes:
      vm: The member.
      kind: ``probe``, ``suspect`` or ``dead``.
    """

    vm: str
    kind: str


@attrs.frozen
class Detector:
    """State of the detection at one observer.

    Attributes:
      watches: What is known of each watched member, by VM.
      ticked_at: Time of the last tick, in seconds.
      slow_until: End of the period in which the limits are doubled.
    """

    watches: Mapping[str, Watch]
    ticked_at: float
    slow_until: float = float('-inf')


def create_detector(now: float) -> Detector:
    """Returns a detector that watches nobody yet."""
    return Detector(types.MappingProxyType({}), now)


def follow(detector: Detector, vms: Iterable[str], now: float) -> Detector:
    """Returns a detector that watches ``vms``.

    A new member counts as heard now. Suspects are watched until they are
    heard or dead, even if they are no longer among ``vms``.
    """
    watches = {
        vm: watch
        for vm, watch in detector.watches.items()
        if watch.suspected_at is not None
    }
    for vm in vms:
        watches[vm] = detector.watches.get(vm) or Watch(now)
    return _replace(detector, watches)


def hear(
    detector: Detector, vm: str, now: float, indirect: bool = False
) -> Detector:
    """Returns the detector after a sign of life of ``vm``."""
    if vm not in detector.watches:
        return detector
    watches = dict(detector.watches)
    watches[vm] = Watch(now, None, watches[vm].probed_at, indirect)
    return _replace(detector, watches)


def tick(detector: Detector, now: float) -> Detector:
    """Returns the detector after a tick of the observer.

    If the tick is late, the observer did not run in between, so every point in
    time moves forward by the gap and the limits are doubled for a while.

    >>> detector = follow(create_detector(0.0), ['a'], now=0.0)
    >>> paused = tick(detector, now=60.0)
    >>> paused.watches['a'].heard_at, paused.slow_until
    (60.0, 65.0)
    """
    gap = now - detector.ticked_at
    if gap <= LATE_S:
        return attrs.evolve(detector, ticked_at=now)
    watches = {
        vm: attrs.evolve(
            watch,
            heard_at=min(watch.heard_at + gap, now),
            suspected_at=_shift(watch.suspected_at, gap, now),
        )
        for vm, watch in detector.watches.items()
    }
    return Detector(types.MappingProxyType(watches), now, now + SLOW_PERIOD_S)


def judge(
    detector: Detector, now: float
) -> tuple[Detector, tuple[Verdict, ...]]:
    """Returns the detector after its verdicts at ``now``, and the verdicts.

    Call `tick` with the same ``now`` first.
    """
    factor = 2.0 if now < detector.slow_until else 1.0
    verdicts: list[Verdict] = []
    watches = {}
    for vm, watch in detector.watches.items():
        kinds, judged = _judge_one(watch, now, factor)
        verdicts += [Verdict(vm, kind) for kind in kinds]
        if 'dead' not in kinds:
            watches[vm] = judged
    if not verdicts:
        return detector, ()
    return _replace(detector, watches), tuple(verdicts)


def _judge_one(
    watch: Watch, now: float, factor: float
) -> tuple[tuple[str, ...], Watch]:
    if watch.suspected_at is not None:
        if now - watch.suspected_at >= DEAD_S * factor:
            return ('dead',), watch
        return (), watch
    silence = now - watch.heard_at
    if silence >= SUSPECT_S * factor:
        judged = attrs.evolve(watch, suspected_at=now, probed_at=now)
        return ('suspect', 'probe'), judged
    # A member that only others reach is probed early, so that it does not
    # become suspect again and again.
    early = watch.indirect and silence >= SUSPECT_S * factor / 2
    if early and watch.probed_at <= watch.heard_at:
        return ('probe',), attrs.evolve(watch, probed_at=now)
    return (), watch


def _shift(time: float | None, gap: float, now: float) -> float | None:
    return None if time is None else min(time + gap, now)


def _replace(detector: Detector, watches: dict[str, Watch]) -> Detector:
    return attrs.evolve(detector, watches=types.MappingProxyType(watches))
