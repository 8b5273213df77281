"""Rules of the fault proxy: which connections meet which fault.

Each connection runs between two endpoints, a source and a target, which have
a name and a group (for nodes: the VM and its availability zone). A rule
applies to the connections whose endpoints it selects by name or group.
"""

from collections.abc import Sequence

import attrs

_SILENCES = ('forward', 'backward', 'both')


@attrs.frozen
class Endpoint:
    """One end of a connection.

    Attributes:
      name: Name, such as a VM name or ``platform``.
      group: Group, such as an availability zone.
    """

    name: str
    group: str


UNKNOWN = Endpoint('', '')


@attrs.frozen
class Rule:
    """A fault on the connections from some endpoints to others.

    Attributes:
      source: Names or groups of sources; empty selects all.
      target: Names or groups of targets; empty selects all.
      delay_ms: Added to each direction, in milliseconds.
      silence: Direction that gets no bytes: ``forward`` (to the target),
        ``backward`` or ``both``.
      refuse: Whether new connections are reset.
    """

    source: frozenset[str] = attrs.field(default=(), converter=frozenset)
    target: frozenset[str] = attrs.field(default=(), converter=frozenset)
    delay_ms: float = 0.0
    silence: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.in_(_SILENCES)),
    )
    refuse: bool = False

    def selects(self, source: Endpoint, target: Endpoint) -> bool:
        """Tells whether the rule applies between two endpoints.

        >>> rule = Rule(source=['zone-a'])
        >>> rule.selects(Endpoint('vm-1', 'zone-a'), Endpoint('vm-2', 'b'))
        True
        """
        return all(
            not names or names & {end.name, end.group}
            for names, end in ((self.source, source), (self.target, target))
        )


@attrs.frozen
class Condition:
    """What the rules and the partition together do to one connection."""

    delay_s: float = 0.0
    forward_silent: bool = False
    backward_silent: bool = False
    refused: bool = False


def combine_rules(
    rules: Sequence[Rule],
    partition: Sequence[frozenset[str]],
    source: Endpoint,
    target: Endpoint,
) -> Condition:
    """Returns the condition of connections between two endpoints.

    Args:
      rules: All rules in force.
      partition: Sets of names or groups that can't reach each other; an
        endpoint in none of them reaches all.
      source: The endpoint that connects.
      target: The endpoint that is connected to.

    >>> sides = [frozenset({'a'}), frozenset({'b'})]
    >>> ends = Endpoint('vm-1', 'a'), Endpoint('vm-2', 'b')
    >>> combine_rules([], sides, *ends).forward_silent
    True
    """
    selected = [rule for rule in rules if rule.selects(source, target)]
    sides = [_find_side(partition, end) for end in (source, target)]
    parted = None not in sides and sides[0] != sides[1]
    silences = {rule.silence for rule in selected}
    return Condition(
        delay_s=sum(rule.delay_ms for rule in selected) / 1000.0,
        forward_silent=parted or bool(silences & {'forward', 'both'}),
        backward_silent=parted or bool(silences & {'backward', 'both'}),
        refused=any(rule.refuse for rule in selected),
    )


def _find_side(
    partition: Sequence[frozenset[str]], endpoint: Endpoint
) -> int | None:
    for number, names in enumerate(partition):
        if names & {endpoint.name, endpoint.group}:
            return number
    return None
