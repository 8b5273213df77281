"""The versions that a node holds and those that it has rejected."""

import enum
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from jayseam.core import versionnumbers

CHANNELS = ('preset', 'keys', 'vms')
# Rejections of versions below the one held are dropped, so this bound is
# reached only if the source publishes that many invalid versions in a row.
MAX_REJECTED = 64
MAX_REASONS = 200


class Verdict(enum.Enum):
    """How an offered version compares with those held and rejected."""

    NEWER = 'newer'
    SAME = 'same'
    OLDER = 'older'
    CONFLICT = 'conflict'
    REJECTED = 'rejected'


@attrs.frozen
class Version:
    """A version of a channel.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Revision of the channel at the source, above zero.
      digest: Digest of the manifest.
    """

    channel: str
    version: int
    digest: str

    def describe(self) -> dict[str, Any]:
        """Returns the fields for a log line.

        >>> Version('keys', 7, 'd7').describe()
        {'channel': 'keys', 'version': 7, 'digest': 'd7'}
        """
        shown = versionnumbers.shorten(self.version)
        return {**attrs.asdict(self), 'version': shown}


@attrs.frozen
class HeldVersion:
    """The version of a channel that is in force.

    Attributes:
      version: Revision.
      digest: Digest of the manifest.
      accepted_at: Time of the swap, in seconds.
    """

    version: int
    digest: str
    accepted_at: float


@attrs.frozen
class RejectedVersion:
    """A version that failed verification.

    Attributes:
      version: Revision.
      digest: Digest of the manifest.
      reasons: The reasons, at most `MAX_REASONS`.
      n_reasons: Number of reasons found.
      rejected_at: Time of the rejection, in seconds.
    """

    version: int
    digest: str
    reasons: tuple[str, ...]
    n_reasons: int
    rejected_at: float


@attrs.frozen
class VersionStore:
    """An immutable record of held and rejected versions.

    The version held of a channel never decreases: `accept` returns the store
    unchanged unless the version is greater.

    >>> store = VersionStore().accept('preset', 7, 'd7', now=1.0)
    >>> store.classify('preset', 6, 'd6', now=2.0)
    <Verdict.OLDER: 'older'>
    >>> store.accept('preset', 6, 'd6', now=2.0) is store
    True

    Attributes:
      held: Version in force, by channel; absent while there is none.
      rejections: Rejected versions, by channel, oldest rejection first.
    """

    held: Mapping[str, HeldVersion] = attrs.field(factory=dict)
    rejections: Mapping[str, tuple[RejectedVersion, ...]] = attrs.field(
        factory=dict
    )

    def version(self, channel: str) -> int:
        """Returns the version held of a channel, zero if there is none."""
        return self.held[channel].version if channel in self.held else 0

    def digest(self, channel: str) -> str:
        """Returns the digest of the version held, empty if there is none."""
        return self.held[channel].digest if channel in self.held else ''

    def classify(
        self, channel: str, version: int, digest: str, now: float
    ) -> Verdict:
        """Returns the verdict on an offered version; the store is unchanged.

        Args:
          channel: Channel of the version.
          version: Revision offered.
          digest: Digest offered, or as many of its first characters as the
            peer sent; an empty string matches every digest.
          now: Current time in seconds.
        """
        del now  # The verdict doesn't depend on time.
        held = self.held.get(channel)
        if held is not None and version == held.version:
            is_same = held.digest.startswith(digest)
            return Verdict.SAME if is_same else Verdict.CONFLICT
        if version <= (held.version if held is not None else 0):
            return Verdict.OLDER
        if self._find_rejection(channel, version, digest) is not None:
            return Verdict.REJECTED
        return Verdict.NEWER

    def accept(
        self, channel: str, version: int, digest: str, now: float
    ) -> 'VersionStore':
        """Returns a store that holds the version if it is newer.

        The caller puts the content in force only if the result is another
        store.
        """
        if self.classify(channel, version, digest, now) is not Verdict.NEWER:
            return self
        if not digest:
            return self
        kept = tuple(
            r for r in self.rejections.get(channel, ()) if r.version > version
        )
        return VersionStore(
            {**self.held, channel: HeldVersion(version, digest, now)},
            {**self.rejections, channel: kept},
        )

    def reject(
        self,
        channel: str,
        version: int,
        digest: str,
        reasons: Sequence[str],
        now: float,
    ) -> 'VersionStore':
        """Returns a store with a rejected version added.

        The store is unchanged if the version is not newer than the one held or
        was rejected before. The first `MAX_REASONS` reasons are kept.
        """
        if self.classify(channel, version, digest, now) is not Verdict.NEWER:
            return self
        rejection = RejectedVersion(
            version, digest, tuple(reasons[:MAX_REASONS]), len(reasons), now
        )
        kept = (*self.rejections.get(channel, ()), rejection)[-MAX_REJECTED:]
        return attrs.evolve(self, rejections={**self.rejections, channel: kept})

    def _find_rejection(
        self, channel, version, digest
    ) -> RejectedVersion | None:
        for rejection in self.rejections.get(channel, ()):
            is_same = rejection.digest.startswith(digest)
            if rejection.version == version and is_same:
                return rejection
        return None
