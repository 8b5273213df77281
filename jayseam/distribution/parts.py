"""Cache of the parts of the versions held, compressed for sending."""

from collections.abc import Callable, Mapping

import attrs

from jayseam.core import digests
from jayseam.distribution import exchange
from jayseam.presets import documents

# Allows nodes that are a few versions behind to pull only the changed parts.
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

    Parts of earlier versions are dropped. The part digests of the last
    `MAX_KNOWN_MANIFESTS` manifests are kept. Parts are stored in compressed
    form only.

    Attributes:
      held: Parts of the version in force.
      digests_by_manifest: Part digests by manifest digest, oldest manifest
        first.
    """

    held: HeldParts = HeldParts()
    digests_by_manifest: Mapping[str, frozenset[str]] = attrs.field(
        factory=dict
    )

    def replace(self, held: HeldParts) -> 'PartCache':
        """Returns the cache that holds the parts of another version."""
        digests_by_manifest = {
            **self.digests_by_manifest,
            held.digest: frozenset(held.order),
        }
        kept = list(digests_by_manifest)[-MAX_KNOWN_MANIFESTS:]
        return PartCache(
            held, {digest: digests_by_manifest[digest] for digest in kept}
        )

    def read_part(self, digest: str) -> bytes | None:
        """Returns the content of a part, or None if it is not in the cache."""
        data = self.held.compressed.get(digest)
        return None if data is None else exchange.decompress_part(data)

    def count_bytes(self) -> int:
        """Returns the bytes of the manifest and the compressed parts."""
        held = self.held
        return len(held.manifest) + sum(map(len, held.compressed.values()))


def build_held_parts(
    manifest: bytes,
    parts: Mapping[str, bytes],
    cache: PartCache,
    yield_control: Callable[[], None] = documents.never_yield,
) -> HeldParts:
    """Compresses the parts of a verified version.

    Args:
      manifest: Verified manifest.
      parts: Parts of the version by digest.
      cache: Cache whose compressed parts are reused.
      yield_control: Called between parts, to let other greenlets run.
    """
    names = documents.parse_manifest(manifest).parts
    order = tuple(dict.fromkeys(names[name] for name in sorted(names)))
    compressed = {}
    for digest in order:
        data = cache.held.compressed.get(digest)
        if data is None:
            data = exchange.compress_part(parts[digest])
            yield_control()
        compressed[digest] = data
    return HeldParts(
        manifest, digests.compute_digest(manifest), order, compressed
    )
