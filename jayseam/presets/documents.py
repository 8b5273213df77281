"""Canonical documents: split into parts for distribution and joined again.

A document is a dict with a whole preset, key set or VM list. It is distributed
as a manifest, which lists the digests of its parts, and the parts, each of them
a canonical JSON list. Unchanged parts keep their digest from version to
version.
"""

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import xxhash

from jayseam.core import digests
from jayseam.presets import errors
from jayseam.presets import itemcaches
from jayseam.presets import model

MANIFEST_FORMAT = 1
KINDS = ('preset', 'keys', 'vms')
# Digits of digests, and names of the shards of a key set.
HEX_DIGITS = '0123456789abcdef'
# The source can store values of up to 1 MB.
MAX_VALUE_BYTES = 1_000_000
MAX_BUNDLE_BYTES = 8_000_000
MAX_PARTS = 1024
BUNDLE_TOO_LARGE_REASON = f'parts: more than {MAX_BUNDLE_BYTES} bytes in all'
_PRESET_SECTIONS = ('services', 'routes', 'zones', 'workspaces', 'upstreams')
# Most items per shard on average; with more, a section gets more shards. A
# changed item requires the transfer of its shard and of the manifest, and each
# shard makes the manifest longer. Of 64 to 512 items per shard, 256 transferred
# the fewest bytes for a preset of 0.96 MB.
_ITEMS_PER_SHARD = 256
# Keeps the number of parts of all sections below `MAX_PARTS`.
_MAX_SHARDS = 128
# Index of a shard and number of shards by the part name after the slash.
_SHARD_NAMES = {
    f'{index}-of-{count}': (index, count)
    for count in (2**power for power in range(1, 8))
    for index in range(count)
}
# Optional fields that the first release had, so every document contains them.
_ALWAYS_DUMPED_FIELDS = frozenset(('shed_retryable', 'in_service', 'weight'))
_NAME_FIELDS = {'keys': 'key_id', 'vms': 'vm'}


@attrs.frozen
class Manifest:
    """A parsed manifest.

    Attributes:
      kind: ``preset``, ``keys`` or ``vms``.
      name: Name of the preset, otherwise the kind.
      parts: Digest of each part by part name.
    """

    kind: str
    name: str
    parts: Mapping[str, str]


@attrs.frozen
class Bundle:
    """A document split for distribution.

    Attributes:
      manifest: Canonical JSON of the manifest.
      parts: Canonical JSON of each part by its digest.
    """

    manifest: bytes
    parts: Mapping[str, bytes]

    @property
    def digest(self) -> str:
        """Digest of the manifest, which identifies the whole content."""
        return digests.compute_digest(self.manifest)


def never_yield() -> None:
    """Does nothing; the default where a caller passes no ``yield_control``."""


def encode_json(value: Any) -> bytes:
    """Returns canonical JSON: sorted keys, no spaces, UTF-8.

    >>> encode_json({'b': 1, 'a': 'é'})
    b'{"a":"\\xc3\\xa9","b":1}'

    Raises:
      PresetRejectedError: If the value can't be encoded as JSON.
    """
    try:
        text = json.dumps(
            value,
            sort_keys=True,
            separators=(',', ':'),
            ensure_ascii=False,
            allow_nan=False,
        )
        return text.encode('utf-8')
    except (TypeError, ValueError, RecursionError) as error:
        raise errors.PresetRejectedError([f'not JSON: {error}']) from error


def decode_json(data: bytes) -> Any:
    """Parses JSON strictly: no repeated names, no infinite numbers.

    Raises:
      PresetRejectedError: If the data is not JSON in this strict sense.
    """
    try:
        return _DECODER.decode(data.decode('utf-8'))
    except (ValueError, RecursionError) as error:
        raise errors.PresetRejectedError([f'not JSON: {error}']) from error


def decode_list(
    data: bytes, yield_control: Callable[[], None] = never_yield
) -> list[Any]:
    """Parses a canonical JSON list item by item.

    Parsing a part of 1 MB in one step would block the process for tens of
    milliseconds.

    >>> decode_list(b'[1,{"a":2}]')
    [1, {'a': 2}]

    Args:
      data: JSON list without spaces between the items.
      yield_control: Called after each item, to let other greenlets run.

    Raises:
      PresetRejectedError: If the data is not a canonical JSON list.
    """
    try:
        text = data.decode('utf-8')
        if text[:1] != '[' or text[-1:] != ']':
            raise ValueError('not a list')
        if text == '[]':
            return []
        items, position = [], 0
        while position < len(text) - 1:
            item, end = _DECODER.raw_decode(text, position + 1)
            is_last = end == len(text) - 1
            if not is_last and text[end : end + 1] != ',':
                raise ValueError(f'no comma at character {end}')
            items.append(item)
            position = end
            yield_control()
        return items
    except (ValueError, RecursionError) as error:
        raise errors.PresetRejectedError([f'not JSON: {error}']) from error


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError('an object repeats a name')
    return result


