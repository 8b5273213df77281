"""Claims idempotency keys at their keepers on behalf of an entry."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
import gevent
from gevent import queue

from jayseam.calls import errors
from jayseam.calls import idempotency
from jayseam.calls import keepers
from jayseam.calls import messages
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.core import identifiers
from jayseam.core import logs
from jayseam.links import errors as link_errors

_KEEPER_TIMEOUT_S = 1.0
_POLL_MIN_S = 0.02
_POLL_MAX_S = 0.2
# An unresponsive link is replaced within seconds; the delays span that time.
_DELIVERY_DELAYS_S = (0.0, 0.1, 0.5, 2.0, 5.0)

_log = logs.get_logger(__name__)


@attrs.frozen
class ClaimResult:
    """Result of a claim: permission to run the call, or an earlier answer.

    Attributes:
      key: The claimed key.
      keepers: Upstream positions that keep the key.
      attempt: Attempt that holds the claim; empty if there is an answer.
      answer: Stored answer of an earlier attempt, if there is one.
    """

    key: idempotency.IdempotencyKey
    keepers: tuple[str, ...]
    attempt: str = ''
    answer: requests.CallAnswer | None = None


class ClaimCoordinator:
    """Claims, settles and abandons keys at the three keepers of each.

    Args:
      own_vm: Name of the VM of this process.
      store: Records of the keys of which this process is a keeper.
      request: Sends a message to a VM and returns the reply.
      find_vm: Returns the VM at an upstream position, or None.
    """

    def __init__(
        self,
        own_vm: str,
        store: keepers.ClaimStore,
        request: Callable[..., Any],
        find_vm: Callable[[str], str | None],
    ):
        self._own_vm = own_vm
        self._store = store
        self._request = request
        self._find_vm = find_vm

    def claim(
        self,
        workspace: str,
        key: idempotency.IdempotencyKey,
        fingerprint: str,
        upstream_zones: Mapping[str, str],
        deadline: float,
    ) -> ClaimResult:
        """Claims a key, or waits for the answer of the attempt that holds it.

        Raises:
          NotRunError: If too few keepers can be reached for a majority.
          OutcomeUnknownError: If an earlier attempt may have run.
          IdempotencyMismatchError: If the key was used with another request.
        """
        chosen_keepers = tuple(
            idempotency.choose_keepers(workspace, key.text, upstream_zones)
        )
        while True:
            attempt = identifiers.make_id()
            claim = messages.Claim(
                workspace, key.text, key.created_ms, fingerprint, attempt
            )
            decision = self._send_claim(chosen_keepers, claim, deadline)
            if decision.verdict is idempotency.ClaimVerdict.RUN:
                return ClaimResult(key, chosen_keepers, attempt)
            self.abandon(workspace, ClaimResult(key, chosen_keepers, attempt))
            if decision.verdict is not idempotency.ClaimVerdict.WAIT:
                return _resolve_decision(decision, key, chosen_keepers)
            self._wait_while_running(workspace, key, chosen_keepers, deadline)

    def settle(
        self,
        workspace: str,
        claim_result: ClaimResult,
        answer: requests.CallAnswer | None,
    ) -> None:
        """Stores an attempt's answer at the keepers; None if it is unknown."""
        status, headers, body = 0, [], b''
        if answer is not None and len(answer.body) <= keepers.MAX_BODY_BYTES:
            status, body = answer.status, answer.body
            headers = [list(pair) for pair in answer.headers]
        message = messages.Settle(
            workspace,
            claim_result.key.text,
            claim_result.attempt,
            status,
            headers,
            body,
        )
        self._notify_keepers(claim_result.keepers, message)

    def abandon(self, workspace: str, claim_result: ClaimResult) -> None:
        """Withdraws a claim whose attempt surely did not run."""
        self._notify_keepers(
            claim_result.keepers,
            messages.Abandon(
                workspace, claim_result.key.text, claim_result.attempt
            ),
        )

    def look_up(
        self,
        workspace: str,
        key: idempotency.IdempotencyKey,
        upstream_zones: Mapping[str, str],
        deadline: float,
    ) -> list[messages.ClaimState]:
        """Returns the state of a key at each keeper that replies."""
        chosen_keepers = idempotency.choose_keepers(
            workspace, key.text, upstream_zones
        )
        look_up = messages.LookUp(workspace, key.text)
        replies = self._fan_out(chosen_keepers, look_up, deadline)
        return [
            state
            for _ in chosen_keepers
            if (state := replies.get()) is not None
        ]

    def _wait_while_running(
        self,
        workspace: str,
        key: idempotency.IdempotencyKey,
        chosen_keepers: Sequence[str],
        deadline: float,
    ) -> None:
        """Waits until no keeper reports a running attempt.

        Raises:
          OutcomeUnknownError: If the attempt still runs at the deadline.
        """
        look_up = messages.LookUp(workspace, key.text)
        delay_s = _POLL_MIN_S
        while True:
            # Jitter keeps two claimants from colliding again.
            gevent.sleep(delay_s * random.uniform(0.5, 1.5))
            if clocks.read_now() >= deadline:
                raise errors.OutcomeUnknownError(
                    'an earlier attempt under this key is still running'
                )
            replies = self._fan_out(chosen_keepers, look_up, deadline)
            states = [replies.get() for _ in chosen_keepers]
            if not any(
                state is not None and state.state == 'running'
                for state in states
            ):
                return
            delay_s = min(delay_s * 2, _POLL_MAX_S)

    def _send_claim(
        self,
        chosen_keepers: Sequence[str],
        claim: messages.Claim,
        deadline: float,
    ) -> idempotency.Decision:
        """Decides as soon as the replies allow a run, or after all replies."""
        replies = self._fan_out(chosen_keepers, claim, deadline)
        states: list[messages.ClaimState] = []
        for _ in chosen_keepers:
            state = replies.get()
            if state is not None:
                states.append(state)
            decision = idempotency.decide_claim(states)
            if decision.verdict is idempotency.ClaimVerdict.RUN:
                return decision
        return idempotency.decide_claim(states)

    def _fan_out(
        self, chosen_keepers: Sequence[str], message: Any, deadline: float
    ) -> queue.Queue:
        """Sends to all keepers at once; the queue gets one reply for each.

        The reply of a keeper that can't be reached is None.
        """
        replies: queue.Queue = queue.Queue()
        timeout_s = min(_KEEPER_TIMEOUT_S, deadline - clocks.read_now())
        for upstream in chosen_keepers:
            gevent.spawn(self._put_reply, replies, upstream, message, timeout_s)
        return replies

    def _put_reply(
        self,
        replies: queue.Queue,
        upstream: str,
        message: Any,
        timeout_s: float,
    ) -> None:
        """Puts the reply of a keeper into a queue; None after any error.

        The call waits for one reply of each keeper, without a time limit.
        """
        reply = None
        try:
            reply = self._send_to_keeper(upstream, message, timeout_s)
        except Exception:  # pylint: disable=broad-exception-caught
            _log.exception('claims.request_crashed', extra={'keeper': upstream})
        finally:
            replies.put(reply)

    def _send_to_keeper(
        self, upstream: str, message: Any, timeout_s: float
    ) -> messages.ClaimState | None:
        vm = self._find_vm(upstream)
        if vm is None or timeout_s <= 0:
            return None
        if vm == self._own_vm:
            return apply_message(self._store, message, clocks.read_now())
        try:
            return self._request(vm, message, timeout_s)
        except link_errors.LinkError:
            return None

    def _notify_keepers(
        self, chosen_keepers: Sequence[str], message: Any
    ) -> None:
        for upstream in chosen_keepers:
            gevent.spawn(self._deliver_with_retries, upstream, message)

    def _deliver_with_retries(self, upstream: str, message: Any) -> None:
        """Sends a message to a keeper until the keeper has acknowledged it.

        A keeper that misses an outcome or a withdrawal reports the key as
        running until the record expires.
        """
        for delay_s in _DELIVERY_DELAYS_S:
            gevent.sleep(delay_s)
            try:
                if self._deliver(upstream, message):
                    return
            except link_errors.LinkError as error:
                _log.debug(
                    'claims.delivery_failed',
                    extra={'keeper': upstream, 'reason': str(error)},
                )
            except Exception:  # pylint: disable=broad-exception-caught
                _log.exception(
                    'claims.delivery_crashed', extra={'keeper': upstream}
                )

    def _deliver(self, upstream: str, message: Any) -> bool:
        """Sends a message to a keeper; returns False if it has no VM.

        Raises:
          LinkError: If the keeper has not acknowledged the message.
        """
        vm = self._find_vm(upstream)
        if vm is None:
            return False
        if vm == self._own_vm:
            apply_message(self._store, message, clocks.read_now())
        else:
            self._request(vm, message, _KEEPER_TIMEOUT_S)
        return True


