"""Decisions of the exchange of versions: what to pull and what to send."""

from collections.abc import Iterable, Mapping, Sequence

import attrs
import zstandard

from jayseam.core import digests
from jayseam.core import rendezvous
from jayseam.distribution import errors
from jayseam.presets import documents

DEFAULT_READERS_PER_ZONE = 2
# Links close on frames over 2 MB; the manifest and the framing need room.
MAX_REPLY_BYTES = 1_500_000
# The digest prefix in a heartbeat only has to reveal a conflict.
PREFIX_CHARS = 16
_LEVEL = 6


def rank_reader(
    vm: str,
    zone: str,
    live_vms: Iterable[str],
    readers: int = DEFAULT_READERS_PER_ZONE,
) -> int | None:
    """Returns the rank of a VM among the readers of its availability zone.

    A VM counts itself as live, because a node that is not yet in its own view
    must not leave its zone without a reader.

    >>> ranks = [rank_reader(vm, 'a', ['x', 'y', 'z']) for vm in 'xyz']
    >>> sorted(ranks, key=str)
    [0, 1, None]

    Args:
      vm: The VM.
      zone: Its availability zone.
      live_vms: Live VMs of the zone.
      readers: Readers of a zone.

    Returns:
      Zero for the first reader; None for a VM that doesn't read.
    """
    ranked = rendezvous.rank(zone, {vm, *live_vms})[:readers]
    return ranked.index(vm) if vm in ranked else None


def compress_part(data: bytes) -> bytes:
    """Compresses a part with zstd; the frame names the content size."""
    return zstandard.ZstdCompressor(level=_LEVEL).compress(data)


def read_content_size(data: bytes) -> int:
    """Returns the content size in bytes that a frame's header names.

    Raises:
      PartCorruptError: If the header is invalid or names no size.
    """
    try:
        size = zstandard.frame_content_size(data)
    except zstandard.ZstdError as error:
        raise errors.PartCorruptError(f'invalid zstd frame: {error}') from error
    if size < 0:
        raise errors.PartCorruptError('the frame names no content size')
    return size


def decompress_part(
    data: bytes, max_bytes: int = documents.MAX_VALUE_BYTES
) -> bytes:
    """Decompresses a part.

    The content size in the frame's header is checked first, because it
    decides how much memory is allocated.

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
            f'content of {size} bytes; at most {max_bytes} are allowed'
        )
    decompressor = zstandard.ZstdDecompressor()
    try:
        content = decompressor.decompress(
            data, max_output_size=max_bytes, allow_extra_data=False
        )
    except zstandard.ZstdError as error:
        raise errors.PartCorruptError(f'invalid zstd frame: {error}') from error
    if len(content) != size:
        raise errors.PartCorruptError('content is cut short')
    return content


@attrs.frozen
class Selection:
    """What a reply to a pull contains.

    Attributes:
      digests: Digests of the parts to send.
      complete: Whether nothing else is needed, as far as the sender knows.
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
      known: Digests of the parts that the receiver's manifest names; empty if
        that manifest is unknown.
      wanted: Digests that the receiver asked for; empty to let ``known``
        decide.
      sizes: Compressed size of each part, in bytes.
      max_bytes: Most bytes to send at once. One part is sent in any case.
    """
    skipped = set(known)
    if wanted:
        lacking = [d for d in needed if d in set(wanted)]
    else:
        lacking = [d for d in needed if d not in skipped]
    chosen, total = [], 0
    for digest in dict.fromkeys(lacking):
        total += sizes[digest]
        if chosen and total > max_bytes:
            return Selection(tuple(chosen), False)
        chosen.append(digest)
    return Selection(tuple(chosen), True)


def unpack_parts(
    compressed: Mapping[str, bytes],
    lacking: Iterable[str],
    max_total_bytes: int = documents.MAX_BUNDLE_BYTES,
) -> tuple[dict[str, bytes], list[str]]:
    """Decompresses the parts that are lacking and checks their digests.

    Args:
      compressed: Compressed parts by digest.
      lacking: Digests that are of use; others are ignored.
      max_total_bytes: Most bytes of content in all.

    Returns:
      The valid parts by digest, and the digests of the corrupt ones.
    """
    valid, corrupt, total = {}, [], 0
    for digest in sorted(set(lacking).intersection(compressed)):
        room = min(documents.MAX_VALUE_BYTES, max_total_bytes - total)
        try:
            content = decompress_part(compressed[digest], max(0, room))
        except errors.PartCorruptError:
            corrupt.append(digest)
            continue
        if digests.compute_digest(content) != digest:
            corrupt.append(digest)
            continue
        total += len(content)
        valid[digest] = content
    return valid, corrupt
