"""Tests that a dry run decides as a real call does, and records nothing."""

import math
import random
import types

import attrs
import prometheus_client
import pytest

from jayseam import routing
from jayseam.backends import dialects
from jayseam.calls import choosers
from jayseam.calls import errors
from jayseam.calls import forwarding
from jayseam.calls import keys
from jayseam.calls import pending
from jayseam.calls import previews
from jayseam.calls import urgency
from jayseam.presets import model

_NOW = 10.0
_MEMBERS = {
    'vm-1': ('a', 'alive', 'ready'),
    'vm-2': ('a', 'alive', 'ready'),
    'vm-3': ('b', 'alive', 'ready'),
    'vm-4': ('b', 'alive', 'cold'),
    'vm-5': ('b', 'alive', 'down'),
}


class _View:
    """Members of two zones, one of them without a running server."""

    def __init__(self):
        self.members = {
            vm: types.SimpleNamespace(
                vm=vm,
                upstream=f'u-{vm}',
                service='s',
                zone=zone,
                state=state,
                backend=backend,
                incarnation=1,
            )
            for vm, (zone, state, backend) in _MEMBERS.items()
        }

    def list_upstream_members(self, name):
        """Returns the members at a position."""
        return [self.members[name.removeprefix('u-')]]


_VIEW = _View()
_PRESET = model.Preset(
    'p',
    {'s': model.Service('s')},
    {
        f'u-{vm}': model.Upstream(
            f'u-{vm}', 's', zone, 4, 10, model.Ramp(4, 0.0)
        )
        for vm, (zone, _, _) in _MEMBERS.items()
    },
    {zone: model.Zone(zone, 'r') for zone in 'ab'},
    {},
    {},
)
_ROUTE = model.Route('r', '/', ('GET',), (('s', 1),), True, True, 1000)


_PROFILE = previews.build_profile(_PRESET, _ROUTE, _NOW)
_STRATEGIES = routing.selection.VARIANTS.list_names()


def _report(load, service_s=0.1):
    return routing.loads.ReportedLoad(load, load, load, service_s, service_s, 4)


def _build_chooser(seed, strategy='two_choices', **options):
    """Returns a chooser in a random state, the same for each seed."""
    generator = random.Random(seed)
    chooser = choosers.Chooser('a', strategy, generator.random, **options)
    chooser.set_preset(_PRESET, 0.0)
    for vm in _MEMBERS:
        if generator.random() < 0.7:
            report = _report(2 * generator.random(), generator.random())
            at = _NOW - generator.random()
            kind = generator.choice(['r', 'other'])
            chooser.record_load(vm, '', report, at, kind)
            if generator.random() < 0.3:
                chooser.record_reset(vm, at)
        if generator.random() < 0.2:
            chooser.record_failure(vm, _NOW - 0.5)
        if generator.random() < 0.2:
            needs = attrs.evolve(
                _PROFILE.needs, rank=generator.randrange(3), time_left_s=1.0
            )
            chooser.record_full(vm, needs, 1.0, _NOW - 0.05)
        for _ in range(generator.randrange(4)):
            chooser.start_attempt(vm)
    for _ in range(generator.randrange(5)):
        # Capacities of earlier calls are reused, those of old ones aren't.
        at = _NOW - generator.random()
        chooser.choose(_PRESET, 's', _VIEW, (), at, profile=_PROFILE)
    return chooser


@pytest.mark.parametrize('strategy', _STRATEGIES)
def test_dry_run_chooses_what_a_call_would(strategy):
    """An explanation by other rules than the call's would mislead on-call."""
    for seed in range(200):
        generator = random.Random(seed)
        draws = [
            [
                generator.random()
                for _ in range(routing.selection.DRAWS_PER_CHOICE)
            ]
            for _ in range(3)
        ]
        dry = _build_chooser(seed, strategy)
        decisions = dry.preview(
            _PRESET, 's', _VIEW, _NOW, draws, profile=_PROFILE
        )
        times = dry.estimate_times(_PRESET, 's', _VIEW, _NOW, profile=_PROFILE)
        real = _build_chooser(seed, strategy)
        numbers = iter([number for draw in draws for number in draw])
        real._draw = lambda numbers=numbers: next(numbers)
        choices = [
            real.choose(_PRESET, 's', _VIEW, (), _NOW, profile=_PROFILE)
            for _ in draws
        ]
        assert [
            (d.candidate.vm, d.reason, d.expected_s) for d in decisions
        ] == [(c.vm, c.reason, c.expected_s) for c in choices]
        if strategy == 'expected_time':
            # The time that operators see is the one that decides.
            assert [times[c.vm] for c in choices] == [
                c.expected_s for c in choices
            ]


