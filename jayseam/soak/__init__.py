"""A randomized soak test: fault injection on real processes.

A schedule of overlapping faults and operator changes is drawn from a seed
(`schedules`) and injected into a running cluster (`faults`). Meanwhile a load
generator keeps its connections to nodes that are stopped, paused, killed and
partitioned (`runs`). Afterwards the invariants are checked against what the
load generator and the backend servers recorded (`checks`).

The modules ``store*``, `fleets`, `operators` and `probes` do the same for the
programs of the operators' platform and its store.
"""

from jayseam.soak.checks import Finding
from jayseam.soak.runs import SoakResult
from jayseam.soak.runs import run_soak
from jayseam.soak.schedules import Schedule
from jayseam.soak.schedules import Step
from jayseam.soak.schedules import draw_schedule

__all__ = [
    'Finding',
    'Schedule',
    'SoakResult',
    'Step',
    'draw_schedule',
    'run_soak',
]
