"""Attempts of calls: their messages to ingresses, replies and log lines."""

from typing import Any, Protocol

from jayseam.backends import dialects
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import messages
from jayseam.calls import pending
from jayseam.calls import requests
from jayseam.calls import tokens
from jayseam.calls import urgency
from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.core import logs
from jayseam.core import statuses
from jayseam.core import versionnumbers
from jayseam.links import errors as link_errors
from jayseam.routing import loads
from jayseam.routing import refusals

_ERRORS_BY_CODE = {
    'zone': errors.ZoneError,
    'key': errors.KeyRefusedError,
    'outcome-unknown': errors.OutcomeUnknownError,
}
# The ingress ends a call this much before the call's deadline, or a tenth of
# the remaining time before if that is less, so that the reply reaches the entry
# in time. Without this margin, calls that waited in a full queue ended as
# outcome-unknown, and backend servers worked for callers that had given up.
_REPLY_MARGIN_MS = 50
_MS_PER_S = 1000
# Errors that a node reports without having run the handler of the message.
_NOT_HANDLED_KINDS = frozenset(('no-handler', 'overloaded'))

_log = logs.get_logger(__name__)


class Forwarder(Protocol):
    """Sends an attempt to the ingress at a VM."""

    def __call__(
        self, vm: str, forward: messages.Forward, timeout_s: float
    ) -> messages.Answered | messages.Refused:
        """Returns the reply of the ingress.

        Raises:
          LinkError: If no reply came.
        """


def build_needs(
    call: pending.Call, dialect: dialects.Dialect, now: float
) -> refusals.CallNeeds:
    """Returns what decides whether a queue has room for a call."""
    remaining_s = min(call.objective, call.deadline) - now
    return refusals.CallNeeds(
        call.caller.workspace, urgency.compute_rank(call, dialect), remaining_s
    )


def send_attempt(
    dependencies: Any, call: pending.Call, choice: Any, now: float
) -> requests.CallAnswer:
    """Forwards one attempt; returns its answer or raises its error.

    Args:
      dependencies: Dependencies of the entry.
      call: The call.
      choice: The VM of the attempt.
      now: Current time in seconds.

    Raises:
      CallError: If no backend server answered.
      CallAbortedError: If this node ends the call.
      CallerGoneError: If the caller has left.
    """
    forward = _build_forward(dependencies, call, choice, now)
    chooser = dependencies.chooser
    workspace = call.caller.workspace
    chooser.start_attempt(choice.vm, workspace)
    try:
        reply = dependencies.forwarder(choice.vm, forward, call.deadline - now)
        report = loads.ReportedLoad(
            reply.load,
            reply.fair_load,
            reply.idle_load,
            reply.service_s,
            reply.kind_service_s,
            reply.limit,
        )
        received_at = clocks.read_now()
        chooser.record_load(
            choice.vm, workspace, report, received_at, call.route.name
        )
        chooser.merge_reports(reply.reports, received_at)
    except link_errors.NotSentError as error:
        chooser.record_failure(choice.vm, clocks.read_now())
        raise errors.NotRunError('the node cannot be reached') from error
    except link_errors.RemoteError as error:
        if error.kind in _NOT_HANDLED_KINDS:
            raise errors.NotRunError('the node is overloaded') from error
        raise errors.OutcomeUnknownError('the node failed') from error
    except link_errors.LinkError as error:
        # A call that reached its deadline says nothing about the VM.
        if (failed_at := clocks.read_now()) < call.deadline:
            chooser.record_failure(choice.vm, failed_at)
            if call.route.repeatable:
                # The call is tried again elsewhere. When its caller leaves,
                # only the last attempt is cancelled.
                _cancel_attempt(dependencies, choice.vm, forward, 'lost')
        raise errors.OutcomeUnknownError('the reply was lost') from error
    except errors.CallAbortedError as error:
        _cancel_attempt(dependencies, choice.vm, forward, 'aborted')
        error.may_have_run = True
        raise
    except errors.CallerGoneError:
        _cancel_attempt(dependencies, choice.vm, forward, 'caller-gone')
        raise
    finally:
        chooser.finish_attempt(choice.vm, workspace)
    try:
        return _convert_reply(reply)
    except errors.OutcomeUnknownError:
        # The connection to the backend server broke before its time ran out.
        if received_at < now + forward.timeout_ms / _MS_PER_S:
            chooser.record_reset(choice.vm, received_at)
        raise
    except errors.NotRunError as error:
        # A queue without room for this call may have room for others, and
        # the reply reports the VM's load.
        refused_at = clocks.read_now()
        if error.admitted or error.retry_after_s is None:
            chooser.record_refusal(choice.vm, refused_at)
        else:
            needs = build_needs(call, dependencies.dialect, now)
            chooser.record_full(
                choice.vm, needs, error.retry_after_s, refused_at
            )
        raise


