"""Experiments that compare deployments with the targets of the design."""

from jayseam.bench import callers
from jayseam.bench import children
from jayseam.bench import control
from jayseam.bench import experiments
from jayseam.bench import figures
from jayseam.bench import fleets
from jayseam.bench import holdings
from jayseam.bench import latency
from jayseam.bench import loadruns
from jayseam.bench import neighbours
from jayseam.bench import overloads
from jayseam.bench import pages
from jayseam.bench import processes
from jayseam.bench import publication
from jayseam.bench import reports
from jayseam.bench import zonemoves

__all__ = [
    'callers',
    'children',
    'control',
    'experiments',
    'figures',
    'fleets',
    'holdings',
    'latency',
    'loadruns',
    'neighbours',
    'overloads',
    'pages',
    'processes',
    'publication',
    'reports',
    'zonemoves',
]
