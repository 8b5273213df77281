"""The program ``jayseam-load``: an open-loop load generator.

Arrivals follow a seeded schedule that answers don't slow down. Latencies run
from the scheduled time, so a call that waited for a free connection counts
with its wait (coordinated omission). Each answer is checked to be whole and
its own, and each refusal is classified by its problem code.

See Also:
  `jayseam.tools.profiles` for the input; `jayseam.standins.answers` for the
  bodies that can be checked.
"""

import argparse
import collections
import json
import random
import resource
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

import attrs
import gevent
from gevent import queue
from hdrh import histogram

from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.standins import answers
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.tools import profiles

CPU_SHARE_LIMIT = 0.9
LAG_LIMIT_MS = 20.0

_MAX_LATENCY_US = 120_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_RECENT_CALLS = 64
_SIGNIFICANT_DIGITS = 3
_START_DELAY_S = 0.05

Progress = Callable[['LoadReport', float], None]


@attrs.define
class CallRecord:
    """One call.

    Times are seconds of `clocks.read_now`.

    Attributes:
      workspace: Workspace whose key was sent.
      method: HTTP method.
      path: Request target.
      echo: Value that the backend server echoes; shared by repeats.
      idempotency_key: Idempotency key, or empty.
      repeat: Whether it repeats an earlier call.
      scheduled: When it was due.
      issued: When the schedule handed it to the connections.
      sent: When a connection took it; 0 if none did before the end.
      ended: When its outcome was known.
      target: Address that it was sent to.
      status: HTTP status, or 0.
      code: Problem code, or empty.
      ran: ``yes``, ``no`` or ``unknown``; empty before it is sent.
      request_id: Request id that the node gave.
      outcome: ``ok``, a problem code, ``status-<n>``, ``corrupt``,
        ``foreign``, ``unreachable``, ``timeout``, ``lost`` or ``unsent``.
      nested_failures: Levels of nested calls that didn't succeed.
    """

    workspace: str
    method: str
    path: str
    echo: str
    idempotency_key: str
    repeat: bool
    scheduled: float
    issued: float = 0.0
    sent: float = 0.0
    ended: float = 0.0
    target: str = ''
    status: int = 0
    code: str = ''
    ran: str = ''
    request_id: str = ''
    outcome: str = 'unsent'
    nested_failures: int = 0


