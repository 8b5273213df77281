"""The header fields of a caller's request.

The standard library parses them with its e-mail parser, which took a tenth of
the entry's processor time. httptools parses them with llhttp, which accepts
less: no folded values, no bare line feeds, no field names that are not tokens,
no two lengths.

References:
  RFC 9110, section 5; RFC 9112, sections 2.2 and 5.
"""

import contextlib
from collections.abc import Iterator
from typing import BinaryIO

import httptools

MAX_FIELDS = 100
_MAX_LINE_BYTES = 65536
_END = b'\r\n'
# The parser reads whole requests; the server has read the real first line.
_REQUEST_LINE = b'GET / HTTP/1.1\r\n'


class FramingError(ValueError):
    """A request whose length can be read in more than one way."""


class Fields:
    """Header fields in their order, as gevent's WSGI server reads them.

    Attributes:
      status: Empty; the server takes other values for a parsing error.

    >>> fields = Fields([('Accept', '*/*'), ('Host', 'node')])
    >>> fields.get('host'), fields.get('expect')
    ('node', None)
    """

    status = ''

    def __init__(self, pairs: list[tuple[str, str]]):
        self._pairs = pairs

    @property
    def headers(self) -> Iterator[str]:
        """The lines of the fields."""
        return (f'{name}: {value}\r\n' for name, value in self._pairs)

    @property
    def typeheader(self) -> str | None:
        """The media type of the body."""
        return self.get('content-type')

    def items(self) -> list[tuple[str, str]]:
        """Returns the names and values."""
        return self._pairs

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field, or ``default``."""
        lower = name.lower()
        for key, value in self._pairs:
            if key.lower() == lower:
                return value
        return default

    def getheader(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field, or ``default``."""
        return self.get(name, default)

    def __delitem__(self, name: str) -> None:
        lower = name.lower()
        self._pairs = [pair for pair in self._pairs if pair[0].lower() != lower]


class _Collector:
    """Takes the fields that the parser finds."""

    def __init__(self) -> None:
        self.pairs: list[tuple[str, str]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a field."""
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
      FramingError: If a line is no field, or there are too many or too long
        ones, or the stream ends before the empty line.
    """
    lines = [_REQUEST_LINE]
    while lines[-1] != _END:
        if len(lines) > MAX_FIELDS + 1:
            raise FramingError('too many fields')
        line = stream.readline(_MAX_LINE_BYTES + 1)
        if not line.endswith(_END) or len(line) > _MAX_LINE_BYTES:
            raise FramingError('a malformed field')
        lines.append(line)
    collector = _Collector()
    try:
        # An upgrade is a field that asks for another protocol; it is ignored.
        with contextlib.suppress(httptools.HttpParserUpgrade):
            httptools.HttpRequestParser(collector).feed_data(b''.join(lines))
    except httptools.HttpParserError as error:
        raise FramingError('a malformed field') from error
    return Fields(collector.pairs)
