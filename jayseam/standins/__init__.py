"""Test stand-ins for the platform and the network.

They are test equipment and no part of the product.
"""

from jayseam.standins import answers
from jayseam.standins import backend
from jayseam.standins import clusters
from jayseam.standins import convergence
from jayseam.standins import durations
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import faults
from jayseam.standins import platform
from jayseam.standins import processes
from jayseam.standins import referee
from jayseam.standins import serving

__all__ = [
    'answers',
    'backend',
    'clusters',
    'convergence',
    'durations',
    'errors',
    'exchanges',
    'faults',
    'platform',
    'processes',
    'referee',
    'serving',
]
