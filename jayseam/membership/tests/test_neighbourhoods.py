"""Tests of the cached neighbourhood of a node."""

import attrs
import hypothesis
from hypothesis import strategies

from jayseam.membership import neighbourhoods
from jayseam.membership import records
from jayseam.membership import views
from jayseam.membership.tests import members

_changes = strategies.lists(
    strategies.builds(
        members.create_record,
        strategies.sampled_from([f'vm-{i}' for i in range(12)]),
        sequence=strategies.integers(0, 5),
        state=strategies.sampled_from(records.STATES),
        backend=strategies.sampled_from(records.BACKEND_STATES),
        zone=strategies.sampled_from(['zone-1', 'zone-2', 'zone-3']),
    ),
    max_size=20,
)


@hypothesis.given(_changes, strategies.sets(strategies.integers(0, 11)))
def test_cached_neighbourhood_is_that_of_the_view(changes, removed):
    """A node that kept a former one would send heartbeats to dead members."""
    own = members.create_record('own', zone='zone-1')
    view = views.create_view([own], 0.0)
    cache = neighbourhoods.NeighbourhoodCache()
    for record in changes:
        view, _ = view.update([record], 0.0)
        found = neighbourhoods.find_neighbourhood(view, own)
        assert cache.find(view, own) == found
    view = view.without([f'vm-{number}' for number in removed])
    found = neighbourhoods.find_neighbourhood(view, own)
    assert cache.find(view, own) == found


def test_neighbourhood_is_kept_while_backend_servers_become_ready():
    """Each record of a fleet that starts changes several times."""
    own = members.create_record('own')
    record = members.create_record('vm-1', backend='cold')
    view = views.create_view([own, record], 0.0)
    cache = neighbourhoods.NeighbourhoodCache()
    found = cache.find(view, own)
    ready = attrs.evolve(record, sequence=2, backend='ready')
    assert cache.find(view.update([ready], 1.0)[0], own) is found
