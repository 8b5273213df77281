"""Changed records that wait to be sent to other members."""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from jayseam.membership import records

# Changes within this time share one message, which bounds the traffic when
# many members start at once.
UPDATE_INTERVAL_S = 0.05
MAX_UPDATE_RECORDS = 256


@attrs.frozen
class Change:
    """A changed record.

    Attributes:
      record: The record.
      source: VM that sent it, None if this node changed it.
    """

    record: records.MemberRecord
    source: str | None


class Outbox:
    """Collects changes and spaces the times at which they are sent.

    Of several changes of one member the last is kept.
    """

    def __init__(self):
        self._changes: dict[str, Change] = {}
        self._flushed_at = float('-inf')
        self._planned = False

    def add(
        self, changed: Iterable[records.MemberRecord], source: str | None
    ) -> None:
        """Adds records that changed."""
        for record in changed:
            self._changes[record.vm] = Change(record, source)

    def plan(self, now: float) -> float | None:
        """Returns the delay in seconds of the next flush, None if planned."""
        if self._planned:
            return None
        self._planned = True
        return max(0.0, self._flushed_at + UPDATE_INTERVAL_S - now)

    def flush(self, now: float) -> tuple[Change, ...]:
        """Returns the changes to send and empties the outbox."""
        self._flushed_at = now
        self._planned = False
        changes = tuple(self._changes.values())
        self._changes = {}
        return changes


def choose_records(
    changes: Iterable[Change], vm: str, is_near: bool
) -> list[records.MemberRecord]:
    """Returns the records that a member is told, the own changes first.

    Own changes go to everyone. Those of others are passed on to neighbours
    and followers, but not back to the member that sent them.
    """
    own = [c.record for c in changes if c.source is None]
    if not is_near:
        return own
    return own + [c.record for c in changes if c.source not in (None, vm)]


def cut_batches(
    changed: Sequence[records.MemberRecord],
) -> Iterator[list[records.MemberRecord]]:
    """Yields the records in messages of bounded size."""
    for start in range(0, len(changed), MAX_UPDATE_RECORDS):
        yield list(changed[start : start + MAX_UPDATE_RECORDS])
