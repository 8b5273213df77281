"""Tests of load tables and of the selection that uses them."""

import pytest

from jayseam.routing import loads
from jayseam.routing import selection

POOL = selection.group_candidates(
    [selection.Candidate(f'vm-{i}', f'u-{i}', 'z', 3) for i in range(2)], {}
)


@pytest.mark.parametrize('draw', [0.1, 0.9])
def test_equal_queues_at_a_slower_server_count_for_more(draw):
    """Small workspaces' calls waited until their deadline at a slow server."""
    table = loads.LoadTable()
    table.record_report(
        'vm-0', '', loads.ReportedLoad(5.0, 5.0, 5.0, 0.16), now=1.0
    )
    table.record_report(
        'vm-1', '', loads.ReportedLoad(6.0, 6.0, 6.0, 0.06), now=1.0
    )
    chosen = selection.choose(
        POOL, table, 'z', 1.0, [0.0, 0.0, draw, draw, 0.0]
    )
    assert chosen.vm == 'vm-1'


def test_unknown_service_times_do_not_count():
    """A VM that has not answered yet must not seem infinitely fast."""
    table = loads.LoadTable()
    table.record_report(
        'vm-0', '', loads.ReportedLoad(5.0, 5.0, 5.0, 0.16), now=1.0
    )
    assert table.compute_service_ratio('vm-0', 'vm-1') == 1.0


def _choose_for(table, workspace, now=1.0):
    draws = [0.0, 0.0, 0.1, 0.1, 0.0]
    return selection.choose(
        POOL, table, 'z', now, draws, workspace=workspace
    ).vm


def test_backlog_of_a_neighbour_does_not_send_calls_to_a_slow_server():
    """The backlog of another workspace must not count as delay.

    Otherwise the other server seems worse because of that backlog, although a
    fair queue keeps it from delaying calls of small workspaces, and these wait
    behind their own calls at a slow server.
    """
    table = loads.LoadTable()
    table.record_report(
        'vm-0', 'small', loads.ReportedLoad(4.0, 4.0, 2.0, 0.16), now=1.0
    )
    table.record_report(
        'vm-1', 'large', loads.ReportedLoad(15.0, 15.0, 1.5, 0.06), now=1.0
    )
    assert _choose_for(table, 'small') == 'vm-1'
    assert _choose_for(table, 'large') == 'vm-0'


def test_own_calls_since_the_report_count_for_their_workspace():
    """Calls that start between two reports must not all go to one VM."""
    table = loads.LoadTable()
    table.record_report('vm-0', 'w', loads.ReportedLoad(1.0, 1.0, 1.0), now=1.0)
    table.record_report('vm-1', 'w', loads.ReportedLoad(1.5, 1.5, 1.5), now=1.0)
    assert _choose_for(table, 'w') == 'vm-0'
    for _ in range(2):
        table.record_call_start('vm-0', 'w')
    assert _choose_for(table, 'w') == 'vm-1'


def test_old_reports_of_a_workspace_give_way_to_all_load():
    """An old report of a short backlog must not hide the present load."""
    table = loads.LoadTable()
    table.record_report('vm-0', 'w', loads.ReportedLoad(9.0, 0.5, 0.5), now=1.0)
    assert table.estimate('vm-0', 3, now=1.5, workspace='w') == 0.5
    assert table.estimate('vm-0', 3, now=2.5, workspace='w') == 4.5


def test_workspaces_without_news_are_forgotten():
    """The table must not grow with every workspace ever seen."""
    table = loads.LoadTable()
    for number in range(2 * loads.MAX_WORKSPACES):
        report = loads.ReportedLoad(1.0, 1.0, 1.0)
        table.record_report('vm-0', f'w{number}', report, now=2.0 * number)
    assert len(table.get('vm-0').workspaces) <= loads.MAX_WORKSPACES + 1
