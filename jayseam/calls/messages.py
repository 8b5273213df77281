"""Messages between nodes on the call path; they have the codes 80 to 99."""

from collections.abc import Callable, Sequence
from typing import Any

import attrs
from attrs import validators

from jayseam.links import messages

_SEQUENCES = (list, tuple)


def _build_check(*kinds: type) -> Callable[..., None]:
    """Returns a validator of values whose class is one of ``kinds`` exactly.

    The validators of attrs take four times as long, and about forty fields are
    validated for each call on its way through two nodes.
    """

    def check(_: Any, attribute: attrs.Attribute, value: Any) -> None:
        if value.__class__ not in kinds:
            names = ' or '.join(kind.__name__ for kind in kinds)
            raise TypeError(f'{attribute.name} must be {names}, got {value!r}')

    return check


def _check_count(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates an int that is not negative and not a bool.

    >>> _check_count(None, attrs.fields(Answered).status, 200)
    >>> _check_count(None, attrs.fields(Answered).status, True)
    Traceback (most recent call last):
    ...
    TypeError: status must be int, got True
    """
    if value.__class__ is not int:
        raise TypeError(f'{attribute.name} must be int, got {value!r}')
    if value < 0:
        raise ValueError(f'{attribute.name} must not be negative')


_check_text = _build_check(str)
_check_bytes = _build_check(bytes)
_check_flag = _build_check(bool)
_check_number = _build_check(int, float)


def check_header_pairs(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates header fields: a list of pairs of strings.

    Nested validators of attrs take four times as long, and each message is
    validated by its sender and its receiver.

    >>> attribute = attrs.fields(Answered).headers
    >>> check_header_pairs(None, attribute, [['accept', '*/*']])
    >>> check_header_pairs(None, attribute, [['accept']])
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


def check_reports(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Validates loads of VMs: lists of a string and three counts.

    >>> attribute = attrs.fields(Answered).reports
    >>> check_reports(None, attribute, [['vm-1', 6, 3, 250]])
    >>> check_reports(None, attribute, [['vm-1', 6, -3, 250]])
    Traceback (most recent call last):
    ...
    TypeError: reports must be a list of VMs with three counts
    """
    if value.__class__ in _SEQUENCES:
        for item in value:
            if item.__class__ not in _SEQUENCES or len(item) != 4:
                break
            if item[0].__class__ is not str or any(
                count.__class__ is not int or count < 0 for count in item[1:]
            ):
                break
        else:
            return
    raise TypeError(f'{attribute.name} must be a list of VMs with three counts')


@messages.register(80)
@attrs.frozen
class Forward:
    """Asks an ingress to run a call on its backend server.

    Attributes:
      attempt: Unique identifier of this attempt.
      incarnation: Incarnation of the ingress that may run the attempt.
      route: Name of the route; calls of one route share a latency baseline.
      timeout_ms: Time left until the deadline of the call.
      preset_version: Version of the preset by which the entry admitted the
        call.
      keys_version: Version of the key set by which the entry admitted the call.
      rank: Urgency of the call; 0 is the most urgent.
      objective_ms: Time left until the latency objective of the call, in
        milliseconds; 0 if it has none.
      report_zone: Zone of an entry that takes service times, limits and loads
        of other VMs with the reply; empty for other entries.
    """

    attempt: str = attrs.field(validator=_check_text)
    request_id: str = attrs.field(validator=_check_text)
    incarnation: int = attrs.field(validator=_check_count)
    route: str = attrs.field(validator=_check_text)
    service: str = attrs.field(validator=_check_text)
    workspace: str = attrs.field(validator=_check_text)
    key_id: str = attrs.field(validator=_check_text)
    timeout_ms: int = attrs.field(validator=_check_count)
    repeatable: bool = attrs.field(validator=_check_flag)
    preset_version: int = attrs.field(
        validator=_check_count, metadata=messages.VERSION_METADATA
    )
    keys_version: int = attrs.field(
        validator=_check_count, metadata=messages.VERSION_METADATA
    )
    method: str = attrs.field(validator=_check_text)
    target: str = attrs.field(validator=_check_text)
    headers: list = attrs.field(validator=check_header_pairs)
    body: bytes = attrs.field(validator=_check_bytes)
    rank: int = attrs.field(default=0, validator=_check_count)
    objective_ms: int = attrs.field(default=0, validator=_check_count)
    report_zone: str = attrs.field(
        default='', validator=_check_text, metadata=messages.APPENDED_METADATA
    )


@messages.register(81)
@attrs.frozen
class Answered:
    """The whole answer of a backend server, and the load of its VM.

    Attributes:
      load: Calls in flight and queued, divided by the concurrency limit.
      service_s: Mean time of a call at the backend server, in seconds.
      fair_load: The part of the load that delays the workspace of the call.
      idle_load: The part that delays a workspace without queued calls.
      kind_service_s: Mean time of a call of the same route there, in seconds;
        0 if it is unknown.
      limit: Concurrency limit there; 0 if it is unknown.
      reports: Recent loads of other VMs of the zone; see
        `jayseam.routing.digests`.
    """

    status: int = attrs.field(validator=_check_count)
    headers: list = attrs.field(validator=check_header_pairs)
    body: bytes = attrs.field(validator=_check_bytes)
    load: float = attrs.field(validator=_check_number)
    service_s: float = attrs.field(validator=_check_number)
    fair_load: float = attrs.field(validator=_check_number)
    idle_load: float = attrs.field(validator=_check_number)
    kind_service_s: float = attrs.field(
        default=0.0,
        validator=_check_number,
        metadata=messages.APPENDED_METADATA,
    )
    limit: int = attrs.field(
        default=0, validator=_check_count, metadata=messages.APPENDED_METADATA
    )
    reports: Sequence = attrs.field(
        default=(),
        validator=check_reports,
        metadata=messages.APPENDED_METADATA,
    )


@messages.register(82)
@attrs.frozen
class Refused:
    """An attempt that ended without an answer.

    Attributes:
      code: Code of the problem, as in `jayseam.calls.errors`.
      ran: ``no`` if the attempt has not run, ``unknown`` if it may have run.
      admitted: Whether the admission gate let the attempt through, so that it
        may have reached the backend server.
      retry_after_ms: Milliseconds after which there may be room again; 0 if
        that isn't known.
      kind_service_s: Mean time of a call of the same route there, in seconds;
        0 if it is unknown.
      limit: Concurrency limit there; 0 if it is unknown.
      reports: Recent loads of other VMs of the zone; see
        `jayseam.routing.digests`.
    """

    code: str = attrs.field(validator=_check_text)
    ran: str = attrs.field(validator=validators.in_(('no', 'unknown')))
    detail: str = attrs.field(validator=_check_text)
    load: float = attrs.field(validator=_check_number)
    service_s: float = attrs.field(validator=_check_number)
    fair_load: float = attrs.field(validator=_check_number)
    idle_load: float = attrs.field(validator=_check_number)
    admitted: bool = attrs.field(default=True, validator=_check_flag)
    retry_after_ms: int = attrs.field(default=0, validator=_check_count)
    kind_service_s: float = attrs.field(
        default=0.0,
        validator=_check_number,
        metadata=messages.APPENDED_METADATA,
    )
    limit: int = attrs.field(
        default=0, validator=_check_count, metadata=messages.APPENDED_METADATA
    )
    reports: Sequence = attrs.field(
        default=(),
        validator=check_reports,
        metadata=messages.APPENDED_METADATA,
    )


@messages.register(83)
@attrs.frozen
class CancelAttempt:
    """Cancels an attempt whose caller no longer waits for the answer."""

    attempt: str = attrs.field(validator=_check_text)


@messages.register(84)
@attrs.frozen
class Claim:
    """Asks a keeper to grant an attempt the only run under a key.

    Attributes:
      key_ms: Creation time in the idempotency key, in milliseconds since the
        Unix epoch.
      fingerprint: Digest of the request, to detect reuse of the key for another
        request.
    """

    workspace: str = attrs.field(validator=_check_text)
    key: str = attrs.field(validator=_check_text)
    key_ms: int = attrs.field(validator=_check_count)
    fingerprint: str = attrs.field(validator=_check_text)
    attempt: str = attrs.field(validator=_check_text)


@messages.register(85)
@attrs.frozen
class ClaimState:
    """State of a key at a keeper.

    Attributes:
      state: ``granted``, ``running``, ``settled`` (the attempt has ended),
        ``mismatch`` (the key was used with another request), ``unconfirmed``
        (recorded, but the keeper started after the key was created and can't
        know of earlier attempts) or ``unknown`` (nothing recorded).
      attempt: Attempt that holds the key; empty if none does.
      status: HTTP status of the stored answer; 0 if there is none.
    """

    state: str = attrs.field(validator=_check_text)
    attempt: str = attrs.field(validator=_check_text)
    status: int = attrs.field(validator=_check_count)
    headers: list = attrs.field(validator=check_header_pairs)
    body: bytes = attrs.field(validator=_check_bytes)


@messages.register(86)
@attrs.frozen
class Settle:
    """Asks a keeper to store the outcome of an attempt.

    Attributes:
      status: HTTP status of the answer; 0 if the outcome is unknown or too
        large to store.
    """

    workspace: str = attrs.field(validator=_check_text)
    key: str = attrs.field(validator=_check_text)
    attempt: str = attrs.field(validator=_check_text)
    status: int = attrs.field(validator=_check_count)
    headers: list = attrs.field(validator=check_header_pairs)
    body: bytes = attrs.field(validator=_check_bytes)


@messages.register(87)
@attrs.frozen
class Abandon:
    """Asks a keeper to release the claim of an attempt that did not run."""

    workspace: str = attrs.field(validator=_check_text)
    key: str = attrs.field(validator=_check_text)
    attempt: str = attrs.field(validator=_check_text)


@messages.register(88)
@attrs.frozen
class LookUp:
    """Asks a keeper for the state of a key without claiming it."""

    workspace: str = attrs.field(validator=_check_text)
    key: str = attrs.field(validator=_check_text)
