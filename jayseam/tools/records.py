"""Records of the calls that the load generator made."""

import json
from collections.abc import Iterable

import attrs


@attrs.define
class CallRecord:
    """One call.

    Times are seconds of `clocks.read_now`.

    Attributes:
      workspace: Workspace whose key was sent.
      method: HTTP method.
      path: Request target.
      echo: Value that the backend server echoes; shared by repeats.
      idempotency_key: Idempotency key, or empty.
      repeat: Whether it repeats an earlier call.
      scheduled: When it was due.
      issued: When the schedule handed it to the connections.
      sent: When a connection took it; 0 if none did before the end.
      ended: When its outcome was known.
      target: Address that it was sent to.
      status: HTTP status, or 0.
      code: Problem code, or empty.
      ran: ``yes``, ``no`` or ``unknown``; empty before it is sent.
      request_id: Request id that the node gave.
      outcome: ``ok``, a problem code, ``status-<n>``, ``corrupt``,
        ``foreign``, ``unreachable``, ``timeout``, ``lost`` or ``unsent``.
      nested_failures: Levels of nested calls that didn't succeed.
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
