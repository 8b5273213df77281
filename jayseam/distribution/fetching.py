"""Fetches the versions of one channel from peers and the source."""

import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import digests
from jayseam.core import errors as core_errors
from jayseam.core import logs
from jayseam.distribution import counters as distribution_counters
from jayseam.distribution import errors
from jayseam.distribution import exchange
from jayseam.distribution import messages
from jayseam.distribution import parts as distribution_parts
from jayseam.distribution import versions
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.presets import verification
from jayseam.source import backoff
from jayseam.source import client as source_client

SOURCE = ''
DEFAULT_PULL_TIMEOUT_S = 1.0
# Verification yields to other greenlets at least this often, as far as single
# steps of the JSON parser and compressor allow.
_SLICE_S = 0.002
_VERIFIERS: Mapping[str, Callable[..., Any]] = {
    'preset': verification.verify_preset,
    'keys': verification.verify_keys,
    'vms': verification.verify_vms,
}
_log = logs.get_logger(__name__)


@attrs.frozen
class Offer:
    """A version that a holder is said to have.

    Attributes:
      holder: VM name, or `SOURCE`.
      version: Revision.
      digest: Digest, or its first characters, or empty.
      bundle: The content, if it came with the offer.
    """

    holder: str
    version: int
    digest: str
    bundle: documents.Bundle | None = None


@attrs.frozen
class Fetched:
    """A whole verified version, ready to be put in force.

    Attributes:
      version: The version.
      value: The preset, key set or VM list.
      held: Its parts for the cache.
    """

    version: versions.Version
    value: Any
    held: distribution_parts.HeldParts


@attrs.frozen
class Refused:
    """A version that failed verification.

    Attributes:
      version: The version.
      reasons: Every reason.
    """

    version: versions.Version
    reasons: tuple[str, ...]


class Pauser:
    """Yields to other greenlets when a slice of time is used up."""

    def __init__(self, slice_s: float = _SLICE_S):
        self._slice_s = slice_s
        self._started_at = clocks.read_now()

    def __call__(self) -> None:
        if clocks.read_now() - self._started_at >= self._slice_s:
            gevent.sleep(0)
            self._started_at = clocks.read_now()


