"""Calls between their admission and their answer."""

import math
from typing import Any

import attrs

from jayseam.calls import keys
from jayseam.calls import requests


@attrs.frozen
class Call:
    """An admitted request and what the entry has decided about it.

    Attributes:
      request: The caller's request, unchanged.
      request_id: Identifier of the call.
      snapshot: Configuration by which the call was admitted.
      route: Route of the call.
      caller: Identity for which the call runs.
      deadline: Time by which the call ends, in seconds.
      expires_wall_ms: Wall clock time at which the outermost call ends.
      objective: Time of the latency objective, in seconds; infinite without
        one.
    """

    request: requests.CallRequest
    request_id: str
    snapshot: Any
    route: Any
    caller: keys.Caller
    deadline: float
    expires_wall_ms: int
    objective: float = math.inf
