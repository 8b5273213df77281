"""Limits on a backend server that has just started.

A ramp is immutable: `restart` returns a new ramp. The registry `VARIANTS`
holds the shapes; ``none`` is the baseline without protection.

See Also:
  ``docs/design.md``, section 5.4.
"""

import math

import attrs

from jayseam.admission import tickets
from jayseam.core import registries

VARIANTS: registries.Registry = registries.Registry('ramp')


@attrs.frozen
class Sample:
    """A call that has ended.

    Attributes:
      kind: Kind of the call; calls of one kind take a similar time.
      started_at: Time of its admission in seconds.
      ended_at: Time of its end in seconds.
      in_flight: Calls in flight at its end, including itself.
    """

    kind: str
    started_at: float
    ended_at: float
    in_flight: int

    @property
    def service_s(self) -> float:
        """Time that the call took, in seconds."""
        return max(0.0, self.ended_at - self.started_at)


@attrs.frozen
class Ramp:
    """Base of the variants; a ramp by time alone ignores calls and pauses.

    Attributes:
      adapts_to_answers: Whether the ramp lowers its limit when the server
        sheds calls, in place of `concurrency.AdaptiveLimit`.
    """

    adapts_to_answers = False

    def resize(
        self, initial_slots: int, slots: int, duration_s: float
    ) -> 'Ramp':
        """Returns the ramp under other slots and another length."""
        return attrs.evolve(
            self,
            initial_slots=initial_slots,
            slots=slots,
            duration_s=duration_s,
        )

    def record(self, result: tickets.Result, sample: Sample) -> 'Ramp':
        """Returns the ramp after a call has ended."""
        del result, sample
        return self

    def record_pause(self, now: float) -> 'Ramp':
        """Returns the ramp after a pause of this process until ``now``."""
        del now
        return self


@VARIANTS.register('linear')
@attrs.frozen
class LinearRamp(Ramp):
    """Raises the limit linearly from ``initial_slots`` to ``slots``.

    Attributes:
      initial_slots: Calls in flight allowed at the start.
      slots: Calls in flight allowed from the end of the ramp.
      duration_s: Length of the ramp in seconds.
      started_at: Time of the last start, in seconds; None if no start was
        detected.
    """

    initial_slots: int
    slots: int
    duration_s: float
    started_at: float | None = None

    def restart(self, now: float) -> 'LinearRamp':
        """Returns the ramp of a backend server that started at ``now``."""
        return attrs.evolve(self, started_at=now)

    def compute_limit(self, now: float) -> int:
        """Returns the number of calls allowed in flight at ``now``.

        >>> ramp = LinearRamp(initial_slots=2, slots=10, duration_s=8.0)
        >>> [ramp.restart(100.0).compute_limit(t) for t in (100, 104, 108)]
        [2, 6, 10]
        """
        if self._is_over(now):
            return self.slots
        elapsed_s = max(0.0, now - self.started_at)
        first = min(self.initial_slots, self.slots)
        grown = (self.slots - first) * elapsed_s / self.duration_s
        return first + math.floor(grown)

    def compute_next_step(self, now: float) -> float | None:
        """Returns the time at which the limit next grows.

        Returns:
          The time in seconds, or None once the ramp is over.
        """
        if self._is_over(now):
            return None
        first = min(self.initial_slots, self.slots)
        steps = self.compute_limit(now) - first + 1
        step_s = self.duration_s / max(1, self.slots - first)
        return min(
            self.started_at + steps * step_s,
            self.started_at + self.duration_s,
        )

    def _is_over(self, now: float) -> bool:
        if self.started_at is None:
            return True
        return now >= self.started_at + self.duration_s


@VARIANTS.register('none')
@attrs.frozen
class FullRamp(Ramp):
    """Allows all slots from the start; the baseline for measurements.

    Attributes:
      initial_slots: Ignored.
      slots: Calls in flight allowed.
      duration_s: Ignored.
      started_at: Time of the last start, in seconds.
    """

    initial_slots: int
    slots: int
    duration_s: float
    started_at: float | None = None

    def restart(self, now: float) -> 'FullRamp':
        """Returns the ramp of a backend server that started at ``now``."""
        return attrs.evolve(self, started_at=now)

    def compute_limit(self, now: float) -> int:
        """Returns the number of slots, whatever the time."""
        del now
        return self.slots

    def compute_next_step(self, now: float) -> None:
        """Returns None: the limit never grows."""
        del now
