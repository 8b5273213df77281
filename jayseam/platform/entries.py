"""Entries by which backend servers register in the store."""

import json
import re
from typing import Any

import attrs

from jayseam.platform import durations
from jayseam.platform import errors

_PORT = re.compile('[0-9]{1,5}')
_STATES = {'ready': 'live', 'draining': 'leaving'}


@attrs.frozen
class ServerEntry:
    """Registration of a backend server in the store.

    Attributes:
      instance: Identifier of the instance; each start is another instance.
      host: IP address of its VM.
      port: Port of the backend server.
      service: Service that the backend server belongs to.
      zone: Availability zone.
      slots: Number of requests that it can run concurrently.
      state: ``live`` or ``leaving``.
      cold: Whether the backend server is in cold start.
      started_wall_ms: Wall clock time of its start in milliseconds, which
        decides between two entries with the same address; 0 if unknown.
    """

    instance: str
    host: str
    port: int
    service: str
    zone: str
    slots: int
    state: str
    cold: bool
    started_wall_ms: int


def decode_entry(instance: str, value: bytes) -> ServerEntry:
    """Decodes an entry.

    Args:
      instance: Last segment of the key of the entry.
      value: Stored bytes.

    Raises:
      ValueFormatError: If a field is missing or has the wrong type, for
        example because something other than a backend server wrote it.
    """
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise errors.ValueFormatError(f'not JSON: {error}') from error
    if not isinstance(fields, dict):
        raise errors.ValueFormatError('not an object')
    host, _, port = _read_field(fields, 'address', str).rpartition(':')
    if not host or _PORT.fullmatch(port) is None:
        raise errors.ValueFormatError(
            f'address is not host:port: {fields["address"]!r}'
        )
    state = _STATES.get(_read_field(fields, 'state', str))
    if state is None:
        raise errors.ValueFormatError(f'unknown state: {fields["state"]!r}')
    return ServerEntry(
        instance=instance,
        host=host,
        port=int(port),
        service=_read_field(fields, 'service', str),
        zone=_read_field(fields, 'zone', str),
        slots=_read_field(fields, 'slots', int),
        state=state,
        cold=durations.parse_seconds(fields.get('cold_remaining', '0ms')) > 0,
        started_wall_ms=_read_field({'born': 0, **fields}, 'born', int),
    )


def _read_field(fields: dict[str, Any], name: str, expected_type: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise errors.ValueFormatError(
            f'{name} is missing or has the wrong type: {value!r}'
        )
    return value
