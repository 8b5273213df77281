"""Measures how long a change takes until every node applies it to calls."""

from collections.abc import Callable, Iterable, Mapping

import attrs
import gevent

from jayseam.core import clocks
from jayseam.standins import clusters
from jayseam.standins import errors
from jayseam.standins import exchanges

_HOST = '127.0.0.1'
_PROBE_INTERVAL_S = 0.02


@attrs.frozen
class Probe:
    """A call whose answer shows whether a change is in force at a node.

    Attributes:
      path: Path of the call.
      in_force: Returns whether a status shows that the change is in force.
      headers: Header fields of the call.
    """

    path: str
    in_force: Callable[[int], bool]
    headers: Mapping[str, str] = attrs.field(factory=dict)


def is_route_in_force(status: int) -> bool:
    """Returns whether a status shows that a node knows an added route.

    A node that doesn't know it yet answers 404, or 503 if it knows of a newer
    version.
    """
    return status not in (404, 503)


@attrs.frozen
class Convergence:
    """Times from a publication until each VM applies it to a call.

    Attributes:
      seconds: Times in seconds of the VMs that converged, by name.
      missing: VMs at which the change was not in force in time.
    """

    seconds: Mapping[str, float]
    missing: tuple[str, ...] = ()

    def percentile(self, share: float) -> float:
        """Returns the seconds within which a share of the VMs converged.

        The result is infinite if any VM is missing.

        >>> Convergence({'a': 0.1, 'b': 0.3}).percentile(0.5)
        0.1
        """
        if self.missing:
            return float('inf')
        ordered = sorted(self.seconds.values())
        return ordered[max(0, round(share * len(ordered)) - 1)]

    @property
    def slowest(self) -> float:
        """Returns the time until all VMs converged, in seconds."""
        return self.percentile(1.0)


def measure_convergence(
    cluster: clusters.Cluster,
    publish: Callable[[], object],
    probe: Probe,
    timeout_s: float = 10.0,
    vms: Iterable[str] | None = None,
) -> Convergence:
    """Publishes a change and probes each node until it applies the change.

    Args:
      cluster: The running cluster.
      publish: Publishes the change.
      probe: Call that shows whether the change is in force.
      timeout_s: Seconds until a node counts as missing.
      vms: Names of the VMs whose nodes are probed; all by default.
    """
    vm_names = list(vms or cluster.vms)
    seconds: dict[str, float] = {}
    published_at = clocks.read_now()
    publish()
    deadline = published_at + timeout_s
    jobs = [
        gevent.spawn(
            _probe_until, cluster, name, probe, published_at, deadline, seconds
        )
        for name in vm_names
    ]
    gevent.joinall(jobs)
    missing = tuple(name for name in vm_names if name not in seconds)
    return Convergence(seconds, missing)


def _probe_until(
    cluster: clusters.Cluster,
    vm: str,
    probe: Probe,
    published_at: float,
    deadline: float,
    seconds: dict[str, float],
) -> None:
    connection = exchanges.Connection(_HOST, cluster.vms[vm].caller_port)
    while clocks.read_now() < deadline:
        try:
            answer = connection.exchange(
                'GET', probe.path, probe.headers, b'', 2.0
            )
        except errors.ExchangeError:
            gevent.sleep(_PROBE_INTERVAL_S)
            continue
        if probe.in_force(answer.status):
            seconds[vm] = clocks.read_now() - published_at
            break
        gevent.sleep(_PROBE_INTERVAL_S)
    connection.close()
