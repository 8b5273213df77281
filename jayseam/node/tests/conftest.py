"""The fleet that tests of calls under faults share."""

import pytest

from jayseam.node.tests import fleets


@pytest.fixture(name='proxied_fleet', scope='package')
def _proxied_fleet():
    """Yields a fleet behind fault proxies; its start takes ten seconds."""
    with fleets.start_fleet(
        fault_proxies=True, node={'stop': {'deadline_s': 5.0}}
    ) as fleet:
        fleet.wait_admitting()
        yield fleet


@pytest.fixture(name='fleet')
def _fleet(proxied_fleet):
    """Yields the shared fleet, idle and without records of earlier tests."""
    proxied_fleet.wait_idle()
    proxied_fleet.clear()
    yield proxied_fleet
