"""Heads and bodies of callers' requests, read strictly and within bounds."""

import re
from collections.abc import Iterable
from typing import Any, BinaryIO

import gevent
from gevent import pywsgi

from jayseam.calls import errors
from jayseam.calls import requests
from jayseam.node import fields

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADERS_BYTES = 16 * 1024
# Bytes of a body that are read to drop them, and bytes of chunk sizes,
# extensions and trailers.
MAX_INPUT_BYTES = 8 * MAX_BODY_BYTES
MAX_FRAMING_BYTES = 1024 * 1024
# Longest time in which a body arrives, in seconds.
READ_TIMEOUT_S = 10.0
BLOCK_BYTES = 65536
# Bodies and answers up to this size are held without being counted in parts.
UNCOUNTED_BYTES = 16 * 1024
# Keys of a WSGI environment: the handler of the connection, the header fields,
# and the request target as it was sent; PATH_INFO of WSGI is decoded.
HANDLER_KEY = 'jayseam.handler'
HEADERS_KEY = 'jayseam.headers'
TARGET_KEY = 'jayseam.target'
# Reading one byte by itself takes as long as reading many at once.
_SINGLE_BYTE_COST = 16
_COST_PER_PAUSE = 256 * 1024
_PAUSE_S = 0.001
_FORBIDDEN_CHARACTERS = re.compile('[\0\r\n]')


class BoundedInput:
    """Reads a body, and bounds what a caller may send with it.

    The server reads chunk sizes, extensions and trailers byte by byte. While
    there is always more to read, it would let no other greenlet run.

    Args:
      stream: The input of the connection.
      handler: Handler of the connection, which ends with an unread body.

    Attributes:
      is_kept: Whether the bytes read are kept, so that the handler has to take
        memory for them.
    """

    def __init__(self, stream: BinaryIO, handler: pywsgi.WSGIHandler):
        self._stream = stream
        self._handler = handler
        self.is_kept = False
        self._n_bytes = 0
        self._n_framing_bytes = 0
        self._cost = 0
        self._closed = False

    def read(self, size: int = -1) -> bytes:
        """Reads up to ``size`` bytes; empty at the end or beyond a bound.

        Raises:
          NotRunError: If the bytes are kept and there is no memory for them.
        """
        if self.is_kept and size > BLOCK_BYTES:
            return self._read_blocks(size)
        if self._closed:
            return b''
        data = self._stream.read(size)
        if self.is_kept:
            self._handler.hold_body(len(data))
        self._n_bytes += len(data)
        self._cost += len(data)
        if size == 1:
            self._n_framing_bytes += 1
            self._cost += _SINGLE_BYTE_COST
        if (
            self._n_bytes > MAX_INPUT_BYTES
            or self._n_framing_bytes > MAX_FRAMING_BYTES
        ):
            self.close()
        if self._cost >= _COST_PER_PAUSE:
            self._cost = 0
            # Timers don't fire during a sleep of no time.
            gevent.sleep(_PAUSE_S)
        return data

    def _read_blocks(self, size: int) -> bytes:
        """Reads block by block, so that only bytes that came are held."""
        data = bytearray()
        while len(data) < size:
            block = self.read(min(BLOCK_BYTES, size - len(data)))
            if not block:
                break
            data += block
        return bytes(data)

    def close(self) -> None:
        """Ends the input, and the connection after the answer."""
        self._closed = True
        self._handler.close_connection = True


def check_framing(headers: Iterable[tuple[str, str]]) -> None:
    """Checks that header fields determine the request's length unambiguously.

    >>> check_framing([('Content-Length', '3')])
    >>> check_framing([('Content-Length', '3'), ('content-length', '4')])
    Traceback (most recent call last):
    ...
    jayseam.node.fields.FramingError: two lengths

    Raises:
      FramingError: If the request's length is ambiguous.
      HeadersTooLargeError: If the total size of the fields is too large.

    References:
      RFC 9112, section 6.3.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    size = sum(len(name) + len(value) + 4 for name, value in pairs)
    if size > MAX_HEADERS_BYTES:
        raise errors.HeadersTooLargeError(
            f'header fields exceed {MAX_HEADERS_BYTES} bytes'
        )
    lengths = [value for name, value in pairs if name == 'content-length']
    codings = [value for name, value in pairs if name == 'transfer-encoding']
    if len(lengths) > 1:
        raise fields.FramingError('two lengths')
    if lengths and codings:
        raise fields.FramingError('a length and a transfer coding')
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise fields.FramingError('a length that is not a number')
    if len(codings) > 1 or (codings and codings[0].lower() != 'chunked'):
        raise fields.FramingError('an unknown transfer coding')
    if any(_FORBIDDEN_CHARACTERS.search(value) for _, value in pairs):
        raise fields.FramingError('a folded or malformed value')


def read_request(environ: dict[str, Any]) -> requests.CallRequest:
    """Returns the request in a WSGI environment, with its whole body.

    Raises:
      CallError: If the body is too large, truncated or too slow.
    """
    headers = tuple(
        (name.lower(), value.strip()) for name, value in environ[HEADERS_KEY]
    )
    length = int(environ.get('CONTENT_LENGTH') or 0)
    is_chunked = bool(environ.get('HTTP_TRANSFER_ENCODING'))
    stream = environ['wsgi.input']
    if is_chunked or length > UNCOUNTED_BYTES:
        stream.rfile = BoundedInput(stream.rfile, environ[HANDLER_KEY])
    environ[HANDLER_KEY].hold_head()
    if length > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'bodies end at {MAX_BODY_BYTES} bytes')
    body = b''
    if is_chunked:
        try:
            body = _read_body(stream, 0)
        except errors.BadRequestError:
            # Where the next request begins is unknown.
            stream.rfile.close()
            raise
    elif length:
        if length <= UNCOUNTED_BYTES:
            environ[HANDLER_KEY].hold_body(length)
        body = _read_body(stream, length)
        environ[HANDLER_KEY].finish_input()
    path, _, query = environ[TARGET_KEY].partition('?')
    return requests.CallRequest(
        environ['REQUEST_METHOD'],
        path,
        query,
        headers,
        body,
    )


def _read_body(stream: Any, length: int) -> bytes:
    timeout_error = errors.BadRequestError('the body arrives too slowly')
    bounded = stream.rfile if isinstance(stream.rfile, BoundedInput) else None
    with gevent.Timeout(READ_TIMEOUT_S, timeout_error):
        try:
            if bounded is not None:
                bounded.is_kept = True
            body = stream.read(length or MAX_BODY_BYTES + 1)
        except OSError as error:
            raise errors.BadRequestError('the body is malformed') from error
        finally:
            if bounded is not None:
                bounded.is_kept = False
    if len(body) > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'bodies end at {MAX_BODY_BYTES} bytes')
    if length and len(body) != length:
        raise errors.BadRequestError('the body is shorter than its length')
    return body
