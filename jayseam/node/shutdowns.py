"""The planned stop of a node: which part ends when."""

from collections.abc import Callable

import attrs
import gevent
from gevent import event

from jayseam import distribution
from jayseam import limits
from jayseam import links
from jayseam import membership
from jayseam import settings as node_settings
from jayseam.core import clocks
from jayseam.core import logs
from jayseam.node import application
from jayseam.node import disconnects
from jayseam.node import lifecycles
from jayseam.node import listeners
from jayseam.node import localbackends
from jayseam.node import pauses
from jayseam.node import stops

_DRAIN_POLL_S = 0.05
# Time between the last call and the end of connections, in which kept-alive
# callers can receive an answer with "Connection: close".
_LINGER_S = 0.5
# Longest wait for callers to close connections on which a refusal was sent.
_CLOSE_WAIT_S = 0.5
# Longest wait for replies to other nodes that are still to be sent.
_LINKS_WAIT_S = 1.0
# Longest wait for a task to end.
_TASK_WAIT_S = 1.0

_log = logs.get_logger(__name__)


@attrs.frozen
class Parts:
    """The parts of a node that a stop ends."""

    lifecycle: lifecycles.Lifecycle
    application: application.CallerApplication
    listeners: listeners.Listeners
    backend: localbackends.LocalBackend
    limits: limits.task.LimitTask
    monitor: disconnects.DisconnectMonitor
    guard: pauses.PauseGuard
    distribution: distribution.task.DistributionTask
    membership: membership.task.MembershipTask
    links: links.manager.LinkManager


class Shutdown:
    """Stops a node within the time of its settings.

    Args:
      parts: The parts to stop.
      read_settings: Returns the settings of the stop.
      stopped: Is set at the end.
    """

    def __init__(
        self,
        parts: Parts,
        read_settings: Callable[[], node_settings.model.StopSettings],
        stopped: event.Event,
    ):
        self._parts = parts
        self._read_settings = read_settings
        self._stopped = stopped

    def run(self) -> None:
        """Drains the calls in flight, then stops all servers and tasks."""
        began = clocks.read_now()
        times = stops.plan_times(self._read_settings(), began)
        # Ends the process even if a step ignores its time limit.
        watch = gevent.spawn_later(times.end - began, self._end_overdue_stop)
        steps = stops.StopSteps(times.end, self._describe_work)
        drained = False
        try:
            drained = self._run_stop_steps(times, steps)
        finally:
            watch.kill()
            _log.info(
                'node.stopped',
                extra={
                    'drained': drained,
                    'failed_steps': steps.failed,
                    'elapsed_s': round(clocks.read_now() - began, 3),
                },
            )
            self._stopped.set()

    def _run_stop_steps(
        self, times: stops.StopTimes, steps: stops.StopSteps
    ) -> bool:
        """Runs the steps of a stop; returns whether no call was cut."""
        steps.run('announce', lambda: self._announce_stop(times.work_end))
        steps.run('notice', lambda: _sleep_until(times.notice_end))
        drained = bool(steps.run('drain', lambda: self._drain(times.work_end)))
        if not drained:
            steps.run('abort', self._abort_calls)
        steps.run('limits', self._parts.limits.stop, _TASK_WAIT_S)
        linger_s = steps.share_time(_LINGER_S)
        steps.run('linger', lambda: gevent.sleep(linger_s))
        outcome = 'drained' if drained else 'deadline_passed'
        steps.run('state', lambda: self._parts.lifecycle.try_advance(outcome))
        steps.run('monitor', self._parts.monitor.stop, _TASK_WAIT_S)
        close_s = steps.share_time(_CLOSE_WAIT_S)
        steps.run(
            'callers',
            lambda: self._parts.listeners.caller_server.shut_down(close_s),
        )
        self._log_cut_answers()
        steps.run('guard', self._parts.guard.stop, _TASK_WAIT_S)
        steps.run('distribution', self._parts.distribution.stop, _TASK_WAIT_S)
        steps.run('membership', self._parts.membership.stop, _TASK_WAIT_S)
        links_s = steps.share_time(_LINKS_WAIT_S)
        steps.run('links', lambda: self._parts.links.stop(links_s))
        steps.run('admin', self._parts.listeners.stop_admin, _TASK_WAIT_S)
        steps.run('backend', self._parts.backend.stop, _TASK_WAIT_S)
        return drained

    def _announce_stop(self, work_end: float) -> None:
        """Refuses forwarded calls, bounds others and tells the members."""
        self._parts.backend.ingress.refuse_new_calls()
        self._parts.application.begin_stop(work_end)
        self._parts.membership.update_own_record(state='leaving')

    def _abort_calls(self) -> None:
        self._log_aborted_calls()
        self._parts.application.abort_calls()

    def _log_cut_answers(self) -> None:
        """Logs the answers that callers haven't read as a whole."""
        for request_id in self._parts.application.list_writing():
            _log.error('node.answer_cut', extra={'request_id': request_id})

    def _end_overdue_stop(self) -> None:
        _log.error('node.stop_overdue', extra=self._describe_work())
        self._stopped.set()

    def _describe_work(self) -> dict[str, int]:
        return {
            'calls': self._parts.application.in_flight,
            'attempts': self._parts.backend.ingress.in_flight,
        }

    def _drain(self, deadline: float) -> bool:
        """Takes no more calls; returns whether those in flight finished."""
        self._parts.application.stop_accepting_calls()
        while (
            self._parts.application.in_flight
            or self._parts.backend.ingress.in_flight
        ):
            if clocks.read_now() >= deadline:
                return False
            gevent.sleep(_DRAIN_POLL_S)
        return True

    def _log_aborted_calls(self) -> None:
        for request_id in self._parts.application.list_in_flight():
            _log.error('node.call_cut', extra={'request_id': request_id})
        for (
            attempt,
            request_id,
        ) in self._parts.backend.ingress.list_attempts_in_flight().items():
            _log.error(
                'node.attempt_cut',
                extra={'attempt': attempt, 'request_id': request_id},
            )


def _sleep_until(end: float) -> None:
    gevent.sleep(max(0.0, end - clocks.read_now()))
