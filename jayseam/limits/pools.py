"""The bucket that an owner runs over the shares lent to it.

Why the window bound holds. Let ``backing`` be the sum of the bursts of all
loans that have not ended, by this owner's clock, and let ``spendable`` be the
level plus all tokens in batches that may still be spent. The pool keeps
``spendable <= backing`` at all times:

- The level accrues at the sum of the lent rates only while the level plus the
  outstanding batches is below ``backing``, and is cut when ``backing`` shrinks.
- A batch is granted only out of loans that outlast it: those that end at least
  `BATCH_HOLD_S` later. Without this rule a batch could outlive the loan behind
  it, and the share could accrue at another owner while the batch is unspent.
- A batch counts as outstanding until the entry reports it spent, returns it, or
  it expires. The entry counts its expiry from the moment it asked, the owner
  from the later moment it granted, with `accounts.CLOCK_DRIFT` added.

Each share is in the backing of at most one owner (see `accounts`), so the sum
of spendable tokens over the fleet is at most the workspace's burst, and all
accrual together is at most its rate. Hence at most ``burst + rate * w`` tokens
are spent in any window of length w. The accrual is scaled by 1/1.001 so that a
fast clock does not exceed the rate.

A crash of the owner loses its level; batches in use stay valid, and their loans
outlast them. An entry's crash loses its batches, which expire here unspent and
are not credited. A report that is lost or late has the same effect.
"""

import collections
from collections.abc import Mapping

import attrs

from jayseam.limits import accounts
from jayseam.limits import buckets

BATCH_S = 1.0
BATCH_HOLD_S = BATCH_S * (1 + accounts.CLOCK_DRIFT)
_RATE_SCALE = 1 / (1 + accounts.CLOCK_DRIFT / 2)
# Below this capacity a pool hands out fractions of a token, since it may never
# hold a whole one.
_WHOLE_TOKENS_FROM = 1.0

BatchKey = tuple[str, int, int]


@attrs.frozen(slots=True)
class Loan:
    """The shares that one position lends to this owner.

    Attributes:
      upstream: The position.
      incarnation: The lending process.
      shares: Its shares by workspace.
      expires: End of the loan in seconds, counted from the request for it.
    """

    upstream: str
    incarnation: int
    shares: accounts.Shares
    expires: float


@attrs.define(slots=True)
class _Batch:
    amount: float
    expires: float


class _Ledger:
    """One workspace's bucket and outstanding batches."""

    __slots__ = ('bucket', 'batches', 'held')

    def __init__(self, now: float):
        self.bucket = buckets.Bucket(0.0, 0.0, 0.0, now)
        self.batches: collections.OrderedDict[BatchKey, _Batch]
        self.batches = collections.OrderedDict()
        self.held = 0.0

    def settle(self, now: float) -> None:
        """Counts accrual and expiry up to ``now``."""
        while self.batches:
            key, batch = next(iter(self.batches.items()))
            if batch.expires > now:
                break
            self.bucket = self.bucket.refill(batch.expires, self.held)
            self.remove(key, batch.amount)
        self.bucket = self.bucket.refill(now, self.held)

    def remove(self, key: BatchKey, amount: float) -> float:
        """Takes up to ``amount`` tokens off a batch; returns how many."""
        batch = self.batches.get(key)
        if batch is None:
            return 0.0
        taken = min(amount, batch.amount)
        batch.amount -= taken
        if batch.amount <= 0.0:
            del self.batches[key]
        # Recomputing avoids a drift of the sum through rounding.
        self.held = sum(b.amount for b in self.batches.values())
        return taken


