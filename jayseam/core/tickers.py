"""Periodic wake-ups that coincide within a process.

An idle node spends most of its processor time on wake-ups. Loops that sleep
until common instants share one wake-up of the event loop.
"""

import random

import gevent

from jayseam.core import clocks

# Keeps processes on one host from waking up at the same instant and competing
# for its processors.
_OFFSET_S = random.random()


def compute_wait(period_s: float, now: float) -> float:
    """Returns the seconds until the next multiple of ``period_s``.

    The multiples are counted from the clock's origin, so loops whose periods
    divide each other coincide at every multiple of the longer period.

    >>> compute_wait(0.5, now=10.25)
    0.25
    >>> compute_wait(0.5, now=10.5)
    0.5
    """
    return period_s - now % period_s


def sleep_until_tick(period_s: float) -> None:
    """Sleeps until the next common instant of loops with this period."""
    gevent.sleep(compute_wait(period_s, clocks.read_now() + _OFFSET_S))
