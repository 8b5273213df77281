"""Authenticated links between nodes.

See Also:
  ``docs/design.md``, section 4.2.
"""

from jayseam.links import codecs
from jayseam.links import connections
from jayseam.links import counters
from jayseam.links import errors
from jayseam.links import frames
from jayseam.links import handlers
from jayseam.links import handshakes
from jayseam.links import manager
from jayseam.links import messages
from jayseam.links import transports

__all__ = [
    'codecs',
    'connections',
    'counters',
    'errors',
    'frames',
    'handlers',
    'handshakes',
    'manager',
    'messages',
    'transports',
]
