"""Codecs between plain values and bytes.

Plain values are None, bool, int, float, str, bytes, lists and dicts with
string keys.

>>> codecs.get('cbor').decode(codecs.get('cbor').encode([1, b'x']))
[1, b'x']
>>> codecs.get('json').decode(codecs.get('json').encode([1, b'x']))
[1, b'x']

References:
  RFC 8949 (CBOR), RFC 8259 (JSON), RFC 4648 (base64).
"""

import base64
import json
from typing import Any, Protocol

import cbor2
import zstandard

from jayseam.core import registries
from jayseam.links import errors

MAX_DEPTH = 32
# For shorter messages, compression saves less than the size of its own frame
# header.
MIN_COMPRESSED_BYTES = 256
# The fastest level of zstd that still uses entropy coding.
COMPRESSION_LEVEL = 1
# Limit of the decompressed size: the content and framing of the largest frame
# that a link accepts.
MAX_CONTENT_BYTES = 2 * 1024 * 1024
_ZSTD_MAGIC = b'\x28\xb5\x2f\xfd'
_BYTES_KEY = '$bytes'


class Codec(Protocol):
    """Converts plain values to bytes and back."""

    def encode(self, value: Any) -> bytes:
        """Returns the encoded value."""

    def decode(self, data: bytes) -> Any:
        """Returns the value; raises ``MessageError`` if it is malformed."""


codecs: registries.Registry[Codec] = registries.Registry('codec')


class CborCodec:
    """Concise Binary Object Representation, the default codec."""

    def encode(self, value: Any) -> bytes:
        """Returns the value as CBOR."""
        return cbor2.dumps(value)

    def decode(self, data: bytes) -> Any:
        """Returns the decoded value.

        Raises:
          MessageError: If ``data`` is not one well-formed CBOR item.
        """
        try:
            return cbor2.loads(
                data,
                max_depth=MAX_DEPTH,
                allow_duplicate_keys=False,
                strict_hashable_types=True,
            )
        except Exception as error:
            # Decoders of semantic tags raise errors of many classes.
            raise errors.MessageError(f'malformed CBOR: {error}') from error


class CompressedCodec:
    """CBOR, compressed with zstd if that makes the message smaller.

    A compressed message starts with the magic number of zstd; no CBOR list
    starts with these bytes.

    >>> codec = CompressedCodec(CborCodec())
    >>> len(codec.encode(['a' * 5000])) < 100
    True
    >>> codec.decode(codec.encode(['a' * 5000])) == ['a' * 5000]
    True
    """

    def __init__(self, inner: Codec):
        self._inner = inner

    def encode(self, value: Any) -> bytes:
        """Returns the encoded value."""
        data = self._inner.encode(value)
        if len(data) < MIN_COMPRESSED_BYTES:
            return data
        compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
        compressed = compressor.compress(data)
        return compressed if len(compressed) < len(data) else data

    def decode(self, data: bytes) -> Any:
        """Returns the decoded value.

        Raises:
          MessageError: If ``data`` is malformed or too large.
        """
        if data[: len(_ZSTD_MAGIC)] == _ZSTD_MAGIC:
            data = _decompress(data)
        return self._inner.decode(data)


def _decompress(data: bytes) -> bytes:
    try:
        size = zstandard.frame_content_size(data)
        # zstd allocates as much memory as the header says, so the size is
        # checked first.
        if not 0 <= size <= MAX_CONTENT_BYTES:
            raise errors.MessageError(
                f'invalid decompressed size of {size} bytes'
            )
        return zstandard.ZstdDecompressor().decompress(data)
    except zstandard.ZstdError as error:
        raise errors.MessageError(f'malformed zstd: {error}') from error


class JsonCodec:
    """JSON with bytes in base64, for debugging with packet captures."""

    def encode(self, value: Any) -> bytes:
        """Returns the value as compact JSON."""
        text = json.dumps(value, default=_wrap_bytes, separators=(',', ':'))
        return text.encode()

    def decode(self, data: bytes) -> Any:
        """Returns the decoded value.

        Raises:
          MessageError: If ``data`` is not well-formed JSON.
        """
        try:
            return json.loads(data, object_hook=_unwrap_bytes)
        except (ValueError, TypeError, RecursionError) as error:
            raise errors.MessageError(f'malformed JSON: {error}') from error


def _wrap_bytes(value: Any) -> dict[str, str]:
    if isinstance(value, (bytes, bytearray, memoryview)):
        return {_BYTES_KEY: base64.b64encode(value).decode()}
    raise TypeError(f'cannot encode {type(value).__name__}')


def _unwrap_bytes(value: dict[str, Any]) -> Any:
    if value.keys() == {_BYTES_KEY}:
        return base64.b64decode(value[_BYTES_KEY], validate=True)
    return value


codecs.register('cbor')(CborCodec())
codecs.register('cbor-zstd')(CompressedCodec(CborCodec()))
codecs.register('json')(JsonCodec())
