"""Errors of the membership subpackage."""

from jayseam.core import errors


class MembershipError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class VmListError(MembershipError):
    """An entry of the VM list lacks a field or has one of the wrong type."""
