"""Tests of the outcomes of a call's attempts."""

import pytest

from jayseam.calls import attempts
from jayseam.calls import errors


def _refuse(progress, retry_after_s, now):
    progress.record_error(errors.NotRunError('full', retry_after_s), True, now)


@pytest.mark.parametrize('order', [(0.4, 0.1, 0.3), (0.1, None), (0.3, 0.1)])
def test_caller_learns_the_earliest_time_with_room(order):
    """The last of several VMs may have room much later than the others."""
    progress = attempts.Progress(is_earliest=True)
    for retry_after_s in order:
        _refuse(progress, retry_after_s, 5.0)
    assert progress.error.retry_after_s == pytest.approx(0.1)
    progress = attempts.Progress()
    for retry_after_s in order:
        _refuse(progress, retry_after_s, 5.0)
    assert progress.error.retry_after_s == order[-1]


def test_time_of_later_attempts_counts():
    """A delay told at the first refusal would end too late."""
    progress = attempts.Progress(is_earliest=True)
    _refuse(progress, 0.2, 5.0)
    _refuse(progress, 0.9, 5.1)
    assert progress.error.retry_after_s == pytest.approx(0.1)
    _refuse(progress, 0.9, 6.0)
    assert progress.error.retry_after_s == attempts.MIN_RETRY_AFTER_S


def test_unknown_outcome_is_not_hidden_by_a_promise():
    """A call that may have run must not be reported as refused."""
    progress = attempts.Progress(is_earliest=True)
    lost = errors.OutcomeUnknownError('the reply was lost')
    progress.record_error(lost, True, 5.0)
    _refuse(progress, 0.1, 5.1)
    assert progress.error is lost and lost.retry_after_s is None
