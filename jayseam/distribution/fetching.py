"""Fetches and verifies the versions of one channel."""

import math
import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import errors as core_errors
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import versionnumbers
from jayseam.distribution import counters as distribution_counters
from jayseam.distribution import offers
from jayseam.distribution import parts as distribution_parts
from jayseam.distribution import pulling
from jayseam.distribution import versions
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.presets import itemcaches
from jayseam.presets import verification
from jayseam.source import client as source_client

DEFAULT_PULL_TIMEOUT_S = 1.0
# Least time between two fetches of a channel, in seconds. While many VMs start,
# each reader finds another version of the VM list every few moments. Presets
# and keys are not paced, because a version of one belongs to one of the other.
FETCH_INTERVALS_S: Mapping[str, float] = {'vms': 0.3}
# Verification yields to other greenlets after this time. One step of the JSON
# parser or the compressor may take longer.
_TIME_SLICE_S = 0.002
_VERIFIERS: Mapping[str, Callable[..., Any]] = {
    'preset': verification.verify_preset,
    'keys': verification.verify_keys,
    'vms': verification.verify_vms,
}
_log = logs.get_logger(__name__)


@attrs.frozen
class VerifiedVersion:
    """A complete, verified version that can be put in force.

    Attributes:
      version: The version.
      value: The preset, key set or VM list.
      held: Parts of the version, for the part cache.
      holder: VM from which it was fetched, or `offers.SOURCE`.
      fetch_began_at: Time at which its fetch began, in seconds.
    """

    version: versions.Version
    value: Any
    held: distribution_parts.HeldParts
    holder: str = offers.SOURCE
    fetch_began_at: float = 0.0


@attrs.frozen
class InvalidVersion:
    """A version that failed verification.

    Attributes:
      version: The version.
      reasons: Every reason.
    """

    version: versions.Version
    reasons: tuple[str, ...]


class Pauser:
    """Yields to other greenlets when a time slice is used up."""

    def __init__(self, slice_s: float = _TIME_SLICE_S):
        self._slice_s = slice_s
        self._started_at = clocks.read_now()

    def __call__(self) -> None:
        if clocks.read_now() - self._started_at >= self._slice_s:
            gevent.sleep(0)
            self._started_at = clocks.read_now()


def compute_pause(channel: str, fetched_at: float, now: float) -> float:
    """Returns the seconds until the next version may be fetched.

    >>> compute_pause('vms', 10.0, now=10.0)
    0.3
    >>> compute_pause('vms', 10.0, now=11.0), compute_pause('keys', 10.0, 10.0)
    (0.0, 0.0)

    Args:
      channel: Name of the channel.
      fetched_at: Time of the last successful fetch, in seconds.
      now: Present time in seconds.
    """
    interval_s = FETCH_INTERVALS_S.get(channel, 0.0)
    return max(0.0, round(fetched_at + interval_s - now, 3))


