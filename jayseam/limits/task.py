"""Runs a limit strategy in a node: timing, requests to peers, waiting calls."""

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
from jayseam.core import tickers
from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import strategies
from jayseam.limits import wallets

POLL_S = 0.05
VIEW_S = 0.2

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
_lost = prometheus_client.Counter(
    'jayseam_limit_tokens_expired', 'Drawn tokens that expired unspent'
)


@attrs.frozen(slots=True)
class Admission:
    """The decision on one call.

    Attributes:
      admitted: Whether the call may run.
      retry_after_s: When a refused call may have success, in seconds.
      waited_s: Time that the call waited for tokens, in seconds.
    """

    admitted: bool
    retry_after_s: float = 0.0
    waited_s: float = 0.0


_ADMITTED = Admission(True)


class LimitTask:
    """Admits calls by the fleet-wide rate and burst of their workspace.

    All methods run in greenlets of one thread; the strategy's state changes
    only between their switches.

    Args:
      vm: Name of the own VM.
      upstream: The own position.
      zone: The own availability zone.
      incarnation: The own incarnation.
      request: Called as ``request(vm, message, timeout_s)``; returns the reply
        or raises.
      notify: Called as ``notify(vm, message)``; sends without a reply.
      view: Returns the members that are alive or suspect, as objects with
        ``vm``, ``upstream``, ``incarnation`` and ``zone``.
      strategy: Name of the strategy.
      now: Time in seconds at which the process started.
      read_now: Clock that is read after a wait and by the poll loop.

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
        view: Callable[[], Iterable[Any]],
        strategy: str = 'escrow',
        now: float | None = None,
        read_now: Callable[[], float] = clocks.read_now,
    ):
        started = read_now() if now is None else now
        self._name = strategy
        self._strategy = strategies.registry.get(strategy)(
            vm, upstream, zone, incarnation, started
        )
        self._request = request
        self._notify = notify
        self._view = view
        self._read_now = read_now
        self._numbers = itertools.count()
        self._events: dict[int, event.Event] = {}
        self._greenlets: set[gevent.Greenlet] = set()
        self._loop: gevent.Greenlet | None = None
        self._members: tuple = ()
        self._view_at = started
        self._counters: dict[tuple[str, str], Any] = {}
        self._lost_before = 0.0
        self._latest = started

    def start(self) -> None:
        """Starts the poll loop."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Hands back loans and tokens, and ends the poll loop."""
        self.hand_back(self._read_now())
        if self._loop is not None:
            self._loop.kill()
        gevent.joinall(
            list(self._greenlets), timeout=strategies.REQUEST_TIMEOUT_S
        )

    def set_tolerance(self, tolerance: float) -> None:
        """Tells a strategy that uses it what excess operators tolerate.

        Args:
          tolerance: Part of a rate that may be exceeded.
        """
        self._strategy.set_tolerance(tolerance)

    def set_preset(self, preset: Any, version: int, now: float) -> None:
        """Takes over a version of the preset.

        Args:
          preset: Object with ``upstreams`` (name to object with ``zone``) and
            ``workspaces`` (name to object with ``rate_per_s`` and ``burst``).
          version: Its version; lower ones than the last are ignored.
          now: Time in seconds.
        """
        self._strategy.set_preset(preset, version, now)

    def admit(
        self, workspace: str, cost: float, deadline: float, now: float
    ) -> Admission:
        """Decides on one call, and waits a short time for tokens if need be.

        Args:
          workspace: Whose call.
          cost: Tokens that it costs.
          deadline: Time in seconds until which the caller waits.
          now: Time in seconds, read just before the call. The decision counts
            as made at this time, or at the end of the wait.

        Returns:
          The decision. A call of an unknown workspace is refused.
        """
        # A caller that was paused after it read the clock must not spend tokens
        # that have expired since.
        now = max(now, self._latest)
        if self._strategy.admit(workspace, cost, now):
            self._count(workspace, 'admitted')
            return _ADMITTED
        until = min(deadline, now + strategies.MAX_WAIT_S)
        call = next(self._numbers)
        waiter = wallets.Waiter(call, cost, until)
        if until <= now or not self._strategy.enqueue(workspace, waiter):
            return self._refuse(workspace, cost, 0.0)
        served = self._events[call] = event.Event()
        try:
            self._poll(now)
            served.wait(timeout=until - now)
        finally:
            del self._events[call]
            self._strategy.withdraw(workspace, call)
        waited_s = self._read_now() - now
        if not served.is_set():
            return self._refuse(workspace, cost, waited_s)
        self._count(workspace, 'admitted_after_wait')
        return Admission(True, waited_s=waited_s)

    def handlers(self) -> dict[type, Callable[[str, Any], Any]]:
        """Returns the handlers of messages, as ``handler(vm, message)``.

        The handlers of `messages.Borrow` and `messages.Draw` return the reply.
        """
        kinds = (
            messages.Borrow,
            messages.Draw,
            messages.Report,
            messages.Release,
            messages.Spent,
        )
        return {kind: self._answer for kind in kinds}

    def on_pause(self, now: float) -> None:
        """Drops what has expired while the process was paused."""
        self._latest = max(self._latest, now)
        self._strategy.drop_expired(now)

    def hand_back(self, now: float) -> None:
        """Returns lent shares and drawn tokens. Later calls are refused."""
        for sent in self._strategy.hand_back(now):
            self._send(sent)

    def describe(self) -> dict[str, Any]:
        """Returns the state for the status page."""
        state = self._strategy.describe(self._read_now())
        return {'strategy': self._name, **state}

    def _answer(self, sender: str, message: Any) -> Any:
        now = self._read_now()
        return self._strategy.answer(sender, message, now)

    def _run(self) -> None:
        while True:
            try:
                self._poll(self._read_now())
            except Exception:  # pylint: disable=broad-exception-caught
                # The limits of the whole node depend on this loop.
                _log.exception('limits.poll_failed')
            tickers.wait_tick(POLL_S)

    def _poll(self, now: float) -> None:
        self._latest = max(self._latest, now)
        if now >= self._view_at:
            self._view_at = now + VIEW_S
            self._refresh_members()
        for sent in self._strategy.poll(now):
            self._send(sent)
        self._serve(now)
        lost = self._strategy.tokens_lost()
        _lost.inc(lost - self._lost_before)
        self._lost_before = lost

    def _refresh_members(self) -> None:
        members = tuple(
            (m.vm, m.upstream, m.incarnation, m.zone) for m in self._view()
        )
        if members != self._members:
            self._members = members
            self._strategy.set_members(
                cells.Member(*fields) for fields in members
            )

    def _serve(self, now: float) -> None:
        for call in self._strategy.serve(now):
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
            # A request that ends in any other way must not leave its peer
            # marked as busy.
            if sent.wants_reply:
                now = self._read_now()
                self._strategy.receive(sent, reply, now)
                self._serve(now)
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
