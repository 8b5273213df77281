"""The WSGI application that callers reach."""

import http
import json
from collections.abc import Callable, Iterable
from typing import Any

import gevent

from jayseam.backends import dialects
from jayseam.calls import entry as call_entry
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import problems
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.core import logs
from jayseam.node import callers
from jayseam.node import measures
from jayseam.node import pauses

MAX_CALLS = 1000
_OUTCOMES_PREFIX = '/.jayseam/outcomes/'
_RETRY_ELSEWHERE_S = 1.0
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}

_log = logs.get_logger(__name__)


class CallerApplication:
    """Turns WSGI requests into calls and their outcomes into responses.

    Args:
      entry: Judges and runs calls.
      guard: Holds calls after a pause.
      monitor: Interrupts calls whose callers left.
      zone_in_service: Tells whether the own zone takes new work.
      dialect: Header fields of callers.
    """

    def __init__(
        self,
        entry: call_entry.Entry,
        guard: pauses.PauseGuard,
        monitor: callers.DepartureMonitor,
        zone_in_service: Callable[[], bool],
        dialect: dialects.Dialect = dialects.DEFAULT,
    ):
        self._entry = entry
        self._guard = guard
        self._monitor = monitor
        self._zone_in_service = zone_in_service
        self._dialect = dialect
        self._closing = False
        self._leaving = False
        self._calls: dict[gevent.Greenlet, str] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests that have no answer yet."""
        return len(self._calls)

    def running(self) -> list[str]:
        """Returns the identifiers of the requests without an answer."""
        return list(self._calls.values())

    def announce_stop(self) -> None:
        """Has callers end their connections after their next answer."""
        self._closing = True

    def leave(self) -> None:
        """Refuses new calls from now on; running calls finish.

        Nested calls belong to running calls, so they are still served.
        """
        self._closing = True
        self._leaving = True

    def cut(self) -> None:
        """Ends the requests without an answer; callers learn it at once."""
        for greenlet in list(self._calls):
            greenlet.kill(
                errors.OutcomeUnknownError('this node was stopped'),
                block=False,
            )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request_id = self._identify_call(environ)
        greenlet = gevent.getcurrent()
        self._calls[greenlet] = request_id
        try:
            answer = self._answer(environ, request_id)
        finally:
            del self._calls[greenlet]
        headers = [*answer.headers, (self._dialect.request_id, request_id)]
        if self._closing or not self._zone_in_service():
            # Kept-alive callers move to a node that goes on serving.
            headers.append(('Connection', 'close'))
        reason = _REASONS.get(answer.status, 'Unknown')
        start_response(f'{answer.status} {reason}', headers)
        return [answer.body]

    def _identify_call(self, environ: dict[str, Any]) -> str:
        """Returns the caller's name of a call, or a new one."""
        if self._dialect.caller_ids:
            name = self._dialect.request_id.upper().replace('-', '_')
            return environ.get(f'HTTP_{name}', '')
        return identifiers.make_id()

    def _answer(
        self, environ: dict[str, Any], request_id: str
    ) -> requests.CallAnswer:
        """Returns the answer to a request, whatever happens to it."""
        text = environ.get('HTTP_IDEMPOTENCY_KEY')
        try:
            return self._serve(environ, request_id)
        except errors.CallError as error:
            measures.REFUSALS.labels(error.code).inc()
            self._log_refusal(error, environ, request_id)
            return self._render(error, request_id, text)
        except errors.CallerGoneError:
            _log.info('call.caller_gone', extra={'request_id': request_id})
            return requests.CallAnswer(499, (), b'')
        except Exception:  # pylint: disable=broad-exception-caught
            # An unexpected fault says nothing about what has run.
            _log.exception('call.failed', extra={'request_id': request_id})
            unknown = errors.OutcomeUnknownError('internal error')
            measures.REFUSALS.labels(unknown.code).inc()
            return self._render(unknown, request_id, text)

    def _log_refusal(
        self,
        error: errors.CallError,
        environ: dict[str, Any],
        request_id: str,
    ) -> None:
        """Logs why a call ended without a result, and by which versions."""
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
                **self._entry.describe_knowledge(clocks.read_now()),
            },
        )

    def _render(
        self, error: errors.CallError, request_id: str, key: str | None
    ) -> requests.CallAnswer:
        fractional = self._dialect.fractional_delays
        return problems.render_problem(error, request_id, key, fractional)

    def _serve(
        self, environ: dict[str, Any], request_id: str
    ) -> requests.CallAnswer:
        request = callers.read_request(environ)
        if not request_id:
            raise errors.BadRequestError('the request has no identifier')
        if self._leaving and request.header(keys.TOKEN_HEADER) is None:
            raise errors.NotRunError(
                'this node is shutting down', _RETRY_ELSEWHERE_S
            )
        if len(self._calls) > MAX_CALLS:
            raise errors.NotRunError('this node has too many calls', 1.0)
        now = self._guard.ensure_fresh(clocks.read_now())
        if request.path.startswith(_OUTCOMES_PREFIX):
            return self._look_up(request, now)
        call = self._entry.judge(request, request_id, now)
        return self._run(environ, call, now)

    def _run(
        self, environ: dict[str, Any], call: call_entry.Call, now: float
    ) -> requests.CallAnswer:
        """Runs a call and observes its time by workspace and outcome."""
        handle = None
        if call.route.repeatable or not call.route.keyed:
            # A call under an idempotency key goes on without its caller, who
            # may ask for the outcome later.
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
            measures.observe_call(call.caller.workspace, outcome, elapsed_s)

    def _look_up(
        self, request: requests.CallRequest, now: float
    ) -> requests.CallAnswer:
        """Answers the question what became of an idempotency key."""
        text = request.path[len(_OUTCOMES_PREFIX) :]
        states = self._entry.look_up(request, text, now)
        order = ('settled', 'running', 'unknown')
        best = min(
            states,
            key=lambda state: order.index(
                state.state if state.state in order else 'unknown'
            ),
            default=None,
        )
        document = {'state': 'unknown' if best is None else best.state}
        if best is not None and best.status:
            document['status'] = best.status
        body = json.dumps(document).encode()
        headers = (('Content-Type', 'application/json'),)
        return requests.CallAnswer(200, headers, body)
