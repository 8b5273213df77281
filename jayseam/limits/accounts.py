"""The share of one upstream position in the rate and burst of each workspace.

Every position has 1/N of each workspace's rate and burst, where N counts all
positions of the preset. If the preset has zone weights for the workspace, rate
and burst are divided over the zones by them, and a zone's part equally over its
positions. The process at the position lends its share, one workspace group at a
time, to one borrower.

Why no share is usable in two places at once:

- A loan runs from the moment the lender grants it. The borrower counts it from
  the moment it asked, which is earlier, and the lender adds `CLOCK_DRIFT`, so
  the borrower's loan always ends first.
- The lender grants to another borrower, or to another incarnation of the same
  VM, only after the loan has ended. A borrower that restarts has lost the
  record of the tokens it handed out, so its new incarnation counts as another
  borrower.
- A process that starts lends nothing for `PREDECESSOR_WAIT_S`, which is longer
  than any loan that its predecessor can have granted.
- A borrower's first tokens from a share accrue after its loan began, so a share
  never brings its burst along when it moves.

A crash of the lender loses its share for the wait of its successor. A crash of
the borrower loses the level of its bucket and the use of the shares until their
loans end.
"""

import collections
import fractions
import math
from collections.abc import Mapping
from typing import Any

import attrs
import cbor2

from jayseam.core import digests

LOAN_S = 2.0
PREDECESSOR_WAIT_S = 2.5
# Two clocks may each differ by 0.1% from true time.
CLOCK_DRIFT = 0.002
# Every node is expected to hold a version within half of this time after the
# first one did. The other half is for a node that skips the version: a raise
# must not take effect at a node that the version which takes it back has not
# reached, while another has gone from the version before to the one after.
GROWTH_DELAY_S = 5.0
# Zone weights are raised to this part of an equal share, so that a zone whose
# weight is zero has tokens when it is cut off. Right weights of workspaces that
# call in one zone only refused 2.1 to 2.3% at 90% of the rate in the model with
# a quarter, and 0.2 to 0.3% with a tenth.
MIN_OF_EQUAL = fractions.Fraction(1, 10)
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


NOTHING = Share()
Shares = Mapping[str, Share]


@attrs.frozen(slots=True)
class _Growth:
    """A raise that has not taken effect yet."""

    share: Share
    due: float


@attrs.frozen(slots=True)
class _Loan:
    """The borrower of one workspace group and the end of its loan."""

    vm: str
    incarnation: int
    until: float


