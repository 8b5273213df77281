"""Speeds, concurrency limits and usual loads of VMs, learned from replies.

A node hears from a given VM only once in several seconds. Queues change within
such a time, so load reports are mostly stale; speeds, limits and the average
load change slowly and stay useful for longer.

See Also:
  ``docs/design/placement.md``.
"""

from collections.abc import Sequence

import attrs

# Time in which the weight of a service time falls to a half, in seconds. The
# rest of the weight goes to the average of the service, so that a VM that was
# slow once is tried again.
SERVICE_HALF_LIFE_S = 60.0
# Service time of a kind of call of which no VM has an average, in seconds.
DEFAULT_SERVICE_S = 0.1
# Time in which a limit that was learned from resets grows by one call, in
# seconds. Part of the resets come from failures instead of full servers.
LIMIT_GROWTH_S = 30.0
# Resets of a VM that runs a smaller share of its limit than this are taken for
# failures.
MIN_RESET_SHARE = 0.5
# Time in which the weight of an earlier average load falls to a half.
LOAD_HALF_LIFE_S = 1.5
# Most kinds of calls that are remembered for a VM, and most VMs.
MAX_KINDS = 64
MAX_VMS = 1024


@attrs.define
class _Mean:
    """Mean service time in seconds, and the time of its last report."""

    mean_s: float
    reported_at: float

    def compute_weight(self, now: float) -> float:
        """Returns the weight of the mean, from 0 to 1."""
        age_s = max(0.0, now - self.reported_at)
        return 0.5 ** (age_s / SERVICE_HALF_LIFE_S)


@attrs.define
class _Speed:
    """What is known of one VM.

    Attributes:
      means: Mean service times by kind of call.
      limit: Concurrency limit by the last report; 0 if unknown.
      reset_limit: Limit learned from resets; None without any.
      reset_at: Time of the last reset that lowered the limit, in seconds.
      usual_load: Moving average of the reported loads.
      reported_at: Time of the last report, in seconds; None without any.
    """

    means: dict[str, _Mean] = attrs.field(factory=dict)
    limit: int = 0
    reset_limit: float | None = None
    reset_at: float = 0.0
    usual_load: float = 0.0
    reported_at: float | None = None


