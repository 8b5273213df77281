"""Tests of load tables and of the choice that uses them."""

import pytest

from jayseam.routing import loads
from jayseam.routing import selection

POOL = selection.group_candidates(
    [selection.Candidate(f'vm-{i}', f'u-{i}', 'z', 3) for i in range(2)], {}
)


@pytest.mark.parametrize('draw', [0.1, 0.9])
def test_equal_queues_at_a_slower_server_count_for_more(draw):
    """Small workspaces waited until their deadline at a slow server."""
    table = loads.LoadTable()
    table.report('vm-0', 5.0, now=1.0, service_s=0.16)
    table.report('vm-1', 6.0, now=1.0, service_s=0.06)
    chosen = selection.choose(
        POOL, table, 'z', 1.0, [0.0, 0.0, draw, draw, 0.0]
    )
    assert chosen.vm == 'vm-1'


def test_unknown_service_times_do_not_count():
    """A VM that has not answered yet must not seem infinitely fast."""
    table = loads.LoadTable()
    table.report('vm-0', 5.0, now=1.0, service_s=0.16)
    assert table.compare_service('vm-0', 'vm-1') == 1.0
