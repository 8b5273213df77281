"""Entries by which backend servers register in the store."""

import ipaddress
import re
from typing import Any

import attrs

from jayseam.platform import durations
from jayseam.platform import errors
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.presets import schemas

_STATES = {'ready': 'live', 'draining': 'leaving'}
_INSTANCE = re.compile(r'[!-.0-~]{1,200}')
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_ADDRESS = re.compile(r'([0-9.]{7,15}):([0-9]{1,5})')
_MAX_PORT = 65535
# The year 2286; a later start is not in milliseconds.
_MAX_WALL_MS = 10**13
_MAX_REASON_CHARS = 200


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
        fields = documents.decode_json(value)
    except preset_errors.PresetRejectedError as error:
        raise errors.ValueFormatError(str(error)[:_MAX_REASON_CHARS]) from error
    if not isinstance(fields, dict):
        raise errors.ValueFormatError('not an object')
    if not _INSTANCE.fullmatch(instance):
        raise errors.ValueFormatError('the key names no instance')
    # They are not used, but an entry without them is not a backend server's.
    _read_field(fields, 'version', str)
    _read_field(fields, 'sequence', int)
    host, port = _read_address(fields)
    state = _STATES.get(_read_field(fields, 'state', str))
    if state is None:
        raise _build_error('state is unknown', fields['state'])
    started_wall_ms = _read_field({'born': 0, **fields}, 'born', int)
    if not 0 <= started_wall_ms < _MAX_WALL_MS:
        raise _build_error('born is no time', fields['born'])
    slots = _read_field(fields, 'slots', int)
    if not 0 < slots <= schemas.MAX_SLOTS:
        raise _build_error('slots are out of range', slots)
    return ServerEntry(
        instance=instance,
        host=host,
        port=port,
        service=_read_name(fields, 'service'),
        zone=_read_name(fields, 'zone'),
        slots=slots,
        state=state,
        cold=durations.parse_seconds(fields.get('cold_remaining')) > 0,
        started_wall_ms=started_wall_ms,
    )


def _read_address(fields: dict[str, Any]) -> tuple[str, int]:
    """Returns the IPv4 address and port; names of VMs allow no IPv6."""
    text = _read_field(fields, 'address', str)
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise _build_error('address is not host:port', text)
    host, port = match.group(1), int(match.group(2))
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _build_error('address is not an IP address', text) from error
    if ip.is_unspecified or ip.is_multicast or not 0 < port <= _MAX_PORT:
        raise _build_error('address names no server', text)
    return host, port


def _read_name(fields: dict[str, Any], name: str) -> str:
    text = _read_field(fields, name, str)
    if not _NAME.fullmatch(text):
        raise _build_error(f'{name} is not a name', text)
    return text


def _read_field(fields: dict[str, Any], name: str, expected_type: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise _build_error(f'{name} is missing or has the wrong type', value)
    return value


def _build_error(reason: str, value: Any) -> errors.ValueFormatError:
    text = ascii(value)[:_MAX_REASON_CHARS]
    return errors.ValueFormatError(f'{reason}: {text}')
