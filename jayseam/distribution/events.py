"""Messages that a node sends to the mailbox of its own distribution task."""

from collections.abc import Sequence

import attrs

from jayseam.distribution import messages
from jayseam.distribution import versions


@attrs.frozen
class PeerStates:
    """The channel states that a peer reported.

    Attributes:
      vm: The peer.
      states: Versions that the peer holds and their confirmations.
      sent_at: Time at which the peer sent the states, on this node's clock, in
        seconds.
      memory_s: Age of the peer's memory of versions, in seconds; see
        `version_memory`.
    """

    vm: str
    states: Sequence[messages.ChannelState]
    sent_at: float
    memory_s: float = 0.0


@attrs.frozen
class PeerOffer:
    """A version that a peer offers.

    Attributes:
      vm: The peer.
      version: The version.
    """

    vm: str
    version: versions.Version


@attrs.frozen
class Joined:
    """The node has joined; see `joining`."""
