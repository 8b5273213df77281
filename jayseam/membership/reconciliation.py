"""Decisions that bring two views together: what differs and what to send."""

from collections.abc import Iterable, Sequence

from jayseam.membership import messages
from jayseam.membership import records
from jayseam.membership import views

# A difference that persists for two heartbeats is no update in flight.
PULL_AFTER_MISMATCHES = 2


class Mismatches:
    """Counts the heartbeats in a row whose digest differed, by member."""

    def __init__(self):
        self._counts: dict[str, int] = {}

    def note(self, vm: str, differs: bool) -> bool:
        """Notes a digest; tells whether its difference has persisted."""
        if not differs:
            self.forget(vm)
            return False
        self._counts[vm] = self._counts.get(vm, 0) + 1
        return self._counts[vm] >= PULL_AFTER_MISMATCHES

    def forget(self, vm: str) -> None:
        """Starts the count of a member anew."""
        self._counts.pop(vm, None)


def summarize(view: views.View) -> list[int]:
    """Returns the short digests of all buckets."""
    return [_shorten(value) for value in view.buckets]


def find_differing(view: views.View, summary: Sequence[int]) -> list[int]:
    """Returns the buckets that differ from another member's summary."""
    own = summarize(view)
    return [i for i, value in enumerate(summary) if value != own[i]]


def known_hashes(view: views.View, buckets: Iterable[int]) -> dict[str, int]:
    """Returns the short hash of each record in some buckets, by VM.

    The hash of a dead record is 0.
    """
    return {
        record.vm: _shorten(records.hash_record(record))
        for bucket in buckets
        for record in view.bucket_members(bucket)
    }


def compare_records(
    view: views.View, pull: messages.PullRecords
) -> messages.Records:
    """Returns what the asker lacks and what it should send.

    Dead records are included only where the asker holds another record, so
    members that it has dropped do not come back.
    """
    changed, wanted = [], []
    held = set()
    for bucket in set(pull.buckets):
        for record in view.bucket_members(bucket):
            held.add(record.vm)
            known = pull.known.get(record.vm)
            if known is None and record.state == 'dead':
                continue
            if known != _shorten(records.hash_record(record)):
                changed.append(record)
                if known is not None:
                    wanted.append(record.vm)
    wanted += [
        vm for vm, known in pull.known.items() if known and vm not in held
    ]
    return messages.Records(changed, wanted)


def choose_newer(
    view: views.View, reply: messages.Records
) -> list[records.MemberRecord]:
    """Returns the wanted records that replace those in the reply."""
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
