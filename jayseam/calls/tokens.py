"""Call tokens, which backend servers send with nested calls.

A token is bound to the workspace, the key's identifier, the request, the depth
and the end of the outermost call, and signed with a key derived from the fleet
secret. A backend server can neither extend the rights of a token nor use it for
calls at another depth.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

import attrs
import cbor2

from jayseam.calls import errors

MAX_DEPTH = 10
_MAC_BYTES = 32
_MAX_TOKEN_CHARS = 1024
# Allowed difference between the wall clocks of VMs.
CLOCK_ALLOWANCE_MS = 5000


@attrs.frozen
class CallToken:
    """The signed content of a call token.

    Attributes:
      workspace: Workspace for which nested calls run.
      key_id: Key whose withdrawal invalidates the token.
      request_id: Request of the outermost call.
      depth: Depth of the calls made with this token, 1 to `MAX_DEPTH`.
      expires_wall_ms: End of the outermost call, milliseconds since the epoch.
    """

    workspace: str
    key_id: str
    request_id: str
    depth: int
    expires_wall_ms: int


def derive_token_key(fleet_secret: str) -> bytes:
    """Returns the signing key of call tokens for a fleet secret."""
    return hmac.digest(fleet_secret.encode(), b'jayseam call token', 'sha256')


def mint_token(token_key: bytes, token: CallToken) -> str:
    """Returns the signed, encoded form of ``token``.

    >>> key = derive_token_key('0123456789abcdef')
    >>> token = CallToken('w1', 'k1', 'r1', 1, 1000)
    >>> verify_token([key], mint_token(key, token), 900) == token
    True
    """
    # attrs.astuple copies recursively, which takes longer than the signature.
    fields = [
        token.workspace,
        token.key_id,
        token.request_id,
        token.depth,
        token.expires_wall_ms,
    ]
    body = cbor2.dumps(fields)
    mac = hmac.digest(token_key, body, hashlib.sha256)
    return base64.urlsafe_b64encode(mac + body).decode()


def verify_token(
    token_keys: Sequence[bytes], text: str, wall_ms: int
) -> CallToken:
    """Verifies an encoded token and returns its content.

    Raises:
      KeyRefusedError: If the signature, the depth or the expiry is wrong.
    """
    if len(text) > _MAX_TOKEN_CHARS:
        raise errors.KeyRefusedError('call token is too long')
    try:
        raw = base64.b64decode(text, altchars=b'-_', validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.KeyRefusedError('call token is malformed') from error
    mac, body = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
    # Compares with every key, so that the time doesn't tell which one matched.
    matches = [
        hmac.compare_digest(mac, hmac.digest(key, body, hashlib.sha256))
        for key in token_keys
    ]
    if True not in matches:
        raise errors.KeyRefusedError('call token has a wrong signature')
    token = CallToken(*cbor2.loads(body))
    if token.depth > MAX_DEPTH:
        raise errors.KeyRefusedError(f'calls nest deeper than {MAX_DEPTH}')
    if token.expires_wall_ms + CLOCK_ALLOWANCE_MS < wall_ms:
        raise errors.KeyRefusedError('call token has expired')
    return token
