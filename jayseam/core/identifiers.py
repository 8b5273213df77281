"""Identifiers of requests and attempts, and idempotency keys."""

import random
import secrets
import uuid

_UUID_VERSION_7 = 7 << 76
_UUID_VARIANT = 2 << 62
_TIMESTAMP_MASK = (1 << 48) - 1


def make_id() -> str:
    """Returns a random identifier of 32 hex digits.

    >>> len(make_id())
    32
    """
    return secrets.token_hex(16)


def make_uuid7(wall_ms: int, generator: random.Random) -> str:
    """Returns a UUIDv7 with a creation time; idempotency keys are UUIDv7.

    >>> make_uuid7(0x017f22e279b0, random.Random(1))[:15]
    '017f22e2-79b0-7'

    Args:
      wall_ms: Milliseconds since the Unix epoch.
      generator: Source of the random bits.

    References:
      RFC 9562, section 5.7.
    """
    timestamp = (wall_ms & _TIMESTAMP_MASK) << 80
    random_a = generator.getrandbits(12) << 64
    random_b = generator.getrandbits(62)
    value = timestamp | _UUID_VERSION_7 | random_a | _UUID_VARIANT | random_b
    return str(uuid.UUID(int=value))
