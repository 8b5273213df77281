"""Errors of admission. Each one means that the call was not run."""

from jayseam.core import errors


class AdmissionError(errors.JayseamError):
    """Base class: the gate did not admit the call, so it was not run."""


class QueueFullError(AdmissionError):
    """The queue has no room for another call of this workspace."""


class DeadlineError(AdmissionError):
    """The call cannot finish before its deadline."""


class NoLongerValidError(AdmissionError):
    """The call lost its permission while it waited.

    Its key was withdrawn or its availability zone was taken out of service.
    """


class ClosedError(AdmissionError):
    """The gate admits no new calls because it is draining or closed."""
