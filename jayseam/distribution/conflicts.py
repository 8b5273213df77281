"""Versions whose content differs between holders."""

from jayseam.distribution import versions

_MAX_KNOWN = 256


class KnownConflicts:
    """Remembers conflicts, so that each is logged once.

    A holder repeats its offer in every heartbeat.

    >>> known, version = KnownConflicts(), versions.Version('keys', 1, 'ab')
    >>> known.add(version), known.add(version)
    (True, False)
    """

    def __init__(self):
        self._known: dict[versions.Version, None] = {}

    def add(self, version: versions.Version) -> bool:
        """Records a conflict and returns whether it is new."""
        if version in self._known:
            return False
        while len(self._known) >= _MAX_KNOWN:
            self._known.pop(next(iter(self._known)))
        self._known[version] = None
        return True
