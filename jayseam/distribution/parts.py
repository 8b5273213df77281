"""The parts of the versions held, compressed as they are sent."""

from collections.abc import Callable, Mapping

import attrs

from jayseam.core import digests
from jayseam.distribution import exchange
from jayseam.presets import documents

# Lets nodes that are a few versions behind pull only what changed since.
MAX_KNOWN_MANIFESTS = 16


@attrs.frozen
class HeldParts:
    """The parts of one version.

    Attributes:
      manifest: Manifest as it was received.
      digest: Digest of the manifest.
      order: Digests of the parts, in order of part name.
      compressed: Compressed parts by digest.
    """

    manifest: bytes = b''
    digest: str = ''
    order: tuple[str, ...] = ()
    compressed: Mapping[str, bytes] = attrs.field(factory=dict)


@attrs.frozen
class PartCache:
    """An immutable cache of the parts of one channel's version in force.

    Parts of earlier versions are dropped; of their manifests only the digests
    of the parts stay, for the last `MAX_KNOWN_MANIFESTS`. Parts are kept
    compressed only.

    Attributes:
      held: Parts of the version in force.
      known: Part digests by manifest digest, oldest manifest first.
    """

    held: HeldParts = HeldParts()
    known: Mapping[str, frozenset[str]] = attrs.field(factory=dict)

    def replace(self, held: HeldParts) -> 'PartCache':
        """Returns the cache that holds the parts of another version."""
        known = {**self.known, held.digest: frozenset(held.order)}
        kept = list(known)[-MAX_KNOWN_MANIFESTS:]
        return PartCache(held, {digest: known[digest] for digest in kept})

    def read_part(self, digest: str) -> bytes | None:
        """Returns the content of a part that is held, or None."""
        data = self.held.compressed.get(digest)
        return None if data is None else exchange.decompress_part(data)

    def count_bytes(self) -> int:
        """Returns the size of the manifest and the compressed parts."""
        held = self.held
        return len(held.manifest) + sum(map(len, held.compressed.values()))


def build_held_parts(
    manifest: bytes,
    parts: Mapping[str, bytes],
    cache: PartCache,
    pause: Callable[[], None] = documents.skip_pause,
) -> HeldParts:
    """Compresses the parts of a verified version.

    Args:
      manifest: Verified manifest.
      parts: Its parts by digest.
      cache: Cache whose compressed parts are used again.
      pause: Called between parts, to let other greenlets run.
    """
    names = documents.read_manifest(manifest).parts
    order = tuple(dict.fromkeys(names[name] for name in sorted(names)))
    compressed = {}
    for digest in order:
        data = cache.held.compressed.get(digest)
        if data is None:
            data = exchange.compress_part(parts[digest])
            pause()
        compressed[digest] = data
    return HeldParts(
        manifest, digests.compute_digest(manifest), order, compressed
    )
