"""Offers of versions of one channel, and which of them to fetch next."""

import math
from collections.abc import Callable

import attrs

from jayseam.presets import documents
from jayseam.source import backoff

SOURCE = ''
# A version that only other zones offer is left to the readers of the own zone
# for this long, in seconds: bytes between zones are few and dear. A reader may
# leave 0.3 s between two reads.
FAR_GRACE_S = 0.4


@attrs.frozen
class Offer:
    """A version that a holder is said to have.

    Attributes:
      holder: VM name, or `SOURCE`.
      version: Revision.
      digest: Digest, or its first characters, or empty.
      bundle: The content, if it came with the offer.
      ready_at: Time from which it may be fetched, in seconds.
    """

    holder: str
    version: int
    digest: str
    bundle: documents.Bundle | None = None
    ready_at: float = -math.inf

    @property
    def is_immediate(self) -> bool:
        """Whether it never had to wait for the readers of the own zone."""
        return self.ready_at == -math.inf


class OfferBook:
    """The open offers of one channel, one for each holder."""

    def __init__(self, uniform: Callable[[], float]):
        """Starts without offers.

        Args:
          uniform: Returns a random number in [0, 1).
        """
        self._uniform = uniform
        self._offers: dict[str, Offer] = {}
        self._retry = backoff.Retry(uniform)

    def __len__(self) -> int:
        return len(self._offers)

    def add(self, offer: Offer) -> bool:
        """Notes an offer; a holder's greatest version counts.

        Returns:
          Whether the offer replaced the holder's offer before.
        """
        known = self._offers.get(offer.holder)
        if known is not None and known.version > offer.version:
            return False
        is_repeated = known is not None and known.version == offer.version
        if is_repeated and known.ready_at < offer.ready_at:
            # A heartbeat that repeats an offer doesn't put it off.
            offer = attrs.evolve(offer, ready_at=known.ready_at)
        self._offers[offer.holder] = offer
        return True

    def keep(self, is_newer: Callable[[Offer], bool]) -> None:
        """Drops the offers that are settled by what is held."""
        self._offers = {
            holder: offer
            for holder, offer in self._offers.items()
            if is_newer(offer)
        }

    def choose(self, now: float) -> Offer | None:
        """Returns the best offer that may be tried now.

        Peers come before the source, whose reads are limited, and those of the
        own zone before those of others.
        """
        ready = [o for o in self._offers.values() if self._is_ready(o, now)]
        return max(
            ready,
            key=lambda o: (
                o.version,
                o.holder != SOURCE,
                o.is_immediate,
                self._uniform(),
            ),
            default=None,
        )

    def compute_wait(self, now: float) -> float | None:
        """Returns the seconds until an open offer may be tried.

        Returns:
          None if there is no open offer to wait for.
        """
        waits = [
            o.ready_at - now for o in self._offers.values() if o.ready_at > now
        ]
        if SOURCE in self._offers:
            waits.append(self._retry.compute_wait(now))
        return min(waits, default=None)

    def succeed(self, offer: Offer) -> None:
        """Notes that an offer was fetched."""
        if offer.holder == SOURCE:
            self._retry.succeed()
        self._remove(offer)

    def fail(self, offer: Offer, now: float) -> None:
        """Notes a failure.

        A peer repeats its offer by heartbeat; the source does not.
        """
        if offer.holder == SOURCE:
            self._retry.fail(now)
        else:
            self._remove(offer)

    def _is_ready(self, offer: Offer, now: float) -> bool:
        if offer.holder != SOURCE or offer.bundle is not None:
            return now >= offer.ready_at
        return self._retry.compute_wait(now) == 0.0

    def _remove(self, offer: Offer) -> None:
        """Removes an offer unless its holder has made another."""
        if self._offers.get(offer.holder) is offer:
            del self._offers[offer.holder]
