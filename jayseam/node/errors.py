"""Errors of the node process."""

from jayseam.core import errors


class NodeError(errors.JayseamError):
    """The node can't start."""
