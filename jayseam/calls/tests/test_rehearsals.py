"""Tests that a dry run decides as a real call does, and records nothing."""

import random
import types

import pytest

from jayseam import routing
from jayseam.calls import choosers
from jayseam.calls import errors
from jayseam.calls import rehearsals
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


def _report(load, service_s=0.1):
    return routing.loads.ReportedLoad(load, load, load, service_s)


def _build_chooser(seed, strategy='two_choices', **options):
    """Returns a chooser in a random state, the same for each seed."""
    generator = random.Random(seed)
    chooser = choosers.Chooser('a', strategy, generator.random, **options)
    chooser.set_preset(_PRESET, 0.0)
    for vm in _MEMBERS:
        if generator.random() < 0.7:
            report = _report(2 * generator.random(), generator.random())
            chooser.record_load(vm, '', report, _NOW - generator.random())
        if generator.random() < 0.2:
            chooser.record_failure(vm, _NOW - 0.5)
        for _ in range(generator.randrange(4)):
            chooser.start_attempt(vm)
    for _ in range(generator.randrange(5)):
        chooser.choose(_PRESET, 's', _VIEW, (), _NOW)
    return chooser


@pytest.mark.parametrize('strategy', routing.selection.VARIANTS.list_names())
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
        chosen = dry.rehearse(_PRESET, 's', _VIEW, _NOW, draws)
        real = _build_chooser(seed, strategy)
        numbers = iter([number for draw in draws for number in draw])
        real._draw = lambda numbers=numbers: next(numbers)
        choices = [real.choose(_PRESET, 's', _VIEW, (), _NOW) for _ in draws]
        assert chosen == [choice.vm for choice in choices]


def test_dry_run_records_nothing():
    """A question of an operator must not change where calls go."""
    for seed in range(20):
        asked, other = _build_chooser(seed), _build_chooser(seed)
        for zone in ('', 'b'):
            rehearsals.rehearse(asked, _PRESET, _VIEW, _ROUTE, _NOW, zone)
        assert asked.loads._members == other.loads._members
        later = [
            [
                chooser.choose(_PRESET, 's', _VIEW, (), _NOW).vm
                for _ in range(20)
            ]
            for chooser in (asked, other)
        ]
        assert later[0] == later[1]


def _rehearse(chooser, **options):
    """Returns the decision and the candidates by VM."""
    found = rehearsals.rehearse(
        chooser, _PRESET, _VIEW, _ROUTE, _NOW, **options
    )
    return found.decision, {c.vm: c for c in found.candidates}


def test_each_candidate_has_its_state_and_reason():
    """On-call asks why a VM gets no calls."""
    chooser = choosers.Chooser(
        'a', 'two_choices', list_unresponsive=lambda now: {'vm-3'}
    )
    chooser.record_failure('vm-1', _NOW)
    needs = routing.refusals.CallNeeds('', 1, 0.5)
    chooser.record_full('vm-2', needs, 1.0, _NOW)
    decision, reports = _rehearse(chooser)
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
    decision, reports = _rehearse(chooser)
    assert decision.is_random and reports['vm-1'].usable
    assert 'no other' in reports['vm-1'].reason
    assert not reports['vm-3'].usable


def test_random_choice_is_shown_with_its_probabilities():
    """One draw of a random choice would look like a rule."""
    decision, reports = _rehearse(choosers.Chooser('a', 'two_choices'))
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
    decision, reports = _rehearse(chooser, zone='b')
    assert decision.own_zone == 'b'
    assert reports['vm-3'].probability > 0.4
    with pytest.raises(errors.BadRequestError, match='no zone z'):
        _rehearse(chooser, zone='z')


def test_no_usable_candidate_is_no_decision():
    """An empty pool must be told from a choice."""
    chooser = choosers.Chooser(
        'a', 'two_choices', list_unresponsive=lambda now: set(_MEMBERS)
    )
    decision, reports = _rehearse(chooser)
    assert (decision.vm, decision.probability) == (None, 0.0)
    assert not any(report.usable for report in reports.values())


def test_expected_time_grows_with_the_queue():
    """A time without the queue would hide why a VM isn't chosen."""
    chooser = choosers.Chooser('a', 'two_choices')
    chooser.record_load('vm-1', '', _report(2.0, 0.1), _NOW)
    chooser.record_load('vm-2', '', _report(0.5, 0.1), _NOW)
    _, reports = _rehearse(chooser)
    assert reports['vm-1'].expected_s == pytest.approx(0.2)
    assert reports['vm-2'].expected_s == pytest.approx(0.1)
    assert reports['vm-3'].expected_s is None
