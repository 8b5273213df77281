"""Tests of position shares with and without zone weights."""

import fractions
import math
import types

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.limits import share_leases
from jayseam.presets import documents
from jayseam.presets import samples
from jayseam.presets import verification

_ZONES = ('a', 'b', 'c', 'd', 'e', 'f')
# Smallest fraction of an equal share that a position can have: a raised part
# decreases again when all parts are scaled to a sum of 1.
_MIN_PART = float(
    share_leases.MIN_PART_OF_EQUAL / (1 + share_leases.MIN_PART_OF_EQUAL)
)
_AMOUNTS = st.floats(1e-9, 1e7) | st.integers(1, 10_000_000)
_MAX_VERSION_DELAY_S = share_leases.INCREASE_DELAY_S / 2 - 0.01
_WEIGHTS = st.dictionaries(
    st.sampled_from((*_ZONES, 'empty')),
    st.just(0) | st.floats(0.0, 1e6) | st.integers(0, 1_000_000),
)


def _build_preset(counts, rate, burst, weights):
    positions = [
        (f'{zone}{i}', types.SimpleNamespace(zone=zone))
        for zone, count in counts.items()
        for i in range(count)
    ]
    workspace = types.SimpleNamespace(
        rate_per_s=rate,
        burst=burst,
        zone_weights=tuple(sorted(weights.items())),
    )
    return types.SimpleNamespace(
        upstreams=dict(positions), workspaces={'w': workspace}
    )


def _compute_all(preset):
    return {
        name: share_leases.compute_shares(preset, name)['w']
        for name in preset.upstreams
    }


@hypothesis.settings(deadline=None)
@hypothesis.given(
    st.dictionaries(
        st.sampled_from(_ZONES), st.integers(1, 40), min_size=1, max_size=6
    ),
    _AMOUNTS,
    _AMOUNTS,
    _WEIGHTS,
)
def test_shares_never_exceed_rate_and_burst(counts, rate, burst, weights):
    """Rounding or a zone without positions must not create tokens.

    The exact sums must also be close to rate and burst, so none is lost.
    """
    preset = _build_preset(counts, rate, burst, weights)
    shares = _compute_all(preset).values()
    for limit, parts in (
        (rate, [s.rate_per_s for s in shares]),
        (burst, [s.burst for s in shares]),
    ):
        total = sum(map(fractions.Fraction, parts))
        assert total <= fractions.Fraction(limit)
        assert total >= fractions.Fraction(limit) * (1 - 1e-12)
        assert min(parts) >= _MIN_PART * limit / len(parts) * (1 - 1e-12)


def test_weights_divide_a_zone_equally_over_its_positions():
    """A zone with most of the calls needs most of the tokens when cut off."""
    preset = _build_preset(
        {'a': 2, 'b': 4, 'c': 1}, 70.0, 7.0, {'a': 4, 'b': 2, 'c': 1}
    )
    shares = _compute_all(preset)
    assert shares['a0'] == shares['a1']
    rates = [shares[name].rate_per_s for name in ('a0', 'b0', 'c0')]
    assert rates == pytest.approx([20.0, 5.0, 10.0])
    assert shares['a0'].burst == pytest.approx(2.0)


@pytest.mark.parametrize(
    'weights, expected',
    [
        ({}, 10.0),
        ({'a': 3, 'b': 1, 'empty': 8}, 15.0),
        ({'empty': 1}, 10.0),
    ],
)
def test_weights_of_a_zone_without_positions_fall_to_the_others(
    weights, expected
):
    """Shares of a zone without a process to lend them would be unusable."""
    preset = _build_preset({'a': 2, 'b': 2}, 40.0, 40.0, weights)
    shares = _compute_all(preset)
    assert shares['a0'].rate_per_s == pytest.approx(expected)
    assert math.fsum(s.rate_per_s for s in shares.values()) == 40.0


