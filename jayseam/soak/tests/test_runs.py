"""Short seeded runs of the soak on real processes."""

import pytest

from jayseam.soak import main
from jayseam.soak import runs

# Seeds that failed once: seed, deployment and what the cause was.
REGRESSIONS: tuple[tuple[int, str, str], ...] = ()
_SHORT_S = 15.0


@pytest.mark.parametrize('seed, deployment', [(101, 'agence')])
def test_promises_hold_in_a_short_run(seed, deployment):
    """No promise is broken, and every step could be carried out."""
    outcome = runs.run_soak(runs.Plan(seed, _SHORT_S, deployment))
    report = main.format_outcome(outcome, verbose=True)
    print(report)
    assert not outcome.findings, report
    assert not outcome.failed_steps, report
    assert outcome.outcomes.get('ok', 0) > 0


def test_bad_arguments_end_with_status_2(capsys):
    """A run must be long enough for a fault and the time after it."""
    assert main.main(['--minutes', '0.1']) == 2
    assert '--minutes' in capsys.readouterr().err
