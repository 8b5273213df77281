"""Errors of the call path; each stands for one answer without a result."""

from jayseam.core import errors


class CallError(errors.JayseamError):
    """A call ends without an answer of a backend server.

    Attributes:
      code: Stable code of the problem that the caller receives.
      status: HTTP status of the answer.
      ran: Whether this attempt may have run: ``no`` or ``unknown``.
      retry_after_s: When a new attempt makes sense, if that is known.
      admitted: Whether a backend server may have been sent this attempt.
    """

    code = 'not-run'
    status = 503
    ran = 'no'
    admitted = False

    def __init__(self, detail: str, retry_after_s: float | None = None):
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s


class NotRunError(CallError):
    """The call was surely not run."""


class ShedError(NotRunError):
    """The backend server turned the call away."""

    admitted = True


class LimitError(CallError):
    """The workspace is over its rate and burst."""

    code = 'limit'
    status = 429


class KeyRefusedError(CallError):
    """The key is missing, unknown or withdrawn."""

    code = 'key'
    status = 401


class KeysUnconfirmedError(CallError):
    """It is not known whether the key is still granted."""

    code = 'keys-unconfirmed'


class ZoneError(CallError):
    """The availability zone takes no new work."""

    code = 'zone'


class OutcomeUnknownError(CallError):
    """The call may have run, and its answer was lost."""

    code = 'outcome-unknown'
    status = 504
    ran = 'unknown'
    admitted = True


class BadRequestError(CallError):
    """The request is malformed."""

    code = 'bad-request'
    status = 400


class KeyMisplacedError(BadRequestError):
    """A key stands where it must not, for example in the query."""

    code = 'key-misplaced'


class IdempotencyKeyError(BadRequestError):
    """The idempotency key is missing, malformed or too old."""

    code = 'idempotency-key'


class IdempotencyMismatchError(CallError):
    """The idempotency key was used with another request."""

    code = 'idempotency-mismatch'
    status = 422


class NoRouteError(CallError):
    """No route matches the path."""

    code = 'no-route'
    status = 404


class MethodError(CallError):
    """The route doesn't accept the method."""

    code = 'method'
    status = 405


class BodyTooLargeError(CallError):
    """The request body is over the limit."""

    code = 'too-large'
    status = 413


class HeadersTooLargeError(CallError):
    """The request headers are over the limit."""

    code = 'headers-too-large'
    status = 431


class CallerGoneError(errors.JayseamError):
    """The caller closed its connection before the answer."""
