"""Real nodes under configurations that are large or can't be used."""

import pytest

from jayseam.platform.tests import samples
from jayseam.platform.tests import test_refused_calls
from jayseam.soak import operators
from jayseam.standins import exchanges
from jayseam.standins import platformbackend
from jayseam.standins import waits

# Deadlines from the platform's settings, in seconds.
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
START_S = 20.0
LARGE = 2026120501
ROUTES = [
    samples.build_route('book', kind='unsafe', timeout='20s'),
    samples.build_route('open', public=True),
]


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    """Yields a ready fleet of two VMs."""
    fleet = test_refused_calls.build_fleet()
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.close()


def write(fleet, version, keys=None, routes=None):
    """Writes a configuration to the store."""
    document = samples.build_configuration(
        version, routes or ROUTES, keys, rate_per_s=1000
    )
    fleet.store.put(operators.CONFIGURATION_KEY, document)


def wait_for_status(fleet, key, status, within_s, path='/book/1'):
    """Waits until calls with a key get a status at every node."""
    for ip in fleet.vms:
        waits.wait_until(
            lambda ip=ip: call(fleet, ip, path, key) == status, within_s, ip
        )


def call(fleet, ip, path, key):
    """Returns the status of one call."""
    headers = {
        'Host': samples.HOST,
        platformbackend.REQUEST_ID_HEADER: f'{ip}{path}',
        platformbackend.DEADLINE_HEADER: '1500',
    }
    if key:
        headers['Authorization'] = f'Bearer {key}'
    method = 'POST' if path.startswith('/book/') else 'GET'
    address = fleet.get_caller_address(ip)
    return exchanges.exchange_once(address, method, path, headers).status


def test_key_withdrawn_by_a_large_version_stops(fleet):
    """A version number of ten digits must take effect on a running fleet.

    It also must on a node that starts while it is in force.
    """
    write(fleet, 'r2026')
    wait_for_status(fleet, samples.KEYS['museum'], 200, CONFIG_APPLY_S)
    school = {'school': samples.KEYS['school']}
    write(fleet, f'r{LARGE}', school)
    wait_for_status(fleet, samples.KEYS['museum'], 401, REVOKE_S)
    ip = next(iter(fleet.vms))
    fleet.kill(ip)
    fleet.start(ip)
    waits.wait_until(lambda: fleet.is_ready(ip), START_S, ip)
    assert call(fleet, ip, '/book/1', samples.KEYS['museum']) == 401
    assert call(fleet, ip, '/book/1', samples.KEYS['school']) == 200


def test_unusable_version_ends_the_trust_in_the_keys_before_it(fleet):
    """What a version withdraws can't be known if the version can't be read.

    The next version that can be read puts an end to it, and public routes are
    served all the while.
    """
    write(fleet, f'r{LARGE + 1}')
    wait_for_status(fleet, samples.KEYS['museum'], 200, CONFIG_APPLY_S)
    fleet.store.put(operators.CONFIGURATION_KEY, b'\xff')
    wait_for_status(fleet, samples.KEYS['museum'], 503, REVOKE_S)
    wait_for_status(fleet, '', 200, CONFIG_APPLY_S, '/open/1')
    write(fleet, f'r{LARGE + 2}')
    wait_for_status(fleet, samples.KEYS['museum'], 200, CONFIG_APPLY_S)


def test_rejected_routes_are_not_used_with_newer_keys(fleet):
    """A version is put in force as a whole or not at all."""
    write(fleet, f'r{LARGE + 3}')
    wait_for_status(fleet, samples.KEYS['museum'], 200, CONFIG_APPLY_S)
    routes = [*ROUTES, samples.build_route('lost', service='nowhere')]
    keys = {'school': samples.KEYS['school']}
    write(fleet, f'r{LARGE + 4}', keys, routes)
    wait_for_status(fleet, samples.KEYS['museum'], 503, REVOKE_S)
    wait_for_status(fleet, samples.KEYS['school'], 503, REVOKE_S)
    write(fleet, f'r{LARGE + 5}', keys)
    wait_for_status(fleet, samples.KEYS['museum'], 401, CONFIG_APPLY_S)
    wait_for_status(fleet, samples.KEYS['school'], 200, CONFIG_APPLY_S)
