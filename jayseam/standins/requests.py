"""Requests to the backend stand-in: headers, body and credentials."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs

from jayseam.standins import serving

_KEY_HEADERS = ('Authorization', 'X-Api-Key')
_KEY_PARAMETERS = ('api_key', 'key', 'access_token')


@attrs.frozen
class Request:
    """A WSGI request whose body has been read.

    Attributes:
      environ: The WSGI environment.
      body: The whole body.
      arrived: When it arrived, seconds of `clocks.read_now`.
    """

    environ: Mapping[str, Any]
    body: bytes
    arrived: float

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self.environ['REQUEST_METHOD']

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.environ['PATH_INFO']

    def has_header(self, name: str) -> bool:
        """Returns whether the request has a header."""
        return to_wsgi(name) in self.environ

    def header(self, name: str, default: str = '') -> str:
        """Returns the value of a header."""
        return self.environ.get(to_wsgi(name), default)

    def numeric_header(self, name: str) -> float | None:
        """Returns a header as a number; None if it is not a number."""
        try:
            return float(self.header(name))
        except ValueError:
            return None

    def contains_key(self, secrets: Sequence[str]) -> bool:
        """Returns whether the request contains anything that may be a key.

        Args:
          secrets: Texts that no header, path or body may contain.
        """
        if any(self.has_header(name) for name in _KEY_HEADERS):
            return True
        query = serving.parse_query(self.environ)
        if any(name in query for name in _KEY_PARAMETERS):
            return True
        texts = list(self._list_texts())
        return any(secret in text for secret in secrets for text in texts)

    def _list_texts(self) -> Iterator[str]:
        for name, value in self.environ.items():
            if name.startswith('HTTP_'):
                yield value
        yield self.environ.get('QUERY_STRING', '')
        yield self.path
        yield self.body.decode('latin-1')


def to_wsgi(header: str) -> str:
    """Returns the key of a header in the WSGI environment.

    >>> to_wsgi('X-Nest')
    'HTTP_X_NEST'
    """
    return 'HTTP_' + header.upper().replace('-', '_')
