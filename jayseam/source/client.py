"""A client of the platform's configuration service and VM list."""

import re
import urllib.parse
from collections.abc import Sequence
from typing import Protocol

import attrs

from jayseam.core import digests
from jayseam.core import versionnumbers
from jayseam.source import endpoints
from jayseam.source import errors

MAX_BODY_BYTES = 1_000_000
# The VM list is not a stored value; 670 VMs take about 100 kB.
MAX_VMS_BODY_BYTES = 4_000_000
_REVISION = re.compile(r'[0-9]{1,18}')
# A watch may be answered only at the end of its wait, to which this is added.
DEFAULT_TIMEOUT_S = 2.0
DEFAULT_CONNECT_TIMEOUT_S = 1.0
# A replica that answers watches without a wait would otherwise be read in a
# tight loop. A change is found later by this much at the most.
MIN_READ_INTERVAL_S = 1.0


@attrs.frozen
class Reply:
    """A reply of the source.

    Attributes:
      revision: Revision of the value; None if a 304 reply has none.
      body: The value, or None if there is no newer value (304).
      requested_at: Time at which the request was made, in seconds.
      received_at: Time at which the whole reply had arrived, in seconds.
    """

    revision: int | None
    body: bytes | None
    requested_at: float
    received_at: float


class Source(Protocol):
    """Interface of a source; a platform may supply another implementation."""

    @property
    def url(self) -> str:
        """URL of the source, for the status page."""

    @property
    def min_read_interval_s(self) -> float:
        """Least seconds between the starts of two reads of a channel.

        It applies after a read that brought nothing new. Zero if the source
        itself makes readers wait.
        """

    @property
    def is_local(self) -> bool:
        """Whether the node reads a copy of its own, so that reads are free."""

    def set_reader_rank(self, rank: int | None) -> None:
        """Sets this node's rank among the readers of its zone, from zero.

        A node that is no reader has the rank None.
        """

    def read_value(
        self,
        key: str,
        after_revision: int | None = None,
        wait_s: float = 0.0,
        after_digest: str = '',
    ) -> Reply:
        """Reads a value, or waits for one newer than ``after_revision``.

        Args:
          key: Key of the value.
          after_revision: Revision that the reader knows; None if there is none.
          wait_s: Time that the source may wait for a newer one, in seconds.
          after_digest: Digest of the content of that revision; empty if it
            isn't known. A source that assigns revisions itself may need it to
            find that the reader's content is outdated.
        """

    def read_vms(
        self,
        after_revision: int | None = None,
        wait_s: float = 0.0,
        after_digest: str = '',
    ) -> Reply:
        """Reads the VM list, or waits for one newer than ``after_revision``."""

    def read_part(self, digest: str) -> bytes:
        """Reads a manifest or part."""


