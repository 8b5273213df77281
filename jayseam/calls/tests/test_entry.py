"""Tests of the entry alone, with fake ingresses."""

import types

import attrs
import pytest

from jayseam.backends import dialects
from jayseam.calls import choosers
from jayseam.calls import entry
from jayseam.calls import errors
from jayseam.calls import keys
from jayseam.calls import messages
from jayseam.calls import requests
from jayseam.calls import retries
from jayseam.core import clocks
from jayseam.presets import model
from jayseam.routing import rooms

_LOADS = (1.0, 0.1, 1.0, 1.0)
_NO_ROOM = messages.Refused(
    'not-run', 'no', 'no room', *_LOADS, admitted=False, retry_after_ms=300
)
_SHED = messages.Refused('not-run', 'no', 'shed', *_LOADS, admitted=True)
_ANSWERED = messages.Answered(200, [], b'', *_LOADS)


class _Chooser:
    """Offers VMs in their order and notes those that it was told to avoid."""

    def __init__(self, vms):
        self._vms = vms
        self._drawn = 0
        self._rooms = rooms.RoomTable()
        self.avoided = []
        self.services = []

    def draw_service(self, route):
        """Returns the services of the route in turn."""
        self._drawn += 1
        return route.targets[self._drawn % len(route.targets)][0]

    def choose(self, preset, service, view, tried, now, workspace, need):
        """Returns the first VM that was not tried and may have room."""
        del preset, view, workspace
        self.services.append(service)
        full = set() if need is None else self._rooms.list_full(need, now)
        left = [vm for vm in self._vms if vm not in full.union(tried)]
        return choosers.Choice(left[0], 1, service) if left else None

    def record_refusal(self, vm, now):
        """Notes a VM that turned a call away."""
        del now
        self.avoided.append(vm)

    def record_full(self, vm, need, wait_s, now):
        """Notes a VM that had no room."""
        self._rooms.mark(vm, need, wait_s, now)

    def begin(self, vm, workspace):
        """Ignores the start of an attempt."""

    def end(self, vm, workspace):
        """Ignores the end of an attempt."""

    def report_load(self, vm, workspace, report, now):
        """Ignores a load."""


class _World:
    """An entry whose ingresses give the replies of a script."""

    def __init__(self, replies, saved=0.0, call_tokens=True, **parts):
        self.asked = []
        self.forwards = []
        self._replies = replies
        self.chooser = _Chooser(list(replies))
        self.entry = entry.Entry(
            entry.EntryParts(
                own_vm='a',
                token_keys=(b'k',),
                read_snapshot=None,
                read_view=lambda: None,
                chooser=self.chooser,
                limiter=None,
                forwarder=self._forward,
                coordinator=None,
                cancel=None,
                keys_usable=None,
                read_keys_age=None,
                window_s=1.0,
                retry_budget=retries.BudgetSize(0.0, saved, 0.0),
                draw=lambda: 0.0,
                dialect=dialects.Dialect(call_tokens=call_tokens),
                **parts,
            )
        )

    def _forward(self, vm, forward, timeout_s):
        del timeout_s
        self.asked.append(vm)
        self.forwards.append(forward)
        return self._replies[vm]

    def run(self, timeout_s=1.2, workspace='', depth=0, **fields):
        """Runs a call that may not be repeated."""
        workspaces = {'w': model.Workspace('w', 1.0, 1.0)}
        preset = model.Preset('p', {}, {}, {}, {}, workspaces)
        snapshot = types.SimpleNamespace(
            preset=preset, preset_version=1, keys_version=1, vms_version=1
        )
        route = model.Route(
            'r', '/', ('GET',), (('s', 1),), True, False, 1200, keyed=False
        )
        now = clocks.read_now()
        call = entry.Call(
            requests.CallRequest('GET', '/', '', (), b''),
            'r-1',
            snapshot,
            attrs.evolve(route, **fields),
            keys.Caller(workspace, '', depth, None),
            now + timeout_s,
            0,
            now + 0.5,
        )
        return self.entry.run(call)


def test_room_is_looked_for_elsewhere_without_spending_attempts():
    """A server that never saw a call is not one that it was sent to."""
    world = _World({'a': _NO_ROOM, 'b': _NO_ROOM, 'c': _ANSWERED})
    assert world.run(max_attempts=1).status == 200
    assert world.asked == ['a', 'b', 'c']
    assert not world.chooser.avoided


