"""Real nodes on machines that behave differently; see `standins.machines`."""

import pytest

from jayseam.platform.tests import test_leaving_callers
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


@pytest.mark.parametrize(
    'machines',
    [
        ['rdhup-with-input'],
        ['silent-poll'],
        ['poll-refused'],
        ['kept-sockets'],
        ['no-rdhup', 'no-peek'],
    ],
)
def test_no_work_goes_on_for_callers_that_left(machines):
    """Upstreams worked to the end for callers that had left.

    The machines don't show the end of a connection as the node had expected,
    or tell the upstream nothing when the node closes its own.
    """
    fleet = test_leaving_callers.build_fleet(machines)
    try:
        fleet.start_all()
        test_leaving_callers.check_leaving_callers(fleet, 8)
    finally:
        fleet.close()
