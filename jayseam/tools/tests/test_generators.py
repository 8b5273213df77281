"""Tests of the load generator against a backend stand-in."""

import gevent
import pytest

from jayseam.core import clocks
from jayseam.standins import requestfaults
from jayseam.tools import generators
from jayseam.tools import loadreports
from jayseam.tools.tests import loads


def test_schedule_does_not_wait_for_answers(host):
    """The schedule is open-loop: a closed loop would hide a slow server."""
    profile = loads.build_profile(host, connections=1, arrivals='uniform')
    report = generators.run_load(profile)
    assert report.count_outcomes() == {'ok': 49}
    # One connection serves 50 calls per second, half of the arrival rate, so
    # the last call waits while about half of the other calls are served.
    assert report.latencies['w1'].get_max_value() > 400_000
    assert report.waits.get_max_value() > 400_000
    assert report.lags.get_value_at_percentile(50.0) < 20_000


def test_slow_tool_is_reported_as_lagged(host):
    """Delays of a slow load generator must not be blamed on the system."""

    def occupy_processor():
        while True:
            end = clocks.read_now() + 0.05
            while clocks.read_now() < end:
                pass
            gevent.sleep(0.001)

    job = gevent.spawn(occupy_processor)
    report = generators.run_load(loads.build_profile(host))
    job.kill()
    assert report.lag_p99_ms > loadreports.LAG_LIMIT_MS and report.lagged
    assert 'LAGGED' in report.format_table()
    report = loadreports.LoadReport(0.0, 1.0, cpu_share=0.95)
    assert report.lagged


def test_repeats_share_key_and_body(host):
    """Repeats with another key or body would not test at-most-once calls."""
    route = {
        'path': '/b',
        'method': 'POST',
        'repeatable': False,
        'repeat_share': 0.5,
        'body_bytes': 30,
    }
    report = generators.run_load(loads.build_profile(host, [route]))
    assert set(report.count_outcomes()) == {'ok'}
    keys = {record.echo: record.idempotency_key for record in report.records}
    for record in report.records:
        assert record.idempotency_key == keys[record.echo]
        assert record.idempotency_key[14] == '7'
    assert sum(record.repeat for record in report.records) > 5
    assert len(set(keys.values())) == len(keys)


def test_reconnects_when_told_to_close(host):
    """Calls must continue on new connections while a server drains."""
    host.backends['b1'].drain(True)
    report = generators.run_load(loads.build_profile(host, duration_s=0.3))
    assert set(report.count_outcomes()) == {'ok'}


@pytest.mark.parametrize(
    'fault, outcome',
    [('truncate', 'lost'), ('hang', 'timeout'), ('fail', 'status-500')],
)
def test_failed_calls_have_distinct_outcomes(host, fault, outcome):
    """Invariant checks need to know why a call got no complete response."""
    host.backends['b1'].set_fault(requestfaults.Fault(fault))
    report = generators.run_load(
        loads.build_profile(host, duration_s=0.1, timeout_s=0.2)
    )
    assert set(report.count_outcomes()) == {outcome}


def test_unreachable_target_counts_as_not_run(host):
    """A call over a refused connection can't have run."""
    host.backends['b1'].stop()
    report = generators.run_load(loads.build_profile(host, duration_s=0.1))
    assert set(report.count_outcomes()) == {'unreachable'}
    assert {record.ran for record in report.records} == {'no'}
