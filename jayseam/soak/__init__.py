"""A randomized soak: real processes under faults that come from outside.

A seed draws a schedule of faults and operators' changes (`schedules`), which
overlap and follow one another (`faults`). Callers keep their connections while
nodes are stopped, paused, killed and cut off (`runs`). The promises are checked
from what callers and backend servers recorded (`checks`).
"""

from jayseam.soak.checks import Finding
from jayseam.soak.runs import Outcome
from jayseam.soak.runs import run_soak
from jayseam.soak.schedules import Schedule
from jayseam.soak.schedules import Step
from jayseam.soak.schedules import draw_schedule

__all__ = [
    'Finding',
    'Outcome',
    'Schedule',
    'Step',
    'draw_schedule',
    'run_soak',
]
