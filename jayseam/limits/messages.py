"""Messages between nodes about fleet-wide limits (codes 60 to 79)."""

from typing import Any

import attrs
from attrs import validators

from jayseam.links import messages

_INT = validators.instance_of(int)
_STR = validators.instance_of(str)
_BOOL = validators.instance_of(bool)
# More tokens than a workspace can spend. Sums of such amounts stay finite; one
# infinite amount would make all later sums of a hub unusable.
MAX_AMOUNT = 1e15
_GROUPS = validators.deep_iterable(
    member_validator=_INT,
    iterable_validator=validators.instance_of((list, tuple)),
)


_is_amounts_by_name = messages.dict_of(int, float)


def _check_amounts(
    instance: Any, attribute: attrs.Attribute, value: Any
) -> None:
    """Validates tokens by workspace.

    A report has an amount for each of many workspaces, and a hub sends one to
    each member, so composed validators would take most of the time of a report.
    """
    _is_amounts_by_name(instance, attribute, value)
    if not all(0 <= amount <= MAX_AMOUNT for amount in value.values()):
        raise ValueError(f'{attribute.name}: amount out of range')


def _check_reports(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    for row in value:
        number, workspace, spent, returned = row
        if not isinstance(number, int) or not isinstance(workspace, str):
            raise TypeError(f'{attribute.name}: malformed row {row!r}')
        if not (0 <= spent < float('inf') and 0 <= returned < float('inf')):
            raise ValueError(f'{attribute.name}: amount out of range {row!r}')


def _check_shares(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if value is None:
        return
    for name, (rate, burst) in value.items():
        if not isinstance(name, str):
            raise TypeError(f'{attribute.name}: malformed key {name!r}')
        if not (0 <= rate < float('inf') and 0 <= burst < float('inf')):
            raise ValueError(f'{attribute.name}: share out of range {name!r}')


@messages.register(60)
@attrs.frozen
class Borrow:
    """Lease request: an owner asks for, or renews, the share of a position.

    Attributes:
      incarnation: The owner's incarnation.
      groups: Numbers of the workspace groups.
      need_shares: Whether the reply must list the shares.
    """

    incarnation: int = attrs.field(validator=_INT)
    groups: list[int] = attrs.field(validator=_GROUPS)
    need_shares: bool = attrs.field(default=False, validator=_BOOL)


@messages.register(61)
@attrs.frozen
class Lend:
    """Lease grant: the reply to `Borrow`.

    Attributes:
      upstream: The lender's position.
      incarnation: The lender's incarnation.
      groups: Groups that the lease covers; the request's others are refused.
      digest: Digest of the lender's shares.
      shares: Rate and burst by workspace; None unless requested.
    """

    upstream: str = attrs.field(validator=_STR)
    incarnation: int = attrs.field(validator=_INT)
    groups: list[int] = attrs.field(validator=_GROUPS)
    digest: str = attrs.field(validator=_STR)
    shares: dict[str, list[float]] | None = attrs.field(
        default=None, validator=_check_shares
    )


@messages.register(62)
@attrs.frozen
class Draw:
    """Token request: an entry asks an owner for tokens and reports its use.

    Attributes:
      incarnation: The entry's incarnation.
      number: Number of this draw; identifies the batches granted for it.
      wants: Tokens requested, by workspace.
      reports: Rows of draw number, workspace, tokens spent since the last
        report, tokens returned.
    """

    incarnation: int = attrs.field(validator=_INT)
    number: int = attrs.field(validator=_INT)
    wants: dict[str, float] = attrs.field(validator=_check_amounts)
    reports: list[list] = attrs.field(factory=list, validator=_check_reports)


@messages.register(63)
@attrs.frozen
class Grant:
    """Token grant: the reply to `Draw`.

    Attributes:
      number: Number of the draw.
      amounts: Tokens granted, by workspace; a missing workspace got none.
    """

    number: int = attrs.field(validator=_INT)
    amounts: dict[str, float] = attrs.field(validator=_check_amounts)


@messages.register(64)
@attrs.frozen
class Report:
    """An entry reports the use of its batches without requesting tokens.

    Attributes:
      incarnation: The entry's incarnation.
      reports: Rows as in `Draw`.
    """

    incarnation: int = attrs.field(validator=_INT)
    reports: list[list] = attrs.field(validator=_check_reports)


@messages.register(65)
@attrs.frozen
class Release:
    """An owner returns borrowed shares before their leases end.

    Attributes:
      incarnation: The owner's incarnation.
      groups: Numbers of the workspace groups.
    """

    incarnation: int = attrs.field(validator=_INT)
    groups: list[int] = attrs.field(validator=_GROUPS)


@messages.register(66)
@attrs.frozen
class Spent:
    """A node reports the tokens that calls have spent since it started.

    Attributes:
      incarnation: The node's incarnation.
      own: Total tokens spent at the node, for workspaces whose total changed.
      relayed: Total tokens spent in the other zones that the node relays.
      zones: Other zones whose members report to the node.
    """

    incarnation: int = attrs.field(validator=_INT)
    own: dict[str, float] = attrs.field(validator=_check_amounts)
    relayed: dict[str, float] = attrs.field(
        factory=dict, validator=_check_amounts
    )
    zones: list[str] = attrs.field(
        factory=list,
        validator=validators.deep_iterable(member_validator=_STR),
    )
