"""Admission of calls to the node's own backend server.

See Also:
  ``docs/design.md``, section 5.4.
"""

from jayseam.admission import concurrency
from jayseam.admission import errors
from jayseam.admission import gates
from jayseam.admission import objectives
from jayseam.admission import paces
from jayseam.admission import pacing
from jayseam.admission import queues
from jayseam.admission import ramps
from jayseam.admission import tickets

__all__ = [
    'concurrency',
    'errors',
    'gates',
    'objectives',
    'paces',
    'pacing',
    'queues',
    'ramps',
    'tickets',
]
