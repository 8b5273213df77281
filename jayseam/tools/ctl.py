"""The operator tool ``jayseam-ctl``, which is read-only.

Commands:
  status ADDR...: State of nodes, by their admin addresses.
  explain ADDR --workspace W --path P [--method M]: How a node routes a call.
  route ADDR --path P [--host H] [--method M] [--zone Z]: The route of a call,
    its candidates and the decision, without sending it.
  check FILE: Whether a preset document would be accepted.
  diff A B: Differences between two preset documents.
  follow REQUEST_ID LOG...: Log lines of several nodes about one request.

Exit codes:
  0: Success; for ``diff``, no differences.
  1: A preset was rejected, ``diff`` found differences, ``explain`` or ``route``
    found no usable candidate, no route matched, or ``follow`` found no line.
  2: Wrong usage, or a file that cannot be read or is not JSON.
  3: A node could not be reached or gave an unexpected response.
"""

import argparse
import json
import pathlib
import sys
import urllib.parse
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from jayseam.presets import differences
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.presets import model
from jayseam.presets import verification
from jayseam.tools import nodes
from jayseam.tools import routes
from jayseam.tools import tables
from jayseam.tools import traces

_STATUS_COLUMNS = (
    'addr',
    'vm',
    'zone',
    'state',
    'preset',
    'keys',
    'vms',
    'age_s',
    'backend',
    'in_flight',
    'queued',
    'peers',
    'out_of_service',
    'rejected',
)
_CANDIDATE_COLUMNS = ('vm', 'upstream', 'zone', 'usable', 'load', 'reason')


def read_document(path: str) -> Any:
    """Returns the JSON document in a file.

    Raises:
      nodes.ToolError: If the file cannot be read or is not JSON.
    """
    try:
        return documents.decode_json(pathlib.Path(path).read_bytes())
    except (OSError, preset_errors.PresetRejectedError) as error:
        raise nodes.ToolError(nodes.EXIT_USAGE, f'{path}: {error}') from error


