"""Times that the backend server takes for the calls of each workspace."""

import attrs

# Weight of a new sample in the moving averages of service times.
SERVICE_TIME_WEIGHT = 0.1
# Weight of a sample that is longer than the usual shortest service time.
SHORTEST_WEIGHT = 0.02
# Half-life of the estimate of the shortest service time without new samples.
# Otherwise, after a slow period every call with a short deadline would be
# refused, and with no call admitted the estimate would never be corrected.
SHORTEST_HALF_LIFE_S = 1.0
MIN_RELATIVE_COST = 0.01
MAX_RELATIVE_COST = 100.0
DEFAULT_COST = 1.0
MAX_TRACKED_WORKSPACES = 1024


@attrs.frozen
class _ServiceTime:
    """Service time of the calls of one workspace.

    Attributes:
      mean_s: Moving average in seconds.
      shortest_s: Usual shortest time in seconds: it follows a shorter sample
        at once and longer samples slowly.
      measured_at: Time of the last sample, in seconds.
    """

    mean_s: float
    shortest_s: float
    measured_at: float

    def add_sample(self, sample_s: float, now: float) -> '_ServiceTime':
        """Returns the service time after another sample."""
        shortest_s = min(
            sample_s,
            self.shortest_s + SHORTEST_WEIGHT * (sample_s - self.shortest_s),
        )
        mean_s = _average(self.mean_s, sample_s)
        return _ServiceTime(mean_s, shortest_s, now)

    def estimate_shortest_time(self, now: float) -> float:
        """Returns the estimated shortest time of a call, in seconds."""
        age_s = max(0.0, now - self.measured_at)
        return self.shortest_s * 0.5 ** (age_s / SHORTEST_HALF_LIFE_S)


class ServiceTimes:
    """Service times of all calls and of those of each workspace.

    >>> times = ServiceTimes()
    >>> times.record('w', 0.2, now=1.0)
    >>> times.mean_s, times.estimate_mean('w'), times.estimate_mean('other')
    (0.2, 0.2, 0.2)
    """

    def __init__(self):
        self._mean_s: float | None = None
        self._by_workspace: dict[str, _ServiceTime] = {}

    @property
    def mean_s(self) -> float:
        """Mean service time of all calls, in seconds; zero if unknown."""
        return self._mean_s or 0.0

    def record(self, workspace: str, latency_s: float, now: float) -> None:
        """Adds the service time of a call that succeeded."""
        self._mean_s = _average(self._mean_s, latency_s)
        service = self._by_workspace.get(workspace)
        if service is not None:
            self._by_workspace[workspace] = service.add_sample(latency_s, now)
            return
        if len(self._by_workspace) >= MAX_TRACKED_WORKSPACES:
            self._by_workspace.clear()
        self._by_workspace[workspace] = _ServiceTime(latency_s, latency_s, now)

    def estimate_mean(self, workspace: str) -> float:
        """Returns the mean time of a call of a workspace, in seconds."""
        service = self._by_workspace.get(workspace)
        return self.mean_s if service is None else service.mean_s

    def find_mean(self, workspace: str) -> float:
        """Returns the mean time of such a call in seconds; 0 if unknown."""
        service = self._by_workspace.get(workspace)
        return 0.0 if service is None else service.mean_s

    def estimate_shortest(self, workspace: str, now: float) -> float:
        """Returns the usual shortest time of such a call, in seconds."""
        service = self._by_workspace.get(workspace)
        return 0.0 if service is None else service.estimate_shortest_time(now)

    def estimate_cost(self, workspace: str) -> float:
        """Returns the mean time of a workspace's calls over that of all.

        An average call and a call of an unknown workspace cost 1.
        """
        service = self._by_workspace.get(workspace)
        if service is None or not self._mean_s:
            return DEFAULT_COST
        relative = service.mean_s / self._mean_s
        return min(MAX_RELATIVE_COST, max(MIN_RELATIVE_COST, relative))


def _average(mean_s: float | None, sample_s: float) -> float:
    if mean_s is None:
        return sample_s
    return mean_s + SERVICE_TIME_WEIGHT * (sample_s - mean_s)
