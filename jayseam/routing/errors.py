"""Errors of route lookup and upstream selection.

Each error means that nothing was sent.
"""

from jayseam.core import errors


class RoutingError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class BadPathError(RoutingError):
    """The path could mean another resource to the backend server."""


class NoRouteError(RoutingError):
    """No route has a prefix of the path."""


class MethodNotAllowedError(RoutingError):
    """The route of the path lacks the method.

    Attributes:
      allowed: Methods of the route, in alphabetical order.
    """

    def __init__(self, path: str, allowed: tuple[str, ...]):
        super().__init__(f'{path} allows {", ".join(allowed)}')
        self.allowed = allowed


class NoCandidateError(RoutingError):
    """No member of the service is usable."""
