"""Clocks that a machine refuses."""

import errno
import importlib
import os
import time

from jayseam.core import clocks


def refuse(*_):
    """Fails as a call that a policy refuses."""
    raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))


def test_refused_boot_time_falls_back(monkeypatch):
    """A node must start where only the monotonic clock can be read."""
    original = time.clock_gettime
    with monkeypatch.context() as patch:
        patch.setattr(
            time,
            'clock_gettime',
            lambda c: refuse() if c == time.CLOCK_BOOTTIME else original(c),
        )
        importlib.reload(clocks)
        assert abs(clocks.read_now() - time.monotonic()) < 1.0
        assert not clocks.counts_suspension()
    importlib.reload(clocks)
    assert clocks.counts_suspension()
