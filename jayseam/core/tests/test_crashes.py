"""Greenlets that end with an error are logged and counted."""

import io
import json

import gevent
import pytest

from jayseam.core import crashes
from jayseam.core import logs


@pytest.fixture(name='stream')
def stream_fixture():
    """Reports crashes to a stream of log lines; restores the hub's report."""
    hub = gevent.get_hub()
    stream = io.StringIO()
    logs.configure_logs('INFO', stream)
    crashes.report_crashes()
    yield stream
    del hub.print_exception


def fail():
    """Raises an error that nothing expects."""
    raise PermissionError(1, 'Operation not permitted')


def test_dead_greenlet_leaves_a_log_line_and_a_count(stream):
    """A task that nothing waits for must not end without a trace."""
    counter = crashes.CRASHES.labels('fail')
    before = counter._value.get()
    gevent.spawn(fail).join()
    (line,) = stream.getvalue().splitlines()
    record = json.loads(line)
    assert record['event'] == 'task.crashed' and record['level'] == 'ERROR'
    assert record['task'] == 'fail'
    assert 'Operation not permitted' in record['reason']
    assert 'in fail' in record['exc_info']
    assert counter._value.get() == before + 1
