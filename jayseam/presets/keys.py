"""Workspace keys: creation and constant-time verification."""

import base64
import hashlib
import hmac
import re
import secrets
from collections.abc import Callable

import attrs

from jayseam.presets import model

_SECRET_BYTES = 32
# Characters of a generated secret: base64 without padding.
_SECRET = re.compile(r'[A-Za-z0-9_-]{43}')
_SALT_BYTES = 16
# 64 bits make an accidental collision of two keys negligible, and the rest of
# the digest is not disclosed.
_DIGEST_ID_CHARS = 16
# Replaces the entry of an unknown key, so that the verification of unknown and
# of wrong keys takes the same time.
_DUMMY_ENTRY = model.KeyEntry('', '', '00' * _SALT_BYTES, '00' * 32)


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
    plaintext: str, workspace: str, salt_hex: str, is_opaque: bool = False
) -> model.KeyEntry:
    """Returns the entry of a key.

    Args:
      plaintext: The key.
      workspace: Workspace that the key belongs to.
      salt_hex: Salt in hex.
      is_opaque: Whether the key was not created by `generate_key`. A dot then
        has no meaning, and the identifier is a digest of the whole key.
    """
    hash_hex = _hash_key(salt_hex, plaintext)
    extract = _compute_digest_id if is_opaque else extract_key_id
    return model.KeyEntry(extract(plaintext), workspace, salt_hex, hash_hex)


def extract_key_id(plaintext: str) -> str:
    """Returns the identifier of a key.

    The identifier is the part before the first dot. A key without a dot is
    secret as a whole; its identifier is a truncated digest of the key.

    >>> extract_key_id('k1.secret')
    'k1'
    >>> len(extract_key_id('secret'))
    16
    """
    key_id, dot, _ = plaintext.partition('.')
    return key_id if dot else _compute_digest_id(plaintext)


def extract_secret(plaintext: str) -> str:
    """Returns the secret part of a key that `generate_key` has created.

    >>> extract_secret('k1.' + 43 * 'x') == 43 * 'x'
    True
    >>> extract_secret('k1.2')
    ''

    Returns:
      The part after the first dot; empty if the key has another form.
    """
    secret = plaintext.partition('.')[2]
    return secret if _SECRET.fullmatch(secret) else ''


def verify_key(key_set: model.KeySet, plaintext: str) -> KeyMatch | None:
    """Returns the owner of a key, or None if the key is invalid.

    The comparison of hashes takes constant time. A match is valid only while
    the workspace exists in the preset in force; the caller checks that.
    """
    match = None
    # A key with a dot may be an opaque one.
    for key_id in (extract_key_id(plaintext), _compute_digest_id(plaintext)):
        entry = key_set.by_id.get(key_id, _DUMMY_ENTRY)
        hash_hex = _hash_key(entry.salt_hex, plaintext)
        if (
            hmac.compare_digest(hash_hex, entry.hash_hex)
            and entry is not _DUMMY_ENTRY
        ):
            match = KeyMatch(entry.key_id, entry.workspace)
    return match


def _compute_digest_id(plaintext: str) -> str:
    data = plaintext.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(data).hexdigest()[:_DIGEST_ID_CHARS]


def _hash_key(salt_hex: str, plaintext: str) -> str:
    # The plaintext comes from a request header, so surrogates must not raise an
    # error.
    data = plaintext.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(bytes.fromhex(salt_hex) + data).hexdigest()
