"""The entry: admits callers' requests and forwards them to ingresses."""

import math
import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from jayseam.backends import dialects
from jayseam.calls import attempts
from jayseam.calls import choosers
from jayseam.calls import claims
from jayseam.calls import errors
from jayseam.calls import idempotency
from jayseam.calls import keys
from jayseam.calls import messages
from jayseam.calls import requests
from jayseam.calls import retries
from jayseam.calls import tokens
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
# Most VMs to which a call is forwarded. Each costs a message and its reply, and
# the load of the first few is a good estimate of the load of the others.
_MAX_TRIED_VMS = 4
# Most jitter of Retry-After, as a share of it. Without jitter, callers that
# were refused at the same moment would return at the same moment.
_RETRY_AFTER_JITTER = 0.5
# Most of a call's remaining time that Retry-After may take; a caller that
# returns needs the rest for the call.
_MAX_RETRY_AFTER_SHARE = 1 / 3
_SERVICE_UNAVAILABLE = 503
# Rank of nested calls, which running calls make; other calls rank after them.
_NESTED_RANK = 0
# Least share of a latency objective that a returning caller still has. The
# share that is used up is derived from the timeout that the caller sends, which
# means little if the operators have raised the route's timeout.
_MIN_OBJECTIVE_SHARE = 0.5
# With less time left, a retry would not finish, and its reply could be late.
_MIN_RETRY_TIME_S = 0.1
# Time in which a confirmation or a newer version may arrive by another path.
_UNCONFIRMED_RETRY_AFTER_S = 0.5
# Channels that decide whether a request is correct.
_DECISIVE_CHANNELS = ('preset', 'keys')
# Errors that a newer configuration may contradict.
_CONTESTABLE_ERRORS = (
    errors.KeyRefusedError,
    errors.NoRouteError,
    errors.MethodError,
)
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


@attrs.frozen
class Call:
    """An admitted request and what the entry has decided about it.

    Attributes:
      request: The caller's request, unchanged.
      request_id: Identifier of the call.
      snapshot: Configuration by which the call was admitted.
      route: Route of the call.
      caller: Identity for which the call runs.
      deadline: Time by which the call ends, in seconds.
      expires_wall_ms: Wall clock time at which the outermost call ends.
      objective: Time of the latency objective, in seconds; infinite without
        one.
    """

    request: requests.CallRequest
    request_id: str
    snapshot: Any
    route: Any
    caller: keys.Caller
    deadline: float
    expires_wall_ms: int
    objective: float = math.inf


@attrs.frozen
class EntryDependencies:
    """Dependencies and settings of an entry.

    Attributes:
      own_vm: Name of the VM of this process.
      token_keys: Signing keys of call tokens; the first one signs.
      read_snapshot: Returns the configuration in force.
      read_view: Returns the membership view.
      chooser: Finds routes, and a VM for each attempt.
      limiter: Admits calls within the rates of workspaces.
      forwarder: Sends an attempt to an ingress.
      coordinator: Claims idempotency keys.
      cancel: Cancels an attempt at a VM. Takes the VM and the attempt.
      are_keys_trusted: Returns whether the key set may still be trusted. Takes
        the present time.
      is_current: Returns whether the version held of a channel is known to be
        the newest. Takes the channel and the present time.
      compute_keys_age: Returns the seconds since the key set was confirmed.
      window_s: How long records of idempotency keys are kept, in seconds.
      dialect: Header fields of callers and backend servers.
      service: Service of this node's VM, which backend servers receive as the
        calling service; empty if they don't.
      retry_budget: Size of this node's retry budget for each workspace.
      retry_bound: Bound on the retries of all nodes to a service.
      draw: Returns a random number in [0, 1).
    """

    own_vm: str
    token_keys: tuple[bytes, ...]
    read_snapshot: Callable[[], Any]
    read_view: Callable[[], Any]
    chooser: choosers.Chooser
    limiter: Any
    forwarder: Forwarder
    coordinator: claims.ClaimCoordinator
    cancel: Callable[[str, str], None]
    are_keys_trusted: Callable[[float], bool]
    is_current: Callable[[str, float], bool]
    compute_keys_age: Callable[[float], float]
    window_s: float
    dialect: dialects.Dialect = dialects.DEFAULT
    service: str = ''
    retry_budget: retries.RetryBudgetParameters = (
        retries.RetryBudgetParameters()
    )
    retry_bound: retries.FleetRetryBound = retries.FleetRetryBound()
    draw: Callable[[], float] = random.random


