"""Stand-in of a backend server with slots, cold starts, drains and faults.

See Also:
  Section 5.4 of the design page; `jayseam.standins.answers` for the bodies;
  `jayseam.standins.backendhosts`, which runs several in one process.
"""

import collections
import random
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.standins import answers
from jayseam.standins import coldstarts
from jayseam.standins import durations
from jayseam.standins import health
from jayseam.standins import nestedcalls
from jayseam.standins import requestfaults
from jayseam.standins import requests
from jayseam.standins import runs
from jayseam.standins import serving

_CANCEL_PATH = '/.backend/cancel/'
_HEALTH_PATH = '/.backend/health'
_MAX_RUNS = 500_000
# The run time of a request over the slots is multiplied by this factor and by
# the ratio of requests in flight to slots.
_OVERLOAD_SLOWDOWN = 5.0
_OVERLOAD_BEHAVIORS = ('slow', 'fail', 'shed')


@attrs.frozen
class BackendSettings:
    """Settings of one backend server.

    Attributes:
      name: Name in control requests: the upstream or VM name.
      host: Address to listen on.
      port: Port to listen on; 0 takes any free one.
      slots: Requests that can run at the same time without overload.
      connections: Limit of open connections; further ones are reset.
      connect_ms: Delay before a new connection is served, in milliseconds.
      service_time: Distribution of the run time.
      seed: Seed of run times and fault shares.
      cold_start: Growth of the capacity after a start.
      overload: Effect on a request over the slots: ``slow``, ``fail`` or
        ``shed``.
      body_bytes: Size of the filler in an answer unless the request sets one.
      health_lag_s: Greatest age of a health answer in seconds.
      node_host: Address of the node that nested calls go to.
      node_port: Caller port of that node; 0 disables nested calls.
      secrets: Texts that no header, path or body may contain.
    """

    name: str
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 10
    connections: int = 100
    connect_ms: float = 1.0
    service_time: durations.ServiceTime = durations.ServiceTime()
    seed: int = 0
    cold_start: coldstarts.ColdStart = coldstarts.ColdStart()
    overload: str = attrs.field(
        default='slow', validator=attrs.validators.in_(_OVERLOAD_BEHAVIORS)
    )
    body_bytes: int = 64
    health_lag_s: float = 0.0
    node_host: str = '127.0.0.1'
    node_port: int = 0
    secrets: Sequence[str] = ()


@attrs.frozen
class _Admission:
    """A request at admission, with what decides whether it runs.

    Attributes:
      request: The request.
      start_response: WSGI function that starts the answer.
      exceeds_slots: Whether the request would run in excess of the slots.
      fault: The fault injected into the request, if any.
    """

    request: requests.Request
    start_response: serving.StartResponse
    exceeds_slots: bool
    fault: requestfaults.Fault | None

    def has_fault(self, kind: str) -> bool:
        """Returns whether a fault of this kind is injected."""
        return self.fault is not None and self.fault.kind == kind


class _Listener(serving.Server):
    """Listener that counts connections and resets those over the limit."""

    def __init__(self, backend: 'Backend', address: tuple[str, int]):
        super().__init__(address, backend.handle_request)
        self._backend = backend

    def handle(self, sock: Any, address: Any) -> None:
        backend = self._backend
        if not backend.acquire_connection():
            serving.reset_connection(sock)
            return
        try:
            gevent.sleep(backend.settings.connect_ms / 1000.0)
            super().handle(sock, address)
        finally:
            backend.release_connection()