def test_expected_time_is_previewed_with_each_of_its_rules():
    """A comparison without full VMs or other zones would prove too little."""
    reasons, n_without_room = set(), 0
    for seed in range(200):
        chooser = _build_chooser(seed, 'expected_time')
        generator = random.Random(seed)
        draws = [[generator.random() for _ in range(5)] for _ in range(3)]
        arguments = (_PRESET, 's', _VIEW, _NOW, draws)
        found = chooser.preview(*arguments, profile=_PROFILE)
        reasons.update(decision.reason for decision in found)
        n_without_room += found != chooser.preview(*arguments)
    assert reasons >= {'own-zone', 'no-own-zone', 'objective', 'saving'}
    assert n_without_room > 10


@pytest.mark.parametrize('call_tokens', [True, False])
@pytest.mark.parametrize('objective_ms', [0, 300, 2000])
@pytest.mark.parametrize('workspace', ['', 'w', 'ranked'])
def test_profile_is_that_of_a_call(call_tokens, objective_ms, workspace):
    """With other needs the dry run would pass over other VMs than a call."""
    preset = attrs.evolve(
        _PRESET,
        workspaces={
            'w': model.Workspace('w', 1, 1),
            'ranked': model.Workspace('ranked', 1, 1, rank=5),
        },
    )
    route = attrs.evolve(_ROUTE, rank=3, objective_ms=objective_ms)
    dialect = dialects.Dialect(call_tokens=call_tokens)
    caller = keys.Caller(workspace, '')
    objective = math.inf
    if not urgency.is_nested(preset, caller, dialect):
        objective = urgency.compute_objective(route, 1000, _NOW)
    call = pending.Call(
        None,
        'id',
        types.SimpleNamespace(preset=preset),
        route,
        caller,
        _NOW + 1.0,
        0,
        objective,
    )
    profile = previews.build_profile(preset, route, _NOW, workspace, dialect)
    assert profile == choosers.CallProfile(
        'r', forwarding.build_needs(call, dialect, _NOW)
    )


def _read_placement_metrics():
    """Returns the values of the metrics of choices in this process."""
    return {
        (sample.name, *sample.labels.items()): sample.value
        for metric in prometheus_client.REGISTRY.collect()
        if metric.name.startswith('jayseam_placement')
        for sample in metric.samples
    }


@pytest.mark.parametrize('later_s', [0.0, 0.4])
@pytest.mark.parametrize('strategy', _STRATEGIES)
def test_dry_run_records_nothing(strategy, later_s):
    """A question of an operator must not change where calls go."""
    for seed in range(20):
        asked = _build_chooser(seed, strategy)
        other = _build_chooser(seed, strategy)
        before = _read_placement_metrics()
        for zone in ('', 'b'):
            previews.preview(asked, _PRESET, _VIEW, _ROUTE, _NOW, zone)
        assert _read_placement_metrics() == before
        assert asked.loads._members == other.loads._members
        assert asked.collect_reports(_NOW) == other.collect_reports(_NOW)
        later = [
            [
                chooser.choose(
                    _PRESET, 's', _VIEW, (), _NOW + later_s, profile=_PROFILE
                )
                for _ in range(20)
            ]
            for chooser in (asked, other)
        ]
        assert later[0] == later[1]


def _preview(chooser, **options):
    """Returns the decision and the candidates by VM."""
    found = previews.preview(chooser, _PRESET, _VIEW, _ROUTE, _NOW, **options)
    return found.decision, {c.vm: c for c in found.candidates}


def test_each_candidate_has_its_state_and_reason():
    """On-call asks why a VM gets no calls."""
    chooser = choosers.Chooser(
        'a', 'two_choices', list_unresponsive=lambda now: {'vm-3'}
    )
    chooser.record_failure('vm-1', _NOW)
    needs = routing.refusals.CallNeeds('', 1, 0.5)
    chooser.record_full('vm-2', needs, 1.0, _NOW)
    decision, reports = _preview(chooser)
    assert (decision.vm, decision.is_random) == ('vm-2', False)
    assert decision.first_choices == ('vm-2',) * 5
    reasons = {vm: report.reason for vm, report in reports.items()}
    assert 'avoided for 2.00 s' in reasons['vm-1']
    assert 'refused a call for want of room' in reasons['vm-2']
    assert 'unanswered ping' in reasons['vm-3']
    assert 'cold' in reasons['vm-4'] and 'preferred' in reasons['vm-4']
    assert reasons['vm-5'] == 'backend server is down'
    assert [r.usable for r in reports.values()] == [
        False,
        True,
        False,
        True,
        False,
    ]
    assert reports['vm-4'].state == 'alive, cold'


