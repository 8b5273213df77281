"""Calls of callbacks that other parts of the node have registered."""

from collections.abc import Callable
from typing import Any

from jayseam.core import logs

_log = logs.get_logger(__name__)


def call_safely(function: Callable[..., Any], *arguments: Any) -> None:
    """Calls a function and logs any exception that it raises.

    A failing callback must not stop the membership task.
    """
    try:
        function(*arguments)
    except Exception:  # pylint: disable=broad-exception-caught
        _log.exception('membership.callback_failed')
