"""Tests of the rules that make a call run at most once."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from jayseam.calls import errors
from jayseam.calls import idempotency
from jayseam.calls import keepers
from jayseam.calls import messages

WALL_MS = 1_700_000_000_000
KEY_MS = WALL_MS + 60_000
WINDOW_S = 600.0


def make_claim(attempt, fingerprint='f1', key_ms=KEY_MS):
    return messages.Claim('w1', 'key', key_ms, fingerprint, attempt)


def make_store(started_wall_ms=WALL_MS):
    return keepers.ClaimStore(started_wall_ms, WINDOW_S)


@pytest.mark.parametrize(
    'text, wall_ms',
    [
        (None, WALL_MS),
        ('not-a-uuid', WALL_MS),
        ('7f3bb0ea-52b6-4b54-a4f5-b54e2e8f2f6e', WALL_MS),
        ('01890a5d-ac96-774b-bcce-b302099a8057', WALL_MS),
        ('01890a5d-ac96-774b-bcce-b302099a8057', 1_688_143_900_000),
    ],
)
def test_unusable_keys_are_refused(text, wall_ms):
    """Without a valid creation time, a key could hide an earlier run."""
    with pytest.raises(errors.IdempotencyKeyError):
        idempotency.parse_key(text, wall_ms, WINDOW_S)


def test_keepers_lie_in_distinct_zones():
    """The outage of one zone would take out two keepers in it together."""
    zones = {f'u{i}': f'z{i % 4}' for i in range(16)}
    for number in range(50):
        chosen = idempotency.choose_keepers('w1', str(number), zones)
        assert len({zones[name] for name in chosen}) == idempotency.KEEPER_COUNT


def test_late_claim_of_an_abandoned_attempt_is_not_granted():
    """A claim that arrives after its withdrawal must not block the key."""
    store = make_store()
    store.abandon(messages.Abandon('w1', 'key', 'a1'), 0.0)
    assert store.claim(make_claim('a1'), 0.1).state == 'unknown'
    assert store.claim(make_claim('a2'), 0.2).state == 'granted'


def test_young_keeper_does_not_confirm_older_key():
    """A restarted keeper has lost its records of earlier attempts."""
    store = make_store(started_wall_ms=KEY_MS + 1)
    assert store.claim(make_claim('a1'), 0.0).state == 'unconfirmed'


def test_full_keeper_forgets_nothing():
    """Evicting a record would allow a second run within the window."""
    store = keepers.ClaimStore(WALL_MS, WINDOW_S, max_records=1)
    store.claim(make_claim('a1'), 0.0)
    other = messages.Claim('w1', 'other', KEY_MS, 'f', 'a2')
    assert store.claim(other, 1.0).state == 'unknown'
    assert store.claim(make_claim('a3'), 2.0).state == 'running'
    assert store.claim(other, WINDOW_S + 1.0).state == 'granted'


def test_settled_answer_and_mismatch_are_reported():
    """A repeat gets the stored answer; a different request does not."""
    store = make_store()
    store.claim(make_claim('a1'), 0.0)
    store.settle(messages.Settle('w1', 'key', 'a1', 201, [], b'x'), 0.1)
    state = store.claim(make_claim('a2'), 0.2)
    decision = idempotency.decide_claim([state])
    assert decision.verdict is idempotency.ClaimVerdict.JOIN
    assert decision.settled.body == b'x'
    assert store.claim(make_claim('a3', 'f2'), 0.3).state == 'mismatch'


@pytest.mark.parametrize('status', [99, 100, 600, 999])
def test_stored_answer_with_a_broken_status_is_unknown(status):
    """An older node may have settled a status that no caller may get."""
    store = make_store()
    store.claim(make_claim('a1'), 0.0)
    store.settle(messages.Settle('w1', 'key', 'a1', status, [], b'x'), 0.1)
    decision = idempotency.decide_claim([store.claim(make_claim('a2'), 0.2)])
    assert decision.verdict is idempotency.ClaimVerdict.UNKNOWN


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(2, 6))
@hypothesis.settings(max_examples=200, deadline=None)
def test_never_two_runs_under_lost_messages_and_restarts(seed, attempts):
    """Lost claims, lost withdrawals and restarted keepers never allow two runs.

    At most one keeper restarts within the window, as a majority must keep its
    records; the restarted keeper can't confirm that an older key is new.
    """
    rng = random.Random(seed)
    stores = [make_store() for _ in range(idempotency.KEEPER_COUNT)]
    restarted = False
    runs = 0
    for number in range(attempts):
        claim = make_claim(f'a{number}')
        replies = []
        for store in stores:
            if rng.random() < 0.3:
                continue
            state = store.claim(claim, 1.0)
            if rng.random() < 0.8:
                replies.append(state)
        verdict = idempotency.decide_claim(replies).verdict
        if verdict is idempotency.ClaimVerdict.RUN:
            runs += 1
        else:
            withdrawal = messages.Abandon('w1', 'key', claim.attempt)
            for store in stores:
                if rng.random() < 0.7:
                    store.abandon(withdrawal, 1.0)
        if not restarted and rng.random() < 0.2:
            restarted = True
            stores[rng.randrange(3)] = make_store(KEY_MS + 1)
    assert runs <= 1, f'seed {seed}'
