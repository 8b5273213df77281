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
    """The version turned out to be held, older or rejected."""


class InvalidVersionError(errors.DistributionError):
    """The version is invalid whatever its other parts hold.

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
      offer: What it holds now.
    """

    def __init__(self, offer: offers.Offer):
        super().__init__('the holder has moved on')
        self.offer = offer


class Puller:
    """Pulls the parts of one channel.

    Parts already pulled stay for the next try at another holder.
    """

    def __init__(
        self,
        channel: str,
        request: Callable[[str, Any, float], Any],
        client: source_client.SourceClient | None,
        judge: Callable[[str, int, str], versions.Verdict],
        read_cache: Callable[[], distribution_parts.PartCache],
        counters: distribution_counters.Counters,
        timeout_s: float,
    ):
        """Prepares the puller.

        Args:
          channel: Channel to pull.
          request: ``request(vm, message, timeout_s)`` sends to a peer.
          client: Client of the source, None without one.
          judge: Judges channel, version and digest.
          read_cache: Returns the part cache of the channel.
          counters: Metrics.
          timeout_s: Time for one reply of a peer, in seconds.
        """
        self._channel = channel
        self._request = request
        self._client = client
        self._judge = judge
        self._read_cache = read_cache
        self._counters = counters
        self._timeout_s = timeout_s
        self._parts: dict[str, bytes] = {}

    @property
    def parts(self) -> Mapping[str, bytes]:
        """Parts pulled so far that the cache lacks, by digest."""
        return self._parts

    def clear(self) -> None:
        """Forgets the parts pulled so far."""
        self._parts = {}

    def pull(self, offer: offers.Offer) -> tuple[versions.Version, bytes]:
        """Returns a version and its manifest, once all its parts are here.

        Raises:
          UnwantedError: If the version is not newer any more.
          InvalidVersionError: If its manifest or size is invalid.
          DistributionError: If the holder gave no usable reply.
          SourceError: If the source gave no valid reply.
        """
        if offer.bundle is not None:
            return self._take_bundle(offer.version, offer.bundle)
        if offer.holder == offers.SOURCE:
            return self._pull_from_source(offer)
        return self._pull_from_peer(offer)

    def read_manifest(self, manifest: bytes) -> documents.Manifest:
        """Parses a manifest of the channel.

        Raises:
          PresetRejectedError: With every reason found.
        """
        parsed = documents.read_manifest(manifest)
        if parsed.kind != self._channel:
            raise preset_errors.PresetRejectedError(
                [f'manifest.kind: {parsed.kind} in channel {self._channel}']
            )
        return parsed

    def _take_bundle(self, version: int, bundle: documents.Bundle):
        named = self._name(version, bundle.digest)
        self._keep_parts(bundle.parts, bundle.parts)
        return named, bundle.manifest

    def _name(self, version: int, digest: str) -> versions.Version:
        """Returns the version if it is still newer."""
        verdict = self._judge(self._channel, version, digest)
        if verdict is not versions.Verdict.NEWER:
            raise UnwantedError()
        return versions.Version(self._channel, version, digest)

    # From the source.

    def _pull_from_source(self, offer) -> tuple[versions.Version, bytes]:
        version = self._name(offer.version, offer.digest)
        manifest = self._client.read_part(offer.digest)
        lacking = self._find_lacking(version, manifest)
        total = self._count_cached(manifest) + self._count_pulled()
        for digest in sorted(lacking):
            self._parts[digest] = self._client.read_part(digest)
            total += len(self._parts[digest])
            if total > documents.MAX_BUNDLE_BYTES:
                self.clear()
                raise InvalidVersionError(version, [documents.TOO_LARGE])
        return version, manifest

    def _count_cached(self, manifest: bytes) -> int:
        """Returns the bytes of the version's parts that are in the cache."""
        needed = documents.read_manifest(manifest).parts.values()
        return sum(
            exchange.read_content_size(data)
            for digest, data in self._read_cache().held.compressed.items()
            if digest in needed
        )

    def _count_pulled(self) -> int:
        return sum(map(len, self._parts.values()))

    # From a peer.

    def _pull_from_peer(self, offer) -> tuple[versions.Version, bytes]:
        have_digest = self._read_cache().held.digest
        reply = self._ask_peer(
            offer, messages.Pull(self._channel, offer.version, have_digest)
        )
        version = self._name(reply.version, reply.digest)
        lacking = self._find_lacking(version, reply.manifest)
        lacking -= self._take_parts(reply, lacking)
        while lacking:
            lacking -= self._pull_wanted(offer, version, have_digest, lacking)
        return version, reply.manifest

    def _pull_wanted(self, offer, version, have_digest, lacking) -> set[str]:
        """Asks for parts by digest; fails if none of them arrives."""
        pull = messages.Pull(
            self._channel,
            version.version,
            have_digest,
            sorted(lacking),
            version.digest,
        )
        reply = self._ask_peer(offer, pull)
        if reply.digest != version.digest:
            raise MovedOnError(
                offers.Offer(offer.holder, reply.version, reply.digest)
            )
        taken = self._take_parts(reply, lacking)
        if not taken:
            raise errors.PullFailedError(f'{len(lacking)} parts not usable')
        return taken

    def _ask_peer(self, offer, pull: messages.Pull) -> messages.Parts:
        reply = self._request(offer.holder, pull, self._timeout_s)
        if not isinstance(reply, messages.Parts):
            raise errors.PullFailedError('the reply is not Parts')
        if reply.channel != self._channel or reply.version < pull.version:
            raise errors.PullFailedError(f'holds only {reply.version}')
        return reply

    def _take_parts(self, reply: messages.Parts, lacking: set[str]) -> set[str]:
        room = documents.MAX_BUNDLE_BYTES - self._count_pulled()
        valid, corrupt = exchange.unpack_parts(reply.parts, lacking, room)
        if corrupt:
            self._counters.corrupt_parts.labels(self._channel).inc(len(corrupt))
        self._parts.update(valid)
        return set(valid)

    # Parts that are here.

    def _find_lacking(self, version, manifest: bytes) -> set[str]:
        """Returns the digests to fetch and drops parts of other versions.

        The manifest's own digest is checked first: damage on the way must not
        condemn the version.
        """
        if digests.compute_digest(manifest) != version.digest:
            raise errors.PullFailedError('the manifest differs from its digest')
        try:
            parsed = self.read_manifest(manifest)
        except preset_errors.PresetRejectedError as error:
            raise InvalidVersionError(version, error.reasons) from error
        needed = set(parsed.parts.values())
        self._keep_parts(needed, {})
        cached = self._read_cache().held.compressed
        return needed.difference(cached, self._parts)

    def _keep_parts(self, needed, more: Mapping[str, bytes]) -> None:
        kept = {k: v for k, v in self._parts.items() if k in needed}
        self._parts = {**kept, **more}
