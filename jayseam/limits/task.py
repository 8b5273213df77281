"""Runs a limit strategy in a node: polling, peer requests, waiting calls."""

import itertools
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import gevent
import prometheus_client
from gevent import event

from jayseam.core import clocks
from jayseam.core import errors
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import tickers
from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import strategies
from jayseam.limits import token_caches

POLL_S = 0.05
REFRESH_PERIOD_S = 0.2

_log = logs.get_logger(__name__)

_calls = prometheus_client.Counter(
    'jayseam_limit_calls', 'Calls by decision', ['workspace', 'decision']
)
_sent = prometheus_client.Counter(
    'jayseam_limit_messages', 'Limit messages sent', ['kind']
)
_failures = prometheus_client.Counter(
    'jayseam_limit_request_failures', 'Limit requests without a reply'
)
_expired_tokens = prometheus_client.Counter(
    'jayseam_limit_tokens_expired', 'Drawn tokens that expired unspent'
)


@attrs.frozen(slots=True)
class Admission:
    """The decision on one call.

    Attributes:
      admitted: Whether the call may run.
      retry_after_s: Time until a refused call may succeed, in seconds.
      waited_s: Time that the call waited for tokens, in seconds.
    """

    admitted: bool
    retry_after_s: float = 0.0
    waited_s: float = 0.0


_ADMITTED = Admission(True)