class SourceClient:
    """Reads values from the first of several URLs that replies.

    The URL of the last valid reply is tried first. Connections are reused. Any
    number of greenlets may read concurrently.
    """

    def __init__(
        self,
        urls: Sequence[str],
        timeout_s: float = DEFAULT_TIMEOUT_S,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ):
        """Prepares the client without connecting.

        Args:
          urls: Base URLs of the replicas of the source.
          timeout_s: Timeout of a reply, in seconds, added to the wait of a
            watch.
          connect_timeout_s: Timeout of a connection to one URL, in seconds.

        Raises:
          ValueError: If there is no URL or one is not plain HTTP.
        """
        if not urls:
            raise ValueError('no source URL')
        self._timeout_s = timeout_s
        self._endpoints = [
            endpoints.Endpoint(url, connect_timeout_s) for url in urls
        ]
        self._preferred = 0

    @property
    def url(self) -> str:
        """The URL that is tried first."""
        return self._endpoints[self._preferred].url

    @property
    def min_read_interval_s(self) -> float:
        """Least seconds between two reads of a channel that bring no news."""
        return MIN_READ_INTERVAL_S

    @property
    def is_local(self) -> bool:
        """False, as each read is a request to the service."""
        return False

    def set_reader_rank(self, rank: int | None) -> None:
        """Does nothing, because all readers may watch this source alike."""

    def read_value(
        self,
        key: str,
        after_revision: int | None = None,
        wait_s: float = 0.0,
        after_digest: str = '',
    ) -> Reply:
        """Reads a value, or waits for a newer one.

        Args:
          key: Key of the value, such as ``channels/preset``.
          after_revision: Revision held; the reply has a body only if its
            revision is newer.
          wait_s: Time that the source may wait for a newer revision, in
            seconds.
          after_digest: Not used, as the service numbers its revisions.

        Raises:
          SourceError: The error of the last URL, if none gave a valid reply.
        """
        del after_digest
        path = f'/v1/values/{urllib.parse.quote(key)}'
        return self._read(path, after_revision, wait_s, MAX_BODY_BYTES)

    def read_vms(
        self,
        after_revision: int | None = None,
        wait_s: float = 0.0,
        after_digest: str = '',
    ) -> Reply:
        """Reads the VM list, or waits for a newer one.

        Raises:
          SourceError: The error of the last URL, if none gave a valid reply.
        """
        del after_digest
        return self._read('/v1/vms', after_revision, wait_s, MAX_VMS_BODY_BYTES)

    def read_part(self, digest: str) -> bytes:
        """Reads a manifest or part and checks its digest.

        Raises:
          SourceError: The error of the last URL, if none gave a valid reply.
        """
        path = f'/v1/values/parts/{urllib.parse.quote(digest)}'
        return self._read(path, None, 0.0, MAX_BODY_BYTES, digest).body

    def close(self) -> None:
        """Closes the idle connections."""
        for endpoint in self._endpoints:
            endpoint.close()

    def _read(
        self, path, after_revision, wait_s, max_bytes, digest=None
    ) -> Reply:
        if after_revision is not None:
            after = versionnumbers.shorten(after_revision)
            path += f'?after={after}&wait_s={wait_s:g}'
        failure: errors.SourceError | None = None
        first = self._preferred
        for step in range(len(self._endpoints)):
            index = (first + step) % len(self._endpoints)
            try:
                reply = self._read_endpoint(
                    self._endpoints[index],
                    path,
                    after_revision,
                    wait_s,
                    max_bytes,
                )
                _check_digest(reply, digest)
            except errors.SourceBudgetError:
                # Asking another replica would use the shared budget as well.
                raise
            except errors.SourceError as error:
                failure = error
            else:
                self._preferred = index
                return reply
        raise failure

    def _read_endpoint(
        self, endpoint, path, after_revision, wait_s, max_bytes
    ) -> Reply:
        """Sends one request and parses the reply."""
        limit_s = self._timeout_s + (
            wait_s if after_revision is not None else 0.0
        )
        return _parse_reply(
            endpoint.url,
            endpoint.fetch(path, limit_s, max_bytes),
            after_revision,
        )


def _parse_reply(url, reply: endpoints.RawReply, after_revision) -> Reply:
    status = reply.status
    if status == 429:
        raise errors.SourceBudgetError(f'{url}: read budget exceeded')
    if status == 404:
        raise errors.ValueMissingError(f'{url}: no such value')
    revision = _parse_revision(url, reply.headers.get('Revision'))
    if status == 304 and after_revision is not None:
        return Reply(revision, None, reply.requested_at, reply.received_at)
    if status != 200:
        raise errors.SourceReplyError(f'{url}: status {status}')
    if revision is None:
        raise errors.SourceReplyError(f'{url}: no Revision header')
    if reply.ends_with_connection:
        raise errors.SourceReplyError(f'{url}: a value without a length')
    return Reply(revision, reply.body, reply.requested_at, reply.received_at)


def _parse_revision(url: str, value) -> int | None:
    if value is None:
        return None
    if not isinstance(value, str) or not _REVISION.fullmatch(value.strip()):
        raise errors.SourceReplyError(f'{url}: invalid Revision header')
    # A revision of this source is the short form of a version number.
    return versionnumbers.expand(int(value))


def _check_digest(reply: Reply, digest: str | None) -> None:
    if digest is None or digests.compute_digest(reply.body) == digest:
        return
    raise errors.SourceReplyError(f'part {digest} does not match its digest')
