"""Errors of calls to the node's own backend server."""

from jayseam.core import errors


class BackendError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class InvalidRequestError(BackendError):
    """The request cannot be written as HTTP/1.1; nothing was sent."""


class NotRunError(BackendError):
    """The backend server certainly did not run the call.

    Attributes:
      reason: One of ``refused``, ``connect-timeout``, ``unsent``, ``shed``,
        ``no-connection``, ``deadline`` and ``cancelled``.
    """

    def __init__(self, reason: str, detail: str = ''):
        super().__init__(f'not run ({reason}) {detail}'.rstrip())
        self.reason = reason


class ShedError(NotRunError):
    """The backend server shed the call before running it."""

    def __init__(self, detail: str = ''):
        super().__init__('shed', detail)


class OutcomeUnknownError(BackendError):
    """The backend server may have run the call, but gave no complete answer.

    Attributes:
      reason: One of ``timeout``, ``cancelled``, ``connection-lost``,
        ``framing``, ``crossed`` and ``too-large``.
    """

    def __init__(self, reason: str, detail: str = ''):
        super().__init__(f'outcome unknown ({reason}) {detail}'.rstrip())
        self.reason = reason
