"""Pure rules of idempotency keys, their keepers and their claims.

A keeper is a node that stores a replica of a key's record. Each key has three
keepers, in distinct availability zones. An attempt may run once two keepers
have granted its claim; a keeper grants a claim only if it can confirm that the
key is new. Any two majorities of three share a keeper, so two attempts can't
both run.
"""

import enum
import hashlib
import uuid
from collections.abc import Mapping, Sequence

import attrs

from jayseam.calls import errors
from jayseam.calls import messages
from jayseam.calls import requests
from jayseam.core import rendezvous
from jayseam.core import statuses

KEEPER_COUNT = 3
MAJORITY = 2
# Allowed difference between the clocks of a caller and a node.
CLOCK_ALLOWANCE_MS = 5000
_UUID_VERSION = 7


@attrs.frozen
class IdempotencyKey:
    """A checked idempotency key.

    Attributes:
      text: The key in canonical form.
      created_ms: Creation time of the key, milliseconds since the Unix epoch.
    """

    text: str
    created_ms: int


def parse_key(
    text: str | None, wall_ms: int, window_s: float
) -> IdempotencyKey:
    """Parses and checks the value of an ``Idempotency-Key`` field.

    >>> key = '01890a5d-ac96-774b-bcce-b302099a8057'
    >>> parse_key(key, wall_ms=1688100000000, window_s=1e9).created_ms
    1688096058518

    Args:
      text: Value of the field, or None if it is missing.
      wall_ms: Present wall clock time in milliseconds.
      window_s: How long records of keys are kept, in seconds.

    Raises:
      IdempotencyKeyError: If the key is missing, isn't a UUID of version 7, or
        its creation time is too long ago or in the future.

    References:
      RFC 9562, section 5.7.
    """
    if text is None:
        raise errors.IdempotencyKeyError('this route needs an Idempotency-Key')
    try:
        value = uuid.UUID(text)
    except ValueError as error:
        raise errors.IdempotencyKeyError('the key is not a UUID') from error
    if value.version != _UUID_VERSION:
        raise errors.IdempotencyKeyError('the key is not a UUID of version 7')
    created_ms = value.int >> 80
    if created_ms > wall_ms + CLOCK_ALLOWANCE_MS:
        raise errors.IdempotencyKeyError('the time of the key is ahead')
    if created_ms < wall_ms - window_s * 1000 + CLOCK_ALLOWANCE_MS:
        raise errors.IdempotencyKeyError(
            f'the key is older than {window_s:g} seconds'
        )
    return IdempotencyKey(str(value), created_ms)


def choose_keepers(
    workspace: str, key: str, upstream_zones: Mapping[str, str]
) -> list[str]:
    """Returns the upstream positions of a key's keepers, in distinct zones.

    Args:
      workspace: Workspace of the call.
      key: The idempotency key.
      upstream_zones: Zone of each upstream of the preset.

    Returns:
      Three names, or one for each zone if there are fewer zones.
    """
    upstream_by_zone: dict[str, str] = {}
    for upstream in rendezvous.rank(f'{workspace}\0{key}', upstream_zones):
        upstream_by_zone.setdefault(upstream_zones[upstream], upstream)
        if len(upstream_by_zone) == KEEPER_COUNT:
            break
    return list(upstream_by_zone.values())


def compute_fingerprint(request: requests.CallRequest) -> str:
    """Returns a digest that identifies repeats of ``request``."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.build_target()):
        digest.update(part.encode() + b'\0')
    digest.update(request.body)
    return digest.hexdigest()


class ClaimVerdict(enum.Enum):
    """What the replies of the keepers allow an attempt to do.

    RUN: run the call. JOIN: return the stored answer of an earlier attempt.
    WAIT: an earlier attempt is running. MISMATCH: the key was used with another
    request. UNKNOWN: an earlier attempt may have run. REFUSE: too few keepers
    replied.
    """

    RUN = 'run'
    JOIN = 'join'
    WAIT = 'wait'
    MISMATCH = 'mismatch'
    UNKNOWN = 'unknown'
    REFUSE = 'refuse'


@attrs.frozen
class Decision:
    """A verdict and, for `JOIN`, the state with the stored answer."""

    verdict: ClaimVerdict
    settled: messages.ClaimState | None = None


def decide_claim(replies: Sequence[messages.ClaimState]) -> Decision:
    """Returns what an attempt may do after its keepers have replied.

    Two grants allow a run even if the third keeper reports another claim:
    that claim can't have had a majority, since neither granting keeper knows
    of an earlier attempt.

    Args:
      replies: The states that keepers returned; missing replies are left out.
    """
    by_state: dict[str, list[messages.ClaimState]] = {}
    for reply in replies:
        by_state.setdefault(reply.state, []).append(reply)
    if len(by_state.get('granted', ())) >= MAJORITY:
        return Decision(ClaimVerdict.RUN)
    if 'mismatch' in by_state:
        return Decision(ClaimVerdict.MISMATCH)
    if 'settled' in by_state:
        return _decide_settled(by_state['settled'])
    if 'running' in by_state:
        return Decision(ClaimVerdict.WAIT)
    if 'unconfirmed' in by_state:
        return Decision(ClaimVerdict.UNKNOWN)
    return Decision(ClaimVerdict.REFUSE)


def _decide_settled(states: Sequence[messages.ClaimState]) -> Decision:
    """Returns a stored answer if a keeper has one.

    Another keeper may know only that the call may have run, or have stored a
    status that no caller may get.
    """
    for state in states:
        if statuses.is_final(state.status):
            return Decision(ClaimVerdict.JOIN, state)
    return Decision(ClaimVerdict.UNKNOWN)
