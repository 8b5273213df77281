"""The ingress: runs forwarded calls on the backend server of the own VM."""

import collections
import math
from collections.abc import Callable
from typing import Any

import attrs
import gevent

from jayseam import admission
from jayseam import backends
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import messages
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.core import memory

# The queue admits a call only if the call is expected to finish this much
# before its deadline, or a tenth of its timeout before if that is less. Under
# overload calls wait as long as they may, and a call that is admitted at the
# last moment would not finish in time.
_RUN_MARGIN_S = 0.05
_MS_PER_S = 1000
# Most cancelled attempts that are remembered because they may still begin. Most
# of them have ended.
_MAX_CANCELLED_EARLY = 1000
_FIRST_SERVER_ERROR = 500
# Other reasons, such as an answer to another request or a cancellation, say
# nothing about the load of the backend server.
_RESULTS_OF_UNKNOWN_OUTCOMES = {
    'connection-lost': admission.tickets.Result.RESET,
    'timeout': admission.tickets.Result.TIMEOUT,
}

_log = logs.get_logger(__name__)


@attrs.frozen
class IngressIdentity:
    """VM, incarnation, zone and upstream position of an ingress."""

    vm: str
    incarnation: int
    zone: str
    upstream: str


class Ingress:
    """Admits calls to the own backend server and runs them.

    Args:
      identity: Identity of this process.
      read_snapshot: Returns the configuration in force.
      gate: Admission gate of the own backend server.
      backend: Client of the own backend server.
      wait_for_refresh: After a pause of the process, waits until the
        configuration is up to date again. Takes and returns the time in
        seconds.
      dialect: Header fields that the backend server understands.
      budget: Bytes of all messages in progress; by default one of its own.
    """

    def __init__(
        self,
        identity: IngressIdentity,
        read_snapshot: Callable[[], Any],
        gate: admission.gates.Gate,
        backend: backends.client.BackendClient,
        wait_for_refresh: Callable[[float], float],
        dialect: backends.dialects.Dialect = backends.dialects.DEFAULT,
        budget: memory.ByteBudget | None = None,
    ):
        self._identity = identity
        self._read_snapshot = read_snapshot
        self._gate = gate
        self._backend = backend
        self._wait_for_refresh = wait_for_refresh
        self._dialect = dialect
        self._budget = memory.ByteBudget() if budget is None else budget
        # The gate measures by workspace; entries choose VMs by route.
        self._route_times = admission.servicetimes.ServiceTimes()
        self._collect_reports: Callable[[float], list[Any]] = lambda now: []
        self._running: dict[str, gevent.Greenlet] = {}
        self._request_ids: dict[str, str] = {}
        # Attempts that are unknown here, in the order of their cancellations.
        self._cancelled_early: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._measured_since = -math.inf
        self._leaving = False
        self._withdrawn = False

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._running)

    def list_attempts_in_flight(self) -> dict[str, str]:
        """Returns the request id of each attempt in flight."""
        return dict(self._request_ids)

    def set_report_source(self, collect: Callable[[float], list[Any]]) -> None:
        """Sets where recent loads of other VMs of the zone come from.

        Args:
          collect: Returns the items of a digest; see `routing.digests`. Takes
            the current time in seconds.
        """
        self._collect_reports = collect

    def ignore_earlier_calls(self, now: float) -> None:
        """Ignores the times of calls that began before a pause ended."""
        self._measured_since = now

    def refuse_new_calls(self) -> None:
        """Refuses forwarded calls from now on; accepted calls still finish."""
        self._leaving = True

    def refuse_while_withdrawn(self, withdrawn: bool) -> None:
        """Sets whether the VM is withdrawn and refuses new and queued calls."""
        self._withdrawn = withdrawn

    def cancel(self, attempt: str) -> None:
        """Cancels an attempt, unless it has ended.

        An attempt may begin after its cancellation has arrived, for example
        if it has to wait for the refresh after a pause.
        """
        greenlet = self._running.get(attempt)
        _log.info(
            'call.attempt_cancelled',
            extra={
                'attempt': attempt,
                'request_id': self._request_ids.get(attempt),
                'running': greenlet is not None,
            },
        )
        if greenlet is not None:
            error = errors.AttemptCancelledError(attempt)
            greenlet.kill(error, block=False)
            return
        while len(self._cancelled_early) >= _MAX_CANCELLED_EARLY:
            self._cancelled_early.popitem(last=False)
        self._cancelled_early[attempt] = None

    def handle_forward(
        self, forward: messages.Forward
    ) -> messages.Answered | messages.Refused:
        """Runs a forwarded call; every failure becomes a `Refused`.

        Raises:
          CallerGoneError: If the caller of a call of this node has left.
        """
        try:
            answer = self.run(forward, clocks.read_now())
        except errors.CallError as error:
            return messages.Refused(
                error.code,
                error.ran,
                error.detail,
                admitted=error.admitted,
                retry_after_ms=int((error.retry_after_s or 0.0) * _MS_PER_S),
                **self._build_load_fields(forward),
            )
        return messages.Answered(
            answer.status,
            [list(pair) for pair in answer.headers],
            answer.body,
            **self._build_load_fields(forward),
        )

    def _build_load_fields(self, forward: messages.Forward) -> dict[str, Any]:
        """Returns the load fields of the reply to a call."""
        now = clocks.read_now()
        report = self._gate.describe(now)
        queued = self._gate.count_queued(forward.workspace)
        fields = {
            'load': report.load,
            'service_s': report.service_s,
            'fair_load': report.estimate_fair_load(queued),
            'idle_load': report.estimate_fair_load(0),
        }
        if forward.report_zone:
            fields['kind_service_s'] = self._route_times.find_mean(
                forward.route
            )
            fields['limit'] = max(0, report.limit)
        if forward.report_zone == self._identity.zone:
            fields['reports'] = self._collect_reports(now)
        return fields

    def run(self, forward: messages.Forward, now: float) -> requests.CallAnswer:
        """Admits a call and runs it on the backend server.

        Raises:
          CallError: If the call was refused, or its outcome is unknown.
          CallerGoneError: If the caller of a call of this node has left.
        """
        self._check_forward(forward)
        size_bytes = len(forward.body)
        if not self._budget.take_request(size_bytes):
            raise errors.NotRunError('too many bodies of calls in progress')
        self._running[forward.attempt] = gevent.getcurrent()
        self._request_ids[forward.attempt] = forward.request_id
        try:
            return self._admit_and_run(forward, now)
        except errors.AttemptCancelledError as error:
            raise errors.OutcomeUnknownError(
                'the call was cancelled'
            ) from error
        finally:
            self._budget.return_request(size_bytes)
            self._running.pop(forward.attempt, None)
            self._request_ids.pop(forward.attempt, None)

    def _check_forward(self, forward: messages.Forward) -> None:
        if forward.attempt in self._cancelled_early:
            raise errors.NotRunError('the call was cancelled')
        if self._leaving:
            raise errors.NotRunError('this node is shutting down')
        if forward.incarnation != self._identity.incarnation:
            raise errors.NotRunError('this node has restarted since')
        self._check_validity(forward)

    def _check_validity(self, forward: messages.Forward) -> None:
        refusal = self._find_refusal(forward)
        if refusal is not None:
            raise refusal

    def _find_refusal(
        self, forward: messages.Forward
    ) -> errors.CallError | None:
        """Returns the error for a call that must not start, or None."""
        if self._withdrawn:
            return errors.NotRunError('this VM is leaving')
        if forward.service != self._find_service():
            # The address of a backend server may be reassigned to another
            # service while a call waits in the queue.
            return errors.NotRunError('this node serves another service')
        if not self._is_zone_in_service():
            return errors.ZoneError('the availability zone is out of service')
        if not self._is_key_valid(forward):
            return errors.KeyRefusedError('the key was withdrawn')
        return None

    def _find_service(self) -> str | None:
        preset = self._read_snapshot().preset
        upstream = preset and preset.upstreams.get(self._identity.upstream)
        return upstream.service if upstream else None

    def _find_instance(self) -> str:
        """Returns the instance of the own backend server in the VM list.

        Raises:
          NotRunError: If the list has no such backend server.
        """
        vm_list = self._read_snapshot().vms
        entry = vm_list and vm_list.by_name.get(self._identity.vm)
        if entry is None or not entry.instance:
            raise errors.NotRunError('the backend server is not listed')
        return entry.instance

    def _is_zone_in_service(self) -> bool:
        preset = self._read_snapshot().preset
        zone = preset.zones.get(self._identity.zone) if preset else None
        return zone is not None and zone.in_service

    def _is_key_valid(self, forward: messages.Forward) -> bool:
        if not forward.key_id:
            return True
        snapshot = self._read_snapshot()
        if forward.keys_version > snapshot.keys_version:
            # The entry has accepted the key by a newer key set.
            return True
        key_set = snapshot.keys
        return key_set is not None and keys.is_key_valid(
            key_set, forward.key_id, forward.workspace
        )

    def _admit_and_run(
        self, forward: messages.Forward, now: float
    ) -> requests.CallAnswer:
        timeout_s = forward.timeout_ms / _MS_PER_S
        deadline = now + timeout_s
        ticket = admission.tickets.Ticket(
            workspace=forward.workspace,
            cost=self._gate.estimate_cost(forward.workspace),
            deadline=deadline - min(_RUN_MARGIN_S, timeout_s / 10),
            request_id=forward.request_id,
            still_valid=lambda _: self._find_refusal(forward) is None,
            rank=forward.rank,
            objective=_compute_objective(forward, now),
            kind=forward.route,
        )
        permit = self._acquire(ticket, forward, now)
        result = admission.tickets.Result.FAILED
        try:
            self._recheck_validity(forward, deadline)
            answer = self._backend.run(self._build_request(forward), deadline)
            result = admission.tickets.Result.SUCCESS
            if answer.status >= _FIRST_SERVER_ERROR:
                result = admission.tickets.Result.ERROR
            if backends.messages.is_shed(answer, self._dialect):
                # The answer is passed on unchanged, but it must still lower
                # the concurrency limit.
                result = admission.tickets.Result.SHED
        except backends.errors.ShedError as error:
            result = admission.tickets.Result.SHED
            raise errors.ShedError(
                'the backend server shed the call'
            ) from error
        except backends.errors.NotRunError as error:
            raise errors.NotRunError('no backend server connection') from error
        except backends.errors.OutcomeUnknownError as error:
            result = _RESULTS_OF_UNKNOWN_OUTCOMES.get(error.reason, result)
            if (ended_at := clocks.read_now()) >= deadline:
                # A server that is too slow to answer must not seem average.
                self._record_route_time(forward, permit, ended_at)
            raise errors.OutcomeUnknownError(str(error)) from error
        finally:
            self._release(permit, result, forward)
        if result is admission.tickets.Result.SUCCESS:
            self._record_route_time(forward, permit, clocks.read_now())
        headers = requests.filter_answer_headers(answer.headers, self._dialect)
        return requests.CallAnswer(answer.status, headers, answer.body)

    def _record_route_time(
        self,
        forward: messages.Forward,
        permit: admission.gates.Permit,
        now: float,
    ) -> None:
        if permit.admitted_at < self._measured_since:
            return
        service_s = max(0.0, now - permit.admitted_at)
        self._route_times.record(forward.route, service_s, now)

    def _recheck_validity(
        self, forward: messages.Forward, deadline: float
    ) -> None:
        """Checks an admitted call again by the configuration after a pause.

        When a paused process resumes, a free slot admits a waiting call before
        the process has received the versions published during the pause.
        """
        if self._wait_for_refresh(clocks.read_now()) >= deadline:
            raise errors.NotRunError('the deadline has passed')
        self._check_validity(forward)

    def _release(
        self,
        permit: admission.gates.Permit,
        result: admission.tickets.Result,
        forward: messages.Forward,
    ) -> None:
        """Releases a permit once the backend server has ended the call.

        A call that reached its deadline or was cancelled may keep running until
        the backend server has answered the cancellation. Admitting another call
        before that could exceed the number of slots.
        """
        kind = forward.route
        cancellation = self._backend.find_cancellation(forward.request_id)
        if cancellation is None:
            permit.release(result, clocks.read_now(), kind)
        else:
            cancellation.rawlink(
                lambda _: permit.release(result, clocks.read_now(), kind)
            )

    def _acquire(
        self,
        ticket: admission.tickets.Ticket,
        forward: messages.Forward,
        now: float,
    ) -> admission.gates.Permit:
        try:
            return self._gate.acquire(ticket, now)
        except admission.errors.NoLongerValidError as error:
            refusal = self._find_refusal(forward) or errors.NotRunError(
                str(error)
            )
            raise refusal from error
        except admission.errors.AdmissionError as error:
            raise errors.NotRunError(str(error), error.retry_after_s) from error

    def _build_request(
        self, forward: messages.Forward
    ) -> backends.messages.BackendRequest:
        service = self._read_snapshot().preset.services[forward.service]
        headers = list(forward.headers)
        if self._dialect.instance:
            headers.append((self._dialect.instance, self._find_instance()))
        return backends.messages.BackendRequest(
            request_id=forward.request_id,
            method=forward.method,
            path=forward.target,
            headers=tuple(headers),
            body=forward.body,
            shed_retryable=service.shed_retryable,
            kind=forward.route,
        )


def _compute_objective(forward: messages.Forward, now: float) -> float:
    """Returns the time of the latency objective; infinite without one."""
    if not forward.objective_ms:
        return math.inf
    return now + forward.objective_ms / _MS_PER_S
