"""One self-contained HTML page of plays and of the results of experiments.

A play is a test run over one or more days of a site, with an entry of its own
in the journal. An entry holds totals of each day only, so the page can't show
how a day went over time.
"""

import html
import io
import itertools
import json
import pathlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from matplotlib import figure

from jayseam.platform import journal

# Two plots fit side by side on a wide screen.
_PLOT_SIZE_INCHES = (7.5, 3.6)
# Causes whose deduction from the merit is smaller on every day are left out.
_MIN_DEDUCTION = 0.005
_STYLE = (
    'body{font-family:sans-serif;margin:2em}'
    'table{border-collapse:collapse}'
    'td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}'
    'svg{max-width:48%;height:auto}.bad{color:#b00}'
)
# Commands that play the predefined days of a site.
_STANDARD_COMMANDS = ('run', 'score')


def write_page(
    journal_directory: pathlib.Path,
    results_directory: pathlib.Path,
    path: pathlib.Path,
) -> None:
    """Writes the page of a journal and of the results of experiments.

    Args:
      journal_directory: Directory with one JSON file for each play.
      results_directory: Directory of the results that `reports.write_json`
        wrote; may be absent.
      path: File to write.
    """
    days = journal.read_journal(journal_directory)
    results = [
        json.loads(file.read_text(encoding='utf-8'))
        for file in sorted(results_directory.glob('*.json'))
    ]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(build_page(days, results), encoding='utf-8')


def build_page(
    days: Sequence[journal.DayResult], results: Sequence[Mapping[str, Any]]
) -> str:
    """Returns the HTML of the page.

    Args:
      days: Days of plays, in the order they were played.
      results: Results of experiments, as `reports.Result.to_dict` returns them.
    """
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f'<title>jayseam</title><style>{_STYLE}</style></head><body>'
        '<h1>Plays and experiments</h1>'
    ]
    by_site = sorted(days, key=_format_site)
    for site, group in itertools.groupby(by_site, key=_format_site):
        played = list(group)
        parts.append(f'<h2>{html.escape(site)}</h2>')
        parts.append(draw_merit(played))
        latest = select_latest(played)
        if latest:
            parts.append(draw_deductions(latest))
            parts.append(draw_shares(latest, 'zones', 'zone of the callers'))
            parts.append(draw_shares(latest, 'kinds', 'kind of request'))
        parts.append(_build_day_table(latest, played))
    if results:
        parts.append('<h2>Experiments</h2>')
        parts.append(_build_result_table(results))
    parts.append('</body></html>\n')
    return '\n'.join(parts)


def select_latest(
    days: Iterable[journal.DayResult],
) -> list[journal.DayResult]:
    """Returns the last play of each predefined day, ordered by name."""
    latest = {day.name: day for day in days if _is_standard(day)}
    return [latest[name] for name in sorted(latest)]


def draw_merit(days: Sequence[journal.DayResult]) -> str:
    """Returns an SVG of the merit of each day, by start of the play."""
    plot, axes = _create_plot('merit by day and start of the play')
    positions = {start: n for n, start in enumerate(_list_starts(days))}
    standard = [day for day in days if _is_standard(day)]
    for name in sorted({day.name for day in standard}):
        days_of_name = [day for day in standard if day.name == name]
        xs = [positions[day.played_at] for day in days_of_name]
        merits = [day.merit for day in days_of_name]
        axes.plot(xs, merits, marker='o', markersize=3, label=name)
    others = [day for day in days if not _is_standard(day)]
    if others:
        axes.scatter(
            [positions[day.played_at] for day in others],
            [day.merit for day in others],
            s=8,
            color='#999999',
            label='random days, hunts, replays',
        )
    axes.set_xticks(
        list(positions.values()),
        [start[5:16].replace('T', ' ') for start in positions],
        rotation=90,
        fontsize=5,
    )
    axes.legend(fontsize=6, ncols=2)
    return _render_svg(plot)