def summarize_status(address: str, status: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a node's row in the status table."""
    versions = status.get('versions', {})
    backend = status.get('backend', {})
    peers = status.get('peers', [])
    alive = sum(peer.get('state') == 'alive' for peer in peers)
    closed = [n for n, open_ in status.get('zones', {}).items() if not open_]
    state = status.get('state')
    if status.get('unconfirmed'):
        state = f'{state} (unconfirmed)'
    limit = backend.get('limit')
    return {
        'addr': address,
        'vm': status.get('vm'),
        'zone': status.get('zone'),
        'state': state,
        'preset': versions.get('preset'),
        'keys': versions.get('keys'),
        'vms': versions.get('vms'),
        'age_s': status.get('confirmed_age_s'),
        'backend': backend.get('state'),
        'in_flight': f'{backend.get("in_flight")}/{limit}',
        'queued': backend.get('queued'),
        'peers': f'{alive}/{len(peers)}',
        'out_of_service': ','.join(sorted(closed)) or None,
        'rejected': len(status.get('rejected', [])),
    }


def run_status(options: argparse.Namespace) -> int:
    """Prints the state of each node that can be reached."""
    statuses: dict[str, Any] = {}
    code = nodes.EXIT_OK
    for address in options.addresses:
        try:
            statuses[address] = nodes.fetch_json(address, '/status')
        except nodes.ToolError as error:
            print(f'jayseam-ctl: {error}', file=sys.stderr)
            code = error.code
    if options.json:
        print(json.dumps(statuses, indent=2, sort_keys=True))
    elif statuses:
        rows = [summarize_status(a, status) for a, status in statuses.items()]
        print(tables.format_table(rows, _STATUS_COLUMNS))
    return code


def run_explain(options: argparse.Namespace) -> int:
    """Prints how a node would route a call, with all candidates."""
    query = urllib.parse.urlencode(
        {
            'workspace': options.workspace,
            'path': options.path,
            'method': options.method,
        }
    )
    answer = nodes.fetch_json(options.address, f'/explain?{query}')
    candidates = answer.get('candidates', [])
    if options.json:
        print(json.dumps(answer, indent=2, sort_keys=True))
    else:
        for name in ('route', 'workspace'):
            value = answer.get(name)
            if not isinstance(value, str):
                value = json.dumps(value, sort_keys=True)
            print(f'{name}: {value}')
        print(tables.format_table(candidates, _CANDIDATE_COLUMNS))
    return (
        nodes.EXIT_OK
        if any(c.get('usable') for c in candidates)
        else nodes.EXIT_NEGATIVE
    )


def _verify(path: str) -> model.Preset:
    """Returns the preset in a file after the checks that nodes make.

    Raises:
      PresetRejectedError: If the preset is invalid, with all reasons.
    """
    document = read_document(path)
    preset = verification.verify_preset(document)
    # Also rejects parts that are too large for the configuration service.
    documents.split_preset(document)
    return preset


def _verify_or_exit(path: str) -> model.Preset:
    try:
        return _verify(path)
    except preset_errors.PresetRejectedError as error:
        reasons = '\n'.join(f'{path}: {reason}' for reason in error.reasons)
        raise nodes.ToolError(
            nodes.EXIT_NEGATIVE, f'rejected\n{reasons}'
        ) from error


def run_check(options: argparse.Namespace) -> int:
    """Prints whether a preset would be accepted, or why it is rejected."""
    reasons: list[str] = []
    try:
        _verify(options.file)
    except preset_errors.PresetRejectedError as error:
        reasons = error.reasons
    if options.json:
        print(json.dumps({'accepted': not reasons, 'reasons': reasons}))
    else:
        print('\n'.join(reasons) or 'accepted')
    return nodes.EXIT_NEGATIVE if reasons else nodes.EXIT_OK


def run_diff(options: argparse.Namespace) -> int:
    """Prints the differences between two preset documents."""
    before = _verify_or_exit(options.before)
    after = _verify_or_exit(options.after)
    changes = differences.compare_presets(before, after)
    if options.json:
        print(json.dumps([attrs.asdict(item) for item in changes]))
    else:
        for difference in changes:
            print(difference.format())
    return nodes.EXIT_NEGATIVE if changes else nodes.EXIT_OK


def run_follow(options: argparse.Namespace) -> int:
    """Prints the lines of log files about one request, in order of time."""
    lines: list[str] = []
    for name in options.logs:
        try:
            text = pathlib.Path(name).read_text('utf-8', errors='replace')
        except OSError as error:
            raise nodes.ToolError(
                nodes.EXIT_USAGE, f'{name}: {error}'
            ) from error
        lines += text.splitlines()
    selected = traces.select_request(lines, options.request_id)
    for line in selected:
        print(json.dumps(line) if options.json else traces.format_line(line))
    return nodes.EXIT_OK if selected else nodes.EXIT_NEGATIVE


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='jayseam-ctl',
        description='Reads the state of jayseam nodes and checks presets.',
        epilog='Exit codes: 0 success; 1 rejected, different, not routable or '
        'not found; 2 wrong usage or unreadable file; 3 node not reachable.',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    command = commands.add_parser('status', help='state of nodes')
    command.add_argument('addresses', nargs='+', metavar='ADDR')
    command.set_defaults(run=run_status)
    command = commands.add_parser('explain', help='how a node routes a call')
    command.add_argument('address', metavar='ADDR')
    command.add_argument('--workspace', required=True)
    command.add_argument('--path', required=True)
    command.add_argument('--method', default='GET')
    command.set_defaults(run=run_explain)
    routes.add_command(commands)
    command = commands.add_parser('check', help='validity of a preset')
    command.add_argument('file', metavar='FILE')
    command.set_defaults(run=run_check)
    command = commands.add_parser(
        'diff', help='differences between two presets'
    )
    command.add_argument('before', metavar='A')
    command.add_argument('after', metavar='B')
    command.set_defaults(run=run_diff)
    command = commands.add_parser('follow', help='log lines about one request')
    command.add_argument('request_id', metavar='REQUEST_ID')
    command.add_argument('logs', nargs='+', metavar='LOG')
    command.set_defaults(run=run_follow)
    for command in commands.choices.values():
        command.add_argument('--json', action='store_true', help='print JSON')
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except nodes.ToolError as error:
        print(f'jayseam-ctl: {error}', file=sys.stderr)
        return error.code


if __name__ == '__main__':
    sys.exit(main())
