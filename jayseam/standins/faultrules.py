"""Rules of the fault proxy: which faults apply to which connections.

Each connection has two endpoints, a source and a target. An endpoint has a name
and a group; for a node these are the VM and its availability zone. A rule
applies to the connections whose endpoints it selects by name or group.
"""

from collections.abc import Sequence

import attrs

_SILENCE_DIRECTIONS = ('forward', 'backward', 'both')


@attrs.frozen
class Endpoint:
    """One end of a connection.

    Attributes:
      name: Name, such as a VM name or ``platform``.
      group: Group, such as an availability zone.
    """

    name: str
    group: str


UNKNOWN_ENDPOINT = Endpoint('', '')


@attrs.frozen
class Rule:
    """A fault on the connections from some endpoints to others.

    Attributes:
      source: Names or groups of sources; empty selects all.
      target: Names or groups of targets; empty selects all.
      delay_ms: Delay added in each direction, in milliseconds.
      silence: Direction in which no bytes pass: ``forward`` (to the target),
        ``backward`` or ``both``.
      refuse: Whether new connections are reset.
    """

    source: frozenset[str] = attrs.field(default=(), converter=frozenset)
    target: frozenset[str] = attrs.field(default=(), converter=frozenset)
    delay_ms: float = 0.0
    silence: str | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(
            attrs.validators.in_(_SILENCE_DIRECTIONS)
        ),
    )
    refuse: bool = False

    def selects(self, source: Endpoint, target: Endpoint) -> bool:
        """Returns whether the rule applies between two endpoints.

        >>> rule = Rule(source=['zone-a'])
        >>> rule.selects(Endpoint('vm-1', 'zone-a'), Endpoint('vm-2', 'b'))
        True
        """
        return all(
            not names or names & {end.name, end.group}
            for names, end in ((self.source, source), (self.target, target))
        )


@attrs.frozen
class ConnectionFaults:
    """Combined faults of the rules and the partition on one connection.

    Attributes:
      delay_s: Delay in each direction, in seconds.
      forward_silent: Whether no bytes pass to the target.
      backward_silent: Whether no bytes pass to the source.
      refused: Whether a new connection is reset.
    """

    delay_s: float = 0.0
    forward_silent: bool = False
    backward_silent: bool = False
    refused: bool = False


def combine_rules(
    rules: Sequence[Rule],
    partition: Sequence[frozenset[str]],
    source: Endpoint,
    target: Endpoint,
) -> ConnectionFaults:
    """Returns the faults on connections between two endpoints.

    Args:
      rules: All rules in force.
      partition: Sets of names or groups that can't reach each other. An
        endpoint that is in none of them can reach all.
      source: The endpoint that connects.
      target: The endpoint that is connected to.

    >>> parts = [frozenset({'a'}), frozenset({'b'})]
    >>> ends = Endpoint('vm-1', 'a'), Endpoint('vm-2', 'b')
    >>> combine_rules([], parts, *ends).forward_silent
    True
    """
    selected = [rule for rule in rules if rule.selects(source, target)]
    parts = [_find_part(partition, end) for end in (source, target)]
    partitioned = None not in parts and parts[0] != parts[1]
    silences = {rule.silence for rule in selected}
    return ConnectionFaults(
        delay_s=sum(rule.delay_ms for rule in selected) / 1000.0,
        forward_silent=partitioned or bool(silences & {'forward', 'both'}),
        backward_silent=partitioned or bool(silences & {'backward', 'both'}),
        refused=any(rule.refuse for rule in selected),
    )


def _find_part(
    partition: Sequence[frozenset[str]], endpoint: Endpoint
) -> int | None:
    """Returns the number of the set that contains an endpoint, or None."""
    for number, names in enumerate(partition):
        if names & {endpoint.name, endpoint.group}:
            return number
    return None
