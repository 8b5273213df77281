"""Workspace keys: creation and constant-time verification."""

import base64
import hashlib
import hmac
import secrets
from collections.abc import Callable

import attrs

from jayseam.presets import model

_SECRET_BYTES = 32
_SALT_BYTES = 16
# 64 bits: a chance match of two keys is out of the question, and the rest of
# the digest is not told.
_DIGEST_ID_CHARS = 16
# Stands in for the entry of an unknown key, so that unknown and wrong keys
# cost the same work.
_ABSENT = model.KeyEntry('', '', '00' * _SALT_BYTES, '00' * 32)


@attrs.frozen
class KeyMatch:
    """The owner of a verified key.

    Attributes:
      key_id: Identifier of the key.
      workspace: Workspace that the key belongs to.
    """

    key_id: str
    workspace: str


def generate_key(
    key_id: str,
    workspace: str,
    random_bytes: Callable[[int], bytes] = secrets.token_bytes,
) -> tuple[str, model.KeyEntry]:
    """Creates a key.

    >>> plaintext, entry = generate_key('k1', 'museum')
    >>> verify_key(model.KeySet((entry,)), plaintext)
    KeyMatch(key_id='k1', workspace='museum')

    Args:
      key_id: Identifier without a dot.
      workspace: Workspace that the key belongs to.
      random_bytes: Source of random bytes; tests pass a seeded one.

    Returns:
      The plaintext, which only the workspace keeps, and the entry.

    Raises:
      ValueError: If ``key_id`` is empty or contains a dot.
    """
    if not key_id or '.' in key_id:
        raise ValueError(f'key_id {key_id!r} is empty or contains a dot')
    secret = base64.urlsafe_b64encode(random_bytes(_SECRET_BYTES))
    plaintext = f'{key_id}.{secret.decode().rstrip("=")}'
    salt_hex = random_bytes(_SALT_BYTES).hex()
    return plaintext, build_entry(plaintext, workspace, salt_hex)


def build_entry(
    plaintext: str, workspace: str, salt_hex: str
) -> model.KeyEntry:
    """Returns the entry of a key.

    Args:
      plaintext: The key.
      workspace: Workspace that the key belongs to.
      salt_hex: Salt in hex.
    """
    hash_hex = _hash_key(salt_hex, plaintext)
    return model.KeyEntry(find_key_id(plaintext), workspace, salt_hex, hash_hex)


def find_key_id(plaintext: str) -> str:
    """Returns the identifier of a key.

    It stands before the first dot. The identifier of a key without a dot is a
    digest of the whole key, which is secret.

    >>> find_key_id('k1.secret')
    'k1'
    >>> len(find_key_id('secret'))
    16
    """
    key_id, dot, _ = plaintext.partition('.')
    if dot:
        return key_id
    data = plaintext.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(data).hexdigest()[:_DIGEST_ID_CHARS]


def verify_key(key_set: model.KeySet, plaintext: str) -> KeyMatch | None:
    """Returns the owner of a key, or None if the key is not granted.

    The comparison takes the same time wherever the hashes differ. A match is
    valid only while its workspace exists in the preset in force; the caller
    checks that.
    """
    key_id = find_key_id(plaintext)
    entry = key_set.by_id.get(key_id, _ABSENT)
    hash_hex = _hash_key(entry.salt_hex, plaintext)
    if not hmac.compare_digest(hash_hex, entry.hash_hex) or entry is _ABSENT:
        return None
    return KeyMatch(entry.key_id, entry.workspace)


def _hash_key(salt_hex: str, plaintext: str) -> str:
    # Callers control the plaintext; surrogates from a header must not raise.
    data = plaintext.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(bytes.fromhex(salt_hex) + data).hexdigest()