class Backend:
    """One backend server.

    Attributes:
      settings: Settings of the server.
      runs: Records of the requests that were started, oldest first.
    """

    def __init__(self, settings: BackendSettings):
        self.settings = settings
        self.runs: collections.deque[runs.Run] = collections.deque(
            maxlen=_MAX_RUNS
        )
        self._generator = random.Random(settings.seed)
        self._port = settings.port
        self._listener: _Listener | None = None
        self._peaks = runs.Peaks()
        self._node_address = (settings.node_host, settings.node_port)
        self._faults = requestfaults.FaultInjector(self._generator)
        self._health = health.HealthReporter(settings.health_lag_s)
        self._cold_start = coldstarts.ColdStartModel(
            settings.cold_start, settings.slots
        )
        self._cancellations: dict[str, event.Event] = {}
        self._in_flight = 0
        self._connections = 0
        self._draining_since: float | None = None
        self._hides_cold_start = False

    @property
    def port(self) -> int:
        """The port of the listener."""
        return self._port

    def start(self) -> None:
        """Starts listening, with a cold start if the settings have one."""
        if self._listener is not None:
            return
        self._cold_start.begin(clocks.read_now())
        self._cold_start.recover()
        self._draining_since = None
        self._hides_cold_start = False
        self._health.discard_report()
        self._listener = _Listener(self, (self.settings.host, self._port))
        self._listener.start()
        self._port = self._listener.server_port

    def stop(self) -> None:
        """Stops listening and resets all connections, as a crash would."""
        if self._listener is not None:
            self._listener.stop_at_once(reset=True)
            self._listener = None

    def restart(self, silent: bool, disconnect: bool) -> None:
        """Begins another cold start.

        Args:
          silent: Whether health answers keep the state ``ready``.
          disconnect: Whether open connections are reset.
        """
        if disconnect:
            self.stop()
            self.start()
        self._cold_start.begin(clocks.read_now())
        self._hides_cold_start = silent

    def drain(self, draining: bool) -> None:
        """Begins or ends a drain."""
        self._draining_since = clocks.read_now() if draining else None

    def set_fault(self, fault: requestfaults.Fault | None) -> None:
        """Sets the fault that is injected into requests; None ends it."""
        self._faults.set_fault(fault)

    def set_node(self, host: str, port: int) -> None:
        """Sets the address of the node that nested calls go to."""
        self._node_address = (host, port)

    def override_health(self, fields: Mapping[str, Any]) -> None:
        """Sets fields that replace the true values in health answers."""
        self._health.override(fields)

    def read_peaks(self, reset: bool = False) -> dict[str, Any]:
        """Returns the peak values and counters.

        Args:
          reset: Whether the peaks restart from the current values and the
            counters from 0.
        """
        peaks = attrs.asdict(self._peaks)
        peaks['in_flight_now'] = self._in_flight
        peaks['connections_now'] = self._connections
        if reset:
            self._peaks = runs.Peaks(self._in_flight, self._connections)
        return peaks

    def acquire_connection(self) -> bool:
        """Counts a new connection; returns False if the limit is reached."""
        if self._connections >= self.settings.connections:
            self._peaks.connections_refused += 1
            return False
        self._connections += 1
        self._peaks.connections = max(
            self._peaks.connections, self._connections
        )
        return True

    def release_connection(self) -> None:
        """Counts the end of a connection."""
        self._connections -= 1

    def handle_request(
        self, environ: dict[str, Any], start_response: serving.StartResponse
    ) -> Any:
        """The WSGI application of the listener."""
        arrived = clocks.read_now()
        path = environ['PATH_INFO']
        if path == _HEALTH_PATH:
            return serving.send_json(
                start_response, 200, self._report_health(arrived)
            )
        if path.startswith(_CANCEL_PATH):
            cancelled = self._cancel_run(path[len(_CANCEL_PATH) :])
            status = 200 if cancelled else 404
            return serving.send_json(
                start_response, status, {'cancelled': cancelled}
            )
        body = environ['wsgi.input'].read()
        request = requests.Request(environ, body, arrived)
        self._peaks.requests += 1
        fault = self._faults.draw_fault()
        self._faults.interrupt_before_run(fault)
        return self._admit(request, start_response, fault)

    def _admit(
        self,
        request: requests.Request,
        start_response: serving.StartResponse,
        fault: requestfaults.Fault | None,
    ) -> Any:
        """Runs a request unless a fault or overload prevents it."""
        now = clocks.read_now()
        exceeds_slots = self._in_flight + 1 > self.settings.slots
        admission = _Admission(request, start_response, exceeds_slots, fault)
        if _is_late(request, now):
            self._peaks.late_starts += 1
            return self._shed(start_response, 'past the deadline')
        if admission.has_fault('shed'):
            return self._shed(start_response, 'shed')
        if self._cold_start.is_failing(now) or admission.has_fault('fail'):
            return _fail(start_response, 'failing')
        if exceeds_slots:
            self._peaks.overloads += 1
        if self._exceeds_cold_capacity(now):
            self._peaks.falls += 1
            self._cold_start.fall_over(now)
            return _fail(start_response, 'fell over')
        if exceeds_slots and self.settings.overload == 'shed':
            return self._shed(start_response, 'no free slot')
        if exceeds_slots and self.settings.overload == 'fail':
            return _fail(start_response, 'overload')
        return self._run(admission)

    def _exceeds_cold_capacity(self, now: float) -> bool:
        """Returns whether one more request exceeds the cold capacity."""
        capacity = self._cold_start.capacity(now)
        return capacity < self.settings.slots and self._in_flight + 1 > capacity

    def _shed(self, start_response: serving.StartResponse, reason: str) -> Any:
        self._peaks.shed += 1
        headers = [('Shed', 'not-run'), ('Retry-After', '1')]
        return serving.send_answer(
            start_response, 503, reason.encode(), headers
        )

    def _run(self, admission: _Admission) -> Any:
        """Records and runs a request, which occupies a slot meanwhile."""
        run = self._record_run(admission.request)
        cancelled = event.Event()
        if run.request_id:
            self._cancellations[run.request_id] = cancelled
        self._in_flight += 1
        self._peaks.in_flight = max(self._peaks.in_flight, self._in_flight)
        try:
            return self._execute(admission, run, cancelled)
        finally:
            self._in_flight -= 1
            run.end(clocks.read_now())
            if self._cancellations.get(run.request_id) is cancelled:
                del self._cancellations[run.request_id]

    def _execute(
        self, admission: _Admission, run: runs.Run, cancelled: event.Event
    ) -> Any:
        start_response = admission.start_response
        if cancelled.wait(self._draw_duration_s(admission.exceeds_slots)):
            run.status = 'cancelled'
            self._peaks.cancelled += 1
            return serving.send_json(
                start_response, 409, {'error': 'cancelled'}
            )
        nested = nestedcalls.call_nested(admission.request, self._node_address)
        if self._cold_start.is_failing(run.started):
            return _fail(start_response, 'fell over')
        run.status = 'done'
        self._faults.interrupt_after_run(admission.fault, cancelled)
        data = self._build_body(admission.request, run, nested)
        status = 200
        if admission.has_fault('status'):
            status = admission.fault.status
        answer = serving.send_answer(
            start_response, status, data, self._build_headers(run)
        )
        if admission.has_fault('truncate'):
            return _truncate(data)
        return answer

    def _draw_duration_s(self, exceeds_slots: bool) -> float:
        duration_s = self.settings.service_time.draw_s(self._generator)
        if not exceeds_slots:
            return duration_s
        load = self._in_flight / self.settings.slots
        return duration_s * _OVERLOAD_SLOWDOWN * load

    def _record_run(self, request: requests.Request) -> runs.Run:
        now = clocks.read_now()
        since = self._draining_since
        run = runs.create_run(
            request,
            started=now,
            key_seen=request.contains_key(self.settings.secrets),
            draining_s=None if since is None else now - since,
        )
        self.runs.append(run)
        return run

    def _build_headers(self, run: runs.Run) -> list[tuple[str, str]]:
        headers = [('Request-Id', run.request_id)]
        if self._draining_since is not None:
            headers.append(('Connection', 'close'))
        return headers

    def _build_body(
        self,
        request: requests.Request,
        run: runs.Run,
        nested: Sequence[nestedcalls.LevelResult] | None,
    ) -> bytes:
        requested_size = request.numeric_header(answers.ANSWER_BYTES_HEADER)
        size = (
            self.settings.body_bytes
            if requested_size is None
            else int(requested_size)
        )
        metadata: dict[str, Any] = {
            'backend': self.settings.name,
            'request_id': run.request_id,
            'workspace': run.workspace,
            'idempotency_key': run.idempotency_key,
            'echo': run.echo,
            'method': run.method,
            'path': run.path,
        }
        if nested is not None:
            metadata['nested'] = nested
        return answers.build_body(metadata, size)

    def _cancel_run(self, request_id: str) -> bool:
        cancelled = self._cancellations.get(request_id)
        if cancelled is None:
            return False
        cancelled.set()
        return True

    def _report_health(self, now: float) -> dict[str, Any]:
        state = 'ready'
        if self._draining_since is not None:
            state = 'draining'
        elif self._cold_start.is_cold(now) and not self._hides_cold_start:
            state = 'starting'
        load = round(self._in_flight / self.settings.slots, 3)
        return self._health.report(health.HealthReport(state, load), now)


def _is_late(request: requests.Request, now: float) -> bool:
    """Returns whether a request has waited past its deadline."""
    timeout_ms = request.numeric_header('Request-Timeout-Ms')
    waited_ms = (now - request.arrived) * 1000
    return timeout_ms is not None and waited_ms >= timeout_ms


def _fail(start_response: serving.StartResponse, reason: str) -> Any:
    return serving.send_json(start_response, 500, {'error': reason})


def _truncate(data: bytes) -> Iterator[bytes]:
    """Yields half of ``data``, then closes the connection."""
    yield data[: len(data) // 2]
    raise serving.AbortError(reset=False)
