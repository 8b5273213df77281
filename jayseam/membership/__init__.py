"""Which members of the fleet are alive.

See Also:
  ``docs/design.md``, section 4.1.
"""

from jayseam.membership import detection
from jayseam.membership import errors
from jayseam.membership import messages
from jayseam.membership import records
from jayseam.membership import task
from jayseam.membership import topology
from jayseam.membership import views

__all__ = [
    'detection',
    'errors',
    'messages',
    'records',
    'task',
    'topology',
    'views',
]
