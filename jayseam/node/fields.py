"""The header fields of a caller's request.

The standard library parses header fields with its e-mail parser, which took a
tenth of the processor time of the call path. httptools uses llhttp, which
is also stricter: it rejects folded values, bare line feeds, field names that
are not tokens, and more than one Content-Length.

References:
  RFC 9110, section 5; RFC 9112, sections 2.2 and 5.
"""

import contextlib
from collections.abc import Iterator
from typing import BinaryIO

import httptools

MAX_FIELDS = 100
_MAX_LINE_BYTES = 65536
_CRLF = b'\r\n'
# httptools parses whole requests, but the server has already consumed the
# request line; this one stands in for it.
_REQUEST_LINE = b'GET / HTTP/1.1\r\n'


class FramingError(ValueError):
    """The header fields are malformed, or the request's length is ambiguous."""


class Fields:
    """Header fields in order, with the interface that gevent's server expects.

    Attributes:
      status: Always empty; gevent's server treats any other value as a parsing
        error.

    >>> fields = Fields([('Accept', '*/*'), ('Host', 'node')])
    >>> fields.get('host'), fields.get('expect')
    ('node', None)
    """

    status = ''

    def __init__(self, pairs: list[tuple[str, str]]):
        self._pairs = pairs

    @property
    def headers(self) -> Iterator[str]:
        """The fields as lines of text."""
        return (f'{name}: {value}\r\n' for name, value in self._pairs)

    @property
    def typeheader(self) -> str | None:
        """The media type of the body."""
        return self.get('content-type')

    def items(self) -> list[tuple[str, str]]:
        """Returns the pairs of name and value."""
        return self._pairs

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field, or ``default``."""
        lower_name = name.lower()
        for key, value in self._pairs:
            if key.lower() == lower_name:
                return value
        return default

    def getheader(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field, or ``default``."""
        return self.get(name, default)

    def __delitem__(self, name: str) -> None:
        lower_name = name.lower()
        self._pairs = [
            pair for pair in self._pairs if pair[0].lower() != lower_name
        ]


class _FieldCollector:
    """Collects the fields that httptools finds."""

    def __init__(self) -> None:
        self.pairs: list[tuple[str, str]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a field; called by httptools."""
        self.pairs.append((name.decode('latin-1'), value.decode('latin-1')))


def read_fields(stream: BinaryIO) -> Fields:
    """Reads header fields up to the empty line after them.

    >>> import io
    >>> read_fields(io.BytesIO(b'Host: a\\r\\n\\r\\nbody')).items()
    [('Host', 'a')]
    >>> read_fields(io.BytesIO(b'Content-Length : 3\\r\\n\\r\\n'))
    Traceback (most recent call last):
    ...
    jayseam.node.fields.FramingError: a malformed field

    Raises:
      FramingError: If a line is not a valid field, a line is too long, there
        are too many fields, or the stream ends before the empty line.
    """
    lines = [_REQUEST_LINE]
    while lines[-1] != _CRLF:
        if len(lines) > MAX_FIELDS + 1:
            raise FramingError('too many fields')
        line = stream.readline(_MAX_LINE_BYTES + 1)
        if not line.endswith(_CRLF) or len(line) > _MAX_LINE_BYTES:
            raise FramingError('a malformed field')
        lines.append(line)
    collector = _FieldCollector()
    try:
        # A request to upgrade to another protocol is ignored.
        with contextlib.suppress(httptools.HttpParserUpgrade):
            httptools.HttpRequestParser(collector).feed_data(b''.join(lines))
    except httptools.HttpParserError as error:
        raise FramingError('a malformed field') from error
    return Fields(collector.pairs)
