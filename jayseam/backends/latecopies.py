"""Second copies of an answer that arrive where the next one is due.

A backend server may send an answer again, late, on a connection that carries
another request by then. A copy that names the request before, and whose end is
known from its head, is left out. The answer after it is whole, while giving up
would leave a call without one that may have run.
"""

import re

from jayseam.backends import messages

# Most copies that are left out before an answer, and most bytes of each.
MAX_COPIES = 4
MAX_COPY_BYTES = 2_000_000
_HEAD_END = b'\r\n\r\n'
# Final statuses; an answer with another one was never valid.
_STATUS = re.compile(b'[2-5][0-9]{2}')
# Statuses of answers without a body.
_BODILESS_STATUSES = (b'204', b'304')


class CopyFilter:
    """Leaves a late copy out of the bytes of a connection.

    >>> head = b'HTTP/1.1 200 OK\\r\\nId: r-1\\r\\nContent-Length: 2'
    >>> copy = head + b'\\r\\n\\r\\nok'
    >>> copies = CopyFilter('Id', 'r-1')
    >>> copies.receive(copy[:9]), copies.receive(copy[9:] + b'HTTP/1.1 200')
    (None, None)
    >>> copies.receive(b' OK\\r\\n\\r\\n'), copies.n_copies
    (b'HTTP/1.1 200 OK\\r\\n\\r\\n', 1)

    Args:
      id_field: Name of the field with the identifier of a request.
      answered_id: Identifier of the request that was answered last on the
        connection; None if there is none.

    Attributes:
      n_copies: Number of copies that were left out.
    """

    def __init__(self, id_field: str, answered_id: str | None):
        self._id_field = id_field.lower().encode('latin-1')
        self._answered_id = (answered_id or '').encode('latin-1', 'replace')
        self._is_done = not self._answered_id
        self._held = b''
        self._left_bytes = 0
        self.n_copies = 0

    def receive(self, data: bytes) -> bytes | None:
        """Returns the bytes to parse, or None if more are needed first.

        Args:
          data: Bytes as received; empty when the connection was closed.
        """
        if self._is_done:
            return data
        if not data:
            self._is_done = True
            return self._held
        data = self._held + data
        if self._left_bytes:
            skipped = min(self._left_bytes, len(data))
            self._left_bytes -= skipped
            data = data[skipped:]
        self._held = b''
        return self._receive_head(data) if data else None

    def _receive_head(self, data: bytes) -> bytes | None:
        end = data.find(_HEAD_END)
        if end < 0 and len(data) <= messages.MAX_HEAD_BYTES:
            self._held = data
            return None
        size = self._find_copy_size(data[: max(0, end)])
        if size is None or self.n_copies == MAX_COPIES:
            self._is_done = True
            return data
        self.n_copies += 1
        self._left_bytes = end + len(_HEAD_END) + size
        return self.receive(data)

    def _find_copy_size(self, head: bytes) -> int | None:
        """Returns the bytes of the body after the head of a copy.

        Returns:
          None if it isn't the head of a copy, or doesn't tell the size.
        """
        if self._answered_id not in head:
            return None
        status_line, *lines = head.split(b'\r\n')
        fields = [line.partition(b':')[::2] for line in lines]
        ids = [v.strip() for n, v in fields if n.lower() == self._id_field]
        if ids != [self._answered_id]:
            return None
        if any(n.lower() == b'transfer-encoding' for n, _ in fields):
            return None
        status = status_line[9:12]
        if not _STATUS.fullmatch(status):
            return None
        if status in _BODILESS_STATUSES:
            return 0
        sizes = {v.strip() for n, v in fields if n.lower() == b'content-length'}
        size = next(iter(sizes), b'')
        if len(sizes) != 1 or not size.isdigit():
            return None
        return int(size) if int(size) <= MAX_COPY_BYTES else None
