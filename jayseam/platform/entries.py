"""Entries by which backend servers register in the store."""

import json
from typing import Any

import attrs

from jayseam.platform import durations
from jayseam.platform import errors

_STATES = {'ready': 'live', 'draining': 'leaving'}


@attrs.frozen
class ServerEntry:
    """What a backend server says of itself.

    Attributes:
      instance: Name of this start of the backend server.
      host: IP address of its VM.
      port: Port of the backend server.
      service: Service that it belongs to.
      zone: Availability zone.
      slots: Requests that it runs at once.
      state: ``live`` or ``leaving``.
      cold: Whether it is in cold start.
      started_wall_ms: Wall clock time of its start in milliseconds, by which
        two entries of one address are told apart; 0 if it is not named.
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
    """Reads an entry.

    Args:
      instance: Last part of its key.
      value: Stored bytes.

    Raises:
      ValueFormatError: If a field is missing or has another type. Such an
        entry may come from another writer.
    """
    try:
        fields = json.loads(value)
    except ValueError as error:
        raise errors.ValueFormatError(f'not JSON: {error}') from error
    if not isinstance(fields, dict):
        raise errors.ValueFormatError('not an object')
    host, _, port = _read(fields, 'address', str).rpartition(':')
    if not host or not port.isdigit():
        raise errors.ValueFormatError(f'address: {fields["address"]!r}')
    state = _STATES.get(_read(fields, 'state', str))
    if state is None:
        raise errors.ValueFormatError(f'state: {fields["state"]!r}')
    return ServerEntry(
        instance=instance,
        host=host,
        port=int(port),
        service=_read(fields, 'service', str),
        zone=_read(fields, 'zone', str),
        slots=_read(fields, 'slots', int),
        state=state,
        cold=durations.parse_seconds(fields.get('cold_remaining', '0ms')) > 0,
        started_wall_ms=_read({'born': 0, **fields}, 'born', int),
    )


def _read(fields: dict[str, Any], name: str, kind: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise errors.ValueFormatError(f'{name}: {value!r}')
    return value
