"""Reads of the two clocks that jayseam uses.

Only this module reads clocks. Functions whose result depends on the time take
``now`` as an argument, so that tests can pass any time.

References:
  clock_gettime(2), on CLOCK_BOOTTIME.
"""

import time


def choose_clock() -> int:
    """Returns the clock of `read_now`: CLOCK_BOOTTIME, or CLOCK_MONOTONIC.

    A machine may refuse CLOCK_BOOTTIME. CLOCK_MONOTONIC, without which Python
    doesn't start, differs only after a suspension of the VM.
    """
    try:
        time.clock_gettime(time.CLOCK_BOOTTIME)
    except OSError:
        return time.CLOCK_MONOTONIC
    return time.CLOCK_BOOTTIME


_CLOCK = choose_clock()


def counts_suspension() -> bool:
    """Returns whether `read_now` advances while the VM is suspended."""
    return _CLOCK == time.CLOCK_BOOTTIME


def read_now() -> float:
    """Returns the seconds since boot, including time spent suspended.

    CLOCK_BOOTTIME advances while a VM is suspended; CLOCK_MONOTONIC does not,
    so a lease measured with CLOCK_MONOTONIC would outlive a suspension. It is
    read only where CLOCK_BOOTTIME is refused; see `counts_suspension`.

    >>> read_now() <= read_now()
    True
    """
    return time.clock_gettime(_CLOCK)


def read_wall_ms() -> int:
    """Returns the wall clock in milliseconds since the Unix epoch.

    Use the wall clock for incarnation numbers and timestamps that callers see,
    never for leases, deadlines or rates.
    """
    return time.time_ns() // 1_000_000
