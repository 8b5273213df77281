"""Tests of the reader of answers."""

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.backends import errors
from jayseam.backends import messages

ANSWERS = [
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Empty:\r\nX-A: b\r\n\r\nhello',
    b'HTTP/1.1 100 Go\r\nX-I: 1\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nX-Empty:\r\nX-A: b\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\nX-T: 1\r\n'
    b'\r\n',
]


def read(parts):
    """Returns the reader after all parts; stops when it is complete."""
    reader = messages.AnswerReader('GET', 1000)
    for part in parts:
        if part and reader.receive(part):
            break
    return reader


@pytest.mark.parametrize('answer', ANSWERS)
@hypothesis.given(data=st.data())
def test_fragments_give_the_same_answer(answer, data):
    """Where TCP splits an answer must not change its fields or body."""
    cuts = data.draw(st.lists(st.integers(0, len(answer)), max_size=8))
    edges = [0, *sorted(cuts), len(answer)]
    reader = read(answer[a:b] for a, b in zip(edges, edges[1:]))
    got = reader.build_answer()
    assert reader.is_reusable()
    assert (got.status, got.body) == (200, b'hello')
    fields = [f for f in got.headers if f[0] != 'Content-Length']
    assert fields == [('X-Empty', ''), ('X-A', 'b')]


@hypothesis.given(
    st.sampled_from(ANSWERS), st.integers(0, 150), st.binary(max_size=6)
)
def test_damaged_answer_never_passes_as_another_error(answer, at, noise):
    """Any damage must end as an unknown outcome, not as a crash."""
    at = min(at, len(answer))
    damaged = answer[:at] + noise + answer[at + len(noise) :]
    reader = messages.AnswerReader('GET', 1000)
    try:
        if not reader.receive(damaged):
            reader.receive(b'')
        reader.build_answer()
    except errors.OutcomeUnknownError:
        assert damaged != answer
