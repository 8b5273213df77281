"""Runs experiments and reports their figures as a table and as JSON."""

import json
import math
import os
import pathlib
import platform
import time
import traceback
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from jayseam.bench import experiments
from jayseam.core import clocks

_COLUMN_TITLES = ('measure', 'target', 'figure', 'result')


@attrs.frozen
class Result:
    """The outcome of one experiment.

    Attributes:
      name: Name of the experiment.
      seed: Seed of the run.
      rows: Figures in the order they were measured.
      conditions: Conditions that the experiment reported.
      load_averages: Load averages of the machine before and after the run.
      started_wall_ms: Wall clock time of the start, in milliseconds.
      duration_s: Duration of the run in seconds.
      error: Traceback of the exception that ended the run, or empty.
    """

    name: str
    seed: int
    rows: tuple[experiments.Row, ...]
    conditions: dict[str, Any]
    load_averages: tuple[float, float]
    started_wall_ms: int
    duration_s: float
    error: str = ''

    @property
    def passed(self) -> bool:
        """Whether the run completed and missed no target."""
        return not self.error and all(
            row.passed is not False for row in self.rows
        )

    @property
    def command(self) -> str:
        """The command that runs the experiment again."""
        return f'jayseam-bench --only {self.name} --seed {self.seed}'

    def to_dict(self) -> dict[str, Any]:
        """Returns the result as values for JSON."""
        started = time.gmtime(self.started_wall_ms / 1000)
        return {
            'experiment': self.name,
            'command': self.command,
            'seed': self.seed,
            'started': time.strftime('%Y-%m-%dT%H:%M:%SZ', started),
            'duration_s': round(self.duration_s, 1),
            'load_average': {
                'before': self.load_averages[0],
                'after': self.load_averages[1],
            },
            'machine': {
                'cores': os.cpu_count(),
                'python': platform.python_version(),
            },
            'conditions': self.conditions,
            'error': self.error,
            'passed': self.passed,
            'rows': [
                {
                    'measure': row.measure,
                    'target': _format_bound(row),
                    'figure': row.figure,
                    'unit': row.unit,
                    'passed': row.passed,
                    'conditions': row.conditions,
                }
                for row in self.rows
            ],
        }


def run_experiment(name: str, seed: int) -> Result:
    """Runs one experiment; an exception becomes part of the result.

    Rows that the experiment yielded before the exception are kept.

    Raises:
      UnknownVariantError: If no experiment has that name.
    """
    experiment = experiments.registry.get(name)
    context = experiments.Context(seed)
    rows: list[experiments.Row] = []
    before = experiments.read_load_average()
    wall_ms, started = clocks.read_wall_ms(), clocks.read_now()
    error = ''
    try:
        for row in experiment(context):
            rows.append(row)
    except Exception:  # pylint: disable=broad-exception-caught
        # A failed experiment must not prevent the others from running.
        error = traceback.format_exc()
    return Result(
        name,
        seed,
        tuple(rows),
        context.conditions,
        (before, experiments.read_load_average()),
        wall_ms,
        clocks.read_now() - started,
        error,
    )


def format_figure(value: float) -> str:
    """Returns a figure with about four significant digits.

    >>> format_figure(0.123456), format_figure(1234.5678), format_figure(12.0)
    ('0.1235', '1235', '12')
    """
    return f'{value:.0f}' if abs(value) >= 1000 else f'{value:.4g}'


def _format_bound(row: experiments.Row) -> str:
    if row.bound is None:
        return ''
    return f'{row.bound.kind} {format_figure(row.bound.value)} {row.unit}'


def format_table(result: Result) -> str:
    """Returns the figures of an experiment as a text table."""
    lines = [_COLUMN_TITLES]
    for row in result.rows:
        outcome = {None: '-', True: 'pass', False: 'FAIL'}[row.passed]
        figure = f'{format_figure(row.figure)} {row.unit}'.strip()
        lines.append((row.measure, _format_bound(row), figure, outcome))
    widths = [
        max(len(line[i]) for line in lines) for i in range(len(_COLUMN_TITLES))
    ]
    before, after = result.load_averages
    text = [
        f'{result.name}: {result.duration_s:.0f} s, seed {result.seed},'
        f' load average {before:g} to {after:g}'
    ]
    text += [
        '  '
        + '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    ]
    if result.error:
        text.append(f'  FAIL {result.error.strip().splitlines()[-1]}')
    return '\n'.join(text)


def write_json(result: Result, directory: pathlib.Path) -> pathlib.Path:
    """Writes a result to ``<experiment>.json`` and returns the path."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f'{result.name}.json'
    path.write_text(
        json.dumps(result.to_dict(), indent=1) + '\n', encoding='utf-8'
    )
    return path


def plot_bars(result: Result) -> str:
    """Returns an SVG with a bar for each figure as a ratio to its target.

    The bars of figures that meet their targets are green, the others red.
    Figures without a target are left out.
    """
    rows_with_target = [
        row for row in result.rows if row.bound and row.bound.value
    ]
    height = 24 * len(rows_with_target) + 8
    lines = [
        '<svg xmlns="http://www.w3.org/2000/svg" width="900"'
        f' height="{height}" font-family="sans-serif" font-size="12">'
    ]
    for index, row in enumerate(rows_with_target):
        ratio = row.figure / row.bound.value
        length = 0.0 if math.isnan(ratio) else 200 * max(0.0, min(2.0, ratio))
        color = '#2a7' if row.passed else '#c33'
        y = 24 * index + 4
        label = row.measure.replace('&', '&amp;').replace('<', '&lt;')
        lines.append(
            f'<rect x="480" y="{y}" width="{length:.0f}" height="16"'
            f' fill="{color}"/><text x="4" y="{y + 13}">{label}: '
            f'{format_figure(row.figure)} {row.unit}</text>'
        )
    lines.append(
        f'<line x1="680" x2="680" y1="0" y2="{height}" stroke="#000"/></svg>'
    )
    return '\n'.join(lines) + '\n'


def run_experiments(
    names: Iterable[str], seed: int, directory: pathlib.Path, plot: bool = False
) -> Sequence[Result]:
    """Runs experiments in turn; prints and writes each result.

    Args:
      names: Names of the experiments.
      seed: Seed of every experiment.
      directory: Directory of the JSON and SVG files.
      plot: Whether to write SVG files.
    """
    results = []
    for name in names:
        result = run_experiment(name, seed)
        results.append(result)
        path = write_json(result, directory)
        if plot:
            svg = path.with_suffix('.svg')
            svg.write_text(plot_bars(result), encoding='utf-8')
        print(format_table(result), flush=True)
    return results
