"""Route lookup and selection of the upstream that runs a call.

See Also:
  ``docs/design.md``, section 5.2.
"""

from jayseam.routing import digests
from jayseam.routing import eligibility
from jayseam.routing import errors
from jayseam.routing import expectations
from jayseam.routing import loads
from jayseam.routing import matching
from jayseam.routing import refusals
from jayseam.routing import selection
from jayseam.routing import speeds
from jayseam.routing import zones

__all__ = [
    'digests',
    'eligibility',
    'errors',
    'expectations',
    'loads',
    'matching',
    'refusals',
    'selection',
    'speeds',
    'zones',
]
