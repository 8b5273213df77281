"""A limit on the calls in flight that follows the answers of the server.

The ramp variant ``answers`` doubles the limit for each round of good answers
while the limit is reached, holds it while answers are slow, and halves it when
they worsen or when the backend server resets, sheds or fails calls.

See Also:
  ``docs/design/pace.md``.
"""

import enum
import math
from collections.abc import Callable

import attrs

from jayseam.admission import averages
from jayseam.admission import baselines as service_baselines
from jayseam.admission import ramps
from jayseam.admission import tickets

# Share of the slots that are allowed when a server has just started.
START_SHARE = 0.25
# Answers under one limit before it may be halved for slowness or errors.
MIN_ANSWERS = 4
# Service times over the baseline from which the limit is held.
HOLD_RATIO = 1.4
# Service times over the baseline from which the limit is halved. Below 2, so
# that doubling the calls at a server without spare capacity is noticed.
CUT_RATIO = 1.8
# A halved limit has helped if service times fell by this factor.
GAIN_RATIO = 1.3
# Slowness up to which a limit that makes no difference is kept.
MAX_TOLERATED_RATIO = 8.0
# Share of failed answers from which the limit is halved, down to half of the
# slots. Requests also fail because a nested call failed elsewhere, which a
# lower limit would not change.
ERROR_SHARE = 0.5
# Shortest and longest time between two steps of the limit past a value that has
# failed, in seconds. It doubles when the same value fails again, because each
# failed step may cost calls that can't be repeated.
MIN_PROBE_S = 0.5
MAX_PROBE_S = 2.0
# Time for which the limit grows by steps of one past a value that has failed,
# in seconds. With 2 s, a server with a cold start of 10 s fell over three times
# because its limit was doubled between two failures.
FAILED_MEMORY_S = 8.0
# Least answers in a round. Two answers, one of which ran alone, don't show that
# twice the limit is safe.
MIN_ROUND = 3
# Least and greatest time in which an unused limit doubles, in seconds, and the
# least number of service times. Calls that are still running give no answers,
# so a slow server would otherwise look idle.
RECOVERY_S = 1.0
MAX_RECOVERY_S = 5.0
RECOVERY_SERVICE_TIMES = 4.0
# Weight of a sample in the service time that bounds the recovery.
SERVICE_TIME_WEIGHT = 0.3

_START = 'start'


class Phase(enum.Enum):
    """What the limit does at present."""

    FULL = 'full'
    RISING = 'rising'
    HOLDING = 'holding'
    REDUCED = 'reduced'


@attrs.frozen
class Cut:
    """The last reduction of the limit.

    Attributes:
      value: Limit before it.
      at: Time of it in seconds.
      probe_s: Time between two steps of the limit past ``value``, in seconds.
      log_ratio: Slowness before it; None if it had another reason or if its
        effect has been judged.
    """

    value: float
    at: float
    probe_s: float = MIN_PROBE_S
    log_ratio: float | None = None

    def bounds_growth(self, now: float) -> bool:
        """Returns whether the limit still grows slowly past ``value``."""
        return now < self.at + FAILED_MEMORY_S