class ChannelFetcher:
    """Fetches and verifies the greatest offered version, one at a time.

    Only a complete and verified version is delivered.
    """

    def __init__(
        self,
        channel: str,
        request: Callable[[str, Any, float], Any],
        client: source_client.SourceClient | None,
        classify: Callable[[str, int, str], versions.Verdict],
        get_cache: Callable[[], distribution_parts.PartCache],
        deliver: Callable[[VerifiedVersion | InvalidVersion], Any],
        counters: distribution_counters.Counters,
        pull_timeout_s: float = DEFAULT_PULL_TIMEOUT_S,
        uniform: Callable[[], float] = random.random,
    ):
        """Prepares the fetcher.

        Args:
          channel: Channel to fetch.
          request: ``request(vm, message, timeout_s)`` sends to a peer.
          client: Client of the source; None if the node has none.
          classify: Returns the verdict on a channel, version and digest.
          get_cache: Returns the part cache of the channel.
          deliver: Called with each result; returns when it has been handled.
          counters: Metrics.
          pull_timeout_s: Timeout of one request to a peer, in seconds.
          uniform: Returns a random number in [0, 1).
        """
        self.channel = channel
        self._classify = classify
        self._get_cache = get_cache
        self._deliver = deliver
        self._counters = counters
        self._offers = offers.OfferBook(
            uniform, client is not None and client.is_local
        )
        self._puller = pulling.Puller(
            channel,
            request,
            client,
            classify,
            get_cache,
            counters,
            pull_timeout_s,
        )
        self._valid_items = itemcaches.ValidItemCache()
        self._decoded = itemcaches.DecodedParts()
        self._wake = event.Event()
        # Time of the last successful fetch, in seconds.
        self._fetched_at = -math.inf
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that fetches."""
        self._greenlet = loops.spawn_loop(self._run)

    def stop(self) -> None:
        """Ends the greenlet and drops an unfinished fetch."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def add(self, offer: offers.Offer) -> None:
        """Adds an offer, unless its holder has offered a greater version."""
        if self._offers.add(offer):
            self._wake.set()

    def count_offers(self) -> int:
        """Returns the number of holders with an open offer."""
        return len(self._offers)

    def _run(self) -> None:
        while True:
            self._offers.keep(self._is_newer)
            now = clocks.read_now()
            offer = self._offers.choose(now)
            if offer is not None:
                if pause_s := compute_pause(
                    self.channel, self._fetched_at, now
                ):
                    # What is offered meanwhile replaces the offer.
                    gevent.sleep(pause_s)
                    continue
                self._try_offer(offer)
                continue
            self._wake.wait(self._offers.compute_wait(clocks.read_now()))
            self._wake.clear()

    def _is_newer(self, offer: offers.Offer) -> bool:
        verdict = self._classify(self.channel, offer.version, offer.digest)
        return verdict is versions.Verdict.NEWER

    def _try_offer(self, offer: offers.Offer) -> None:
        try:
            self._fetch(offer)
        except (core_errors.JayseamError, gevent.Timeout) as error:
            self._count_pull(offer, 'failed')
            self._log_failure(offer, error)
            self._offers.fail(offer, clocks.read_now())
        except Exception:  # pylint: disable=broad-exception-caught
            # A bug in one fetch must not prevent fetches of later versions.
            _log.exception(
                'distribution.pull_crashed', extra={'channel': self.channel}
            )
            self._offers.fail(offer, clocks.read_now())
        else:
            self._count_pull(offer, 'done')
            self._offers.succeed(offer)
            self._fetched_at = clocks.read_now()

    def _count_pull(self, offer: offers.Offer, result: str) -> None:
        holder = 'source' if offer.holder == offers.SOURCE else 'peer'
        self._counters.pulls.labels(self.channel, holder, result).inc()

    def _log_failure(self, offer: offers.Offer, error: BaseException) -> None:
        _log.warning(
            'distribution.pull_failed',
            extra={
                'channel': self.channel,
                'version': versionnumbers.shorten(offer.version),
                'holder': offer.holder or 'source',
                'error': f'{type(error).__name__}: {error}',
            },
        )

    def _fetch(self, offer: offers.Offer) -> None:
        began_at = clocks.read_now()
        try:
            version, manifest = self._puller.pull(offer)
        except pulling.UnwantedError:
            return
        except pulling.InvalidVersionError as error:
            self._deliver(InvalidVersion(error.version, error.reasons))
            return
        except pulling.MovedOnError as error:
            self.add(error.offer)
            raise
        self._verify_and_deliver(version, manifest, offer.holder, began_at)

    def _verify_and_deliver(
        self,
        version: versions.Version,
        manifest: bytes,
        holder: str,
        began_at: float,
    ) -> None:
        """Verifies and delivers a version of which no part is missing."""
        started_at = clocks.read_now()
        try:
            result = self._verify(version, manifest, holder)
        except preset_errors.PartsIncompleteError:
            # Pulled parts are checked on arrival, so only a bundle can lack
            # parts or contain wrong ones. Its parts must not be used again.
            self._puller.clear()
            raise
        elapsed_s = clocks.read_now() - started_at
        self._counters.verify_seconds.labels(self.channel).observe(elapsed_s)
        self._puller.clear()
        if isinstance(result, VerifiedVersion):
            result = attrs.evolve(result, fetch_began_at=began_at)
        self._deliver(result)

    def _verify(
        self, version: versions.Version, manifest: bytes, holder: str
    ) -> VerifiedVersion | InvalidVersion:
        pauser = Pauser()
        cache = self._get_cache()
        try:
            contents = self._collect_parts(manifest, cache, pauser)
            document = documents.join_parts(
                manifest, contents, pauser, self._decoded
            )
            value = _VERIFIERS[self.channel](
                document, pauser, self._valid_items
            )
        except preset_errors.PresetRejectedError as error:
            return InvalidVersion(version, tuple(error.reasons))
        held = distribution_parts.build_held_parts(
            manifest, contents, cache, pauser
        )
        return VerifiedVersion(version, value, held, holder)

    def _collect_parts(self, manifest, cache, pauser) -> dict[str, bytes]:
        """Returns the pulled parts and the needed parts of the cache."""
        parsed = self._puller.read_manifest(manifest)
        contents = dict(self._puller.parts)
        for digest in documents.find_missing_digests(parsed, contents):
            content = cache.read_part(digest)
            if content is not None:
                contents[digest] = content
            pauser()
        return contents
