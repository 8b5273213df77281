"""Status codes of HTTP answers.

References:
  RFC 9110, section 15 (statuses outside 100 to 599 are invalid).
"""

_FIRST_FINAL = 200
_LAST = 599


def is_final(status: int) -> bool:
    """Returns whether a status may end an exchange.

    Interim statuses (100 to 199) only precede a final one.

    >>> [is_final(status) for status in (0, 99, 100, 200, 599, 600, 999)]
    [False, False, False, True, True, False, False]
    """
    return _FIRST_FINAL <= status <= _LAST
