"""Errors of the call path.

The first line of the docstring of a `CallError` class is sent to callers as the
title of the problem.
"""

from collections.abc import Mapping

from jayseam.core import errors


class CallError(errors.JayseamError):
    """A call ends without an answer of a backend server.

    Attributes:
      code: Stable code of the problem, sent to the caller.
      status: HTTP status of the answer.
      ran: ``no`` if the attempt has not run, ``unknown`` if it may have run.
      admitted: Whether the attempt may have reached a backend server.
      detail: What went wrong with this call.
      retry_after_s: Seconds after which another attempt may succeed, if known.
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


class ConfigurationUnconfirmedError(CallError):
    """The configuration may be outdated, so the request may be correct."""

    code = 'configuration-unconfirmed'


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


class CallAbortedError(errors.JayseamError):
    """The node ends the call, whatever its attempts would still bring.

    Attributes:
      may_have_run: Whether an attempt may have reached a backend server.
    """

    may_have_run = False


class CallerGoneError(errors.JayseamError):
    """The caller closed its connection before the answer.

    It ends the call with all its attempts, also if it is raised in an attempt
    at the own backend server, which runs in the greenlet of the call.

    Attributes:
      sign: Sign by which the end of the connection was found first.
      signs: Whether the connection showed each sign then; None if the machine
        refused to say.
      watched_s: Time since the connection is watched for this call, in seconds.
    """

    def __init__(
        self,
        detail: str,
        sign: str = '',
        signs: Mapping[str, bool | None] | None = None,
        watched_s: float = 0.0,
    ):
        super().__init__(detail)
        self.sign = sign
        self.signs = signs or {}
        self.watched_s = watched_s


class AttemptCancelledError(errors.JayseamError):
    """The entry has cancelled an attempt, which ends at the ingress."""
