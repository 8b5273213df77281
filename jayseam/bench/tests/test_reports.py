"""Tests of running fake experiments and reporting their figures."""

import json

import pytest

from jayseam.bench import experiments
from jayseam.bench import main
from jayseam.bench import reports
from jayseam.core import errors

_AT_MOST_TWO = experiments.Bound(experiments.AT_MOST, 2.0)


@pytest.fixture(name='fake')
def _fake(monkeypatch):
    """Replaces the registry with one that has three fake experiments."""
    registry = type(experiments.registry)('experiment')
    monkeypatch.setattr(experiments, 'registry', registry)

    @registry.register('passing')
    def _measure_passing(context):
        """Meets its target."""
        context.add_conditions(nodes=3)
        yield experiments.Row('time', 1.0, 's', _AT_MOST_TWO)
        yield experiments.Row('size', 7.0, 'MB')

    @registry.register('missing')
    def _measure_missing(_):
        """Misses its target."""
        yield experiments.Row('time', 3.0, 's', _AT_MOST_TWO)

    @registry.register('broken')
    def _measure_broken(_):
        """Fails after its first figure."""
        yield experiments.Row('time', 1.0, 's', _AT_MOST_TWO)
        raise ValueError('no cluster')

    return registry


def test_all_results_are_reported_and_written(fake, tmp_path, capsys):
    """A failed experiment must neither stop the others nor pass."""
    results = reports.run_experiments(fake.list_names(), 5, tmp_path, plot=True)
    assert {r.name: r.passed for r in results} == {
        'broken': False,
        'missing': False,
        'passing': True,
    }
    written = json.loads((tmp_path / 'passing.json').read_text())
    assert written['command'] == 'jayseam-bench --only passing --seed 5'
    assert written['conditions'] == {'nodes': 3}
    assert [row['passed'] for row in written['rows']] == [True, None]
    assert written['rows'][0]['target'] == 'at most 2 s'
    assert written['load_average'].keys() == {'before', 'after'}
    broken = json.loads((tmp_path / 'broken.json').read_text())
    assert 'ValueError: no cluster' in broken['error']
    assert broken['rows'][0]['figure'] == 1.0
    assert (tmp_path / 'missing.svg').read_text().startswith('<svg')
    output = capsys.readouterr().out
    assert 'FAIL ValueError: no cluster' in output
    assert '3 s     FAIL' in output


def test_unknown_experiment_is_refused(fake):
    """A misspelt name must not look like a passed experiment."""
    del fake
    with pytest.raises(errors.UnknownVariantError, match='passing'):
        reports.run_experiment('pasing', 1)


def test_figure_that_is_not_a_number_misses_its_target():
    """A percentile without samples is NaN and must not meet a target."""
    row = experiments.Row('p99', float('nan'), 's', _AT_MOST_TWO)
    assert row.passed is False


@pytest.mark.parametrize(
    'only, status', [('passing', 0), ('missing', 1), ('broken', 1)]
)
def test_exit_status_reports_misses(fake, tmp_path, monkeypatch, only, status):
    """Scripts rely on the exit status to find missed targets."""
    del fake
    monkeypatch.setattr(main, 'RESULTS_DIRECTORY', tmp_path)
    assert main.main(['--only', only, '--seed', '2']) == status


def test_list_names_every_experiment(capsys):
    """The list shows users the names that --only takes."""
    assert main.main(['--list']) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.partition(':')[0] for line in lines] == [
        'added-time',
        'change-bytes',
        'control',
        'convergence',
        'memory',
        'overload',
        'state',
        'throughput',
        'worst-workspace',
        'zone-move',
    ]
