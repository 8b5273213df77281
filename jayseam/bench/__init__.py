"""Experiments that measure deployments against the targets of the design."""

from jayseam.bench import callers
from jayseam.bench import control
from jayseam.bench import experiments
from jayseam.bench import figures
from jayseam.bench import fleets
from jayseam.bench import latency
from jayseam.bench import processes
from jayseam.bench import publication
from jayseam.bench import reports
from jayseam.bench import service

__all__ = [
    'callers',
    'control',
    'experiments',
    'figures',
    'fleets',
    'latency',
    'processes',
    'publication',
    'reports',
    'service',
]
