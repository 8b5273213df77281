"""Reports requests and connections that are refused for a bound of the node.

Each one is counted. The log gets a line for a reason at most every
`LOG_INTERVAL_S` seconds, so that a crowd of callers can't flood it.
"""

import prometheus_client

from jayseam.core import logs

LOG_INTERVAL_S = 10.0
# Reasons. The first four end a request: its head is over the bound, there is no
# memory for it, its fields come too slowly, or its request line is too long.
# The others end a connection in favour of a new one, or pause accepting.
HEAD_SIZE = 'head_size'
HEAD_MEMORY = 'head_memory'
HEAD_TIME = 'head_time'
REQUEST_LINE = 'request_line'
IDLE_CLOSED = 'idle_closed'
OLDEST_CLOSED = 'oldest_closed'
ACCEPTING_PAUSED = 'accepting_paused'

REFUSED = prometheus_client.Counter(
    'jayseam_connections_refused',
    'Requests that were refused, connections that were closed and pauses of '
    'accepting for a bound of the node, by listener and reason.',
    ['listener', 'reason'],
)

_log = logs.get_logger(__name__)


class RefusalLog:
    """Counts refusals of one listener and logs some of them.

    >>> refusals = RefusalLog('callers')
    >>> [refusals.record(HEAD_SIZE, now) for now in (0.0, 1.0, 10.5)]
    [True, False, True]

    Args:
      listener: Name of the listener in the metric and the log.
    """

    def __init__(self, listener: str):
        self._listener = listener
        self._logged_at: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def record(self, reason: str, now: float) -> bool:
        """Counts a refusal; returns whether it was logged."""
        REFUSED.labels(self._listener, reason).inc()
        logged_at = self._logged_at.get(reason)
        if logged_at is not None and now < logged_at + LOG_INTERVAL_S:
            self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
            return False
        self._logged_at[reason] = now
        _log.warning(
            'connections.refused',
            extra={
                'listener': self._listener,
                'reason': reason,
                'unlogged': self._unlogged.pop(reason, 0),
            },
        )
        return True
