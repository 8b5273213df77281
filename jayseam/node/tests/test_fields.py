"""Parsing of header fields: ambiguous fields are refused."""

import io

import pytest

from jayseam.node import fields


def _read(text):
    return fields.read_fields(io.BytesIO(text))


@pytest.mark.parametrize(
    'text',
    [
        b'Content-Length : 3\r\n\r\n',
        b' Host: a\r\n\r\n',
        b'Host: a\r\n b\r\n\r\n',
        b'Host: a\r\n\tb\r\n\r\n',
        b'no colon\r\n\r\n',
        b': no name\r\n\r\n',
        b'Na me: a\r\n\r\n',
        b'Na(me): a\r\n\r\n',
        b'N\xe9: a\r\n\r\n',
        b'Host: a\rb\r\n\r\n',
        b'Host: a\0b\r\n\r\n',
        b'Host: a\r\r\n\r\n',
        b'Host: a\n\n',
        b'Host: a\n\r\n',
        b'Host: a\r\n\n',
        b'Host: a\r\n',
        b'Host: a',
        b'',
        b'Host: ' + b'a' * 65536 + b'\r\n\r\n',
        b'X: a\r\n' * 101 + b'\r\n',
    ],
)
def test_malformed_fields_are_refused(text):
    """Fields that parsers read differently allow request smuggling."""
    with pytest.raises(fields.FramingError):
        _read(text)


def test_fields_keep_order_and_copies():
    """A dropped duplicate would hide a second length or credential."""
    read = _read(b'B: 1\r\na:\t2 \r\nb:\r\nX: \xe9:\r\n\r\nrest')
    assert read.items() == [('B', '1'), ('a', '2 '), ('b', ''), ('X', '\xe9:')]
    assert read.get('b') == '1'
    assert list(read.headers)[:2] == ['B: 1\r\n', 'a: 2 \r\n']
    del read['B']
    assert read.get('b') is None


def test_body_is_left_unread():
    """Parsing must not consume bytes of the body or the next request."""
    stream = io.BytesIO(b'Host: a\r\n\r\nbody')
    fields.read_fields(stream)
    assert stream.read() == b'body'
