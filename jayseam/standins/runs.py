"""Records of the requests that a backend stand-in ran, and its counters."""

import attrs

from jayseam.standins import answers
from jayseam.standins import requests


@attrs.define
class Run:
    """A request whose work was started.

    Attributes:
      request_id: Header ``Request-Id``.
      idempotency_key: Header ``Idempotency-Key``, if any.
      workspace: Header ``Jayseam-Workspace``.
      echo: Header ``X-Echo``, chosen by the caller.
      method: HTTP method.
      path: Path without the query.
      started: Start of the work, seconds of `clocks.read_now`.
      ended: End of the work, or None while it runs.
      status: ``running``, ``done``, ``failed`` or ``cancelled``.
      nested: Whether the request came from a backend server.
      key_seen: Whether the request held a workspace key.
      draining_s: Seconds since the drain began at the start of the work, or
        None.
    """

    request_id: str
    idempotency_key: str
    workspace: str
    echo: str
    method: str
    path: str
    started: float
    ended: float | None = None
    status: str = 'running'
    nested: bool = False
    key_seen: bool = False
    draining_s: float | None = None

    def end(self, now: float) -> None:
        """Ends the run; one without an outcome has failed."""
        self.ended = now
        if self.status == 'running':
            self.status = 'failed'


def create_run(
    request: requests.Request,
    started: float,
    key_seen: bool,
    draining_s: float | None,
) -> Run:
    """Returns the record of a request whose work starts."""
    return Run(
        request_id=request.header('Request-Id'),
        idempotency_key=request.header('Idempotency-Key'),
        workspace=request.header('Jayseam-Workspace'),
        echo=request.header(answers.ECHO_HEADER),
        method=request.method,
        path=request.path,
        started=started,
        nested=request.has_header(answers.NESTED_HEADER),
        key_seen=key_seen,
        draining_s=draining_s,
    )


@attrs.define
class Peaks:
    """Greatest values and counts since the last reset.

    Attributes:
      in_flight: Greatest number of requests that ran at the same time.
      connections: Greatest number of open connections.
      overloads: Requests over the slots.
      falls: Falls in a cold start under too many requests.
      shed: Requests that were shed.
      late_starts: Requests that arrived in time and were shed as past their
        deadline.
      connections_refused: Connections over the limit.
      requests: Requests besides health and cancellation.
      cancelled: Runs that were cancelled.
    """

    in_flight: int = 0
    connections: int = 0
    overloads: int = 0
    falls: int = 0
    shed: int = 0
    late_starts: int = 0
    connections_refused: int = 0
    requests: int = 0
    cancelled: int = 0
