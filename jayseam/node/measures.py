"""Metrics of the call path."""

import prometheus_client

# Covers the target of 1.7 ms added as well as the longest timeouts.
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
_children: dict[tuple[str, str], prometheus_client.Histogram] = {}

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


def observe_call(workspace: str, outcome: str, elapsed_s: float) -> None:
    """Adds the time of a call to the histogram of its workspace and outcome.

    The children are kept in a dict because ``labels`` validates its arguments
    on every call.
    """
    child = _children.get((workspace, outcome))
    if child is None:
        child = CALL_SECONDS.labels(workspace, outcome)
        _children[workspace, outcome] = child
    child.observe(elapsed_s)
