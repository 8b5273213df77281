"""How long a fleet has remembered versions without interruption.

The replies of a source that serves an old revision look like those of an
up-to-date source. Only a process that was running before knows that a newer
revision existed. The age of this memory counts from the start of the process
or, if a peer's memory is older, from the start of the peer's memory. In a fleet
in which all processes are new, it starts at zero.
"""

import attrs

# Within this time, a stale replica of the source has caught up or has been
# taken out of service.
TRUSTED_MEMORY_S = 60.0


@attrs.frozen
class Memory:
    """The time since which versions have been remembered without a gap.

    >>> memory = Memory(since=100.0)
    >>> memory.is_trusted(now=110.0)
    False
    >>> memory.merge(age_s=300.0, now=110.0).is_trusted(now=110.0)
    True

    Attributes:
      since: Start of the memory on this node's clock, in seconds.
    """

    since: float

    def merge(self, age_s: float, now: float) -> 'Memory':
        """Returns the older of this memory and that of a peer.

        Args:
          age_s: Age of the peer's memory, in seconds.
          now: Time at which the peer stated the age, in seconds.
        """
        return Memory(min(self.since, now - age_s))

    def compute_age(self, now: float) -> float:
        """Returns the age of the memory in seconds."""
        return max(0.0, now - self.since)

    def is_trusted(self, now: float) -> bool:
        """Returns whether the memory is old enough to trust a confirmation."""
        return self.compute_age(now) >= TRUSTED_MEMORY_S
