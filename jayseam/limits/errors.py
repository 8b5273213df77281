"""Errors of the fleet-wide limits."""

from jayseam.core import errors


class LimitError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class UnknownMessageError(LimitError):
    """A peer sent a message that the strategy in use does not handle."""
