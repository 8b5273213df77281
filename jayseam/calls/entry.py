"""The entry: judges a caller's request and finds a backend server for it."""

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
from jayseam.links import errors as link_errors
from jayseam.routing import loads
from jayseam.routing import rooms

_ERRORS_BY_CODE = {
    'zone': errors.ZoneError,
    'key': errors.KeyRefusedError,
    'outcome-unknown': errors.OutcomeUnknownError,
}
# The ingress ends a call this much before its deadline, or a tenth of the time
# left before if that is less, so that its reply reaches the entry in time.
# Without it, calls that waited in a full queue ended as outcome-unknown, and
# backend servers worked for callers that had given up.
_REPLY_MARGIN_MS = 50
# Backend servers at which room is looked for. Each costs a message and its
# reply, and the load of the first few says enough of the others.
_MAX_PLACEMENTS = 4
# Callers refused at one moment return over half as much time again.
_RETRY_SPREAD = 0.5
# A caller that comes back needs the rest of its time for the call.
_RETRY_MOST_SHARE = 1 / 3
_UNAVAILABLE = 503
# Rank of calls that a running call makes; those of callers come after it.
_NESTED_RANK = 0
# Share of a latency objective that a caller who has come back still gets. How
# much of it is used up follows from the time that it leaves for the call, which
# means little if the operators have raised the route's timeout.
_LEAST_OBJECTIVE_SHARE = 0.5
# With less time left another attempt is in vain, and its reply may be late.
_MIN_RETRY_S = 0.1
# Time for a confirmation of the keys to arrive by another path.
_RETRY_KEYS_S = 0.5
_MS_PER_S = 1000
# Failures that a node reports without having run the handler.
_NOT_HANDLED = frozenset(('no-handler', 'overloaded'))

_log = logs.get_logger(__name__)


class Forwarder(Protocol):
    """Runs an attempt on the ingress at a VM."""

    def __call__(
        self, vm: str, forward: messages.Forward, timeout_s: float
    ) -> messages.Answered | messages.Refused:
        """Returns the reply of the ingress.

        Raises:
          LinkError: If no reply came.
        """


@attrs.frozen
class Call:
    """One caller's request with all that was decided about it.

    Attributes:
      request: The request as it came.
      request_id: Identifier of the call.
      snapshot: Configuration by which the call was judged.
      route: Route of the call.
      caller: For whom the call runs.
      deadline: Time by which the call ends, in seconds.
      expires_wall_ms: End of the outermost call on the wall clock.
      objective: Time until which an answer is of full use, in seconds.
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
class EntryParts:
    """What an entry works with.

    Attributes:
      own_vm: Name of the VM of this process.
      token_keys: Signing keys of call tokens; the first one signs.
      read_snapshot: Returns the configuration in force.
      read_view: Returns the membership view.
      chooser: Finds routes, and the VM for each attempt.
      limiter: Admits calls within the rates of workspaces.
      forwarder: Runs an attempt on an ingress.
      coordinator: Claims idempotency keys.
      cancel: Tells a VM that nobody waits for an attempt.
      keys_usable: Tells whether the key set may still be trusted.
      read_keys_age: Returns the seconds since the key set was confirmed.
      window_s: How long idempotency keys are remembered, in seconds.
      dialect: Header fields of callers and backend servers.
      service: Service beside which this node runs, if it is told to backend
        servers.
      retry_budget: Size of the retry budgets of workspaces.
      retry_bound: Retries that all nodes may make to a service.
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
    keys_usable: Callable[[float], bool]
    read_keys_age: Callable[[float], float]
    window_s: float
    dialect: dialects.Dialect = dialects.DEFAULT
    service: str = ''
    retry_budget: retries.BudgetSize = retries.BudgetSize()
    retry_bound: retries.FleetBound = retries.FleetBound()
    draw: Callable[[], float] = random.random