class SpeedTable:
    """Speeds, limits and usual loads by VM, rebuilt from replies.

    >>> table = SpeedTable()
    >>> table.record_reply('vm-1', 'view', 0.1, limit=6, load=0.5, now=1.0)
    >>> table.record_reply('vm-2', 'view', 0.3, limit=6, load=0.5, now=1.0)
    >>> times = table.estimate_services(['vm-1', 'vm-2', 'vm-3'], 'view', 1.0)
    >>> [round(time, 3) for time in times]
    [0.1, 0.3, 0.2]
    >>> table.estimate_limit('vm-1', 10, 1.0), table.get_usual_load('vm-1')
    (6, 0.5)
    """

    def __init__(self):
        self._speeds: dict[str, _Speed] = {}

    def record_reply(
        self,
        vm: str,
        kind: str,
        service_s: float,
        limit: int,
        load: float,
        now: float,
    ) -> None:
        """Stores what a reply reports of its VM.

        Args:
          vm: Name of the VM.
          kind: Kind of the call.
          service_s: Mean service time of that kind at the VM, in seconds; 0 if
            the VM doesn't know it.
          limit: Concurrency limit of the VM; 0 if the reply doesn't state it.
          load: Calls in flight and queued, over the limit.
          now: Current time in seconds.
        """
        speed = self._get_or_add(vm)
        if service_s > 0.0:
            if kind not in speed.means and len(speed.means) >= MAX_KINDS:
                speed.means.clear()
            speed.means[kind] = _Mean(service_s, now)
        self.record_load(vm, limit, load, now)

    def record_load(self, vm: str, limit: int, load: float, now: float) -> None:
        """Stores the limit and load of a VM, from a reply or another VM."""
        speed = self._get_or_add(vm)
        if limit > 0:
            speed.limit = limit
        if speed.reported_at is None:
            speed.usual_load = load
        else:
            age_s = max(0.0, now - speed.reported_at)
            earlier = 0.5 ** (age_s / LOAD_HALF_LIFE_S)
            speed.usual_load = load + earlier * (speed.usual_load - load)
        speed.reported_at = now

    def record_reset(self, vm: str, calls: float, now: float) -> bool:
        """Lowers the limit of a VM that reset a connection.

        Args:
          vm: Name of the VM.
          calls: Calls in flight at the VM, with the one that was reset.
          now: Current time in seconds.

        Returns:
          Whether the VM was busy enough to take the reset for a full server.
        """
        speed = self._get_or_add(vm)
        if not speed.limit:
            return False
        limit = self._compute_limit(speed, now)
        calls = min(calls, limit)
        if calls < MIN_RESET_SHARE * speed.limit:
            return False
        speed.reset_limit = max(1.0, calls - 1.0)
        speed.reset_at = now
        return True

    def estimate_limit(self, vm: str, slots: int, now: float) -> int:
        """Returns the concurrency limit of a VM, or its slots if unknown."""
        speed = self._speeds.get(vm)
        if speed is None or not speed.limit:
            return slots or 1
        return max(1, int(self._compute_limit(speed, now)))

    def get_reported_limit(self, vm: str, slots: int) -> int:
        """Returns the limit to which the loads of a VM refer."""
        speed = self._speeds.get(vm)
        return (speed.limit if speed is not None else 0) or slots or 1

    def has_reset_limit(self, vm: str, now: float) -> bool:
        """Returns whether resets lower the limit of a VM."""
        speed = self._speeds.get(vm)
        return speed is not None and self._compute_limit(speed, now) < (
            speed.limit
        )

    def get_usual_load(self, vm: str) -> float | None:
        """Returns the moving average of the load of a VM; None if unknown."""
        speed = self._speeds.get(vm)
        if speed is None or speed.reported_at is None:
            return None
        return speed.usual_load

    def get_reported_at(self, vm: str) -> float | None:
        """Returns the time of the last report, in seconds; None without any."""
        speed = self._speeds.get(vm)
        return None if speed is None else speed.reported_at

    def estimate_services(
        self, vms: Sequence[str], kind: str, now: float
    ) -> list[float]:
        """Returns the expected service time of a kind at each VM, in seconds.

        A VM without samples of the kind counts as the average of the others,
        multiplied by its service times of other kinds over their averages.

        Args:
          vms: VMs of one service.
          kind: Kind of the call.
          now: Current time in seconds.
        """
        speeds = [self._speeds.get(vm) for vm in vms]
        averages = _compute_averages(speeds, now)
        average_s = averages.get(kind, DEFAULT_SERVICE_S)
        return [
            average_s
            if speed is None
            else _estimate_service(speed, kind, averages, average_s, now)
            for speed in speeds
        ]

    def _compute_limit(self, speed: _Speed, now: float) -> float:
        if speed.reset_limit is None:
            return speed.limit
        growth = max(0.0, now - speed.reset_at) / LIMIT_GROWTH_S
        return min(speed.limit, speed.reset_limit + growth)

    def _get_or_add(self, vm: str) -> _Speed:
        speed = self._speeds.get(vm)
        if speed is None:
            if len(self._speeds) >= MAX_VMS:
                # VMs that have left; those in use return with their replies.
                self._speeds.clear()
            speed = self._speeds[vm] = _Speed()
        return speed


def _compute_averages(
    speeds: Sequence[_Speed | None], now: float
) -> dict[str, float]:
    """Returns the average service time of each kind, in seconds."""
    sums: dict[str, float] = {}
    weights: dict[str, float] = {}
    for speed in speeds:
        if speed is None:
            continue
        for kind, mean in speed.means.items():
            weight = mean.compute_weight(now)
            sums[kind] = sums.get(kind, 0.0) + weight * mean.mean_s
            weights[kind] = weights.get(kind, 0.0) + weight
    return {
        kind: total / weights[kind]
        for kind, total in sums.items()
        if weights[kind] > 0.0
    }


def _estimate_service(
    speed: _Speed,
    kind: str,
    averages: dict[str, float],
    average_s: float,
    now: float,
) -> float:
    """Returns the expected service time of a kind at a VM, in seconds."""
    own = speed.means.get(kind)
    weight = 0.0 if own is None else own.compute_weight(now)
    ratio, ratio_weight = 0.0, 0.0
    for other, mean in speed.means.items():
        if other != kind and averages.get(other):
            other_weight = mean.compute_weight(now)
            ratio += other_weight * mean.mean_s / averages[other]
            ratio_weight += other_weight
    # The ratio of a VM without other kinds is 1, and old ratios approach it.
    prior_s = average_s
    if ratio_weight > 0.0:
        trust = min(1.0, ratio_weight)
        prior_s *= 1.0 + trust * (ratio / ratio_weight - 1.0)
    if own is None:
        return prior_s
    return weight * own.mean_s + (1.0 - weight) * prior_s
