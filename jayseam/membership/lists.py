"""What the VM list of the platform and the age of dead members decide."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import attrs

from jayseam.core import logs
from jayseam.membership import errors
from jayseam.membership import records
from jayseam.membership import views

DEAD_RETENTION_S = 600.0
_log = logs.get_logger(__name__)


def read_entries(
    entries: Iterable[Mapping[str, Any]],
) -> tuple[records.MemberRecord, ...]:
    """Returns the records of VM list entries.

    An invalid entry is logged and skipped, because one wrong entry must not
    hide the others.
    """
    listed = []
    for entry in entries:
        try:
            listed.append(records.read_vm_entry(entry))
        except errors.VmListError as error:
            _log.warning(
                'membership.vm_entry_invalid', extra={'detail': str(error)}
            )
    return tuple(listed)


def choose_listed(
    view: views.View,
    own_vm: str,
    listed: Iterable[records.MemberRecord],
    hears: Callable[[str], bool],
) -> list[records.MemberRecord]:
    """Returns the records by which the VM list changes the view.

    The list adds unknown VMs and marks VMs as leaving. A member that is
    wrongly marked refutes it.

    Args:
      view: The view.
      own_vm: Name of the own VM, which the list can't change.
      listed: Records of the list.
      hears: Tells whether a member is watched and not suspected.
    """
    received = []
    for record in listed:
        known = view.members.get(record.vm)
        if record.vm == own_vm:
            continue
        if known is None:
            received.append(record)
        elif record.state == 'leaving' and not hears(record.vm):
            received.append(attrs.evolve(known, state='leaving'))
    return received


def find_expired(
    view: views.View, listed: Collection[str], now: float
) -> set[str]:
    """Returns the members that have been dead for long and aren't listed."""
    return {
        vm
        for vm, record in view.members.items()
        if record.state == 'dead'
        and vm not in listed
        and now - view.since[vm] > DEAD_RETENTION_S
    }
