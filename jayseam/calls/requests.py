"""Requests and answers on the call path, and the filters of their headers."""

import functools
from collections.abc import Iterable

import attrs

from jayseam.backends import dialects
from jayseam.backends import messages as backend_messages

Headers = tuple[tuple[str, str], ...]

_REQUEST_ONLY = frozenset(('authorization', 'content-length', 'expect'))
_ANSWER_ONLY = frozenset(('content-length', 'date', 'server'))
_PRIVATE_PREFIX = 'jayseam-'


@attrs.frozen
class CallRequest:
    """A caller's request.

    Attributes:
      method: HTTP method in upper case.
      path: Path without the query.
      query: Query without the question mark; may be empty.
      headers: Header fields in the received order, names in lower case.
      body: The whole body.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    def get_header(self, name: str) -> str | None:
        """Returns the value of the first field called ``name``."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def host(self) -> str:
        """Value of ``Host`` in lower case, without a port."""
        text = (self.get_header('host') or '').lower()
        return text if text.endswith(']') else text.partition(':')[0]

    def build_target(self) -> str:
        """Returns path and query in the form of a request line."""
        return f'{self.path}?{self.query}' if self.query else self.path


@attrs.frozen
class CallAnswer:
    """An answer to a caller."""

    status: int
    headers: Headers
    body: bytes


def filter_request_headers(
    headers: Iterable[tuple[str, str]],
    dialect: dialects.Dialect = dialects.DEFAULT,
) -> Headers:
    """Returns the header fields that may reach a backend server.

    Drops hop-by-hop fields, fields named by ``Connection``, credentials and the
    fields that jayseam sets itself.

    >>> filter_request_headers([('authorization', 'x'), ('accept', '*/*'),
    ...                         ('connection', 'x-a'), ('x-a', '1')])
    (('accept', '*/*'),)
    """
    dropped = _REQUEST_ONLY | _list_own_fields(dialect)
    if not dialect.keeps_host:
        dropped |= {'host'}
    return _filter_headers(headers, dropped, '')


def filter_answer_headers(
    headers: Iterable[tuple[str, str]],
    dialect: dialects.Dialect = dialects.DEFAULT,
) -> Headers:
    """Returns the header fields of an answer that may reach a caller."""
    dropped = _ANSWER_ONLY | _list_own_fields(dialect)
    return _filter_headers(headers, dropped, dialect.signature_field.lower())


@functools.lru_cache(maxsize=8)
def _list_own_fields(dialect: dialects.Dialect) -> frozenset[str]:
    return frozenset((dialect.request_id.lower(), dialect.timeout_ms.lower()))


def _filter_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str], kept_name: str
) -> Headers:
    pairs = [(name.lower(), value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in pairs
        if name == 'connection'
        for token in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in pairs
        if name not in backend_messages.HOP_BY_HOP
        and name not in dropped
        and name not in named
        and (name == kept_name or not name.startswith(_PRIVATE_PREFIX))
    )
