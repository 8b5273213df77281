"""Tests of route lookup and of the shares of zones."""

import types

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.routing import errors
from jayseam.routing import matching
from jayseam.routing import zones


def make_route(name, prefix, *methods):
    """Returns a stand-in of a route of a preset."""
    return types.SimpleNamespace(name=name, prefix=prefix, methods=methods)


TABLE = matching.build_table(
    [
        make_route('open', '/', 'GET'),
        make_route('list', '/refunds', 'GET'),
        make_route('create', '/refunds', 'POST'),
        make_route('audit', '/refunds/audit/', 'GET'),
        make_route('any', '/any'),
    ]
)


@pytest.mark.parametrize(
    'path,method,name',
    [
        ('/', 'GET', 'open'),
        ('/x/y', 'GET', 'open'),
        ('/refunds', 'GET', 'list'),
        ('/refunds?x=/any', 'POST', 'create'),
        ('/refunds/', 'POST', 'create'),
        ('/refunds/1/2', 'POST', 'create'),
        ('/refunds/audit', 'GET', 'list'),
        ('/refunds/audit/1', 'GET', 'audit'),
        ('/refunds-old', 'GET', 'open'),
        ('/%72efunds', 'GET', 'list'),
        ('/any/..a', 'PUT', 'any'),
        ('/.well-known/x', 'GET', 'open'),
    ],
)
def test_longest_prefix_and_method_decide(path, method, name):
    """On the wrong route a call skips its key or reaches another service."""
    assert TABLE.match(path, method).name == name


def test_missing_method_does_not_fall_through():
    """A shorter prefix may be open to all and lead to another service."""
    with pytest.raises(errors.MethodNotAllowedError) as caught:
        TABLE.match('/refunds/audit/1', 'POST')
    assert caught.value.allowed == ('GET',)
    with pytest.raises(errors.NoRouteError):
        matching.build_table({'r': make_route('r', '/r', 'GET')}).match(
            '/x', 'GET'
        )


@pytest.mark.parametrize(
    'path',
    [
        '/open/../refunds',
        '/open/%2e%2E/refunds',
        '/open%2frefunds',
        '/open%5crefunds',
        '/open\\..\\refunds',
        '/open/..;x/refunds',
        '//refunds',
        '/%2572efunds',
        '/refunds%00',
        '/./refunds',
        '/a#/refunds',
        'http://other/refunds',
        '*',
        '',
    ],
)
def test_ambiguous_path_is_refused(path):
    """A path that the server normalizes differently bypasses the key."""
    with pytest.raises(errors.BadPathError):
        TABLE.match(path, 'GET')


@hypothesis.given(
    st.lists(st.integers(0, 9), min_size=1, max_size=6),
    st.floats(0.0, 1.0, exclude_max=True),
)
def test_service_is_chosen_by_weight(weights, draw):
    """A service with weight 0 is being taken out and gets no calls."""
    targets = [(str(index), weight) for index, weight in enumerate(weights)]
    if not any(weights):
        with pytest.raises(errors.NoCandidateError):
            matching.choose_service(targets, draw)
        return
    chosen = int(matching.choose_service(targets, draw))
    assert weights[chosen] > 0
    point = draw * sum(weights)
    assert sum(weights[:chosen]) <= point <= sum(weights[: chosen + 1])


@hypothesis.given(
    st.lists(
        st.tuples(st.sets(st.sampled_from('abc')), st.floats(0.0, 12.0)),
        max_size=8,
    )
)
def test_only_returned_zones_grow(changes):
    """A zone without a return must keep its whole share."""
    return_times, before, now, returned_at = {}, None, 0.0, {}
    for after, wait_s in changes:
        now += wait_s
        return_times = zones.update_return_times(
            return_times, before, after, now
        )
        if before is not None:
            returned_at.update({zone: now for zone in after - before})
        for zone in after:
            elapsed_s = now - returned_at.get(zone, -100.0)
            share = min(1.0, 0.1 + 0.09 * elapsed_s)
            got = zones.compute_share(return_times, zone, now)
            assert got == pytest.approx(share)
        before = after