class Pool:
    """Holds loans and hands out batches of tokens.

    >>> pool = Pool()
    >>> shares = {'w': accounts.Share(10.0, 5.0)}
    >>> pool.add(Loan('u1', 1, shares, expires=2.0), now=0.0)
    True
    >>> pool.draw('w', 3.0, ('vm', 1, 1), now=0.9) > 2.9
    True
    """

    def __init__(self) -> None:
        self._loans: dict[str, Loan] = {}
        self._ledgers: dict[str, _Ledger] = {}
        self._next_end = float('inf')

    def add(self, loan: Loan, now: float) -> bool:
        """Counts or renews the loan of one position.

        Returns:
          Whether it counts. It does not if it has ended, or if a higher
          incarnation at the position has lent already.
        """
        self.expire(now)
        held = self._loans.get(loan.upstream)
        if loan.expires <= now:
            return False
        if held is not None:
            if held.incarnation > loan.incarnation:
                return False
            if held.incarnation == loan.incarnation:
                expires = max(held.expires, loan.expires)
                loan = attrs.evolve(loan, expires=expires)
        self._loans[loan.upstream] = loan
        if held is None or (
            held.shares is not loan.shares and held.shares != loan.shares
        ):
            self._resize(now)
        self._next_end = min(self._next_end, loan.expires)
        return True

    def expire(self, now: float) -> None:
        """Drops the loans that have ended by ``now``."""
        while self._next_end <= now:
            end = self._next_end
            ended = [u for u, n in self._loans.items() if n.expires <= end]
            for upstream in ended:
                del self._loans[upstream]
            if ended:
                self._resize(end)
            ends = (loan.expires for loan in self._loans.values())
            self._next_end = min(ends, default=float('inf'))

    def clear(self) -> None:
        """Gives up all loans and unspent tokens of the pool."""
        self._loans.clear()
        self._ledgers.clear()
        self._next_end = float('inf')

    def draw(
        self, workspace: str, want: float, key: BatchKey, now: float
    ) -> float:
        """Hands out a batch of at most ``want`` tokens.

        Args:
          workspace: Whose tokens.
          want: Tokens asked for.
          key: VM, incarnation and draw number of the entry; unique.
          now: Time in seconds.

        Returns:
          The tokens of the batch; 0 if there are none.
        """
        self.expire(now)
        ledger = self._ledgers.get(workspace)
        if ledger is None or want <= 0.0 or key in ledger.batches:
            return 0.0
        ledger.settle(now)
        room = self._lasting_burst(workspace, now) - ledger.held
        amount = min(want, ledger.bucket.level, room)
        if ledger.bucket.burst >= _WHOLE_TOKENS_FROM:
            amount = float(int(amount + 1e-9))
            amount = min(amount, ledger.bucket.level)
        if amount <= 0.0:
            return 0.0
        ledger.bucket = ledger.bucket.add(-amount)
        ledger.batches[key] = _Batch(amount, now + BATCH_HOLD_S)
        ledger.held += amount
        return amount

    def settle_batch(
        self,
        workspace: str,
        key: BatchKey,
        spent: float,
        returned: float,
        now: float,
    ) -> None:
        """Takes an entry's report of a batch into account.

        Args:
          workspace: Whose tokens.
          key: The batch.
          spent: Tokens spent since the last report.
          returned: Tokens that the entry has given up unspent.
          now: Time in seconds.
        """
        self.expire(now)
        ledger = self._ledgers.get(workspace)
        if ledger is None:
            return
        ledger.settle(now)
        ledger.remove(key, max(0.0, spent))
        credit = ledger.remove(key, max(0.0, returned))
        ledger.bucket = ledger.bucket.add(credit).refill(now, ledger.held)

    def level(self, workspace: str, now: float) -> float:
        """Returns the tokens that are in the bucket at ``now``."""
        self.expire(now)
        ledger = self._ledgers.get(workspace)
        if ledger is None:
            return 0.0
        ledger.settle(now)
        return ledger.bucket.level

    def backing(self, workspace: str, now: float) -> float:
        """Returns the sum of the bursts lent to this pool at ``now``."""
        self.expire(now)
        ledger = self._ledgers.get(workspace)
        return 0.0 if ledger is None else ledger.bucket.burst

    def totals(self) -> Mapping[str, accounts.Share]:
        """Returns the rate and burst lent to this pool, by workspace."""
        return {
            name: accounts.Share(
                ledger.bucket.rate_per_s / _RATE_SCALE, ledger.bucket.burst
            )
            for name, ledger in self._ledgers.items()
        }

    def describe(self, now: float) -> dict[str, float]:
        """Returns the number of loans and outstanding tokens."""
        self.expire(now)
        held = sum(ledger.held for ledger in self._ledgers.values())
        return {'loans': len(self._loans), 'outstanding': held}

    def _lasting_burst(self, workspace: str, now: float) -> float:
        limit = now + BATCH_HOLD_S
        return sum(
            loan.shares.get(workspace, accounts.NOTHING).burst
            for loan in self._loans.values()
            if loan.expires >= limit
        )

    def _resize(self, now: float) -> None:
        names = {n for loan in self._loans.values() for n in loan.shares}
        for name in names | set(self._ledgers):
            ledger = self._ledgers.setdefault(name, _Ledger(now))
            ledger.settle(now)
            parts = [
                loan.shares[name]
                for loan in self._loans.values()
                if name in loan.shares
            ]
            ledger.bucket = ledger.bucket.resize(
                sum(p.rate_per_s for p in parts) * _RATE_SCALE,
                sum(p.burst for p in parts),
                ledger.held,
            )
            if not parts and not ledger.batches:
                del self._ledgers[name]
