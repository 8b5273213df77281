"""Planned stops: the division of their time, and steps that always end.

A node that is still up when its grace ends is killed, with the calls in hand.
So a step of a stop that fails or hangs never keeps the next one from running.
"""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import gevent
import prometheus_client

from jayseam import settings as node_settings
from jayseam.core import clocks
from jayseam.core import logs

# Least time for a step, in which it can at least close what it owns.
_MIN_STEP_S = 0.01

FAILED_STEPS = prometheus_client.Counter(
    'jayseam_stop_steps_failed',
    'Steps of a planned stop that failed or took too long',
    ('step',),
)

_log = logs.get_logger(__name__)


@attrs.frozen
class StopTimes:
    """The times of a planned stop, in seconds of the node's clock.

    Attributes:
      notice_end: Until then new calls are taken.
      work_end: Until then the calls that were taken are worked on.
      end: By then all connections are closed.
    """

    notice_end: float
    work_end: float
    end: float


def plan_times(
    settings: node_settings.model.StopSettings, now: float
) -> StopTimes:
    """Returns the times of a stop that begins now.

    >>> plan_times(node_settings.model.StopSettings(5.5, 2.5, 0.5), now=10.0)
    StopTimes(notice_end=12.5, work_end=15.0, end=15.5)
    """
    work_s = max(0.0, settings.deadline_s - settings.closing_s)
    return StopTimes(
        now + min(settings.notice_s, work_s),
        now + work_s,
        now + settings.deadline_s,
    )


def share_time(limit_s: float, end: float, now: float) -> float:
    """Returns the seconds that a step may take: half of what is left at most.

    >>> share_time(1.0, end=20.0, now=10.0), share_time(1.0, end=10.5, now=10.0)
    (1.0, 0.25)
    >>> share_time(1.0, end=10.0, now=11.0)
    0.01
    """
    return max(_MIN_STEP_S, min(limit_s, (end - now) / 2))


class StopSteps:
    """Runs the steps of a stop and reports those that fail.

    Args:
      end: Time by which the last step has to end, in seconds.
      describe: Returns the calls in hand, for the log.
      read_now: Clock, in seconds.

    Attributes:
      failed: Names of the steps that failed or took too long.
    """

    def __init__(
        self,
        end: float,
        describe: Callable[[], Mapping[str, Any]] = dict,
        read_now: Callable[[], float] = clocks.read_now,
    ):
        self.failed: list[str] = []
        self._end = end
        self._describe = describe
        self._read_now = read_now

    def share_time(self, limit_s: float) -> float:
        """Returns the seconds that a step may wait, at most ``limit_s``."""
        return share_time(limit_s, self._end, self._read_now())

    def run(
        self,
        name: str,
        function: Callable[[], Any],
        limit_s: float | None = None,
    ) -> Any:
        """Runs a step and returns its result, or None if it failed.

        Args:
          name: Name of the step.
          function: The step.
          limit_s: Longest duration in seconds, of which the step gets its
            share; None lets it last until the end of the stop.
        """
        _log.info('node.stop_step', extra={'step': name, **self._describe()})
        left_s = max(_MIN_STEP_S, self._end - self._read_now())
        timeout = gevent.Timeout(
            left_s if limit_s is None else self.share_time(limit_s)
        )
        try:
            with timeout:
                return function()
        except (Exception, gevent.Timeout) as error:  # pylint: disable=W0718
            # Whatever a step meets, the connections that later steps close
            # belong to callers.
            self.failed.append(name)
            FAILED_STEPS.labels(name).inc()
            _log.exception(
                'node.stop_step_failed',
                extra={
                    'step': name,
                    'reason': f'{type(error).__name__}: {error}',
                    'overdue': error is timeout,
                },
            )
            return None
