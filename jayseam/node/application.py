"""The WSGI application that serves callers."""

import http
import json
import math
from collections.abc import Callable, Iterable
from typing import Any

import gevent

from jayseam.backends import dialects
from jayseam.calls import entry as call_entry
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import pending
from jayseam.calls import problems
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.core import logs
from jayseam.node import bodies
from jayseam.node import disconnects
from jayseam.node import metrics
from jayseam.node import pauses
from jayseam.node import pipelines

MAX_CALLS_IN_FLIGHT = 1000
_OUTCOMES_PREFIX = '/.jayseam/outcomes/'
_STOP_RETRY_AFTER_S = 1.0
_STOPPED = 'this node was stopped'
_TOKEN_KEY = 'HTTP_' + keys.TOKEN_HEADER.upper().replace('-', '_')
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}

_log = logs.get_logger(__name__)


class _Body(list):
    """The body of an answer; the server closes it once it has written all."""

    def __init__(self, body: bytes, on_written: Callable[[], None]):
        super().__init__([body])
        self.close = on_written


class CallerApplication:
    """Turns WSGI requests into calls and their outcomes into responses.

    Args:
      entry: Authorizes, routes and runs calls.
      guard: Holds calls back after a pause of the process.
      monitor: Interrupts calls whose callers have disconnected.
      is_zone_in_service: Returns whether the zone of this VM is in service.
      has_attempts: Returns whether calls of other nodes run at the own backend
        server, which may make nested calls.
      dialect: Names of the header fields that callers use.
    """

    def __init__(
        self,
        entry: call_entry.Entry,
        guard: pauses.PauseGuard,
        monitor: disconnects.DisconnectMonitor,
        is_zone_in_service: Callable[[], bool],
        has_attempts: Callable[[], bool] = lambda: False,
        dialect: dialects.Dialect = dialects.DEFAULT,
    ):
        self._entry = entry
        self._guard = guard
        self._monitor = monitor
        self._is_zone_in_service = is_zone_in_service
        self._has_attempts = has_attempts
        self._dialect = dialect
        self._keep_alive_disabled = False
        self._draining = False
        self._work_end = math.inf
        # Requests whose answers are being made, and those whose answers are
        # being written.
        self._request_ids: dict[gevent.Greenlet, str] = {}
        self._writing: dict[gevent.Greenlet, str] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests whose answers aren't written yet."""
        return len(self._request_ids) + len(self._writing)

    def list_in_flight(self) -> list[str]:
        """Returns the IDs of the requests whose answers are being made."""
        return list(self._request_ids.values())

    def list_writing(self) -> list[str]:
        """Returns the IDs of the requests whose answers are being written."""
        return list(self._writing.values())

    def begin_stop(self, work_end: float) -> None:
        """Ends connections with their next answers and bounds new calls.

        Args:
          work_end: Latest end of the calls that are admitted from now on, in
            seconds. A call that can't finish by then is refused as not run.
        """
        self._keep_alive_disabled = True
        self._work_end = work_end

    def stop_accepting_calls(self) -> None:
        """Refuses new calls from now on; calls in flight finish.

        Nested calls are still served, because calls in flight wait for them.
        """
        self._keep_alive_disabled = True
        self._draining = True

    def abort_calls(self) -> None:
        """Interrupts the requests whose answers are being made."""
        loop = gevent.get_hub().loop
        for greenlet in list(self._request_ids):
            loop.run_callback(self._abort_call, greenlet)

    def _abort_call(self, greenlet: gevent.Greenlet) -> None:
        """Ends a call from the event loop, unless its answer is there."""
        if greenlet in self._request_ids:
            greenlet.throw(errors.CallAbortedError(_STOPPED))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request_id = self._read_request_id(environ)
        greenlet = gevent.getcurrent()
        # Requests that a stop refuses don't hold it up, however many come.
        is_counted = not self._is_refused_by_stop(environ)
        if is_counted:
            self._request_ids[greenlet] = request_id
        try:
            answer = self._answer_request(environ, request_id)
        finally:
            self._request_ids.pop(greenlet, None)
        headers = [*answer.headers, (self._dialect.request_id, request_id)]
        if self._keep_alive_disabled or not self._is_zone_in_service():
            # Callers with kept-alive connections move to another node.
            headers.append(('Connection', 'close'))
        reason = _REASON_PHRASES.get(answer.status, 'Unknown')
        start_response(f'{answer.status} {reason}', headers)
        if is_counted:
            self._writing[greenlet] = request_id
        return _Body(answer.body, lambda: self._finish_writing(greenlet))

    def _finish_writing(self, greenlet: gevent.Greenlet) -> None:
        self._writing.pop(greenlet, None)

    def _is_refused_by_stop(self, environ: dict[str, Any]) -> bool:
        """Returns whether a request comes too late for the node's stop.

        A nested call is still served while a call that may have made it runs.
        """
        if not self._draining:
            return False
        if self._dialect.call_tokens:
            return _TOKEN_KEY not in environ
        # Without tokens, backend servers make their calls without credentials.
        return 'HTTP_AUTHORIZATION' in environ or not self._has_attempts()

    def _read_request_id(self, environ: dict[str, Any]) -> str:
        """Returns the caller's ID of the request, or a new ID."""
        if self._dialect.caller_ids:
            name = self._dialect.request_id.upper().replace('-', '_')
            return environ.get(f'HTTP_{name}', '')
        return identifiers.make_id()

    def _answer_request(
        self, environ: dict[str, Any], request_id: str
    ) -> requests.CallAnswer:
        """Returns the answer to a request; errors become problem documents."""
        idempotency_key = environ.get('HTTP_IDEMPOTENCY_KEY')
        try:
            return self._process_request(environ, request_id)
        except errors.CallError as error:
            metrics.REFUSALS.labels(error.code).inc()
            self._log_refusal(error, environ, request_id)
            return self._render_error(error, request_id, idempotency_key)
        except errors.CallAbortedError as aborted:
            error = _describe_abort(aborted)
            metrics.REFUSALS.labels(error.code).inc()
            self._log_refusal(error, environ, request_id)
            return self._render_error(error, request_id, idempotency_key)
        except errors.CallerGoneError as error:
            _log.info(
                'call.caller_gone',
                extra={
                    'request_id': request_id,
                    'sign': error.sign,
                    'signs': error.signs,
                    'watched_s': round(error.watched_s, 3),
                },
            )
            return requests.CallAnswer(499, (), b'')
        except Exception:  # pylint: disable=broad-exception-caught
            # After an unexpected error it is unknown whether the call has run.
            _log.exception('call.failed', extra={'request_id': request_id})
            unknown = errors.OutcomeUnknownError('internal error')
            metrics.REFUSALS.labels(unknown.code).inc()
            return self._render_error(unknown, request_id, idempotency_key)

    def _log_refusal(
        self,
        error: errors.CallError,
        environ: dict[str, Any],
        request_id: str,
    ) -> None:
        """Logs why a call failed, and the configuration versions in force."""
        _log.info(
            'call.refused',
            extra={
                'request_id': request_id,
                'path': environ['PATH_INFO'],
                'code': error.code,
                'status': error.status,
                'ran': error.ran,
                'reason': error.detail,
                'retry_after_s': error.retry_after_s,
                **self._entry.describe_versions(clocks.read_now()),
            },
        )

    def _render_error(
        self,
        error: errors.CallError,
        request_id: str,
        idempotency_key: str | None,
    ) -> requests.CallAnswer:
        fractional = self._dialect.fractional_delays
        return problems.render_problem(
            error, request_id, idempotency_key, fractional
        )

    def _process_request(
        self, environ: dict[str, Any], request_id: str
    ) -> requests.CallAnswer:
        request = bodies.read_request(environ)
        if not request_id:
            raise errors.BadRequestError('the request has no identifier')
        received_at = clocks.read_now()
        self._wait_for_earlier(environ, request)
        if self._is_refused_by_stop(environ):
            raise errors.NotRunError(
                'this node is shutting down', _STOP_RETRY_AFTER_S
            )
        if len(self._request_ids) > MAX_CALLS_IN_FLIGHT:
            raise errors.NotRunError('this node has too many calls', 1.0)
        now = self._guard.wait_for_refresh(clocks.read_now())
        if request.path.startswith(_OUTCOMES_PREFIX):
            return self._look_up_outcome(request, now)
        call = self._entry.admit_request(
            request,
            request_id,
            now,
            self._work_end,
            # A call with a token is nested for certain, and its caller waits.
            may_shorten=not self._draining or self._dialect.call_tokens,
            received_at=received_at,
        )
        exchange = environ.get(pipelines.EXCHANGE_KEY)
        if exchange is not None:
            exchange.is_repeatable = call.route.repeatable
        return self._run_call(environ, call, now)

    def _wait_for_earlier(
        self, environ: dict[str, Any], request: requests.CallRequest
    ) -> None:
        """Waits for earlier answers of a connection if the call needs it.

        Raises:
          CallerGoneError: If the caller has left meanwhile.
        """
        exchange = environ.get(pipelines.EXCHANGE_KEY)
        if exchange is None or not exchange.is_follower:
            return
        exchange.is_repeatable = self._entry.is_repeatable(request)
        if not exchange.must_wait():
            return
        handle = self._monitor.watch(environ)
        try:
            exchange.wait_to_run()
        finally:
            self._monitor.unwatch(handle)

    def _run_call(
        self, environ: dict[str, Any], call: pending.Call, now: float
    ) -> requests.CallAnswer:
        """Runs a call and records its duration by workspace and outcome."""
        handle = None
        if call.route.repeatable or not call.route.keyed:
            # A call with an idempotency key runs on after its caller has
            # disconnected: the caller may ask for the outcome later.
            self._monitor.check(environ)
            handle = self._monitor.watch(environ)
        outcome = 'failed'
        try:
            answer = self._entry.run(call)
            outcome = 'answered'
            return answer
        except errors.CallError as error:
            outcome = error.code
            raise
        finally:
            if handle is not None:
                self._monitor.unwatch(handle)
            elapsed_s = clocks.read_now() - now
            metrics.observe_call(call.caller.workspace, outcome, elapsed_s)

    def _look_up_outcome(
        self, request: requests.CallRequest, now: float
    ) -> requests.CallAnswer:
        """Returns the outcome of the call with an idempotency key."""
        idempotency_key = request.path[len(_OUTCOMES_PREFIX) :]
        states = self._entry.look_up(request, idempotency_key, now)
        preference = ('settled', 'running', 'unknown')
        best = min(
            states,
            key=lambda state: preference.index(
                state.state if state.state in preference else 'unknown'
            ),
            default=None,
        )
        document = {'state': 'unknown' if best is None else best.state}
        if best is not None and best.status:
            document['status'] = best.status
        body = json.dumps(document).encode()
        headers = (('Content-Type', 'application/json'),)
        return requests.CallAnswer(200, headers, body)


def _describe_abort(aborted: errors.CallAbortedError) -> errors.CallError:
    """Returns the error to answer to a call that the stop has ended."""
    if aborted.may_have_run:
        return errors.OutcomeUnknownError(_STOPPED)
    return errors.NotRunError(_STOPPED, _STOP_RETRY_AFTER_S)
