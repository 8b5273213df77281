"""Modules that all other subpackages use.

See Also:
  ``docs/design.md``, section 3.1.
"""

from jayseam.core import clocks
from jayseam.core import crashes
from jayseam.core import digests
from jayseam.core import errors
from jayseam.core import identifiers
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import registries
from jayseam.core import rendezvous
from jayseam.core import sockets
from jayseam.core import statecharts
from jayseam.core import tasks
from jayseam.core import tickers

__all__ = [
    'clocks',
    'crashes',
    'digests',
    'errors',
    'identifiers',
    'logs',
    'loops',
    'registries',
    'rendezvous',
    'sockets',
    'statecharts',
    'tasks',
    'tickers',
]
