"""Waits for conditions, with other greenlets running meanwhile."""

from collections.abc import Callable
from typing import Any

import gevent

from jayseam.core import clocks
from jayseam.standins import errors

_POLL_INTERVAL_S = 0.05


def wait_until(
    predicate: Callable[[], Any],
    timeout_s: float,
    reason: str = 'condition',
) -> Any:
    """Waits for a true result of ``predicate`` and returns it.

    An `ExchangeError` from ``predicate`` counts as a false result.

    Args:
      predicate: Returns whether the condition holds.
      timeout_s: Seconds until the wait fails.
      reason: Name of the condition in the error message.

    Raises:
      ClusterError: If the condition doesn't hold within ``timeout_s`` seconds.
    """
    deadline = clocks.read_now() + timeout_s
    last_error = ''
    while True:
        try:
            result: Any = predicate()
        except errors.ExchangeError as error:
            result = None
            last_error = f' [{error}]'
        if result:
            return result
        if clocks.read_now() >= deadline:
            raise errors.ClusterError(
                f'{reason}{last_error}: timed out after {timeout_s} s'
            )
        gevent.sleep(_POLL_INTERVAL_S)
