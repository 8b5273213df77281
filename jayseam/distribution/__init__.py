"""Distribution of presets, key sets and VM lists between nodes.

Each of the three is a channel with numbered versions. A node holds at most one
version of each channel and swaps to a greater one only after it has received
and verified the whole content. A few nodes of each availability zone, the
readers, watch the source; the other nodes pull versions from their peers. A
peer or source that offers a version is called its holder.

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
from jayseam.distribution import version_memory
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
    'version_memory',
    'versions',
]
