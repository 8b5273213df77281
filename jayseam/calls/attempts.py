"""Outcomes of a call's attempts, and the rules for another attempt."""

import attrs

from jayseam.calls import errors
from jayseam.calls import requests

# Within this time a backend server may recover or a new one be listed.
UNAVAILABLE_RETRY_AFTER_S = 0.3
# Status of a backend server's answer when the call's time has run out.
_GATEWAY_TIMEOUT = 504


@attrs.define
class Progress:
    """Outcomes of the attempts that a call has made so far.

    Attributes:
      tried_vms: VMs to which an attempt was forwarded.
      sent_attempts: Number of attempts that may have reached a backend server.
      error_answer: Latest 5xx answer of a backend server, if any.
      error: Error to report if no backend server answers.
      is_final: Whether there must be no other attempt, because it could run the
        call twice or would fail again.
    """

    tried_vms: set[str] = attrs.field(factory=set)
    sent_attempts: int = 0
    error_answer: requests.CallAnswer | None = None
    error: errors.CallError = attrs.field(
        factory=lambda: errors.NotRunError(
            'no backend server is available', UNAVAILABLE_RETRY_AFTER_S
        )
    )
    is_final: bool = False

    def record_error(
        self, error: errors.CallError, is_repeatable: bool
    ) -> None:
        """Records an attempt that ended without an answer."""
        self.sent_attempts += error.admitted
        # If an earlier attempt may have run, a later attempt that surely did
        # not run must not hide its error.
        if self.error.ran == 'no':
            self.error = error
        self.is_final = not may_retry(error, is_repeatable)

    def record_error_answer(self, answer: requests.CallAnswer) -> None:
        """Records an attempt that a backend server answered with an error."""
        self.error_answer = answer
        self.sent_attempts += 1


def may_retry(error: errors.CallError, is_repeatable: bool) -> bool:
    """Returns whether another attempt is safe and could succeed."""
    if isinstance(error, errors.KeyRefusedError):
        return False
    return error.ran == 'no' or is_repeatable


def is_retryable_answer(answer: requests.CallAnswer) -> bool:
    """Returns whether another backend server may give a better answer.

    A gateway timeout isn't retryable: the call's time has run out everywhere.
    """
    return answer.status >= 500 and answer.status != _GATEWAY_TIMEOUT
