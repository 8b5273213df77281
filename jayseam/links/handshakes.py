"""Mutual authentication of two nodes that share a fleet secret.

The dialler sends a hello, the acceptor answers with its own hello, the dialler
sends one proof for each of its secrets, and the acceptor answers with a proof
under the secret that both hold. The dialler proves itself first, so a stranger
gets no proof against which it could try weak secrets offline.

Each proof covers the role, both VM names, incarnations and nonces and the
codec, so a proof can be neither replayed nor reflected.

References:
  RFC 2104 (HMAC), RFC 5869 (HKDF).
"""

import hashlib
import hmac
import os
from collections.abc import Sequence

import attrs
import cbor2

from jayseam.links import errors

NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_SECRETS = 2
MAX_NAME_LENGTH = 255
_MAGIC = 'jayseam-link-1'
DIALLER = b'dialler'
ACCEPTOR = b'acceptor'


@attrs.frozen
class Identity:
    """A process of the fleet.

    Attributes:
      vm: Name of its VM.
      incarnation: Start of the process, in wall milliseconds.
    """

    vm: str
    incarnation: int


@attrs.frozen
class Hello:
    """The first message of each side.

    Attributes:
      identity: The sender.
      nonce: Fresh random bytes of the sender.
      codec: Name of the codec that the sender uses for messages.
    """

    identity: Identity
    nonce: bytes
    codec: str


def create_hello(identity: Identity, codec: str) -> Hello:
    """Returns a hello with a fresh nonce."""
    return Hello(identity, os.urandom(NONCE_BYTES), codec)


def encode_hello(hello: Hello) -> bytes:
    """Returns the hello as bytes."""
    return cbor2.dumps(
        [
            _MAGIC,
            hello.identity.vm,
            hello.identity.incarnation,
            hello.nonce,
            hello.codec,
        ]
    )


def decode_hello(data: bytes) -> Hello:
    """Returns the hello in ``data``.

    Raises:
      HandshakeError: If the bytes are no hello of this protocol.
    """
    values = _decode_list(data)
    kinds = [str, str, int, bytes, str]
    if [type(value) for value in values] != kinds or values[0] != _MAGIC:
        raise errors.HandshakeError('no hello of this protocol')
    _, vm, incarnation, nonce, codec = values
    if (
        not 0 < len(vm) <= MAX_NAME_LENGTH
        or not 0 <= incarnation < 2**63
        or len(nonce) != NONCE_BYTES
    ):
        raise errors.HandshakeError('hello has invalid fields')
    return Hello(Identity(vm, incarnation), nonce, codec)


def build_transcript(dialler: Hello, acceptor: Hello) -> bytes:
    """Returns the bytes to which proofs and session key are bound.

    Raises:
      HandshakeError: If both sides are the same VM or use different codecs.
    """
    if dialler.identity.vm == acceptor.identity.vm:
        raise errors.HandshakeError('a node does not link to itself')
    if dialler.codec != acceptor.codec:
        raise errors.HandshakeError('the nodes use different codecs')
    return encode_hello(dialler) + encode_hello(acceptor)


def create_proof(secret: str, role: bytes, transcript: bytes) -> bytes:
    """Returns the proof that the sender in ``role`` holds ``secret``."""
    message = role + b'\0' + transcript
    return hmac.digest(secret.encode(), message, 'sha256')


def encode_proofs(proofs: Sequence[bytes]) -> bytes:
    """Returns the proofs as bytes."""
    return cbor2.dumps(list(proofs))


def decode_proofs(data: bytes) -> list[bytes]:
    """Returns the proofs in ``data``.

    Raises:
      HandshakeError: If the bytes are no list of one or two proofs.
    """
    values = _decode_list(data)
    if not 1 <= len(values) <= MAX_SECRETS or any(
        value.__class__ is not bytes or len(value) != PROOF_BYTES
        for value in values
    ):
        raise errors.HandshakeError('no list of proofs')
    return values


def find_secret(
    secrets: Sequence[str],
    role: bytes,
    transcript: bytes,
    proofs: Sequence[bytes],
) -> str:
    """Returns the first own secret under which one of ``proofs`` holds.

    >>> proof = create_proof('new secret', DIALLER, b'transcript')
    >>> secrets = ['old secret', 'new secret']
    >>> find_secret(secrets, DIALLER, b'transcript', [proof])
    'new secret'

    Raises:
      HandshakeError: If no proof holds.
    """
    for secret in secrets:
        expected = create_proof(secret, role, transcript)
        if any(hmac.compare_digest(expected, proof) for proof in proofs):
            return secret
    raise errors.HandshakeError('no shared fleet secret', 'wrong_secret')


def derive_session_key(secret: str, transcript: bytes) -> bytes:
    """Returns the 32-byte key of the link, by HKDF with one output block."""
    salt = hashlib.sha256(transcript).digest()
    pseudorandom_key = hmac.digest(salt, secret.encode(), 'sha256')
    return hmac.digest(pseudorandom_key, b'jayseam session\x01', 'sha256')


def _decode_list(data: bytes) -> list:
    try:
        values = cbor2.loads(data, max_depth=4)
    except Exception as error:
        # Decoders of semantic tags raise errors of many classes.
        raise errors.HandshakeError('malformed handshake') from error
    if values.__class__ is not list:
        raise errors.HandshakeError('malformed handshake')
    return values
