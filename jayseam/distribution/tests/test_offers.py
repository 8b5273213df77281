"""Tests of the choice among offers."""

import pytest

from jayseam.distribution import offers
from jayseam.presets import documents


@pytest.fixture(name='book')
def create_book():
    """Returns an empty book whose random waits are half of each cap."""
    return offers.OfferBook(lambda: 0.5)


def test_greatest_version_is_fetched_first(book):
    """Fetching an older version first would delay the newest one."""
    book.add(offers.Offer('a', 3, ''))
    book.add(offers.Offer('b', 5, ''))
    assert book.choose(0.0).holder == 'b'


def test_peers_come_before_the_source(book):
    """The source's reads are limited for the whole fleet."""
    book.add(offers.Offer(offers.SOURCE, 5, 'd'))
    book.add(offers.Offer('a', 5, ''))
    assert book.choose(0.0).holder == 'a'
    book.add(offers.Offer(offers.SOURCE, 6, 'e'))
    assert book.choose(0.0).holder == offers.SOURCE


def test_own_copy_of_the_source_comes_before_peers():
    """A silent peer would take the timeout of a request for what is here."""
    book = offers.OfferBook(lambda: 0.5, is_source_local=True)
    book.add(offers.Offer(offers.SOURCE, 5, 'd'))
    book.add(offers.Offer('a', 5, ''))
    assert book.choose(0.0).holder == offers.SOURCE
    book.add(offers.Offer('b', 6, ''))
    assert book.choose(0.0).holder == 'b'


def test_own_copy_comes_before_news_of_peers_after_one_has_failed():
    """With silent links, greater versions of peers delayed the own copy's."""
    book = offers.OfferBook(lambda: 0.5, is_source_local=True)
    book.add(offers.Offer(offers.SOURCE, 5, 'd'))
    for holder, version in (('a', 6), ('b', 7)):
        book.add(offers.Offer(holder, version, ''))
    book.fail(book.choose(0.0), 1.0)
    chosen = book.choose(1.0)
    assert chosen.holder == offers.SOURCE
    book.succeed(chosen)
    assert book.choose(1.0).holder == 'a'


def test_own_copy_of_the_source_is_tried_again_soon():
    """A version that is replaced while it is read must not cost seconds."""
    book = offers.OfferBook(lambda: 0.999, is_source_local=True)
    offer = offers.Offer(offers.SOURCE, 5, 'd')
    book.add(offer)
    for _ in range(6):
        book.fail(offer, 10.0)
    assert book.compute_wait(10.0) <= 0.2


def test_failed_source_is_tried_again_after_a_wait(book):
    """The source does not repeat its offer, and must not be read in a loop."""
    offer = offers.Offer(offers.SOURCE, 5, 'd')
    book.add(offer)
    assert book.compute_wait(10.0) == 0.0
    book.fail(offer, 10.0)
    assert book.choose(10.4) is None
    assert book.compute_wait(10.25) == pytest.approx(0.25)
    assert book.choose(10.5) is offer
    book.fail(offer, 10.5)
    assert book.compute_wait(10.5) == pytest.approx(1.0)
    book.succeed(offer)
    assert not book and book.compute_wait(10.5) is None
    book.add(offer)
    assert book.choose(10.6) is offer


@pytest.mark.parametrize('fails_late', [False, True])
def test_newer_version_of_the_source_needs_no_wait(book, fails_late):
    """In a storm, the source replaces versions while they are being fetched.

    Waits after such failures would grow while the newest version is there.
    """
    for version in range(5, 9):
        offer = offers.Offer(offers.SOURCE, version, f'd{version}')
        newer = offers.Offer(offers.SOURCE, version + 1, f'd{version + 1}')
        book.add(offer)
        if fails_late:
            book.add(newer)
        book.fail(offer, 10.0)
        book.add(newer)
        assert book.choose(10.0) is newer


def test_content_that_came_with_an_offer_needs_no_wait(book):
    """A VM list that came with its offer must not wait for the source."""
    book.fail(offers.Offer(offers.SOURCE, 4, 'c'), 10.0)
    bundle = documents.Bundle(b'', {})
    book.add(offers.Offer(offers.SOURCE, 5, 'd', bundle))
    assert book.choose(10.0).bundle is bundle


def test_failed_content_is_not_tried_in_a_loop(book):
    """A list that fails each time must not take the whole processor."""
    offer = offers.Offer(offers.SOURCE, 5, 'd', documents.Bundle(b'', {}))
    book.add(offer)
    book.fail(book.choose(10.0), 10.0)
    assert book.choose(10.4) is None
    assert book.compute_wait(10.25) == pytest.approx(0.25)
    again = book.choose(10.5)
    assert again.version == 5
    book.succeed(again)
    assert not book


def test_failed_peer_is_dropped_unless_it_has_news(book):
    """A peer that has failed must not be asked again and again."""
    old, new = offers.Offer('a', 3, ''), offers.Offer('a', 4, '')
    book.add(old)
    book.fail(old, 0.0)
    assert not book
    book.add(old)
    book.add(new)
    book.fail(old, 0.0)
    book.succeed(old)
    assert book.choose(0.0) is new
    assert not book.add(old)
    assert book.choose(0.0) is new


def test_settled_offers_are_dropped(book):
    """A version in force must not be fetched again from other holders."""
    book.add(offers.Offer('a', 3, ''))
    book.add(offers.Offer('b', 5, ''))
    book.keep(lambda offer: offer.version > 3)
    assert len(book) == 1 and book.choose(0.0).holder == 'b'


def test_offers_of_other_zones_wait_for_the_own_zone(book):
    """Bandwidth between zones is expensive, so the own zone comes first."""
    book.add(offers.Offer('far', 5, '', ready_at=10.4))
    assert book.choose(10.0) is None
    assert book.compute_wait(10.1) == pytest.approx(0.3)
    book.add(offers.Offer('far', 5, '', ready_at=11.4))
    assert book.compute_wait(10.1) == pytest.approx(0.3)
    assert book.choose(10.4).holder == 'far'
    book.add(offers.Offer('near', 5, ''))
    assert book.choose(10.5).holder == 'near'
