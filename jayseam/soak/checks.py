"""Promises that a soak checks beside the rules of the referee.

Each check reads what callers and backend servers recorded, and what became of
the processes.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from jayseam.core import registries
from jayseam.soak import faults
from jayseam.tools import records

# Outcomes of calls whose connection ended without a whole answer.
_CUT_OUTCOMES = ('lost', 'corrupt')
# Unplanned faults excuse a lost call for this long after their end, in
# seconds: the stable window of the operators' rules.
_STABLE_WINDOW_S = 3.0
_MOST_LISTED = 10


@attrs.frozen
class Finding:
    """A promise that was not kept.

    Attributes:
      check: Name of the check or rule.
      detail: What was found.
    """

    check: str
    detail: str


@attrs.frozen
class Evidence:
    """Everything that the checks look at.

    Attributes:
      records: Calls of all callers.
      runs: Runs that backend servers recorded.
      stops: Planned stops.
      unplanned: Start and end of each unplanned fault, in seconds.
      withdrawn: Workspace whose key was withdrawn.
      withdrawn_at: When that was published, in seconds.
      trust_s: Longest time for which a node may use a key that has been
        withdrawn, in seconds.
      ended: Exit statuses of processes that ended by themselves, by VM.
      unserved: VMs that served no call in time after the last fault.
    """

    records: Sequence[records.CallRecord]
    runs: Sequence[Mapping[str, Any]]
    stops: Sequence[faults.Stop]
    unplanned: Sequence[tuple[float, float]]
    withdrawn: str
    withdrawn_at: float
    trust_s: float
    ended: Mapping[str, int]
    unserved: Sequence[str]


Check = Callable[[Evidence], Iterable[str]]

registry: registries.Registry[Check] = registries.Registry('soak check')


def find_breaches(evidence: Evidence) -> list[Finding]:
    """Returns what all checks find, a few lines for each at most."""
    return [
        Finding(name, detail)
        for name in registry.names()
        for detail in list(registry.get(name)(evidence))[:_MOST_LISTED]
    ]


@registry.register('withdrawn-key')
def _check_withdrawn_key(evidence: Evidence) -> Iterator[str]:
    """Nothing runs for a key that was withdrawn long enough ago."""
    last = evidence.withdrawn_at + evidence.trust_s
    for run in evidence.runs:
        if run['workspace'] == evidence.withdrawn and run['started'] > last:
            late_s = run['started'] - evidence.withdrawn_at
            yield f'{run["request_id"]} ran {late_s:.2f} s after the withdrawal'


@registry.register('planned-stop')
def _check_stops(evidence: Evidence) -> Iterator[str]:
    """A planned stop ends cleanly and cuts no call."""
    by_target = collections.defaultdict(list)
    for record in evidence.records:
        if record.outcome in _CUT_OUTCOMES:
            by_target[record.target].append(record)
    for stop in evidence.stops:
        if stop.was_serving and stop.status != 0:
            yield f'{stop.address} ended with status {stop.status}'
        if _is_disturbed(evidence.unplanned, stop):
            continue
        for record in by_target[stop.address]:
            if stop.started <= record.ended <= stop.ended:
                yield f'{stop.address} cut {record.request_id or record.echo}'


@registry.register('own-end')
def _check_ends(evidence: Evidence) -> Iterator[str]:
    """No process ends by itself."""
    for vm, status in evidence.ended.items():
        yield f'{vm} ended with status {status}'


@registry.register('recovery')
def _check_recovery(evidence: Evidence) -> Iterator[str]:
    """Every node serves again once the faults are over."""
    for vm in evidence.unserved:
        yield f'{vm} serves no call'


def _is_disturbed(
    unplanned: Sequence[tuple[float, float]], stop: faults.Stop
) -> bool:
    """Tells whether an unplanned fault excuses what a stop cuts."""
    return any(
        start <= stop.ended and stop.started <= end + _STABLE_WINDOW_S
        for start, end in unplanned
    )
