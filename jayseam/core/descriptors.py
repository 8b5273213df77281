"""Divides the file descriptors of a process among its connections.

Each connection takes a descriptor. A part is reserved for links, the backend
server, the store and operators, so that callers can't cut a node off from its
fleet.
"""

import resource

import attrs

# The reserve is a third of the descriptors, and never more than this. Fleets
# have up to 700 nodes. With a quarter, a process of 256 had under 32 left once
# it had a few connections to its backend server.
MAX_RESERVE = 1024
RESERVE_SHARE = 1 / 3
# Parts of the reserve that connections of operators and of the platform, and
# links before their handshake, may take.
OPERATOR_SHARE = 0.125
UNAUTHENTICATED_SHARE = 0.25
MAX_OPERATORS = 64
MAX_UNAUTHENTICATED = 256
# Used where the process has no limit of descriptors.
_UNLIMITED = 1 << 20


@attrs.frozen
class ConnectionLimits:
    """Most connections of each kind.

    Attributes:
      callers: Connections of callers.
      operators: Connections to the admin address, and as many to that for
        readiness.
      unauthenticated: Links before the end of their handshake.
    """

    callers: int
    operators: int
    unauthenticated: int


def compute_limits(
    n_descriptors: int,
    max_callers: int | None = None,
    n_reserved: int | None = None,
) -> ConnectionLimits:
    """Returns the limits for a process.

    >>> compute_limits(8192)
    ConnectionLimits(callers=7168, operators=64, unauthenticated=256)
    >>> compute_limits(256)
    ConnectionLimits(callers=171, operators=10, unauthenticated=21)
    >>> compute_limits(1024, max_callers=100).callers
    100

    Args:
      n_descriptors: Descriptors that the process may open.
      max_callers: Most connections of callers; by default all descriptors that
        aren't reserved.
      n_reserved: Descriptors for other uses; by default a share of all.
    """
    reserve = n_reserved
    if reserve is None:
        reserve = min(MAX_RESERVE, int(n_descriptors * RESERVE_SHARE))
    callers = max(1, n_descriptors - reserve)
    if max_callers is not None:
        callers = min(callers, max_callers)
    return ConnectionLimits(
        callers,
        max(1, min(MAX_OPERATORS, int(reserve * OPERATOR_SHARE))),
        max(1, min(MAX_UNAUTHENTICATED, int(reserve * UNAUTHENTICATED_SHARE))),
    )


def read_descriptor_limit() -> int:
    """Returns the number of descriptors that this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED if soft == resource.RLIM_INFINITY else soft
