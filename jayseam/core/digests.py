"""Content digests of configuration parts."""

import hashlib

DIGEST_BYTES = 32


def compute_digest(data: bytes) -> str:
    """Returns the BLAKE2b-256 digest of ``data`` in lower-case hex.

    >>> compute_digest(b'')[:16]
    '0e5751c026e543b2'

    References:
      RFC 7693.
    """
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
