"""Records of calls that the load generator made."""

import json
from collections.abc import Iterable

import attrs


@attrs.define
class CallRecord:
    """One call of the load generator.

    Times are seconds of `clocks.read_now`.

    Attributes:
      workspace: Workspace whose key was sent.
      method: HTTP method.
      path: Request target.
      echo: Value that the backend server returns in its response; repeats have
        the value of the call that they repeat.
      idempotency_key: Idempotency key, or empty.
      repeat: Whether the call repeats an earlier call.
      scheduled: Time at which the call was due.
      issued: Time at which the call was queued for a connection.
      sent: Time at which a connection took the call from the queue; 0 if the
        run ended before.
      ended: Time at which the outcome was known.
      target: Address to which the call was sent.
      status: HTTP status, or 0.
      code: Problem code, or empty.
      ran: Whether the call was executed: ``yes``, ``no`` or ``unknown``; empty
        before the call is sent.
      request_id: Request id that the node assigned.
      outcome: ``ok``, a problem code, ``status-<n>``, ``corrupt`` (invalid
        response), ``foreign`` (response to another call), ``unreachable``
        (nothing was sent), ``timeout``, ``lost`` (sent, but without a complete
        response) or ``unsent`` (still queued at the end of the run).
      nested_failures: Number of nested calls that failed.
    """

    workspace: str
    method: str
    path: str
    echo: str
    idempotency_key: str
    repeat: bool
    scheduled: float
    issued: float = 0.0
    sent: float = 0.0
    ended: float = 0.0
    target: str = ''
    status: int = 0
    code: str = ''
    ran: str = ''
    request_id: str = ''
    outcome: str = 'unsent'
    nested_failures: int = 0


def write_records(records: Iterable[CallRecord], path: str) -> None:
    """Writes records as JSON lines."""
    with open(path, 'w', encoding='utf-8') as file:
        for record in records:
            file.write(json.dumps(attrs.asdict(record)) + '\n')


def read_records(path: str) -> list[CallRecord]:
    """Reads the records that `write_records` wrote."""
    with open(path, encoding='utf-8') as file:
        return [CallRecord(**json.loads(line)) for line in file]
