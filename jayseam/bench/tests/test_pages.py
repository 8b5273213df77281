"""Tests of the page of plays and experiments."""

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
    """What went wrong must not be missing on the page."""
    hunted = attrs.evolve(_DAY, command='hunt', name='mix', broken=('ONCE',))
    page = pages.build_page([_DAY, hunted], [_RESULT])
    assert page.count('<svg') == 4
    assert '<h2>piles&lt;</h2>' in page
    for text in ('QUOTA', 'ONCE', 'missed', '7.1 ms', '0.500'):
        assert f'>{text}<' in page
    # Without a network, nothing of the page may come from elsewhere.
    assert not re.search(r'(?:src|href)="(?!#)', page)


def test_latest_play_of_a_standard_day_counts():
    """Hunted days have other seeds and faults."""
    later = attrs.evolve(_DAY, played_at='2026-12-05T10:00:00Z', merit=0.6)
    hunted = attrs.evolve(_DAY, command='hunt')
    drawn = attrs.evolve(_DAY, name='fresh-12ab')
    assert pages.select_latest([_DAY, later, hunted, drawn]) == [later]


def test_small_causes_are_left_out_of_prices():
    """A cause that took nothing would only lengthen the legend."""
    day = attrs.evolve(_DAY, deductions={'memory': 0.02, 'probes': 0.0})
    drawn = pages.draw_deductions([day])
    assert '<!-- memory -->' in drawn and '<!-- probes -->' not in drawn


def test_report_is_written_by_the_command(tmp_path, capsys):
    """The command reads a journal and names the page."""
    play = json.dumps(test_journal.build_play())
    (tmp_path / '1.json').write_text(play)
    page = tmp_path / 'out' / 'page.html'
    arguments = ['report', '--journal', str(tmp_path), '--out', str(page)]
    assert main.main(arguments) == 0
    assert capsys.readouterr().out.strip() == str(page)
    assert page.read_text().endswith('</html>\n')