@attrs.frozen
class _Call:
    """A record on its way, with the route that it follows."""

    record: CallRecord
    route: profiles.RouteLoad


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@attrs.define
class LoadReport:
    """The result of a run.

    Attributes:
      records: All calls in the order of their schedule for each workspace
        entry.
      started: Start of the schedule, seconds of `clocks.read_now`.
      duration_s: Length of the schedule in seconds.
      latencies: Latencies of ``ok`` calls in microseconds by workspace, from
        the scheduled time.
      lags: How late the schedule was, in microseconds.
      waits: Waits for a free connection, in microseconds.
      per_second: Outcomes by second of the schedule and workspace.
      cpu_share: Share of one core that this process used until the last
        arrival.
    """

    started: float
    duration_s: float
    records: list[CallRecord] = attrs.field(factory=list)
    latencies: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    lags: histogram.HdrHistogram = attrs.field(factory=_make_histogram)
    waits: histogram.HdrHistogram = attrs.field(factory=_make_histogram)
    per_second: dict[int, dict[str, collections.Counter[str]]] = attrs.field(
        factory=dict
    )
    cpu_share: float = 0.0

    @property
    def lag_ms(self) -> float:
        """The 99th percentile of the lateness of the schedule."""
        return self.lags.get_value_at_percentile(99.0) / 1000.0

    @property
    def lagged(self) -> bool:
        """Whether the tool was too slow for its schedule.

        With few connections a saturated tool still issues calls in time and
        only the waits grow, so the use of the core counts as well.
        """
        return self.lag_ms > LAG_LIMIT_MS or self.cpu_share > CPU_SHARE_LIMIT

    def add(self, record: CallRecord) -> None:
        """Counts a finished call."""
        second = int(record.scheduled - self.started)
        workspaces = self.per_second.setdefault(second, {})
        counter = workspaces.setdefault(record.workspace, collections.Counter())
        counter[record.outcome] += 1
        if record.outcome == 'ok':
            if record.workspace not in self.latencies:
                self.latencies[record.workspace] = _make_histogram()
            _record(
                self.latencies[record.workspace],
                record.ended - record.scheduled,
            )
        if record.sent:
            _record(self.lags, record.issued - record.scheduled)
            _record(self.waits, record.sent - record.issued)

    def count_outcomes(self, workspace: str | None = None) -> dict[str, int]:
        """Returns the number of calls by outcome, most frequent first."""
        total: collections.Counter[str] = collections.Counter()
        for workspaces in self.per_second.values():
            for name, counter in workspaces.items():
                if workspace in (None, name):
                    total.update(counter)
        return dict(total.most_common())

    def to_dict(self) -> dict[str, Any]:
        """Returns the report without the records, for JSON."""
        names = sorted({record.workspace for record in self.records})
        return {
            'duration_s': self.duration_s,
            'calls': len(self.records),
            'calls_per_s': round(len(self.records) / self.duration_s, 1),
            'lagged': self.lagged,
            'cpu_share': round(self.cpu_share, 3),
            'schedule_lag_ms': _summarize(self.lags),
            'connection_wait_ms': _summarize(self.waits),
            'outcomes': self.count_outcomes(),
            'workspaces': {
                name: {
                    'outcomes': self.count_outcomes(name),
                    'latency_ms': _summarize(self.latencies.get(name)),
                }
                for name in names
            },
            'nested_failures': sum(r.nested_failures for r in self.records),
            'per_second': [
                {'second': second, 'workspace': name, 'outcomes': dict(counter)}
                for second, workspaces in sorted(self.per_second.items())
                for name, counter in sorted(workspaces.items())
            ],
        }

    def format_table(self) -> str:
        """Returns one line for each workspace, and the totals."""
        heads = ['workspace', 'calls', 'ok', 'p50 ms', 'p99 ms', 'max ms']
        rows = [heads + ['other outcomes']]
        for name, entry in self.to_dict()['workspaces'].items():
            outcomes = dict(entry['outcomes'])
            calls = sum(outcomes.values())
            ok = outcomes.pop('ok', 0)
            latency = entry['latency_ms']
            others = ', '.join(f'{k} {v}' for k, v in outcomes.items())
            values = [latency.get(k, '-') for k in ('p50', 'p99', 'max')]
            rows.append([str(v) for v in (name, calls, ok, *values, others)])
        widths = [max(len(row[i]) for row in rows) for i in range(len(heads))]
        lines = [
            '  '.join(cell.ljust(w) for cell, w in zip(row, widths))
            + f'  {row[-1]}'
            for row in rows
        ]
        rate = len(self.records) / self.duration_s
        note = 'LAGGED behind the schedule' if self.lagged else 'kept up'
        lines.append(
            f'{len(self.records)} calls, {rate:.1f} a second;'
            f' {note} (99 in 100 at most {self.lag_ms:.1f} ms late,'
            f' {self.cpu_share:.0%} of a core)'
        )
        return '\n'.join(line.rstrip() for line in lines)


def _record(target: histogram.HdrHistogram, seconds: float) -> None:
    target.record_value(min(_MAX_LATENCY_US, max(1, int(seconds * 1e6))))


def _summarize(source: histogram.HdrHistogram | None) -> dict[str, float]:
    """Returns percentiles in milliseconds; empty without values."""
    if source is None or not source.get_total_count():
        return {}
    summary = {
        f'p{percentile:g}': source.get_value_at_percentile(percentile) / 1000.0
        for percentile in _PERCENTILES
    }
    return {**summary, 'max': source.get_max_value() / 1000.0}


def schedule_calls(
    load: profiles.WorkspaceLoad,
    profile: profiles.Profile,
    generator: random.Random,
    prefix: str,
    start_wall_ms: int,
) -> Iterator[tuple[float, _Call]]:
    """Yields the calls of a workspace with their offsets in seconds.

    Args:
      load: The workspace entry.
      profile: The profile that it belongs to.
      generator: Decides arrivals, routes, repeats and keys.
      prefix: Start of the echo values, unique to the entry and run.
      start_wall_ms: Wall clock at the start of the run, in milliseconds.
    """
    shares = [route.share for route in load.routes]
    recent: dict[int, collections.deque[CallRecord]] = {}
    offset = load.start_s
    end = min(load.end_s or profile.duration_s, profile.duration_s)
    number = 0
    while True:
        gap = 1.0 / load.rate_per_s
        if profile.arrivals == 'poisson':
            gap = generator.expovariate(load.rate_per_s)
        offset += gap
        if offset >= end:
            return
        number += 1
        index = generator.choices(range(len(shares)), shares)[0]
        route = load.routes[index]
        record = CallRecord(
            load.name,
            route.method,
            route.path,
            f'{prefix}-{number}',
            '',
            False,
            0.0,
        )
        if not route.repeatable:
            made = recent.setdefault(
                index, collections.deque(maxlen=_RECENT_CALLS)
            )
            if made and generator.random() < route.repeat_share:
                first = generator.choice(made)
                record.echo = first.echo
                record.idempotency_key = first.idempotency_key
                record.repeat = True
            else:
                record.idempotency_key = identifiers.make_uuid7(
                    start_wall_ms + int(offset * 1000), generator
                )
                made.append(record)
        yield offset, _Call(record, route)


