"""Faulty answers that a stand-in of a backend server writes byte by byte."""

import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import gevent

from jayseam.core import registries
from jayseam.standins import serving

BLOCK_BYTES = 65536
_HEAD_START = b'HTTP/1.1 200 OK\r\n'
_HEAD_END = b'\r\n\r\n'
_MAX_CHUNK_BYTES = 0xFFFF


@attrs.frozen
class AnswerFault:
    """A fault of the bytes of an answer.

    Attributes:
      kind: Name in `registry`.
      form: How the answer of a cut is framed: ``length``, ``chunked`` or
        ``unsized``.
      size_bytes: Size of the body that the answer of a cut, or the answer with
        a length, announces or contains.
      cut_at: Bytes of the answer that are sent before a cut.
      after_head: Whether `cut_at` counts from the end of the head; it may then
        be negative.
      reset: Whether a cut ends with a reset instead of an orderly close.
      block_bytes: Size of the blocks of a stream without end.
      pause_s: Seconds between two blocks.
      held_s: Seconds that a stream without end is sent for at most.
      status: Text in place of the status code, for the kind ``status``.
    """

    kind: str = 'cut'
    form: str = attrs.field(
        default='length',
        validator=attrs.validators.in_(('length', 'chunked', 'unsized')),
    )
    size_bytes: int = 64
    cut_at: int = 0
    after_head: bool = False
    reset: bool = False
    block_bytes: int = BLOCK_BYTES
    pause_s: float = 0.0
    held_s: float = 30.0
    status: str = '999'


# Returns the blocks of an answer; takes the fault and the fields of the head.
Writer = Callable[[AnswerFault, bytes], Iterator[bytes]]

registry: registries.Registry[Writer] = registries.Registry('answer fault')


def build_answer(form: str, fields: bytes, size_bytes: int) -> bytes:
    """Returns a whole answer.

    Args:
      form: ``length``, ``chunked`` or ``unsized``.
      fields: Header lines, each with its line end.
      size_bytes: Size of the body.

    >>> build_answer('chunked', b'', 2).partition(b'chunked')[2]
    b'\\r\\n\\r\\n2\\r\\nxx\\r\\n0\\r\\n\\r\\n'
    """
    body = b'x' * size_bytes
    if form == 'unsized':
        return _HEAD_START + fields + b'\r\n' + body
    if form == 'length':
        framing = b'Content-Length: %d' % size_bytes
        return _HEAD_START + fields + framing + _HEAD_END + body
    chunks = b''.join(
        b'%x\r\n%s\r\n' % (len(block), block)
        for start in range(0, size_bytes, _MAX_CHUNK_BYTES)
        if (block := body[start : start + _MAX_CHUNK_BYTES])
    )
    framing = b'Transfer-Encoding: chunked'
    return _HEAD_START + fields + framing + _HEAD_END + chunks + b'0\r\n\r\n'


@registry.register('cut')
def _cut(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    answer = build_answer(fault.form, fields, fault.size_bytes)
    start = 0
    if fault.after_head:
        start = answer.index(_HEAD_END) + len(_HEAD_END)
    yield answer[: start + fault.cut_at]


@registry.register('status')
def _send_status(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    answer = build_answer(fault.form, fields, fault.size_bytes)
    yield answer.replace(b'200', fault.status.encode('latin-1'), 1)


@registry.register('endless-head')
def _send_endless_head(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    yield _HEAD_START + fields + b'A: '
    yield from itertools.repeat(b'a' * fault.block_bytes)


@registry.register('endless-interim')
def _send_endless_interim(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    del fields
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    count = fault.block_bytes // len(interim) + 1
    yield from itertools.repeat(interim * count)


@registry.register('endless-length')
def _send_past_length(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    yield build_answer('length', fields, fault.size_bytes)
    yield from itertools.repeat(b'x' * fault.block_bytes)


@registry.register('endless-chunked')
def _send_endless_chunks(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    yield _HEAD_START + fields + b'Transfer-Encoding: chunked' + _HEAD_END
    block = b'x' * fault.block_bytes
    yield from itertools.repeat(b'%x\r\n%s\r\n' % (len(block), block))


@registry.register('endless-unsized')
def _send_endless_body(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    yield _HEAD_START + fields + b'\r\n'
    yield from itertools.repeat(b'x' * fault.block_bytes)


@registry.register('no-http')
def _send_no_http(fault: AnswerFault, fields: bytes) -> Iterator[bytes]:
    del fields
    yield from itertools.repeat(b'\0' * fault.block_bytes)


def send(fault: AnswerFault, fields: bytes, sock: Any) -> None:
    """Writes a faulty answer.

    Args:
      fault: The fault.
      fields: Header lines of the answer, each with its line end.
      sock: Socket of the connection.

    Raises:
      AbortError: Always, at the end; the connection is closed.
    """
    with contextlib.suppress(OSError), gevent.Timeout(fault.held_s, False):
        for block in registry.get(fault.kind)(fault, fields):
            sock.sendall(block)
            # A write to a fast reader doesn't switch greenlets.
            gevent.sleep(fault.pause_s)
    raise serving.AbortError(fault.reset)
