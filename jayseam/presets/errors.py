"""Errors of presets, key sets and VM lists."""

from collections.abc import Sequence

from jayseam.core import errors


class PresetError(errors.JayseamError):
    """Base class of the errors of this subpackage."""


class PresetRejectedError(PresetError):
    """A document is invalid; no part of it may be put in force.

    The verdict depends on the content alone, so a version that is rejected
    once is rejected by every node.

    Attributes:
      reasons: Every reason found, in alphabetical order.
    """

    def __init__(self, reasons: Sequence[str]):
        self.reasons = sorted(set(reasons))
        super().__init__('; '.join(self.reasons))


class PartsIncompleteError(PresetError):
    """Parts are missing or differ from their digests; fetch them again.

    Unlike `PresetRejectedError` this says nothing about the version itself.

    Attributes:
      missing: Digests of parts that were not given.
      altered: Digests whose data hashes to something else.
    """

    def __init__(self, missing: Sequence[str], altered: Sequence[str]):
        self.missing = sorted(missing)
        self.altered = sorted(altered)
        super().__init__(
            f'{len(self.missing)} parts missing, {len(self.altered)} altered'
        )
