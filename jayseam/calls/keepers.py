"""The records that one keeper has of idempotency keys."""

import collections

import attrs

from jayseam.calls import idempotency
from jayseam.calls import messages

MAX_BODY_BYTES = 16 * 1024
# Bounds the memory of a keeper. With 7,200 keyed calls per second over 670
# nodes, a node has about 19,000 records in a window of 600 s.
MAX_RECORDS = 50_000


@attrs.define
class _Record:
    """State of one key.

    Attributes:
      fingerprint: Digest of the request; empty if the claim did not arrive.
      attempt: Attempt that holds the key; empty if none does.
      recorded_at: Time at which the record was made, in seconds.
      is_known_new: Whether this keeper can confirm that the key was new.
      outcome: Outcome of the attempt, if it has ended.
      abandoned: Attempts that have withdrawn their claim.
    """

    fingerprint: str
    attempt: str
    recorded_at: float
    is_known_new: bool
    outcome: messages.Settle | None = None
    abandoned: set[str] = attrs.field(factory=set)


class ClaimStore:
    """Stores which attempt holds each key, and the outcome of the attempt.

    The store does no input or output and reads no clock: each method takes
    the present time.

    Args:
      started_wall_ms: Wall clock time at which this process started. The store
        can't know whether keys created earlier are new.
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
        """Grants a key to its first attempt; other attempts get its state."""
        self._expire(now)
        record_key = (claim.workspace, claim.key)
        record = self._records.get(record_key)
        if record is not None and claim.attempt in record.abandoned:
            # The withdrawal of this claim arrived before the claim.
            return _build_state('unknown')
        if record is not None and record.attempt:
            return self._answer_claim(record, claim)
        if record is None and len(self._records) >= self._max_records:
            # Evicting the record of another key could let that key run twice.
            return _build_state('unknown')
        is_known_new = (
            claim.key_ms
            > self._started_wall_ms + idempotency.CLOCK_ALLOWANCE_MS
        )
        abandoned = record.abandoned if record is not None else set()
        self._records[record_key] = _Record(
            claim.fingerprint, claim.attempt, now, is_known_new, None, abandoned
        )
        return _build_state(
            'granted' if is_known_new else 'unconfirmed', claim.attempt
        )

    def settle(self, settle: messages.Settle, now: float) -> None:
        """Stores the outcome of the attempt that holds a key."""
        record_key = (settle.workspace, settle.key)
        record = self._records.get(record_key)
        if record is None:
            # The claim did not reach this keeper, but repeats need the outcome.
            if len(self._records) < self._max_records:
                self._records[record_key] = _Record(
                    '', settle.attempt, now, True, settle
                )
        elif record.outcome is None:
            record.attempt = settle.attempt
            record.outcome = settle

    def abandon(self, abandon: messages.Abandon, now: float) -> None:
        """Releases a key whose attempt surely did not run."""
        record_key = (abandon.workspace, abandon.key)
        record = self._records.get(record_key)
        if record is None:
            record = _Record('', '', now, True)
            self._records[record_key] = record
        record.abandoned.add(abandon.attempt)
        if record.attempt == abandon.attempt and record.outcome is None:
            record.attempt = ''

    def look_up(
        self, look_up: messages.LookUp, now: float
    ) -> messages.ClaimState:
        """Returns the state of a key without changing it."""
        self._expire(now)
        record = self._records.get((look_up.workspace, look_up.key))
        if record is None or not record.attempt:
            return _build_state('unknown')
        return _build_record_state(record)

    def _answer_claim(
        self, record: _Record, claim: messages.Claim
    ) -> messages.ClaimState:
        if record.fingerprint and record.fingerprint != claim.fingerprint:
            return _build_state('mismatch', record.attempt)
        if record.attempt == claim.attempt and record.outcome is None:
            return _build_state(
                'granted' if record.is_known_new else 'unconfirmed',
                claim.attempt,
            )
        return _build_record_state(record)

    def _expire(self, now: float) -> None:
        while self._records:
            record_key, record = next(iter(self._records.items()))
            if record.recorded_at + self._window_s > now:
                return
            del self._records[record_key]


def _build_record_state(record: _Record) -> messages.ClaimState:
    outcome = record.outcome
    if outcome is None:
        return _build_state('running', record.attempt)
    return messages.ClaimState(
        'settled',
        record.attempt,
        outcome.status,
        outcome.headers,
        outcome.body,
    )


def _build_state(state: str, attempt: str = '') -> messages.ClaimState:
    return messages.ClaimState(state, attempt, 0, [], b'')
