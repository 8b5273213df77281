"""The age of the source's last confirmation of each channel.

A reader numbers the confirmations that it gets. Nodes pass the latest one on
in heartbeats, and each node takes a numbered confirmation once. Without
numbers, two nodes would renew each other's age by the transit time of every
heartbeat, and the age would grow too slowly while the source is cut off.
"""

from collections.abc import Mapping

import attrs

MAX_ORIGINS = 64


@attrs.frozen
class Confirmation:
    """The source's statement that a version is its newest.

    Attributes:
      version: Version confirmed.
      origin: Reader that heard it, with its incarnation.
      sequence: Number of the confirmation at that reader.
      confirmed_at: Time of the statement on the own clock, in seconds.
    """

    version: int
    origin: str
    sequence: int
    confirmed_at: float


@attrs.frozen
class ChannelConfirmations:
    """What a node knows about the confirmations of one channel.

    Attributes:
      latest: Latest confirmation that covers the version held.
      pending: Latest confirmation of a version that is not held yet.
      sequences: Greatest sequence taken from each origin.
    """

    latest: Confirmation | None = None
    pending: Confirmation | None = None
    sequences: Mapping[str, int] = attrs.field(factory=dict)

    def hear(
        self, confirmation: Confirmation, held_version: int
    ) -> 'ChannelConfirmations':
        """Returns the state after a confirmation was heard.

        A confirmation of an older version than the one held comes from a
        stale replica and confirms nothing.
        """
        origin, sequence = confirmation.origin, confirmation.sequence
        if sequence <= self.sequences.get(origin, 0):
            return self
        others = {k: v for k, v in self.sequences.items() if k != origin}
        while len(others) >= MAX_ORIGINS:
            others.pop(next(iter(others)))
        heard = attrs.evolve(self, sequences={**others, origin: sequence})
        if confirmation.version < held_version:
            return heard
        if confirmation.version > held_version:
            pending = _pick(heard.pending, confirmation)
            return attrs.evolve(heard, pending=pending)
        return attrs.evolve(heard, latest=_pick_later(heard, confirmation))

    def accept(self, version: int) -> 'ChannelConfirmations':
        """Returns the state after a swap to ``version``.

        An earlier confirmation covers the new version too: a version that
        replaced a confirmed one is at least as recent as it.
        """
        state, pending = self, self.pending
        if self.latest is not None and self.latest.version < version:
            latest = attrs.evolve(self.latest, version=version)
            state = attrs.evolve(state, latest=latest)
        if pending is None or pending.version > version:
            return state
        if pending.version == version:
            latest = _pick_later(state, pending)
            state = attrs.evolve(state, latest=latest)
        return attrs.evolve(state, pending=None)

    def compute_age(self, now: float) -> float | None:
        """Returns the seconds since the last confirmation, None if none."""
        if self.latest is None:
            return None
        return max(0.0, now - self.latest.confirmed_at)


def _pick(old: Confirmation | None, new: Confirmation) -> Confirmation:
    if old is None:
        return new
    return max(old, new, key=lambda c: (c.version, c.confirmed_at))


def _pick_later(state: ChannelConfirmations, new: Confirmation) -> Confirmation:
    old = state.latest
    if old is not None and old.confirmed_at > new.confirmed_at:
        return old
    return new


class Numbering:
    """Numbers the confirmations that this process gets from the source."""

    def __init__(self, origin: str):
        """Starts at one for each channel.

        Args:
          origin: Name of the process.
        """
        self._origin = origin
        self._sequences: dict[str, int] = {}

    def number(
        self, channel: str, version: int, confirmed_at: float
    ) -> Confirmation:
        """Returns a confirmation with the next number of its channel.

        >>> numbering = Numbering('a')
        >>> numbering.number('keys', 7, 1.0).sequence
        1
        >>> numbering.number('keys', 7, 2.0).sequence
        2
        """
        sequence = self._sequences.get(channel, 0) + 1
        self._sequences[channel] = sequence
        return Confirmation(version, self._origin, sequence, confirmed_at)
