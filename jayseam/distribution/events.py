"""Messages in the mailbox of a node's own distribution task."""

from collections.abc import Sequence

import attrs

from jayseam.distribution import messages
from jayseam.distribution import versions


@attrs.frozen
class PeerStates:
    """What a peer told of its channels.

    Attributes:
      vm: The peer.
      states: Versions that it holds and their confirmations.
      sent_at: Time at which it was told, on the own clock, in seconds.
      memory_s: Age of the peer's memory of versions, in seconds.
    """

    vm: str
    states: Sequence[messages.ChannelState]
    sent_at: float
    memory_s: float = 0.0


@attrs.frozen
class PeerOffer:
    """A version that a peer holds.

    Attributes:
      vm: The peer.
      version: The version.
    """

    vm: str
    version: versions.Version
