"""Errors of the adapter to the platform."""

from jayseam.core import errors
from jayseam.source import errors as source_errors


class PlatformError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class ValueFormatError(PlatformError):
    """A stored value doesn't have the format that the platform documents."""


class HistoryGoneError(source_errors.SourceError):
    """The store no longer has the changes since a revision (410)."""


class StoreUnavailableError(source_errors.SourceError):
    """The store refused a request without processing it (503)."""


class StoreRestoredError(source_errors.SourceError):
    """The store was restored from a copy since the last reply."""
