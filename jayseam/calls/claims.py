"""Claims of idempotency keys with their keepers, from the side of an entry."""

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
# A link that went silent is replaced within seconds; the pauses span that.
_DELIVERY_PAUSES_S = (0.0, 0.1, 0.5, 2.0, 5.0)

_log = logs.get_logger(__name__)


@attrs.frozen
class Claimed:
    """A key that this entry may run, or whose answer it already has.

    Attributes:
      attempt: Attempt that holds the claim; empty if there is an answer.
      answer: Answer of the earlier attempt, if it is settled.
    """

    key: idempotency.IdempotencyKey
    keepers: tuple[str, ...]
    attempt: str = ''
    answer: requests.CallAnswer | None = None


class ClaimCoordinator:
    """Claims, settles and abandons keys with three keepers each.

    Args:
      own_vm: Name of the VM of this process.
      store: Store of the keys that this process itself keeps.
      request: Sends a message to a VM and returns the reply.
      find_holder: Returns the VM at an upstream position, or None.
    """

    def __init__(
        self,
        own_vm: str,
        store: keepers.KeeperStore,
        request: Callable[..., Any],
        find_holder: Callable[[str], str | None],
    ):
        self._own_vm = own_vm
        self._store = store
        self._request = request
        self._find_holder = find_holder

    def claim(
        self,
        workspace: str,
        key: idempotency.IdempotencyKey,
        fingerprint: str,
        upstream_zones: Mapping[str, str],
        deadline: float,
    ) -> Claimed:
        """Claims a key, or waits for the answer of the attempt that holds it.

        Raises:
          NotRunError: If no majority of the keepers can be reached.
          OutcomeUnknownError: If an earlier attempt may have run.
          IdempotencyMismatchError: If the key stands for another request.
        """
        chosen = tuple(
            idempotency.choose_keepers(workspace, key.text, upstream_zones)
        )
        while True:
            attempt = identifiers.make_id()
            claim = messages.Claim(
                workspace, key.text, key.created_ms, fingerprint, attempt
            )
            decision = self._ask_keepers(chosen, claim, deadline)
            if decision.verdict is idempotency.Verdict.RUN:
                return Claimed(key, chosen, attempt)
            self.abandon(workspace, Claimed(key, chosen, attempt))
            if decision.verdict is not idempotency.Verdict.WAIT:
                return _conclude(decision, key, chosen)
            self._await_change(workspace, key, chosen, deadline)

    def settle(
        self,
        workspace: str,
        claimed: Claimed,
        answer: requests.CallAnswer | None,
    ) -> None:
        """Stores the outcome; None stands for an unknown outcome."""
        status, headers, body = 0, [], b''
        if answer is not None and len(answer.body) <= keepers.MAX_BODY_BYTES:
            status, body = answer.status, answer.body
            headers = [list(pair) for pair in answer.headers]
        message = messages.Settle(
            workspace, claimed.key.text, claimed.attempt, status, headers, body
        )
        self._tell_keepers(claimed.keepers, message)

    def abandon(self, workspace: str, claimed: Claimed) -> None:
        """Withdraws a claim whose attempt surely did not run."""
        self._tell_keepers(
            claimed.keepers,
            messages.Abandon(workspace, claimed.key.text, claimed.attempt),
        )

    def look_up(
        self,
        workspace: str,
        key: idempotency.IdempotencyKey,
        upstream_zones: Mapping[str, str],
        deadline: float,
    ) -> list[messages.ClaimState]:
        """Returns what the keepers of a key know of it."""
        chosen = idempotency.choose_keepers(workspace, key.text, upstream_zones)
        question = messages.LookUp(workspace, key.text)
        replies = self._fan_out(chosen, question, deadline)
        return [state for _ in chosen if (state := replies.get()) is not None]

    def _await_change(
        self,
        workspace: str,
        key: idempotency.IdempotencyKey,
        chosen: Sequence[str],
        deadline: float,
    ) -> None:
        """Returns when no keeper reports a running attempt any more.

        Raises:
          OutcomeUnknownError: If the attempt still runs at the deadline.
        """
        question = messages.LookUp(workspace, key.text)
        pause_s = _POLL_MIN_S
        while True:
            # Random pauses keep two claimants from colliding again.
            gevent.sleep(pause_s * random.uniform(0.5, 1.5))
            if clocks.read_now() >= deadline:
                raise errors.OutcomeUnknownError(
                    'an earlier attempt under this key is still running'
                )
            replies = self._fan_out(chosen, question, deadline)
            states = [replies.get() for _ in chosen]
            if not any(s is not None and s.state == 'running' for s in states):
                return
            pause_s = min(pause_s * 2, _POLL_MAX_S)

    def _ask_keepers(
        self, chosen: Sequence[str], claim: messages.Claim, deadline: float
    ) -> idempotency.Decision:
        """Returns as soon as the replies allow the run, or all have come."""
        replies = self._fan_out(chosen, claim, deadline)
        states: list[messages.ClaimState] = []
        for _ in chosen:
            state = replies.get()
            if state is not None:
                states.append(state)
            decision = idempotency.decide_claim(states)
            if decision.verdict is idempotency.Verdict.RUN:
                return decision
        return idempotency.decide_claim(states)

    def _fan_out(
        self, chosen: Sequence[str], message: Any, deadline: float
    ) -> queue.Queue:
        """Asks all keepers at once; the queue gets one item for each."""
        replies: queue.Queue = queue.Queue()
        timeout_s = min(_KEEPER_TIMEOUT_S, deadline - clocks.read_now())
        for upstream in chosen:
            gevent.spawn(
                lambda name: replies.put(self._ask(name, message, timeout_s)),
                upstream,
            )
        return replies

    def _ask(
        self, upstream: str, message: Any, timeout_s: float
    ) -> messages.ClaimState | None:
        vm = self._find_holder(upstream)
        if vm is None or timeout_s <= 0:
            return None
        if vm == self._own_vm:
            return apply_message(self._store, message, clocks.read_now())
        try:
            return self._request(vm, message, timeout_s)
        except link_errors.LinkError:
            return None

    def _tell_keepers(self, chosen: Sequence[str], message: Any) -> None:
        for upstream in chosen:
            gevent.spawn(self._deliver, upstream, message)

    def _deliver(self, upstream: str, message: Any) -> None:
        """Sends a message to a keeper until it has surely arrived.

        A keeper that misses an outcome or a withdrawal reports the key as
        running until the window ends.
        """
        for pause_s in _DELIVERY_PAUSES_S:
            gevent.sleep(pause_s)
            vm = self._find_holder(upstream)
            if vm == self._own_vm:
                apply_message(self._store, message, clocks.read_now())
                return
            if vm is None:
                continue
            try:
                self._request(vm, message, _KEEPER_TIMEOUT_S)
                return
            except link_errors.LinkError as error:
                _log.debug(
                    'claims.delivery_failed',
                    extra={'vm': vm, 'reason': str(error)},
                )


def apply_message(
    store: keepers.KeeperStore, message: Any, now: float
) -> messages.ClaimState | None:
    """Applies a message of another entry to the own store."""
    operations = {
        messages.Claim: store.claim,
        messages.LookUp: store.look_up,
        messages.Settle: store.settle,
        messages.Abandon: store.abandon,
    }
    return operations[type(message)](message, now)


def _conclude(
    decision: idempotency.Decision,
    key: idempotency.IdempotencyKey,
    chosen: tuple[str, ...],
) -> Claimed:
    """Turns a final verdict into an answer or an error."""
    verdict = decision.verdict
    if verdict is idempotency.Verdict.JOIN:
        state = decision.settled
        headers = tuple((name, value) for name, value in state.headers)
        answer = requests.CallAnswer(state.status, headers, state.body)
        return Claimed(key, chosen, answer=answer)
    if verdict is idempotency.Verdict.MISMATCH:
        raise errors.IdempotencyMismatchError(
            'the key was used with another request'
        )
    if verdict is idempotency.Verdict.UNKNOWN:
        raise errors.OutcomeUnknownError(
            'an earlier attempt under this key may have run'
        )
    raise errors.NotRunError('too few keepers of the key can be reached', 1.0)
