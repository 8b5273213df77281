"""Tests of the program ``jayseam-load``."""

import json

from jayseam.tools import load
from jayseam.tools import records as call_records
from jayseam.tools.tests import loads


def test_program_writes_report_and_records(host, tmp_path, capsys):
    """The program must write the records that the invariant checker needs."""
    paths = [tmp_path / name for name in ('profile', 'report', 'records')]
    document = {
        'targets': [loads.get_address(host)],
        'duration_s': 0.2,
        'workspaces': [
            {'name': 'w1', 'rate_per_s': 100, 'routes': [{'path': '/a'}]}
        ],
    }
    paths[0].write_text(json.dumps(document))
    names = [str(path) for path in paths]
    arguments = [names[0], '--json', names[1], '--records', names[2]]
    assert load.main(arguments) == 0
    report = json.loads(paths[1].read_text())
    records = call_records.read_records(names[2])
    assert report['calls'] == len(records) == report['outcomes']['ok']
    # A busy machine may delay the schedule. The table must then report the lag.
    note = 'LAGGED behind the schedule' if report['lagged'] else 'kept up'
    assert note in capsys.readouterr().out
    paths[0].write_text('{}')
    assert load.main(arguments) == 2
