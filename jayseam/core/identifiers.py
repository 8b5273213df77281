"""Identifiers of requests and attempts."""

import secrets


def make_id() -> str:
    """Returns a random identifier of 32 hex digits.

    >>> len(make_id())
    32
    """
    return secrets.token_hex(16)
