"""Decisions of the exchange of versions: what to pull and what to send."""

from collections.abc import Iterable, Mapping, Sequence

import attrs
import zstandard

from jayseam.core import digests
from jayseam.core import rendezvous
from jayseam.distribution import errors
from jayseam.presets import documents

DEFAULT_READERS_PER_ZONE = 2
# Links close on frames over 2 MB; the rest is for the manifest and the framing.
MAX_REPLY_BYTES = 1_500_000
# A heartbeat carries this much of a digest, which suffices to detect a
# conflict.
PREFIX_CHARS = 16
_ZSTD_LEVEL = 6


def rank_reader(
    vm: str,
    zone: str,
    live_vms: Iterable[str],
    readers: int = DEFAULT_READERS_PER_ZONE,
) -> int | None:
    """Returns the rank of a VM among the readers of its availability zone.

    A VM counts itself as live, so that its zone does not lack a reader while
    the VM is missing from its own membership view.

    >>> ranks = [rank_reader(vm, 'a', ['x', 'y', 'z']) for vm in 'xyz']
    >>> sorted(ranks, key=str)
    [0, 1, None]

    Args:
      vm: The VM.
      zone: Its availability zone.
      live_vms: Live VMs of the zone.
      readers: Number of readers in a zone.

    Returns:
      Zero for the first reader; None for a VM that is not a reader.
    """
    ranked = rendezvous.rank(zone, {vm, *live_vms})[:readers]
    return ranked.index(vm) if vm in ranked else None


def compress_part(data: bytes) -> bytes:
    """Compresses a part into a zstd frame that states the content size."""
    return zstandard.ZstdCompressor(level=_ZSTD_LEVEL).compress(data)


def read_content_size(data: bytes) -> int:
    """Returns the content size in bytes that a frame's header states.

    Raises:
      PartCorruptError: If the header is invalid or states no size.
    """
    try:
        size = zstandard.frame_content_size(data)
    except zstandard.ZstdError as error:
        raise errors.PartCorruptError(f'invalid zstd frame: {error}') from error
    if size < 0:
        raise errors.PartCorruptError('zstd frame states no content size')
    return size


def decompress_part(
    data: bytes, max_bytes: int = documents.MAX_VALUE_BYTES
) -> bytes:
    """Decompresses a part.

    The content size in the frame's header is checked first, because that much
    memory is allocated.

    >>> decompress_part(compress_part(b'[]'))
    b'[]'

    Args:
      data: One zstd frame.
      max_bytes: Largest content allowed.

    Raises:
      PartCorruptError: If the frame is invalid or too large.
    """
    size = read_content_size(data)
    if size > max_bytes:
        raise errors.PartCorruptError(
            f'content has {size} bytes; at most {max_bytes} are allowed'
        )
    decompressor = zstandard.ZstdDecompressor()
    try:
        content = decompressor.decompress(
            data, max_output_size=max_bytes, allow_extra_data=False
        )
    except zstandard.ZstdError as error:
        raise errors.PartCorruptError(f'invalid zstd frame: {error}') from error
    if len(content) != size:
        raise errors.PartCorruptError(
            'content is shorter than the zstd frame states'
        )
    return content


@attrs.frozen
class Selection:
    """The parts that a reply to a pull contains.

    Attributes:
      digests: Digests of the parts to send.
      complete: Whether the receiver needs no other part, as far as the sender
        knows.
    """

    digests: tuple[str, ...]
    complete: bool


def select_parts(
    needed: Sequence[str],
    known: Iterable[str],
    wanted: Sequence[str],
    sizes: Mapping[str, int],
    max_bytes: int = MAX_REPLY_BYTES,
) -> Selection:
    """Selects the parts of a reply.

    Args:
      needed: Digests of all parts of the version, in order.
      known: Digests of the parts in the receiver's manifest; empty if the
        sender does not know that manifest.
      wanted: Digests that the receiver asked for; if empty, all parts that
        are not in ``known`` are sent.
      sizes: Compressed size of each part, in bytes.
      max_bytes: Most bytes to send at once; one part is sent even if it is
        larger.
    """
    skipped = set(known)
    if wanted:
        missing = [d for d in needed if d in set(wanted)]
    else:
        missing = [d for d in needed if d not in skipped]
    chosen, total = [], 0
    for digest in dict.fromkeys(missing):
        total += sizes[digest]
        if chosen and total > max_bytes:
            return Selection(tuple(chosen), False)
        chosen.append(digest)
    return Selection(tuple(chosen), True)


def unpack_parts(
    compressed: Mapping[str, bytes],
    missing: Iterable[str],
    max_total_bytes: int = documents.MAX_BUNDLE_BYTES,
) -> tuple[dict[str, bytes], list[str]]:
    """Decompresses the missing parts and checks their digests.

    Args:
      compressed: Compressed parts by digest.
      missing: Digests of the parts that are needed; other parts are ignored.
      max_total_bytes: Most bytes of decompressed content in total.

    Returns:
      The valid parts by digest, and the digests of the corrupt ones.
    """
    valid, corrupt, total = {}, [], 0
    for digest in sorted(set(missing).intersection(compressed)):
        limit_bytes = min(documents.MAX_VALUE_BYTES, max_total_bytes - total)
        try:
            content = decompress_part(compressed[digest], max(0, limit_bytes))
        except errors.PartCorruptError:
            corrupt.append(digest)
            continue
        if digests.compute_digest(content) != digest:
            corrupt.append(digest)
            continue
        total += len(content)
        valid[digest] = content
    return valid, corrupt
