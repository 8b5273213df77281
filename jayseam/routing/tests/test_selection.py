"""Tests of the selection of an upstream."""

import collections
import random
import types

import hypothesis
import pytest
from hypothesis import strategies as st

from jayseam.routing import errors
from jayseam.routing import loads as load_tables
from jayseam.routing import selection


def _report(loads, vm, load):
    """Stores a report, at time 0, of a load that delays all workspaces."""
    loads.record_report(vm, '', load_tables.ReportedLoad(load, load, load), 0.0)


def make_preset(upstreams, out_of_service=(), cold_rate_per_s=0.0):
    """Returns a stand-in of a preset; names are ``<zone><number>``."""
    zone_names = {name[0] for name in upstreams}
    return types.SimpleNamespace(
        upstreams={
            name: types.SimpleNamespace(
                service='s',
                zone=name[0],
                slots=10,
                ramp=types.SimpleNamespace(rate_per_s=cold_rate_per_s),
            )
            for name in upstreams
        },
        zones={
            zone: types.SimpleNamespace(
                name=zone, in_service=zone not in out_of_service
            )
            for zone in zone_names
        },
    )


def make_member(name, **fields):
    """Returns a stand-in of a member record at the upstream ``name``."""
    values = {
        'vm': f'vm-{name}',
        'upstream': name,
        'service': 's',
        'zone': name[0],
        'incarnation': 1,
        'state': 'alive',
        'backend': 'ready',
    }
    return types.SimpleNamespace(**(values | fields))


def make_pool(names, return_times=None, **fields):
    """Returns a pool of members that all have the same fields."""
    members = [make_member(name, **fields) for name in names]
    preset = make_preset(names)
    return selection.build_pool(preset, members, 's', return_times or {})


def count_choices(pool, loads, zone='a', now=0.0, calls=4000, **options):
    """Returns how often each zone was chosen."""
    rng = random.Random(7)
    counts = collections.Counter()
    for turn in range(calls):
        draws = [rng.random() for _ in range(selection.DRAWS_PER_CHOICE)]
        chosen = selection.choose(
            pool, loads, zone, now, draws, turn, **options
        )
        counts[chosen.zone] += 1
    return counts


EIGHT = ['a1', 'a2', 'b1', 'b2', 'b3', 'c1', 'd1', 'd2']


@hypothesis.given(
    names=st.sets(st.sampled_from(EIGHT), min_size=1),
    busy=st.dictionaries(st.sampled_from(EIGHT), st.floats(0.0, 3.0)),
    draws=st.lists(
        st.floats(0.0, 1.0, exclude_max=True), min_size=5, max_size=5
    ),
    returned=st.dictionaries(st.sampled_from('abcd'), st.floats(0.0, 10.0)),
    strategy=st.sampled_from(selection.VARIANTS.list_names()),
)
def test_choice_is_always_a_candidate(names, busy, draws, returned, strategy):
    """No combination of loads, shares and draws may fail or leave the pool."""
    pool = make_pool(sorted(names), returned)
    loads = load_tables.LoadTable()
    for name, load in busy.items():
        _report(loads, f'vm-{name}', load)
    chosen = selection.choose(
        pool, loads, 'a', 5.0, draws, turn=3, strategy=strategy
    )
    assert chosen.upstream in names
    rest = pool.exclude([chosen.vm])
    assert len(rest.candidates) == len(names) - 1
    if strategy == 'two_choices' and len(names) > 1:
        pair = selection._draw_pair(
            pool.groups, [1.0] * len(pool.groups), draws
        )
        assert pair[0] is not pair[1]


def test_empty_pool_is_an_error():
    """Without a candidate the call is refused as not run."""
    for strategy in selection.VARIANTS.list_names():
        with pytest.raises(errors.NoCandidateError):
            selection.choose(
                selection.group_candidates([], {}),
                load_tables.LoadTable(),
                'a',
                0.0,
                [0.5] * 5,
                strategy=strategy,
            )


def test_own_zone_is_preferred_until_it_is_loaded():
    """Calls that cross zones without need cost latency and traffic."""
    pool = make_pool(EIGHT)
    loads = load_tables.LoadTable()
    assert set(count_choices(pool, loads)) == {'a'}
    for name in ('a1', 'a2'):
        _report(loads, f'vm-{name}', 0.85)
    assert count_choices(pool, loads)['a'] < 400
    _report(loads, 'vm-a1', 0.7)
    assert set(count_choices(pool, loads)) == {'a'}


def test_returned_zone_gets_its_growing_share():
    """A zone that returns cold must not get its full load at once."""
    pool = make_pool(EIGHT, {'a': 0.0})
    loads = load_tables.LoadTable()
    for now, share in ((0.0, 0.1), (5.0, 0.55), (10.0, 1.0)):
        counts = count_choices(pool, loads, 'a', now)
        assert counts['a'] / 4000 == pytest.approx(share, abs=0.03)
    even = make_pool(['a1', 'b1', 'c1'], {'a': 0.0})
    for name in ('a1', 'b1', 'c1'):
        _report(loads, f'vm-{name}', 0.9)
    counts = count_choices(even, loads, 'b', now=0.0)
    assert counts['a'] < 0.3 * counts['c']


