"""Metrics of the call path."""

import prometheus_client

# The 1.7 ms bound is the target for the latency that the proxy adds; the upper
# bounds cover the longest timeouts.
_BUCKETS_S = (
    0.001,
    0.0017,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
_histograms: dict[tuple[str, str], prometheus_client.Histogram] = {}

CALL_SECONDS = prometheus_client.Histogram(
    'jayseam_call_seconds',
    'Time from the whole request to its answer, by workspace and outcome',
    ('workspace', 'outcome'),
    buckets=_BUCKETS_S,
)
REFUSALS = prometheus_client.Counter(
    'jayseam_refusals', 'Answers without a result, by code', ('code',)
)
PAUSES = prometheus_client.Counter(
    'jayseam_pauses', 'Pauses of the process that were noticed'
)
CANCELLATIONS_RESENT = prometheus_client.Counter(
    'jayseam_cancellations_resent',
    'Cancellations for which a link had to be opened, by whether one took them',
    ('sent',),
)


def observe_call(workspace: str, outcome: str, elapsed_s: float) -> None:
    """Records the duration of a call by workspace and outcome.

    The labelled histograms are cached because ``labels`` validates its
    arguments on every call.
    """
    histogram = _histograms.get((workspace, outcome))
    if histogram is None:
        histogram = CALL_SECONDS.labels(workspace, outcome)
        _histograms[workspace, outcome] = histogram
    histogram.observe(elapsed_s)
