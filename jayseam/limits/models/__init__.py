"""A deterministic model of a fleet that runs only the limit protocol.

The model measures strategies alone, without links, tasks or a network stack.

Run ``python -m jayseam.limits.models --nodes 12 --seed 1`` for a comparison.
"""

from jayseam.limits.models import faults
from jayseam.limits.models import fleets
from jayseam.limits.models import measures
from jayseam.limits.models import scenarios
from jayseam.limits.models import weightings
from jayseam.limits.models import workspaces

__all__ = [
    'faults',
    'fleets',
    'measures',
    'scenarios',
    'weightings',
    'workspaces',
]
