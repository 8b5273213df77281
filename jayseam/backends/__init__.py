"""Client and state of the node's own backend server.

See Also:
  ``docs/design.md``, section 5.4.
"""

from jayseam.backends import client
from jayseam.backends import connections
from jayseam.backends import dialects
from jayseam.backends import errors
from jayseam.backends import health
from jayseam.backends import messages
from jayseam.backends import states

__all__ = [
    'client',
    'connections',
    'dialects',
    'errors',
    'health',
    'messages',
    'states',
]
