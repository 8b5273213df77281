"""Test stand-ins for the platform and the network.

They are test equipment and no part of the product.
"""

from jayseam.standins import answers
from jayseam.standins import backend
from jayseam.standins import backendhosts
from jayseam.standins import clusters
from jayseam.standins import coldstarts
from jayseam.standins import convergence
from jayseam.standins import durations
from jayseam.standins import edits
from jayseam.standins import errors
from jayseam.standins import exchanges
from jayseam.standins import faultrules
from jayseam.standins import faults
from jayseam.standins import health
from jayseam.standins import invariants
from jayseam.standins import launchers
from jayseam.standins import nestedcalls
from jayseam.standins import networks
from jayseam.standins import plans
from jayseam.standins import platform
from jayseam.standins import processes
from jayseam.standins import publications
from jayseam.standins import relays
from jayseam.standins import requestfaults
from jayseam.standins import requests
from jayseam.standins import runs
from jayseam.standins import serving
from jayseam.standins import socketowners
from jayseam.standins import vmlists
from jayseam.standins import vmsettings
from jayseam.standins import waits

__all__ = [
    'answers',
    'backend',
    'backendhosts',
    'clusters',
    'coldstarts',
    'convergence',
    'durations',
    'edits',
    'errors',
    'exchanges',
    'faultrules',
    'faults',
    'health',
    'invariants',
    'launchers',
    'nestedcalls',
    'networks',
    'plans',
    'platform',
    'processes',
    'publications',
    'relays',
    'requestfaults',
    'requests',
    'runs',
    'serving',
    'socketowners',
    'vmlists',
    'vmsettings',
    'waits',
]
