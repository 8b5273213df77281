"""The lines of several nodes' logs about one request, in order of time."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

# Fields that say who wrote a line and when; the rest tells what happened.
_FRAME = ('time', 'level', 'logger', 'event', 'vm', 'zone', 'request_id')


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the log lines that are JSON objects.

    Other lines, such as those of a log collector, may stand before the object.
    """
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            found = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(found, dict) and 'event' in found:
            yield found


def select_request(
    lines: Iterable[str], request_id: str
) -> list[dict[str, Any]]:
    """Returns the log lines about a request, in order of time.

    Clocks of VMs differ by a little, so lines of different nodes that are
    close together may stand in the wrong order.

    >>> select_request(['x {"event": "call.run", "request_id": "r"}'], 'r')
    [{'event': 'call.run', 'request_id': 'r'}]
    """
    found = [
        line
        for line in read_lines(lines)
        if line.get('request_id') == request_id
    ]
    return sorted(found, key=lambda line: line.get('time', ''))


def format_line(line: dict[str, Any]) -> str:
    """Returns a log line as text for a person.

    >>> format_line({'time': '10:00:01', 'vm': 'vm-1', 'event': 'call.refused',
    ...              'code': 'limit', 'reason': ''})
    '10:00:01 vm-1 call.refused code=limit'
    """
    details = [
        f'{name}={value}'
        for name, value in line.items()
        if name not in _FRAME and value not in ('', None)
    ]
    head = [str(line.get(name, '-')) for name in ('time', 'vm', 'event')]
    return ' '.join([*head, *details])
