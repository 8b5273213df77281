"""Tests of version numbers and their form in messages."""

import hypothesis
import pytest
from hypothesis import strategies

from jayseam.core import versionnumbers

COUNTERS = strategies.tuples(
    strategies.integers(0, 2**versionnumbers.NUMBER_BITS - 1),
    strategies.integers(0, 2**versionnumbers.PHASE_BITS - 1),
    strategies.integers(0, 2**versionnumbers.REVISION_BITS - 1),
)


def build_old_form(number, phase, revision):
    """Returns a version as earlier releases send it."""
    return number << 38 | phase << 28 | revision


@hypothesis.given(COUNTERS, COUNTERS)
def test_versions_have_the_order_of_their_counters(one, other):
    """No counter may be cut, or an older version would pass for a newer one."""
    versions = versionnumbers.combine(*one), versionnumbers.combine(*other)
    assert (versions[0] < versions[1]) == (one < other)


@hypothesis.given(COUNTERS)
def test_version_survives_a_message(counters):
    """A node must read the version that another one sent."""
    version = versionnumbers.combine(*counters)
    assert versionnumbers.expand(versionnumbers.shorten(version)) == version


@hypothesis.given(
    strategies.integers(0, 2**25 - 1),
    strategies.integers(0, 2**10 - 1),
    strategies.integers(0, 2**28 - 1),
)
def test_small_versions_have_the_form_of_earlier_releases(
    number, phase, revision
):
    """In a rolling stop, old and new nodes must mean the same version."""
    old_form = build_old_form(number, phase, revision)
    version = versionnumbers.combine(number, phase, revision)
    assert versionnumbers.shorten(version) == old_form
    assert versionnumbers.expand(old_form) == version


@pytest.mark.parametrize(
    'counters', [(2**25, 0, 1), (0, 2**10, 1), (3, 2, 2**28)]
)
def test_large_versions_are_no_old_versions(counters):
    """An earlier release must not read a large version as a small one."""
    form = versionnumbers.shorten(versionnumbers.combine(*counters))
    assert form >= 2**63


@pytest.mark.parametrize(
    'form', [-1, 2**63 + versionnumbers.LIMIT, True, 1.0, '7', None, b'']
)
def test_malformed_versions_are_refused(form):
    """A peer must not bring anything but a version number into the state."""
    with pytest.raises((TypeError, ValueError)):
        versionnumbers.expand(form)