def test_shed_call_counts_as_sent():
    """A route with one attempt ends with the first server that saw it."""
    world = _World({'a': _SHED, 'b': _ANSWERED}, saved=5.0)
    with pytest.raises(errors.NotRunError):
        world.run(max_attempts=1)
    assert world.asked == ['a'] and world.chooser.avoided == ['a']
    world = _World({'a': _SHED, 'b': _ANSWERED}, saved=5.0)
    assert world.run(max_attempts=2).status == 200


def test_repeat_at_a_server_needs_the_budget():
    """Sheds of all servers must not multiply the calls that reach them."""
    world = _World({'a': _SHED, 'b': _ANSWERED})
    with pytest.raises(errors.NotRunError):
        world.run(max_attempts=2)
    assert world.asked == ['a']


def test_overload_costs_one_attempt_a_call():
    """While all queues are full, calls don't ask one VM after another."""
    world = _World(dict.fromkeys('abc', _NO_ROOM))
    for _ in range(20):
        with pytest.raises(errors.NotRunError) as caught:
            world.run()
        assert caught.value.ran == 'no' and caught.value.retry_after_s
    # The first call learns that the three are full.
    assert len(world.asked) <= 3 + 19


def test_search_for_room_is_bounded():
    """A large fleet without room must not be asked as a whole."""
    world = _World({str(number): _NO_ROOM for number in range(30)})
    with pytest.raises(errors.NotRunError):
        world.run()
    assert len(world.asked) == 4


@pytest.mark.parametrize('timeout_s', [0.3, 1.2])
@pytest.mark.parametrize('reply', [_NO_ROOM, _SHED])
def test_refused_caller_is_told_when_to_return(timeout_s, reply):
    """Within a third of its time, or the call itself would not fit."""
    world = _World({'a': reply})
    with pytest.raises(errors.NotRunError) as caught:
        world.run(timeout_s)
    assert 0.0 < caught.value.retry_after_s <= timeout_s / 3


def test_unknown_outcome_is_not_tried_again():
    """What may have run must not run a second time."""
    unknown = messages.Refused('outcome-unknown', 'unknown', 'lost', *_LOADS)
    world = _World({'a': unknown, 'b': _ANSWERED}, saved=5.0)
    with pytest.raises(errors.OutcomeUnknownError):
        world.run(max_attempts=2)
    assert world.asked == ['a']


@pytest.mark.parametrize(
    'call_tokens, nested',
    [(True, {'workspace': 'w', 'depth': 1}), (False, {'workspace': ''})],
)
def test_calls_of_a_running_call_go_first(call_tokens, nested):
    """Turned away, they waste the run that waits for them."""
    world = _World({'a': _ANSWERED}, call_tokens=call_tokens)
    world.run(rank=2, **nested)
    world.run(rank=0, workspace='w')
    first, urgent = (forward.rank for forward in world.forwards)
    assert first < urgent


def test_anonymous_caller_does_not_pass_for_a_running_call():
    """Where running calls have tokens, a call without a key is a caller's."""
    world = _World({'a': _ANSWERED})
    world.run(rank=2)
    world.run(rank=0, workspace='w')
    anonymous, urgent = (forward.rank for forward in world.forwards)
    assert anonymous > urgent


def test_objective_travels_with_the_call():
    """The ingress counts the time that the entry has used."""
    world = _World({'a': _ANSWERED})
    world.run()
    assert 400 <= world.forwards[0].objective_ms <= 500


def test_all_attempts_go_to_one_service():
    """A part of a split without room must not spill into the other part."""
    world = _World({'a': _NO_ROOM, 'b': _NO_ROOM, 'c': _ANSWERED})
    world.run(targets=(('s', 1), ('s-next', 1)))
    assert world.chooser.services == ['s-next'] * 3


def test_retries_keep_the_bound_of_the_fleet():
    """Where all servers of a service shed, few calls are sent once more."""
    world = _World(
        {'a': _SHED, 'b': _SHED},
        saved=10.0,
        retry_bound=retries.FleetBound(0.0, 3.0),
    )
    for _ in range(10):
        with pytest.raises(errors.NotRunError):
            world.run(max_attempts=2)
    assert world.asked.count('b') == 3
