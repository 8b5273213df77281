"""Errors of the soak test."""

from jayseam.core import errors


class SoakError(errors.JayseamError):
    """The cluster of a soak run can't be started."""
