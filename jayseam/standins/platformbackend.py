"""Stand-in of a backend server on the operators' platform."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.core import hangups
from jayseam.standins import answerfaults
from jayseam.standins import serving

REQUEST_ID_HEADER = 'Jayseam-Request-Id'
DEADLINE_HEADER = 'Jayseam-Deadline-Ms'
SIGNATURE_HEADER = 'Jayseam-Response-Signature'

# Time between two looks at the connection of a request, in seconds.
_DROP_POLL_S = 0.02


@attrs.frozen
class Arrival:
    """A request that reached the backend server.

    Attributes:
      request_id: Identifier of the request.
      at: Time of the arrival in seconds.
      workspace: Workspace that the node sent; empty if none.
      caller_service: Calling service that the node sent.
      authorization: Credentials in the request; nodes must remove them.
      deadline_ms: Milliseconds until the deadline, as the node sent them.
      ran: Whether the request ran.
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
    """A backend server with faults that a test can switch on.

    Attributes:
      instance: Identifier of the server process; differs after a restart.
      service_s: Service time of a request in seconds.
      full: Whether requests are refused and marked as not executed.
      crossed: Whether answers carry the identifier of another request.
      unsealed: Whether answers lack their signature.
      body_bytes: Size of the filler in each answer.
      answer_fault: Fault of the bytes of each answer that isn't a refusal.
      drops: Whether a request ends when its connection is closed.
      arrivals: Requests that have reached the server.
      dropped_at: Times at which requests were dropped, in seconds, by id.
    """

    instance: str
    service_s: float = 0.01
    full: bool = False
    crossed: bool = False
    unsealed: bool = False
    body_bytes: int = 0
    answer_fault: answerfaults.AnswerFault | None = None
    drops: bool = False
    arrivals: list[Arrival] = attrs.field(factory=list)
    dropped_at: dict[str, float] = attrs.field(factory=dict)

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
        id_header = (REQUEST_ID_HEADER, request_id)
        if misdirected:
            return serving.send_answer(start_response, 421, headers=[id_header])
        if self.full:
            not_executed = ('Jayseam-Not-Executed', '1')
            return serving.send_answer(
                start_response, 503, headers=[id_header, not_executed]
            )
        self._work(environ, request_id)
        fields = {'id': request_id, 'path': environ['PATH_INFO']}
        if self.body_bytes:
            fields['filler'] = 'x' * self.body_bytes
        body = json.dumps(fields).encode()
        if self.crossed:
            id_header = (REQUEST_ID_HEADER, 'another')
        headers = [id_header]
        if not self.unsealed:
            headers.append((SIGNATURE_HEADER, f'{self.instance}.{request_id}'))
        if self.answer_fault is not None:
            lines = ''.join(f'{name}: {value}\r\n' for name, value in headers)
            answerfaults.send(
                self.answer_fault, lines.encode(), environ[serving.SOCKET_KEY]
            )
        return serving.send_answer(start_response, 200, body, headers)

    def _work(self, environ: dict[str, Any], request_id: str) -> None:
        """Works on a request until its end or that of its connection."""
        if not self.drops:
            gevent.sleep(self.service_s)
            return
        end = clocks.read_now() + self.service_s
        while (left_s := end - clocks.read_now()) > 0:
            gevent.sleep(min(_DROP_POLL_S, left_s))
            if hangups.find_sign(environ[serving.SOCKET_KEY]) is not None:
                self.dropped_at[request_id] = clocks.read_now()
                raise serving.AbortError(reset=False)
