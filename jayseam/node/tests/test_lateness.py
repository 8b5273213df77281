"""What the log says of the machine: late wake-ups and what it offers."""

import errno
import os

from jayseam.node import pauses
from jayseam.node import status


def test_late_ticks_are_logged_now_and_then(monkeypatch):
    """Late wake-ups must be told apart from other causes of lateness."""
    lines = []
    monkeypatch.setattr(
        pauses._log,
        'warning',
        lambda event, extra: lines.append((event, extra)),
    )
    guard = pauses.PauseGuard(lambda now, paused_s: None)
    began = guard._last_tick
    for tick_at in (0.1, 0.2, 0.6, 1.1, 1.2, 9.0):
        guard._observe_lateness(began + tick_at)
        guard._last_tick = began + tick_at
    assert [event for event, _ in lines] == ['node.woken_late'] * 2
    assert [extra['late_s'] for _, extra in lines] == [0.3, 7.7]


def test_refused_name_of_the_system_is_described(monkeypatch):
    """A refused call of the system must not keep a node from starting."""

    def refuse():
        raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))

    assert status.describe_machine()['event_loop']
    monkeypatch.setattr(os, 'uname', refuse)
    assert 'not permitted' in status.describe_machine()['kernel']