def _reject_constant(text: str) -> float:
    raise ValueError(f'{text} is not a JSON number')


def _parse_float(text: str) -> float:
    value = float(text)
    if value in (float('inf'), float('-inf')):
        raise ValueError(f'number {text[:32]} is too large')
    return value


_DECODER = json.JSONDecoder(
    object_pairs_hook=_build_object,
    parse_constant=_reject_constant,
    parse_float=_parse_float,
)


def dump_preset(preset: model.Preset) -> dict[str, Any]:
    """Returns the document of a preset, with every list in order of name."""
    document: dict[str, Any] = {'name': preset.name}
    for section in _PRESET_SECTIONS:
        items = getattr(preset, section)
        document[section] = [_dump(items[name]) for name in sorted(items)]
    return document


def dump_keys(key_set: model.KeySet) -> dict[str, Any]:
    """Returns the document of a key set."""
    return {'keys': [_dump(entry) for entry in key_set.keys]}


def dump_vms(vm_list: model.VmList) -> dict[str, Any]:
    """Returns the document of a VM list."""
    return {'vms': [_dump(entry) for entry in vm_list.vms]}


def _dump(item: Any) -> dict[str, Any]:
    values = {
        k: _to_lists(v)
        for k, v in attrs.asdict(item, filter=_is_dumped).items()
    }
    if 'zone_weights' in values:
        values['zone_weights'] = dict(values['zone_weights'])
    return values


def _is_dumped(field: attrs.Attribute, value: Any) -> bool:
    """Returns whether a document contains a field of an item.

    Fields of later releases are omitted while they have their default value.
    Documents that don't use them then keep their digest, and nodes of releases
    that don't know these fields accept the documents.
    """
    return field.name in _ALWAYS_DUMPED_FIELDS or value != field.default


def _to_lists(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_lists(item) for item in value]
    return value


def is_digest(value: Any) -> bool:
    """Returns whether a value has the form of a digest."""
    if not isinstance(value, str) or len(value) != 2 * digests.DIGEST_BYTES:
        return False
    return all(char in HEX_DIGITS for char in value)


def split_preset(document: Mapping[str, Any]) -> Bundle:
    """Splits the document of a preset.

    Items are sorted by name, so documents that differ only in the order of
    items have the same digest. A section with many items is sharded by a hash
    of the item names, so that a change of one item transfers few bytes.

    Raises:
      PresetRejectedError: If the document can't be split, or if a part is
        larger than the source can store.
    """
    expected = {'name', *_PRESET_SECTIONS}
    if not isinstance(document, Mapping) or set(document) != expected:
        raise errors.PresetRejectedError(
            [f'preset: must be an object of {", ".join(sorted(expected))}']
        )
    if not isinstance(document['name'], str):
        raise errors.PresetRejectedError(['preset.name: not a string'])
    groups: dict[str, list[Any]] = {}
    for section in _PRESET_SECTIONS:
        groups |= _shard_items(section, _get_list(document, section))
    return _build_bundle('preset', document['name'], groups)


def split_keys(document: Mapping[str, Any]) -> Bundle:
    """Splits the document of a key set into 16 shards.

    Raises:
      PresetRejectedError: If the document can't be split.
    """
    items = _get_list(document, 'keys')
    groups: dict[str, list] = {f'keys/{shard}': [] for shard in HEX_DIGITS}
    groups |= _group_items('keys', items, _compute_key_shard)
    return _build_bundle('keys', 'keys', groups)


def split_vms(document: Mapping[str, Any]) -> Bundle:
    """Splits the document of a VM list by availability zone.

    Raises:
      PresetRejectedError: If the document can't be split.
    """
    items = _get_list(document, 'vms')
    return _build_bundle('vms', 'vms', _group_items('vms', items, _get_zone))