def compute_shares(preset: Any, upstream: str) -> dict[str, Share]:
    """Returns the position's share of each workspace.

    The shares of all positions add up to at most the workspace's rate and
    burst: parts are exact fractions, and each share is rounded down.

    Args:
      preset: Object with ``upstreams`` and ``workspaces`` mappings.
      upstream: Name of the position.

    Returns:
      One share by workspace; nothing if the preset lacks the position.
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
            _multiply_down(workspace.rate_per_s, parts[weights]),
            _multiply_down(workspace.burst, parts[weights]),
        )
    return shares


def divide_by_zone(
    counts: Mapping[str, int], weights: Mapping[str, float]
) -> dict[str, fractions.Fraction]:
    """Returns the part of each zone that has positions; they add up to 1.

    Weights of zones without positions are left out, so the other zones have
    their part in proportion. A zone's part is raised to `MIN_OF_EQUAL` of what
    it would have if all positions were equal, before all are scaled to 1.

    >>> parts = divide_by_zone({'a': 2, 'b': 2}, {'a': 3.0, 'b': 1.0, 'c': 9.0})
    >>> float(parts['a']), float(parts['b'])
    (0.75, 0.25)

    Args:
      counts: Number of positions by zone.
      weights: Weight by zone; a missing one counts as 0.
    """
    positions = sum(counts.values())
    exact = {zone: fractions.Fraction(weights.get(zone, 0)) for zone in counts}
    total = sum(exact.values())
    raised = {
        zone: max(
            exact[zone] / total if total else 0,
            MIN_OF_EQUAL * count / positions,
        )
        for zone, count in counts.items()
    }
    scale = sum(raised.values())
    return {zone: part / scale for zone, part in raised.items()}


def _multiply_down(amount: float, part: fractions.Fraction) -> float:
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
    """Returns the shares in the form that messages carry."""
    return {name: [s.rate_per_s, s.burst] for name, s in shares.items()}


def digest_shares(shares: Shares) -> str:
    """Returns a short digest by which two nodes tell equal shares.

    >>> digest_shares({'w': Share(1.0, 2.0)}) == digest_shares({})
    False
    """
    data = cbor2.dumps(sorted(encode_shares(shares).items()))
    return digests.compute_digest(data)[:_DIGEST_CHARS]


class Account:
    """Tracks what one process may lend of its position's share.

    Args:
      upstream: Name of the position.
      now: Time in seconds at which the process started.
    """

    def __init__(self, upstream: str, now: float):
        self.upstream = upstream
        self.free_at = now + PREDECESSOR_WAIT_S
        self._current: dict[str, Share] = {}
        self._growth: dict[str, _Growth] = {}
        self._loans: dict[int, _Loan] = {}
        self._version: int | None = None
        self._digest = digest_shares({})

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Takes over a version of the preset.

        A share shrinks at once. It grows `GROWTH_DELAY_S` later, because other
        positions may still lend by the version before. The first version of a
        process counts as a raise from nothing: its age is unknown.
        """
        if self._version is not None and version <= self._version:
            return
        self._version = version
        targets = compute_shares(preset, self.upstream)
        for name in set(self._current) - set(targets):
            del self._current[name]
        self._growth = {
            name: growth
            for name, target in targets.items()
            if (growth := self._plan_growth(name, target, now)) is not None
        }
        self._digest = digest_shares(self._current)

    def _plan_growth(
        self, name: str, target: Share, now: float
    ) -> _Growth | None:
        held = self._current.get(name, NOTHING)
        lowered = Share(
            min(held.rate_per_s, target.rate_per_s),
            min(held.burst, target.burst),
        )
        self._current[name] = lowered
        if lowered == target:
            return None
        planned = self._growth.get(name)
        due = now + GROWTH_DELAY_S
        # A raise already announced by an earlier version keeps its time.
        if planned is not None and (
            target.rate_per_s <= planned.share.rate_per_s
            and target.burst <= planned.share.burst
        ):
            due = planned.due
        return _Growth(target, due)

    def shares(self, now: float) -> tuple[Shares, str]:
        """Returns the shares in effect at ``now`` and their digest."""
        due = [name for name, g in self._growth.items() if g.due <= now]
        if due:
            # A new mapping, because borrowers may hold the one before.
            self._current = dict(self._current)
            for name in due:
                self._current[name] = self._growth.pop(name).share
            self._digest = digest_shares(self._current)
        return self._current, self._digest

    def lend(self, group: int, vm: str, incarnation: int, now: float) -> bool:
        """Lends or renews one group's shares to a borrower.

        Args:
          group: Number of the workspace group.
          vm: The borrower.
          incarnation: The borrower's incarnation.
          now: Time in seconds.

        Returns:
          Whether the borrower has the loan for `LOAN_S` from its request on.
        """
        if now < self.free_at:
            return False
        loan = self._loans.get(group)
        if loan is not None and now < loan.until:
            if (loan.vm, loan.incarnation) != (vm, incarnation):
                return False
        until = now + LOAN_S * (1 + CLOCK_DRIFT)
        self._loans[group] = _Loan(vm, incarnation, until)
        return True

    def release(
        self,
        group: int,
        vm: str,
        incarnation: int,
        now: float,
        remaining_s: float,
    ) -> None:
        """Ends a loan early, once its borrower has given it back.

        Args:
          group: Number of the workspace group.
          vm: The borrower.
          incarnation: The borrower's incarnation.
          now: Time in seconds.
          remaining_s: Longest life of the tokens that the borrower handed out.
        """
        loan = self._loans.get(group)
        if loan is None or (loan.vm, loan.incarnation) != (vm, incarnation):
            return
        until = min(loan.until, now + remaining_s * (1 + CLOCK_DRIFT))
        self._loans[group] = attrs.evolve(loan, until=until)

    def borrower(self, group: int, now: float) -> str | None:
        """Returns the VM that has the group's shares at ``now``, if any."""
        loan = self._loans.get(group)
        return loan.vm if loan is not None and now < loan.until else None

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the account's state for the status page."""
        return {
            'version': self._version,
            'waiting_s': max(0.0, self.free_at - now),
            'growing': len(self._growth),
            'lent': {
                str(group): loan.vm
                for group, loan in sorted(self._loans.items())
                if now < loan.until
            },
        }
