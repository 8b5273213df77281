"""Tests of claims at keepers that are reached through unreliable links."""

import gevent
import pytest

from jayseam.calls import claims
from jayseam.calls import errors
from jayseam.calls import idempotency
from jayseam.calls import keepers
from jayseam.calls import messages
from jayseam.calls import requests
from jayseam.core import clocks
from jayseam.links import errors as link_errors

ZONES = {'u1': 'z1', 'u2': 'z2', 'u3': 'z3'}
ANSWER = requests.CallAnswer(201, (('x', 'y'),), b'booked')
WINDOW_S = 600.0


class Fleet:
    """Three keepers, one at each upstream position, with injected failures."""

    def __init__(self):
        self.stores = {name: keepers.ClaimStore(0, WINDOW_S) for name in ZONES}
        self.failures = {}
        self.coordinator = claims.ClaimCoordinator(
            'entry',
            keepers.ClaimStore(0, WINDOW_S),
            self.request,
            lambda upstream: upstream,
        )

    def request(self, vm, message, timeout_s):
        del timeout_s
        remaining = self.failures.get((vm, type(message)), 0)
        if remaining:
            self.failures[(vm, type(message))] = remaining - 1
            raise link_errors.ReplyLostError('the link was lost')
        return claims.apply_message(self.stores[vm], message, clocks.read_now())

    def inject_failures(self, kind, times, *vms):
        for vm in vms:
            self.failures[(vm, kind)] = times

    def claim(self, timeout_s=2.0):
        return self.coordinator.claim(
            'w1', KEY, 'f1', ZONES, clocks.read_now() + timeout_s
        )


KEY = idempotency.IdempotencyKey('k1', 10_000_000)


def test_outcome_reaches_keepers_whose_link_was_lost():
    """If the outcome were lost, repeats would never get the answer."""
    fleet = Fleet()
    claim_result = fleet.claim()
    fleet.inject_failures(messages.Settle, 2, *ZONES)
    fleet.coordinator.settle('w1', claim_result, ANSWER)
    gevent.sleep(1.0)
    assert fleet.claim().answer == ANSWER


def test_withdrawal_reaches_keepers_whose_link_was_lost():
    """If the withdrawal were lost, a call that never ran would stay blocked."""
    fleet = Fleet()
    claim_result = fleet.claim()
    fleet.inject_failures(messages.Abandon, 1, *ZONES)
    fleet.coordinator.abandon('w1', claim_result)
    gevent.sleep(0.6)
    assert fleet.claim().attempt


def test_too_few_keepers_refuse_the_run():
    """One grant is no majority: another attempt may have the other two."""
    fleet = Fleet()
    fleet.inject_failures(messages.Claim, 9, 'u1', 'u2')
    with pytest.raises(errors.NotRunError):
        fleet.claim()


def test_running_attempt_is_waited_for_until_the_deadline():
    """A repeat must neither run nor hang while the first attempt runs."""
    fleet = Fleet()
    fleet.claim()
    started_at = clocks.read_now()
    with pytest.raises(errors.OutcomeUnknownError):
        fleet.claim(timeout_s=0.5)
    assert clocks.read_now() - started_at < 1.5


def _break_keepers(fleet, kind, *vms):
    """Makes requests of one class to some keepers fail unexpectedly, once."""
    request, broken = fleet.coordinator._request, set(vms)

    def fail(vm, message, timeout_s):
        if vm in broken and isinstance(message, kind):
            broken.discard(vm)
            raise PermissionError(1, 'Operation not permitted')
        return request(vm, message, timeout_s)

    fleet.coordinator._request = fail


def test_unexpected_error_of_a_keeper_does_not_hold_a_claim():
    """A claim that waits for the reply of a dead greenlet is never answered."""
    fleet = Fleet()
    _break_keepers(fleet, messages.Claim, *ZONES)
    with gevent.Timeout(1.0):
        with pytest.raises(errors.NotRunError):
            fleet.claim()


def test_outcome_reaches_keepers_after_an_unexpected_error():
    """Without another attempt, the key would be reported as running."""
    fleet = Fleet()
    claim_result = fleet.claim()
    _break_keepers(fleet, messages.Settle, *ZONES)
    fleet.coordinator.settle('w1', claim_result, ANSWER)
    gevent.sleep(0.4)
    assert fleet.claim().answer == ANSWER