def parse_manifest(data: bytes) -> Manifest:
    """Parses and checks a manifest.

    Raises:
      PresetRejectedError: With every reason found.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise errors.PresetRejectedError(
            [f'manifest: more than {MAX_VALUE_BYTES} bytes']
        )
    value = decode_json(data)
    if not isinstance(value, dict):
        raise errors.PresetRejectedError(['manifest: not an object'])
    reasons = []
    if set(value) != {'format', 'kind', 'name', 'parts'}:
        reasons.append('manifest: must have format, kind, name and parts')
    if value.get('format') != MANIFEST_FORMAT or isinstance(
        value.get('format'), bool
    ):
        reasons.append(f'manifest.format: must be {MANIFEST_FORMAT}')
    kind, parts = value.get('kind'), value.get('parts')
    if kind not in KINDS:
        reasons.append(f'manifest.kind: must be one of {", ".join(KINDS)}')
    if not isinstance(value.get('name'), str):
        reasons.append('manifest.name: not a string')
    if isinstance(parts, dict):
        reasons += _check_part_names(kind, parts)
    else:
        reasons.append('manifest.parts: not an object')
    if reasons:
        raise errors.PresetRejectedError(reasons)
    return Manifest(kind, value['name'], parts)


def find_missing_digests(
    manifest: Manifest, present: Iterable[str]
) -> set[str]:
    """Returns the digests of the manifest's parts that are not present."""
    return set(manifest.parts.values()).difference(present)


def join_parts(
    manifest: bytes,
    parts: Mapping[str, bytes],
    yield_control: Callable[[], None] = never_yield,
    decoded: itemcaches.DecodedParts | None = None,
) -> dict[str, Any]:
    """Joins a document from its manifest and parts.

    Args:
      manifest: Manifest in the form in which it is distributed.
      parts: Parts by digest; parts that the manifest doesn't list are ignored.
      yield_control: Called between parts, to let other greenlets run.
      decoded: Items of the parts of an earlier version. They are shared with
        the document, and replaced by those of this one.

    Returns:
      The document; its items and references are not yet verified.

    Raises:
      PartsIncompleteError: If parts are missing or don't match their digest.
      PresetRejectedError: If the content is invalid.
    """
    parsed = parse_manifest(manifest)
    _check_parts(parsed, parts, yield_control)
    sections: dict[str, list] = {}
    if parsed.kind == 'preset':
        sections = {name: [] for name in _PRESET_SECTIONS}
    else:
        sections = {parsed.kind: []}
    reasons, items_by_part = [], {}
    decoded = decoded or itemcaches.DecodedParts()
    for part_name in sorted(parsed.parts):
        section = part_name.partition('/')[0]
        digest = parsed.parts[part_name]
        try:
            items = decoded.get(
                part_name,
                digest,
                lambda n=part_name, d=digest: _read_part(
                    n, parts[d], yield_control
                ),
            )
        except errors.PresetRejectedError as error:
            reasons += [f'part {part_name}: {r}' for r in error.reasons]
            continue
        items_by_part[part_name, digest] = items
        sections[section] += items
    decoded.replace(items_by_part)
    if reasons:
        raise errors.PresetRejectedError(reasons)
    for section, items in sections.items():
        items.sort(key=lambda item, s=section: _build_sort_key(s, item))
        yield_control()
    if parsed.kind == 'preset':
        return {'name': parsed.name, **sections}
    return sections


def _check_parts(manifest, parts, yield_control) -> None:
    missing = find_missing_digests(manifest, parts)
    if missing:
        raise errors.PartsIncompleteError(list(missing), [])
    altered, total = [], 0
    for digest in sorted(set(manifest.parts.values())):
        total += len(parts[digest])
        if digests.compute_digest(parts[digest]) != digest:
            altered.append(digest)
        yield_control()
    if altered:
        raise errors.PartsIncompleteError([], altered)
    if total > MAX_BUNDLE_BYTES:
        raise errors.PresetRejectedError([BUNDLE_TOO_LARGE_REASON])


def _read_part(part_name: str, data: bytes, yield_control) -> list[Any]:
    if len(data) > MAX_VALUE_BYTES:
        raise errors.PresetRejectedError(
            [f'{len(data)} bytes; at most {MAX_VALUE_BYTES} are allowed']
        )
    items = decode_list(data, yield_control)
    if not all(map(_build_part_check(part_name), items)):
        raise errors.PresetRejectedError(['holds an item of another part'])
    return items


def _check_part_names(kind: Any, parts: dict[str, Any]) -> list[str]:
    reasons = []
    if len(parts) > MAX_PARTS:
        reasons.append(f'manifest.parts: more than {MAX_PARTS}')
    for name, digest in parts.items():
        if kind in KINDS and not _is_part_name(kind, name):
            reasons.append(f'manifest.parts: unknown part {name[:80]!r}')
        if not is_digest(digest):
            reasons.append(f'manifest.parts: no digest for {name[:80]!r}')
    if kind == 'preset':
        for section in _PRESET_SECTIONS:
            reasons += _check_shards(section, parts)
    return reasons