class Entry:
    """Runs the calls of callers. A process has one entry."""

    def __init__(self, dependencies: EntryDependencies):
        self._dependencies = dependencies
        self._budgets = retries.RetryBudgets(dependencies.retry_budget)
        self._service_budgets = retries.RetryBudgets(
            dependencies.retry_bound.divide(1)
        )

    def admit_request(
        self,
        request: requests.CallRequest,
        request_id: str,
        now: float,
        latest_end: float = math.inf,
        may_shorten: bool = True,
        received_at: float | None = None,
    ) -> Call:
        """Admits a request; decides its route, caller and deadline.

        Args:
          request: The request.
          request_id: Identifier of the request.
          now: Present time in seconds.
          latest_end: Latest deadline of the call, in seconds: the end of the
            time in which a stopping node works on calls.
          may_shorten: Whether a call with a later deadline gets that one; if
            not, it is refused.
          received_at: Time from which the caller's timeout counts, in seconds;
            by default ``now``.

        Raises:
          CallError: If the request is refused.
        """
        began = now if received_at is None else min(received_at, now)
        snapshot = self._require_snapshot()
        try:
            route = self._dependencies.chooser.match_route(
                snapshot.preset, request.method, request.path, request.host
            )
            caller = self._authorize(request, snapshot, route, now)
        except _CONTESTABLE_ERRORS as error:
            raise self._reconsider(error, now) from error
        wall_ms = clocks.read_wall_ms()
        field = self._dependencies.dialect.timeout_ms
        timeout_ms = _read_timeout_ms(request, field, route.timeout_ms)
        if caller.expires_wall_ms is not None:
            timeout_ms = min(timeout_ms, caller.expires_wall_ms - wall_ms)
        deadline = began + timeout_ms / _MS_PER_S
        if deadline <= now:
            raise errors.NotRunError('the deadline has passed')
        if latest_end <= now or (deadline > latest_end and not may_shorten):
            raise errors.NotRunError('this node is shutting down')
        deadline = min(deadline, latest_end)
        if caller.workspace and caller.depth == 0:
            self._admit(caller.workspace, deadline, now)
        return Call(
            request,
            request_id,
            snapshot,
            route,
            caller,
            deadline,
            caller.expires_wall_ms
            or wall_ms + int((deadline - now) * _MS_PER_S),
            math.inf
            if self._is_nested(snapshot.preset, caller)
            else _compute_objective(route, timeout_ms, began),
        )

    def run(self, call: Call) -> requests.CallAnswer:
        """Runs an admitted call and returns the whole answer.

        Raises:
          CallError: If there is no answer; tells whether the call may have run.
        """
        if call.route.repeatable or not call.route.keyed:
            return self._run_with_retries(call)
        return self._run_at_most_once(call)

    def is_repeatable(self, request: requests.CallRequest) -> bool:
        """Returns whether the request's call may run more than once."""
        preset = self._dependencies.read_snapshot().preset
        if preset is None:
            return False
        try:
            return self._dependencies.chooser.match_route(
                preset, request.method, request.path, request.host
            ).repeatable
        except errors.CallError:
            # The call is refused, whenever it runs.
            return False

    def describe_versions(self, now: float) -> dict[str, Any]:
        """Returns the configuration versions in use and the age of the keys."""
        snapshot = self._dependencies.read_snapshot()
        return {
            'preset_version': versionnumbers.shorten(snapshot.preset_version),
            'keys_version': versionnumbers.shorten(snapshot.keys_version),
            'vms_version': versionnumbers.shorten(snapshot.vms_version),
            'keys_age_s': self._dependencies.compute_keys_age(now),
        }

    def look_up(self, request: requests.CallRequest, text: str, now: float):
        """Returns the state of an idempotency key at each keeper that replies.

        Raises:
          CallError: If the caller's key or the idempotency key is not valid.
        """
        snapshot = self._require_snapshot()
        try:
            caller = self._identify(request, snapshot, now)
        except errors.KeyRefusedError as error:
            raise self._reconsider(error, now) from error
        if caller is None:
            raise errors.KeyRefusedError('a key is needed')
        key = idempotency.parse_key(
            text, clocks.read_wall_ms(), self._dependencies.window_s
        )
        zones = _map_zones(snapshot.preset)
        return self._dependencies.coordinator.look_up(
            caller.workspace, key, zones, now + 2.0
        )

    def _require_snapshot(self) -> Any:
        snapshot = self._dependencies.read_snapshot()
        if snapshot.preset is None or snapshot.keys is None:
            raise errors.NotRunError('no configuration is in force yet', 1.0)
        return snapshot

    def _identify(
        self, request: requests.CallRequest, snapshot: Any, now: float
    ) -> keys.Caller | None:
        caller = keys.identify_caller(
            request,
            snapshot.keys,
            self._dependencies.token_keys,
            clocks.read_wall_ms(),
        )
        if caller is not None and not self._dependencies.are_keys_trusted(now):
            raise errors.KeysUnconfirmedError(
                'keys have not been confirmed recently',
                _UNCONFIRMED_RETRY_AFTER_S,
            )
        return caller

    def _authorize(
        self,
        request: requests.CallRequest,
        snapshot: Any,
        route: Any,
        now: float,
    ) -> keys.Caller:
        if route.open_to_all and not snapshot.preset.workspaces:
            # Nobody has a key, so credentials mean nothing to this fleet.
            return keys.ANONYMOUS
        try:
            caller = self._identify(request, snapshot, now)
        except errors.KeyRefusedError:
            if route.open_to_all:
                return keys.ANONYMOUS
            raise
        if caller is None:
            if route.open_to_all:
                return keys.ANONYMOUS
            raise errors.KeyRefusedError('this route needs a key')
        if caller.workspace not in snapshot.preset.workspaces:
            raise errors.KeyRefusedError('the workspace is not in service')
        return caller

    def _reconsider(
        self, error: errors.CallError, now: float
    ) -> errors.CallError:
        """Returns the error to answer to a request that seems incorrect.

        Callers give up after an answer that blames the request, so it is given
        only by a node whose configuration is known to be the newest.
        """
        outdated = [
            channel
            for channel in _DECISIVE_CHANNELS
            if not self._dependencies.is_current(channel, now)
        ]
        if not outdated:
            return error
        return errors.ConfigurationUnconfirmedError(
            f'{error.detail}, but not confirmed: {", ".join(outdated)}',
            _UNCONFIRMED_RETRY_AFTER_S,
        )

    def _admit(self, workspace: str, deadline: float, now: float) -> None:
        decision = self._dependencies.limiter.admit(
            workspace, 1.0, deadline, now
        )
        if not decision.admitted:
            raise errors.LimitError(
                'the workspace is over its rate', decision.retry_after_s
            )

    def _run_at_most_once(self, call: Call) -> requests.CallAnswer:
        """Runs a call at most once, under its idempotency key."""
        coordinator = self._dependencies.coordinator
        key = idempotency.parse_key(
            call.request.get_header('idempotency-key'),
            clocks.read_wall_ms(),
            self._dependencies.window_s,
        )
        workspace = call.caller.workspace
        claim_result = coordinator.claim(
            workspace,
            key,
            idempotency.compute_fingerprint(call.request),
            _map_zones(call.snapshot.preset),
            call.deadline,
        )
        if claim_result.answer is not None:
            return claim_result.answer
        try:
            answer = self._run_with_retries(call)
        except errors.CallError as error:
            if error.ran == 'no':
                coordinator.abandon(workspace, claim_result)
            else:
                coordinator.settle(workspace, claim_result, None)
            raise
        except BaseException:
            coordinator.settle(workspace, claim_result, None)
            raise
        coordinator.settle(workspace, claim_result, answer)
        return answer

    def _run_with_retries(self, call: Call) -> requests.CallAnswer:
        """Tries VMs until one answers, within the deadline and retry budgets.

        If a backend server answers a repeatable call with an error, the call is
        retried elsewhere; the error is returned if there is no better answer.
        """
        service = self._dependencies.chooser.draw_service(call.route)
        self._record_call(call, service, clocks.read_now())
        progress = attempts.Progress()
        for number in range(_MAX_TRIED_VMS):
            now = clocks.read_now()
            if not self._may_try_vm(call, service, progress, now):
                break
            choice = self._choose_vm(call, service, progress.tried_vms, now)
            if choice is None:
                break
            try:
                answer = self._try_vm(call, choice, number, progress)
            except errors.CallAbortedError as error:
                error.may_have_run |= progress.error.ran != 'no'
                raise
            if answer is not None:
                return answer
            if progress.is_final:
                break
        if progress.error_answer is not None:
            return progress.error_answer
        raise self._set_retry_after(progress.error, call, clocks.read_now())

    def _try_vm(
        self, call: Call, choice: Any, number: int, progress: attempts.Progress
    ) -> requests.CallAnswer | None:
        """Makes one attempt; returns its answer if the call ends with it."""
        now = clocks.read_now()
        progress.tried_vms.add(choice.vm)
        try:
            answer = self._send_attempt(call, choice, now)
        except errors.CallError as error:
            _log_attempt(call, choice, number, now, error.code, error)
            progress.record_error(error, call.route.repeatable)
            return None
        _log_attempt(call, choice, number, now, str(answer.status))
        if not call.route.repeatable or not attempts.is_retryable_answer(
            answer
        ):
            return answer
        progress.record_error_answer(answer)
        return None

    def _record_call(self, call: Call, service: str, now: float) -> None:
        """Counts a call in the retry budgets."""
        nodes = len(call.snapshot.preset.upstreams)
        self._service_budgets.resize(
            self._dependencies.retry_bound.divide(nodes)
        )
        self._service_budgets.record_call(service, now)
        self._budgets.record_call(call.caller.workspace, now)

    def _may_try_vm(
        self,
        call: Call,
        service: str,
        progress: attempts.Progress,
        now: float,
    ) -> bool:
        """Returns whether time, route and budgets allow one more attempt.

        Attempts that have not reached a backend server put no load on one, so
        they count neither as attempts of the route nor in the retry budgets.
        """
        if now >= call.deadline:
            return False
        if not progress.tried_vms:
            return True
        if now + _MIN_RETRY_TIME_S > call.deadline:
            return False
        if not progress.sent_attempts:
            return True
        max_sent = min(retries.MAX_RETRIES + 1, call.route.max_attempts)
        if progress.sent_attempts >= max_sent:
            return False
        return self._budgets.spend(
            call.caller.workspace, now
        ) and self._service_budgets.spend(service, now)

    def _set_retry_after(
        self, error: errors.CallError, call: Call, now: float
    ) -> errors.CallError:
        """Sets how long the caller should wait, and returns the error.

        The delay has jitter, so that callers that were refused together don't
        return together.
        """
        if error.ran == 'no' and error.status == _SERVICE_UNAVAILABLE:
            wait_s = error.retry_after_s or attempts.UNAVAILABLE_RETRY_AFTER_S
            wait_s *= 1.0 + _RETRY_AFTER_JITTER * self._dependencies.draw()
            remaining_s = max(0.0, call.deadline - now)
            error.retry_after_s = min(
                wait_s, remaining_s * _MAX_RETRY_AFTER_SHARE
            )
        return error

    def _choose_vm(
        self, call: Call, service: str, tried_vms: set[str], now: float
    ) -> Any:
        return self._dependencies.chooser.choose(
            call.snapshot.preset,
            service,
            self._dependencies.read_view(),
            tried_vms,
            now,
            call.caller.workspace,
            # A first attempt may go to a full VM, so that a slot is taken as
            # soon as another call frees it.
            self._build_needs(call, now) if tried_vms else None,
        )

    def _build_needs(self, call: Call, now: float) -> refusals.CallNeeds:
        remaining_s = min(call.objective, call.deadline) - now
        return refusals.CallNeeds(
            call.caller.workspace, self._compute_rank(call), remaining_s
        )

    def _send_attempt(
        self, call: Call, choice: Any, now: float
    ) -> requests.CallAnswer:
        """Forwards one attempt; returns its answer or raises its error."""
        forward = self._build_forward(call, choice, now)
        chooser = self._dependencies.chooser
        workspace = call.caller.workspace
        chooser.start_attempt(choice.vm, workspace)
        try:
            reply = self._dependencies.forwarder(
                choice.vm, forward, call.deadline - now
            )
            report = loads.ReportedLoad(
                reply.load, reply.fair_load, reply.idle_load, reply.service_s
            )
            chooser.record_load(choice.vm, workspace, report, clocks.read_now())
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
            raise errors.OutcomeUnknownError('the reply was lost') from error
        except errors.CallAbortedError as error:
            self._dependencies.cancel(choice.vm, forward.attempt)
            error.may_have_run = True
            raise
        except errors.CallerGoneError:
            self._dependencies.cancel(choice.vm, forward.attempt)
            raise
        finally:
            chooser.finish_attempt(choice.vm, workspace)
        try:
            return _convert_reply(reply)
        except errors.NotRunError as error:
            # A queue without room for this call may have room for others, and
            # the reply reports the VM's load.
            refused_at = clocks.read_now()
            if error.admitted or error.retry_after_s is None:
                chooser.record_refusal(choice.vm, refused_at)
            else:
                needs = self._build_needs(call, now)
                chooser.record_full(
                    choice.vm, needs, error.retry_after_s, refused_at
                )
            raise

    def _compute_rank(self, call: Call) -> int:
        """Returns the rank of a call; the most urgent calls have rank 0.

        The workspace's rank takes precedence over the route's. Nested calls go
        first: they are short, and refusing one wastes the work of the running
        call that needs it.
        """
        preset = call.snapshot.preset
        if self._is_nested(preset, call.caller):
            return _NESTED_RANK
        workspace = preset.workspaces.get(call.caller.workspace)
        if workspace is None or workspace.rank is None:
            return _NESTED_RANK + 1 + call.route.rank
        return _NESTED_RANK + 1 + workspace.rank

    def _is_nested(self, preset: Any, caller: keys.Caller) -> bool:
        """Returns whether a call was made by a running call.

        Where there are no call tokens but callers have workspaces, only nested
        calls, which backend servers make, come without credentials.
        """
        if self._dependencies.dialect.call_tokens:
            return caller.depth > 0
        return bool(preset.workspaces) and not caller.workspace

    def _build_forward(
        self, call: Call, choice: Any, now: float
    ) -> messages.Forward:
        caller = call.caller
        dialect = self._dependencies.dialect
        headers = requests.filter_request_headers(call.request.headers, dialect)
        remaining_ms = int((call.deadline - now) * 1000)
        run_ms = max(
            1, remaining_ms - min(_REPLY_MARGIN_MS, remaining_ms // 10)
        )
        added = [
            (dialect.request_id.lower(), call.request_id),
            (dialect.timeout_ms.lower(), str(run_ms)),
        ]
        if dialect.caller_service and self._dependencies.service:
            added.append(
                (dialect.caller_service.lower(), self._dependencies.service)
            )
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
                    tokens.mint_token(self._dependencies.token_keys[0], token),
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
            rank=self._compute_rank(call),
            objective_ms=_compute_objective_ms(call, now),
        )


