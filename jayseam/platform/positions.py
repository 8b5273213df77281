"""Versions of channels that keep their order when the store is restored.

When the store comes back from a copy, its revisions go back and are given out
again; only its era rises. The operators number their configurations, and write
a configuration that the store has lost again with its number.
"""

import attrs

from jayseam.core import versionnumbers
from jayseam.platform import errors


@attrs.frozen(order=True)
class Position:
    """A state of the store.

    >>> Position(era=2, revision=3) > Position(era=1, revision=900)
    True

    Attributes:
      era: Number of the store's lifetime, which rises with each restore.
      revision: Revision of the store in this era.
      is_settled: Whether all that the store has counts. After a restore some of
        it is replaced for a while by what was known before.
    """

    era: int
    is_settled: bool = attrs.field(default=True, kw_only=True)
    revision: int = attrs.field(kw_only=True)

    def encode(self) -> int:
        """Returns a version with the order of positions.

        >>> before = Position(era=1, revision=900)
        >>> unsettled = Position(era=2, revision=9, is_settled=False)
        >>> settled = Position(era=2, revision=3)
        >>> before.encode() < unsettled.encode() < settled.encode()
        True

        Raises:
          ValueFormatError: If the position is out of range.
        """
        return encode_version(0, self)


def encode_version(number: int, position: Position) -> int:
    """Returns a version that is ordered by number, then by position.

    >>> lost = Position(era=1, revision=900)
    >>> written_again = Position(era=2, revision=7)
    >>> older, newer = encode_version(4, written_again), encode_version(5, lost)
    >>> older < newer < encode_version(5, written_again)
    True

    Args:
      number: Number that the operators gave to the configuration.
      position: State of the store in which the content has changed last.

    Raises:
      ValueFormatError: If the number or the position is out of range.
    """
    # Two phases an era: the unsettled one comes first.
    phase = max(0, 2 * position.era - (not position.is_settled))
    try:
        return versionnumbers.combine(number, phase, position.revision)
    except ValueError as error:
        raise errors.ValueFormatError(str(error)) from error
