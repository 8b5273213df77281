"""Traces of a request: the log lines of several nodes, in order of time."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

# Fields that identify a log line; all other fields are details of the event.
_COMMON_FIELDS = (
    'time',
    'level',
    'logger',
    'event',
    'vm',
    'zone',
    'request_id',
)


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the log lines that contain a JSON object with an event.

    Text before the object, such as the prefix of a log collector, is skipped.
    """
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(entry, dict) and 'event' in entry:
            yield entry


def select_request(
    lines: Iterable[str], request_id: str
) -> list[dict[str, Any]]:
    """Returns the log lines about a request, in order of time.

    The clocks of VMs differ slightly, so lines of different nodes may be in the
    wrong order if their times are close together.

    >>> select_request(['x {"event": "call.run", "request_id": "r"}'], 'r')
    [{'event': 'call.run', 'request_id': 'r'}]
    """
    entries = [
        entry
        for entry in parse_lines(lines)
        if entry.get('request_id') == request_id
    ]
    return sorted(entries, key=lambda entry: entry.get('time', ''))


def format_line(line: dict[str, Any]) -> str:
    """Returns a log line as readable text.

    >>> format_line({'time': '10:00:01', 'vm': 'vm-1', 'event': 'call.refused',
    ...              'code': 'limit', 'reason': ''})
    '10:00:01 vm-1 call.refused code=limit'
    """
    details = [
        f'{name}={value}'
        for name, value in line.items()
        if name not in _COMMON_FIELDS and value not in ('', None)
    ]
    head = [str(line.get(name, '-')) for name in ('time', 'vm', 'event')]
    return ' '.join([*head, *details])
