"""The age of the source's last confirmation of each channel.

A reader gives each confirmation a sequence number. Nodes forward the latest
confirmation in heartbeats, and a node accepts each sequence number only once.
Without the numbers, every heartbeat between two nodes would make a confirmation
look younger by its transit time, and the age would grow too slowly while the
source is unreachable.
"""

from collections.abc import Mapping

import attrs

# Beyond this number, the least recently updated origin is forgotten.
MAX_ORIGINS = 64


@attrs.frozen
class Confirmation:
    """The source's statement that a version is its newest.

    Attributes:
      version: Version confirmed.
      origin: Short name of the reader process that received the confirmation.
      sequence: Sequence number of the confirmation at that reader.
      confirmed_at: Time of the confirmation on this node's clock, in seconds.
    """

    version: int
    origin: str
    sequence: int
    confirmed_at: float


@attrs.frozen
class ChannelConfirmations:
    """What a node knows about the confirmations of one channel.

    Attributes:
      latest: Latest confirmation that applies to the version held.
      pending: Latest confirmation of a version that this node does not hold
        yet.
      sequences: Greatest sequence number accepted from each origin.
    """

    latest: Confirmation | None = None
    pending: Confirmation | None = None
    sequences: Mapping[str, int] = attrs.field(factory=dict)

    def add(
        self, confirmation: Confirmation, held_version: int
    ) -> 'ChannelConfirmations':
        """Returns the state after a confirmation was received.

        A confirmation of an older version than the one held comes from a
        stale replica and confirms nothing.
        """
        origin, sequence = confirmation.origin, confirmation.sequence
        if sequence <= self.sequences.get(origin, 0):
            return self
        other_sequences = {
            k: v for k, v in self.sequences.items() if k != origin
        }
        while len(other_sequences) >= MAX_ORIGINS:
            other_sequences.pop(next(iter(other_sequences)))
        updated = attrs.evolve(
            self, sequences={**other_sequences, origin: sequence}
        )
        if confirmation.version < held_version:
            return updated
        if confirmation.version > held_version:
            pending = _choose_newer(updated.pending, confirmation)
            return attrs.evolve(updated, pending=pending)
        return attrs.evolve(
            updated, latest=_choose_later(updated, confirmation)
        )

    def accept(self, version: int) -> 'ChannelConfirmations':
        """Returns the state after a swap to ``version``.

        An earlier confirmation applies to the new version too: a version that
        replaces a confirmed version is at least as recent.
        """
        state, pending = self, self.pending
        if self.latest is not None and self.latest.version < version:
            latest = attrs.evolve(self.latest, version=version)
            state = attrs.evolve(state, latest=latest)
        if pending is None or pending.version > version:
            return state
        if pending.version == version:
            latest = _choose_later(state, pending)
            state = attrs.evolve(state, latest=latest)
        return attrs.evolve(state, pending=None)

    @property
    def is_newer_confirmed(self) -> bool:
        """Whether the latest confirmation is of a version not held yet."""
        if self.pending is None:
            return False
        if self.latest is None:
            return True
        return self.pending.confirmed_at > self.latest.confirmed_at

    def compute_age(self, now: float) -> float | None:
        """Returns the seconds since the last confirmation, or None."""
        if self.latest is None:
            return None
        return max(0.0, now - self.latest.confirmed_at)


def _choose_newer(old: Confirmation | None, new: Confirmation) -> Confirmation:
    if old is None:
        return new
    return max(old, new, key=lambda c: (c.version, c.confirmed_at))


def _choose_later(
    state: ChannelConfirmations, new: Confirmation
) -> Confirmation:
    old = state.latest
    if old is not None and old.confirmed_at > new.confirmed_at:
        return old
    return new


class ConfirmationSequencer:
    """Numbers the confirmations that this process receives from the source."""

    def __init__(self, origin: str):
        """Starts each channel at sequence number one.

        Args:
          origin: Short name of this process.
        """
        self._origin = origin
        self._sequences: dict[str, int] = {}

    def create(
        self, channel: str, version: int, confirmed_at: float
    ) -> Confirmation:
        """Returns a confirmation with the next sequence number of its channel.

        >>> sequencer = ConfirmationSequencer('a')
        >>> sequencer.create('keys', 7, 1.0).sequence
        1
        >>> sequencer.create('keys', 7, 2.0).sequence
        2
        """
        sequence = self._sequences.get(channel, 0) + 1
        self._sequences[channel] = sequence
        return Confirmation(version, self._origin, sequence, confirmed_at)
