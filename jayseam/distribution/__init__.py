"""Distribution of presets, key sets and VM lists between nodes.

See Also:
  ``docs/design.md``, sections 3.4 and 4.
"""

from jayseam.distribution import confirmations
from jayseam.distribution import counters
from jayseam.distribution import errors
from jayseam.distribution import exchange
from jayseam.distribution import fetching
from jayseam.distribution import memories
from jayseam.distribution import messages
from jayseam.distribution import parts
from jayseam.distribution import rejections
from jayseam.distribution import task
from jayseam.distribution import versions

__all__ = [
    'confirmations',
    'counters',
    'errors',
    'exchange',
    'fetching',
    'memories',
    'messages',
    'parts',
    'rejections',
    'task',
    'versions',
]