def apply_message(
    store: keepers.ClaimStore, message: Any, now: float
) -> messages.ClaimState | None:
    """Applies a message of an entry to the own records."""
    operations = {
        messages.Claim: store.claim,
        messages.LookUp: store.look_up,
        messages.Settle: store.settle,
        messages.Abandon: store.abandon,
    }
    return operations[type(message)](message, now)


def _resolve_decision(
    decision: idempotency.Decision,
    key: idempotency.IdempotencyKey,
    chosen_keepers: tuple[str, ...],
) -> ClaimResult:
    """Returns the earlier answer, or raises the error of the verdict."""
    verdict = decision.verdict
    if verdict is idempotency.ClaimVerdict.JOIN:
        state = decision.settled
        headers = tuple((name, value) for name, value in state.headers)
        answer = requests.CallAnswer(state.status, headers, state.body)
        return ClaimResult(key, chosen_keepers, answer=answer)
    if verdict is idempotency.ClaimVerdict.MISMATCH:
        raise errors.IdempotencyMismatchError(
            'the key was used with another request'
        )
    if verdict is idempotency.ClaimVerdict.UNKNOWN:
        raise errors.OutcomeUnknownError(
            'an earlier attempt under this key may have run'
        )
    raise errors.NotRunError('too few keepers of the key can be reached', 1.0)
