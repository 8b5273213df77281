"""The token buckets that an owner runs on the shares leased to it.

Why the window bound holds. Let ``backing`` be the sum of the bursts of all
leases that have not ended, by this owner's clock, and let ``spendable`` be the
level plus all tokens in batches that may still be spent. The pool keeps
``spendable <= backing`` at all times:

- The level accrues at the sum of the leased rates only while the level plus the
  outstanding batches is below ``backing``, and is cut when ``backing`` shrinks.
- A batch is granted only from leases that outlast it: those that end at least
  `BATCH_OUTSTANDING_S` later. Without this rule a batch could outlive its
  lease, and the share could accrue at another owner while the batch is unspent.
- A batch counts as outstanding until the entry reports it spent or returns it,
  or until it expires. The entry counts the expiry from its request, the owner
  from the later time of its grant, with `share_leases.CLOCK_DRIFT` added.

Each share is in the backing of at most one owner (see `share_leases`), so the
sum of spendable tokens over the fleet is at most the workspace's burst, and
all accrual together is at most its rate. Hence at most ``burst + rate * w``
tokens are spent in any window of length w. The accrual is scaled by 1/1.001 so
that a fast clock does not exceed the rate.

A crash of the owner loses its level; outstanding batches stay valid, and their
leases outlast them. A crash of an entry loses its batches, which expire at the
owner without credit. A report that is lost or late has the same effect.
"""

import collections
from collections.abc import Mapping

import attrs

from jayseam.limits import buckets
from jayseam.limits import share_leases

BATCH_LIFETIME_S = 1.0
# Time for which the owner counts a batch as outstanding.
BATCH_OUTSTANDING_S = BATCH_LIFETIME_S * (1 + share_leases.CLOCK_DRIFT)
_RATE_SCALE = 1 / (1 + share_leases.CLOCK_DRIFT / 2)
# A bucket with a smaller capacity grants fractions of a token, because it may
# never contain a whole token.
_MIN_BURST_FOR_WHOLE_TOKENS = 1.0

BatchKey = tuple[str, int, int]


@attrs.frozen(slots=True)
class Lease:
    """A lease on the shares of one position, as the owner keeps it.

    Attributes:
      upstream: The position.
      incarnation: Incarnation of the lending process.
      shares: The position's shares by workspace.
      expires: End of the lease in seconds, counted from the request for it.
    """

    upstream: str
    incarnation: int
    shares: share_leases.Shares
    expires: float


@attrs.define(slots=True)
class _Batch:
    amount: float
    expires: float


class _Ledger:
    """One workspace's bucket and outstanding batches."""

    __slots__ = ('bucket', 'batches', 'outstanding')

    def __init__(self, now: float):
        self.bucket = buckets.Bucket(0.0, 0.0, 0.0, now)
        self.batches: collections.OrderedDict[BatchKey, _Batch]
        self.batches = collections.OrderedDict()
        self.outstanding = 0.0

    def advance(self, now: float) -> None:
        """Applies accrual and expiry of batches up to ``now``."""
        while self.batches:
            key, batch = next(iter(self.batches.items()))
            if batch.expires > now:
                break
            self.bucket = self.bucket.refill(batch.expires, self.outstanding)
            self.deduct(key, batch.amount)
        self.bucket = self.bucket.refill(now, self.outstanding)

    def deduct(self, key: BatchKey, amount: float) -> float:
        """Deducts up to ``amount`` tokens from a batch; returns how many."""
        batch = self.batches.get(key)
        if batch is None:
            return 0.0
        taken = min(amount, batch.amount)
        batch.amount -= taken
        if batch.amount <= 0.0:
            del self.batches[key]
        # Recomputing the sum avoids an accumulation of rounding errors.
        self.outstanding = sum(b.amount for b in self.batches.values())
        return taken


