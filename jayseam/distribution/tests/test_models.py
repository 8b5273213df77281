"""Tests of the model that compares distribution designs."""

import pytest

from jayseam.distribution import models

TARGET_S = 5.0


@pytest.mark.parametrize('deaths', ['none', 'readers', 'relays'])
def test_hybrid_converges_within_the_target(deaths):
    """Dead readers or relays must not prevent others from getting a version."""
    scenario = models.Scenario(nodes=200, deaths=deaths)
    outcome = models.compare_designs(scenario)['hybrid']
    assert outcome.slowest_s <= TARGET_S


def test_reads_of_the_source_do_not_grow_with_the_fleet():
    """The source's capacity grows more slowly than the fleet."""
    small, large = (
        models.compare_designs(models.Scenario(nodes=nodes))
        for nodes in (60, 240)
    )
    assert large['hybrid'].source_burst == small['hybrid'].source_burst
    assert large['all-watch'].source_burst > small['all-watch'].source_burst
