"""The tokens that an entry has prefetched for one workspace.

A token cache estimates demand and computes how many tokens to prefetch, so that
a call normally finds a token. Calls that find none wait in a bounded FIFO
queue. A batch expires `pools.BATCH_LIFETIME_S` seconds after the entry
requested it. Tokens that are unlikely to be spent in time are returned to their
owner.
"""

import collections
import math
from collections.abc import Collection

import attrs

MAX_WAITING = 64
DEMAND_TIME_CONSTANT_S = 1.0
# Tokens to prefetch, in seconds of demand. This must exceed the time between
# two draws plus a round trip.
PREFETCH_S = 0.4
RETURN_BEFORE_EXPIRY_S = 0.5
# Nothing is prefetched for a demand that needs fewer tokens than this.
_MIN_PREFETCH_TOKENS = 0.5
# A draw is due when less than this fraction of the target remains.
_REFILL_BELOW = 0.75
# After this time without a reply, a draw no longer counts as pending, so that
# the entry also asks another owner (a hedged request).
_HEDGE_AFTER_S = 0.06
_EPSILON = 1e-9


@attrs.define(slots=True)
class Batch:
    """Tokens drawn from one owner by one request.

    Attributes:
      owner: The owner's VM.
      number: Number of the draw.
      remaining: Tokens that have been neither spent nor returned.
      expires: Time in seconds from which the tokens may not be spent.
      unreported: Tokens spent since the last report.
    """

    owner: str
    number: int
    remaining: float
    expires: float
    unreported: float = 0.0


@attrs.frozen(slots=True)
class Waiter:
    """A call that waits for tokens.

    Attributes:
      call: Identifies the call within the token cache.
      cost: Tokens that the call needs.
      gives_up_at: Time in seconds at which the call stops waiting.
    """

    call: int
    cost: float
    gives_up_at: float


class TokenCache:
    """Token batches and waiting calls of one workspace at one entry.

    >>> cache = TokenCache()
    >>> cache.add_batch(Batch('owner', 1, 2.0, expires=1.0))
    >>> cache.try_spend(1.0, now=0.5), cache.try_spend(1.0, now=1.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._batches: list[Batch] = []
        self._waiters: collections.OrderedDict[int, Waiter]
        self._waiters = collections.OrderedDict()
        self._pending_draws: dict[int, tuple[float, float]] = {}
        self._demand = 0.0
        self._demand_at = 0.0

    def record_demand(self, cost: float, now: float) -> None:
        """Adds a call to the demand estimate, an exponential average."""
        self._demand = self.estimate_demand(now) + cost / DEMAND_TIME_CONSTANT_S
        self._demand_at = now

    def estimate_demand(self, now: float) -> float:
        """Returns the estimated demand in tokens a second."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)

    def available(self, now: float) -> float:
        """Returns the tokens that can be spent at ``now``."""
        return sum(b.remaining for b in self._batches if b.expires > now)

    def try_spend(self, cost: float, now: float) -> bool:
        """Spends ``cost`` tokens for a call that has not waited.

        Returns:
          Whether there were enough tokens. Always False while other calls
          wait, because those have precedence.
        """
        if self._waiters:
            return False
        return self._spend(cost, now)

    def enqueue(self, waiter: Waiter) -> bool:
        """Queues a call; returns False if `MAX_WAITING` calls wait."""
        if len(self._waiters) >= MAX_WAITING:
            return False
        self._waiters[waiter.call] = waiter
        return True

    def remove_waiter(self, call: int) -> None:
        """Removes a call that stops waiting."""
        self._waiters.pop(call, None)

    def admit_waiters(self, now: float) -> list[int]:
        """Spends tokens for waiting calls in order; returns those admitted."""
        admitted = []
        while self._waiters:
            waiter = next(iter(self._waiters.values()))
            if waiter.gives_up_at <= now:
                del self._waiters[waiter.call]
            elif self._spend(waiter.cost, now):
                del self._waiters[waiter.call]
                admitted.append(waiter.call)
            else:
                break
        return admitted

    def has_waiters(self) -> bool:
        """Returns whether calls wait for tokens."""
        return bool(self._waiters)

    def waiting_cost(self) -> float:
        """Returns the total cost of the waiting calls, in tokens."""
        return sum(w.cost for w in self._waiters.values())

    def compute_draw(self, now: float, prefetch_s: float = PREFETCH_S) -> float:
        """Returns the number of tokens to draw now; 0 if there are enough.

        Args:
          now: Time in seconds.
          prefetch_s: Tokens to prefetch, in seconds of demand.
        """
        waiting_cost = self.waiting_cost()
        target_tokens = self.estimate_demand(now) * prefetch_s
        target_tokens = waiting_cost + (
            math.ceil(target_tokens)
            if target_tokens >= _MIN_PREFETCH_TOKENS
            else 0
        )
        available_now = self.available(now) + self._sum_pending_tokens(now)
        if available_now >= max(waiting_cost, target_tokens * _REFILL_BELOW):
            return 0.0
        return target_tokens - available_now

    def add_pending_draw(self, number: int, amount: float, now: float) -> None:
        """Records a draw that has been sent to an owner."""
        self._pending_draws[number] = (amount, now)

    def remove_pending_draw(self, number: int) -> None:
        """Removes a draw that was answered or has failed."""
        self._pending_draws.pop(number, None)

    def add_batch(self, batch: Batch) -> None:
        """Adds a batch of drawn tokens."""
        self._batches.append(batch)
        self._batches.sort(key=lambda b: b.expires)

    def is_idle(self, now: float) -> bool:
        """Returns whether the cache is unused and can be removed."""
        return not (
            self._batches
            or self._waiters
            or self._pending_draws
            or self.estimate_demand(now) > 0.01
        )

    def drop_expired(self, now: float) -> float:
        """Removes expired batches; returns the unspent tokens in them."""
        expired = sum(b.remaining for b in self._batches if b.expires <= now)
        self._batches = [b for b in self._batches if b.expires > now]
        return expired

    def collect_reports(
        self,
        now: float,
        owners: Collection[str] | None = None,
        return_all: bool = False,
    ) -> list[tuple[str, int, float, float]]:
        """Returns the rows to report, and removes the tokens it returns.

        Args:
          now: Time in seconds.
          owners: Owners to report to; None for all.
          return_all: Whether to return all tokens, as before a stop.

        Returns:
          Rows of owner, draw number, tokens spent, tokens returned.
        """
        rows = []
        for batch in self._batches:
            if batch.expires <= now:
                continue
            if owners is not None and batch.owner not in owners:
                continue
            expires_soon = batch.expires - now < RETURN_BEFORE_EXPIRY_S
            returned = batch.remaining if expires_soon or return_all else 0.0
            if batch.unreported or returned:
                row = (batch.owner, batch.number, batch.unreported, returned)
                rows.append(row)
            batch.remaining -= returned
            batch.unreported = 0.0
        self._batches = [
            b for b in self._batches if b.remaining > _EPSILON or b.unreported
        ]
        return rows

    def _sum_pending_tokens(self, now: float) -> float:
        return sum(
            amount
            for amount, drawn_at in self._pending_draws.values()
            if now - drawn_at < _HEDGE_AFTER_S
        )

    def _spend(self, cost: float, now: float) -> bool:
        if self.available(now) + _EPSILON < cost:
            return False
        for batch in self._batches:
            if batch.expires <= now:
                continue
            part = min(cost, batch.remaining)
            batch.remaining -= part
            batch.unreported += part
            cost -= part
            if cost <= _EPSILON:
                break
        return True
