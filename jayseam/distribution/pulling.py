"""Pulls the manifest and parts of a version from a peer or the source."""

from collections.abc import Callable, Collection, Mapping
from typing import Any

from jayseam.core import digests
from jayseam.distribution import counters as distribution_counters
from jayseam.distribution import errors
from jayseam.distribution import exchange
from jayseam.distribution import messages
from jayseam.distribution import offers
from jayseam.distribution import parts as distribution_parts
from jayseam.distribution import versions
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.source import client as source_client


class UnwantedError(errors.DistributionError):
    """The version is not newer than the one held, or was rejected before."""


class InvalidVersionError(errors.DistributionError):
    """The version is invalid, whatever its missing parts contain.

    Attributes:
      version: The version.
      reasons: Every reason.
    """

    def __init__(self, version: versions.Version, reasons: Collection[str]):
        super().__init__('; '.join(reasons))
        self.version = version
        self.reasons = tuple(reasons)


class MovedOnError(errors.PullFailedError):
    """The holder has replaced the version that was being pulled.

    Attributes:
      offer: Offer of the version that the holder has now.
    """

    def __init__(self, offer: offers.Offer):
        super().__init__('the holder has replaced the version')
        self.offer = offer


class Puller:
    """Pulls the parts of one channel.

    After a failure, the parts already pulled are kept for the next attempt at
    another holder.
    """

    def __init__(
        self,
        channel: str,
        request: Callable[[str, Any, float], Any],
        client: source_client.SourceClient | None,
        classify: Callable[[str, int, str], versions.Verdict],
        get_cache: Callable[[], distribution_parts.PartCache],
        counters: distribution_counters.Counters,
        timeout_s: float,
    ):
        """Prepares the puller.

        Args:
          channel: Channel to pull.
          request: ``request(vm, message, timeout_s)`` sends to a peer.
          client: Client of the source; None if the node has none.
          classify: Returns the verdict on a channel, version and digest.
          get_cache: Returns the part cache of the channel.
          counters: Metrics.
          timeout_s: Timeout of one request to a peer, in seconds.
        """
        self._channel = channel
        self._request = request
        self._client = client
        self._classify = classify
        self._get_cache = get_cache
        self._counters = counters
        self._timeout_s = timeout_s
        self._parts: dict[str, bytes] = {}

    @property
    def parts(self) -> Mapping[str, bytes]:
        """Parts pulled so far that are not in the cache, by digest."""
        return self._parts

    def clear(self) -> None:
        """Drops the parts pulled so far."""
        self._parts = {}

    def pull(self, offer: offers.Offer) -> tuple[versions.Version, bytes]:
        """Pulls all missing parts and returns the version and its manifest.

        Raises:
          UnwantedError: If the version is no longer newer than the one held.
          InvalidVersionError: If the manifest or the total size is invalid.
          DistributionError: If the holder gave no usable reply.
          SourceError: If the source gave no valid reply.
        """
        if offer.bundle is not None:
            return self._use_bundle(offer.version, offer.bundle)
        if offer.holder == offers.SOURCE:
            return self._pull_from_source(offer)
        return self._pull_from_peer(offer)

    def read_manifest(self, manifest: bytes) -> documents.Manifest:
        """Parses a manifest of the channel.

        Raises:
          PresetRejectedError: With every reason found.
        """
        parsed = documents.parse_manifest(manifest)
        if parsed.kind != self._channel:
            raise preset_errors.PresetRejectedError(
                [f'manifest.kind: {parsed.kind} in channel {self._channel}']
            )
        return parsed

    def _use_bundle(self, version: int, bundle: documents.Bundle):
        newer = self._require_newer(version, bundle.digest)
        self._retain_parts(bundle.parts, bundle.parts)
        return newer, bundle.manifest

    def _require_newer(self, version: int, digest: str) -> versions.Version:
        """Returns the version if it is still newer than the one held.

        Raises:
          UnwantedError: If it is not.
        """
        verdict = self._classify(self._channel, version, digest)
        if verdict is not versions.Verdict.NEWER:
            raise UnwantedError()
        return versions.Version(self._channel, version, digest)

    # Pulls from the source.

    def _pull_from_source(self, offer) -> tuple[versions.Version, bytes]:
        version = self._require_newer(offer.version, offer.digest)
        manifest = self._client.read_part(offer.digest)
        missing = self._find_missing_parts(version, manifest)
        total_bytes = (
            self._count_cached_bytes(manifest) + self._count_pulled_bytes()
        )
        for digest in sorted(missing):
            self._parts[digest] = self._client.read_part(digest)
            total_bytes += len(self._parts[digest])
            if total_bytes > documents.MAX_BUNDLE_BYTES:
                self.clear()
                raise InvalidVersionError(
                    version, [documents.BUNDLE_TOO_LARGE_REASON]
                )
        return version, manifest

    def _count_cached_bytes(self, manifest: bytes) -> int:
        """Returns the bytes of the version's parts that are in the cache."""
        needed = documents.parse_manifest(manifest).parts.values()
        return sum(
            exchange.read_content_size(data)
            for digest, data in self._get_cache().held.compressed.items()
            if digest in needed
        )

    def _count_pulled_bytes(self) -> int:
        return sum(map(len, self._parts.values()))

    # Pulls from a peer.

    def _pull_from_peer(self, offer) -> tuple[versions.Version, bytes]:
        have_digest = self._get_cache().held.digest
        reply = self._request_parts(
            offer, messages.Pull(self._channel, offer.version, have_digest)
        )
        version = self._require_newer(reply.version, reply.digest)
        missing = self._find_missing_parts(version, reply.manifest)
        missing -= self._store_parts(reply, missing)
        while missing:
            missing -= self._pull_missing(offer, version, have_digest, missing)
        return version, reply.manifest

    def _pull_missing(self, offer, version, have_digest, missing) -> set[str]:
        """Asks for missing parts by digest and returns those that arrived.

        Raises:
          PullFailedError: If no valid part arrived.
        """
        pull = messages.Pull(
            self._channel,
            version.version,
            have_digest,
            sorted(missing),
            version.digest,
        )
        reply = self._request_parts(offer, pull)
        if reply.digest != version.digest:
            raise MovedOnError(
                offers.Offer(offer.holder, reply.version, reply.digest)
            )
        stored = self._store_parts(reply, missing)
        if not stored:
            raise errors.PullFailedError(
                f'none of {len(missing)} missing parts was received'
            )
        return stored

    def _request_parts(self, offer, pull: messages.Pull) -> messages.Parts:
        reply = self._request(offer.holder, pull, self._timeout_s)
        if not isinstance(reply, messages.Parts):
            raise errors.PullFailedError(
                'the reply to a pull is not a Parts message'
            )
        if reply.channel != self._channel or reply.version < pull.version:
            raise errors.PullFailedError(
                f'the peer holds only version {reply.version}'
            )
        return reply

    def _store_parts(
        self, reply: messages.Parts, missing: set[str]
    ) -> set[str]:
        limit_bytes = documents.MAX_BUNDLE_BYTES - self._count_pulled_bytes()
        valid, corrupt = exchange.unpack_parts(
            reply.parts, missing, limit_bytes
        )
        if corrupt:
            self._counters.corrupt_parts.labels(self._channel).inc(len(corrupt))
        self._parts.update(valid)
        return set(valid)

    # Bookkeeping of the parts.

    def _find_missing_parts(self, version, manifest: bytes) -> set[str]:
        """Returns the digests to fetch and drops parts of other versions.

        The digest of the manifest is checked first, so that a version is not
        rejected because its manifest was damaged in transit.
        """
        if digests.compute_digest(manifest) != version.digest:
            raise errors.PullFailedError(
                'the manifest does not match its digest'
            )
        try:
            parsed = self.read_manifest(manifest)
        except preset_errors.PresetRejectedError as error:
            raise InvalidVersionError(version, error.reasons) from error
        needed = set(parsed.parts.values())
        self._retain_parts(needed, {})
        cached = self._get_cache().held.compressed
        return needed.difference(cached, self._parts)

    def _retain_parts(self, needed, added: Mapping[str, bytes]) -> None:
        kept = {k: v for k, v in self._parts.items() if k in needed}
        self._parts = {**kept, **added}
