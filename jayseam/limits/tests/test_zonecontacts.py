"""Tests of what a node knows of its contact with other zones."""

import pytest

from jayseam.limits import zonecontacts

SILENCE_S = 1.0


@pytest.fixture(name='contacts')
def _contacts():
    return zonecontacts.ZoneContacts('a', SILENCE_S)


def test_own_zone_is_never_unreachable(contacts):
    """Reports also name the zone of their receiver, which sends none."""
    for step in range(50):
        assert not contacts.record_report('c', ['a'], step / 10)
    assert not contacts.is_on_bridge('c', 5.0)


def test_zone_that_was_never_heard_from_has_the_usual_time(contacts):
    """A link to it may not be open yet, so it isn't unreachable at once."""
    assert contacts.record_report('c', ['b'], 10.0) == []
    assert contacts.record_report('c', ['b'], 10.9) == []
    assert contacts.record_report('c', ['b'], 11.1) == ['b']
    assert contacts.is_on_bridge('c', 11.1)


def test_report_ends_the_doubt(contacts):
    """After a cut, nobody may be restricted to a part of the rate."""
    contacts.record_report('c', ['b'], 10.0)
    contacts.record_report('c', ['b'], 12.0)
    contacts.record_report('b', ['c'], 12.1)
    assert contacts.record_report('c', ['b'], 12.2) == []
    assert not contacts.is_on_bridge('c', 12.2)


def test_first_contact_is_remembered(contacts):
    """It ends the grace for members that were never heard from."""
    assert contacts.first_counted_at > 1e9
    contacts.record_counted(['b'], 3.0)
    contacts.record_counted(['b', 'c'], 4.0)
    assert contacts.first_counted_at == 3.0
    assert contacts.list_counted_since(3.5) == ['b', 'c']
    assert not contacts.is_counted_since('b', 4.1)
