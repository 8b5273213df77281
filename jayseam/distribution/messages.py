"""Messages of the distribution of channels (codes 40 to 59)."""

from collections.abc import Iterable
from typing import Any

import attrs
import xxhash
from attrs import validators

from jayseam.core import versionnumbers
from jayseam.links import messages

_MAX_ORIGIN_CHARS = 16
_MAX_STATES = 8
_STRING = validators.instance_of(str)
_INTEGER = validators.and_(
    validators.instance_of(int), validators.not_(validators.instance_of(bool))
)
_COUNT = validators.and_(_INTEGER, validators.ge(0), validators.lt(2**63))
_BYTES = validators.instance_of(bytes)
_BOOLEAN = validators.instance_of(bool)
_STRINGS = validators.deep_iterable(_STRING, validators.instance_of(list))
_PARTS = validators.deep_mapping(_STRING, _BYTES, validators.instance_of(dict))


@messages.register(40)
@attrs.frozen
class Announce:
    """Announces that the sender holds a version.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version held.
      digest: Digest of the manifest of that version.
    """

    channel: str = attrs.field(validator=_STRING)
    version: int = attrs.field(
        validator=messages.is_version, metadata=messages.VERSION_METADATA
    )
    digest: str = attrs.field(validator=_STRING)


@messages.register(41)
@attrs.frozen
class Pull:
    """Asks for the version that the receiver holds.

    Attributes:
      channel: Channel asked for.
      version: Smallest version that the sender can use.
      have_digest: Digest of the manifest that the sender holds, or empty.
      wanted: Digests of the parts that the sender still lacks of the manifest
        in ``of_digest``; empty in a first pull.
      of_digest: Digest of the manifest that ``wanted`` refers to, or empty.
    """

    channel: str = attrs.field(validator=_STRING)
    version: int = attrs.field(
        validator=messages.is_version, metadata=messages.VERSION_METADATA
    )
    have_digest: str = attrs.field(validator=_STRING)
    wanted: list = attrs.field(factory=list, validator=_STRINGS)
    of_digest: str = attrs.field(default='', validator=_STRING)


@messages.register(42)
@attrs.frozen
class Parts:
    """Reply to `Pull`.

    Attributes:
      channel: Channel of the reply.
      version: Version that the sender holds, zero if none.
      digest: Digest of the manifest of that version, or empty.
      manifest: The manifest; empty if the receiver has it, or if the receiver
        can't use the version.
      parts: Parts compressed with zstd, by the digest of their content.
      complete: Whether the receiver needs no further pull, as far as the
        sender knows.
    """

    channel: str = attrs.field(validator=_STRING)
    version: int = attrs.field(
        validator=messages.is_version, metadata=messages.VERSION_METADATA
    )
    digest: str = attrs.field(validator=_STRING)
    manifest: bytes = attrs.field(validator=_BYTES)
    parts: dict = attrs.field(validator=_PARTS)
    complete: bool = attrs.field(validator=_BOOLEAN)


@attrs.frozen
class ChannelState:
    """State of one channel, sent in `Heartbeat` as a plain list of fields.

    A nested message would add a type and field names to each state, and
    heartbeats are most of what a node sends while no version changes.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version held, zero if none.
      prefix: First characters of the digest, to detect conflicts.
      confirmed_version: Version that the last confirmation applies to, or zero.
      origin: Name of the reader that received the confirmation from the
        source, as `shorten_origin` returns it; empty if there is none.
      sequence: Sequence number of the confirmation at that reader.
      age_ms: Milliseconds since the confirmation; zero if there is none.
    """

    channel: str = attrs.field(validator=_STRING)
    version: int = attrs.field(validator=messages.is_version)
    prefix: str = attrs.field(validator=_STRING)
    confirmed_version: int = attrs.field(validator=messages.is_version)
    origin: str = attrs.field(
        validator=[_STRING, validators.max_len(_MAX_ORIGIN_CHARS)]
    )
    sequence: int = attrs.field(validator=_COUNT)
    age_ms: int = attrs.field(validator=_COUNT)


def shorten_origin(vm: str, incarnation: int) -> str:
    """Returns a short name of a process, which is the same on every node.

    >>> len(shorten_origin('vm-1', 1))
    8
    """
    return xxhash.xxh64_hexdigest(f'{vm}/{incarnation}'.encode())[:8]


def pack_states(states: Iterable[ChannelState]) -> list[list[Any]]:
    """Returns channel states in the form that messages carry."""
    return [
        [
            state.channel,
            versionnumbers.shorten(state.version),
            state.prefix,
            versionnumbers.shorten(state.confirmed_version),
            state.origin,
            state.sequence,
            state.age_ms,
        ]
        for state in states
    ]


def unpack_states(rows: list[list[Any]]) -> list[ChannelState]:
    """Returns the channel states of a message.

    Raises:
      TypeError: If a row has the wrong number or types of fields.
      ValueError: If a field is out of range.
    """
    return [
        ChannelState(
            channel,
            versionnumbers.expand(version),
            prefix,
            versionnumbers.expand(confirmed_version),
            *others,
        )
        for channel, version, prefix, confirmed_version, *others in rows
    ]


def _check_states(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if not isinstance(value, list) or len(value) > _MAX_STATES:
        raise TypeError(f'{attribute.name} must be a short list')
    if not all(isinstance(row, list) for row in value):
        raise TypeError(f'{attribute.name} must be a list of lists')
    unpack_states(value)


@messages.register(44)
@attrs.frozen
class Heartbeat:
    """Reports the versions held and the age of their last confirmation.

    Attributes:
      states: A packed `ChannelState` for each channel.
      memory_ms: Age of the sender's memory of versions, in milliseconds; see
        `version_memory`.
      sent_ms: Time of sending on the sender's clock, in milliseconds; see
        `delays`.
    """

    states: list = attrs.field(validator=_check_states)
    memory_ms: int = attrs.field(validator=_COUNT)
    sent_ms: int = attrs.field(validator=_COUNT)


@messages.register(45)
@attrs.frozen
class Sync:
    """Requests a `Heartbeat` and carries the sender's own states.

    Attributes:
      states: A packed `ChannelState` for each channel.
      sent_ms: Time of sending on the sender's clock, in milliseconds.
    """

    states: list = attrs.field(validator=_check_states)
    sent_ms: int = attrs.field(validator=_COUNT)


@messages.register(46)
@attrs.frozen
class Rejection:
    """Reports that a version was rejected because its content is invalid.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version rejected.
      digest: Digest of the manifest of that version.
      reasons: The first reasons, each truncated to a bounded length.
      n_reasons: Total number of reasons.
    """

    channel: str = attrs.field(validator=_STRING)
    version: int = attrs.field(
        validator=messages.is_version, metadata=messages.VERSION_METADATA
    )
    digest: str = attrs.field(validator=_STRING)
    reasons: list = attrs.field(validator=_STRINGS)
    n_reasons: int = attrs.field(validator=_COUNT)
