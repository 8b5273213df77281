"""A backend stand-in for tests of the load generator."""

import pytest

from jayseam.standins import backend
from jayseam.standins import backendhosts
from jayseam.standins import durations


@pytest.fixture(name='host')
def _host():
    settings = backend.BackendSettings(
        'b1', slots=50, service_time=durations.ServiceTime('fixed', 20.0)
    )
    host = backendhosts.BackendHost(
        backendhosts.BackendHostSettings([settings])
    )
    host.start()
    yield host
    host.stop()
