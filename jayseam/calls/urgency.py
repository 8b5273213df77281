"""Rank, latency objective and timeout of calls."""

import math
from typing import Any

from jayseam.backends import dialects
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import pending
from jayseam.calls import requests

# Rank of nested calls, which running calls make; other calls rank after them.
_NESTED_RANK = 0
# Least share of a latency objective that a returning caller still has. The
# share that is used up is derived from the timeout that the caller sends, which
# means little if the operators have raised the route's timeout.
_MIN_OBJECTIVE_SHARE = 0.5
_MS_PER_S = 1000


def compute_rank(call: pending.Call, dialect: dialects.Dialect) -> int:
    """Returns the rank of a call; the most urgent calls have rank 0."""
    return rank_caller(call.snapshot.preset, call.route, call.caller, dialect)


def rank_caller(
    preset: Any, route: Any, caller: keys.Caller, dialect: dialects.Dialect
) -> int:
    """Returns the rank of a caller's calls of a route.

    The workspace's rank takes precedence over the route's. Nested calls go
    first: they are short, and refusing one wastes the work of the running
    call that needs it.
    """
    if is_nested(preset, caller, dialect):
        return _NESTED_RANK
    workspace = preset.workspaces.get(caller.workspace)
    if workspace is None or workspace.rank is None:
        return _NESTED_RANK + 1 + route.rank
    return _NESTED_RANK + 1 + workspace.rank


def is_nested(
    preset: Any, caller: keys.Caller, dialect: dialects.Dialect
) -> bool:
    """Returns whether a call was made by a running call.

    Where there are no call tokens but callers have workspaces, only nested
    calls, which backend servers make, come without credentials.
    """
    if dialect.call_tokens:
        return caller.depth > 0
    return bool(preset.workspaces) and not caller.workspace


def compute_objective(route: Any, timeout_ms: int, now: float) -> float:
    """Returns the time of the latency objective; infinite without one.

    The objective counts from the caller's first attempt.

    Args:
      route: Route of the call.
      timeout_ms: Time that the caller leaves for the call, in milliseconds.
      now: Present time in seconds.
    """
    if not route.objective_ms:
        return math.inf
    used_ms = max(0, route.timeout_ms - timeout_ms)
    remaining_ms = max(
        route.objective_ms - used_ms,
        route.objective_ms * _MIN_OBJECTIVE_SHARE,
    )
    return now + remaining_ms / _MS_PER_S


def compute_objective_ms(call: pending.Call, now: float) -> int:
    """Returns the milliseconds until the objective; 0 without one."""
    if math.isinf(call.objective):
        return 0
    return max(1, int((call.objective - now) * _MS_PER_S))


def read_timeout_ms(
    request: requests.CallRequest, field: str, max_ms: int
) -> int:
    """Returns the caller's timeout, at most that of the route.

    Args:
      request: The caller's request.
      field: Name of the field with the timeout.
      max_ms: Timeout of the route in milliseconds.

    Raises:
      BadRequestError: If the field is not a positive whole number.
    """
    text = request.get_header(field.lower())
    if text is None:
        return max_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise errors.BadRequestError(f'{field} is not a number')
    return min(int(text), max_ms)
