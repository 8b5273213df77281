"""Workspaces of the model and their load."""

import types

import attrs


@attrs.frozen
class Load:
    """Limit and load of one workspace.

    Attributes:
      rate_per_s: Its rate in tokens per second.
      burst: Its burst in tokens.
      offered_per_s: Calls per second that it sends.
    """

    rate_per_s: float
    burst: float
    offered_per_s: float


# Two large workspaces, five small ones, and one that calls at 4 times its rate.
DEFAULT_LOADS = types.MappingProxyType(
    {
        'large-1': Load(400.0, 400.0, 280.0),
        'large-2': Load(300.0, 300.0, 210.0),
        'small-1': Load(40.0, 40.0, 24.0),
        'small-2': Load(40.0, 40.0, 24.0),
        'small-3': Load(30.0, 30.0, 15.0),
        'small-4': Load(20.0, 20.0, 10.0),
        'small-5': Load(10.0, 10.0, 2.0),
        'greedy': Load(60.0, 60.0, 240.0),
    }
)