def _compute_objective(route: Any, timeout_ms: int, now: float) -> float:
    """Returns the time of the latency objective; infinite without one.

    The objective counts from the caller's first attempt.

    Args:
      route: Route of the call.
      timeout_ms: Time that the caller leaves for the call, in milliseconds.
      now: Present time in seconds.
    """
    if not route.objective_ms:
        return math.inf
    used_ms = max(0, route.timeout_ms - timeout_ms)
    remaining_ms = max(
        route.objective_ms - used_ms,
        route.objective_ms * _MIN_OBJECTIVE_SHARE,
    )
    return now + remaining_ms / _MS_PER_S


def _compute_objective_ms(call: Call, now: float) -> int:
    """Returns the milliseconds until the objective; 0 without one."""
    if math.isinf(call.objective):
        return 0
    return max(1, int((call.objective - now) * _MS_PER_S))


def _log_attempt(
    call: Call,
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


def _map_zones(preset: Any) -> dict[str, str]:
    """Returns the zone of each upstream of a preset."""
    return {name: item.zone for name, item in preset.upstreams.items()}


def _read_timeout_ms(
    request: requests.CallRequest, field: str, max_ms: int
) -> int:
    """Returns the caller's timeout, at most that of the route.

    Args:
      request: The caller's request.
      field: Name of the field with the timeout.
      max_ms: Timeout of the route in milliseconds.

    Raises:
      BadRequestError: If the field is not a positive whole number.
    """
    text = request.get_header(field.lower())
    if text is None:
        return max_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise errors.BadRequestError(f'{field} is not a number')
    return min(int(text), max_ms)
