"""Outputs of log lines that are full, closed or refused."""

import errno
import os

import pytest

from jayseam.core import logs


def refuse(*_):
    """Fails as a call that a policy refuses."""
    raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))


@pytest.fixture(name='pipe')
def pipe_fixture():
    """Returns the descriptor of a pipe's reader and the writer as a file."""
    reader, writer = os.pipe()
    with (
        open(reader, 'rb', buffering=0) as source,
        open(writer, 'w', encoding='utf-8') as file,
    ):
        yield source, file


def read_all(reader):
    """Returns what a pipe holds."""
    os.set_blocking(reader.fileno(), False)
    parts = []
    while (part := reader.read(65536)) is not None:
        parts.append(part)
    return b''.join(parts)


@pytest.mark.parametrize('refused', [False, True])
@pytest.mark.parametrize('size', [99, 3000, 9000, 200_000])
def test_full_output_never_blocks(pipe, monkeypatch, refused, size):
    """A reader of the log that stands still must not stop the process."""
    reader, file = pipe
    with monkeypatch.context() as patch:
        if refused:
            patch.setattr(os, 'set_blocking', refuse)
        stream = logs.NonBlockingStream(file)
    assert (stream.blocking_reason is not None) == refused
    counter = logs.DROPPED_LINES.labels('full')
    before = counter._value.get()
    n_lines = 2_000_000 // size
    for _ in range(n_lines):
        stream.write('x' * (size - 1) + '\n')
    assert stream.dropped > 0
    assert counter._value.get() == before + stream.dropped
    received = read_all(reader)
    stream.write('later\n')
    while stream._unwritten:
        received += read_all(reader)
        stream.write('later\n')
    received += read_all(reader)
    lines = received.splitlines()
    assert set(map(len, lines)) <= {size - 1, len('later')}
    assert b'later' in lines


def test_closed_output_is_counted(pipe):
    """Lines that nobody can read must not raise, nor vanish uncounted."""
    reader, file = pipe
    stream = logs.NonBlockingStream(file)
    reader.close()
    counter = logs.DROPPED_LINES.labels('EPIPE')
    before = counter._value.get()
    stream.write('line\n')
    assert (stream.dropped, counter._value.get()) == (1, before + 1)


def test_missing_output_is_counted():
    """A process that was started with its output closed must run."""
    stream = logs.NonBlockingStream(None)
    stream.write('line\n')
    assert stream.dropped == 1


def test_text_that_is_no_utf_8_is_written(pipe):
    """An error in the report of an error would end what reports it."""
    reader, file = pipe
    logs.NonBlockingStream(file).write('path \udcff\n')
    assert read_all(reader) == b'path \\udcff\n'
