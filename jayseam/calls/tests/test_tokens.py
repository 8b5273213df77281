"""Tests of call tokens."""

import attrs
import pytest

from jayseam.calls import errors
from jayseam.calls import tokens

KEYS = [tokens.derive_token_key(s) for s in ('a' * 16, 'b' * 16)]
TOKEN = tokens.CallToken('w1', 'k1', 'r1', 1, 10_000)


def test_token_of_a_rotated_secret_is_accepted():
    """A rotation of the fleet secret must not break nested calls."""
    text = tokens.mint_token(KEYS[1], TOKEN)
    assert tokens.verify_token(KEYS, text, 9_000) == TOKEN


def test_altered_token_is_refused():
    """A backend server must not change the content of its token."""
    text = tokens.mint_token(KEYS[0], TOKEN)
    for position in range(0, len(text), 7):
        changed = 'A' if text[position] != 'A' else 'B'
        forged = text[:position] + changed + text[position + 1 :]
        with pytest.raises(errors.KeyRefusedError):
            tokens.verify_token(KEYS, forged, 9_000)


@pytest.mark.parametrize(
    'token, wall_ms',
    [
        (attrs.evolve(TOKEN, depth=tokens.MAX_DEPTH + 1), 9_000),
        (TOKEN, 10_000 + tokens.CLOCK_ALLOWANCE_MS + 1),
    ],
)
def test_deep_and_expired_tokens_are_refused(token, wall_ms):
    """Calls must not nest without limit, nor outlive the outermost call."""
    text = tokens.mint_token(KEYS[0], token)
    with pytest.raises(errors.KeyRefusedError):
        tokens.verify_token(KEYS, text, wall_ms)
