"""Health answers of the backend stand-in, which may be outdated or wrong."""

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class HealthReport:
    """The body of a health answer.

    Attributes:
      state: ``starting``, ``ready`` or ``draining``.
      load: Requests in flight as a share of the slots.
    """

    state: str
    load: float


class HealthReporter:
    """Builds health answers with a lag and with overridden fields.

    Args:
      lag_s: Greatest age of an answer in seconds.
    """

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._overrides: dict[str, Any] = {}
        self._report: HealthReport | None = None
        self._reported_at = 0.0

    def discard_report(self) -> None:
        """Makes the next answer report the current state."""
        self._report = None

    def override(self, fields: Mapping[str, Any]) -> None:
        """Sets fields that replace the true values in answers."""
        self._overrides = dict(fields)

    def report(self, current: HealthReport, now: float) -> dict[str, Any]:
        """Returns the body of an answer.

        >>> reporter = HealthReporter(lag_s=5.0)
        >>> reporter.report(HealthReport('ready', 0.5), now=10.0)['state']
        'ready'
        >>> reporter.report(HealthReport('draining', 0.5), now=12.0)['state']
        'ready'

        Args:
          current: The true report.
          now: Seconds of `clocks.read_now`.
        """
        if self._report is None or now - self._reported_at >= self._lag_s:
            self._report, self._reported_at = current, now
        return {**attrs.asdict(self._report), **self._overrides}
