"""Tools for operators and for load tests."""

from jayseam.tools import ctl
from jayseam.tools import generators
from jayseam.tools import histograms
from jayseam.tools import load
from jayseam.tools import loadreports
from jayseam.tools import outcomes
from jayseam.tools import profiles
from jayseam.tools import records
from jayseam.tools import schedules

__all__ = [
    'ctl',
    'generators',
    'histograms',
    'load',
    'loadreports',
    'outcomes',
    'profiles',
    'records',
    'schedules',
]
