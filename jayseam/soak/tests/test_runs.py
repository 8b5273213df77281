"""Short seeded soak runs on real processes."""

import pytest

from jayseam.soak import main
from jayseam.soak import runs

# Seeds that failed before: seed, deployment and cause of the failure.
REGRESSIONS: tuple[tuple[int, str, str], ...] = ()
_SHORT_S = 15.0


@pytest.mark.parametrize('seed, deployment', [(101, 'agence')])
def test_promises_hold_in_a_short_run(seed, deployment):
    """All invariants hold, and every step can be carried out."""
    result = runs.run_soak(runs.Plan(seed, _SHORT_S, deployment))
    report = main.format_result(result, verbose=True)
    print(report)
    assert not result.findings, report
    assert not result.failed_steps, report
    assert result.outcomes.get('ok', 0) > 0


def test_bad_arguments_end_with_status_2(capsys):
    """A run that is too short for faults and the recovery period is refused."""
    assert main.main(['--minutes', '0.1']) == 2
    assert '--minutes' in capsys.readouterr().err
