"""Invariants that a soak run checks besides those of `InvariantChecker`.

Each check reads the records of the load generator and the backend servers, and
the exit statuses of the node processes. The rules of the invariant
checker are in `jayseam.standins.invariants`.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from jayseam.core import registries
from jayseam.soak import faults
from jayseam.tools import records

# Outcomes of calls whose connection ended without a complete response.
_CUT_OUTCOMES = ('lost', 'corrupt')
# Calls lost in a planned stop are excused if an unplanned fault overlaps the
# stop or ended at most this long before it: the stable window in the operators'
# requirements.
_STABLE_WINDOW_S = 3.0
_MAX_DETAILS_PER_CHECK = 10


@attrs.frozen
class Finding:
    """A violated invariant.

    Attributes:
      check: Name of the check or rule.
      detail: What was found.
    """

    check: str
    detail: str


@attrs.frozen
class Observations:
    """The input of all checks.

    Attributes:
      records: Calls that the load generator made.
      runs: Executions of calls that the backend servers recorded.
      stops: Planned stops of nodes.
      unplanned_faults: Start and end time of each unplanned fault, in seconds.
      withdrawn: Workspace whose key was withdrawn (revoked).
      withdrawn_at: Time at which the withdrawal was published, in seconds.
      key_grace_s: Longest time after the withdrawal for which calls with the
        withdrawn key may still run, in seconds.
      exit_statuses: Exit statuses of node processes that ended unexpectedly,
        by VM.
      unrecovered_vms: VMs that served no call again within the recovery timeout
        after the last fault.
    """

    records: Sequence[records.CallRecord]
    runs: Sequence[Mapping[str, Any]]
    stops: Sequence[faults.Stop]
    unplanned_faults: Sequence[tuple[float, float]]
    withdrawn: str
    withdrawn_at: float
    key_grace_s: float
    exit_statuses: Mapping[str, int]
    unrecovered_vms: Sequence[str]


Check = Callable[[Observations], Iterable[str]]

registry: registries.Registry[Check] = registries.Registry('soak check')


def run_checks(observations: Observations) -> list[Finding]:
    """Returns the findings of all checks, at most 10 for each check."""
    return [
        Finding(name, detail)
        for name in registry.list_names()
        for detail in list(registry.get(name)(observations))[
            :_MAX_DETAILS_PER_CHECK
        ]
    ]


@registry.register('withdrawn-key')
def _check_withdrawn_key(observations: Observations) -> Iterator[str]:
    """No call runs with a withdrawn key after the grace period."""
    latest_start = observations.withdrawn_at + observations.key_grace_s
    for run in observations.runs:
        if (
            run['workspace'] == observations.withdrawn
            and run['started'] > latest_start
        ):
            late_s = run['started'] - observations.withdrawn_at
            yield f'{run["request_id"]} ran {late_s:.2f} s after the withdrawal'


@registry.register('planned-stop')
def _check_planned_stops(observations: Observations) -> Iterator[str]:
    """A planned stop exits with status 0 and loses no call."""
    by_target = collections.defaultdict(list)
    for record in observations.records:
        if record.outcome in _CUT_OUTCOMES:
            by_target[record.target].append(record)
    for stop in observations.stops:
        if stop.was_serving and stop.status != 0:
            yield f'{stop.address} ended with status {stop.status}'
        if _is_excused(observations.unplanned_faults, stop):
            continue
        for record in by_target[stop.address]:
            if stop.started <= record.ended <= stop.ended:
                yield f'{stop.address} cut {record.request_id or record.echo}'


@registry.register('own-end')
def _check_process_exits(observations: Observations) -> Iterator[str]:
    """No node process ends unexpectedly."""
    for vm, status in observations.exit_statuses.items():
        yield f'{vm} ended with status {status}'


@registry.register('recovery')
def _check_recovery(observations: Observations) -> Iterator[str]:
    """Every node serves calls again after the faults have ended."""
    for vm in observations.unrecovered_vms:
        yield f'{vm} serves no call'


def _is_excused(
    unplanned_faults: Sequence[tuple[float, float]], stop: faults.Stop
) -> bool:
    """Returns whether an unplanned fault excuses calls lost in a stop."""
    return any(
        start <= stop.ended and stop.started <= end + _STABLE_WINDOW_S
        for start, end in unplanned_faults
    )
