"""Errors of the soak."""

from jayseam.core import errors


class SoakError(errors.JayseamError):
    """A soak can't be run as asked for."""
