"""Tests of reading the journal of the operators' bench."""

import json

from jayseam.platform import journal

DAY = journal.DayResult(
    site='s',
    name='scale-1',
    played_at='2026-12-04T10:00:00Z',
    command='run',
    is_twin=False,
    merit=0.5,
    served=0.9,
    kinds=(0.9, 0.8),
    zones=(0.7,),
    deductions={'memory': 0.02},
    broken=('QUOTA',),
)


def build_play(**fields):
    """Returns the fields of a journal entry that the reader uses."""
    day = {
        'name': 'scale-1 --seed 7',
        'rules': {'QUOTA': 1},
        'fault': None,
        'G': 0.5,
        'served': 0.9,
        'by_class': [0.9, 0.8, None],
        'by_zone': [0.7],
        'prices': [['memory', 12.5, 0.02]],
    }
    play = {
        'site': 's',
        'at': ['2026-12-04T10:00:00Z', ''],
        'cmd': 'run',
        'argv': ['s.toml', 'scale-1'],
        'days': [day],
    }
    return {**play, **fields}


def test_day_of_a_play_is_decoded(tmp_path):
    """Unused list positions are dropped; of a price the deduction is kept."""
    (tmp_path / '1.json').write_text(json.dumps(build_play()))
    assert journal.read_journal(tmp_path) == [DAY]


def test_small_sites_and_faults_are_recognized(tmp_path):
    """A day that ended with a fault must not look free of violations."""
    play = build_play(argv=['s.toml', 'scale-1', '--small'])
    play['days'][0].update(rules={}, fault='too slow')
    (tmp_path / '1.json').write_text(json.dumps(play))
    (day,) = journal.read_journal(tmp_path)
    assert day.is_twin and day.broken == ('fault: too slow',)


def test_plays_without_days_are_logged(tmp_path, caplog):
    """Invalid entries and aborted plays must not hide the other plays."""
    caplog.set_level('INFO')
    (tmp_path / '1.json').write_text('{')
    (tmp_path / '2.json').write_text(json.dumps(build_play(days=[])))
    (tmp_path / '3.json').write_text(json.dumps(build_play()))
    assert len(journal.read_journal(tmp_path)) == 1
    events = [record.getMessage() for record in caplog.records]
    assert events == ['journal.unreadable', 'journal.no_days']