class Entry:
    """Serves callers: one instance for each process."""

    def __init__(self, parts: EntryParts):
        self._parts = parts
        self._budgets = retries.RetryBudgets(parts.retry_budget)
        self._service_budgets = retries.RetryBudgets(
            parts.retry_bound.divide(1)
        )

    def judge(
        self, request: requests.CallRequest, request_id: str, now: float
    ) -> Call:
        """Decides route, caller and deadline of a request, and admits it.

        Raises:
          CallError: If the request is refused.
        """
        snapshot = self._require_snapshot()
        route = self._parts.chooser.match_route(
            snapshot.preset, request.method, request.path, request.host
        )
        caller = self._authorize(request, snapshot, route, now)
        wall_ms = clocks.read_wall_ms()
        field = self._parts.dialect.timeout_ms
        timeout_ms = _read_timeout_ms(request, field, route.timeout_ms)
        if caller.expires_wall_ms is not None:
            timeout_ms = min(timeout_ms, caller.expires_wall_ms - wall_ms)
        if timeout_ms <= 0:
            raise errors.NotRunError('the deadline has passed')
        deadline = now + timeout_ms / 1000
        if caller.workspace and caller.depth == 0:
            self._admit(caller.workspace, deadline, now)
        return Call(
            request,
            request_id,
            snapshot,
            route,
            caller,
            deadline,
            caller.expires_wall_ms or wall_ms + timeout_ms,
            math.inf
            if self._is_nested(snapshot.preset, caller)
            else _find_objective(route, timeout_ms, now),
        )

    def run(self, call: Call) -> requests.CallAnswer:
        """Runs a judged call and returns the whole answer to it.

        Raises:
          CallError: If there is no answer; says whether the call may have run.
        """
        if call.route.repeatable or not call.route.keyed:
            return self._attempt(call)
        return self._run_once(call)

    def describe_knowledge(self, now: float) -> dict[str, Any]:
        """Returns the versions and their ages by which calls are judged."""
        snapshot = self._parts.read_snapshot()
        return {
            'preset_version': snapshot.preset_version,
            'keys_version': snapshot.keys_version,
            'vms_version': snapshot.vms_version,
            'keys_age_s': self._parts.read_keys_age(now),
        }

    def look_up(self, request: requests.CallRequest, text: str, now: float):
        """Returns the caller and what keepers know of an idempotency key.

        Raises:
          CallError: If the key of the caller is not valid.
        """
        snapshot = self._require_snapshot()
        caller = self._identify(request, snapshot, now)
        if caller is None:
            raise errors.KeyRefusedError('a key is needed')
        key = idempotency.parse_key(
            text, clocks.read_wall_ms(), self._parts.window_s
        )
        zones = _map_zones(snapshot.preset)
        return self._parts.coordinator.look_up(
            caller.workspace, key, zones, now + 2.0
        )

    def _require_snapshot(self) -> Any:
        snapshot = self._parts.read_snapshot()
        if snapshot.preset is None or snapshot.keys is None:
            raise errors.NotRunError('no configuration is in force yet', 1.0)
        return snapshot

    def _identify(
        self, request: requests.CallRequest, snapshot: Any, now: float
    ) -> keys.Caller | None:
        caller = keys.identify_caller(
            request,
            snapshot.keys,
            self._parts.token_keys,
            clocks.read_wall_ms(),
        )
        if caller is not None and not self._parts.keys_usable(now):
            raise errors.KeysUnconfirmedError(
                'keys have not been confirmed recently', _RETRY_KEYS_S
            )
        return caller

    def _authorize(
        self,
        request: requests.CallRequest,
        snapshot: Any,
        route: Any,
        now: float,
    ) -> keys.Caller:
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

    def _admit(self, workspace: str, deadline: float, now: float) -> None:
        admitted = self._parts.limiter.admit(workspace, 1.0, deadline, now)
        if not admitted.admitted:
            raise errors.LimitError(
                'the workspace is over its rate', admitted.retry_after_s
            )

    def _run_once(self, call: Call) -> requests.CallAnswer:
        """Runs a call that must not run twice, under its idempotency key."""
        coordinator = self._parts.coordinator
        key = idempotency.parse_key(
            call.request.header('idempotency-key'),
            clocks.read_wall_ms(),
            self._parts.window_s,
        )
        workspace = call.caller.workspace
        claimed = coordinator.claim(
            workspace,
            key,
            idempotency.compute_fingerprint(call.request),
            _map_zones(call.snapshot.preset),
            call.deadline,
        )
        if claimed.answer is not None:
            return claimed.answer
        try:
            answer = self._attempt(call)
        except errors.CallError as error:
            if error.ran == 'no':
                coordinator.abandon(workspace, claimed)
            else:
                coordinator.settle(workspace, claimed, None)
            raise
        except BaseException:
            coordinator.settle(workspace, claimed, None)
            raise
        coordinator.settle(workspace, claimed, answer)
        return answer

    def _attempt(self, call: Call) -> requests.CallAnswer:
        """Tries upstreams until one answers, within deadline and budget.

        A failure that a backend server answers to a repeatable call is tried
        elsewhere too; without a better answer it is the answer.
        """
        service = self._parts.chooser.draw_service(call.route)
        self._record_call(call, service, clocks.read_now())
        progress = attempts.Progress()
        for number in range(_MAX_PLACEMENTS):
            now = clocks.read_now()
            if not self._may_place(call, service, progress, now):
                break
            chosen = self._choose(call, service, progress.tried, now)
            if chosen is None:
                break
            answer = self._place(call, chosen, number, progress)
            if answer is not None:
                return answer
            if progress.is_final:
                break
        if progress.failed is not None:
            return progress.failed
        raise self._advise_return(progress.failure, call, clocks.read_now())

    def _place(
        self, call: Call, chosen: Any, number: int, progress: attempts.Progress
    ) -> requests.CallAnswer | None:
        """Makes one attempt; returns its answer if that ends the call."""
        now = clocks.read_now()
        progress.tried.add(chosen.vm)
        try:
            answer = self._forward(call, chosen, now)
        except errors.CallError as error:
            _log_attempt(call, chosen, number, now, error.code, error)
            progress.note_failure(error, call.route.repeatable)
            return None
        _log_attempt(call, chosen, number, now, str(answer.status))
        if not call.route.repeatable or not attempts.is_failure(answer):
            return answer
        progress.note_failed(answer)
        return None

    def _record_call(self, call: Call, service: str, now: float) -> None:
        """Counts a call for the budgets of retries."""
        nodes = len(call.snapshot.preset.upstreams)
        self._service_budgets.resize(self._parts.retry_bound.divide(nodes))
        self._service_budgets.record_call(service, now)
        self._budgets.record_call(call.caller.workspace, now)

    def _may_place(
        self,
        call: Call,
        service: str,
        progress: attempts.Progress,
        now: float,
    ) -> bool:
        """Tells whether time, route and budget allow one more attempt.

        Attempts that no backend server was sent load none, so they count
        against neither the route's attempts nor the budgets of retries.
        """
        if now >= call.deadline:
            return False
        if not progress.tried:
            return True
        if now + _MIN_RETRY_S > call.deadline:
            return False
        if not progress.sent:
            return True
        most = min(retries.MAX_RETRIES + 1, call.route.max_attempts)
        if progress.sent >= most:
            return False
        return self._budgets.spend(
            call.caller.workspace, now
        ) and self._service_budgets.spend(service, now)

    def _advise_return(
        self, error: errors.CallError, call: Call, now: float
    ) -> errors.CallError:
        """Returns the error with the time after which to come back.

        It is spread, so that callers refused together don't return together.
        """
        if error.ran == 'no' and error.status == _UNAVAILABLE:
            wait_s = error.retry_after_s or attempts.RETRY_UNAVAILABLE_S
            wait_s *= 1.0 + _RETRY_SPREAD * self._parts.draw()
            left_s = max(0.0, call.deadline - now)
            error.retry_after_s = min(wait_s, left_s * _RETRY_MOST_SHARE)
        return error

    def _choose(
        self, call: Call, service: str, tried: set[str], now: float
    ) -> Any:
        return self._parts.chooser.choose(
            call.snapshot.preset,
            service,
            self._parts.read_view(),
            tried,
            now,
            call.caller.workspace,
            # The first attempt goes out whatever is known, so that the place
            # of each call that ends is taken at once.
            self._describe_need(call, now) if tried else None,
        )

    def _describe_need(self, call: Call, now: float) -> rooms.Need:
        left_s = min(call.objective, call.deadline) - now
        return rooms.Need(call.caller.workspace, self._find_rank(call), left_s)

    def _forward(
        self, call: Call, chosen: Any, now: float
    ) -> requests.CallAnswer:
        """Sends one attempt and turns every outcome into answer or error."""
        forward = self._build_forward(call, chosen, now)
        chooser = self._parts.chooser
        workspace = call.caller.workspace
        chooser.begin(chosen.vm, workspace)
        try:
            reply = self._parts.forwarder(
                chosen.vm, forward, call.deadline - now
            )
            report = loads.Report(
                reply.load, reply.fair_load, reply.idle_load, reply.service_s
            )
            chooser.report_load(chosen.vm, workspace, report, clocks.read_now())
        except link_errors.NotSentError as error:
            chooser.record_failure(chosen.vm, clocks.read_now())
            raise errors.NotRunError('the node cannot be reached') from error
        except link_errors.RemoteError as error:
            if error.kind in _NOT_HANDLED:
                raise errors.NotRunError('the node is overloaded') from error
            raise errors.OutcomeUnknownError('the node failed') from error
        except link_errors.LinkError as error:
            # The end of the call's own time says nothing about the VM.
            if (failed_at := clocks.read_now()) < call.deadline:
                chooser.record_failure(chosen.vm, failed_at)
            raise errors.OutcomeUnknownError('the reply was lost') from error
        except errors.CallerGoneError:
            self._parts.cancel(chosen.vm, forward.attempt)
            raise
        finally:
            chooser.end(chosen.vm, workspace)
        try:
            return _read_reply(reply)
        except errors.NotRunError as error:
            # A queue without room for this call may have room for others, and
            # its load came with the reply.
            refused_at = clocks.read_now()
            if error.admitted or error.retry_after_s is None:
                chooser.record_refusal(chosen.vm, refused_at)
            else:
                need = self._describe_need(call, now)
                chooser.record_full(
                    chosen.vm, need, error.retry_after_s, refused_at
                )
            raise

    def _find_rank(self, call: Call) -> int:
        """Returns the urgency of a call: its workspace goes before its route.

        Calls of running calls go first. They are short, and each one that is
        turned away wastes the run that needs it.
        """
        preset = call.snapshot.preset
        if self._is_nested(preset, call.caller):
            return _NESTED_RANK
        workspace = preset.workspaces.get(call.caller.workspace)
        if workspace is None or workspace.rank is None:
            return _NESTED_RANK + 1 + call.route.rank
        return _NESTED_RANK + 1 + workspace.rank

    def _is_nested(self, preset: Any, caller: keys.Caller) -> bool:
        """Tells whether a call belongs to a running call.

        Without call tokens, only those of backend servers come without
        credentials, where callers have workspaces at all.
        """
        if self._parts.dialect.call_tokens:
            return caller.depth > 0
        return bool(preset.workspaces) and not caller.workspace

    def _build_forward(
        self, call: Call, chosen: Any, now: float
    ) -> messages.Forward:
        caller = call.caller
        dialect = self._parts.dialect
        headers = requests.filter_request_headers(call.request.headers, dialect)
        left_ms = int((call.deadline - now) * 1000)
        run_ms = max(1, left_ms - min(_REPLY_MARGIN_MS, left_ms // 10))
        added = [
            (dialect.request_id.lower(), call.request_id),
            (dialect.timeout_ms.lower(), str(run_ms)),
        ]
        if dialect.caller_service and self._parts.service:
            added.append((dialect.caller_service.lower(), self._parts.service))
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
                    tokens.mint_token(self._parts.token_keys[0], token),
                )
            )
        return messages.Forward(
            attempt=identifiers.make_id(),
            request_id=call.request_id,
            incarnation=chosen.incarnation,
            route=call.route.name,
            service=chosen.service,
            workspace=caller.workspace,
            key_id=caller.key_id,
            timeout_ms=run_ms,
            repeatable=call.route.repeatable,
            preset_version=call.snapshot.preset_version,
            keys_version=call.snapshot.keys_version,
            method=call.request.method,
            target=call.request.target(),
            headers=[list(pair) for pair in (*headers, *added)],
            body=call.request.body,
            rank=self._find_rank(call),
            objective_ms=_compute_objective_ms(call, now),
        )


