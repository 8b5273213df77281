"""Records of members and the rule that decides between two of them.

Two records of the same VM are compared by incarnation, then sequence, then
severity of state. A member refutes a suspicion by a higher sequence; another
node only ever raises the severity within the member's own sequence.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import xxhash

from jayseam.links import messages
from jayseam.membership import errors

STATES = ('alive', 'suspect', 'leaving', 'dead')
BACKENDS = ('cold', 'ready', 'draining', 'down')

_is_str = attrs.validators.instance_of(str)


@messages.register(20)
@attrs.frozen
class MemberRecord:
    """What is known of one member.

    Attributes:
      vm: Name of the VM, unique and never reused.
      upstream: Position that its backend server holds.
      service: Service of the position, empty if only the VM list is known.
      zone: Availability zone.
      region: Region of the zone.
      host: Address of the link listener.
      port: Port of the link listener.
      incarnation: Start of the process in wall milliseconds; 0 if the record
        comes from the VM list.
      sequence: Raised by the member whenever it changes its record.
      state: One of ``STATES``.
      backend: State of its backend server, one of ``BACKENDS``.
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
    backend: str = attrs.field(validator=attrs.validators.in_(BACKENDS))


def order_key(record: MemberRecord) -> tuple:
    """Returns the key by which records of one VM are ordered.

    The remaining fields break ties, so any two different records have the
    same winner at every node.
    """
    severity = STATES.index(record.state)
    head = (record.incarnation, record.sequence, severity)
    return head + attrs.astuple(record)


def merge(first: MemberRecord, second: MemberRecord) -> MemberRecord:
    """Returns the record that replaces the other."""
    return max(first, second, key=order_key)


def merge_all(
    held: Mapping[str, MemberRecord], received: Iterable[MemberRecord]
) -> dict[str, MemberRecord]:
    """Returns the records of ``received`` that replace those held.

    A record of an unknown VM that is dead adds nothing and is left out, so
    records that were dropped after their retention do not come back.
    """
    changes: dict[str, MemberRecord] = {}
    for record in received:
        known = changes.get(record.vm, held.get(record.vm))
        if known is None:
            if record.state != 'dead':
                changes[record.vm] = record
        elif known != record and merge(known, record) is record:
            changes[record.vm] = record
    return changes


def hash_record(record: MemberRecord) -> int:
    """Returns a 64-bit hash of a record, equal on every node.

    A dead record hashes to 0: nodes drop dead records at different times, and
    their digests must not differ because of that.
    """
    if record.state == 'dead':
        return 0
    text = '\0'.join(map(str, attrs.astuple(record)))
    return xxhash.xxh64_intdigest(text.encode())


def read_vm_entry(entry: Mapping[str, Any]) -> MemberRecord:
    """Returns the record that an entry of the VM list stands for.

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
