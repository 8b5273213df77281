"""The open-loop load generator.

Arrivals follow a seeded schedule that doesn't wait for responses. Latency is
measured from the scheduled time, so that it includes the wait for a free
connection; otherwise the results would suffer from coordinated omission.

See Also:
  `jayseam.tools.profiles` for the input; `jayseam.tools.outcomes` for the
  checks of each response.
"""

import random
import resource
from collections.abc import Callable

import gevent
from gevent import queue

from jayseam.core import clocks
from jayseam.standins import answers
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.tools import loadreports
from jayseam.tools import outcomes
from jayseam.tools import profiles
from jayseam.tools import records
from jayseam.tools import schedules

_START_DELAY_S = 0.05
_PROGRESS_INTERVAL_S = 1.0

ProgressCallback = Callable[[loadreports.LoadReport, float], None]


class _WorkspaceRun:
    """Runs the schedule of one workspace entry of a profile.

    One greenlet puts each call into a queue when it is due; one worker greenlet
    for each connection takes calls from the queue and sends them.
    """

    def __init__(
        self,
        load: profiles.WorkspaceLoad,
        profile: profiles.Profile,
        index: int,
        report: loadreports.LoadReport,
        wall_ms: int,
    ):
        self._load = load
        self._profile = profile
        self._report = report
        self._queue: queue.SimpleQueue = queue.SimpleQueue()
        targets = load.targets or profile.targets
        self._targets = [_parse_address(target) for target in targets]
        self._schedule = schedules.Schedule(
            load,
            profile,
            random.Random(f'{profile.seed}/{index}'),
            f'{wall_ms:x}-{index}',
            wall_ms,
        )
        self.issuer = gevent.spawn(self._issue_calls)
        self.workers = [
            gevent.spawn(self._run_worker, number)
            for number in range(load.connections)
        ]

    def finish(self, timeout_s: float) -> None:
        """Waits for open calls, then counts the calls that were not sent."""
        for _ in self.workers:
            self._queue.put(None)
        gevent.joinall(self.workers, timeout=timeout_s)
        gevent.killall(self.workers)
        while not self._queue.empty():
            call = self._queue.get()
            if call is not None:
                self._report.add(call.record)

    def _issue_calls(self) -> None:
        """Puts each call into the queue when it is due."""
        start = self._report.started
        for call in self._schedule.generate_calls():
            due_at = start + call.offset_s
            delay_s = due_at - clocks.read_now()
            if delay_s > 0:
                gevent.sleep(delay_s)
            call.record.scheduled = due_at
            call.record.issued = clocks.read_now()
            self._report.records.append(call.record)
            self._queue.put(call)

    def _run_worker(self, number: int) -> None:
        """Sends calls from the queue over one connection.

        After a failed call, the worker continues on a new connection to the
        next target.
        """
        position = number % len(self._targets)
        connection = exchanges.Connection(*self._targets[position])
        while (call := self._queue.get()) is not None:
            if not self._make_call(connection, call):
                position = (position + 1) % len(self._targets)
                connection = exchanges.Connection(*self._targets[position])
        connection.close()

    def _make_call(
        self, connection: exchanges.Connection, call: schedules.ScheduledCall
    ) -> bool:
        """Makes one call and records its outcome.

        Returns:
          Whether a complete response arrived.
        """
        record = call.record
        record.sent = clocks.read_now()
        # These values remain if the run ends before the call does.
        record.outcome, record.ran = 'timeout', 'unknown'
        record.target = f'{connection.address[0]}:{connection.address[1]}'
        try:
            response = self._exchange(connection, call)
            outcomes.classify_response(
                record, response, self._profile.check_answers
            )
        except errors.ExchangeError as error:
            outcomes.classify_failure(record, error)
            return False
        finally:
            record.ended = clocks.read_now()
            self._report.add(record)
        return True

    def _exchange(
        self, connection: exchanges.Connection, call: schedules.ScheduledCall
    ) -> exchanges.Answer:
        record, route = call.record, call.route
        return connection.exchange(
            route.method,
            route.path,
            build_headers(record, route, self._load.key),
            _build_body(record, route),
            self._profile.timeout_s,
        )


def build_headers(
    record: records.CallRecord, route: profiles.RouteLoad, key: str
) -> dict[str, str]:
    """Returns the request headers of a call."""
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


def _build_body(record: records.CallRecord, route: profiles.RouteLoad) -> bytes:
    """Returns a request body that is the same for all repeats of a call."""
    if not route.body_bytes:
        return b''
    pattern = record.echo.encode()
    repeats = route.body_bytes // len(pattern) + 1
    return (pattern * repeats)[: route.body_bytes]


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host, int(port)


def run_load(
    profile: profiles.Profile, progress: ProgressCallback | None = None
) -> loadreports.LoadReport:
    """Sends the calls of a profile and returns the report of the run.

    Other greenlets of the process keep running and can delay the schedule.

    Args:
      profile: The calls to send.
      progress: Called once a second with the report so far and the seconds
        since the start.
    """
    wall_ms = clocks.read_wall_ms()
    started = clocks.read_now() + _START_DELAY_S
    report = loadreports.LoadReport(started, profile.duration_s)
    cpu_before_s = _read_cpu_s()
    runs = [
        _WorkspaceRun(load, profile, index, report, wall_ms)
        for index, load in enumerate(profile.workspaces)
    ]
    reporter = None
    if progress is not None:
        reporter = gevent.spawn(_report_progress, progress, report)
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


def _report_progress(
    progress: ProgressCallback, report: loadreports.LoadReport
) -> None:
    while True:
        gevent.sleep(_PROGRESS_INTERVAL_S)
        progress(report, clocks.read_now() - report.started)
