"""Requests to and answers of a backend server, and their HTTP/1.1 encoding.

References:
  RFC 9110, section 7.6.1 (hop-by-hop headers); RFC 9112 (message syntax).
"""

import functools
import re
from collections.abc import Iterable, Sequence

import attrs
from geventhttpclient import response

from jayseam.backends import dialects
from jayseam.backends import errors
from jayseam.core import statuses

Headers = Sequence[tuple[str, str]]

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Request fields that aren't forwarded: the client writes them itself, or they
# have no use for a request whose body is already complete.
_NOT_FORWARDED = HOP_BY_HOP | {'content-length', 'expect'}
MAX_HEAD_BYTES = 64 * 1024
MAX_INTERIM_ANSWERS = 32
_HEAD_START = b'HTTP/1.'
_HEAD_END = b'\r\n\r\n'
_TARGET = re.compile(r'[!-~]+')
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


@attrs.frozen
class BackendRequest:
    """A call for the backend server.

    Attributes:
      request_id: Id of the call, sent as ``Request-Id``.
      method: HTTP method.
      path: Path with its query.
      headers: Header fields in order; hop-by-hop fields are not sent.
      body: Whole body.
      shed_retryable: Whether a 503 with ``Shed: not-run`` is trusted.
      kind: Calls of one kind share a latency baseline, for example a route.
    """

    request_id: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b''
    shed_retryable: bool = True
    kind: str = ''


@attrs.frozen
class BackendAnswer:
    """A complete answer of the backend server.

    Attributes:
      status: HTTP status code.
      headers: Header fields in order, without hop-by-hop fields.
      body: Whole body, without transfer coding.
    """

    status: int
    headers: Headers = ()
    body: bytes = b''


def find_header(headers: Headers, name: str) -> str | None:
    """Returns the first value of a header field, or None.

    Args:
      headers: Header fields.
      name: Field name in lower case.

    >>> find_header([('Shed', 'not-run')], 'shed')
    'not-run'
    """
    for field, value in headers:
        if field.lower() == name:
            return value
    return None


def is_shed(
    answer: BackendAnswer, dialect: dialects.Dialect = dialects.DEFAULT
) -> bool:
    """Returns whether the backend server says that it shed the call.

    >>> is_shed(BackendAnswer(503, [('Shed', 'not-run')]))
    True
    """
    return dialect.is_not_run(answer.status, answer.headers)


