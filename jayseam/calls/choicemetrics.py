"""Metrics of the choice of a VM with the strategy ``expected_time``."""

from typing import Any

import prometheus_client

_choices = prometheus_client.Counter(
    'jayseam_placement_choices',
    'Choices of a VM with the strategy expected_time, by reason',
    ('reason',),
)
# The method ``labels`` validates its arguments on every call.
_choices_by_reason: dict[str, Any] = {}
_full_avoided = prometheus_client.Counter(
    'jayseam_placement_full_avoided',
    'Choices that passed over VMs without room',
)
_merged_loads = prometheus_client.Counter(
    'jayseam_placement_merged_loads',
    'Loads of VMs taken over from replies of other VMs',
)
_resets = prometheus_client.Counter(
    'jayseam_placement_resets',
    'Broken connections from which the limit of a VM was learned',
)


def count_choice(reason: str, full_avoided: bool) -> None:
    """Counts a choice for which the strategy gave a reason.

    Args:
      reason: The reason; empty if the strategy gives none.
      full_avoided: Whether VMs without room were passed over.
    """
    if full_avoided:
        _full_avoided.inc()
    if not reason:
        return
    counter = _choices_by_reason.get(reason)
    if counter is None:
        counter = _choices_by_reason[reason] = _choices.labels(reason)
    counter.inc()


def count_merged_loads(count: int) -> None:
    """Counts loads that were taken over from a digest."""
    _merged_loads.inc(count)


def count_reset() -> None:
    """Counts a reset from which a limit was learned."""
    _resets.inc()
