"""The memory of one keeper of idempotency keys."""

import collections

import attrs

from jayseam.calls import idempotency
from jayseam.calls import messages

MAX_BODY_BYTES = 16 * 1024
# Bounds the memory of a keeper; at 7,200 such calls a second over 670 nodes a
# window of 600 s holds about 19,000 records.
MAX_RECORDS = 50_000


@attrs.define
class _Record:
    """What is known of one key."""

    fingerprint: str
    attempt: str
    recorded_at: float
    confirmed: bool
    settled: messages.Settle | None = None
    abandoned: set[str] = attrs.field(factory=set)


class KeeperStore:
    """Remembers which attempt holds each key, and its outcome.

    The store is plain state: every method takes the time, and the task that
    owns the store does the input and output.

    Args:
      started_wall_ms: Wall clock time at which this process started. Of keys
        created earlier, the store can't tell whether they are new.
      window_s: How long a record is kept, in seconds.
      max_records: Bound on the number of records.
    """

    def __init__(
        self,
        started_wall_ms: int,
        window_s: float,
        max_records: int = MAX_RECORDS,
    ):
        self._started_wall_ms = started_wall_ms
        self._window_s = window_s
        self._max_records = max_records
        self._records: collections.OrderedDict[tuple[str, str], _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, claim: messages.Claim, now: float) -> messages.ClaimState:
        """Records the first attempt of a key; reports the state to others."""
        self._expire(now)
        name = (claim.workspace, claim.key)
        record = self._records.get(name)
        if record is not None and claim.attempt in record.abandoned:
            # The claim was overtaken by its own withdrawal.
            return _describe('unknown')
        if record is not None and record.attempt:
            return self._report(record, claim)
        if record is None and len(self._records) >= self._max_records:
            # A full keeper must not forget a key to make room for another.
            return _describe('unknown')
        confirmed = (
            claim.key_ms
            > self._started_wall_ms + idempotency.CLOCK_ALLOWANCE_MS
        )
        abandoned = record.abandoned if record is not None else set()
        self._records[name] = _Record(
            claim.fingerprint, claim.attempt, now, confirmed, None, abandoned
        )
        return _describe(
            'granted' if confirmed else 'unconfirmed', claim.attempt
        )

    def settle(self, settle: messages.Settle, now: float) -> None:
        """Stores the outcome of the attempt that holds a key."""
        name = (settle.workspace, settle.key)
        record = self._records.get(name)
        if record is None:
            # The claim did not reach this keeper; the outcome still helps.
            if len(self._records) < self._max_records:
                self._records[name] = _Record(
                    '', settle.attempt, now, True, settle
                )
        elif record.settled is None:
            record.attempt = settle.attempt
            record.settled = settle

    def abandon(self, abandon: messages.Abandon, now: float) -> None:
        """Frees a key whose attempt surely did not run."""
        name = (abandon.workspace, abandon.key)
        record = self._records.get(name)
        if record is None:
            record = _Record('', '', now, True)
            self._records[name] = record
        record.abandoned.add(abandon.attempt)
        if record.attempt == abandon.attempt and record.settled is None:
            record.attempt = ''

    def look_up(
        self, question: messages.LookUp, now: float
    ) -> messages.ClaimState:
        """Returns the state of a key without changing it."""
        self._expire(now)
        record = self._records.get((question.workspace, question.key))
        if record is None or not record.attempt:
            return _describe('unknown')
        return _describe_record(record)

    def _report(
        self, record: _Record, claim: messages.Claim
    ) -> messages.ClaimState:
        if record.fingerprint and record.fingerprint != claim.fingerprint:
            return _describe('mismatch', record.attempt)
        if record.attempt == claim.attempt and record.settled is None:
            return _describe(
                'granted' if record.confirmed else 'unconfirmed', claim.attempt
            )
        return _describe_record(record)

    def _expire(self, now: float) -> None:
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.recorded_at + self._window_s > now:
                return
            del self._records[name]


def _describe_record(record: _Record) -> messages.ClaimState:
    settled = record.settled
    if settled is None:
        return _describe('running', record.attempt)
    return messages.ClaimState(
        'settled',
        record.attempt,
        settled.status,
        settled.headers,
        settled.body,
    )


def _describe(state: str, attempt: str = '') -> messages.ClaimState:
    return messages.ClaimState(state, attempt, 0, [], b'')