def test_zone_of_weight_zero_keeps_tokens():
    """Extreme weights must leave some tokens to a zone that is cut off."""
    preset = _build_preset({'a': 2, 'b': 2}, 40.0, 40.0, {'a': 1, 'b': 0})
    share = _compute_all(preset)['b0'].rate_per_s
    assert (
        10.0 * _MIN_PART
        <= share
        <= 10.0 * float(share_leases.MIN_PART_OF_EQUAL)
    )


def test_weights_of_a_verified_preset_reach_the_shares():
    """If a step dropped the field, shares would silently remain equal."""
    document = documents.dump_preset(samples.build_agence().preset)
    bureau = next(w for w in document['workspaces'] if w['name'] == 'bureau')
    bureau['zone_weights'] = {'liege': 3, 'namur': 2, 'charleroi': 1}
    # A zone out of service keeps its part, since positions of all zones count.
    for zone in document['zones']:
        zone['in_service'] = zone['name'] != 'liege'
    bundle = documents.split_preset(document)
    joined = documents.join_parts(bundle.manifest, bundle.parts)
    preset = verification.verify_preset(joined)
    rates = {
        name: share_leases.compute_shares(preset, name)
        for name in ('pickups-liege', 'pickups-namur', 'pickups-charleroi')
    }
    found = [shares['bureau'].rate_per_s for shares in rates.values()]
    assert found == pytest.approx([7.5, 5.0, 2.5])
    assert {s['recyclers'].rate_per_s for s in rates.values()} == {5.0}


def test_change_of_weights_shrinks_at_once_and_grows_late():
    """An increase before another zone's decrease would exceed the rate."""
    lenders = {}
    for zone in 'ab':
        share_lender = lenders[zone] = share_leases.ShareLender(
            f'{zone}0', now=0.0
        )
        preset = _build_preset({'a': 1, 'b': 1}, 40.0, 40.0, {'a': 3, 'b': 1})
        share_lender.set_preset(preset, 1, now=0.0)
        share_lender.get_shares(10.0)
        preset = _build_preset({'a': 1, 'b': 1}, 40.0, 40.0, {'a': 1, 'b': 3})
        share_lender.set_preset(preset, 2, now=10.0)

    def rate(zone, now):
        return lenders[zone].get_shares(now)[0]['w'].rate_per_s

    assert rate('a', 10.0) == rate('b', 14.9) == pytest.approx(10.0)
    assert rate('b', 15.0) == pytest.approx(30.0)


@hypothesis.settings(deadline=None)
@hypothesis.given(st.lists(_WEIGHTS, min_size=2, max_size=5), st.randoms())
def test_changes_of_weights_never_add_up_to_more(versions, rng):
    """Positions that receive versions at different times must not overlend.

    Each receives a version within half of `share_leases.INCREASE_DELAY_S`. Some
    receive it after the next version, and then never apply it.
    """
    counts = {'a': 2, 'b': 1, 'c': 3}
    published, time = [], 0.0
    for weights in versions:
        published.append((time, _build_preset(counts, 7.0, 5.0, weights)))
        time += rng.choice([0.5, 2.0, 4.0, 6.0])
    names = list(published[0][1].upstreams)
    lenders = {
        name: share_leases.ShareLender(name, now=-20.0) for name in names
    }
    deliveries = []
    for name in names:
        for version, (at, preset) in enumerate(published, start=1):
            deliveries.append(
                (
                    at + rng.uniform(0.0, _MAX_VERSION_DELAY_S),
                    name,
                    version,
                    preset,
                )
            )
    deliveries.sort(key=lambda item: item[0])
    for step in range(int(time + 12.0) * 4):
        now = step * 0.25
        while deliveries and deliveries[0][0] <= now:
            at, name, version, preset = deliveries.pop(0)
            lenders[name].set_preset(preset, version, at)
        shares = [
            share_lender.get_shares(now)[0].get('w', share_leases.NO_SHARE)
            for share_lender in lenders.values()
        ]
        assert math.fsum(s.rate_per_s for s in shares) <= 7.0
        assert math.fsum(s.burst for s in shares) <= 5.0