def _find_objective(route: Any, timeout_ms: int, now: float) -> float:
    """Returns the time until which an answer to a call is of full use.

    It counts from the caller's first attempt.

    Args:
      route: Route of the call.
      timeout_ms: Time that the caller leaves for the call, in milliseconds.
      now: Present time in seconds.
    """
    if not route.objective_ms:
        return math.inf
    used_ms = max(0, route.timeout_ms - timeout_ms)
    left_ms = max(
        route.objective_ms - used_ms,
        route.objective_ms * _LEAST_OBJECTIVE_SHARE,
    )
    return now + left_ms / _MS_PER_S


def _compute_objective_ms(call: Call, now: float) -> int:
    """Returns the milliseconds left until the objective; 0 without one."""
    if math.isinf(call.objective):
        return 0
    return max(1, int((call.objective - now) * _MS_PER_S))


def _log_attempt(
    call: Call,
    chosen: Any,
    number: int,
    begun_at: float,
    outcome: str,
    error: errors.CallError | None = None,
) -> None:
    """Logs where an attempt went, by which versions, and what came of it."""
    ended_at = clocks.read_now()
    _log.info(
        'call.attempt',
        extra={
            'request_id': call.request_id,
            'number': number,
            'route': call.route.name,
            'service': chosen.service,
            'workspace': call.caller.workspace,
            'upstream_vm': chosen.vm,
            'preset_version': call.snapshot.preset_version,
            'vms_version': call.snapshot.vms_version,
            'outcome': outcome,
            'reason': error.detail if error else '',
            'elapsed_ms': round((ended_at - begun_at) * 1000),
            'left_ms': round((call.deadline - ended_at) * 1000),
        },
    )


