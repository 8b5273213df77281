"""Idempotency keys in the form of UUIDs of version 7."""

import random
import uuid

_VERSION = 7 << 76
_VARIANT = 2 << 62


def make_uuid7(wall_ms: int, generator: random.Random) -> str:
    """Returns a UUIDv7 for a wall-clock time.

    >>> make_uuid7(0x017f22e279b0, random.Random(1))[:15]
    '017f22e2-79b0-7'

    Args:
      wall_ms: Milliseconds since the Unix epoch.
      generator: Source of the random bits.

    References:
      RFC 9562, section 5.7.
    """
    random_a = generator.getrandbits(12) << 64
    random_b = generator.getrandbits(62)
    value = (wall_ms & ((1 << 48) - 1)) << 80
    return str(uuid.UUID(int=value | _VERSION | random_a | _VARIANT | random_b))
