"""Durations in the notation of the platform: a number and its unit."""

import re

from jayseam.platform import errors

_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s)')
_MS_PER_S = 1000.0


def parse_seconds(text: object) -> float:
    """Parses a duration such as ``1500ms`` and returns it in seconds.

    >>> parse_seconds('1500ms'), parse_seconds('2.5s')
    (1.5, 2.5)

    Raises:
      ValueFormatError: If the text is not a duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.ValueFormatError(f'not a duration: {ascii(text)[:99]}')
    number = float(match.group(1))
    return number / _MS_PER_S if match.group(2) == 'ms' else number
