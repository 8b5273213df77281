"""Messages between nodes on the call path. Codes 80 to 99."""

from typing import Any

import attrs
from attrs import validators

from jayseam.links import messages

_TEXT = validators.instance_of(str)
_COUNT = validators.and_(validators.instance_of(int), validators.ge(0))
_BYTES = validators.instance_of(bytes)
_FLAG = validators.instance_of(bool)
_NUMBER = validators.instance_of((int, float))
_SEQUENCES = (list, tuple)


def check_pairs(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates header fields: a list of pairs of strings.

    Nested validators of attrs take four times as long, for each message and
    on both of its sides.

    >>> check_pairs(None, attrs.fields(Answered).headers, [['accept', '*/*']])
    >>> check_pairs(None, attrs.fields(Answered).headers, [['accept']])
    Traceback (most recent call last):
    ...
    TypeError: headers must be a list of pairs of strings
    """
    if value.__class__ in _SEQUENCES:
        for pair in value:
            if pair.__class__ not in _SEQUENCES or len(pair) != 2:
                break
            if pair[0].__class__ is not str or pair[1].__class__ is not str:
                break
        else:
            return
    raise TypeError(f'{attribute.name} must be a list of pairs of strings')


@messages.register(80)
@attrs.frozen
class Forward:
    """Asks an ingress to run a call on its backend server.

    Attributes:
      attempt: Identifier of this attempt, unique to it.
      incarnation: Incarnation of the ingress for which it is meant.
      route: Name of the route; calls of one route share a latency baseline.
      timeout_ms: Time left until the deadline of the call.
      preset_version: Version by which the entry judged the call.
      keys_version: Version of the keys by which the entry judged it.
    """

    attempt: str = attrs.field(validator=_TEXT)
    request_id: str = attrs.field(validator=_TEXT)
    incarnation: int = attrs.field(validator=_COUNT)
    route: str = attrs.field(validator=_TEXT)
    service: str = attrs.field(validator=_TEXT)
    workspace: str = attrs.field(validator=_TEXT)
    key_id: str = attrs.field(validator=_TEXT)
    timeout_ms: int = attrs.field(validator=_COUNT)
    repeatable: bool = attrs.field(validator=_FLAG)
    preset_version: int = attrs.field(validator=_COUNT)
    keys_version: int = attrs.field(validator=_COUNT)
    method: str = attrs.field(validator=_TEXT)
    target: str = attrs.field(validator=_TEXT)
    headers: list = attrs.field(validator=check_pairs)
    body: bytes = attrs.field(validator=_BYTES)


@messages.register(81)
@attrs.frozen
class Answered:
    """The whole answer of a backend server, with the load of its ingress.

    Attributes:
      load: Calls in flight and queued, over the limit.
      service_s: Mean time of a call at the backend server, in seconds.
      fair_load: The load as far as it delays the workspace of the call.
      idle_load: The load for a workspace without a call in the queue.
    """

    status: int = attrs.field(validator=_COUNT)
    headers: list = attrs.field(validator=check_pairs)
    body: bytes = attrs.field(validator=_BYTES)
    load: float = attrs.field(validator=_NUMBER)
    service_s: float = attrs.field(validator=_NUMBER)
    fair_load: float = attrs.field(validator=_NUMBER)
    idle_load: float = attrs.field(validator=_NUMBER)


@messages.register(82)
@attrs.frozen
class Refused:
    """An attempt that ended without an answer.

    Attributes:
      code: Code of the problem, as in `jayseam.calls.errors`.
      ran: ``no`` or ``unknown``.
    """

    code: str = attrs.field(validator=_TEXT)
    ran: str = attrs.field(validator=validators.in_(('no', 'unknown')))
    detail: str = attrs.field(validator=_TEXT)
    load: float = attrs.field(validator=_NUMBER)
    service_s: float = attrs.field(validator=_NUMBER)
    fair_load: float = attrs.field(validator=_NUMBER)
    idle_load: float = attrs.field(validator=_NUMBER)


@messages.register(83)
@attrs.frozen
class CancelAttempt:
    """Tells an ingress that nobody waits for an attempt any more."""

    attempt: str = attrs.field(validator=_TEXT)


@messages.register(84)
@attrs.frozen
class Claim:
    """Asks a keeper to record the attempt as the one run of a key.

    Attributes:
      fingerprint: Digest of the request, to notice another payload.
      key_ms: Creation time within the idempotency key, milliseconds.
    """

    workspace: str = attrs.field(validator=_TEXT)
    key: str = attrs.field(validator=_TEXT)
    key_ms: int = attrs.field(validator=_COUNT)
    fingerprint: str = attrs.field(validator=_TEXT)
    attempt: str = attrs.field(validator=_TEXT)


@messages.register(85)
@attrs.frozen
class ClaimState:
    """What a keeper knows of a key.

    Attributes:
      state: ``granted``, ``running``, ``settled``, ``mismatch``,
        ``unconfirmed`` (recorded, but the keeper is too young to know of
        earlier attempts) or ``unknown`` (nothing recorded).
      attempt: Attempt that holds the claim; empty if none does.
    """

    state: str = attrs.field(validator=_TEXT)
    attempt: str = attrs.field(validator=_TEXT)
    status: int = attrs.field(validator=_COUNT)
    headers: list = attrs.field(validator=check_pairs)
    body: bytes = attrs.field(validator=_BYTES)


@messages.register(86)
@attrs.frozen
class Settle:
    """Stores the outcome of an attempt with a keeper.

    Attributes:
      status: HTTP status of the answer; 0 if the outcome is unknown or too
        large to store.
    """

    workspace: str = attrs.field(validator=_TEXT)
    key: str = attrs.field(validator=_TEXT)
    attempt: str = attrs.field(validator=_TEXT)
    status: int = attrs.field(validator=_COUNT)
    headers: list = attrs.field(validator=check_pairs)
    body: bytes = attrs.field(validator=_BYTES)


@messages.register(87)
@attrs.frozen
class Abandon:
    """Withdraws the claim of an attempt that surely did not run."""

    workspace: str = attrs.field(validator=_TEXT)
    key: str = attrs.field(validator=_TEXT)
    attempt: str = attrs.field(validator=_TEXT)


@messages.register(88)
@attrs.frozen
class LookUp:
    """Asks a keeper for the state of a key without claiming it."""

    workspace: str = attrs.field(validator=_TEXT)
    key: str = attrs.field(validator=_TEXT)