def _read_reply(
    reply: messages.Answered | messages.Refused,
) -> requests.CallAnswer:
    if isinstance(reply, messages.Answered):
        headers = tuple((name, value) for name, value in reply.headers)
        return requests.CallAnswer(reply.status, headers, reply.body)
    if reply.ran == 'unknown':
        raise errors.OutcomeUnknownError(reply.detail)
    default = errors.ShedError if reply.admitted else errors.NotRunError
    kind = _ERRORS_BY_CODE.get(reply.code, default)
    raise kind(reply.detail, reply.retry_after_ms / _MS_PER_S or None)


def _map_zones(preset: Any) -> dict[str, str]:
    """Returns the zone of each upstream of a preset."""
    return {name: item.zone for name, item in preset.upstreams.items()}


def _read_timeout_ms(
    request: requests.CallRequest, field: str, most_ms: int
) -> int:
    """Returns the caller's timeout, at most that of the route.

    Args:
      request: The caller's request.
      field: Name of the field with the timeout.
      most_ms: Timeout of the route in milliseconds.

    Raises:
      BadRequestError: If the field is not a positive whole number.
    """
    text = request.header(field.lower())
    if text is None:
        return most_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise errors.BadRequestError(f'{field} is not a number')
    return min(int(text), most_ms)
