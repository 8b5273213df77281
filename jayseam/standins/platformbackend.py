"""Stand-in of a backend server on the operators' platform."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.standins import serving

REQUEST_ID = 'Jayseam-Request-Id'
SIGNATURE = 'Jayseam-Response-Signature'


@attrs.frozen
class Arrival:
    """A request that reached the backend server.

    Attributes:
      request_id: Its identifier.
      at: Time of its arrival in seconds.
      workspace: Workspace that the node named; empty if none.
      caller_service: Service that the node named.
      authorization: Credentials that came with it; nodes must drop them.
      deadline_ms: Milliseconds left, as the node named them.
      ran: Whether it ran.
    """

    request_id: str
    at: float
    workspace: str
    caller_service: str
    authorization: str
    deadline_ms: int
    ran: bool


@attrs.define
class Backend:
    """A backend server and what it does wrong.

    Attributes:
      instance: Its name of this start.
      service_s: Time that a request takes, in seconds.
      full: Whether it turns requests away, as not run.
      crossed: Whether its answers carry another request's identifier.
      unsealed: Whether its answers lack their signature.
      arrivals: Requests that have reached it.
    """

    instance: str
    service_s: float = 0.01
    full: bool = False
    crossed: bool = False
    unsealed: bool = False
    arrivals: list[Arrival] = attrs.field(factory=list)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request_id = environ.get('HTTP_JAYSEAM_REQUEST_ID', '')
        expected = environ.get('HTTP_JAYSEAM_EXPECT_INSTANCE')
        misdirected = expected not in (None, self.instance)
        self.arrivals.append(
            Arrival(
                request_id,
                clocks.read_now(),
                environ.get('HTTP_JAYSEAM_TENANT', ''),
                environ.get('HTTP_JAYSEAM_CALLER_SERVICE', ''),
                environ.get('HTTP_AUTHORIZATION', ''),
                int(environ.get('HTTP_JAYSEAM_DEADLINE_MS', '0')),
                not (self.full or misdirected),
            )
        )
        named = (REQUEST_ID, request_id)
        if misdirected:
            return serving.send_answer(start_response, 421, headers=[named])
        if self.full:
            refusal = ('Jayseam-Not-Executed', '1')
            return serving.send_answer(
                start_response, 503, headers=[named, refusal]
            )
        gevent.sleep(self.service_s)
        body = json.dumps(
            {'id': request_id, 'path': environ['PATH_INFO']}
        ).encode()
        if self.crossed:
            named = (REQUEST_ID, 'another')
        headers = [named]
        if not self.unsealed:
            headers.append((SIGNATURE, f'{self.instance}.{request_id}'))
        return serving.send_answer(start_response, 200, body, headers)