def _cancel_attempt(
    dependencies: Any, vm: str, forward: messages.Forward, reason: str
) -> None:
    """Cancels an attempt; the log line joins its identifier to the request."""
    _log.info(
        'call.attempt_given_up',
        extra={
            'request_id': forward.request_id,
            'attempt': forward.attempt,
            'upstream_vm': vm,
            'reason': reason,
        },
    )
    dependencies.cancel(vm, forward.attempt)


def _build_forward(
    dependencies: Any, call: pending.Call, choice: Any, now: float
) -> messages.Forward:
    caller = call.caller
    dialect = dependencies.dialect
    headers = requests.filter_request_headers(call.request.headers, dialect)
    remaining_ms = int((call.deadline - now) * 1000)
    run_ms = max(1, remaining_ms - min(_REPLY_MARGIN_MS, remaining_ms // 10))
    added = [
        (dialect.request_id.lower(), call.request_id),
        (dialect.timeout_ms.lower(), str(run_ms)),
    ]
    if dialect.caller_service and dependencies.service:
        added.append((dialect.caller_service.lower(), dependencies.service))
    if caller.workspace:
        added.append((dialect.workspace.lower(), caller.workspace))
    if caller.workspace and dialect.call_tokens:
        token = tokens.CallToken(
            caller.workspace,
            caller.key_id,
            call.request_id,
            caller.depth + 1,
            call.expires_wall_ms,
        )
        added.append(
            (
                keys.TOKEN_HEADER,
                tokens.mint_token(dependencies.token_keys[0], token),
            )
        )
    return messages.Forward(
        attempt=identifiers.make_id(),
        request_id=call.request_id,
        incarnation=choice.incarnation,
        route=call.route.name,
        service=choice.service,
        workspace=caller.workspace,
        key_id=caller.key_id,
        timeout_ms=run_ms,
        repeatable=call.route.repeatable,
        preset_version=call.snapshot.preset_version,
        keys_version=call.snapshot.keys_version,
        method=call.request.method,
        target=call.request.build_target(),
        headers=[list(pair) for pair in (*headers, *added)],
        body=call.request.body,
        rank=urgency.compute_rank(call, dialect),
        objective_ms=urgency.compute_objective_ms(call, now),
        report_zone=dependencies.chooser.report_zone,
    )


def log_attempt(
    call: pending.Call,
    choice: Any,
    number: int,
    started_at: float,
    outcome: str,
    error: errors.CallError | None = None,
) -> None:
    """Logs the VM, the configuration versions and the outcome of an attempt."""
    ended_at = clocks.read_now()
    _log.info(
        'call.attempt',
        extra={
            'request_id': call.request_id,
            'number': number,
            'route': call.route.name,
            'service': choice.service,
            'workspace': call.caller.workspace,
            'upstream_vm': choice.vm,
            'preset_version': versionnumbers.shorten(
                call.snapshot.preset_version
            ),
            'vms_version': versionnumbers.shorten(call.snapshot.vms_version),
            'outcome': outcome,
            'reason': error.detail if error else '',
            'choice': choice.reason,
            'expected_ms': round(choice.expected_s * _MS_PER_S),
            'elapsed_ms': round((ended_at - started_at) * 1000),
            'left_ms': round((call.deadline - ended_at) * 1000),
        },
    )


def _convert_reply(
    reply: messages.Answered | messages.Refused,
) -> requests.CallAnswer:
    if isinstance(reply, messages.Answered):
        # Versions before this check pass on any number.
        if not statuses.is_final(reply.status):
            raise errors.OutcomeUnknownError(f'invalid status {reply.status}')
        headers = tuple((name, value) for name, value in reply.headers)
        return requests.CallAnswer(reply.status, headers, reply.body)
    if reply.ran == 'unknown':
        raise errors.OutcomeUnknownError(reply.detail)
    default = errors.ShedError if reply.admitted else errors.NotRunError
    error_class = _ERRORS_BY_CODE.get(reply.code, default)
    raise error_class(reply.detail, reply.retry_after_ms / _MS_PER_S or None)