class LimitTask:
    """Admits calls within the fleet-wide rate and burst of their workspace.

    All methods run in greenlets of one thread. The strategy's methods don't
    switch greenlets, so each of its state changes is atomic.

    Args:
      vm: Name of the own VM.
      upstream: Name of the own upstream position.
      zone: Name of the own availability zone.
      incarnation: Incarnation of the own process.
      request: Called as ``request(vm, message, timeout_s)``; returns the reply
        or raises.
      notify: Called as ``notify(vm, message)``; sends without a reply.
      list_members: Returns the members that are alive or suspect, as objects
        with ``vm``, ``upstream``, ``incarnation`` and ``zone``. The same object
        is taken for the same members.
      strategy: Name of the strategy.
      now: Time in seconds at which the process started.
      read_now: Returns the time in seconds; called after a wait and in the poll
        loop.

    Raises:
      UnknownVariantError: If there is no such strategy.
    """

    def __init__(
        self,
        vm: str,
        upstream: str,
        zone: str,
        incarnation: int,
        request: Callable[[str, Any, float], Any],
        notify: Callable[[str, Any], None],
        list_members: Callable[[], Iterable[Any]],
        strategy: str = 'escrow',
        now: float | None = None,
        read_now: Callable[[], float] = clocks.read_now,
    ):
        started = read_now() if now is None else now
        self._strategy_name = strategy
        self._strategy = strategies.registry.get(strategy)(
            vm, upstream, zone, incarnation, started
        )
        self._request = request
        self._notify = notify
        self._list_members = list_members
        self._read_now = read_now
        self._call_ids = itertools.count()
        self._events: dict[int, event.Event] = {}
        self._greenlets: set[gevent.Greenlet] = set()
        self._poll_greenlet: gevent.Greenlet | None = None
        self._listed: Any = None
        self._members: tuple = ()
        self._next_refresh_at = started
        self._counters: dict[tuple[str, str], Any] = {}
        self._expired_before = 0.0
        self._latest_now = started

    def start(self) -> None:
        """Starts the poll loop."""
        self._poll_greenlet = loops.spawn_loop(self._run)

    def stop(self) -> None:
        """Returns leases and tokens, and ends the poll loop."""
        self.release_all(self._read_now())
        if self._poll_greenlet is not None:
            self._poll_greenlet.kill()
        gevent.joinall(
            list(self._greenlets), timeout=strategies.REQUEST_TIMEOUT_S
        )

    def set_tolerance(self, tolerance: float) -> None:
        """Sets the excess over rates that operators tolerate.

        Only the strategy `replicated` uses it.

        Args:
          tolerance: Tolerated excess as a fraction of the rate.
        """
        self._strategy.set_tolerance(tolerance)

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Applies a version of the preset.

        Args:
          preset: Object with ``upstreams`` (name to object with ``zone``) and
            ``workspaces`` (name to object with ``rate_per_s`` and ``burst``).
          version: Version of the preset. Shares ignore one that is not newer.
          now: Time in seconds.
        """
        self._strategy.set_preset(preset, version, now)

    def admit(
        self, workspace: str, cost: float, deadline: float, now: float
    ) -> Admission:
        """Decides on one call, and waits for tokens for a short time if needed.

        Args:
          workspace: Name of the call's workspace.
          cost: Cost of the call in tokens.
          deadline: Time in seconds until which the caller waits.
          now: Time in seconds, read just before the call. The decision applies
            to this time, or to the end of the wait.

        Returns:
          The decision. A call of an unknown workspace is refused.
        """
        # A caller that was paused after it read the clock must not spend tokens
        # that have expired since.
        now = max(now, self._latest_now)
        if self._strategy.admit(workspace, cost, now):
            self._count(workspace, 'admitted')
            return _ADMITTED
        wait_until = min(deadline, now + strategies.MAX_WAIT_S)
        call = next(self._call_ids)
        waiter = token_caches.Waiter(call, cost, wait_until)
        if wait_until <= now or not self._strategy.enqueue(workspace, waiter):
            return self._refuse(workspace, cost, 0.0)
        admitted = self._events[call] = event.Event()
        try:
            self._poll(now)
            admitted.wait(timeout=wait_until - now)
        finally:
            del self._events[call]
            self._strategy.remove_waiter(workspace, call)
        waited_s = self._read_now() - now
        if not admitted.is_set():
            return self._refuse(workspace, cost, waited_s)
        self._count(workspace, 'admitted_after_wait')
        return Admission(True, waited_s=waited_s)

    def handlers(self) -> dict[type, Callable[[str, Any], Any]]:
        """Returns the handler by message class, as ``handler(vm, message)``.

        The handlers of `messages.Borrow` and `messages.Draw` return the reply.
        """
        kinds = (
            messages.Borrow,
            messages.Draw,
            messages.Report,
            messages.Release,
            messages.Spent,
        )
        return {kind: self._handle_message for kind in kinds}

    def drop_expired(self, now: float) -> None:
        """Removes tokens and leases that expired while the process paused."""
        self._latest_now = max(self._latest_now, now)
        self._strategy.drop_expired(now)

    def release_all(self, now: float) -> None:
        """Returns leases to their lenders and drawn tokens to their owners.

        A strategy with leases refuses later calls.
        """
        for sent in self._strategy.release_all(now):
            self._send(sent)

    def describe(self) -> dict[str, Any]:
        """Returns the state for the status page."""
        state = self._strategy.describe(self._read_now())
        return {'strategy': self._strategy_name, **state}

    def _handle_message(self, sender: str, message: Any) -> Any:
        now = self._read_now()
        return self._strategy.handle_message(sender, message, now)

    def _run(self) -> None:
        while True:
            try:
                self._poll(self._read_now())
            except Exception:  # pylint: disable=broad-exception-caught
                # The loop must continue: the limits of the node depend on it.
                _log.exception('limits.poll_failed')
            tickers.sleep_until_tick(POLL_S)

    def _poll(self, now: float) -> None:
        self._latest_now = max(self._latest_now, now)
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_PERIOD_S
            self._refresh_members()
        for sent in self._strategy.poll(now):
            self._send(sent)
        self._wake_admitted(now)
        expired_tokens = self._strategy.count_expired_tokens()
        _expired_tokens.inc(expired_tokens - self._expired_before)
        self._expired_before = expired_tokens

    def _refresh_members(self) -> None:
        listed = self._list_members()
        if listed is self._listed:
            return
        self._listed = listed
        members = tuple(
            (m.vm, m.upstream, m.incarnation, m.zone) for m in listed
        )
        if members != self._members:
            self._members = members
            self._strategy.set_members(
                cells.Member(*fields) for fields in members
            )

    def _wake_admitted(self, now: float) -> None:
        for call in self._strategy.admit_waiters(now):
            self._events[call].set()

    def _send(self, sent: strategies.Outgoing) -> None:
        _sent.labels(type(sent.message).__name__).inc()
        greenlet = gevent.spawn(self._exchange, sent)
        self._greenlets.add(greenlet)
        greenlet.rawlink(self._greenlets.discard)

    def _exchange(self, sent: strategies.Outgoing) -> None:
        reply = None
        try:
            if not sent.wants_reply:
                self._notify(sent.vm, sent.message)
                return
            reply = self._request(
                sent.vm, sent.message, strategies.REQUEST_TIMEOUT_S
            )
        except (errors.JayseamError, gevent.Timeout, OSError) as error:
            _failures.inc()
            _log.debug(
                'limits.request_failed',
                extra={'peer': sent.vm, 'reason': str(error)},
            )
        finally:
            # Also after any other exception, the request must not remain
            # recorded as in flight to its peer.
            if sent.wants_reply:
                now = self._read_now()
                self._strategy.handle_reply(sent, reply, now)
                self._wake_admitted(now)
        if sent.wants_reply and self._events:
            self._poll(self._read_now())

    def _refuse(
        self, workspace: str, cost: float, waited_s: float
    ) -> Admission:
        self._count(workspace, 'refused')
        retry_after_s = self._strategy.retry_after(workspace, cost)
        _log.info(
            'limits.refused',
            extra={
                'workspace': workspace,
                'retry_after_s': round(retry_after_s, 3),
                **self._strategy.explain(workspace, self._read_now()),
            },
        )
        return Admission(False, retry_after_s, waited_s)

    def _count(self, workspace: str, decision: str) -> None:
        counter = self._counters.get((workspace, decision))
        if counter is None:
            counter = _calls.labels(workspace, decision)
            self._counters[(workspace, decision)] = counter
        counter.inc()