class Pool:
    """Holds the leases on one group and grants batches of tokens.

    >>> pool = Pool()
    >>> shares = {'w': share_leases.Share(10.0, 5.0)}
    >>> pool.add_lease(Lease('u1', 1, shares, expires=2.0), now=0.0)
    True
    >>> pool.grant_batch('w', 3.0, ('vm', 1, 1), now=0.9) > 2.9
    True
    """

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._ledgers: dict[str, _Ledger] = {}
        self._next_end = float('inf')

    def add_lease(self, lease: Lease, now: float) -> bool:
        """Adds or renews the lease of one position.

        Returns:
          Whether the lease was accepted. It is not if it has ended, or if a
          higher incarnation at the position has granted a lease already.
        """
        self.drop_expired_leases(now)
        previous = self._leases.get(lease.upstream)
        if lease.expires <= now:
            return False
        if previous is not None:
            if previous.incarnation > lease.incarnation:
                return False
            if previous.incarnation == lease.incarnation:
                expires = max(previous.expires, lease.expires)
                lease = attrs.evolve(lease, expires=expires)
        self._leases[lease.upstream] = lease
        if previous is None or (
            previous.shares is not lease.shares
            and previous.shares != lease.shares
        ):
            self._resize(now)
        self._next_end = min(self._next_end, lease.expires)
        return True

    def drop_expired_leases(self, now: float) -> None:
        """Removes the leases that have ended by ``now``."""
        while self._next_end <= now:
            end = self._next_end
            ended = [u for u, n in self._leases.items() if n.expires <= end]
            for upstream in ended:
                del self._leases[upstream]
            if ended:
                self._resize(end)
            ends = (lease.expires for lease in self._leases.values())
            self._next_end = min(ends, default=float('inf'))

    def clear(self) -> None:
        """Drops all leases and unspent tokens of the pool."""
        self._leases.clear()
        self._ledgers.clear()
        self._next_end = float('inf')

    def grant_batch(
        self, workspace: str, requested: float, key: BatchKey, now: float
    ) -> float:
        """Grants a batch of at most ``requested`` tokens.

        Args:
          workspace: Name of the workspace.
          requested: Number of tokens requested.
          key: VM, incarnation and draw number of the entry; unique.
          now: Time in seconds.

        Returns:
          Number of tokens in the batch; 0 if no batch was granted.
        """
        self.drop_expired_leases(now)
        ledger = self._ledgers.get(workspace)
        if ledger is None or requested <= 0.0 or key in ledger.batches:
            return 0.0
        ledger.advance(now)
        room = self._sum_outlasting_bursts(workspace, now) - ledger.outstanding
        amount = min(requested, ledger.bucket.level, room)
        if ledger.bucket.burst >= _MIN_BURST_FOR_WHOLE_TOKENS:
            amount = float(int(amount + 1e-9))
            amount = min(amount, ledger.bucket.level)
        if amount <= 0.0:
            return 0.0
        ledger.bucket = ledger.bucket.add(-amount)
        ledger.batches[key] = _Batch(amount, now + BATCH_OUTSTANDING_S)
        ledger.outstanding += amount
        return amount

    def apply_report(
        self,
        workspace: str,
        key: BatchKey,
        spent: float,
        returned: float,
        now: float,
    ) -> None:
        """Applies an entry's report of the use of a batch.

        Args:
          workspace: Name of the workspace.
          key: Key of the batch.
          spent: Tokens spent since the last report.
          returned: Unspent tokens that the entry returns.
          now: Time in seconds.
        """
        self.drop_expired_leases(now)
        ledger = self._ledgers.get(workspace)
        if ledger is None:
            return
        ledger.advance(now)
        ledger.deduct(key, max(0.0, spent))
        credit = ledger.deduct(key, max(0.0, returned))
        ledger.bucket = ledger.bucket.add(credit).refill(
            now, ledger.outstanding
        )

    def level(self, workspace: str, now: float) -> float:
        """Returns the tokens that are in the bucket at ``now``."""
        self.drop_expired_leases(now)
        ledger = self._ledgers.get(workspace)
        if ledger is None:
            return 0.0
        ledger.advance(now)
        return ledger.bucket.level

    def backing(self, workspace: str, now: float) -> float:
        """Returns the sum of the leased bursts at ``now``."""
        self.drop_expired_leases(now)
        ledger = self._ledgers.get(workspace)
        return 0.0 if ledger is None else ledger.bucket.burst

    def totals(self) -> Mapping[str, share_leases.Share]:
        """Returns the leased rate and burst by workspace."""
        return {
            name: share_leases.Share(
                ledger.bucket.rate_per_s / _RATE_SCALE, ledger.bucket.burst
            )
            for name, ledger in self._ledgers.items()
        }

    def describe(self, now: float) -> dict[str, float]:
        """Returns the numbers of leases and outstanding tokens."""
        self.drop_expired_leases(now)
        outstanding = sum(
            ledger.outstanding for ledger in self._ledgers.values()
        )
        return {'loans': len(self._leases), 'outstanding': outstanding}

    def _sum_outlasting_bursts(self, workspace: str, now: float) -> float:
        limit = now + BATCH_OUTSTANDING_S
        return sum(
            lease.shares.get(workspace, share_leases.NO_SHARE).burst
            for lease in self._leases.values()
            if lease.expires >= limit
        )

    def _resize(self, now: float) -> None:
        names = {n for lease in self._leases.values() for n in lease.shares}
        for name in names | set(self._ledgers):
            ledger = self._ledgers.setdefault(name, _Ledger(now))
            ledger.advance(now)
            parts = [
                lease.shares[name]
                for lease in self._leases.values()
                if name in lease.shares
            ]
            ledger.bucket = ledger.bucket.resize(
                sum(p.rate_per_s for p in parts) * _RATE_SCALE,
                sum(p.burst for p in parts),
                ledger.outstanding,
            )
            if not parts and not ledger.batches:
                del self._ledgers[name]
