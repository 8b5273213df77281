"""Reports greenlets that end with an unexpected error.

By default gevent prints a traceback to standard error. A node's output is read
as JSON lines, and a greenlet for which nothing waits has no other trace.
"""

from typing import Any

import gevent
import prometheus_client

from jayseam.core import logs

CRASHES = prometheus_client.Counter(
    'jayseam_task_crashes',
    'Greenlets that ended with an unexpected error, by function',
    ('task',),
)

_log = logs.get_logger(__name__)


def report_crashes() -> None:
    """Logs and counts the errors that end greenlets of this thread's hub."""
    gevent.get_hub().print_exception = _report_crash


def name_task(context: Any) -> str:
    """Returns the name of the function that a greenlet runs.

    Args:
      context: What gevent reports as the place of an error: a greenlet, a
        watcher, a server, or None.

    >>> name_task(gevent.Greenlet(print))
    'print'
    >>> name_task(None)
    'NoneType'
    """
    function = getattr(context, '_run', context)
    # A partial function has no name of its own.
    function = getattr(function, 'func', function)
    return getattr(function, '__qualname__', type(function).__name__)


def _report_crash(
    context: Any, kind: type, error: BaseException | None, traceback: Any
) -> None:
    task = name_task(context)
    CRASHES.labels(task).inc()
    _log.error(
        'task.crashed',
        extra={'task': task, 'reason': f'{kind.__name__}: {error}'},
        exc_info=(kind, error, traceback),
    )
