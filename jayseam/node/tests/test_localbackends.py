"""Tests of the node's own backend server: settings and pauses."""

import pytest

from jayseam import admission
from jayseam.admission import tickets
from jayseam.node import localbackends
from jayseam.settings import loading

_SETTINGS = {
    'vm': 'vm-1',
    'region': 'r1',
    'zone': 'z1',
    'upstream': 'credits-1',
    'caller': {'host': '127.0.0.1', 'port': 8080},
    'link': {'host': '127.0.0.1', 'port': 8081},
    'admin': {'host': '127.0.0.1', 'port': 8082},
    'backend': {'host': '127.0.0.1', 'port': 8083},
    'source': {'urls': ['http://127.0.0.1:9000']},
    'fleet_secrets': ['0123456789abcdef'],
}


def _build_backend(**admission_settings):
    """Returns a backend server that is not started."""
    settings = loading.parse_node_settings(
        {**_SETTINGS, 'admission': admission_settings}
    )
    return localbackends.LocalBackend(
        settings, 1, lambda: None, lambda state: None, lambda now: now
    )


@pytest.mark.parametrize(
    'admission_settings,ramp_class',
    [
        ({}, admission.ramps.LinearRamp),
        ({'ramp': False}, admission.ramps.FullRamp),
        ({'ramp_variant': 'answers'}, admission.paces.AnswerPace),
    ],
)
def test_settings_name_the_ramp(admission_settings, ramp_class):
    """A setting that isn't passed on would leave the variant unused."""
    backend = _build_backend(**admission_settings)
    assert isinstance(backend._gate._ramp, ramp_class)


def test_calls_that_span_a_pause_do_not_lower_the_limit():
    """After a pause the server may have closed connections in use."""
    backend = _build_backend(ramp_variant='answers')
    gate = backend._gate
    gate.set_capacity(4, 4)
    ticket = tickets.Ticket('', 1.0, 1e9, 'r-1', lambda now: True)
    permit = gate.acquire(ticket, 1000.0)
    backend.notice_pause(1005.0, 4.9)
    permit.release(tickets.Result.RESET, 1005.1, 'view')
    assert gate.describe(1005.1).limit == 4
    gate.acquire(ticket, 1005.2).release(tickets.Result.RESET, 1005.3, 'view')
    assert gate.describe(1005.3).limit == 2
