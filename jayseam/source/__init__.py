"""Reads and watches of the platform's configuration service and VM list.

The configuration service and the VM list together are called the source.

See Also:
  ``docs/design.md``, section 3.4.
"""

from jayseam.source import backoff
from jayseam.source import client
from jayseam.source import endpoints
from jayseam.source import errors
from jayseam.source import watchers

__all__ = ['backoff', 'client', 'endpoints', 'errors', 'watchers']
