"""Records of the requests that a backend stand-in ran, and its counters."""

import attrs

from jayseam.standins import answers
from jayseam.standins import requests


@attrs.define
class Run:
    """Record of a request that was started.

    Attributes:
      request_id: Header ``Request-Id``.
      idempotency_key: Header ``Idempotency-Key``, if any.
      workspace: Header ``Jayseam-Workspace``.
      echo: Header ``X-Echo``, chosen by the caller.
      method: HTTP method.
      path: Path without the query.
      started: Time of the start, in seconds of `clocks.read_now`.
      ended: Time of the end, or None while the request runs.
      status: ``running``, ``done``, ``failed`` or ``cancelled``.
      nested: Whether the request is a nested call of a backend server.
      key_seen: Whether the request contained a workspace key.
      draining_s: Seconds from the start of the drain to the start of the
        request; None if the server was not draining.
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
        """Ends the run; a run that is still ``running`` becomes ``failed``."""
        self.ended = now
        if self.status == 'running':
            self.status = 'failed'


def create_run(
    request: requests.Request,
    started: float,
    key_seen: bool,
    draining_s: float | None,
) -> Run:
    """Returns the record of a request that starts."""
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
    """Peak values and counters since the last reset.

    Attributes:
      in_flight: Greatest number of requests that ran at the same time.
      connections: Greatest number of open connections.
      overloads: Requests in excess of the slots.
      falls: Requests that exceeded the capacity of a cold server, after each of
        which every request fails for a while.
      shed: Requests that were shed.
      late_starts: Requests that were shed because their deadline passed between
        arrival and start.
      connections_refused: Connections in excess of the limit.
      requests: Requests other than health checks and cancellations.
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
