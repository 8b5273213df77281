"""HTTP requests to one replica of the source."""

import functools
import urllib.parse
import weakref
from collections.abc import Mapping

import attrs
import gevent
import geventhttpclient
from gevent import socket
from geventhttpclient import header as http_header
from geventhttpclient import response as http_response

from jayseam.core import clocks
from jayseam.core import sockets
from jayseam.source import errors
from jayseam.source import statuslines

_CHUNK_BYTES = 65_536
_MAX_CONNECTIONS = 8
# Time after which a connection is tried without an event, in seconds; a small
# part of the platform's deadlines.
_RECHECK_S = 0.25
# Timers don't fire during a sleep of no time.
_PAUSE_S = 0.001
# Greatest size of a reply with its head and transfer coding, in bytes.
MAX_REPLY_BYTES = 5_000_000
MAX_FIELDS = 256


@attrs.frozen
class RawReply:
    """A whole HTTP reply.

    Attributes:
      status: HTTP status code.
      headers: Header fields by name.
      body: The whole body.
      requested_at: Time at which the request was made, in seconds.
      received_at: Time at which the whole reply had arrived, in seconds.
      ends_with_connection: Whether only the end of the connection ended the
        body; the body of a source that ends on the way looks the same.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    requested_at: float
    received_at: float
    ends_with_connection: bool = False


class _BoundedSocket(socket.socket):
    """A socket that bounds the bytes received since the last request.

    Attributes:
      user: Greenlet that sent the last request.
    """

    user: gevent.Greenlet | None = None
    _received_bytes = 0
    _status_lines: statuslines.StatusLineCheck | None = None

    def sendall(self, data, flags=0):
        """Sends a request."""
        self.user = gevent.getcurrent()
        self._received_bytes = 0
        self._status_lines = statuslines.StatusLineCheck()
        return super().sendall(data, flags)

    def recv(self, *args):
        """Receives a part of the reply, and lets other greenlets run.

        Raises:
          BodyTooLargeError: If the reply is too large.
          SourceReplyError: If its status is outside 100 to 599.
        """
        size = args[0]
        # The limits of a reply are those of `Endpoint.fetch`.
        data = sockets.receive(
            self, size, _RECHECK_S, 'source', read=super().recv
        )
        if len(data) == size:
            # Timeouts can't fire while there is always more to read.
            gevent.sleep(_PAUSE_S)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_REPLY_BYTES:
            raise errors.BodyTooLargeError('the reply is too large')
        if self._status_lines is not None:
            self._status_lines.receive(data)
        return data


class _BoundedHeaders(http_header.Headers):
    """Header and trailer fields of a reply and of interim replies before it."""

    _n_changes = 0

    def add(self, field, value):
        """Adds a field.

        Raises:
          HTTPParseError: If there are too many.
        """
        self._count_change()
        super().add(field, value)

    def clear(self):
        """Forgets the fields of an interim reply.

        Raises:
          HTTPParseError: If there are too many.
        """
        self._count_change()
        super().clear()

    def _count_change(self):
        self._n_changes += 1
        if self._n_changes > MAX_FIELDS:
            raise http_response.HTTPParseError('too many header fields')


class Endpoint:
    """Reads over persistent connections, also from several greenlets at once.

    Args:
      url: Base URL.
      connect_timeout_s: Timeout of a connection, in seconds.
      max_connections: Number of connections. A request that finds its
        connection closed is sent again up to once more than this number.

    Raises:
      ValueError: If the URL is not plain HTTP.
    """

    def __init__(
        self,
        url: str,
        connect_timeout_s: float,
        max_connections: int = _MAX_CONNECTIONS,
    ):
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != 'http' or not parts.hostname:
            raise ValueError(f'source URL {url!r} is not http://host:port')
        self.url = url.rstrip('/')
        self._path = parts.path.rstrip('/')
        self._sockets: weakref.WeakSet[_BoundedSocket] = weakref.WeakSet()
        self.http = geventhttpclient.HTTPClient(
            parts.hostname,
            parts.port or 80,
            concurrency=max_connections,
            connection_timeout=connect_timeout_s,
            # A watch receives nothing for its whole wait, so each request has a
            # limit of its total time instead.
            network_timeout=None,
            block_size=_CHUNK_BYTES,
            headers_type=_BoundedHeaders,
        )
        pool = self.http._connection_pool
        pool.after_connect = sockets.set_nodelay
        pool._create_tcp_socket = self._create_socket
        pool._resolve = functools.partial(
            sockets.resolve, parts.hostname, parts.port or 80
        )

    def fetch(
        self,
        path: str,
        limit_s: float,
        max_bytes: int,
        head_limit_s: float | None = None,
    ) -> RawReply:
        """Sends a GET request and reads the whole reply.

        Args:
          path: Path and query.
          limit_s: Total time for the request and reply, in seconds.
          max_bytes: Size of the largest body allowed.
          head_limit_s: Time until the head of the reply, in seconds; by default
            only the total time is limited.

        Raises:
          SourceTimeoutError: If the whole reply did not arrive in time.
          SourceUnreachableError: If the connection failed.
          BodyTooLargeError: If the body is larger.
          SourceReplyError: If the status is outside 100 to 599.
        """
        requested_at = clocks.read_now()
        reply, body, timeout = None, None, gevent.Timeout(limit_s)
        head_timeout = gevent.Timeout(head_limit_s)
        try:
            with timeout:
                with head_timeout:
                    reply = self.http.get(self._path + path)
                body = _read_body(reply, max_bytes)
        except gevent.Timeout as error:
            if error not in (timeout, head_timeout):
                raise
            raise errors.SourceTimeoutError(
                f'{self.url}: no whole reply within {error.seconds:g} s'
            ) from error
        except (OSError, http_response.HTTPParseError, RuntimeError) as error:
            raise errors.SourceUnreachableError(
                f'{self.url}: {type(error).__name__}: {error}'
            ) from error
        finally:
            # If the reply was not read to its end, this closes the connection.
            if reply is not None:
                reply.release()
            if body is None:
                self._close_used_sockets()
        return RawReply(
            reply.status_code,
            reply,
            body,
            requested_at,
            clocks.read_now(),
            _ends_with_connection(reply),
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self.http.close()

    def _create_socket(self, *args: int) -> socket.socket:
        sock = _BoundedSocket(*args)
        self._sockets.add(sock)
        return sock

    def _close_used_sockets(self) -> None:
        """Closes the connection of a failed read.

        The pool has it already if an interim reply came before the failure.
        """
        for sock in list(self._sockets):
            if sock.user is gevent.getcurrent():
                sock.close()


def _ends_with_connection(reply) -> bool:
    codings = str(reply.get('transfer-encoding') or '').lower()
    return (
        reply.content_length is None
        and codings.rpartition(',')[2].strip() != 'chunked'
    )


def _read_body(reply, max_bytes: int) -> bytes:
    length = reply.content_length
    if length is not None and length > max_bytes:
        raise errors.BodyTooLargeError(f'body of {length} bytes is too large')
    chunks, total = [], 0
    while chunk := reply.read(_CHUNK_BYTES):
        chunks.append(chunk)
        total += len(chunk)
        if total > max_bytes:
            raise errors.BodyTooLargeError(f'body exceeds {max_bytes} bytes')
    if not reply.message_complete:
        raise errors.SourceUnreachableError(
            'the connection closed before the end of the body'
        )
    return b''.join(chunks)