class _WorkspaceRun:
    """Runs the schedule of one workspace entry."""

    def __init__(
        self,
        load: profiles.WorkspaceLoad,
        profile: profiles.Profile,
        index: int,
        report: LoadReport,
        wall_ms: int,
    ):
        self._load = load
        self._profile = profile
        self._report = report
        self._queue: queue.SimpleQueue = queue.SimpleQueue()
        targets = load.targets or profile.targets
        self._targets = [_parse_address(target) for target in targets]
        self._schedule = schedule_calls(
            load,
            profile,
            random.Random(f'{profile.seed}/{index}'),
            f'{wall_ms:x}-{index}',
            wall_ms,
        )
        self.issuer = gevent.spawn(self._issue)
        self.workers = [
            gevent.spawn(self._work, number)
            for number in range(load.connections)
        ]

    def finish(self, timeout_s: float) -> None:
        """Waits for the calls under way, then counts those left over."""
        for _ in self.workers:
            self._queue.put(None)
        gevent.joinall(self.workers, timeout=timeout_s)
        gevent.killall(self.workers)
        while not self._queue.empty():
            call = self._queue.get()
            if call is not None:
                self._report.add(call.record)

    def _issue(self) -> None:
        start = self._report.started
        for offset, call in self._schedule:
            due = start + offset
            delay = due - clocks.read_now()
            if delay > 0:
                gevent.sleep(delay)
            call.record.scheduled = due
            call.record.issued = clocks.read_now()
            self._report.records.append(call.record)
            self._queue.put(call)

    def _work(self, number: int) -> None:
        position = number % len(self._targets)
        connection = exchanges.Connection(*self._targets[position])
        while True:
            call = self._queue.get()
            if call is None:
                break
            record = call.record
            record.sent = clocks.read_now()
            # Stands if the run ends before the call does.
            record.outcome, record.ran = 'timeout', 'unknown'
            record.target = f'{connection.address[0]}:{connection.address[1]}'
            try:
                self._call(connection, call)
            except errors.ExchangeError as error:
                _classify_failure(record, error)
                position = (position + 1) % len(self._targets)
                connection = exchanges.Connection(*self._targets[position])
            finally:
                record.ended = clocks.read_now()
                self._report.add(record)
        connection.close()

    def _call(self, connection: exchanges.Connection, call: _Call) -> None:
        record, route = call.record, call.route
        answer = connection.exchange(
            route.method,
            route.path,
            build_headers(record, route, self._load.key),
            _build_body(record, route),
            self._profile.timeout_s,
        )
        classify_answer(record, answer, self._profile.check_answers)


def build_headers(
    record: CallRecord, route: profiles.RouteLoad, key: str
) -> dict[str, str]:
    """Returns the headers of a call."""
    headers = {answers.ECHO_HEADER: record.echo}
    if key:
        headers['Authorization'] = f'Bearer {key}'
    if record.idempotency_key:
        headers['Idempotency-Key'] = record.idempotency_key
    if route.nest:
        headers[answers.NEST_HEADER] = str(route.nest)
        headers[answers.NEST_PATH_HEADER] = route.nest_path or route.path
    if route.answer_bytes is not None:
        headers[answers.ANSWER_BYTES_HEADER] = str(route.answer_bytes)
    if route.timeout_ms is not None:
        headers['Request-Timeout-Ms'] = f'{route.timeout_ms:.0f}'
    return headers


