"""How long a fleet has remembered versions without a gap.

A source that serves an old revision can't be told from a fresh one by what it
says. Only a process that was up before remembers better. Each process counts
from its own start or, if a peer remembers longer, from the peer's; a fleet in
which all processes are new starts from nothing.
"""

import attrs

# A stale replica of the source has caught up, or has been taken out, by then.
TRUSTED_MEMORY_S = 60.0


@attrs.frozen
class Memory:
    """Since when versions have been remembered without a gap.

    >>> memory = Memory(since=100.0)
    >>> memory.is_trusted(now=110.0)
    False
    >>> memory.hear(age_s=300.0, now=110.0).is_trusted(now=110.0)
    True

    Attributes:
      since: Start of the memory on the own clock, in seconds.
    """

    since: float

    def hear(self, age_s: float, now: float) -> 'Memory':
        """Returns the memory after a peer told the age of its own."""
        return Memory(min(self.since, now - age_s))

    def compute_age(self, now: float) -> float:
        """Returns the age of the memory in seconds."""
        return max(0.0, now - self.since)

    def is_trusted(self, now: float) -> bool:
        """Tells whether the memory is old enough to vouch for a version."""
        return self.compute_age(now) >= TRUSTED_MEMORY_S
