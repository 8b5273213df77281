"""What the attempts of one call have come to, and when another makes sense."""

import attrs

from jayseam.calls import errors
from jayseam.calls import requests

# Time in which a backend server may come back or be listed anew, in seconds.
RETRY_UNAVAILABLE_S = 0.3
# Status of a backend server's answer at the end of a call's time.
_TIME_OUT = 504


@attrs.define
class Progress:
    """What the attempts of a call have come to.

    Attributes:
      tried: VMs that were asked.
      sent: Attempts that a backend server may have been sent.
      failed: Failure that a backend server has answered, if any.
      failure: Why there is no answer.
      is_final: Whether another attempt could run the call twice, or is in
        vain.
    """

    tried: set[str] = attrs.field(factory=set)
    sent: int = 0
    failed: requests.CallAnswer | None = None
    failure: errors.CallError = attrs.field(
        factory=lambda: errors.NotRunError(
            'no backend server is available', RETRY_UNAVAILABLE_S
        )
    )
    is_final: bool = False

    def note_failure(
        self, error: errors.CallError, is_repeatable: bool
    ) -> None:
        """Notes an attempt without an answer."""
        self.sent += error.admitted
        # An earlier attempt may have run, whatever the last one did.
        if self.failure.ran == 'no':
            self.failure = error
        self.is_final = not may_retry(error, is_repeatable)

    def note_failed(self, answer: requests.CallAnswer) -> None:
        """Notes a failure that a backend server has answered."""
        self.failed = answer
        self.sent += 1


def may_retry(error: errors.CallError, is_repeatable: bool) -> bool:
    """Tells whether another attempt can neither run twice nor be in vain."""
    if isinstance(error, errors.KeyRefusedError):
        return False
    return error.ran == 'no' or is_repeatable


def is_failure(answer: requests.CallAnswer) -> bool:
    """Tells whether another backend server may do better.

    The end of the call's own time is the same everywhere.
    """
    return answer.status >= 500 and answer.status != _TIME_OUT
