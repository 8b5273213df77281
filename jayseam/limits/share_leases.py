"""The share of one upstream position in the rate and burst of each workspace.

Every position has 1/N of each workspace's rate and burst, where N counts all
positions of the preset. If the preset has zone weights for the workspace, rate
and burst are divided over the zones by them, and a zone's part equally over its
positions. The process at the position leases its share of each workspace group
to one borrower at a time.

Why no share is usable in two places at once:

- The lender counts a lease from the moment of the grant. The borrower counts it
  from the moment of its request, which is earlier, and the lender adds
  `CLOCK_DRIFT`, so the lease always ends at the borrower first.
- The lender grants a lease to another borrower, or to another incarnation of
  the same VM, only after the earlier lease has ended. A borrower that restarts
  has lost the record of the tokens that it handed out, so its new incarnation
  counts as another borrower.
- A process that starts grants no lease for `PREDECESSOR_WAIT_S`, which is
  longer than any lease that its predecessor can have granted.
- A borrower's first tokens from a share accrue after its lease began, so a
  share that moves to another borrower carries none of its burst along.

After a crash of the lender, its share is unused until its successor's wait is
over. A crash of the borrower loses the level of its bucket, and the shares are
unused until their leases end.
"""

import collections
import fractions
import math
from collections.abc import Mapping
from typing import Any

import attrs
import cbor2

from jayseam.core import digests

LEASE_S = 2.0
PREDECESSOR_WAIT_S = 2.5
# Two clocks may each differ by 0.1% from true time.
CLOCK_DRIFT = 0.002
# Delay before an increase of a share takes effect. Every node is expected to
# receive a version within half of this time after the first node did. The other
# half covers nodes that skip a version: if the next version reverts an
# increase, a node that has not received it yet must not apply the increase
# while another node has gone straight from the version before to the next one.
INCREASE_DELAY_S = 5.0
# Minimum part of a zone, as a fraction of its part if all positions were equal,
# so that a zone of weight zero has tokens when it is cut off. In the model,
# workspaces at 90% of their rate that call in one zone only, with accurate
# weights, had 2.1 to 2.3% of their calls refused with 1/4, and 0.2 to 0.3% with
# 1/10.
MIN_PART_OF_EQUAL = fractions.Fraction(1, 10)
_DIGEST_CHARS = 12


