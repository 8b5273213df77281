"""Errors of the test stand-ins."""

from jayseam.core import errors


class StandinError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class ExchangeError(StandinError):
    """An HTTP exchange ended without a complete answer.

    Attributes:
      sent: Whether any byte of the request may have left this process.
    """

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class AnswerError(StandinError):
    """The body of a backend server's answer is incomplete or altered."""


class ControlError(StandinError):
    """A control listener refused an action."""


class ClusterError(StandinError):
    """A cluster could not be started, or a condition did not hold in time."""
