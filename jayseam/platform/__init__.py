"""Runs a node on the operators' platform.

This package translates what is specific to the platform: its settings file, its
key-value store, the configuration and server entries in the store, and the
header fields of callers and backend servers. It has no influence on how calls
are routed, limited or retried.

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
