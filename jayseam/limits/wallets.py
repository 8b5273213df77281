"""The tokens that an entry holds for one workspace.

A wallet estimates demand and says how many tokens to draw, so that a call
normally finds one. Calls that find none wait in order, up to a bound. A batch
expires `pools.BATCH_S` seconds after the entry asked for it. Tokens that are
unlikely to be spent in time are returned to their owner.
"""

import collections
import math
from collections.abc import Collection

import attrs

MAX_WAITING = 64
DEMAND_WINDOW_S = 1.0
# Stock to hold, in seconds of demand. It must exceed the time between two draws
# plus a round trip.
STOCK_S = 0.4
RETURN_BEFORE_S = 0.5
# Stock below which nothing is prefetched, in tokens.
_MIN_STOCK = 0.5
# A draw is due when less than this part of the stock is left.
_REFILL_BELOW = 0.75
# A draw unanswered for this long no longer counts as tokens to come, so another
# owner is asked.
_HEDGE_S = 0.06
_EPSILON = 1e-9


@attrs.define(slots=True)
class Batch:
    """Tokens drawn from one owner by one request.

    Attributes:
      owner: The owner's VM.
      number: Number of the draw.
      left: Tokens left.
      expires: Time in seconds after which they may not be spent.
      unreported: Tokens spent since the last report.
    """

    owner: str
    number: int
    left: float
    expires: float
    unreported: float = 0.0


@attrs.frozen(slots=True)
class Waiter:
    """A call that waits for tokens.

    Attributes:
      call: Identifies the call within the wallet.
      cost: Tokens that it needs.
      until: Time in seconds at which it gives up.
    """

    call: int
    cost: float
    until: float


class Wallet:
    """Holds token batches and waiting calls of one workspace at one entry.

    >>> wallet = Wallet()
    >>> wallet.put(Batch('owner', 1, 2.0, expires=1.0))
    >>> wallet.take(1.0, now=0.5), wallet.take(1.0, now=1.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._batches: list[Batch] = []
        self._waiters: collections.OrderedDict[int, Waiter]
        self._waiters = collections.OrderedDict()
        self._coming: dict[int, tuple[float, float]] = {}
        self._demand = 0.0
        self._demand_at = 0.0

    def note(self, cost: float, now: float) -> None:
        """Counts a call in the estimate of demand."""
        self._demand = self.demand(now) + cost / DEMAND_WINDOW_S
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Returns the estimated demand in tokens a second."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-elapsed / DEMAND_WINDOW_S)

    def stock(self, now: float) -> float:
        """Returns the tokens that can be spent at ``now``."""
        return sum(b.left for b in self._batches if b.expires > now)

    def take(self, cost: float, now: float) -> bool:
        """Spends ``cost`` tokens for a call that has not waited.

        Returns:
          Whether there were enough. Calls that wait have precedence.
        """
        if self._waiters:
            return False
        return self._spend(cost, now)

    def enqueue(self, waiter: Waiter) -> bool:
        """Adds a waiting call, unless too many wait."""
        if len(self._waiters) >= MAX_WAITING:
            return False
        self._waiters[waiter.call] = waiter
        return True

    def withdraw(self, call: int) -> None:
        """Removes a waiting call that gives up."""
        self._waiters.pop(call, None)

    def serve(self, now: float) -> list[int]:
        """Spends tokens for waiting calls in order; returns those served."""
        served = []
        while self._waiters:
            waiter = next(iter(self._waiters.values()))
            if waiter.until <= now:
                del self._waiters[waiter.call]
            elif self._spend(waiter.cost, now):
                del self._waiters[waiter.call]
                served.append(waiter.call)
            else:
                break
        return served

    def has_waiting(self) -> bool:
        """Tells whether calls wait for tokens."""
        return bool(self._waiters)

    def waiting(self) -> float:
        """Returns the tokens that waiting calls need."""
        return sum(w.cost for w in self._waiters.values())

    def need(self, now: float, stock_s: float = STOCK_S) -> float:
        """Returns the tokens to draw now; 0 if the stock suffices.

        Args:
          now: Time in seconds.
          stock_s: Stock to hold, in seconds of demand.
        """
        waiting = self.waiting()
        target = self.demand(now) * stock_s
        target = waiting + (math.ceil(target) if target >= _MIN_STOCK else 0)
        have = self.stock(now) + self._expected(now)
        if have >= max(waiting, target * _REFILL_BELOW):
            return 0.0
        return target - have

    def expect(self, number: int, amount: float, now: float) -> None:
        """Notes a draw under way."""
        self._coming[number] = (amount, now)

    def settle(self, number: int) -> None:
        """Notes that a draw has been answered or has failed."""
        self._coming.pop(number, None)

    def put(self, batch: Batch) -> None:
        """Adds drawn tokens."""
        self._batches.append(batch)
        self._batches.sort(key=lambda b: b.expires)

    def is_idle(self, now: float) -> bool:
        """Tells whether the wallet can be forgotten."""
        return not (
            self._batches
            or self._waiters
            or self._coming
            or self.demand(now) > 0.01
        )

    def drop_expired(self, now: float) -> float:
        """Removes expired batches; returns the tokens lost."""
        lost = sum(b.left for b in self._batches if b.expires <= now)
        self._batches = [b for b in self._batches if b.expires > now]
        return lost

    def collect_reports(
        self,
        now: float,
        owners: Collection[str] | None = None,
        everything: bool = False,
    ) -> list[tuple[str, int, float, float]]:
        """Returns what to report and gives up tokens that are returned.

        Args:
          now: Time in seconds.
          owners: Owners to report to; None for all.
          everything: Whether to return all tokens, for a stop.

        Returns:
          Rows of owner, draw number, tokens spent, tokens returned.
        """
        rows = []
        for batch in self._batches:
            if batch.expires <= now:
                continue
            if owners is not None and batch.owner not in owners:
                continue
            late = batch.expires - now < RETURN_BEFORE_S
            returned = batch.left if late or everything else 0.0
            if batch.unreported or returned:
                row = (batch.owner, batch.number, batch.unreported, returned)
                rows.append(row)
            batch.left -= returned
            batch.unreported = 0.0
        self._batches = [
            b for b in self._batches if b.left > _EPSILON or b.unreported
        ]
        return rows

    def _expected(self, now: float) -> float:
        return sum(
            amount
            for amount, asked in self._coming.values()
            if now - asked < _HEDGE_S
        )

    def _spend(self, cost: float, now: float) -> bool:
        if self.stock(now) + _EPSILON < cost:
            return False
        for batch in self._batches:
            if batch.expires <= now:
                continue
            part = min(cost, batch.left)
            batch.left -= part
            batch.unreported += part
            cost -= part
            if cost <= _EPSILON:
                break
        return True
