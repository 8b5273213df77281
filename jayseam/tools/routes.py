"""The command ``route``: how a node would route a call, without sending it."""

import argparse
import json
import urllib.parse
from collections.abc import Iterator, Mapping
from typing import Any

from jayseam.tools import nodes
from jayseam.tools import tables

_COLUMNS = (
    'vm',
    'upstream',
    'zone',
    'service',
    'state',
    'usable',
    'load',
    'expected_ms',
    'share',
    'reason',
)
_ROUTE_FIELDS = ('name', 'host', 'prefix', 'methods', 'targets', 'timeout_ms')
_MS_PER_S = 1000


def add_command(commands: Any) -> None:
    """Adds the command to the parser of the program."""
    command = commands.add_parser(
        'route', help='route, candidates and decision for a call'
    )
    command.add_argument('address', metavar='ADMIN')
    command.add_argument('--host', default='', help='value of Host')
    command.add_argument('--path', required=True)
    command.add_argument('--method', default='GET')
    command.add_argument(
        '--zone',
        default='',
        help='zone at which the call enters; by default that of the node',
    )
    command.add_argument(
        '--workspace', default='', help='workspace of the call, if it has one'
    )
    command.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Prints the decision of a node; returns the exit code.

    Raises:
      ToolError: If no route matches, or the node gives no answer.
    """
    names = ('host', 'path', 'method', 'zone', 'workspace')
    query = {name: getattr(options, name) for name in names}
    encoded = urllib.parse.urlencode({n: v for n, v in query.items() if v})
    answer = nodes.fetch_answer(options.address, f'/route?{encoded}')
    if options.json:
        print(json.dumps(answer, indent=2, sort_keys=True))
    else:
        print('\n'.join(_format(answer)))
    decided = answer['decision']['vm'] is not None
    return nodes.EXIT_OK if decided else nodes.EXIT_NEGATIVE


def _format(answer: Mapping[str, Any]) -> Iterator[str]:
    route = answer['route']
    fields = [
        f'{name}={_format_field(route.get(name))}' for name in _ROUTE_FIELDS
    ]
    yield 'route: ' + ' '.join(fields)
    yield 'decision: ' + _describe_decision(answer['decision'])
    rows = [_build_row(item) for item in answer['candidates']]
    yield tables.format_table(rows, _COLUMNS)


def _format_field(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _build_row(candidate: Mapping[str, Any]) -> dict[str, Any]:
    expected_s = candidate['expected_s']
    return {
        **candidate,
        'expected_ms': None
        if expected_s is None
        else round(expected_s * _MS_PER_S, 1),
        'share': f'{candidate["probability"]:.0%}',
    }


def _describe_decision(decision: Mapping[str, Any]) -> str:
    """Returns a sentence on the decision.

    >>> _describe_decision({'vm': None, 'own_zone': 'a', 'strategy': 's'})
    'refused: no usable candidate (strategy s, from zone a)'
    """
    basis = f'strategy {decision["strategy"]}, from zone {decision["own_zone"]}'
    if decision['vm'] is None:
        return f'refused: no usable candidate ({basis})'
    if not decision['is_random']:
        return f'{decision["vm"]} ({basis})'
    draws = ', '.join(decision['first_choices'])
    return (
        f'random: {decision["vm"]} in {decision["probability"]:.0%} of '
        f'{decision["n_choices"]} choices ({basis}); first draws: {draws}'
    )
