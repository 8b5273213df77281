"""Errors of presets, key sets and VM lists."""

from collections.abc import Sequence

from jayseam.core import errors


class PresetError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class PresetRejectedError(PresetError):
    """A document is invalid and must not be applied, not even in part.

    The result of the verification depends only on the content, so every node
    rejects the same versions.

    Attributes:
      reasons: All reasons found, in alphabetical order.
    """

    def __init__(self, reasons: Sequence[str]):
        self.reasons = sorted(set(reasons))
        super().__init__('; '.join(self.reasons))


class PartsIncompleteError(PresetError):
    """Parts are missing or don't match their digests; fetch them again.

    Unlike `PresetRejectedError`, this error doesn't mean that the version is
    invalid.

    Attributes:
      missing: Digests of parts that were not passed.
      altered: Digests that differ from the digest of their data.
    """

    def __init__(self, missing: Sequence[str], altered: Sequence[str]):
        self.missing = sorted(missing)
        self.altered = sorted(altered)
        super().__init__(
            f'{len(self.missing)} parts missing, {len(self.altered)} altered'
        )
