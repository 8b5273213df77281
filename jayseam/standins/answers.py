"""Answers of the backend stand-in that a caller can verify.

A body consists of a checksum line, a line of JSON metadata about the request,
and filler made from the request id. `verify_body` rejects a body that is
truncated, mixed with another body, or not from a backend stand-in.
"""

import json
from collections.abc import Mapping
from typing import Any

from jayseam.core import digests
from jayseam.standins import errors

ECHO_HEADER = 'X-Echo'
ANSWER_BYTES_HEADER = 'X-Answer-Bytes'
NEST_HEADER = 'X-Nest'
NEST_PATH_HEADER = 'X-Nest-Path'
NESTED_HEADER = 'X-Nested'

_MAX_FILLER_BYTES = 16_000_000


def build_body(metadata: Mapping[str, Any], filler_bytes: int) -> bytes:
    """Returns a body with ``metadata`` and filler of the given size.

    >>> body = build_body({'request_id': 'r1'}, 8)
    >>> verify_body(body)
    {'request_id': 'r1', 'filler_bytes': 8}
    >>> verify_body(body[:-1])
    Traceback (most recent call last):
    ...
    jayseam.standins.errors.AnswerError: checksum does not match the body
    """
    filler_bytes = max(0, min(filler_bytes, _MAX_FILLER_BYTES))
    line = json.dumps({**metadata, 'filler_bytes': filler_bytes}).encode()
    pattern = str(metadata.get('request_id') or '-').encode()
    filler = (pattern * (filler_bytes // len(pattern) + 1))[:filler_bytes]
    content = line + b'\n' + filler
    return digests.compute_digest(content).encode() + b'\n' + content


def verify_body(body: bytes) -> dict[str, Any]:
    """Returns the metadata of a complete body.

    Raises:
      AnswerError: If any byte of the body is missing or altered.
    """
    checksum, _, content = body.partition(b'\n')
    if digests.compute_digest(content).encode() != checksum:
        raise errors.AnswerError('checksum does not match the body')
    return json.loads(content.partition(b'\n')[0])
