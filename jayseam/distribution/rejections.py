"""Reports from other nodes about versions that they have rejected.

Readers are the first to fetch a version. They never announce a version that
they reject, so without reports the other nodes would not know why the fleet
stays on the previous version.
"""

from collections.abc import Mapping

import attrs

from jayseam.distribution import messages

_MAX_REPORTS = 16
# A report is repeated with each heartbeat for this time, in seconds, because a
# link that is being opened or breaks loses it and operators expect it within
# 5 s.
REPEAT_DURATION_S = 4.0
MAX_REASONS = 20
MAX_REASON_CHARS = 300


@attrs.frozen
class ReceivedReport:
    """A rejection and the time at which this node first learned of it.

    Attributes:
      report: The rejection.
      received_at: Time of the first report, in seconds.
    """

    report: messages.Rejection
    received_at: float


@attrs.frozen
class RejectionReports:
    """The latest rejections by this node and its peers.

    The reports are only shown to operators. If a version that a peer rejected
    is offered to this node, it is fetched and verified like any other.
    """

    reports: Mapping[tuple[str, int, str], ReceivedReport] = attrs.field(
        factory=dict
    )

    def add(self, report: messages.Rejection, now: float) -> 'RejectionReports':
        """Returns the reports with a new one; itself if the report is known."""
        key = (report.channel, report.version, report.digest)
        if key in self.reports:
            return self
        kept = list(self.reports.items())[-(_MAX_REPORTS - 1) :]
        received = ReceivedReport(report, now)
        return RejectionReports({**dict(kept), key: received})

    def list_for(self, channel: str) -> list[messages.Rejection]:
        """Returns the reports on a channel, oldest first."""
        return [
            received.report
            for received in self.reports.values()
            if received.report.channel == channel
        ]

    def list_to_repeat(self, now: float) -> list[messages.Rejection]:
        """Returns the reports to send to peers again, oldest first."""
        return [
            received.report
            for received in self.reports.values()
            if now - received.received_at <= REPEAT_DURATION_S
        ]


def build_report(
    channel: str, version: int, digest: str, reasons: tuple[str, ...]
) -> messages.Rejection:
    """Returns a message of bounded size that reports a rejection to peers."""
    shown = [reason[:MAX_REASON_CHARS] for reason in reasons[:MAX_REASONS]]
    return messages.Rejection(channel, version, digest, shown, len(reasons))
