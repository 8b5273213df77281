"""Fleet membership and failure detection.

See Also:
  ``docs/design.md``, section 4.1.
"""

from jayseam.membership import callbacks
from jayseam.membership import detection
from jayseam.membership import errors
from jayseam.membership import events
from jayseam.membership import exchanges
from jayseam.membership import heartbeats
from jayseam.membership import lists
from jayseam.membership import messages
from jayseam.membership import neighbourhoods
from jayseam.membership import outbox
from jayseam.membership import reconciliation
from jayseam.membership import records
from jayseam.membership import task
from jayseam.membership import topology
from jayseam.membership import views

__all__ = [
    'callbacks',
    'detection',
    'errors',
    'events',
    'exchanges',
    'heartbeats',
    'lists',
    'messages',
    'neighbourhoods',
    'outbox',
    'reconciliation',
    'records',
    'task',
    'topology',
    'views',
]
