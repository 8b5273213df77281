"""Times at which refused callers are told to return.

Each refusal books the next start that isn't booked yet, at the rate at which
the backend server starts calls. Callers that were refused together return one
after another instead of all at once.

See Also:
  ``docs/design/order-of-service.md``.
"""

import math

import attrs

# Callers honour Retry-After up to this share of the time they have left.
HONOURED_SHARE = 1 / 3
# Shortest delay in seconds after which a refused caller is told to return.
MIN_DELAY_S = 0.02
# Bookings begin after this share of the time for which a caller waits. The wait
# of a refused call is longer than that time, so without the share all callers
# would be told to return at its end.
EARLIEST_SHARE = 0.25
# Less urgent ranks share the bookings of this one.
MAX_RANK = 7


@attrs.frozen
class Bookings:
    """Starts that are promised to refused callers.

    Only the last booking of each rank is kept, so a booking whose time has
    passed no longer has any effect.

    Attributes:
      last_at: For each rank, the last start that is booked for it or a more
        urgent one, in seconds.
    """

    last_at: tuple[float, ...] = (-math.inf,) * (MAX_RANK + 1)

    def book(
        self, room_at: float, interval_s: float, rank: int, latest_at: float
    ) -> 'tuple[Bookings, float | None]':
        """Books the next free start.

        A booking delays later ones of the same and less urgent ranks, and is
        not delayed by those of less urgent ranks.

        >>> bookings, first = Bookings().book(5.0, 0.5, rank=1, latest_at=9.0)
        >>> bookings, second = bookings.book(5.0, 0.5, rank=1, latest_at=9.0)
        >>> bookings, urgent = bookings.book(5.0, 0.5, rank=0, latest_at=9.0)
        >>> first, second, urgent
        (5.0, 5.5, 5.0)
        >>> bookings.book(5.0, 0.5, rank=1, latest_at=9.0)[1]
        6.5

        Args:
          room_at: Earliest time at which there is room, in seconds.
          interval_s: Mean time between two starts, in seconds.
          rank: Rank of the call.
          latest_at: Latest time that may be booked, in seconds.

        Returns:
          The bookings and the time that was booked, in seconds; None if no
          start is free until the latest time.
        """
        rank = min(rank, MAX_RANK)
        start_at = max(room_at, self.last_at[rank] + interval_s)
        if start_at > latest_at:
            return self, None
        # One more start is taken before the next of the less urgent ranks.
        later = [max(at + interval_s, start_at) for at in self.last_at[rank:]]
        last_at = (*self.last_at[:rank], start_at, *later[1:])
        return Bookings(last_at), start_at


def compute_window(
    deadline: float, wait_s: float, now: float
) -> tuple[float, float]:
    """Returns the earliest and the latest start to book for a caller.

    >>> compute_window(deadline=13.0, wait_s=9.0, now=10.0)
    (10.25, 11.0)

    Args:
      deadline: Time by which the call must have finished, in seconds.
      wait_s: Expected wait of the call in seconds.
      now: Current time in seconds.
    """
    left_s = max(0.0, deadline - now)
    honoured_s = max(MIN_DELAY_S, left_s * HONOURED_SHARE)
    delay_s = max(MIN_DELAY_S, min(wait_s, honoured_s * EARLIEST_SHARE))
    return now + delay_s, now + honoured_s