def draw_deductions(days: Sequence[journal.DayResult]) -> str:
    """Returns an SVG of the deductions from each day's merit by cause."""
    plot, axes = _create_plot('deductions from the merit')
    bar_starts = [0.0] * len(days)
    names = [day.name for day in days]
    for cause in dict.fromkeys(itertools.chain(*(d.deductions for d in days))):
        deductions = [day.deductions.get(cause, 0.0) for day in days]
        if max(deductions) < _MIN_DEDUCTION:
            continue
        axes.barh(names, deductions, left=bar_starts, label=cause)
        bar_starts = [a + b for a, b in zip(bar_starts, deductions)]
    plot.legend(loc='outside right upper', fontsize=5)
    return _render_svg(plot)


def draw_shares(
    days: Sequence[journal.DayResult], field: str, label: str
) -> str:
    """Returns an SVG of the share served on each day.

    Args:
      days: The days.
      field: ``zones`` or ``kinds``; each day has one bar for each of them.
      label: Name of the field in the title.
    """
    plot, axes = _create_plot(f'share served by {label}')
    n_bars = max(len(getattr(day, field)) for day in days)
    width = 0.8 / max(1, n_bars)
    for index in range(n_bars):
        bars = [
            (number + index * width, getattr(day, field)[index])
            for number, day in enumerate(days)
            if index < len(getattr(day, field))
        ]
        axes.bar(
            [x for x, _ in bars],
            [share for _, share in bars],
            width=width,
            label=str(index + 1),
        )
    axes.set_xticks(range(len(days)), [day.name for day in days], fontsize=6)
    axes.set_ylim(0.0, 1.0)
    axes.legend(fontsize=6)
    return _render_svg(plot)


def _format_site(day: journal.DayResult) -> str:
    return f'{day.site}, small twin' if day.is_twin else day.site


def _is_standard(day: journal.DayResult) -> bool:
    """Returns whether a day is predefined, not hunted or random."""
    return day.command in _STANDARD_COMMANDS and not day.name.startswith(
        'fresh-'
    )


def _list_starts(days: Iterable[journal.DayResult]) -> list[str]:
    return sorted({day.played_at for day in days})


def _create_plot(title: str) -> tuple[figure.Figure, Any]:
    plot = figure.Figure(figsize=_PLOT_SIZE_INCHES, layout='constrained')
    axes = plot.subplots()
    axes.set_title(title, fontsize=9)
    axes.tick_params(labelsize=6)
    return plot, axes


def _render_svg(plot: figure.Figure) -> str:
    """Returns a plot as an SVG element."""
    buffer = io.StringIO()
    plot.savefig(buffer, format='svg')
    text = buffer.getvalue()
    return text[text.index('<svg') :]


def _build_day_table(
    latest: Iterable[journal.DayResult], played: Iterable[journal.DayResult]
) -> str:
    rows = [('day', 'played', 'merit', 'served', 'broken rules')]
    broken = [day for day in played if day.broken]
    for day in [*latest, *(day for day in broken if day not in latest)]:
        rows.append(
            (
                day.name,
                day.played_at,
                f'{day.merit:.3f}',
                f'{day.served:.3f}',
                ', '.join(day.broken),
            )
        )
    return _build_table(rows)


def _build_result_table(results: Iterable[Mapping[str, Any]]) -> str:
    rows = [('experiment', 'measure', 'target', 'figure', 'missed')]
    for result in results:
        rows += [
            (
                result['experiment'],
                row['measure'],
                row['target'],
                f'{row["figure"]:.4g} {row["unit"]}',
                'missed' if row['passed'] is False else '',
            )
            for row in result['rows']
        ]
        if result['error']:
            last = result['error'].strip().splitlines()[-1]
            rows.append((result['experiment'], 'ended early', '', '', last))
    return _build_table(rows)


def _build_table(rows: Sequence[Sequence[str]]) -> str:
    """Returns an HTML table with the last cell of each row highlighted.

    The first row holds the column titles.
    """
    head = ''.join(f'<th>{html.escape(cell)}</th>' for cell in rows[0])
    body = [
        '<tr>'
        + ''.join(f'<td>{html.escape(cell)}</td>' for cell in row[:-1])
        + f'<td class="bad">{html.escape(row[-1])}</td></tr>'
        for row in rows[1:]
    ]
    return f'<table><tr>{head}</tr>{"".join(body)}</table>'