def test_avoided_candidate_is_usable_if_there_is_no_other():
    """Such a VM gets calls, which the table must not deny."""
    chooser = choosers.Chooser(
        'a', 'two_choices', list_unresponsive=lambda now: {'vm-3', 'vm-4'}
    )
    for vm in _MEMBERS:
        chooser.record_failure(vm, _NOW)
    decision, reports = _preview(chooser)
    assert decision.is_random and reports['vm-1'].usable
    assert 'no other' in reports['vm-1'].reason
    assert not reports['vm-3'].usable


def test_random_choice_is_shown_with_its_probabilities():
    """One draw of a random choice would look like a rule."""
    decision, reports = _preview(choosers.Chooser('a', 'two_choices'))
    assert decision.is_random
    assert {vm for vm, r in reports.items() if r.probability} == {
        'vm-1',
        'vm-2',
    }
    assert reports['vm-1'].probability > 0.35
    assert sum(r.probability for r in reports.values()) == pytest.approx(1.0)


def test_zone_of_the_entry_decides():
    """On-call asks one node about calls that enter in another zone."""
    chooser = choosers.Chooser('a', 'two_choices')
    decision, reports = _preview(chooser, zone='b')
    assert decision.own_zone == 'b'
    assert reports['vm-3'].probability > 0.4
    with pytest.raises(errors.BadRequestError, match='no zone z'):
        _preview(chooser, zone='z')


def test_no_usable_candidate_is_no_decision():
    """An empty pool must be told from a choice."""
    chooser = choosers.Chooser(
        'a', 'two_choices', list_unresponsive=lambda now: set(_MEMBERS)
    )
    decision, reports = _preview(chooser)
    assert (decision.vm, decision.probability) == (None, 0.0)
    assert not any(report.usable for report in reports.values())


def test_expected_time_grows_with_the_queue():
    """A time without the queue would hide why a VM isn't chosen."""
    chooser = choosers.Chooser('a', 'two_choices')
    chooser.record_load('vm-1', '', _report(2.0, 0.1), _NOW)
    chooser.record_load('vm-2', '', _report(0.5, 0.1), _NOW)
    _, reports = _preview(chooser)
    assert reports['vm-1'].expected_s == pytest.approx(0.2)
    assert reports['vm-2'].expected_s == pytest.approx(0.1)
    assert reports['vm-3'].expected_s is None


def test_times_of_the_strategy_are_reported():
    """Another estimate than the deciding one would contradict the choice."""
    chooser = choosers.Chooser('a', 'expected_time', zone_price=0.0)
    chooser.record_load('vm-1', '', _report(0.5, 0.2), _NOW, 'r')
    chooser.record_load('vm-3', '', _report(0.5, 0.05), _NOW, 'r')
    chooser.record_failure('vm-2', _NOW)
    _, reports = _preview(chooser)
    assert reports['vm-1'].expected_s == pytest.approx(0.2)
    assert reports['vm-3'].expected_s == pytest.approx(
        0.05 + routing.expectations.ZONE_DISTANCE_S
    )
    # A VM that is passed over has a time too; one that is down has none.
    assert reports['vm-2'].expected_s == pytest.approx(0.125)
    assert reports['vm-5'].expected_s is None
    _, reports = _preview(chooser, zone='b')
    assert reports['vm-3'].expected_s == pytest.approx(0.05)


def test_vm_without_room_is_reported_as_passed_over():
    """The strategy ``expected_time`` passes over full VMs at once."""
    chooser = choosers.Chooser('a', 'expected_time')
    chooser.record_full('vm-1', _PROFILE.needs, 1.0, _NOW)
    _, reports = _preview(chooser)
    assert not reports['vm-1'].usable and not reports['vm-1'].probability
    assert 'refused such a call' in reports['vm-1'].reason
    for vm in _MEMBERS:
        chooser.record_full(vm, _PROFILE.needs, 1.0, _NOW)
    _, reports = _preview(chooser)
    assert reports['vm-1'].usable
    assert 'no other' in reports['vm-1'].reason
