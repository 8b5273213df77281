"""Changed records that wait to be sent to other members."""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from jayseam.membership import records

# Changes within this interval share one message, which bounds the traffic when
# many members start at once.
UPDATE_INTERVAL_S = 0.05
MAX_UPDATE_RECORDS = 256


@attrs.frozen
class Change:
    """A changed record.

    Attributes:
      record: The record.
      source: VM that sent the record, None if this node changed it.
    """

    record: records.MemberRecord
    source: str | None


class Outbox:
    """Collects changed records and limits how often they are sent.

    Of several changes of one member only the last is kept.
    """

    def __init__(self):
        self._changes: dict[str, Change] = {}
        self._flushed_at = float('-inf')
        self._flush_scheduled = False

    def add(
        self, changed: Iterable[records.MemberRecord], source: str | None
    ) -> None:
        """Adds records that changed."""
        for record in changed:
            self._changes[record.vm] = Change(record, source)

    def schedule_flush(self, now: float) -> float | None:
        """Schedules a flush.

        Returns:
          Its delay in seconds, None if a flush is already scheduled.
        """
        if self._flush_scheduled:
            return None
        self._flush_scheduled = True
        return max(0.0, self._flushed_at + UPDATE_INTERVAL_S - now)

    def flush(self, now: float) -> tuple[Change, ...]:
        """Returns the changes to send and empties the outbox."""
        self._flushed_at = now
        self._flush_scheduled = False
        changes = tuple(self._changes.values())
        self._changes = {}
        return changes


def choose_records(
    changes: Iterable[Change], vm: str, is_forwarded_to: bool
) -> list[records.MemberRecord]:
    """Returns the records to send to a member, own changes first.

    Changes by this node are sent to all members. Changes received from others
    are forwarded to some, but not to their sender.

    Args:
      changes: Contents of the outbox.
      vm: Name of the receiving VM.
      is_forwarded_to: Whether it gets changes of others.
    """
    own = [c.record for c in changes if c.source is None]
    if not is_forwarded_to:
        return own
    return own + [c.record for c in changes if c.source not in (None, vm)]


def split_batches(
    changed: Sequence[records.MemberRecord],
) -> Iterator[list[records.MemberRecord]]:
    """Yields the records in batches of at most ``MAX_UPDATE_RECORDS``."""
    for start in range(0, len(changed), MAX_UPDATE_RECORDS):
        yield list(changed[start : start + MAX_UPDATE_RECORDS])