def test_less_loaded_of_two_is_chosen():
    """Ignoring load would send calls to a full upstream."""
    pool = make_pool(['a1', 'a2'])
    loads = load_tables.LoadTable()
    _report(loads, 'vm-a1', 0.3)
    for draw in (0.1, 0.9):
        chosen = selection.choose(pool, loads, 'a', 0.0, [draw] * 5)
        assert chosen.upstream == 'a2'


@pytest.mark.parametrize(
    'fields,expected',
    [
        ({'state': 'dead'}, 'dead'),
        ({'state': 'leaving'}, 'leaving'),
        ({'backend': 'draining'}, 'draining'),
        ({'backend': 'down'}, 'down'),
        ({'state': 'suspect'}, 'suspect'),
        ({'zone': 'c'}, 'out of service'),
        ({'upstream': 'a9'}, 'not in the preset'),
    ],
)
def test_unusable_member_is_not_chosen_and_explained(fields, expected):
    """Operators must see why a member gets no calls."""
    preset = make_preset(['a1', 'a2', 'b1', 'c1'], out_of_service='c')
    members = [make_member('a1', **fields), make_member('a2')]
    pool = selection.build_pool(preset, members, 's', {})
    assert [c.upstream for c in pool.candidates] == ['a2']
    explained = selection.explain(
        preset, members, 's', {}, load_tables.LoadTable(), 0.0
    )
    assert [e.usable for e in explained] == [False, True]
    assert expected in explained[0].reason


def test_suspect_is_chosen_without_another():
    """When a partition makes every member suspect, calls must still run."""
    pool = make_pool(['a1', 'b1'], state='suspect')
    assert len(pool.candidates) == 2


def test_cold_members_get_less():
    """A server in its ramp handles fewer calls than the others."""
    preset = make_preset(['a1', 'a2', 'b1'])
    members = [make_member('a1', backend='cold')]
    members += [make_member(name) for name in ('a2', 'b1')]
    pool = selection.build_pool(preset, members, 's', {})
    shares = {c.upstream: c.share for c in pool.candidates}
    assert shares == {'a1': 0.3, 'a2': 1.0, 'b1': 1.0}
    # A cold member alone in its zone must not get all calls of the zone.
    pool = selection.build_pool(preset, [members[0], members[2]], 's', {})
    counts = count_choices(pool, load_tables.LoadTable())
    assert counts['a'] / 4000 == pytest.approx(0.3, abs=0.03)


def test_replaced_member_yields_to_its_successor():
    """The old VM of an upstream may be cut off and still look alive."""
    preset = make_preset(['a1'])
    old, new = make_member('a1'), make_member('a1', vm='new', incarnation=2)
    for backend, chosen in (('ready', 'new'), ('down', 'vm-a1')):
        new.backend = backend
        pool = selection.build_pool(preset, [old, new], 's', {})
        assert [c.vm for c in pool.candidates] == [chosen]


def test_load_counts_own_calls_once():
    """Double counting would make the own zone look full at half its load."""
    loads = load_tables.LoadTable()
    for _ in range(4):
        loads.record_call_start('vm')
    _report(loads, 'vm', 0.6)
    loads.record_call_end('vm')
    assert loads.estimate('vm', 10, 0.5) == pytest.approx(0.5)
    loads.record_call_start('vm')
    loads.record_call_start('vm')
    assert loads.estimate('vm', 10, 0.5) == pytest.approx(0.7)
    assert loads.estimate('vm', 10, 5.0) == pytest.approx(0.6)
    loads.remove_vm('vm')
    loads.record_call_end('vm')
    assert loads.estimate('vm', 10, 5.0) == 0.0


def test_paced_cold_member_keeps_the_calls_of_its_zone():
    """The load of a paced server shows how many calls it can take."""
    names = ['a1', 'b1']
    preset = make_preset(names, cold_rate_per_s=15.0)
    members = [make_member('a1', backend='cold'), make_member('b1')]
    pool = selection.build_pool(preset, members, 's', {})
    counts = count_choices(pool, load_tables.LoadTable())
    assert counts['a'] == sum(counts.values())


def test_zone_is_left_at_the_spill_load():
    """A higher spill load saves traffic between zones; calls wait longer."""
    pool = make_pool(['a1', 'b1'])
    loads = load_tables.LoadTable()
    _report(loads, 'vm-a1', 1.1)
    assert count_choices(pool, loads)['b'] > 0
    assert count_choices(pool, loads, spill_load=1.25)['b'] == 0


def test_overload_everywhere_sends_nothing_to_other_zones():
    """Where calls wait as long elsewhere, spilling only costs traffic."""
    pool = make_pool(['a1', 'b1'])
    loads = load_tables.LoadTable()
    _report(loads, 'vm-a1', 2.0)
    _report(loads, 'vm-b1', 1.9)
    assert count_choices(pool, loads)['b'] > 0
    assert count_choices(pool, loads, spill_gain=0.25)['b'] == 0
    _report(loads, 'vm-b1', 1.5)
    assert count_choices(pool, loads, spill_gain=0.25)['b'] > 0