@ramps.VARIANTS.register('answers')
@attrs.frozen
class AnswerPace(ramps.Ramp):
    """Limit, baselines and what has been seen under the present limit.

    Attributes:
      initial_slots: Greatest limit at a start.
      slots: Greatest limit.
      duration_s: Length of a cold start in seconds; an unused limit recovers
        no sooner after a start.
      started_at: Time of the last start, in seconds.
      value: Limit before rounding down, as of `since`.
      since: Time from which an unused limit recovers, in seconds.
      valid_from: Time of the last change of the limit, start or pause, in
        seconds. Calls that started earlier ran under other conditions.
      answers: Good answers in this round.
      was_reached: Whether the limit was reached in this round.
      slowness: Averages under the present limit.
      service_s: Moving average of service times, in seconds.
      tolerated: Logarithm of the slowness that a lower limit didn't change.
      cut: The last reduction.
      baselines: Usual service times.
      phase: What the limit does at present.
      reason: Why the limit last changed.
      changes: Number of changes of the limit.
    """

    # Two mechanisms that cut and raise the limit on their own would fight.
    adapts_to_answers = True

    initial_slots: int
    slots: int
    duration_s: float
    started_at: float | None = None
    value: float = attrs.Factory(
        lambda self: float(max(1, self.slots)), takes_self=True
    )
    since: float = -math.inf
    valid_from: float = -math.inf
    answers: int = 0
    was_reached: bool = False
    slowness: averages.Slowness = averages.Slowness()
    service_s: float = 0.0
    tolerated: float = 0.0
    cut: Cut | None = None
    baselines: service_baselines.Baselines = service_baselines.Baselines()
    phase: Phase = Phase.FULL
    reason: str = ''
    changes: int = 0

    def restart(self, now: float) -> 'AnswerPace':
        """Returns the pace of a backend server that started at ``now``.

        >>> AnswerPace(6, 6, 3.0).restart(100.0).compute_limit(100.0)
        2
        """
        value = _compute_start(self.initial_slots, self.slots)
        pace = attrs.evolve(
            self,
            started_at=now,
            slowness=averages.Slowness(),
            tolerated=0.0,
            cut=None,
        )
        return pace._change(value, now, _START, Phase.RISING)

    def resize(
        self, initial_slots: int, slots: int, duration_s: float
    ) -> 'AnswerPace':
        """Returns the pace under other slots; a lowered limit stays lowered."""
        if self.reason == _START:
            # The start may be known before the slots are.
            value = _compute_start(initial_slots, slots)
        elif self.value >= self.slots:
            value = float(slots)
        else:
            value = min(self.value, float(slots))
        return attrs.evolve(
            self,
            initial_slots=initial_slots,
            slots=slots,
            duration_s=duration_s,
            value=max(1.0, value),
        )

    def compute_limit(self, now: float) -> int:
        """Returns the number of calls allowed in flight at ``now``.

        >>> pace = AnswerPace(6, 6, 1.0).restart(100.0)
        >>> [pace.compute_limit(at) for at in (100.9, 101.0, 102.0)]
        [2, 4, 6]
        """
        value = self.value * 2.0 ** self._count_recoveries(now)
        return max(1, min(self.slots, math.floor(value)))

    def compute_next_step(self, now: float) -> float | None:
        """Returns the time at which an unused limit next grows, in seconds."""
        if self.compute_limit(now) >= self.slots:
            return None
        steps = self._count_recoveries(now) + 1
        return self.since + steps * self._compute_recovery_time()

    def record(
        self, result: tickets.Result, sample: ramps.Sample
    ) -> 'AnswerPace':
        """Returns the pace after a call has ended."""
        recorder = _RECORDERS.get(result)
        if recorder is None or sample.started_at < self.valid_from:
            return self
        pace = self._recover(sample.ended_at)
        service_s = pace.service_s + SERVICE_TIME_WEIGHT * (
            sample.service_s - pace.service_s
        )
        return recorder(attrs.evolve(pace, service_s=service_s), sample)

    def record_pause(self, now: float) -> 'AnswerPace':
        """Returns the pace after a pause of this process.

        Calls that started before ``now`` are ignored: their times include the
        pause, and the server may have closed their connections because of it.
        """
        since = max(now, self.since)
        return attrs.evolve(self._start_round(), valid_from=now, since=since)

    def record_answer(self, sample: ramps.Sample) -> 'AnswerPace':
        """Returns the pace after a complete answer."""
        ratio = self.baselines.compare(sample.kind, sample.service_s)
        limit = max(1, math.floor(self.value))
        slowness = self.slowness.add_outcome(False)
        if ratio is not None:
            spread = self.baselines.get_spread(sample.kind)
            slowness = slowness.add_ratio(ratio, spread)
        pace = attrs.evolve(
            self,
            slowness=slowness,
            answers=self.answers + 1,
            was_reached=self.was_reached or sample.in_flight >= limit,
        )
        pace = pace._learn(sample)
        if pace.was_reached or pace._is_slow():
            # Time alone raises only a limit that is neither reached nor needed.
            pace = attrs.evolve(pace, since=sample.ended_at)
        if pace._is_slow() and pace.slowness.count > 2 * max(
            MIN_ANSWERS, limit
        ):
            # The averages still contain answers from before the server became
            # slow. The effect of a cut is judged by the slowness before it, so
            # that is measured anew.
            return attrs.evolve(
                pace._start_round(),
                slowness=averages.Slowness(),
                phase=Phase.HOLDING,
            )
        if pace.answers >= max(MIN_ROUND, limit):
            return pace._end_round(sample.ended_at)
        return pace

    def record_timeout(self, sample: ramps.Sample) -> 'AnswerPace':
        """Returns the pace after a call that had no answer in its time.

        Its service time is unknown but longer than its time, so it counts only
        if that was already slow.
        """
        ratio = self.baselines.compare(sample.kind, sample.service_s)
        if ratio is None or ratio - self.tolerated <= math.log(HOLD_RATIO):
            return self
        spread = self.baselines.get_spread(sample.kind)
        pace = attrs.evolve(
            self,
            slowness=self.slowness.add_ratio(ratio, spread),
            answers=self.answers + 1,
            since=sample.ended_at,
        )
        if pace.answers >= max(MIN_ROUND, math.floor(pace.value)):
            return pace._end_round(sample.ended_at)
        return pace

    def record_error(self, sample: ramps.Sample) -> 'AnswerPace':
        """Returns the pace after an answer that reports a failure."""
        slowness = self.slowness.add_outcome(True)
        pace = attrs.evolve(self, slowness=slowness)
        is_failing = (
            slowness.outcomes >= MIN_ANSWERS
            and slowness.error_share > ERROR_SHARE
        )
        if is_failing and 2.0 * self.value > self.slots:
            return pace._reduce(sample.ended_at, 'error', None)
        return pace

    def record_shed(self, sample: ramps.Sample) -> 'AnswerPace':
        """Returns the pace after the server shed a call."""
        return self._reduce(sample.ended_at, 'shed', None)

    def record_reset(self, sample: ramps.Sample) -> 'AnswerPace':
        """Returns the pace after the server closed a call's connection."""
        return self._reduce(sample.ended_at, 'reset', None)

    def _is_slow(self) -> bool:
        return self._compute_excess() > math.log(HOLD_RATIO)

    def _compute_excess(self) -> float:
        """Returns the slowness beyond the tolerated and beyond chance."""
        chance = self.slowness.estimate_error()
        return self.slowness.log_ratio - self.tolerated - chance

    def _learn(self, sample: ramps.Sample) -> 'AnswerPace':
        """Returns the pace with the sample in the baseline of its kind."""
        weight = service_baselines.BUSY_WEIGHT
        faster = -self.slowness.log_ratio - self.slowness.estimate_error()
        if self.slowness.count >= MIN_ANSWERS and faster > math.log(HOLD_RATIO):
            weight = service_baselines.FASTER_WEIGHT
        elif (
            self.phase in (Phase.FULL, Phase.RISING)
            and not self._is_slow()
            and self.tolerated <= 0.0
            and 2 * sample.in_flight <= max(2, self.slots)
        ):
            weight = service_baselines.CALM_WEIGHT
        learned = self.baselines.learn(sample.kind, sample.service_s, weight)
        return attrs.evolve(self, baselines=learned)

    def _end_round(self, now: float) -> 'AnswerPace':
        """Returns the pace after a round: raised, held or reduced."""
        enough = self.slowness.count >= MIN_ANSWERS
        if enough and self._compute_excess() > math.log(CUT_RATIO):
            return self._handle_slowness(now)
        pace = self._start_round()
        if pace.cut is not None and enough:
            judged = attrs.evolve(pace.cut, log_ratio=None)
            pace = attrs.evolve(pace, cut=judged)
        if self._is_slow() and not enough:
            return attrs.evolve(self, since=now, phase=Phase.HOLDING)
        if self._is_slow():
            return attrs.evolve(
                pace,
                slowness=averages.Slowness(),
                since=now,
                phase=Phase.HOLDING,
            )
        if enough and self.slowness.log_ratio < self.tolerated:
            tolerated = max(0.0, self.slowness.log_ratio)
            pace = attrs.evolve(pace, tolerated=tolerated)
        value = pace._compute_raised(now)
        if self.was_reached and value > pace.value:
            pace = pace._shorten_probes()
            return pace._change(value, now, 'raise', Phase.RISING)
        if pace.phase is Phase.HOLDING:
            full = pace.value >= pace.slots
            phase = Phase.FULL if full else Phase.RISING
            pace = attrs.evolve(pace, phase=phase)
        return pace

    def _handle_slowness(self, now: float) -> 'AnswerPace':
        """Returns the pace after a round of answers that have worsened.

        A lower limit that doesn't make the answers faster is taken back: the
        server is slow for another reason, and fewer calls would only be lost.
        """
        log_ratio = self.slowness.log_ratio
        is_tolerable = log_ratio <= math.log(MAX_TOLERATED_RATIO)
        was_cut = self.cut is not None and self.cut.log_ratio is not None
        has_helped = not was_cut or log_ratio < self.cut.log_ratio - math.log(
            GAIN_RATIO
        )
        if is_tolerable and not has_helped:
            value = max(self.value, self.cut.value)
            pace = attrs.evolve(self, tolerated=log_ratio, cut=None)
            return pace._change(value, now, 'restore', Phase.HOLDING)
        if self.value < 2.0:
            return attrs.evolve(
                self._start_round(),
                tolerated=log_ratio if is_tolerable else self.tolerated,
                since=now,
                phase=Phase.HOLDING,
            )
        return self._reduce(now, 'slow', log_ratio)

    def _reduce(
        self, now: float, reason: str, log_ratio: float | None
    ) -> 'AnswerPace':
        """Returns the pace with half the limit."""
        if self.value < 2.0:
            # The server takes no call at all, which says nothing about the
            # limit that it takes once it is back.
            return attrs.evolve(
                self._start_round(), since=now, phase=Phase.REDUCED
            )
        probe_s = MIN_PROBE_S
        if self.cut is not None and self.cut.bounds_growth(now):
            probe_s = self.cut.probe_s
            if self.reason == 'raise' and self.value <= self.cut.value + 1.0:
                probe_s = min(MAX_PROBE_S, 2.0 * probe_s)
        cut = Cut(self.value, now, probe_s, log_ratio)
        pace = attrs.evolve(self, cut=cut, slowness=averages.Slowness())
        return pace._change(self.value / 2.0, now, reason, Phase.REDUCED)

    def _compute_raised(self, now: float) -> float:
        """Returns the limit after a round of good answers."""
        doubled = min(float(self.slots), 2.0 * self.value)
        if self.cut is None or not self.cut.bounds_growth(now):
            return doubled
        below_failed = self.cut.value - 1.0
        if self.value < below_failed:
            return min(doubled, below_failed)
        if now < self.valid_from + self.cut.probe_s:
            return self.value
        return min(doubled, self.value + 1.0)

    def _shorten_probes(self) -> 'AnswerPace':
        """Returns the pace with faster steps once a failed value has worked."""
        if self.cut is None or self.value < self.cut.value:
            return self
        probe_s = max(MIN_PROBE_S, self.cut.probe_s / 2.0)
        return attrs.evolve(self, cut=attrs.evolve(self.cut, probe_s=probe_s))

    def _change(
        self, value: float, now: float, reason: str, phase: Phase
    ) -> 'AnswerPace':
        value = max(1.0, min(float(self.slots), value))
        if value >= self.slots and phase is Phase.RISING:
            phase = Phase.FULL
        return attrs.evolve(
            self._start_round(),
            value=value,
            valid_from=now,
            since=now,
            phase=phase,
            reason=reason,
            changes=self.changes + 1,
        )

    def _start_round(self) -> 'AnswerPace':
        return attrs.evolve(self, answers=0, was_reached=False)

    def _compute_recovery_time(self) -> float:
        """Returns the time in which an unused limit doubles, in seconds."""
        least_s = max(RECOVERY_S, RECOVERY_SERVICE_TIMES * self.service_s)
        if self.cut is not None:
            least_s = max(least_s, self.cut.probe_s)
        least_s = min(least_s, MAX_RECOVERY_S)
        if self.started_at is None or self.cut is not None:
            return least_s
        start = _compute_start(self.initial_slots, self.slots)
        doublings = math.ceil(math.log2(max(2.0, self.slots / start)))
        return max(least_s, self.duration_s / doublings)

    def _count_recoveries(self, now: float) -> int:
        """Returns how often the limit has doubled by time alone."""
        if self.value >= self.slots or now <= self.since:
            return 0
        doublings = math.ceil(math.log2(self.slots / self.value))
        elapsed_s = now - self.since
        if math.isinf(elapsed_s):
            return doublings
        steps = (elapsed_s + 1e-9) / self._compute_recovery_time()
        return min(doublings, math.floor(steps))

    def _recover(self, now: float) -> 'AnswerPace':
        """Returns the pace with the growth by time up to ``now``."""
        steps = self._count_recoveries(now)
        if not steps:
            return self
        value = min(float(self.slots), self.value * 2.0**steps)
        return attrs.evolve(
            self,
            value=value,
            since=self.since + steps * self._compute_recovery_time(),
            phase=Phase.FULL if value >= self.slots else Phase.RISING,
            reason='recovery',
            changes=self.changes + 1,
        )


def _compute_start(initial_slots: int, slots: int) -> float:
    """Returns the limit of a server that has just started."""
    start = math.ceil(START_SHARE * slots)
    return float(max(1, min(initial_slots, slots, start)))


_RECORDERS: dict[
    tickets.Result, Callable[[AnswerPace, ramps.Sample], AnswerPace]
] = {
    tickets.Result.SUCCESS: AnswerPace.record_answer,
    tickets.Result.ERROR: AnswerPace.record_error,
    tickets.Result.TIMEOUT: AnswerPace.record_timeout,
    tickets.Result.SHED: AnswerPace.record_shed,
    tickets.Result.RESET: AnswerPace.record_reset,
}
