"""Tests of late copies of answers."""

import pytest
from hypothesis import given
from hypothesis import strategies

from jayseam.backends import latecopies
from jayseam.backends import messages


def _build_answer(request_id, body, extra=''):
    head = f'HTTP/1.1 200 OK\r\nId: {request_id}\r\n{extra}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


def _parse(data, cuts, answered_id='r-1'):
    """Returns the answer in some bytes that arrive in blocks."""
    copies = latecopies.CopyFilter('Id', answered_id)
    reader = messages.AnswerReader('GET', 10_000)
    edges = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    for start, end in zip(edges, edges[1:]):
        own = copies.receive(data[start:end])
        if own is not None and reader.receive(own):
            return reader.build_answer(), copies.n_copies
    return None, copies.n_copies


@given(
    strategies.lists(strategies.binary(max_size=40), max_size=2),
    strategies.lists(strategies.integers(0, 10_000), max_size=8),
)
def test_answer_behind_copies_is_whole_wherever_blocks_end(bodies, cuts):
    """Blocks may end anywhere, also within the head of a copy."""
    copies = b''.join(_build_answer('r-1', body) for body in bodies)
    answer, n_copies = _parse(copies + _build_answer('r-2', b'own'), cuts)
    assert answer.body == b'own'
    assert n_copies == len(bodies)


@pytest.mark.parametrize(
    'head',
    [
        'Id: r-0\r\nContent-Length: 2\r\n',
        'Id: r-2\r\nNote: r-1\r\nContent-Length: 2\r\n',
        'Id: r-1\r\nId: r-2\r\nContent-Length: 2\r\n',
        'Note: r-1\r\nContent-Length: 2\r\n',
    ],
)
def test_other_answers_are_not_left_out(head):
    """Only a copy of the answer before may be taken out of the way."""
    data = f'HTTP/1.1 200 OK\r\n{head}\r\nno'.encode()
    answer, n_copies = _parse(data + _build_answer('r-2', b'own'), [])
    assert (answer.body, n_copies) == (b'no', 0)


@pytest.mark.parametrize(
    'head',
    [
        'Id: r-1\r\nTransfer-Encoding: chunked\r\n',
        'Id: r-1\r\nContent-Length: 2\r\nContent-Length: 3\r\n',
        'Id: r-1\r\nContent-Length: -2\r\n',
        'Id: r-1\r\nContent-Length: 99999999\r\n',
        'Id: r-1\r\n',
    ],
)
def test_copy_of_unknown_size_is_not_left_out(head):
    """Its end would be a guess; the caller of the client sees its id."""
    copies = latecopies.CopyFilter('Id', 'r-1')
    data = f'HTTP/1.1 200 OK\r\n{head}\r\nno'.encode()
    assert (copies.receive(data), copies.n_copies) == (data, 0)


def test_end_of_the_connection_passes_on_what_was_held():
    """An answer that is cut short must look so."""
    copies = latecopies.CopyFilter('Id', 'r-1')
    assert copies.receive(b'HTTP/1.1 200') is None
    assert copies.receive(b'') == b'HTTP/1.1 200'
    assert copies.receive(b'') == b''


def test_endless_copies_are_passed_on():
    """A server that sends nothing else must not hold the call."""
    copies = latecopies.CopyFilter('Id', 'r-1')
    copy = _build_answer('r-1', b'no')
    own = copies.receive(copy * 1000)
    assert copies.n_copies == latecopies.MAX_COPIES
    assert own == copy * (1000 - latecopies.MAX_COPIES)
