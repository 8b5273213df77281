"""Distribution of presets, key sets and VM lists between nodes.

See Also:
  ``docs/design.md``, sections 3.4 and 4.
"""

from jayseam.distribution import confirmations
from jayseam.distribution import conflicts
from jayseam.distribution import counters
from jayseam.distribution import errors
from jayseam.distribution import events
from jayseam.distribution import exchange
from jayseam.distribution import fetching
from jayseam.distribution import joining
from jayseam.distribution import memories
from jayseam.distribution import messages
from jayseam.distribution import offers
from jayseam.distribution import parts
from jayseam.distribution import peers
from jayseam.distribution import pulling
from jayseam.distribution import reading
from jayseam.distribution import rejections
from jayseam.distribution import states
from jayseam.distribution import status
from jayseam.distribution import syncing
from jayseam.distribution import task
from jayseam.distribution import versions

__all__ = [
    'confirmations',
    'conflicts',
    'counters',
    'errors',
    'events',
    'exchange',
    'fetching',
    'joining',
    'memories',
    'messages',
    'offers',
    'parts',
    'peers',
    'pulling',
    'reading',
    'rejections',
    'states',
    'status',
    'syncing',
    'task',
    'versions',
]
