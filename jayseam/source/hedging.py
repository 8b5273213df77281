"""Reads a source in a second, plain way while a watch is overdue.

References:
  Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013,
  on hedged requests.
"""

from collections.abc import Callable
from typing import Any

import attrs
import gevent
import prometheus_client

from jayseam.core import clocks
from jayseam.core import logs

OVERDUE_WATCHES = prometheus_client.Counter(
    'jayseam_source_overdue_watches',
    'Watches of the source that were overdue, by the read that succeeded first',
    ('first',),
)

_log = logs.get_logger(__name__)


@attrs.frozen
class _Outcome:
    """The end of a read: its result, or its error."""

    result: Any = None
    error: Exception | None = None


def read_hedged(
    watch: Callable[[], Any], read_plainly: Callable[[], Any], overdue_s: float
) -> Any:
    """Returns the result of a watch, or of a plain read if that comes first.

    The read that is not needed any more is ended.

    >>> read_hedged(lambda: 'watch', lambda: 'plain', overdue_s=1.0)
    'watch'

    Args:
      watch: Waits for changes.
      read_plainly: Reads without a wait, on another connection.
      overdue_s: Time after which the watch is overdue, in seconds.

    Raises:
      Exception: The error of the watch, if neither has a result.
    """
    started_at = clocks.read_now()
    first = gevent.spawn(_read, watch)
    reads = {first: 'watch'}
    try:
        first.join(overdue_s)
        is_overdue = not first.ready()
        if is_overdue:
            reads[gevent.spawn(_read, read_plainly)] = 'plain'
        for read in gevent.iwait(list(reads)):
            if read.value.error is None:
                if is_overdue:
                    _report_overdue(reads[read], started_at, clocks.read_now())
                return read.value.result
        if is_overdue:
            _report_overdue('none', started_at, clocks.read_now())
    finally:
        gevent.killall(list(reads), block=False)
    raise first.value.error


def _read(read: Callable[[], Any]) -> _Outcome:
    try:
        return _Outcome(read())
    except Exception as error:  # pylint: disable=broad-exception-caught
        # Raised by the one that waits, if the other read fails too.
        return _Outcome(error=error)


def _report_overdue(first: str, started_at: float, now: float) -> None:
    OVERDUE_WATCHES.labels(first).inc()
    _log.warning(
        'source.watch_overdue',
        extra={'first': first, 'elapsed_s': round(now - started_at, 3)},
    )
