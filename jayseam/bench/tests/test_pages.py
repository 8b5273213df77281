"""Tests of the HTML page of plays and experiments."""

import json
import re

import attrs

from jayseam.bench import main
from jayseam.bench import pages
from jayseam.platform.tests import test_journal

_DAY = attrs.evolve(
    test_journal.DAY, site='piles<', name='quiet-1', command='score'
)
_RESULT = {
    'experiment': 'latency',
    'error': '',
    'rows': [
        {
            'measure': 'added time',
            'target': 'at most 1.7 ms',
            'figure': 7.1,
            'unit': 'ms',
            'passed': False,
        }
    ],
}


def test_page_shows_days_broken_rules_and_missed_targets():
    """Broken rules and missed targets must appear on the page."""
    hunted = attrs.evolve(_DAY, command='hunt', name='mix', broken=('ONCE',))
    page = pages.build_page([_DAY, hunted], [_RESULT])
    assert page.count('<svg') == 4
    assert '<h2>piles&lt;</h2>' in page
    for text in ('QUOTA', 'ONCE', 'missed', '7.1 ms', '0.500'):
        assert f'>{text}<' in page
    # The page must be readable without a network, so it refers to no other
    # resource.
    assert not re.search(r'(?:src|href)="(?!#)', page)


def test_latest_play_of_a_standard_day_counts():
    """Hunted and random days have other faults, so they must not count."""
    later = attrs.evolve(_DAY, played_at='2026-12-05T10:00:00Z', merit=0.6)
    hunted = attrs.evolve(_DAY, command='hunt')
    random_day = attrs.evolve(_DAY, name='fresh-12ab')
    assert pages.select_latest([_DAY, later, hunted, random_day]) == [later]


def test_small_causes_are_left_out_of_deductions():
    """A cause without a deduction would only lengthen the legend."""
    day = attrs.evolve(_DAY, deductions={'memory': 0.02, 'probes': 0.0})
    svg = pages.draw_deductions([day])
    assert '<!-- memory -->' in svg and '<!-- probes -->' not in svg


def test_report_is_written_by_the_command(tmp_path, capsys):
    """The command reads a journal and prints the path of the page."""
    play = json.dumps(test_journal.build_play())
    (tmp_path / '1.json').write_text(play)
    page = tmp_path / 'out' / 'page.html'
    arguments = ['report', '--journal', str(tmp_path), '--out', str(page)]
    assert main.main(arguments) == 0
    assert capsys.readouterr().out.strip() == str(page)
    assert page.read_text().endswith('</html>\n')
