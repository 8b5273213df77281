"""Real nodes on machines that behave differently; see `standins.machines`."""

import pytest

from jayseam.platform.tests import test_refused_calls
from jayseam.platform.tests import test_storms

STORM_S = 2.0
N_STORMS = 2


def run_storms(fleet):
    """Withdraws keys after storms of other changes, and expects it in time."""
    writer = test_storms.Writer(fleet, 100)
    keys = test_storms.KEYS
    for step in range(N_STORMS):
        writer.storm([keys[step]], test_storms.GAPS_S[1], STORM_S)
        writer.write([keys[step + 1]])
        test_storms.wait_for_keys(fleet, keys[step + 1], keys[step])


@pytest.mark.parametrize('machine', ['deaf-connections', 'late-timers'])
def test_withdrawn_key_stops_in_time(machine):
    """A withdrawn key worked on where an event of the store's was lost."""
    fleet = test_refused_calls.build_fleet(machine)
    try:
        fleet.start_all()
        run_storms(fleet)
    finally:
        fleet.close()
