"""Calls of functions that other parts of the node have registered."""

from collections.abc import Callable
from typing import Any

from jayseam.core import logs

_log = logs.get_logger(__name__)


def call_safely(function: Callable[..., Any], *arguments: Any) -> None:
    """Calls a function; logs what it raises.

    A failing callback must not affect the membership.
    """
    try:
        function(*arguments)
    except Exception:  # pylint: disable=broad-exception-caught
        _log.exception('membership.callback_failed')
