"""Backend servers with slots, cold starts, drains and faults.

One process hosts any number of backend servers, each on a listener of its
own, and one control listener. Control requests name the server in the field
``backend``, which may be left out when there is only one.

See Also:
  Section 5.4 of the design page; `jayseam.standins.answers` for the bodies.
"""

import collections
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.standins import answers
from jayseam.standins import durations
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import serving

_CANCEL_PATH = '/.backend/cancel/'
_HEALTH_PATH = '/.backend/health'
_FAULT_KINDS = ('hang', 'reset', 'truncate', 'late', 'shed', 'fail')
_KEY_HEADERS = ('HTTP_AUTHORIZATION', 'HTTP_X_API_KEY')
_KEY_QUERIES = ('api_key', 'key', 'access_token')
_MAX_RUNS = 500_000
_NESTED_TIMEOUT_S = 10.0
_OVERLOAD_FACTOR = 5.0
_OVERLOADS = ('slow', 'fail', 'shed')


@attrs.frozen
class ColdStart:
    """How capacity grows after a start.

    Attributes:
      initial_slots: Capacity at the start.
      duration_s: Seconds until the capacity is all slots; 0 starts warm.
      fall_over_s: Seconds for which every request fails after one request
        too many. The cold start then begins again.
    """

    initial_slots: int = 1
    duration_s: float = 0.0
    fall_over_s: float = 1.0


@attrs.frozen
class Fault:
    """A fault that some of the requests meet.

    Attributes:
      kind: ``hang`` doesn't answer until the fault changes or the call is
        cancelled, and resets then, ``reset`` resets the connection,
        ``truncate`` closes after half of the body, ``late`` waits ``ms`` more
        milliseconds, ``shed`` sheds, ``fail`` answers 500.
      when: ``before`` or ``after`` the run, for ``hang``, ``reset`` and
        ``late``.
      share: Share of the requests concerned, from 0 to 1.
      ms: Milliseconds for ``late``.
    """

    kind: str = attrs.field(validator=attrs.validators.in_(_FAULT_KINDS))
    when: str = attrs.field(
        default='after', validator=attrs.validators.in_(('before', 'after'))
    )
    share: float = 1.0
    ms: float = 1000.0


