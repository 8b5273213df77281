"""Identifiers of requests and attempts."""

import uuid


def make_id() -> str:
    """Returns a random identifier of 32 hex digits.

    >>> len(make_id())
    32
    """
    return uuid.uuid4().hex
