"""Faults that the backend stand-in injects into requests."""

import random
from collections.abc import Sequence

import attrs
import gevent
from gevent import event

from jayseam.standins import serving

_KINDS = ('hang', 'reset', 'truncate', 'late', 'shed', 'fail', 'status')
_BEFORE = 'before'
_AFTER = 'after'


@attrs.frozen
class Fault:
    """A fault that is injected into a share of the requests.

    Attributes:
      kind: ``hang`` sends no answer until the fault changes or the call is
        cancelled, and then resets the connection; ``reset`` resets the
        connection; ``truncate`` closes it after half of the body; ``late``
        waits ``ms`` more milliseconds; ``shed`` sheds the request; ``fail``
        answers 500; ``status`` answers `status` after the run.
      when: Whether ``hang``, ``reset`` and ``late`` apply ``before`` or
        ``after`` the run.
      share: Share of the requests that get the fault, from 0 to 1.
      ms: Delay of ``late`` in milliseconds.
      status: Status code of ``status``, also one that HTTP doesn't define.
    """

    kind: str = attrs.field(validator=attrs.validators.in_(_KINDS))
    when: str = attrs.field(
        default=_AFTER, validator=attrs.validators.in_((_BEFORE, _AFTER))
    )
    share: float = 1.0
    ms: float = 1000.0
    status: int = 999


class FaultInjector:
    """Applies the current fault to requests.

    Args:
      generator: Decides which requests get the fault.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator
        self._fault: Fault | None = None
        self._changed = event.Event()

    def set_fault(self, fault: Fault | None) -> None:
        """Sets the fault that is injected into requests; None ends it."""
        self._fault = fault
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def draw_fault(self) -> Fault | None:
        """Returns the fault of the next request, or None."""
        fault = self._fault
        if fault is None or self._generator.random() >= fault.share:
            return None
        return fault

    def interrupt_before_run(self, fault: Fault | None) -> None:
        """Applies a fault that takes effect before the run.

        Raises:
          AbortError: If the fault closes the connection.
        """
        if fault is not None and fault.when == _BEFORE:
            self._interrupt(fault)

    def interrupt_after_run(
        self, fault: Fault | None, cancelled: event.Event
    ) -> None:
        """Applies a fault that takes effect after the run.

        Args:
          fault: The fault, if any.
          cancelled: Set when the request is cancelled, which ends ``hang``.

        Raises:
          AbortError: If the fault closes the connection.
        """
        if fault is not None and fault.when == _AFTER:
            self._interrupt(fault, [cancelled])

    def _interrupt(
        self, fault: Fault, end_events: Sequence[event.Event] = ()
    ) -> None:
        if fault.kind == 'hang':
            gevent.wait([self._changed, *end_events], count=1)
            raise serving.AbortError(reset=True)
        if fault.kind == 'reset':
            raise serving.AbortError(reset=True)
        if fault.kind == 'late':
            gevent.sleep(fault.ms / 1000.0)
