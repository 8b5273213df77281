"""Loops go on after an error, and end when they are told to."""

import gevent
import pytest

from jayseam.core import loops
from jayseam.core import tasks


@pytest.mark.parametrize('error', [PermissionError(1, 'no'), gevent.Timeout()])
def test_loop_is_begun_again_after_an_error(error):
    """An error in one turn must not keep the next turns from being done."""
    turns = []

    def run():
        turns.append(len(turns))
        if len(turns) < 3:
            raise error

    counter = loops.FAILURES.labels(run.__qualname__)
    before = counter._value.get()
    loops.spawn_loop(run).join(2.0)
    assert turns == [0, 1, 2]
    assert counter._value.get() == before + 2


def test_killed_loop_ends():
    """A stop must not have to wait for a loop, nor begin it again."""
    turns = []

    def run():
        turns.append(0)
        gevent.sleep(10.0)

    greenlet = loops.spawn_loop(run)
    gevent.sleep(0.01)
    greenlet.kill(timeout=0.5)
    assert greenlet.ready() and turns == [0]


def test_mailbox_goes_on_after_a_timeout():
    """A time limit that a handler meets is no `Exception`."""
    task = tasks.Task('wait')

    def wait(_):
        raise gevent.Timeout(0.1)

    task.handle(int, wait)
    task.handle(str, str.upper)
    task.start()
    task.send(1)
    assert task.ask('a', timeout_s=1.0) == 'A'
    task.stop()
