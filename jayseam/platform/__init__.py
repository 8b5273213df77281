"""Runs a node on the operators' platform.

Everything that the platform names or spells in its own way is translated here:
its settings file, its store, its configuration and server entries, and the
header fields of callers and backend servers. Nothing here decides how calls
are served.

See Also:
  ``docs/platform.md``.
"""

from jayseam.platform import configurations
from jayseam.platform import dialect
from jayseam.platform import durations
from jayseam.platform import entries
from jayseam.platform import errors
from jayseam.platform import journal
from jayseam.platform import mirrors
from jayseam.platform import settings
from jayseam.platform import source
from jayseam.platform import store

__all__ = [
    'configurations',
    'dialect',
    'durations',
    'entries',
    'errors',
    'journal',
    'mirrors',
    'settings',
    'source',
    'store',
]