def _check_shards(section: str, names: Iterable[str]) -> list[str]:
    """Checks that a section has all shards of one number of shards."""
    present = {name for name in names if name.partition('/')[0] == section}
    if not present:
        return [f'manifest.parts: part {section} is absent']
    if present != set(_name_shards(section, len(present))):
        return [f'manifest.parts: not all shards of {section}, or too many']
    return []


def _is_part_name(kind: str, name: str) -> bool:
    section, slash, group = name.partition('/')
    if kind == 'keys':
        return section == 'keys' and len(group) == 1 and group in HEX_DIGITS
    if kind == 'vms':
        return section == 'vms' and bool(group)
    if section not in _PRESET_SECTIONS:
        return False
    return not slash or group in _SHARD_NAMES


def _get_list(document: Mapping[str, Any], section: str) -> list[Any]:
    items = document.get(section) if isinstance(document, Mapping) else None
    if not isinstance(items, (list, tuple)):
        raise errors.PresetRejectedError([f'{section}: not a list'])
    return list(items)


def _group_items(section, items, choose_group) -> dict[str, list[Any]]:
    groups: dict[str, list[Any]] = {}
    for item in items:
        group = choose_group(item)
        if not group:
            raise errors.PresetRejectedError(
                [f'{section}: an item belongs to no part']
            )
        groups.setdefault(f'{section}/{group}', []).append(item)
    return groups


def count_shards(n_items: int) -> int:
    """Returns the number of shards of a preset section.

    The number is a power of two, because that changes rarely while items are
    added; after each change of it, the whole section is transferred once.

    >>> [count_shards(n) for n in (0, 256, 257, 4000)]
    [1, 1, 2, 16]
    """
    count = 1
    while count < _MAX_SHARDS and n_items > count * _ITEMS_PER_SHARD:
        count *= 2
    return count


def _name_shards(section: str, count: int) -> list[str]:
    if count == 1:
        return [section]
    return [f'{section}/{index}-of-{count}' for index in range(count)]


def _shard_items(section: str, items: list[Any]) -> dict[str, list[Any]]:
    names = _name_shards(section, count_shards(len(items)))
    groups: dict[str, list[Any]] = {name: [] for name in names}
    for item in items:
        groups[names[_hash_name(item) % len(names)]].append(item)
    return groups


def _build_part_check(part_name: str) -> Callable[[Any], bool]:
    """Returns a predicate that accepts the items that belong to a part."""
    section, slash, group = part_name.partition('/')
    if not slash:
        return lambda item: True
    if section == 'keys':
        return lambda item: _compute_key_shard(item) == group
    if section == 'vms':
        return lambda item: _get_zone(item) == group
    index, count = _SHARD_NAMES[group]
    return lambda item: _hash_name(item) % count == index


def _hash_name(item: Any) -> int:
    """Returns a hash of an item's name, or of the empty text if it has none."""
    name = item.get('name') if isinstance(item, Mapping) else None
    text = name if isinstance(name, str) else ''
    return xxhash.xxh64_intdigest(text.encode('utf-8', 'surrogatepass'))


def _get_zone(item: Any) -> str | None:
    zone = item.get('zone') if isinstance(item, Mapping) else None
    return zone if isinstance(zone, str) else None


def _compute_key_shard(item: Any) -> str | None:
    key_id = item.get('key_id') if isinstance(item, Mapping) else None
    if not isinstance(key_id, str):
        return None
    return digests.compute_digest(key_id.encode('utf-8', 'surrogatepass'))[0]


def _build_sort_key(section: str, item: Any) -> tuple[str, bytes]:
    field = _NAME_FIELDS.get(section, 'name')
    name = item.get(field) if isinstance(item, Mapping) else None
    if isinstance(name, str):
        return name, b''
    return '', encode_json(item)


def _build_bundle(kind: str, name: str, groups: Mapping[str, list]) -> Bundle:
    part_digests, parts, reasons = {}, {}, []
    for part_name, items in groups.items():
        section = part_name.partition('/')[0]
        ordered = sorted(
            items, key=lambda item, s=section: _build_sort_key(s, item)
        )
        data = encode_json(ordered)
        if len(data) > MAX_VALUE_BYTES:
            reasons.append(
                f'part {part_name}: {len(data)} bytes; at most'
                f' {MAX_VALUE_BYTES} are allowed'
            )
        digest = digests.compute_digest(data)
        part_digests[part_name] = digest
        parts[digest] = data
    if reasons:
        raise errors.PresetRejectedError(reasons)
    manifest = {
        'format': MANIFEST_FORMAT,
        'kind': kind,
        'name': name,
        'parts': part_digests,
    }
    return Bundle(encode_json(manifest), parts)
