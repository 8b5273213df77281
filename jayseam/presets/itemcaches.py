"""Caches of decoded parts and verified items, for the next version.

Most parts of a new version are unchanged, and so are most items of a changed
part. What is computed from a part or an item alone needn't be computed again.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs


class DecodedParts:
    """The items of the parts of the document that was joined last.

    Documents share the items of an unchanged part, so nobody may change them.

    >>> decoded = DecodedParts()
    >>> items = decoded.get('vms/a', 'digest', lambda: [{'vm': 'u1'}])
    >>> decoded.replace({('vms/a', 'digest'): items})
    >>> decoded.get('vms/a', 'digest', lambda: []) is items
    True
    """

    def __init__(self):
        self._items: Mapping[tuple[str, str], list[Any]] = {}

    def get(
        self, part_name: str, digest: str, decode: Callable[[], list[Any]]
    ) -> list[Any]:
        """Returns the items of a part; calls ``decode`` if they are unknown.

        Whether an item belongs to a part is checked when the part is decoded,
        so the name is a part of the key.
        """
        items = self._items.get((part_name, digest))
        return decode() if items is None else items

    def replace(
        self, items_by_part: Mapping[tuple[str, str], list[Any]]
    ) -> None:
        """Replaces all parts, by name and digest."""
        self._items = dict(items_by_part)


@attrs.define(slots=True, eq=False)
class ValidItem:
    """An item of the right shape.

    Attributes:
      item: The item as it was decoded.
      fingerprint: Digest of its JSON; None if it has none.
      built: Value that was built from it, or None.
    """

    item: Any
    fingerprint: bytes | None
    built: Any = None


class ValidItemCache:
    """Caches which items of the last verified document had the right shape.

    Whether an item has the right shape, and what is built from it, depend only
    on the item, so the cache can't change a result.
    """

    def __init__(self):
        self._fingerprints: dict[str, frozenset[bytes]] = {}
        # By the identity of the item, which the entry keeps from being reused.
        self._items: dict[str, dict[int, ValidItem]] = {}

    def find(self, section: str, item: Any) -> ValidItem | None:
        """Returns what is known of this very item, or None."""
        return self._items.get(section, {}).get(id(item))

    def contains(self, section: str, fingerprint: bytes) -> bool:
        """Returns whether an item is known to have the right shape."""
        return fingerprint in self._fingerprints.get(section, ())

    def replace(self, section: str, items: Iterable[ValidItem]) -> None:
        """Replaces the cached items of a section."""
        self._items[section] = {id(valid.item): valid for valid in items}
        self._fingerprints[section] = frozenset(
            valid.fingerprint
            for valid in self._items[section].values()
            if valid.fingerprint is not None
        )
