"""Mutual authentication of two nodes that share a fleet secret.

The dialler sends a hello and the acceptor replies with its own hello. The
dialler then sends one proof, an HMAC, for each of its secrets, and the acceptor
replies with a proof under the secret that both have. The dialler proves its
identity first, so an unauthenticated peer gets no proof that it could use for
an offline dictionary attack on weak secrets.

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
      incarnation: Start time of the process, in wall-clock milliseconds.
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
      HandshakeError: If the bytes are not a valid hello of this protocol.
    """
    values = _decode_list(data)
    kinds = [str, str, int, bytes, str]
    if [type(value) for value in values] != kinds or values[0] != _MAGIC:
        raise errors.HandshakeError('not a hello of this protocol')
    _, vm, incarnation, nonce, codec = values
    if (
        not 0 < len(vm) <= MAX_NAME_LENGTH
        or not 0 <= incarnation < 2**63
        or len(nonce) != NONCE_BYTES
    ):
        raise errors.HandshakeError('hello has invalid fields')
    return Hello(Identity(vm, incarnation), nonce, codec)


def build_transcript(dialler: Hello, acceptor: Hello) -> bytes:
    """Returns the bytes that the proofs and the session key cover.

    Raises:
      HandshakeError: If both sides are the same VM or use different codecs.
    """
    if dialler.identity.vm == acceptor.identity.vm:
        raise errors.HandshakeError('a node cannot link to itself')
    if dialler.codec != acceptor.codec:
        raise errors.HandshakeError('the nodes use different codecs')
    return encode_hello(dialler) + encode_hello(acceptor)


def create_proof(secret: str, role: bytes, transcript: bytes) -> bytes:
    """Returns the proof that the sender in ``role`` has ``secret``."""
    message = role + b'\0' + transcript
    return hmac.digest(secret.encode(), message, 'sha256')


def encode_proofs(proofs: Sequence[bytes]) -> bytes:
    """Returns the proofs as bytes."""
    return cbor2.dumps(list(proofs))


def decode_proofs(data: bytes) -> list[bytes]:
    """Returns the proofs in ``data``.

    Raises:
      HandshakeError: If the bytes are not a list of one or two proofs.
    """
    values = _decode_list(data)
    if not 1 <= len(values) <= MAX_SECRETS or any(
        value.__class__ is not bytes or len(value) != PROOF_BYTES
        for value in values
    ):
        raise errors.HandshakeError('not a list of one or two proofs')
    return values


def find_secret(
    secrets: Sequence[str],
    role: bytes,
    transcript: bytes,
    proofs: Sequence[bytes],
) -> str:
    """Returns the first of ``secrets`` under which one of ``proofs`` is valid.

    >>> proof = create_proof('new secret', DIALLER, b'transcript')
    >>> secrets = ['old secret', 'new secret']
    >>> find_secret(secrets, DIALLER, b'transcript', [proof])
    'new secret'

    Raises:
      HandshakeError: If no proof is valid.
    """
    for secret in secrets:
        expected = create_proof(secret, role, transcript)
        if any(hmac.compare_digest(expected, proof) for proof in proofs):
            return secret
    raise errors.HandshakeError('no shared fleet secret', 'wrong_secret')


def derive_session_key(secret: str, transcript: bytes) -> bytes:
    """Derives the 32-byte session key by HKDF with one output block."""
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
