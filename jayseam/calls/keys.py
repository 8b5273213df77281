"""Credentials of a caller: where they may appear and what they allow."""

import urllib.parse

import attrs

from jayseam.calls import errors
from jayseam.calls import requests
from jayseam.calls import tokens
from jayseam.presets import keys as preset_keys
from jayseam.presets import model

_SCHEME = 'bearer '
_KEY_PARAMETERS = frozenset(('api_key', 'key', 'access_token'))
TOKEN_HEADER = 'jayseam-call-token'


@attrs.frozen
class Caller:
    """Identity for which a call runs.

    Attributes:
      workspace: Name of the workspace; empty for a caller without a key.
      key_id: Identifier of the key that the call depends on; empty without
        one.
      depth: 0 for a call with a key, more for nested calls.
      expires_wall_ms: For a nested call, when the outermost call ends.
    """

    workspace: str
    key_id: str
    depth: int = 0
    expires_wall_ms: int | None = None


ANONYMOUS = Caller('', '')


def extract_key(request: requests.CallRequest) -> str | None:
    """Returns the key in the ``Authorization`` field, if any.

    Raises:
      KeyMisplacedError: If a key appears elsewhere, where it would reach
        backend servers or their logs.
      BadRequestError: If the field occurs twice or has another scheme.
    """
    if request.get_header('x-api-key') is not None:
        raise errors.KeyMisplacedError('use the Authorization header')
    if request.query and _has_key_parameter(request.query):
        raise errors.KeyMisplacedError('a key must not stand in the query')
    values = [v for name, v in request.headers if name == 'authorization']
    if not values:
        return None
    if len(values) > 1 or not values[0].lower().startswith(_SCHEME):
        raise errors.BadRequestError('expected one Bearer authorization')
    key = _decode_field(values[0][len(_SCHEME) :]).strip()
    _reject_repeated_secret(request, key)
    return key


def _decode_field(value: str) -> str:
    """Returns the text of a field value, which was decoded as Latin-1."""
    try:
        return value.encode('latin-1').decode()
    except UnicodeError:
        return value


def _has_key_parameter(query: str) -> bool:
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    return any(name.lower() in _KEY_PARAMETERS for name, _ in pairs)


def _reject_repeated_secret(request: requests.CallRequest, key: str) -> None:
    """Refuses a request with its key in a part that would be forwarded.

    Only generated keys are looked for, since a short opaque one may occur in
    any request.
    """
    secret = preset_keys.extract_secret(key)
    if not secret:
        return
    target = urllib.parse.unquote(request.build_target())
    copies = [v for name, v in request.headers if name != 'authorization']
    if any(secret in text for text in (target, *copies)):
        raise errors.KeyMisplacedError('the key stands outside Authorization')


def identify_caller(
    request: requests.CallRequest,
    key_set: model.KeySet,
    token_keys: tuple[bytes, ...],
    wall_ms: int,
) -> Caller | None:
    """Returns the caller of a request, or None if it has no credentials.

    Args:
      request: The caller's request.
      key_set: Keys in force.
      token_keys: Signing keys that are accepted for call tokens.
      wall_ms: Present wall clock time in milliseconds.

    Raises:
      KeyRefusedError: If the credentials are unknown, expired or withdrawn.
    """
    key = extract_key(request)
    text = request.get_header(TOKEN_HEADER)
    if text is not None:
        token = tokens.verify_token(token_keys, text, wall_ms)
        if not is_key_valid(key_set, token.key_id, token.workspace):
            raise errors.KeyRefusedError('the key of this call was withdrawn')
        return Caller(
            token.workspace, token.key_id, token.depth, token.expires_wall_ms
        )
    if key is None:
        return None
    match = preset_keys.verify_key(key_set, key)
    if match is None:
        raise errors.KeyRefusedError('unknown or withdrawn key')
    return Caller(match.workspace, match.key_id)


def is_key_valid(key_set: model.KeySet, key_id: str, workspace: str) -> bool:
    """Returns whether a key is still granted to a workspace."""
    entry = key_set.by_id.get(key_id)
    return entry is not None and entry.workspace == workspace
