"""Changes of the view that follow from the VM list and from retention."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import attrs

from jayseam.core import logs
from jayseam.membership import errors
from jayseam.membership import records
from jayseam.membership import views

DEAD_RETENTION_S = 600.0
_log = logs.get_logger(__name__)


def parse_entries(
    entries: Iterable[Mapping[str, Any]],
) -> tuple[records.MemberRecord, ...]:
    """Converts entries of the VM list to records.

    An invalid entry is logged and skipped, so that it does not invalidate the
    rest of the list.
    """
    listed = []
    for entry in entries:
        try:
            listed.append(records.parse_vm_entry(entry))
        except errors.VmListError as error:
            _log.warning(
                'membership.vm_entry_invalid', extra={'detail': str(error)}
            )
    return tuple(listed)


def find_list_changes(
    view: views.View,
    own_vm: str,
    listed: Iterable[records.MemberRecord],
    is_responding: Callable[[str], bool],
) -> list[records.MemberRecord]:
    """Returns the records by which the VM list changes the view.

    The list adds unknown VMs and marks VMs as leaving. A running member that
    is wrongly marked as leaving refutes that state.

    Args:
      view: The view.
      own_vm: Name of this node's VM, whose record the list can't change.
      listed: Records of the list.
      is_responding: Returns whether a member is monitored and not suspect; if
        so, the list can't mark it as leaving.
    """
    received = []
    for record in listed:
        known = view.members.get(record.vm)
        if record.vm == own_vm:
            continue
        if known is None:
            received.append(record)
        elif record.state == 'leaving' and not is_responding(record.vm):
            received.append(attrs.evolve(known, state='leaving'))
    return received


def find_expired(
    view: views.View, listed: Collection[str], now: float
) -> set[str]:
    """Returns the dead members to remove from the view.

    These have been dead for longer than ``DEAD_RETENTION_S`` and are not in
    the VM list.
    """
    return {
        vm
        for vm, record in view.members.items()
        if record.state == 'dead'
        and vm not in listed
        and now - view.state_since[vm] > DEAD_RETENTION_S
    }
