"""Real nodes under configurations that come in quick succession."""

import gevent
import pytest

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.platform.tests import test_refused_calls
from jayseam.platform.tests import test_unusable
from jayseam.soak import operators
from jayseam.standins import waits

CONFIG_APPLY_S = 2.0
N_ROUNDS = 5
STORM_S = 5.0
GAPS_S = (0.06, 0.22, 0.36)
KEYS = [f'{number:02d}bbbbccccddddeeeeff' for number in range(N_ROUNDS)]


@pytest.fixture(name='fleet', scope='module')
def _fleet():
    """Yields a ready fleet of two VMs in two zones, with one reader each."""
    fleet = test_refused_calls.build_fleet()
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.close()


class Writer:
    """Writes versions with rising numbers."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number

    def write(self, keys, timeout_ms=1000):
        """Writes a version with some keys and a timeout of an idle route."""
        self._number += 3
        routes = [
            samples.build_route('book', kind='unsafe', timeout='20s'),
            samples.build_route('idle', timeout=f'{timeout_ms}ms'),
        ]
        document = samples.build_configuration(
            f'r{self._number}', routes, rate_per_s=1000
        )
        samples.add_keys(document, 'museum', keys)
        self._fleet.store.put(operators.CONFIGURATION_KEY, document)

    def storm(self, keys, gap_s, duration_s=STORM_S):
        """Writes versions that only change the timeout of the idle route."""
        end = clocks.read_now() + duration_s
        while clocks.read_now() < end:
            self.write(keys, 1000 + self._number % 500)
            gevent.sleep(gap_s)


def wait_for_keys(fleet, granted, withdrawn):
    """Waits until every node serves a key and refuses another one."""

    def is_applied(ip):
        return [
            test_unusable.call(fleet, ip, '/book/1', key)
            for key in (granted, withdrawn)
        ] == [200, 401]

    deadline = clocks.read_now() + CONFIG_APPLY_S
    for ip in fleet.vms:
        left_s = deadline - clocks.read_now()
        waits.wait_until(lambda ip=ip: is_applied(ip), left_s, ip)


def test_keys_change_in_time_after_a_storm(fleet):
    """A storm of other changes must not delay a key's grant or withdrawal."""
    writer = Writer(fleet, 100)
    for step in range(N_ROUNDS - 1):
        writer.storm([KEYS[step]], GAPS_S[step % len(GAPS_S)])
        writer.write([KEYS[step + 1]])
        wait_for_keys(fleet, KEYS[step + 1], KEYS[step])
