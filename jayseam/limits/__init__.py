"""Fleet-wide rate and burst of workspaces.

See Also:
  ``docs/design.md``, sections 5.3 and 8. The proof of the window bound is in
  `share_leases` (conservation of shares) and `pools` (conservation of tokens).
"""

from jayseam.limits import baselines
from jayseam.limits import buckets
from jayseam.limits import cells
from jayseam.limits import errors
from jayseam.limits import messages
from jayseam.limits import pools
from jayseam.limits import replicas
from jayseam.limits import share_leases
from jayseam.limits import strategies
from jayseam.limits import task
from jayseam.limits import token_caches

__all__ = [
    'baselines',
    'buckets',
    'cells',
    'errors',
    'messages',
    'pools',
    'replicas',
    'share_leases',
    'strategies',
    'task',
    'token_caches',
]
