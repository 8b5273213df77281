"""Outcomes of a call's attempts, and the rules for another attempt."""

import math

import attrs

from jayseam.calls import errors
from jayseam.calls import requests

# Within this time a backend server may recover or a new one be listed.
UNAVAILABLE_RETRY_AFTER_S = 0.3
# Shortest delay if the promised time has passed during later attempts.
MIN_RETRY_AFTER_S = 0.02
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
      is_earliest: Whether the error has the earliest of the times at which the
        VMs that refused the call promise room; otherwise that of the last VM.
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
    is_earliest: bool = False
    _room_at: float = math.inf

    def record_error(
        self, error: errors.CallError, is_repeatable: bool, now: float = 0.0
    ) -> None:
        """Records an attempt that ended without an answer.

        Args:
          error: How the attempt ended.
          is_repeatable: Whether the call may run twice.
          now: Current time in seconds; only differences matter.
        """
        self.sent_attempts += error.admitted
        if self.is_earliest:
            self._keep_earliest(error, now)
        # If an earlier attempt may have run, a later attempt that surely did
        # not run must not hide its error.
        if self.error.ran == 'no':
            self.error = error
        self.is_final = not may_retry(error, is_repeatable)

    def _keep_earliest(self, error: errors.CallError, now: float) -> None:
        """Sets the earliest time at which a VM has room for the call.

        A VM that names no time may have room at any; it doesn't move the time
        that another VM has promised.
        """
        if error.ran != 'no':
            return
        if error.retry_after_s is not None:
            self._room_at = min(self._room_at, now + error.retry_after_s)
        if self._room_at < math.inf:
            error.retry_after_s = max(MIN_RETRY_AFTER_S, self._room_at - now)

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
