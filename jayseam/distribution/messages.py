"""Messages of the distribution of channels (codes 40 to 59)."""

import attrs
from attrs import validators

from jayseam.links import messages

_MAX_ORIGIN_CHARS = 128
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


@messages.register(43)
@attrs.frozen
class ChannelState:
    """One channel in `Heartbeat`.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version held, zero if none.
      prefix: First characters of the digest, to notice conflicts.
      confirmed_version: Version that the last confirmation covers, or zero.
      origin: Reader that heard the confirmation; empty if there is none.
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


_STATES = validators.deep_iterable(
    validators.instance_of(ChannelState), validators.instance_of(list)
)


@messages.register(44)
@attrs.frozen
class Heartbeat:
    """Tells the versions held and the age of their last confirmation.

    Attributes:
      states: One `ChannelState` for each channel.
      memory_ms: Age of the sender's memory; see `memories`.
    """

    states: list = attrs.field(validator=_STATES)
    memory_ms: int = attrs.field(validator=_COUNT)


@messages.register(45)
@attrs.frozen
class Sync:
    """Asks for a `Heartbeat` at once and carries the sender's own.

    Attributes:
      states: One `ChannelState` for each channel.
    """

    states: list = attrs.field(validator=_STATES)


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