def strip_hop_by_hop(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the header fields that may be forwarded.

    Fields named by ``Connection`` are hop-by-hop as well.

    >>> strip_hop_by_hop([('Connection', 'x-trace'), ('X-Trace', '1'),
    ...                   ('Keep-Alive', '5'), ('ETag', 'a')])
    [('ETag', 'a')]
    """
    end_to_end = []
    connection_options: set[str] = set()
    for name, value in headers:
        lower = name.lower()
        if lower not in HOP_BY_HOP:
            end_to_end.append((name, value))
        elif lower == 'connection':
            connection_options.update(
                v.strip().lower() for v in value.split(',')
            )
    if connection_options - {'close', 'keep-alive'}:
        return [
            (n, v) for n, v in end_to_end if n.lower() not in connection_options
        ]
    return end_to_end


@functools.lru_cache(maxsize=1024)
def _is_token(name: str) -> bool:
    """Returns whether a name is a token; cached, because few names occur."""
    return _TOKEN.fullmatch(name) is not None


def encode_request(
    request: BackendRequest,
    host: str,
    time_left_ms: int,
    dialect: dialects.Dialect = dialects.DEFAULT,
) -> bytes:
    """Encodes a request.

    Args:
      request: The call.
      host: Value of ``Host`` if the request has none.
      time_left_ms: Time left until the deadline, in milliseconds.
      dialect: Names of the fields that the client writes.

    Raises:
      InvalidRequestError: If a part contains characters that HTTP forbids.

    >>> encode_request(BackendRequest('r-1', 'GET', '/a'), 'b', 50)
    b'GET /a HTTP/1.1\\r\\nHost: b\\r\\nRequest-Id: r-1\\r\\n\
Request-Timeout-Ms: 50\\r\\n\\r\\n'
    """
    method, path = request.method, request.path
    if not _is_token(method) or not _TARGET.fullmatch(path):
        raise errors.InvalidRequestError(f'invalid request {method} {path!r}')
    own_fields = (dialect.request_id.lower(), dialect.timeout_ms.lower())
    lines = [f'{method} {path} HTTP/1.1']
    has_host = False
    for name, value in strip_hop_by_hop(request.headers):
        lower = name.lower()
        if lower in _NOT_FORWARDED or lower in own_fields:
            continue
        if not _is_token(name):
            raise errors.InvalidRequestError(f'invalid header name {name!r}')
        has_host = has_host or lower == 'host'
        lines.append(f'{name}: {value}')
    if not has_host:
        lines.append(f'Host: {host}')
    lines.append(f'{dialect.request_id}: {request.request_id}')
    lines.append(f'{dialect.timeout_ms}: {time_left_ms}')
    if request.body or method in _BODY_METHODS:
        lines.append(f'Content-Length: {len(request.body)}')
    head = '\r\n'.join(lines)
    # A line break inside a value would start another header or request.
    breaks = len(lines) - 1
    if head.count('\n') != breaks or head.count('\r') != breaks:
        raise errors.InvalidRequestError('line break in a header value')
    if '\0' in head:
        raise errors.InvalidRequestError('NUL in a header value')
    try:
        return head.encode('latin-1') + _HEAD_END + request.body
    except UnicodeEncodeError as error:
        raise errors.InvalidRequestError(str(error)) from error


class AnswerReader(response.HTTPResponseParser):
    """Parses one answer incrementally and checks that it is complete.

    The head is passed to the parser in one piece, so that the parser reports
    each field name and value in one callback. The callbacks are the `append`
    methods of two lists, which avoids a Python frame for each header field.
    Trailer fields, which may be many, aren't stored.

    >>> reader = AnswerReader('GET', max_bytes=100)
    >>> reader.receive(b'HTTP/1.1 200 OK\\r\\nContent-Le')
    False
    >>> reader.receive(b'ngth: 2\\r\\n\\r\\nok')
    True
    >>> reader.build_answer()
    BackendAnswer(status=200, headers=[('Content-Length', '2')], body=b'ok')
    """

    __slots__ = (
        '_no_body',
        '_max_bytes',
        '_unsized',
        '_ends_with_connection',
        '_received',
        '_head',
        '_head_done',
        '_n_interim',
        '_headers',
        '_status',
        '_complete',
        '_malformed',
        '_trailing',
        '_names',
        '_values',
        '_body',
        '_on_header_field',
        '_on_header_value',
        '_on_body',
    )

    def __init__(self, method: str, max_bytes: int, unsized: bool = False):
        """Creates a reader of the answer to one request.

        Args:
          method: Method of the request.
          max_bytes: Greatest size of the body, in bytes.
          unsized: Whether the end of the connection may end an answer that has
            no length. A reset connection is no such end.
        """
        super().__init__()
        self._unsized = unsized
        self._ends_with_connection = False
        self._no_body = method == 'HEAD'
        self._max_bytes = max_bytes
        self._received = 0
        self._head = b''
        self._head_done = False
        self._n_interim = 0
        self._headers: Headers = ()
        self._status = 0
        self._complete = False
        self._malformed = False
        self._trailing = False
        self._names: list[str] = []
        self._values: list[str] = []
        self._body = bytearray()
        self._on_header_field = self._names.append
        self._on_header_value = self._values.append
        self._on_body = self._body.extend

    def receive(self, data: bytes) -> bool:
        """Parses the next bytes of the connection.

        Args:
          data: Bytes as received; empty when the connection was closed.

        Returns:
          Whether the answer is complete.

        Raises:
          OutcomeUnknownError: If the answer is cut short, breaks the rules of
            HTTP/1.1, has no explicit end or is too large.
        """
        if not data and self._ends_with_connection:
            self._complete = True
            return True
        if not data:
            raise errors.OutcomeUnknownError(
                'connection-lost', 'closed before the answer was whole'
            )
        self._received += len(data)
        if self._received > self._max_bytes + MAX_HEAD_BYTES:
            raise errors.OutcomeUnknownError('too-large')
        if self._head_done:
            self._feed(data)
        else:
            self._receive_head(data)
        # The rest of the body, or of a chunk, as its sender announced it.
        if self.get_remaining_content_length() > self._max_bytes:
            raise errors.OutcomeUnknownError('too-large', 'announced length')
        return self._complete

    def build_answer(self) -> BackendAnswer:
        """Returns the complete answer."""
        if len(self._body) > self._max_bytes:
            raise errors.OutcomeUnknownError('too-large')
        return BackendAnswer(self._status, self._headers, bytes(self._body))

    def is_reusable(self) -> bool:
        """Returns whether the connection can carry another request."""
        return (
            self._complete
            and not self._trailing
            and not self._ends_with_connection
            and self.should_keep_alive()
        )

    def _receive_head(self, data: bytes) -> None:
        data = self._head + data if self._head else data
        while True:
            start = data[: len(_HEAD_START)]
            if not _HEAD_START.startswith(start):
                raise errors.OutcomeUnknownError('framing', 'no HTTP/1')
            end = data.find(_HEAD_END)
            if end < 0:
                if len(data) > MAX_HEAD_BYTES:
                    raise errors.OutcomeUnknownError('too-large', 'head')
                self._head = data
                return
            # The status code follows ``HTTP/1.1 ``.
            if data[9:10] != b'1':
                break
            end += len(_HEAD_END)
            self._skip_interim(data[:end])
            data = data[end:]
        self._head_done = True
        self._feed(data)
        self._finish_head()

    def _skip_interim(self, head: bytes) -> None:
        self._n_interim += 1
        if self._n_interim > MAX_INTERIM_ANSWERS:
            raise errors.OutcomeUnknownError('too-large', 'interim answers')
        self._feed(head)
        if self._status == 101:
            raise errors.OutcomeUnknownError('framing', 'protocol switch')
        self._complete = False
        self._names.clear()
        self._values.clear()
        self._on_header_field = self._names.append
        self._on_header_value = self._values.append

    def _finish_head(self) -> None:
        # The parser takes any three digits.
        if not statuses.is_final(self._status):
            raise errors.OutcomeUnknownError(
                'framing', f'invalid status {self._status:03}'
            )
        if self._malformed:
            raise errors.OutcomeUnknownError('framing', 'broken header field')
        sized = self._complete or _has_explicit_end(self._headers)
        if not sized and self._unsized:
            self._ends_with_connection = True
        elif not sized:
            # Without a length, a lost connection looks like the end.
            raise errors.OutcomeUnknownError('framing', 'no explicit length')
        self._headers = strip_hop_by_hop(self._headers)

    def _feed(self, data: bytes) -> None:
        try:
            self.feed(data)
        except response.HTTPParseError as error:
            if not self._complete:
                raise errors.OutcomeUnknownError(
                    'framing', str(error)
                ) from error
            self._trailing = True

    def _on_message_begin(self) -> None:
        if self._complete:
            self._trailing = True
            raise response.HTTPParseError('data after the end of the answer')

    def _on_status(self, reason: str) -> None:
        del reason

    def _on_headers_complete(self) -> bool:
        # Trailer fields come later through the same callbacks; they are
        # dropped, as RFC 9110, section 6.5.1, allows.
        self._on_header_field = _drop
        self._on_header_value = _drop
        self._malformed = len(self._names) != len(self._values)
        self._headers = list(zip(self._names, self._values))
        self._status = self.get_code()
        return self._no_body

    def _on_message_complete(self) -> None:
        self._complete = True


def _drop(text: str) -> None:
    del text


def _has_explicit_end(headers: Headers) -> bool:
    for name, value in headers:
        lower = name.lower()
        if lower == 'content-length':
            return True
        if lower == 'transfer-encoding':
            return value.lower().rpartition(',')[2].strip() == 'chunked'
    return False
