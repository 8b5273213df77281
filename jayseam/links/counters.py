"""Metrics of the links of this process, for the metrics endpoint."""

import prometheus_client

BYTES = prometheus_client.Counter(
    'jayseam_link_bytes',
    'Bytes of websocket frames on links, by direction and message class.',
    ['direction', 'message'],
)
CLOSES = prometheus_client.Counter(
    'jayseam_link_closes',
    'Closed links and refused connections, by reason.',
    ['reason'],
)
OPEN_LINKS = prometheus_client.Gauge(
    'jayseam_links_open', 'Authenticated links that are open.'
)

_children: dict[tuple[str, str], prometheus_client.Counter] = {}


def count_bytes(direction: str, message: str, size: int) -> None:
    """Adds ``size`` bytes to the counter of a direction and message class.

    The labelled counters are cached in a dict, because ``labels`` validates its
    arguments on every call, which takes longer than the increment.

    Args:
      direction: ``sent`` or ``received``.
      message: Name of the message class, or ``control``.
      size: Bytes of the websocket frame.
    """
    child = _children.get((direction, message))
    if child is None:
        child = BYTES.labels(direction, message)
        _children[direction, message] = child
    child.inc(size)
