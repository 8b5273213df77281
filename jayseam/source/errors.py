"""Errors of reads and watches of the source."""

from jayseam.core import errors


class SourceError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class SourceUnreachableError(SourceError):
    """The connection failed before the whole reply had arrived."""


class SourceTimeoutError(SourceError):
    """The reply did not arrive in time."""


class SourceBudgetError(SourceError):
    """The source refused the read because its read budget is used up (429)."""


class ValueMissingError(SourceError):
    """The source holds no value under the key (404)."""


class SourceReplyError(SourceError):
    """The reply violates the protocol or does not match its digest."""


class BodyTooLargeError(SourceReplyError):
    """The reply's body is larger than the protocol allows."""
