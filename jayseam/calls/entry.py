"""The entry: admits callers' requests and forwards them to ingresses."""

import math
import random
from collections.abc import Callable
from typing import Any

import attrs

from jayseam.backends import dialects
from jayseam.calls import attempts
from jayseam.calls import choosers
from jayseam.calls import claims
from jayseam.calls import errors
from jayseam.calls import forwarding
from jayseam.calls import idempotency
from jayseam.calls import keys
from jayseam.calls import pending
from jayseam.calls import requests
from jayseam.calls import retries
from jayseam.calls import urgency
from jayseam.core import clocks
from jayseam.core import versionnumbers

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
      vms_promise_room: Whether the delay in a refusal is a promise of room at
        that VM. A call that several VMs refuse then gets the earliest one.
      draw: Returns a random number in [0, 1).
    """

    own_vm: str
    token_keys: tuple[bytes, ...]
    read_snapshot: Callable[[], Any]
    read_view: Callable[[], Any]
    chooser: choosers.Chooser
    limiter: Any
    forwarder: forwarding.Forwarder
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
    vms_promise_room: bool = False
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
    ) -> pending.Call:
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
        timeout_ms = urgency.read_timeout_ms(request, field, route.timeout_ms)
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
        return pending.Call(
            request,
            request_id,
            snapshot,
            route,
            caller,
            deadline,
            caller.expires_wall_ms
            or wall_ms + int((deadline - now) * _MS_PER_S),
            math.inf
            if urgency.is_nested(
                snapshot.preset, caller, self._dependencies.dialect
            )
            else urgency.compute_objective(route, timeout_ms, began),
        )

    def run(self, call: pending.Call) -> requests.CallAnswer:
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

    def _run_at_most_once(self, call: pending.Call) -> requests.CallAnswer:
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

    def _run_with_retries(self, call: pending.Call) -> requests.CallAnswer:
        """Tries VMs until one answers, within the deadline and retry budgets.

        If a backend server answers a repeatable call with an error, the call is
        retried elsewhere; the error is returned if there is no better answer.
        """
        service = self._dependencies.chooser.draw_service(call.route)
        self._record_call(call, service, clocks.read_now())
        progress = attempts.Progress(
            is_earliest=self._dependencies.vms_promise_room
        )
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
        self,
        call: pending.Call,
        choice: Any,
        number: int,
        progress: attempts.Progress,
    ) -> requests.CallAnswer | None:
        """Makes one attempt; returns its answer if the call ends with it."""
        now = clocks.read_now()
        progress.tried_vms.add(choice.vm)
        try:
            answer = forwarding.send_attempt(
                self._dependencies, call, choice, now
            )
        except errors.CallError as error:
            forwarding.log_attempt(call, choice, number, now, error.code, error)
            progress.record_error(
                error, call.route.repeatable, clocks.read_now()
            )
            return None
        forwarding.log_attempt(call, choice, number, now, str(answer.status))
        if not call.route.repeatable or not attempts.is_retryable_answer(
            answer
        ):
            return answer
        progress.record_error_answer(answer)
        return None

    def _record_call(
        self, call: pending.Call, service: str, now: float
    ) -> None:
        """Counts a call in the retry budgets."""
        nodes = len(call.snapshot.preset.upstreams)
        self._service_budgets.resize(
            self._dependencies.retry_bound.divide(nodes)
        )
        self._service_budgets.record_call(service, now)
        self._budgets.record_call(call.caller.workspace, now)

    def _may_try_vm(
        self,
        call: pending.Call,
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
        self, error: errors.CallError, call: pending.Call, now: float
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
        self, call: pending.Call, service: str, tried_vms: set[str], now: float
    ) -> Any:
        needs = forwarding.build_needs(call, self._dependencies.dialect, now)
        return self._dependencies.chooser.choose(
            call.snapshot.preset,
            service,
            self._dependencies.read_view(),
            tried_vms,
            now,
            call.caller.workspace,
            # A first attempt may go to a full VM, so that a slot is taken as
            # soon as another call frees it.
            needs if tried_vms else None,
            choosers.CallProfile(call.route.name, needs),
        )


def _map_zones(preset: Any) -> dict[str, str]:
    """Returns the zone of each upstream of a preset."""
    return {name: item.zone for name, item in preset.upstreams.items()}
