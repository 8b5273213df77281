"""The offers of versions of one channel, and the choice among them."""

import math
from collections.abc import Callable

import attrs

from jayseam.presets import documents
from jayseam.source import backoff

SOURCE = ''
# A version that only nodes of other zones offer is fetched after this delay, in
# seconds, so that the readers of the own zone can get it first: bandwidth
# between zones is scarce and expensive. A reader may pause for 0.3 s between
# two reads.
OTHER_ZONE_DELAY_S = 0.4
# Most time between two attempts to read the own copy of the source, in seconds.
_LOCAL_RETRY_CAP_S = 0.2


@attrs.frozen
class Offer:
    """A version that a holder claims to have.

    Attributes:
      holder: VM name, or `SOURCE`.
      version: Revision.
      digest: Digest of the manifest, or its first characters, or empty.
      bundle: The content, if it came with the offer.
      ready_at: Time from which the version may be fetched, in seconds.
    """

    holder: str
    version: int
    digest: str
    bundle: documents.Bundle | None = None
    ready_at: float = -math.inf

    @property
    def is_immediate(self) -> bool:
        """Whether no delay in favour of the own zone's readers applies."""
        return self.ready_at == -math.inf


class OfferBook:
    """The open offers of one channel, at most one for each holder."""

    def __init__(
        self, uniform: Callable[[], float], is_source_local: bool = False
    ):
        """Starts without offers.

        Args:
          uniform: Returns a random number in [0, 1).
          is_source_local: Whether reads of the source are reads of a copy that
            this node has.
        """
        self._uniform = uniform
        self._is_source_local = is_source_local
        self._offers: dict[str, Offer] = {}
        # A copy of the own node needs no protection from its reads.
        cap_s = _LOCAL_RETRY_CAP_S
        self._retry = (
            backoff.RetryTimer(uniform, cap_s, cap_s)
            if is_source_local
            else backoff.RetryTimer(uniform)
        )
        # Whether a peer has failed since the last successful fetch.
        self._has_peer_failed = False

    def __len__(self) -> int:
        return len(self._offers)

    def add(self, offer: Offer) -> bool:
        """Adds an offer, unless its holder has offered a greater version.

        Returns:
          Whether the offer was added.
        """
        previous = self._offers.get(offer.holder)
        if previous is not None and previous.version > offer.version:
            return False
        is_repeated = previous is not None and previous.version == offer.version
        if is_repeated and previous.ready_at < offer.ready_at:
            # A heartbeat that repeats an offer doesn't postpone it.
            offer = attrs.evolve(offer, ready_at=previous.ready_at)
        if offer.holder == SOURCE and not is_repeated:
            # The failed version may have failed because it was replaced.
            self._retry.succeed()
        self._offers[offer.holder] = offer
        return True

    def keep(self, is_newer: Callable[[Offer], bool]) -> None:
        """Keeps only the offers whose version is newer than the one held."""
        self._offers = {
            holder: offer
            for holder, offer in self._offers.items()
            if is_newer(offer)
        }

    def choose(self, now: float) -> Offer | None:
        """Returns the best offer that may be tried now.

        Peers come before the source, whose reads are limited, and peers of the
        own zone before peers of other zones. A source that is a copy of the own
        node comes before peers. After a peer has failed, it also comes before
        their greater versions: if links are silent, each peer takes the whole
        timeout of a request.
        """
        ready = [o for o in self._offers.values() if self._is_ready(o, now)]
        return max(
            ready,
            key=lambda o: (
                self._is_surest(o),
                o.version,
                (o.holder == SOURCE) == self._is_source_local,
                o.is_immediate,
                self._uniform(),
            ),
            default=None,
        )

    def _is_surest(self, offer: Offer) -> bool:
        return (
            self._has_peer_failed
            and self._is_source_local
            and offer.holder == SOURCE
        )

    def compute_wait(self, now: float) -> float | None:
        """Returns the seconds until another open offer may be tried.

        Returns:
          The seconds, or None if there is no offer to wait for.
        """
        waits = [
            o.ready_at - now for o in self._offers.values() if o.ready_at > now
        ]
        if SOURCE in self._offers:
            waits.append(self._retry.compute_wait(now))
        return min(waits, default=None)

    def succeed(self, offer: Offer) -> None:
        """Removes an offer whose version was fetched."""
        if offer.holder == SOURCE:
            self._retry.succeed()
        else:
            self._has_peer_failed = False
        self._remove(offer)

    def fail(self, offer: Offer, now: float) -> None:
        """Handles a failed fetch.

        The offer of a peer is removed, because the peer repeats it in each
        heartbeat. The source does not, so its offer is tried again later.
        """
        if offer.holder != SOURCE:
            self._has_peer_failed = True
            self._remove(offer)
            return
        current = self._offers.get(SOURCE)
        if current is not None and current.version > offer.version:
            # The source has replaced the version and needs no wait.
            return
        wait_s = self._retry.fail(now)
        if offer.bundle is not None and current is offer:
            # Newer content needs no read, so only this offer has to wait.
            self._offers[SOURCE] = attrs.evolve(offer, ready_at=now + wait_s)

    def _is_ready(self, offer: Offer, now: float) -> bool:
        if offer.holder != SOURCE or offer.bundle is not None:
            return now >= offer.ready_at
        return self._retry.compute_wait(now) == 0.0

    def _remove(self, offer: Offer) -> None:
        """Removes an offer unless its holder has replaced it."""
        if self._offers.get(offer.holder) is offer:
            del self._offers[offer.holder]
