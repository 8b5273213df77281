"""The node process: its tasks, listeners, life cycle and command line."""

from jayseam.node import admin
from jayseam.node import application
from jayseam.node import callers
from jayseam.node import composition
from jayseam.node import errors
from jayseam.node import fields
from jayseam.node import lifecycles
from jayseam.node import localbackends
from jayseam.node import metrics
from jayseam.node import pauses
from jayseam.node import status

__all__ = [
    'admin',
    'application',
    'callers',
    'composition',
    'errors',
    'fields',
    'lifecycles',
    'localbackends',
    'metrics',
    'pauses',
    'status',
]
