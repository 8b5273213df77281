"""Checks invariants on the runs of backend servers and the calls of callers.

Each rule compares the runs that the backend servers recorded with the call
records of `jayseam.tools.records`. Both use the clock of the same machine.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from jayseam.core import registries

_DRAIN_LIMIT_S = 3.0
_MAX_VIOLATIONS_PER_RULE = 20
_OVERLOAD_COUNTERS = ('overloads', 'falls', 'connections_refused')


@attrs.frozen
class Budget:
    """The rate and burst of a workspace.

    Attributes:
      rate_per_s: Calls a second.
      burst: Calls that are allowed in excess of the rate.
    """

    rate_per_s: float
    burst: float


@attrs.frozen
class Violation:
    """One violation of an invariant.

    Attributes:
      rule: Name of the rule.
      detail: Description of the runs or calls that violate the rule.
    """

    rule: str
    detail: str


@attrs.frozen
class Excess:
    """The window in which a budget was exceeded most.

    Attributes:
      count: Calls in the window.
      allowed: Calls that the budget allows in it.
      start: Time of the first call, in seconds.
      end: Time of the last call, in seconds.
    """

    count: int
    allowed: float
    start: float
    end: float


@attrs.frozen
class CheckInput:
    """The runs, calls and limits that the rules check.

    Attributes:
      runs: Run records of the backend servers.
      records: Call records of the load generator.
      peaks: Peaks of the backend servers by name.
      budgets: Budgets by workspace.
      latitude_s: Seconds by which each window of a budget is extended, because
        calls may bunch up between the rate limiter and the backend server.
    """

    runs: Sequence[Mapping[str, Any]]
    records: Sequence[Any]
    peaks: Mapping[str, Mapping[str, Any]]
    budgets: Mapping[str, Budget]
    latitude_s: float = 0.0


Rule = Callable[[CheckInput], Iterable[str]]

rules: registries.Registry[Rule] = registries.Registry('rule')


class InvariantChecker:
    """Applies all rules to the runs and calls of a test.

    Args:
      budgets: Budgets by workspace; see `read_budgets`.
      latitude_s: See `CheckInput`.
    """

    def __init__(
        self,
        budgets: Mapping[str, Budget] | None = None,
        latitude_s: float = 0.0,
    ):
        self._budgets = dict(budgets or {})
        self._latitude_s = latitude_s

    def find_violations(
        self,
        runs: Sequence[Mapping[str, Any]],
        records: Sequence[Any],
        peaks: Mapping[str, Mapping[str, Any]] | None = None,
    ) -> list[Violation]:
        """Returns all violations, at most 20 for each rule.

        Args:
          runs: From `clusters.Cluster.collect_runs`.
          records: `records.CallRecord` of all calls during the runs.
          peaks: From `clusters.Cluster.collect_peaks`; None skips the rule
            ``overload``.
        """
        check_input = CheckInput(
            runs, records, peaks or {}, self._budgets, self._latitude_s
        )
        return [
            Violation(name, detail)
            for name in rules.list_names()
            for detail in list(rules.get(name)(check_input))[
                :_MAX_VIOLATIONS_PER_RULE
            ]
        ]


def read_budgets(
    workspaces: Iterable[Mapping[str, Any]],
) -> dict[str, Budget]:
    """Returns the budgets of the workspaces of a preset document.

    >>> read_budgets([{'name': 'w', 'rate_per_s': 5, 'burst': 9}])
    {'w': Budget(rate_per_s=5, burst=9)}
    """
    return {
        entry['name']: Budget(entry['rate_per_s'], entry['burst'])
        for entry in workspaces
    }


def find_excess(
    times: Sequence[float], budget: Budget, latitude_s: float = 0.0
) -> Excess | None:
    """Returns the window that exceeds a budget most, or None.

    All windows that start and end with a call are considered. The number of
    calls from call i to call j, minus the rate times the time between them, is
    a difference of a term of j and a term of i, so one pass finds its maximum.

    >>> find_excess([0.0, 0.0, 1.0, 1.0], Budget(1, 2))
    Excess(count=4, allowed=3.0, start=0.0, end=1.0)
    >>> find_excess([0.0, 0.0, 1.0, 2.0], Budget(1, 2))
    """
    ordered = sorted(times)
    rate = budget.rate_per_s
    worst: tuple[float, int, int] = (0.0, 0, -1)
    first = 0
    for last, time in enumerate(ordered):
        if last - rate * time < first - rate * ordered[first]:
            first = last
        count = last - first + 1
        allowed = budget.burst + rate * (time - ordered[first] + latitude_s)
        # The tolerance covers the rounding errors of the products.
        if count - allowed > worst[0] + 1e-6:
            worst = (count - allowed, first, last)
    excess, first, last = worst
    if last < 0:
        return None
    count = last - first + 1
    return Excess(count, count - excess, ordered[first], ordered[last])


@rules.register('at-most-once')
def _check_idempotency_keys(check_input: CheckInput) -> Iterator[str]:
    """No idempotency key runs twice for a workspace."""
    runs: dict[tuple[str, str], list[str]] = collections.defaultdict(list)
    for run in check_input.runs:
        if run['idempotency_key']:
            key = (run['workspace'], run['idempotency_key'])
            runs[key].append(f'{run["request_id"]} at {run.get("backend")}')
    for (workspace, key), matching_runs in runs.items():
        if len(matching_runs) > 1:
            yield f'{workspace} {key} ran as {", ".join(matching_runs)}'


@rules.register('not-run')
def _check_not_run_answers(check_input: CheckInput) -> Iterator[str]:
    """No call whose answer says that it did not run has run."""
    request_ids = {run['request_id'] for run in check_input.runs} - {''}
    echoes = {run['echo'] for run in check_input.runs} - {''}
    n_attempts = collections.Counter(
        record.echo for record in check_input.records
    )
    for record in check_input.records:
        if record.ran != 'no':
            continue
        # `ran` is a statement about one attempt, so a run with the same echo
        # contradicts it only if no other attempt has that echo.
        ran_by_echo = n_attempts[record.echo] == 1 and record.echo in echoes
        if record.request_id in request_ids or ran_by_echo:
            yield f'{record.workspace} {record.outcome}: {record.request_id}'


@rules.register('workspace')
def _check_workspaces(check_input: CheckInput) -> Iterator[str]:
    """Every call runs for its own workspace and has a caller."""
    callers = {record.echo: record.workspace for record in check_input.records}
    for run in check_input.runs:
        workspace = callers.get(run['echo'])
        if run['echo'] and check_input.records and workspace is None:
            yield f'{run["request_id"]} ran, but nobody called it'
        elif workspace and run['workspace'] not in ('', workspace):
            yield f'{run["request_id"]} of {workspace}: {run["workspace"]}'


@rules.register('answers')
def _check_answers(check_input: CheckInput) -> Iterator[str]:
    """Every answer is complete, belongs to its call and comes from a run."""
    echoes = {run['echo'] for run in check_input.runs}
    for record in check_input.records:
        if record.outcome in ('foreign', 'corrupt'):
            yield f'{record.workspace} {record.outcome}: {record.request_id}'
        elif record.outcome == 'ok' and record.echo not in echoes:
            yield f'{record.workspace} answer without run: {record.request_id}'


@rules.register('keys')
def _check_keys_unseen(check_input: CheckInput) -> Iterator[str]:
    """No backend server sees a workspace key."""
    for run in check_input.runs:
        if run['key_seen']:
            yield f'{run.get("backend")} saw a key: {run["request_id"]}'


@rules.register('budget')
def _check_budgets(check_input: CheckInput) -> Iterator[str]:
    """No workspace exceeds its rate and burst in any window.

    Nested calls are not counted, and a retried call is counted once.
    """
    times: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for number, run in enumerate(check_input.runs):
        if not run['nested']:
            name = run['request_id'] or str(number)
            starts = times[run['workspace']]
            starts[name] = min(run['started'], starts.get(name, run['started']))
    for workspace, budget in check_input.budgets.items():
        starts = list(times[workspace].values())
        excess = find_excess(starts, budget, check_input.latitude_s)
        if excess is not None:
            length = excess.end - excess.start
            yield (
                f'{workspace}: {excess.count} calls in {length:.3f} s,'
                f' {excess.allowed:.1f} allowed'
            )


@rules.register('draining')
def _check_drains(check_input: CheckInput) -> Iterator[str]:
    """A draining backend server gets no new work after 3 s."""
    for run in check_input.runs:
        if (run['draining_s'] or 0.0) > _DRAIN_LIMIT_S:
            yield (
                f'{run.get("backend")} got {run["request_id"]}'
                f' {run["draining_s"]:.1f} s after the drain began'
            )


@rules.register('overload')
def _check_overloads(check_input: CheckInput) -> Iterator[str]:
    """No backend server gets more load than its slots and connections."""
    for name, peaks in check_input.peaks.items():
        found = {k: peaks[k] for k in _OVERLOAD_COUNTERS if peaks[k]}
        if found:
            yield f'{name}: {found}'
