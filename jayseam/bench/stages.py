"""A node process that measures the stages of the call path.

It runs ``jayseam-node`` with timers around the functions that separate the
stages, and shows percentiles in microseconds at ``/metrics``, since the start
or the last SIGUSR1. The timers cost a few microseconds, so other figures come
from nodes without them.

>>> sorted(STAGES)[:2]
['backend', 'choose']
"""

import functools
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import gevent
import prometheus_client
from hdrh import histogram

from jayseam.admission import gates
from jayseam.backends import client
from jayseam.calls import choosers
from jayseam.calls import entry
from jayseam.calls import ingress
from jayseam.calls import messages
from jayseam.core import clocks
from jayseam.links import manager
from jayseam.node import application
from jayseam.node import main as node_main
from jayseam.tools import histograms

METRIC = 'jayseam_bench_stage_us'
PERCENTILES = (50, 99)
# The function around each stage: class and method.
STAGES: Mapping[str, tuple[type, str]] = {
    'entry': (application.CallerApplication, '__call__'),
    'judge': (entry.Entry, 'judge'),
    'choose': (choosers.Chooser, 'choose'),
    'link': (manager.LinkManager, 'request'),
    'ingress': (ingress.Ingress, 'handle_forward'),
    'gate': (gates.Gate, 'acquire'),
    'backend': (client.BackendClient, 'run'),
}
# Stages that the ingress measures.
AT_INGRESS = frozenset(('ingress', 'gate', 'backend'))


_histograms: list[histogram.HdrHistogram] = []


def forget_calls() -> None:
    """Empties all histograms, for example of the calls of a start."""
    for durations in _histograms:
        durations.reset()


def time_calls(
    gauge: prometheus_client.Gauge, stage: str, function: Callable[..., Any]
) -> Callable[..., Any]:
    """Returns ``function`` with percentiles of its durations in a gauge."""
    durations = histograms.make_histogram()
    _histograms.append(durations)
    for percentile in PERCENTILES:
        gauge.labels(stage, str(percentile)).set_function(
            functools.partial(durations.get_value_at_percentile, percentile)
        )

    @functools.wraps(function)
    def timed(*args: Any, **options: Any) -> Any:
        start = clocks.read_now()
        try:
            return function(*args, **options)
        finally:
            elapsed_us = int((clocks.read_now() - start) * 1e6)
            if stage != 'link' or isinstance(args[2], messages.Forward):
                durations.record_value(max(1, elapsed_us))

    return timed


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a node with timers; returns its exit code."""
    gauge = prometheus_client.Gauge(
        METRIC, 'Time of a stage in microseconds', ('stage', 'percentile')
    )
    for stage, (owner, name) in STAGES.items():
        setattr(owner, name, time_calls(gauge, stage, getattr(owner, name)))
    gevent.signal_handler(signal.SIGUSR1, forget_calls)
    return node_main.main(arguments)


if __name__ == '__main__':
    sys.exit(main())
