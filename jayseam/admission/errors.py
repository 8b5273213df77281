"""Errors of admission. Each one means that the call was not run."""

from jayseam.core import errors


class AdmissionError(errors.JayseamError):
    """Base class: the gate did not admit the call, so it was not run.

    Attributes:
      retry_after_s: Time after which a retry may be admitted, in seconds; None
        if unknown.
    """

    def __init__(self, detail: str, retry_after_s: float | None = None):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class QueueFullError(AdmissionError):
    """The queue has no room for another call of this workspace."""


class DeadlineError(AdmissionError):
    """The call cannot finish before its deadline."""


class ObjectiveError(AdmissionError):
    """The call would wait past its latency objective."""


class NoLongerValidError(AdmissionError):
    """The call may no longer run.

    While it waited, its key was withdrawn or its availability zone was taken
    out of service.
    """


class ClosedError(AdmissionError):
    """The gate admits no new calls because it is draining or closed."""
