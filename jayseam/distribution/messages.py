"""Messages of the distribution of channels (codes 40 to 59)."""

from collections.abc import Iterable
from typing import Any

import attrs
import xxhash
from attrs import validators

from jayseam.links import messages

_MAX_ORIGIN_CHARS = 16
_MAX_STATES = 8
_NAME = validators.instance_of(str)
_NUMBER = validators.and_(
    validators.instance_of(int), validators.not_(validators.instance_of(bool))
)
_COUNT = validators.and_(_NUMBER, validators.ge(0), validators.lt(2**63))
_BYTES = validators.instance_of(bytes)
_FLAG = validators.instance_of(bool)
_NAMES = validators.deep_iterable(_NAME, validators.instance_of(list))
_PARTS = validators.deep_mapping(_NAME, _BYTES, validators.instance_of(dict))


@messages.register(40)
@attrs.frozen
class Announce:
    """Tells that the sender holds a version.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version held.
      digest: Digest of its manifest.
    """

    channel: str = attrs.field(validator=_NAME)
    version: int = attrs.field(validator=_COUNT)
    digest: str = attrs.field(validator=_NAME)


@messages.register(41)
@attrs.frozen
class Pull:
    """Asks for the version that the receiver holds.

    Attributes:
      channel: Channel asked for.
      version: Least version of use to the sender.
      have_digest: Digest of the manifest that the sender holds, or empty.
      wanted: Digests of the parts that are still lacking of the manifest in
        ``of_digest``; empty in a first pull.
      of_digest: Manifest that ``wanted`` belongs to, or empty.
    """

    channel: str = attrs.field(validator=_NAME)
    version: int = attrs.field(validator=_COUNT)
    have_digest: str = attrs.field(validator=_NAME)
    wanted: list = attrs.field(factory=list, validator=_NAMES)
    of_digest: str = attrs.field(default='', validator=_NAME)


@messages.register(42)
@attrs.frozen
class Parts:
    """Answers `Pull`.

    Attributes:
      channel: Channel of the answer.
      version: Version that the sender holds, zero if none.
      digest: Digest of its manifest, or empty.
      manifest: The manifest; empty if the receiver has it, or if the version
        is of no use to the receiver.
      parts: Parts compressed with zstd, by the digest of their content.
      complete: Whether the receiver needs no further pull, as far as the
        sender knows.
    """

    channel: str = attrs.field(validator=_NAME)
    version: int = attrs.field(validator=_COUNT)
    digest: str = attrs.field(validator=_NAME)
    manifest: bytes = attrs.field(validator=_BYTES)
    parts: dict = attrs.field(validator=_PARTS)
    complete: bool = attrs.field(validator=_FLAG)


@attrs.frozen
class ChannelState:
    """One channel in `Heartbeat`, which carries its fields as a plain list.

    A nested message would add its type and the names of a dict to each of
    them, and heartbeats are most of what a node sends at rest.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version held, zero if none.
      prefix: First characters of the digest, to notice conflicts.
      confirmed_version: Version that the last confirmation covers, or zero.
      origin: Name of the reader that heard the confirmation, shortened by
        `shorten_origin`; empty if there is none.
      sequence: Number of the confirmation at that reader.
      age_ms: Milliseconds since the confirmation; zero if there is none.
    """

    channel: str = attrs.field(validator=_NAME)
    version: int = attrs.field(validator=_COUNT)
    prefix: str = attrs.field(validator=_NAME)
    confirmed_version: int = attrs.field(validator=_COUNT)
    origin: str = attrs.field(
        validator=[_NAME, validators.max_len(_MAX_ORIGIN_CHARS)]
    )
    sequence: int = attrs.field(validator=_COUNT)
    age_ms: int = attrs.field(validator=_COUNT)


def shorten_origin(vm: str, incarnation: int) -> str:
    """Returns a short name of a process, the same on every node.

    >>> len(shorten_origin('vm-1', 1))
    8
    """
    return xxhash.xxh64_hexdigest(f'{vm}/{incarnation}'.encode())[:8]


def pack_states(states: Iterable[ChannelState]) -> list[list[Any]]:
    """Returns the form of channel states in a message."""
    return [list(attrs.astuple(state)) for state in states]


def unpack_states(rows: list[list[Any]]) -> list[ChannelState]:
    """Returns the channel states of a message.

    Raises:
      TypeError: If a row has other fields.
      ValueError: If a field is out of range.
    """
    return [ChannelState(*row) for row in rows]


def _check_states(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if not isinstance(value, list) or len(value) > _MAX_STATES:
        raise TypeError(f'{attribute.name} must be a short list')
    if not all(isinstance(row, list) for row in value):
        raise TypeError(f'{attribute.name} must be a list of lists')
    unpack_states(value)


@messages.register(44)
@attrs.frozen
class Heartbeat:
    """Tells the versions held and the age of their last confirmation.

    Attributes:
      states: A packed `ChannelState` for each channel.
      memory_ms: Age of the sender's memory; see `memories`.
      sent_ms: Time of sending on the sender's clock, in milliseconds; see
        `delays`.
    """

    states: list = attrs.field(validator=_check_states)
    memory_ms: int = attrs.field(validator=_COUNT)
    sent_ms: int = attrs.field(validator=_COUNT)


@messages.register(45)
@attrs.frozen
class Sync:
    """Asks for a `Heartbeat` at once and carries the sender's own.

    Attributes:
      states: A packed `ChannelState` for each channel.
      sent_ms: Time of sending on the sender's clock, in milliseconds.
    """

    states: list = attrs.field(validator=_check_states)
    sent_ms: int = attrs.field(validator=_COUNT)


@messages.register(46)
@attrs.frozen
class Rejection:
    """Tells that a version was rejected for its content.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version rejected.
      digest: Digest of its manifest.
      reasons: The first reasons, each cut to a bounded length.
      n_reasons: Number of all reasons.
    """

    channel: str = attrs.field(validator=_NAME)
    version: int = attrs.field(validator=_COUNT)
    digest: str = attrs.field(validator=_NAME)
    reasons: list = attrs.field(validator=_NAMES)
    n_reasons: int = attrs.field(validator=_COUNT)
