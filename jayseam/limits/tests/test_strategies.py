"""Tests of the escrow strategy that need no model of a fleet."""

import types

import pytest

from jayseam.limits import cells
from jayseam.limits import messages
from jayseam.limits import strategies
from jayseam.limits import token_caches

_START = 100.0
_VMS = ('vm-0', 'vm-1', 'vm-2')


def _create_strategy():
    """Returns the strategy of a non-owner in a cell of three, and the owner."""
    preset = types.SimpleNamespace(
        upstreams={vm: types.SimpleNamespace(zone='a') for vm in _VMS},
        workspaces={'w': types.SimpleNamespace(rate_per_s=100.0, burst=100.0)},
    )
    for own in _VMS:
        strategy = strategies.EscrowStrategy(own, own, 'a', 1, _START)
        strategy.set_preset(preset, 1, _START)
        strategy.set_members(cells.Member(vm, vm, 1, 'a') for vm in _VMS)
        topology = strategy.topology
        owner = topology.rank(topology.own_cell, cells.group_of('w'))[0]
        if owner != own:
            return strategy, owner
    raise AssertionError('every VM is the owner')


def _poll_draws(strategy, now):
    """Enqueues a call and returns the draws that the strategy sends."""
    strategy.enqueue('w', token_caches.Waiter(1, 1.0, now + 1.0))
    return [
        sent
        for sent in strategy.poll(now)
        if isinstance(sent.message, messages.Draw)
    ]


@pytest.mark.parametrize(
    'elapsed_s, is_passed_over',
    [(strategies.REQUEST_TIMEOUT_S + 0.01, True), (0.7, False)],
)
def test_only_requests_that_time_out_in_time_tell_of_the_owner(
    elapsed_s, is_passed_over
):
    """A stall of the machine must not make an entry pass over all owners."""
    strategy, owner = _create_strategy()
    now = _START + 0.5
    (sent,) = _poll_draws(strategy, now)
    assert sent.vm == owner
    strategy.handle_reply(sent, None, now + elapsed_s)
    after = now + elapsed_s + strategies.DRAW_PERIOD_S
    asked = [sent.vm for sent in _poll_draws(strategy, after)]
    assert (owner not in asked) == is_passed_over
