"""Membership records and the rule by which they are merged.

Two records of the same VM are compared by incarnation, then sequence, then
severity of state. Only the member itself raises its sequence, by which it
refutes a suspicion; other nodes only raise the severity of its state.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import xxhash

from jayseam.links import messages
from jayseam.membership import errors

STATES = ('alive', 'suspect', 'leaving', 'dead')
BACKEND_STATES = ('cold', 'ready', 'draining', 'down')

_is_str = attrs.validators.instance_of(str)


@messages.register(20)
@attrs.frozen
class MemberRecord:
    """The state of one member as a node knows it.

    Attributes:
      vm: Name of the VM, unique and never reused.
      upstream: Upstream, the position that its backend server holds.
      service: Service of the upstream, empty if only the VM list is known.
      zone: Availability zone.
      region: Region of the zone.
      host: Address of the link listener.
      port: Port of the link listener.
      incarnation: Start time of the process, in wall-clock milliseconds; 0
        if the record comes from the VM list.
      sequence: Version of the record, raised by the member on each change.
      state: One of ``STATES``.
      backend: State of its backend server, one of ``BACKEND_STATES``.
    """

    vm: str = attrs.field(validator=_is_str)
    upstream: str = attrs.field(validator=_is_str)
    service: str = attrs.field(validator=_is_str)
    zone: str = attrs.field(validator=_is_str)
    region: str = attrs.field(validator=_is_str)
    host: str = attrs.field(validator=_is_str)
    port: int = attrs.field(validator=messages.is_integer)
    incarnation: int = attrs.field(validator=messages.is_integer)
    sequence: int = attrs.field(validator=messages.is_integer)
    state: str = attrs.field(validator=attrs.validators.in_(STATES))
    backend: str = attrs.field(validator=attrs.validators.in_(BACKEND_STATES))


def order_key(record: MemberRecord) -> tuple:
    """Returns the sort key of a record among the records of its VM.

    The remaining fields break ties, so every node chooses the same one of any
    two different records.
    """
    severity = STATES.index(record.state)
    head = (record.incarnation, record.sequence, severity)
    return head + attrs.astuple(record)


def merge(first: MemberRecord, second: MemberRecord) -> MemberRecord:
    """Returns the record that takes precedence over the other."""
    return max(first, second, key=order_key)


def merge_all(
    current: Mapping[str, MemberRecord], received: Iterable[MemberRecord]
) -> dict[str, MemberRecord]:
    """Returns the records of ``received`` that add to or replace current ones.

    A dead record of an unknown VM is left out, so a dead member that was
    removed after its retention time is not added again.
    """
    changes: dict[str, MemberRecord] = {}
    for record in received:
        known = changes.get(record.vm, current.get(record.vm))
        if known is None:
            if record.state != 'dead':
                changes[record.vm] = record
        elif known != record and merge(known, record) is record:
            changes[record.vm] = record
    return changes


def hash_record(record: MemberRecord) -> int:
    """Returns a 64-bit hash of a record, the same on every node.

    The hash of a dead record is 0: nodes remove dead records at different
    times, which must not make their digests differ.
    """
    if record.state == 'dead':
        return 0
    text = '\0'.join(map(str, attrs.astuple(record)))
    return xxhash.xxh64_intdigest(text.encode())


def parse_vm_entry(entry: Mapping[str, Any]) -> MemberRecord:
    """Converts an entry of the VM list to a record.

    Raises:
      VmListError: If a field is missing or has the wrong type.
    """
    try:
        return MemberRecord(
            vm=entry['vm'],
            upstream=entry['upstream'],
            service='',
            zone=entry['zone'],
            region=entry['region'],
            host=entry['host'],
            port=entry['port'],
            incarnation=0,
            sequence=0,
            state='leaving' if entry['state'] == 'leaving' else 'alive',
            backend='down',
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.VmListError(f'invalid VM list entry: {error!r}') from error