class ChannelFetcher:
    """Fetches and verifies the greatest version offered, one at a time.

    Parts already fetched stay for the next try at another holder. Nothing is
    handed on before the whole version is verified.
    """

    def __init__(
        self,
        channel: str,
        request: Callable[[str, Any, float], Any],
        client: source_client.SourceClient | None,
        judge: Callable[[str, int, str], versions.Verdict],
        read_cache: Callable[[], distribution_parts.PartCache],
        deliver: Callable[[Fetched | Refused], Any],
        counters: distribution_counters.Counters,
        pull_timeout_s: float = DEFAULT_PULL_TIMEOUT_S,
        uniform: Callable[[], float] = random.random,
    ):
        """Prepares the fetcher.

        Args:
          channel: Channel to fetch.
          request: ``request(vm, message, timeout_s)`` sends to a peer.
          client: Client of the source, None without one.
          judge: Judges channel, version and digest.
          read_cache: Returns the part cache of the channel.
          deliver: Takes a result; returns when it has been handled.
          counters: Metrics.
          pull_timeout_s: Time for one reply of a peer, in seconds.
          uniform: Returns a random number in [0, 1).
        """
        self.channel = channel
        self._request = request
        self._client = client
        self._judge = judge
        self._read_cache = read_cache
        self._deliver = deliver
        self._counters = counters
        self._pull_timeout_s = pull_timeout_s
        self._uniform = uniform
        self._offers: dict[str, Offer] = {}
        self._scratch: dict[str, bytes] = {}
        self._shapes = verification.ShapeCache()
        self._source_backoff = backoff.Backoff()
        self._wake = event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that fetches."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the greenlet; an unfinished fetch is dropped."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def add(self, offer: Offer) -> None:
        """Notes an offer; a holder's greatest version counts."""
        known = self._offers.get(offer.holder)
        if known is None or known.version <= offer.version:
            self._offers[offer.holder] = offer
            self._wake.set()

    def count_offers(self) -> int:
        """Returns the number of holders with an offer that is not settled."""
        return len(self._offers)

    def _run(self) -> None:
        while True:
            offer = self._choose_offer()
            if offer is not None:
                self._try_offer(offer)
                continue
            wait_s = None
            if SOURCE in self._offers:
                wait_s = self._source_backoff.compute_wait(clocks.read_now())
            self._wake.wait(wait_s)
            self._wake.clear()

    def _choose_offer(self) -> Offer | None:
        """Drops settled offers and returns the best of the others.

        Peers come before the source, whose reads are limited.
        """
        self._offers = {
            holder: offer
            for holder, offer in self._offers.items()
            if self._judge(self.channel, offer.version, offer.digest)
            is versions.Verdict.NEWER
        }
        now = clocks.read_now()
        ready = [
            offer
            for offer in self._offers.values()
            if offer.holder != SOURCE
            or offer.bundle is not None
            or self._source_backoff.compute_wait(now) == 0.0
        ]
        return max(
            ready,
            key=lambda o: (o.version, o.holder != SOURCE, self._uniform()),
            default=None,
        )

    def _try_offer(self, offer: Offer) -> None:
        holder = 'source' if offer.holder == SOURCE else 'peer'
        try:
            self._fetch(offer)
        except (core_errors.JayseamError, gevent.Timeout) as error:
            self._counters.pulls.labels(self.channel, holder, 'failed').inc()
            _log.warning(
                'distribution.pull_failed',
                extra={
                    'channel': self.channel,
                    'version': offer.version,
                    'holder': offer.holder or 'source',
                    'error': f'{type(error).__name__}: {error}',
                },
            )
            self._note_failure(offer)
        except Exception:  # pylint: disable=broad-exception-caught
            # A fault in one fetch must not end the fetches of later versions.
            _log.exception(
                'distribution.pull_crashed', extra={'channel': self.channel}
            )
            self._note_failure(offer)
        else:
            self._counters.pulls.labels(self.channel, holder, 'done').inc()
            if offer.holder == SOURCE:
                self._source_backoff = self._source_backoff.succeed()
            if self._offers.get(offer.holder) is offer:
                del self._offers[offer.holder]

    def _note_failure(self, offer: Offer) -> None:
        """A peer repeats its offer by heartbeat; the source does not."""
        if offer.holder == SOURCE:
            self._source_backoff = self._source_backoff.fail(
                clocks.read_now(), self._uniform()
            )
        elif self._offers.get(offer.holder) is offer:
            del self._offers[offer.holder]

    def _fetch(self, offer: Offer) -> None:
        try:
            if offer.bundle is not None:
                version = self._name(offer.version, offer.bundle.digest)
                manifest = offer.bundle.manifest
                self._keep_parts(offer.bundle.parts, offer.bundle.parts)
            elif offer.holder == SOURCE:
                version, manifest = self._pull_from_source(offer)
            else:
                version, manifest = self._pull_from_peer(offer)
        except _Unwanted:
            return
        self._finish(version, manifest)

    def _name(self, version: int, digest: str) -> versions.Version:
        """Raises _Unwanted unless the version is still newer."""
        verdict = self._judge(self.channel, version, digest)
        if verdict is not versions.Verdict.NEWER:
            raise _Unwanted()
        return versions.Version(self.channel, version, digest)

    def _pull_from_source(self, offer) -> tuple[versions.Version, bytes]:
        version = self._name(offer.version, offer.digest)
        manifest = self._client.read_part(offer.digest)
        lacking = self._find_lacking(version, manifest)
        cached = self._read_cache().held
        total = sum(
            exchange.read_content_size(data)
            for digest, data in cached.compressed.items()
            if digest in documents.read_manifest(manifest).parts.values()
        )
        total += sum(map(len, self._scratch.values()))
        for digest in sorted(lacking):
            self._scratch[digest] = self._client.read_part(digest)
            total += len(self._scratch[digest])
            if total > documents.MAX_BUNDLE_BYTES:
                self._scratch = {}
                self._deliver(Refused(version, (documents.TOO_LARGE,)))
                raise _Unwanted()
        return version, manifest

    def _pull_from_peer(self, offer) -> tuple[versions.Version, bytes]:
        have_digest = self._read_cache().held.digest
        reply = self._ask_peer(
            offer, messages.Pull(self.channel, offer.version, have_digest)
        )
        version = self._name(reply.version, reply.digest)
        manifest = reply.manifest
        lacking = self._find_lacking(version, manifest)
        lacking -= self._take_parts(reply, lacking)
        while lacking:
            lacking -= self._pull_wanted(offer, version, have_digest, lacking)
        return version, manifest

    def _pull_wanted(self, offer, version, have_digest, lacking) -> set[str]:
        """Asks for parts by digest; fails if none of them arrives."""
        pull = messages.Pull(
            self.channel,
            version.version,
            have_digest,
            sorted(lacking),
            version.digest,
        )
        reply = self._ask_peer(offer, pull)
        if reply.digest != version.digest:
            self.add(Offer(offer.holder, reply.version, reply.digest))
            raise errors.PullFailedError('the holder has moved on')
        taken = self._take_parts(reply, lacking)
        if not taken:
            raise errors.PullFailedError(f'{len(lacking)} parts not usable')
        return taken

    def _ask_peer(self, offer: Offer, pull: messages.Pull) -> messages.Parts:
        reply = self._request(offer.holder, pull, self._pull_timeout_s)
        if not isinstance(reply, messages.Parts):
            raise errors.PullFailedError('the reply is not Parts')
        if reply.channel != self.channel or reply.version < pull.version:
            raise errors.PullFailedError(f'holds only {reply.version}')
        return reply

    def _take_parts(self, reply: messages.Parts, lacking: set[str]) -> set[str]:
        room = documents.MAX_BUNDLE_BYTES - sum(
            map(len, self._scratch.values())
        )
        valid, corrupt = exchange.unpack_parts(reply.parts, lacking, room)
        if corrupt:
            self._counters.corrupt_parts.labels(self.channel).inc(len(corrupt))
        self._scratch.update(valid)
        return set(valid)

    def _find_lacking(self, version, manifest: bytes) -> set[str]:
        """Returns the digests to fetch and drops parts of other versions.

        The manifest's own digest is checked first: damage on the way must not
        condemn the version.
        """
        if digests.compute_digest(manifest) != version.digest:
            raise errors.PullFailedError('the manifest differs from its digest')
        try:
            parsed = self._read_manifest(manifest)
        except preset_errors.PresetRejectedError as error:
            self._deliver(Refused(version, tuple(error.reasons)))
            raise _Unwanted() from error
        needed = set(parsed.parts.values())
        self._keep_parts(needed, {})
        cached = self._read_cache().held.compressed
        return needed.difference(cached, self._scratch)

    def _keep_parts(self, needed, more: Mapping[str, bytes]) -> None:
        kept = {k: v for k, v in self._scratch.items() if k in needed}
        self._scratch = {**kept, **more}

    def _read_manifest(self, manifest: bytes) -> documents.Manifest:
        parsed = documents.read_manifest(manifest)
        if parsed.kind != self.channel:
            raise preset_errors.PresetRejectedError(
                [f'manifest.kind: {parsed.kind} in channel {self.channel}']
            )
        return parsed

    def _finish(self, version: versions.Version, manifest: bytes) -> None:
        """Joins, verifies and delivers a version whose parts are all here."""
        started_at = clocks.read_now()
        pauser = Pauser()
        cache = self._read_cache()
        try:
            parsed = self._read_manifest(manifest)
            contents = dict(self._scratch)
            for digest in documents.find_missing(parsed, contents):
                content = cache.read_part(digest)
                if content is not None:
                    contents[digest] = content
                pauser()
            document = documents.join_parts(manifest, contents, pauser)
            value = _VERIFIERS[self.channel](document, pauser, self._shapes)
        except preset_errors.PartsIncompleteError:
            # Parts are checked on arrival, so only those of a bundle can be
            # at fault; none of them may serve another try.
            self._scratch = {}
            raise
        except preset_errors.PresetRejectedError as error:
            result: Fetched | Refused = Refused(version, tuple(error.reasons))
        else:
            held = distribution_parts.build_held_parts(
                manifest, contents, cache, pauser
            )
            result = Fetched(version, value, held)
        elapsed_s = clocks.read_now() - started_at
        self._counters.verify_seconds.labels(self.channel).observe(elapsed_s)
        self._scratch = {}
        self._deliver(result)


class _Unwanted(errors.DistributionError):
    """The version turned out to be held, older or rejected."""
