"""Describes the state of the distribution for the status page."""

from typing import Any

from jayseam.core import versionnumbers
from jayseam.distribution import messages
from jayseam.distribution import rejections
from jayseam.distribution import states
from jayseam.distribution import version_memory


def describe_channel(
    state: states.State,
    channel: str,
    memory: version_memory.Memory,
    reports: rejections.RejectionReports,
    open_offers: int,
    now: float,
) -> dict[str, Any]:
    """Returns the state of a channel as JSON values.

    Args:
      state: State of the node.
      channel: The channel.
      memory: The fleet's memory of versions; see `version_memory`.
      reports: Rejections that this node and its peers reported.
      open_offers: Number of holders with an open offer.
      now: Current time in seconds.
    """
    confirmed = state.get_confirmations(channel)
    version = state.store.version(channel)
    is_confirmed = (
        confirmed.latest is not None and confirmed.latest.version == version
    )
    return {
        'version': versionnumbers.shorten(version),
        'digest': state.store.digest(channel),
        'unconfirmed': not (is_confirmed and memory.is_trusted(now)),
        'confirmation_age_s': confirmed.compute_age(now),
        'cached_bytes': state.get_cache(channel).count_bytes(),
        'open_offers': open_offers,
        'rejected': _describe_rejected(state, channel, reports),
    }


def _describe_rejected(state, channel, reports) -> list[dict[str, Any]]:
    """Returns the own rejections, then those that only peers reported."""
    own = [
        rejections.build_report(
            channel, item.version, item.digest, item.reasons
        )
        for item in state.store.rejections.get(channel, ())
    ]
    known = {(report.version, report.digest) for report in own}
    reported = [
        report
        for report in reports.list_for(channel)
        if (report.version, report.digest) not in known
        and report.version > state.store.version(channel)
    ]
    return [_describe_report(report) for report in own + reported]


def _describe_report(report: messages.Rejection) -> dict[str, Any]:
    return {
        'version': versionnumbers.shorten(report.version),
        'digest': report.digest,
        'reasons': list(report.reasons),
        'n_reasons': report.n_reasons,
    }
