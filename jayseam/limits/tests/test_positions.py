"""Tests of positions by zone."""

import types

from hypothesis import given
from hypothesis import strategies

from jayseam.limits import positions

_ZONES = strategies.sampled_from('abc')


@given(strategies.dictionaries(strategies.text(max_size=3), _ZONES))
def test_each_position_is_in_its_zone_only(zones):
    """A position in two zones would have two parts of each rate."""
    grouped = positions.group_positions(
        {name: types.SimpleNamespace(zone=zone) for name, zone in zones.items()}
    )
    assert grouped.count == len(zones)
    for zone in 'abc':
        expected = {name for name, other in zones.items() if other == zone}
        assert grouped.list_in(zone) == expected


def test_positions_that_a_zone_gains_count_as_heard():
    """They are charged when the zone falls silent, as the others are."""
    heard = positions.HeardPositions()
    heard.add('a', frozenset({'u0'}))
    assert heard.select(['u0', 'u1']) == {'u0'}
    heard.add('a', frozenset({'u0', 'u1'}))
    heard.add('a', frozenset())
    assert heard.select(['u0', 'u1', 'u2']) == {'u0', 'u1'}
