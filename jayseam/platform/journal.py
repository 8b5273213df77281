"""Reads the journal in which the operators' bench records its plays.

A play is a run of test scenarios, which are called days, on a deployment, which
is called a site.
"""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

from jayseam.core import logs

_log = logs.get_logger(__name__)


@attrs.frozen
class DayResult:
    """Result of one day of a play.

    Attributes:
      site: Name of the site.
      name: Name of the day, without the seed.
      played_at: Start of the play, as ISO 8601 text in UTC.
      command: Command of the bench, such as ``score`` or ``hunt``.
      is_twin: Whether the site's small version was played (``--small``).
      merit: Figure of merit: weighted shares served, less deductions.
      served: Share of the attainable value that callers received.
      kinds: This share by kind of request, in the order of the site file.
      zones: This share by availability zone of the callers.
      deductions: Amounts subtracted from the merit, by cause.
      broken: Names of violated rules, and the fault that ended the day, if any.
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


def read_journal(directory: pathlib.Path) -> list[DayResult]:
    """Returns the days of all completed plays, in the order of their starts.

    Plays that were aborted have no days and are logged.
    """
    days = []
    for path in sorted(directory.glob('*.json')):
        try:
            play = json.loads(path.read_text(encoding='utf-8'))
            decoded = [_decode_day(play, day) for day in play['days'] or ()]
        except (OSError, ValueError, KeyError, TypeError) as error:
            _log.warning(
                'journal.unreadable',
                extra={'path': path.name, 'reason': repr(error)},
            )
            continue
        if not decoded:
            _log.info('journal.no_days', extra={'path': path.name})
        days += decoded
    return days


def _decode_day(play: Mapping[str, Any], day: Mapping[str, Any]) -> DayResult:
    broken = list(day['rules'])
    if day['fault']:
        broken.append(f'fault: {day["fault"]}')
    return DayResult(
        site=play['site'],
        name=day['name'].partition(' --seed')[0],
        # Start and, if known, end of the play.
        played_at=play['at'][0],
        command=play['cmd'],
        is_twin='--small' in play['argv'],
        # ``score`` is the same figure on a scale up to 1.
        merit=day['G'],
        served=day['served'],
        # The lists have a fixed length; unused positions are null.
        kinds=_drop_nulls(day['by_class']),
        zones=_drop_nulls(day['by_zone']),
        # Each entry is a cause, an amount and the deduction from the merit.
        deductions={
            cause: deduction for cause, _, deduction in day['prices'] or ()
        },
        broken=tuple(broken),
    )


def _drop_nulls(values: Any) -> tuple[float, ...]:
    return tuple(value for value in values or () if value is not None)
