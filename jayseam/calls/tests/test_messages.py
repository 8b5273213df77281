"""Tests of the validation of messages on the call path."""

import pytest

from jayseam.calls import messages


@pytest.mark.parametrize(
    'headers',
    [
        None,
        'ab',
        {'a': 'b'},
        ['ab'],
        [['a']],
        [['a', 'b', 'c']],
        [['a', 1]],
        [[b'a', 'b']],
        [['a', 'b'], None],
    ],
)
def test_malformed_header_fields_are_refused(headers):
    """A peer's malformed fields must not reach handlers or backend servers."""
    with pytest.raises(TypeError, match='headers'):
        messages.Answered(200, headers, b'', 0.0, 0.0, 0.0, 0.0)


@pytest.mark.parametrize('headers', [[], [['a', 'b']], (('a', 'b'),)])
def test_pairs_of_strings_are_taken(headers):
    """Codecs build messages with lists, the call path also with tuples."""
    assert (
        messages.Answered(200, headers, b'', 0.0, 0.0, 0.0, 0.0).headers
        == headers
    )


@pytest.mark.parametrize(
    'field, value',
    [
        ('status', True),
        ('status', 200.0),
        ('status', '200'),
        ('status', -1),
        ('body', 'text'),
        ('body', bytearray(b'a')),
        ('load', True),
        ('load', None),
        ('service_s', '1'),
        ('fair_load', True),
        ('idle_load', '1'),
    ],
)
def test_fields_of_a_wrong_type_are_refused(field, value):
    """A wrong type from a peer must not reach the load table or a caller."""
    fields = {
        'status': 200,
        'headers': [],
        'body': b'',
        'load': 0.0,
        'service_s': 0.0,
        'fair_load': 0.0,
        'idle_load': 0.0,
    }
    messages.Answered(**fields)
    with pytest.raises((TypeError, ValueError), match=field):
        messages.Answered(**{**fields, field: value})
