"""Loops that run for the life of a process and go on after an error.

Nothing waits for such a loop, so what it does would otherwise never be done
again after the first unexpected error.
"""

from collections.abc import Callable
from typing import Any

import gevent
import prometheus_client

from jayseam.core import clocks
from jayseam.core import crashes
from jayseam.core import logs

_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 5.0
# A loop that has run for this long after an error has recovered from it.
_RECOVERY_S = 10.0

FAILURES = prometheus_client.Counter(
    'jayseam_loop_failures',
    'Errors after which a loop was begun again, by function',
    ('loop',),
)

_log = logs.get_logger(__name__)


def count_failures(failures: int, began: float, now: float) -> int:
    """Returns the failures in a row, with the one of now.

    >>> count_failures(2, began=10.0, now=11.0)
    3
    >>> count_failures(2, began=10.0, now=30.0)
    1

    Args:
      failures: Failures in a row before.
      began: Time at which the loop was begun last, in seconds.
      now: Time of the failure, in seconds.
    """
    return 1 if now - began >= _RECOVERY_S else failures + 1


def compute_delay(failures: int) -> float:
    """Returns the seconds after which a failed loop is begun again.

    >>> compute_delay(1), compute_delay(2), compute_delay(100)
    (0.1, 0.2, 5.0)
    """
    # The exponent is bounded, because floats are.
    return min(_MAX_DELAY_S, _MIN_DELAY_S * 2 ** min(failures - 1, 16))


def spawn_loop(
    function: Callable[[], Any],
    read_now: Callable[[], float] = clocks.read_now,
) -> gevent.Greenlet:
    """Runs a function in a greenlet and begins it again after an error.

    The greenlet ends when the function returns, or when it is killed.

    Args:
      function: The loop; it has to bear being begun again.
      read_now: Clock, in seconds.
    """
    return gevent.spawn(_run_loop, function, read_now)


def _run_loop(
    function: Callable[[], Any], read_now: Callable[[], float]
) -> None:
    name = crashes.name_task(function)
    failures = 0
    while True:
        began = read_now()
        try:
            function()
            return
        except (Exception, gevent.Timeout) as error:  # pylint: disable=W0718
            # Whatever one turn meets, the next ones are needed.
            failures = count_failures(failures, began, read_now())
            FAILURES.labels(name).inc()
            _log.exception(
                'loop.failed',
                extra={
                    'loop': name,
                    'reason': f'{type(error).__name__}: {error}',
                    'failures': failures,
                },
            )
        gevent.sleep(compute_delay(failures))
