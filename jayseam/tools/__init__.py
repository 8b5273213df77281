"""Tools for operators and for load tests."""

from jayseam.tools import ctl
from jayseam.tools import load
from jayseam.tools import profiles

__all__ = ['ctl', 'load', 'profiles']
