"""Verdicts of other nodes on versions that this node has not fetched.

Readers are the first to fetch a version. If they reject it they never announce
it, so the others would not know why the fleet stays on the version before.
"""

from collections.abc import Mapping

import attrs

from jayseam.distribution import messages

_MAX_REPORTS = 16
# A report is repeated with each heartbeat for this long, in seconds: a link
# that opens or breaks loses it, and operators look for it within 5 s.
REPEAT_S = 4.0
MAX_REASONS = 20
MAX_REASON_CHARS = 300


@attrs.frozen
class HeardReport:
    """A rejection and when this node first heard of it.

    Attributes:
      report: The rejection.
      heard_at: Time in seconds.
    """

    report: messages.Rejection
    heard_at: float


@attrs.frozen
class RejectionReports:
    """Rejections told by peers, the latest of each channel.

    They are shown to operators and decide nothing: a version that a peer
    rejected is still judged by its content if it is ever offered.
    """

    reports: Mapping[tuple[str, int, str], HeardReport] = attrs.field(
        factory=dict
    )

    def add(self, report: messages.Rejection, now: float) -> 'RejectionReports':
        """Returns the reports with one more; itself if it is known."""
        name = (report.channel, report.version, report.digest)
        if name in self.reports:
            return self
        kept = list(self.reports.items())[-(_MAX_REPORTS - 1) :]
        heard = HeardReport(report, now)
        return RejectionReports({**dict(kept), name: heard})

    def list_for(self, channel: str) -> list[messages.Rejection]:
        """Returns the reports on a channel, oldest first."""
        return [
            heard.report
            for heard in self.reports.values()
            if heard.report.channel == channel
        ]

    def list_to_repeat(self, now: float) -> list[messages.Rejection]:
        """Returns the reports that peers are told again, oldest first."""
        return [
            heard.report
            for heard in self.reports.values()
            if now - heard.heard_at <= REPEAT_S
        ]


def build_report(
    channel: str, version: int, digest: str, reasons: tuple[str, ...]
) -> messages.Rejection:
    """Returns the message that tells peers of a rejection, of bounded size."""
    shown = [reason[:MAX_REASON_CHARS] for reason in reasons[:MAX_REASONS]]
    return messages.Rejection(channel, version, digest, shown, len(reasons))
