"""Errors of the distribution of channels between nodes."""

from jayseam.core import errors


class DistributionError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class PartCorruptError(DistributionError):
    """A compressed part can't be decompressed within the size limits."""


class PullFailedError(DistributionError):
    """A holder did not supply the complete version."""
