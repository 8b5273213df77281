"""Runs of ``jayseam-load`` in a process of its own."""

import json
import pathlib
import tempfile
from collections.abc import Mapping
from typing import Any

import attrs

from jayseam.bench import children
from jayseam.bench import experiments
from jayseam.standins import errors
from jayseam.tools import load
from jayseam.tools import records as call_records

# Time limit that each call carries; the caller itself waits slightly longer.
DEADLINE_MS = 1000
CALLER_TIMEOUT_MS = 1100
_EXIT_GRACE_S = 30.0
# Exit status of ``jayseam-load`` for an invalid profile.
_INVALID_PROFILE_STATUS = 2


@attrs.frozen
class LoadRun:
    """The report of a load generator that ran in a process of its own.

    Attributes:
      records: Records of all calls.
      report: Report of the generator, as read from JSON.
    """

    records: list[call_records.CallRecord]
    report: dict[str, Any]

    @property
    def conditions(self) -> dict[str, Any]:
        """Conditions of a row: whether the generator kept up, and outcomes."""
        return {
            'calls': self.report['calls'],
            'lagged': self.report['lagged'],
            'tool_cpu_share': self.report['cpu_share'],
            'outcomes': self.report['outcomes'],
            'load_average': experiments.read_load_average(),
        }


def run_load(profile: Mapping[str, Any]) -> LoadRun:
    """Runs ``jayseam-load`` in a process; other greenlets run meanwhile.

    Raises:
      ClusterError: If the process fails or doesn't end in time.
    """
    with tempfile.TemporaryDirectory(prefix='jayseam-') as name:
        directory = pathlib.Path(name)
        paths = {
            part: directory / f'{part}.json'
            for part in ('profile', 'report', 'records')
        }
        paths['profile'].write_text(json.dumps(profile), encoding='utf-8')
        exited = children.run_module(
            load.__name__,
            [
                str(paths['profile']),
                '--json',
                str(paths['report']),
                '--records',
                str(paths['records']),
            ],
            directory / 'load.log',
            profile['duration_s'] + _EXIT_GRACE_S,
        )
        if (
            exited.status == _INVALID_PROFILE_STATUS
            or not paths['report'].exists()
        ):
            raise errors.ClusterError(exited.log_tail)
        report = json.loads(paths['report'].read_text(encoding='utf-8'))
        calls = call_records.read_records(str(paths['records']))
        return LoadRun(calls, report)


def is_in_time(record: call_records.CallRecord) -> bool:
    """Returns whether a call was answered while its caller still waited."""
    elapsed_ms = 1000 * (record.ended - record.scheduled)
    return record.outcome == 'ok' and elapsed_ms <= CALLER_TIMEOUT_MS
