"""Errors of reads and watches of the platform."""

from jayseam.core import errors


class SourceError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class SourceUnreachableError(SourceError):
    """No connection, or the connection broke before the whole reply."""


class SourceTimeoutError(SourceError):
    """The reply did not arrive in time."""


class SourceBudgetError(SourceError):
    """The source refused the read because its budget is used up (429)."""


class ValueMissingError(SourceError):
    """The source holds no value under the key (404)."""


class SourceReplyError(SourceError):
    """The reply breaks the protocol or the value differs from its digest."""


class BodyTooLargeError(SourceReplyError):
    """The reply's body is larger than the protocol allows."""
