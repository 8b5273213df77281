"""The root of the exception tree and the errors of this subpackage."""


class JayseamError(Exception):
    """Base class of every error that jayseam raises on purpose."""


class UnknownVariantError(JayseamError):
    """A registry holds no variant under the requested name."""


class InvalidTransitionError(JayseamError):
    """A state chart has no transition for an event in its current state."""


class TaskStoppedError(JayseamError):
    """A message was sent to a task that has already stopped."""
