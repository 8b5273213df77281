"""Anti-entropy between two views: what differs and what to send."""

from collections.abc import Iterable, Sequence

from jayseam.membership import messages
from jayseam.membership import records
from jayseam.membership import views

# An update in flight explains a difference in one heartbeat, but not in two.
PULL_AFTER_MISMATCHES = 2


class MismatchCounter:
    """Counts successive heartbeats with a differing digest, by member."""

    def __init__(self):
        self._counts: dict[str, int] = {}

    def record(self, vm: str, differs: bool) -> bool:
        """Records a comparison of digests.

        Returns:
          Whether they differ in ``PULL_AFTER_MISMATCHES`` heartbeats in a row.
        """
        if not differs:
            self.reset(vm)
            return False
        self._counts[vm] = self._counts.get(vm, 0) + 1
        return self._counts[vm] >= PULL_AFTER_MISMATCHES

    def reset(self, vm: str) -> None:
        """Resets the count of a member to zero."""
        self._counts.pop(vm, None)


def summarize(view: views.View) -> list[int]:
    """Returns the low 32 bits of the digest of each bucket."""
    return [_shorten(value) for value in view.buckets]


def find_differing(view: views.View, summary: Sequence[int]) -> list[int]:
    """Returns the numbers of the buckets that differ from a summary."""
    own = summarize(view)
    return [i for i, value in enumerate(summary) if value != own[i]]


def collect_hashes(view: views.View, buckets: Iterable[int]) -> dict[str, int]:
    """Returns the low 32 bits of each record's hash in some buckets, by VM.

    The hash of a dead record is 0.
    """
    return {
        record.vm: _shorten(records.hash_record(record))
        for bucket in buckets
        for record in view.list_bucket_members(bucket)
    }


def compare_records(
    view: views.View, pull: messages.PullRecords
) -> messages.Records:
    """Returns the records that the requester lacks and those it should send.

    A dead record is included only if the requester has another record of the
    VM, so a member that the requester has removed is not added again.
    """
    changed, wanted = [], []
    own_vms = set()
    for bucket in set(pull.buckets):
        for record in view.list_bucket_members(bucket):
            own_vms.add(record.vm)
            known = pull.known.get(record.vm)
            if known is None and record.state == 'dead':
                continue
            if known != _shorten(records.hash_record(record)):
                changed.append(record)
                if known is not None:
                    wanted.append(record.vm)
    wanted += [
        vm for vm, known in pull.known.items() if known and vm not in own_vms
    ]
    return messages.Records(changed, wanted)


def choose_newer(
    view: views.View, reply: messages.Records
) -> list[records.MemberRecord]:
    """Returns the wanted records that take precedence over the reply's."""
    theirs = {record.vm: record for record in reply.records}
    newer = []
    for vm in reply.wanted:
        own, other = view.members.get(vm), theirs.get(vm)
        if own is None:
            continue
        if other is None or records.merge(own, other) != other:
            newer.append(own)
    return newer


def _shorten(value: int) -> int:
    return value & 0xFFFFFFFF
