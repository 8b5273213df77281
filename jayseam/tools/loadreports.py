"""Reports of runs of the load generator."""

import collections
from typing import Any

import attrs
from hdrh import histogram

from jayseam.tools import histograms
from jayseam.tools import records as call_records

# Above either limit, the report says that the load generator lagged behind its
# schedule.
CPU_SHARE_LIMIT = 0.9
LAG_LIMIT_MS = 20.0

_COLUMNS = (
    'workspace',
    'calls',
    'ok',
    'p50 ms',
    'p99 ms',
    'max ms',
    'other outcomes',
)


@attrs.define
class LoadReport:
    """The result of a run of the load generator.

    Attributes:
      records: All calls; the calls of one workspace entry are in the order of
        its schedule.
      started: Start of the schedule in seconds of `clocks.read_now`.
      duration_s: Duration of the schedule in seconds.
      latencies: Latencies of ``ok`` calls by workspace, from the scheduled time
        to the response, in microseconds.
      lags: Delays of the load generator behind its schedule, in microseconds.
      waits: Times that calls waited for a free connection, in microseconds.
      per_second: Number of calls by second of the schedule, workspace and
        outcome.
      cpu_share: Share of one core that this process used until the last
        arrival.
    """

    started: float
    duration_s: float
    records: list[call_records.CallRecord] = attrs.field(factory=list)
    latencies: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    lags: histogram.HdrHistogram = attrs.field(
        factory=histograms.make_histogram
    )
    waits: histogram.HdrHistogram = attrs.field(
        factory=histograms.make_histogram
    )
    per_second: dict[int, dict[str, collections.Counter[str]]] = attrs.field(
        factory=dict
    )
    cpu_share: float = 0.0

    @property
    def calls_per_s(self) -> float:
        """Calls per second over the duration of the schedule."""
        return len(self.records) / self.duration_s

    @property
    def lag_p99_ms(self) -> float:
        """99th percentile of the delay behind the schedule, in milliseconds."""
        return self.lags.get_value_at_percentile(99.0) / 1000.0

    @property
    def lagged(self) -> bool:
        """Whether the load generator was too slow for its schedule.

        With few connections, a saturated load generator still issues calls on
        time and only the waits for a connection grow. Therefore the use of the
        core counts as well.
        """
        return (
            self.lag_p99_ms > LAG_LIMIT_MS or self.cpu_share > CPU_SHARE_LIMIT
        )

    def add(self, record: call_records.CallRecord) -> None:
        """Counts a finished call."""
        second = int(record.scheduled - self.started)
        workspaces = self.per_second.setdefault(second, {})
        counter = workspaces.setdefault(record.workspace, collections.Counter())
        counter[record.outcome] += 1
        if record.outcome == 'ok':
            if record.workspace not in self.latencies:
                histogram_us = histograms.make_histogram()
                self.latencies[record.workspace] = histogram_us
            latencies = self.latencies[record.workspace]
            latency_s = record.ended - record.scheduled
            histograms.record_seconds(latencies, latency_s)
        if record.sent:
            lag_s = record.issued - record.scheduled
            histograms.record_seconds(self.lags, lag_s)
            histograms.record_seconds(self.waits, record.sent - record.issued)

    def count_outcomes(self, workspace: str | None = None) -> dict[str, int]:
        """Returns the number of calls by outcome, most frequent first."""
        total: collections.Counter[str] = collections.Counter()
        for workspaces in self.per_second.values():
            for name, counter in workspaces.items():
                if workspace in (None, name):
                    total.update(counter)
        return dict(total.most_common())

    def to_dict(self) -> dict[str, Any]:
        """Returns the report without the records, for JSON."""
        return {
            'duration_s': self.duration_s,
            'calls': len(self.records),
            'calls_per_s': round(self.calls_per_s, 1),
            'lagged': self.lagged,
            'cpu_share': round(self.cpu_share, 3),
            'schedule_lag_ms': histograms.summarize_ms(self.lags),
            'connection_wait_ms': histograms.summarize_ms(self.waits),
            'outcomes': self.count_outcomes(),
            'workspaces': self._describe_workspaces(),
            'nested_failures': sum(r.nested_failures for r in self.records),
            'per_second': self._describe_seconds(),
        }

    def _describe_workspaces(self) -> dict[str, Any]:
        names = sorted({record.workspace for record in self.records})
        return {
            name: {
                'outcomes': self.count_outcomes(name),
                'latency_ms': histograms.summarize_ms(self.latencies.get(name)),
            }
            for name in names
        }

    def _describe_seconds(self) -> list[dict[str, Any]]:
        return [
            {'second': second, 'workspace': name, 'outcomes': dict(counter)}
            for second, workspaces in sorted(self.per_second.items())
            for name, counter in sorted(workspaces.items())
        ]

    def format_table(self) -> str:
        """Returns a table with a line for each workspace and the totals."""
        rows = [_COLUMNS]
        for name, entry in self._describe_workspaces().items():
            rows.append(_build_row(name, entry))
        # The last column has texts of any length and is not padded.
        widths = [max(map(len, column)) for column in zip(*rows)][:-1]
        lines = [
            '  '.join(cell.ljust(width) for cell, width in zip(row, widths))
            + f'  {row[-1]}'
            for row in rows
        ]
        return '\n'.join(
            line.rstrip() for line in [*lines, self._format_totals()]
        )

    def _format_totals(self) -> str:
        note = 'LAGGED behind the schedule' if self.lagged else 'kept up'
        return (
            f'{len(self.records)} calls, {self.calls_per_s:.1f} a second;'
            f' {note} (99 in 100 at most {self.lag_p99_ms:.1f} ms late,'
            f' {self.cpu_share:.0%} of a core)'
        )


def _build_row(name: str, entry: dict[str, Any]) -> tuple[str, ...]:
    """Returns the row of a workspace in the table."""
    outcomes = dict(entry['outcomes'])
    calls = sum(outcomes.values())
    ok = outcomes.pop('ok', 0)
    latency = entry['latency_ms']
    others = ', '.join(f'{k} {v}' for k, v in outcomes.items())
    values = [latency.get(k, '-') for k in ('p50', 'p99', 'max')]
    return tuple(str(value) for value in (name, calls, ok, *values, others))