@attrs.frozen
class BackendSettings:
    """Settings of one backend server.

    Attributes:
      name: Name in control requests; the upstream or VM name.
      host: Address to listen on.
      port: Port to listen on; 0 takes any free one.
      slots: Requests that it can run at the same time.
      connections: Connections that it accepts; more are reset.
      connect_ms: Time to set up a connection in milliseconds.
      service_time: Distribution of the run time.
      seed: Seed of run times and fault shares.
      cold_start: Growth of the capacity after a start.
      overload: What a request over the slots meets: ``slow``, ``fail`` or
        ``shed``.
      body_bytes: Size of the filler in answers that ask for no other.
      health_lag_s: Age that a health answer may reach.
      node_host: Address of the node that nested calls go to.
      node_port: Its caller port; 0 means that there is none.
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
    cold_start: ColdStart = ColdStart()
    overload: str = attrs.field(
        default='slow', validator=attrs.validators.in_(_OVERLOADS)
    )
    body_bytes: int = 64
    health_lag_s: float = 0.0
    node_host: str = '127.0.0.1'
    node_port: int = 0
    secrets: Sequence[str] = ()


@attrs.define
class Run:
    """A request whose work was started.

    Attributes:
      request_id: Header ``Request-Id``.
      idempotency_key: Header ``Idempotency-Key``, if any.
      workspace: Header ``Jayseam-Workspace``.
      echo: Header ``X-Echo``, chosen by the caller.
      method: HTTP method.
      path: Path without the query.
      started: Start of the work, seconds of `clocks.read_now`.
      ended: End of the work, or None while it runs.
      status: ``running``, ``done``, ``failed`` or ``cancelled``.
      nested: Whether the request came from a backend server.
      key_seen: Whether the request held a workspace key.
      draining_s: Seconds since the drain began at the start of the work, or
        None.
    """

    request_id: str
    idempotency_key: str
    workspace: str
    echo: str
    method: str
    path: str
    started: float
    ended: float | None = None
    status: str = 'running'
    nested: bool = False
    key_seen: bool = False
    draining_s: float | None = None


@attrs.define
class _Peaks:
    """Greatest values and counts since the last reset."""

    in_flight: int = 0
    connections: int = 0
    overloads: int = 0
    falls: int = 0
    shed: int = 0
    late_starts: int = 0
    connections_refused: int = 0
    requests: int = 0
    cancelled: int = 0


class _Listener(serving.Server):
    """Counts connections and resets those over the limit."""

    def __init__(self, backend: 'Backend', address: tuple[str, int]):
        super().__init__(address, backend.answer)
        self._backend = backend

    def handle(self, sock: Any, address: Any) -> None:
        backend = self._backend
        if not backend.open_connection():
            serving.set_reset_on_close(sock)
            sock.close()
            return
        try:
            gevent.sleep(backend.settings.connect_ms / 1000.0)
            super().handle(sock, address)
        finally:
            backend.close_connection()


class Backend:
    """One backend server.

    Attributes:
      settings: The settings it was made with.
      runs: The started requests, oldest first.
    """

    def __init__(self, settings: BackendSettings):
        self.settings = settings
        self.runs: collections.deque[Run] = collections.deque(maxlen=_MAX_RUNS)
        self._generator = random.Random(settings.seed)
        self._port = settings.port
        self._listener: _Listener | None = None
        self._peaks = _Peaks()
        self._node = (settings.node_host, settings.node_port)
        self._fault: Fault | None = None
        self._fault_changed = event.Event()
        self._lie: dict[str, Any] | None = None
        self._cancellations: dict[str, event.Event] = {}
        self._in_flight = 0
        self._connections = 0
        self._cold_since = 0.0
        self._fallen_until = 0.0
        self._draining_since: float | None = None
        self._silent = False
        self._reported: tuple[float, dict[str, Any]] | None = None

    @property
    def port(self) -> int:
        """The port of the listener."""
        return self._port

    def start(self) -> None:
        """Starts to listen, cold if the settings say so."""
        if self._listener is not None:
            return
        self._cold_since = clocks.read_now()
        self._fallen_until = 0.0
        self._draining_since = None
        self._silent = False
        self._reported = None
        self._listener = _Listener(self, (self.settings.host, self._port))
        self._listener.start()
        self._port = self._listener.server_port

    def stop(self) -> None:
        """Stops listening and resets all connections, as a crash would."""
        if self._listener is not None:
            self._listener.stop_at_once(reset=True)
            self._listener = None

    def restart(self, silent: bool, disconnect: bool) -> None:
        """Falls back into a cold start.

        Args:
          silent: Whether the health endpoint goes on to say ``ready``.
          disconnect: Whether open connections are reset.
        """
        if disconnect:
            self.stop()
            self.start()
        self._cold_since = clocks.read_now()
        self._silent = silent

    def drain(self, draining: bool) -> None:
        """Begins or ends a drain."""
        self._draining_since = clocks.read_now() if draining else None

    def set_fault(self, fault: Fault | None) -> None:
        """Sets the fault that requests meet; None ends it."""
        self._fault = fault
        changed, self._fault_changed = self._fault_changed, event.Event()
        changed.set()

    def set_node(self, host: str, port: int) -> None:
        """Sets the address of the node that nested calls go to."""
        self._node = (host, port)

    def set_lie(self, report: dict[str, Any] | None) -> None:
        """Sets fields that health answers give in place of the truth."""
        self._lie = report

    def read_peaks(self, reset: bool = False) -> dict[str, Any]:
        """Returns the greatest values seen and the counts.

        Args:
          reset: Whether they start again from the present values.
        """
        peaks = attrs.asdict(self._peaks)
        peaks['in_flight_now'] = self._in_flight
        peaks['connections_now'] = self._connections
        if reset:
            self._peaks = _Peaks(self._in_flight, self._connections)
        return peaks

    def open_connection(self) -> bool:
        """Counts a new connection; False when there are too many."""
        if self._connections >= self.settings.connections:
            self._peaks.connections_refused += 1
            return False
        self._connections += 1
        self._peaks.connections = max(
            self._peaks.connections, self._connections
        )
        return True

    def close_connection(self) -> None:
        """Counts the end of a connection."""
        self._connections -= 1

    def read_capacity(self, now: float) -> float:
        """Returns how many requests can run at ``now``."""
        cold = self.settings.cold_start
        if cold.duration_s <= 0:
            return self.settings.slots
        grown = min(1.0, (now - self._cold_since) / cold.duration_s)
        span = self.settings.slots - cold.initial_slots
        return cold.initial_slots + span * max(0.0, grown)

    def answer(
        self, environ: dict[str, Any], start: serving.StartResponse
    ) -> Any:
        """The WSGI application of the listener."""
        arrived = clocks.read_now()
        path = environ['PATH_INFO']
        if path == _HEALTH_PATH:
            return serving.send_json(start, 200, self._report_health(arrived))
        if path.startswith(_CANCEL_PATH):
            found = self._cancel(path[len(_CANCEL_PATH) :])
            status = 200 if found else 404
            return serving.send_json(start, status, {'cancelled': found})
        body = environ['wsgi.input'].read()
        self._peaks.requests += 1
        fault = self._draw_fault()
        if fault is not None and fault.when == 'before':
            self._delay(fault)
        return self._admit(environ, start, body, arrived, fault)

    def _draw_fault(self) -> Fault | None:
        fault = self._fault
        if fault is None or self._generator.random() >= fault.share:
            return None
        return fault

    def _delay(self, fault: Fault, run_events: Sequence[Any] = ()) -> None:
        """Applies ``hang``, ``reset`` and ``late``."""
        if fault.kind == 'hang':
            gevent.wait([self._fault_changed, *run_events], count=1)
            raise serving.AbortError(reset=True)
        if fault.kind == 'reset':
            raise serving.AbortError(reset=True)
        if fault.kind == 'late':
            gevent.sleep(fault.ms / 1000.0)

    def _admit(
        self,
        environ: dict[str, Any],
        start: serving.StartResponse,
        body: bytes,
        arrived: float,
        fault: Fault | None,
    ) -> Any:
        now = clocks.read_now()
        timeout_ms = _read_float(environ, 'HTTP_REQUEST_TIMEOUT_MS')
        if timeout_ms is not None and (now - arrived) * 1000 >= timeout_ms:
            self._peaks.late_starts += 1
            return self._shed(start, 'past the deadline')
        if fault is not None and fault.kind == 'shed':
            return self._shed(start, 'shed')
        if now < self._fallen_until or (fault and fault.kind == 'fail'):
            return serving.send_json(start, 500, {'error': 'failing'})
        capacity = self.read_capacity(now)
        over = self._in_flight + 1 > self.settings.slots
        if over:
            self._peaks.overloads += 1
        if capacity < self.settings.slots and self._in_flight + 1 > capacity:
            self._fall_over(now)
            return serving.send_json(start, 500, {'error': 'fell over'})
        if over and self.settings.overload == 'shed':
            return self._shed(start, 'no free slot')
        if over and self.settings.overload == 'fail':
            return serving.send_json(start, 500, {'error': 'overload'})
        return self._run(environ, start, body, over, fault)

    def _fall_over(self, now: float) -> None:
        """Fails every request for a while, then starts cold again."""
        self._peaks.falls += 1
        self._fallen_until = now + self.settings.cold_start.fall_over_s
        self._cold_since = self._fallen_until

    def _shed(self, start: serving.StartResponse, reason: str) -> Any:
        self._peaks.shed += 1
        headers = [('Shed', 'not-run'), ('Retry-After', '1')]
        return serving.send_answer(start, 503, reason.encode(), headers)

    def _run(
        self,
        environ: dict[str, Any],
        start: serving.StartResponse,
        body: bytes,
        over: bool,
        fault: Fault | None,
    ) -> Any:
        run = self._record_run(environ, body)
        cancelled = event.Event()
        if run.request_id:
            self._cancellations[run.request_id] = cancelled
        self._in_flight += 1
        self._peaks.in_flight = max(self._peaks.in_flight, self._in_flight)
        try:
            return self._work(environ, start, run, over, fault, cancelled)
        finally:
            self._in_flight -= 1
            run.ended = clocks.read_now()
            if run.status == 'running':
                run.status = 'failed'
            if self._cancellations.get(run.request_id) is cancelled:
                del self._cancellations[run.request_id]

    def _work(
        self,
        environ: dict[str, Any],
        start: serving.StartResponse,
        run: Run,
        over: bool,
        fault: Fault | None,
        cancelled: event.Event,
    ) -> Any:
        duration_s = self.settings.service_time.draw_s(self._generator)
        if over:
            excess = self._in_flight / self.settings.slots
            duration_s *= _OVERLOAD_FACTOR * excess
        if cancelled.wait(duration_s):
            run.status = 'cancelled'
            self._peaks.cancelled += 1
            return serving.send_json(start, 409, {'error': 'cancelled'})
        nested = self._call_nested(environ, run)
        if self._fallen_until > run.started:
            return serving.send_json(start, 500, {'error': 'fell over'})
        run.status = 'done'
        if fault is not None and fault.when == 'after':
            self._delay(fault, [cancelled])
        data = self._build_body(environ, run, nested)
        headers = [('Request-Id', run.request_id)]
        if self._draining_since is not None:
            headers.append(('Connection', 'close'))
        result = serving.send_answer(start, 200, data, headers)
        if fault is not None and fault.kind == 'truncate':
            return _truncate(data)
        return result

    def _record_run(self, environ: Mapping[str, Any], body: bytes) -> Run:
        now = clocks.read_now()
        since = self._draining_since
        run = Run(
            request_id=environ.get('HTTP_REQUEST_ID', ''),
            idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            workspace=environ.get('HTTP_JAYSEAM_WORKSPACE', ''),
            echo=environ.get(_to_wsgi(answers.ECHO_HEADER), ''),
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            started=now,
            nested=_to_wsgi(answers.NESTED_HEADER) in environ,
            key_seen=_holds_key(environ, body, self.settings.secrets),
            draining_s=None if since is None else now - since,
        )
        self.runs.append(run)
        return run

    def _build_body(
        self, environ: Mapping[str, Any], run: Run, nested: Any
    ) -> bytes:
        wanted = _read_float(environ, _to_wsgi(answers.ANSWER_BYTES_HEADER))
        size = self.settings.body_bytes if wanted is None else int(wanted)
        facts = {
            'backend': self.settings.name,
            'request_id': run.request_id,
            'workspace': run.workspace,
            'idempotency_key': run.idempotency_key,
            'echo': run.echo,
            'method': run.method,
            'path': run.path,
        }
        if nested is not None:
            facts['nested'] = nested
        return answers.build_answer(facts, size)

    def _call_nested(self, environ: Mapping[str, Any], run: Run) -> Any:
        """Makes the nested call that a request asks for.

        Returns:
          None without a nested call, else a list with one entry for each
          level: its status, problem code and request id.
        """
        depth = int(_read_float(environ, _to_wsgi(answers.NEST_HEADER)) or 0)
        if depth <= 0 or not self._node[1]:
            return None
        path_header = _to_wsgi(answers.NEST_PATH_HEADER)
        path = environ.get(path_header, run.path)
        headers = {
            'Jayseam-Call-Token': environ.get('HTTP_JAYSEAM_CALL_TOKEN', ''),
            answers.NEST_HEADER: str(depth - 1),
            answers.NEST_PATH_HEADER: path,
            answers.NESTED_HEADER: '1',
            answers.ECHO_HEADER: run.echo,
        }
        connection = exchanges.Connection(*self._node)
        try:
            answer = connection.exchange(
                'GET', path, headers, timeout_s=_NESTED_TIMEOUT_S
            )
        except errors.ExchangeError as error:
            return [{'status': 0, 'error': str(error)}]
        finally:
            connection.close()
        return _describe_nested(answer)

    def _cancel(self, request_id: str) -> bool:
        cancelled = self._cancellations.get(request_id)
        if cancelled is None:
            return False
        cancelled.set()
        return True

    def _report_health(self, now: float) -> dict[str, Any]:
        if self._reported is not None:
            reported_at, report = self._reported
            if now - reported_at < self.settings.health_lag_s:
                return {**report, **(self._lie or {})}
        cold = self.read_capacity(now) < self.settings.slots
        state = 'starting' if cold and not self._silent else 'ready'
        if self._draining_since is not None:
            state = 'draining'
        load = round(self._in_flight / self.settings.slots, 3)
        report = {'state': state, 'load': load}
        self._reported = (now, report)
        return {**report, **(self._lie or {})}


class BackendHost:
    """Hosts backend servers in one process behind one control listener.

    Args:
      settings: Settings of each backend server.
      control: Host and port of the control listener.
    """

    def __init__(
        self, settings: Sequence[BackendSettings], control: tuple[str, int]
    ):
        self.backends = {entry.name: Backend(entry) for entry in settings}
        self._control = serving.ControlServer(
            control,
            {
                '/control/start': self._act(lambda b, _: b.start()),
                '/control/stop': self._act(lambda b, _: b.stop()),
                '/control/restart': self._act(_restart),
                '/control/drain': self._act(_drain),
                '/control/fault': self._act(_set_fault),
                '/control/health': self._act(_set_health),
                '/control/node': self._act(_set_node),
                '/control/runs': self._report_runs,
                '/control/peaks': self._report_peaks,
                '/control/clear-runs': self._act(lambda b, _: b.runs.clear()),
            },
        )

    def start(self) -> None:
        """Starts all backend servers and the control listener."""
        for backend in self.backends.values():
            backend.start()
        self._control.start()

    def stop(self) -> None:
        """Stops all listeners."""
        for backend in self.backends.values():
            backend.stop()
        self._control.stop()

    @property
    def control_port(self) -> int:
        """The port of the control listener."""
        return self._control.port

    def _find(self, request: Mapping[str, Any]) -> Backend:
        name = request.get('backend')
        if name is None and len(self.backends) == 1:
            return next(iter(self.backends.values()))
        if name not in self.backends:
            raise errors.ControlError(f'unknown backend {name!r}')
        return self.backends[name]

    def _act(
        self, function: Callable[[Backend, dict[str, Any]], None]
    ) -> serving.Action:
        """Returns an action that applies ``function`` to one server."""

        def act(request: dict[str, Any]) -> dict[str, Any]:
            backend = self._find(request)
            function(backend, request)
            return {'backend': backend.settings.name}

        return act

    def _select(self, request: Mapping[str, Any]) -> list[Backend]:
        """Returns the server that a request names, or all."""
        if 'backend' in request:
            return [self._find(request)]
        return list(self.backends.values())

    def _report_runs(self, request: dict[str, Any]) -> dict[str, Any]:
        return {
            backend.settings.name: [attrs.asdict(run) for run in backend.runs]
            for backend in self._select(request)
        }

    def _report_peaks(self, request: dict[str, Any]) -> dict[str, Any]:
        reset = bool(request.get('reset'))
        return {
            backend.settings.name: backend.read_peaks(reset)
            for backend in self._select(request)
        }


def _restart(backend: Backend, request: Mapping[str, Any]) -> None:
    backend.restart(
        request.get('silent', True), request.get('disconnect', False)
    )


def _drain(backend: Backend, request: Mapping[str, Any]) -> None:
    backend.drain(request.get('draining', True))


def _set_fault(backend: Backend, request: Mapping[str, Any]) -> None:
    fields = {k: v for k, v in request.items() if k != 'backend'}
    backend.set_fault(Fault(**fields) if fields.get('kind') else None)


def _set_node(backend: Backend, request: Mapping[str, Any]) -> None:
    backend.set_node(request['host'], request['port'])


def _set_health(backend: Backend, request: Mapping[str, Any]) -> None:
    fields = {k: v for k, v in request.items() if k in ('state', 'load')}
    backend.set_lie(fields or None)


def _truncate(data: bytes) -> Any:
    """Yields half of ``data``, then closes the connection."""
    yield data[: len(data) // 2]
    raise serving.AbortError(reset=False)


def _describe_nested(answer: exchanges.Answer) -> list[dict[str, Any]]:
    entry = {
        'status': answer.status,
        'request_id': answer.headers.get('Request-Id', ''),
    }
    if answer.status != 200:
        try:
            entry['code'] = answer.decode().get('code', '')
        except (ValueError, AttributeError):
            entry['code'] = ''
        return [entry]
    try:
        facts = answers.verify_answer(answer.body)
    except errors.AnswerError as error:
        return [{**entry, 'error': str(error)}]
    return [entry, *facts.get('nested', [])]


def _to_wsgi(header: str) -> str:
    """Returns the WSGI name of a header.

    >>> _to_wsgi('X-Nest')
    'HTTP_X_NEST'
    """
    return 'HTTP_' + header.upper().replace('-', '_')


def _read_float(environ: Mapping[str, Any], name: str) -> float | None:
    try:
        return float(environ[name])
    except (KeyError, ValueError):
        return None


def _holds_key(
    environ: Mapping[str, Any], body: bytes, secrets: Sequence[str]
) -> bool:
    """Tells whether a request holds anything that may be a key."""
    if any(name in environ for name in _KEY_HEADERS):
        return True
    query = serving.parse_query(environ)
    if any(name in query for name in _KEY_QUERIES):
        return True
    texts = [v for k, v in environ.items() if k.startswith('HTTP_')]
    texts += [environ.get('QUERY_STRING', ''), environ['PATH_INFO']]
    texts.append(body.decode('latin-1'))
    return any(secret in text for secret in secrets for text in texts)