def _build_body(record: CallRecord, route: profiles.RouteLoad) -> bytes:
    """Returns a body that is the same for all repeats of a call."""
    if not route.body_bytes:
        return b''
    pattern = record.echo.encode()
    return (pattern * (route.body_bytes // len(pattern) + 1))[
        : route.body_bytes
    ]


def classify_answer(
    record: CallRecord, answer: exchanges.Answer, check: bool
) -> None:
    """Sets the outcome of a call from its answer.

    Args:
      record: The call.
      answer: Its whole HTTP answer.
      check: Whether the body of a success comes from a backend stand-in.
    """
    record.status = answer.status
    record.request_id = answer.headers.get('Request-Id', '')
    if 200 <= answer.status < 300:
        record.ran = 'yes'
        record.outcome = 'ok'
        if check:
            _check_body(record, answer.body)
        return
    record.outcome, record.ran = f'status-{answer.status}', 'unknown'
    if 'problem+json' not in answer.headers.get('Content-Type', ''):
        return
    try:
        problem = answer.decode()
        record.code = problem['code']
        record.ran = problem['ran']
        record.request_id = problem.get('request_id') or record.request_id
    except (ValueError, KeyError, TypeError):
        record.outcome = 'corrupt'
    else:
        record.outcome = record.code


def _check_body(record: CallRecord, body: bytes) -> None:
    try:
        facts = answers.verify_answer(body)
    except (errors.AnswerError, ValueError):
        record.outcome = 'corrupt'
        return
    expected = {
        'echo': record.echo,
        'method': record.method,
        'path': record.path.partition('?')[0],
        'idempotency_key': record.idempotency_key,
    }
    if not record.idempotency_key:
        # A repeated call may get the stored answer of the first attempt.
        expected['request_id'] = record.request_id
    own = all(facts.get(name) == value for name, value in expected.items())
    # Routes that are open to all run for no workspace.
    if not own or facts.get('workspace') not in (record.workspace, ''):
        record.outcome = 'foreign'
    nested = facts.get('nested', [])
    record.nested_failures = sum(e.get('status') != 200 for e in nested)


def _classify_failure(record: CallRecord, error: errors.ExchangeError) -> None:
    if not error.sent:
        record.outcome, record.ran = 'unreachable', 'no'
        return
    record.ran = 'unknown'
    record.outcome = 'timeout' if str(error) == 'timeout' else 'lost'


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host, int(port)


def run_load(
    profile: profiles.Profile, progress: Progress | None = None
) -> LoadReport:
    """Runs a profile to its end.

    Other greenlets of the process run meanwhile, and their work can delay
    the schedule.

    Args:
      profile: What to send.
      progress: Called once a second with the report so far and the seconds
        since the start.
    """
    wall_ms = clocks.read_wall_ms()
    started = clocks.read_now() + _START_DELAY_S
    report = LoadReport(started, profile.duration_s)
    cpu_before_s = _read_cpu_s()
    runs = [
        _WorkspaceRun(load, profile, index, report, wall_ms)
        for index, load in enumerate(profile.workspaces)
    ]
    reporter = None
    if progress is not None:
        reporter = gevent.spawn(_repeat_progress, progress, report)
    gevent.joinall([run.issuer for run in runs], raise_error=True)
    now = clocks.read_now()
    report.cpu_share = (_read_cpu_s() - cpu_before_s) / (now - started)
    deadline = now + profile.timeout_s
    for run in runs:
        run.finish(max(0.0, deadline - clocks.read_now()))
    if reporter is not None:
        reporter.kill()
    return report


def _read_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _repeat_progress(progress: Progress, report: LoadReport) -> None:
    while True:
        gevent.sleep(1.0)
        progress(report, clocks.read_now() - report.started)


def _print_progress(report: LoadReport, elapsed_s: float) -> None:
    counts = report.count_outcomes()
    text = ', '.join(f'{name} {count}' for name, count in counts.items())
    print(f'\r{elapsed_s:6.0f} s  {text}\033[K', end='', file=sys.stderr)
    sys.stderr.flush()


def write_records(records: Iterable[CallRecord], path: str) -> None:
    """Writes records as JSON lines."""
    with open(path, 'w', encoding='utf-8') as file:
        for record in records:
            file.write(json.dumps(attrs.asdict(record)) + '\n')


def read_records(path: str) -> list[CallRecord]:
    """Reads the records that `write_records` wrote."""
    with open(path, encoding='utf-8') as file:
        return [CallRecord(**json.loads(line)) for line in file]


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program.

    Returns:
      0; 1 if an answer was not whole or not the caller's own; 2 for an
      invalid profile.
    """
    parser = argparse.ArgumentParser(
        prog='jayseam-load',
        description='Sends calls on a fixed schedule and reports outcomes.',
    )
    parser.add_argument('profile', metavar='PROFILE', help='JSON profile')
    parser.add_argument('--json', metavar='FILE', help='write the report')
    parser.add_argument('--records', metavar='FILE', help='write every call')
    options = parser.parse_args(arguments)
    try:
        profile = profiles.read_profile(options.profile)
    except profiles.ProfileError as error:
        for reason in error.reasons:
            print(f'{options.profile}: {reason}', file=sys.stderr)
        return 2
    terminal = sys.stderr.isatty()
    report = run_load(profile, _print_progress if terminal else None)
    if terminal:
        print(file=sys.stderr)
    if options.records:
        write_records(report.records, options.records)
    text = json.dumps(report.to_dict())
    if options.json:
        with open(options.json, 'w', encoding='utf-8') as file:
            file.write(text + '\n')
    else:
        print(text)
    print(report.format_table())
    outcomes = report.count_outcomes()
    return int(any(name in outcomes for name in ('corrupt', 'foreign')))


if __name__ == '__main__':
    sys.exit(main())
