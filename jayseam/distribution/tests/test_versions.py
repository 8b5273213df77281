"""Tests of the version store and the confirmations."""

import hypothesis
from hypothesis import strategies

from jayseam.distribution import confirmations
from jayseam.distribution import versions

_OFFERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(versions.CHANNELS),
        strategies.integers(0, 8),
        strategies.sampled_from(['aa', 'bb', 'cc']),
        strategies.sampled_from(['accept', 'reject']),
    ),
    max_size=40,
)


@hypothesis.given(_OFFERS)
def test_no_order_of_offers_goes_back(offers):
    """An older version must never replace a newer one, in any order."""
    store = versions.VersionStore()
    rejected = set()
    for now, (channel, version, digest, action) in enumerate(offers):
        before = store.held.get(channel)
        verdict = store.classify(channel, version, digest, now)
        if action == 'accept':
            store = store.accept(channel, version, digest, now)
        else:
            store = store.reject(channel, version, digest, ['bad'], now)
        after = store.held.get(channel)
        if before is not None:
            assert after.version >= before.version
            assert after == before or after.version > before.version
        is_new = verdict is versions.Verdict.NEWER
        assert (after != before) == (is_new and action == 'accept')
        if is_new and action == 'reject':
            rejected.add((channel, version, digest))
        if after is not None:
            assert (channel, after.version, after.digest) not in rejected


@hypothesis.given(_OFFERS)
def test_greatest_offer_is_reached(offers):
    """Nodes that get the same offers must end at the same version."""
    store = versions.VersionStore()
    for now, (channel, version, digest, _) in enumerate(offers):
        store = store.accept(channel, version, digest, now)
    for channel in versions.CHANNELS:
        offered = [v for c, v, _, _ in offers if c == channel]
        assert store.version(channel) == max(offered, default=0)


def test_verdicts():
    """Each verdict leads to a different reaction."""
    store = versions.VersionStore().accept('preset', 5, 'd5', 0.0)
    store = store.reject('preset', 6, 'd6', ['bad'], 0.0)
    verdicts = versions.Verdict
    for version, digest, verdict in [
        (4, 'd4', verdicts.OLDER),
        (5, 'd5', verdicts.SAME),
        (5, 'd', verdicts.SAME),
        (5, 'x5', verdicts.CONFLICT),
        (6, 'd6', verdicts.REJECTED),
        (6, '', verdicts.REJECTED),
        (6, 'x6', verdicts.NEWER),
        (7, 'd6', verdicts.NEWER),
    ]:
        assert store.classify('preset', version, digest, 1.0) is verdict
    assert store.classify('keys', 1, 'd1', 1.0) is verdicts.NEWER
    assert store.classify('keys', 0, 'd1', 1.0) is verdicts.OLDER


def test_rejections_are_bounded():
    """A source that publishes invalid versions must not fill the memory."""
    store = versions.VersionStore()
    for version in range(1, 500):
        store = store.reject('preset', version, 'd', ['bad'], 0.0)
    assert len(store.rejections['preset']) == versions.MAX_REJECTED
    store = store.accept('preset', 500, 'd', 0.0)
    assert not store.rejections['preset']


def test_relayed_confirmation_does_not_renew_itself():
    """Two nodes cut off from the source must see the age grow."""
    known = confirmations.ChannelConfirmations()
    known = known.add(confirmations.Confirmation(3, 'r/1', 1, 100.0), 3)
    known = known.add(confirmations.Confirmation(3, 'r/1', 1, 150.0), 3)
    assert known.compute_age(160.0) == 60.0
    known = known.add(confirmations.Confirmation(3, 'r/1', 2, 155.0), 3)
    assert known.compute_age(160.0) == 5.0


def test_confirmation_of_another_version_waits_or_is_void():
    """A confirmation of an older version is ignored, of a newer one kept."""
    known = confirmations.ChannelConfirmations()
    known = known.add(confirmations.Confirmation(2, 'r/1', 1, 100.0), 3)
    assert known.compute_age(160.0) is None
    known = known.add(confirmations.Confirmation(4, 'r/1', 2, 150.0), 3)
    assert known.compute_age(160.0) is None
    assert known.accept(5).compute_age(160.0) is None
    assert known.accept(4).compute_age(160.0) == 10.0


def test_confirmation_covers_the_version_that_replaces_it():
    """A fresh node must learn an age from a peer that has just swapped."""
    known = confirmations.ChannelConfirmations()
    known = known.add(confirmations.Confirmation(3, 'r/1', 1, 100.0), 3)
    known = known.accept(4)
    assert known.latest.version == 4
    assert known.compute_age(160.0) == 60.0
