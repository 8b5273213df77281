"""Errors in settings files."""

from collections.abc import Sequence

from jayseam.core import errors


class SettingsError(errors.JayseamError):
    """A settings file can't be read or is not valid.

    Attributes:
      problems: One line for each problem found, in the order of the file.
    """

    def __init__(self, problems: Sequence[str]):
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)
