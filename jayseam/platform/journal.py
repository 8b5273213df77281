"""Reads the entries that the operators' bench leaves for its plays."""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

from jayseam.core import logs

_log = logs.get_logger(__name__)


@attrs.frozen
class PlayedDay:
    """One day of a play.

    Attributes:
      site: Name of the site.
      name: Name of the day, without the seed.
      played_at: Start of the play, as ISO 8601 text in UTC.
      command: How it was played, such as ``score`` or ``hunt``.
      is_twin: Whether a small twin of the site was played.
      merit: Figure of merit: shares served by weight, less deductions.
      served: Share of the possible value that callers got.
      kinds: The same by kind of request, in the order of the site file.
      zones: The same by availability zone of the callers.
      deductions: What was taken off the merit, by cause.
      broken: Rules that were broken, and a fault that ended the day.
    """

    site: str
    name: str
    played_at: str
    command: str
    is_twin: bool
    merit: float
    served: float
    kinds: tuple[float, ...]
    zones: tuple[float, ...]
    deductions: Mapping[str, float]
    broken: tuple[str, ...]


def read_journal(directory: pathlib.Path) -> list[PlayedDay]:
    """Returns the days of all plays that ended, in the order of their starts.

    Plays that were broken off have no days and are logged.
    """
    days = []
    for path in sorted(directory.glob('*.json')):
        try:
            play = json.loads(path.read_text(encoding='utf-8'))
            found = [_decode_day(play, day) for day in play['days'] or ()]
        except (OSError, ValueError, KeyError, TypeError) as error:
            _log.warning(
                'journal.unreadable',
                extra={'path': path.name, 'reason': repr(error)},
            )
            continue
        if not found:
            _log.info('journal.no_days', extra={'path': path.name})
        days += found
    return days


def _decode_day(play: Mapping[str, Any], day: Mapping[str, Any]) -> PlayedDay:
    broken = list(day['rules'])
    if day['fault']:
        broken.append(f'fault: {day["fault"]}')
    return PlayedDay(
        site=play['site'],
        name=day['name'].partition(' --seed')[0],
        # Start and, if known, end of the play.
        played_at=play['at'][0],
        command=play['cmd'],
        is_twin='--small' in play['argv'],
        # ``score`` is the same on a scale that ends at 1.
        merit=day['G'],
        served=day['served'],
        # Lists have a fixed length; places that are not used are null.
        kinds=_drop_absent(day['by_class']),
        zones=_drop_absent(day['by_zone']),
        # Each entry is a name, an amount and what it takes off.
        deductions={name: taken for name, _, taken in day['prices'] or ()},
        broken=tuple(broken),
    )


def _drop_absent(values: Any) -> tuple[float, ...]:
    return tuple(value for value in values or () if value is not None)