@attrs.frozen(slots=True)
class Share:
    """A part of a workspace's rate and burst.

    Attributes:
      rate_per_s: Tokens a second.
      burst: Capacity in tokens.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0


NO_SHARE = Share()
Shares = Mapping[str, Share]


@attrs.frozen(slots=True)
class _PendingIncrease:
    """An increased share that takes effect at a later time."""

    share: Share
    effective_at: float


@attrs.frozen(slots=True)
class _Lease:
    """The borrower of one workspace group and the end of its lease."""

    vm: str
    incarnation: int
    until: float


def compute_shares(preset: Any, upstream: str) -> dict[str, Share]:
    """Returns the position's share of each workspace.

    The shares of all positions add up to at most the workspace's rate and
    burst: divisions are exact fractions, and each share is rounded down.

    Args:
      preset: Object with ``upstreams`` and ``workspaces`` mappings.
      upstream: Name of the position.

    Returns:
      The share by workspace; empty if the preset lacks the position.
    """
    if upstream not in preset.upstreams:
        return {}
    counts = collections.Counter(
        getattr(position, 'zone', '') for position in preset.upstreams.values()
    )
    zone = getattr(preset.upstreams[upstream], 'zone', '')
    parts = {(): fractions.Fraction(1, len(preset.upstreams))}
    shares = {}
    for name, workspace in preset.workspaces.items():
        weights = getattr(workspace, 'zone_weights', ())
        if weights not in parts:
            divided = divide_by_zone(counts, dict(weights))
            parts[weights] = divided[zone] / counts[zone]
        shares[name] = Share(
            _multiply_rounding_down(workspace.rate_per_s, parts[weights]),
            _multiply_rounding_down(workspace.burst, parts[weights]),
        )
    return shares


def divide_by_zone(
    counts: Mapping[str, int], weights: Mapping[str, float]
) -> dict[str, fractions.Fraction]:
    """Returns the fraction of each zone that has positions; the sum is 1.

    Weights of zones without positions are ignored, so their part goes to the
    other zones in proportion. The fraction of a zone is raised to at least
    `MIN_PART_OF_EQUAL` of its fraction if all positions were equal; then all
    fractions are scaled to a sum of 1.

    >>> parts = divide_by_zone({'a': 2, 'b': 2}, {'a': 3.0, 'b': 1.0, 'c': 9.0})
    >>> float(parts['a']), float(parts['b'])
    (0.75, 0.25)

    Args:
      counts: Number of positions by zone.
      weights: Weight by zone; a missing weight counts as 0.
    """
    positions = sum(counts.values())
    exact = {zone: fractions.Fraction(weights.get(zone, 0)) for zone in counts}
    total = sum(exact.values())
    raised = {
        zone: max(
            exact[zone] / total if total else 0,
            MIN_PART_OF_EQUAL * count / positions,
        )
        for zone, count in counts.items()
    }
    scale = sum(raised.values())
    return {zone: part / scale for zone, part in raised.items()}


def _multiply_rounding_down(amount: float, part: fractions.Fraction) -> float:
    """Returns the product, rounded towards zero.

    Integers give the exact product in a tenth of the time of a `Fraction`.
    """
    numerator, denominator = amount.as_integer_ratio()
    numerator *= part.numerator
    denominator *= part.denominator
    product = numerator / denominator
    top, bottom = product.as_integer_ratio()
    if top * denominator > numerator * bottom:
        return math.nextafter(product, 0.0)
    return product


def encode_shares(shares: Shares) -> dict[str, list[float]]:
    """Returns the shares as they are encoded in messages."""
    return {name: [s.rate_per_s, s.burst] for name, s in shares.items()}


def digest_shares(shares: Shares) -> str:
    """Returns a short digest by which nodes recognise equal shares.

    >>> digest_shares({'w': Share(1.0, 2.0)}) == digest_shares({})
    False
    """
    data = cbor2.dumps(sorted(encode_shares(shares).items()))
    return digests.compute_digest(data)[:_DIGEST_CHARS]


class ShareLender:
    """Grants leases on the share of one position.

    Args:
      upstream: Name of the position.
      now: Time in seconds at which the process started.
    """

    def __init__(self, upstream: str, now: float):
        self.upstream = upstream
        self.lends_from = now + PREDECESSOR_WAIT_S
        self._current: dict[str, Share] = {}
        self._pending_increases: dict[str, _PendingIncrease] = {}
        self._leases: dict[int, _Lease] = {}
        self._version: int | None = None
        self._digest = digest_shares({})

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Applies a version of the preset; ignores one that is not newer.

        A decrease takes effect at once. An increase takes effect
        `INCREASE_DELAY_S` later, because other positions may still lend by the
        version before. The first version that a process receives counts as an
        increase from zero, because its age is unknown.
        """
        if self._version is not None and version <= self._version:
            return
        self._version = version
        targets = compute_shares(preset, self.upstream)
        for name in set(self._current) - set(targets):
            del self._current[name]
        self._pending_increases = {
            name: increase
            for name, target in targets.items()
            if (increase := self._plan_increase(name, target, now)) is not None
        }
        self._digest = digest_shares(self._current)

    def _plan_increase(
        self, name: str, target: Share, now: float
    ) -> _PendingIncrease | None:
        current = self._current.get(name, NO_SHARE)
        lowered = Share(
            min(current.rate_per_s, target.rate_per_s),
            min(current.burst, target.burst),
        )
        self._current[name] = lowered
        if lowered == target:
            return None
        planned = self._pending_increases.get(name)
        effective_at = now + INCREASE_DELAY_S
        # An increase that an earlier version has scheduled keeps its time.
        if planned is not None and (
            target.rate_per_s <= planned.share.rate_per_s
            and target.burst <= planned.share.burst
        ):
            effective_at = planned.effective_at
        return _PendingIncrease(target, effective_at)

    def get_shares(self, now: float) -> tuple[Shares, str]:
        """Returns the shares in effect at ``now`` and their digest."""
        due = [
            name
            for name, g in self._pending_increases.items()
            if g.effective_at <= now
        ]
        if due:
            # A new mapping, because borrowers may still use the previous one.
            self._current = dict(self._current)
            for name in due:
                self._current[name] = self._pending_increases.pop(name).share
            self._digest = digest_shares(self._current)
        return self._current, self._digest

    def grant_lease(
        self, group: int, vm: str, incarnation: int, now: float
    ) -> bool:
        """Grants or renews a lease on one group's shares.

        Args:
          group: Number of the workspace group.
          vm: The borrower.
          incarnation: The borrower's incarnation.
          now: Time in seconds.

        Returns:
          Whether the borrower has the lease for `LEASE_S` from its request.
        """
        if now < self.lends_from:
            return False
        lease = self._leases.get(group)
        if lease is not None and now < lease.until:
            if (lease.vm, lease.incarnation) != (vm, incarnation):
                return False
        until = now + LEASE_S * (1 + CLOCK_DRIFT)
        self._leases[group] = _Lease(vm, incarnation, until)
        return True

    def release(
        self,
        group: int,
        vm: str,
        incarnation: int,
        now: float,
        remaining_s: float,
    ) -> None:
        """Ends a lease early, after its borrower has returned it.

        Args:
          group: Number of the workspace group.
          vm: The borrower.
          incarnation: The borrower's incarnation.
          now: Time in seconds.
          remaining_s: Longest remaining lifetime of the tokens that the
            borrower has handed out.
        """
        lease = self._leases.get(group)
        if lease is None or (lease.vm, lease.incarnation) != (vm, incarnation):
            return
        until = min(lease.until, now + remaining_s * (1 + CLOCK_DRIFT))
        self._leases[group] = attrs.evolve(lease, until=until)

    def find_borrower(self, group: int, now: float) -> str | None:
        """Returns the VM that has a lease on the group at ``now``, if any."""
        lease = self._leases.get(group)
        return lease.vm if lease is not None and now < lease.until else None

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            'version': self._version,
            'waiting_s': max(0.0, self.lends_from - now),
            'growing': len(self._pending_increases),
            'lent': {
                str(group): lease.vm
                for group, lease in sorted(self._leases.items())
                if now < lease.until
            },
        }
