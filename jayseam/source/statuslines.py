"""Check of the status lines of a reply, before its parser sees them.

The parser of geventhttpclient takes every status under 200 for an interim one,
also 000 and 099, and then waits for another head on the same connection.
"""

import re

from jayseam.source import errors

# Bytes of ``HTTP/1.1 200``.
_PREFIX_BYTES = 12
_STATUS = re.compile(rb'HTTP/1\.[01] ([0-9]{3})')
_VALID_CLASSES = b'12345'
_INTERIM_CLASS = b'1'
# The parser accepts lines that end without a carriage return.
_HEAD_END = re.compile(rb'\n\r?\n')
_HEAD_END_BYTES = 3


class StatusLineCheck:
    """Checks the status of each head of one reply.

    Bytes that don't begin like a status line are left to the parser.

    >>> check = StatusLineCheck()
    >>> check.receive(b'HTTP/1.1 103 Hints\\r\\n\\r\\nHTTP/1.1 0')
    >>> check.receive(b'99 X\\r\\n')
    Traceback (most recent call last):
    ...
    jayseam.source.errors.SourceReplyError: invalid status 099
    """

    def __init__(self) -> None:
        self._held = b''
        self._is_interim = False
        self._is_done = False

    def receive(self, data: bytes) -> None:
        """Checks the next bytes of the reply.

        Raises:
          SourceReplyError: If a status is outside 100 to 599.
        """
        if self._is_done:
            return
        self._held += data
        while self._pass_interim_head() and len(self._held) >= _PREFIX_BYTES:
            match = _STATUS.match(self._held)
            status = match.group(1) if match else b''
            if match and status[:1] not in _VALID_CLASSES:
                raise errors.SourceReplyError(
                    f'invalid status {status.decode()}'
                )
            self._is_interim = status[:1] == _INTERIM_CLASS
            if not self._is_interim:
                self._is_done = True
                self._held = b''
                return

    def _pass_interim_head(self) -> bool:
        """Drops an interim head; returns whether another head is due."""
        if not self._is_interim:
            return True
        end = _HEAD_END.search(self._held)
        if end is None:
            # A part of the end may have arrived.
            self._held = self._held[1 - _HEAD_END_BYTES :]
            return False
        self._held = self._held[end.end() :]
        self._is_interim = False
        return True
