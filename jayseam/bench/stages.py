"""A node process that measures the stages of the call path.

It runs ``jayseam-node`` with a timer around the function of each stage. Its
``/metrics`` has percentiles in microseconds since the start or the last
SIGUSR1. The timers cost a few microseconds, so all other figures are measured
on nodes without timers.

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

METRIC_NAME = 'jayseam_bench_stage_us'
PERCENTILES = (50, 99)
# The class and method that run each stage, including the later stages that
# the method calls.
STAGES: Mapping[str, tuple[type, str]] = {
    'entry': (application.CallerApplication, '__call__'),
    'judge': (entry.Entry, 'admit_request'),
    'choose': (choosers.Chooser, 'choose'),
    'link': (manager.LinkManager, 'request'),
    'ingress': (ingress.Ingress, 'handle_forward'),
    'gate': (gates.Gate, 'acquire'),
    'backend': (client.BackendClient, 'run'),
}
# Stages that run at the ingress node.
INGRESS_STAGES = frozenset(('ingress', 'gate', 'backend'))


_histograms: list[histogram.HdrHistogram] = []


def reset_histograms() -> None:
    """Empties all histograms, for example of calls during startup."""
    for durations in _histograms:
        durations.reset()


def add_timer(
    gauge: prometheus_client.Gauge, stage: str, function: Callable[..., Any]
) -> Callable[..., Any]:
    """Returns ``function`` with a timer whose percentiles a gauge shows."""
    durations = histograms.make_histogram()
    _histograms.append(durations)
    for percentile in PERCENTILES:
        gauge.labels(stage, str(percentile)).set_function(
            functools.partial(durations.get_value_at_percentile, percentile)
        )

    @functools.wraps(function)
    def timed_function(*args: Any, **options: Any) -> Any:
        start = clocks.read_now()
        try:
            return function(*args, **options)
        finally:
            elapsed_us = int((clocks.read_now() - start) * 1e6)
            if stage != 'link' or isinstance(args[2], messages.Forward):
                durations.record_value(max(1, elapsed_us))

    return timed_function


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a node with timers; returns its exit code."""
    gauge = prometheus_client.Gauge(
        METRIC_NAME, 'Time of a stage in microseconds', ('stage', 'percentile')
    )
    for stage, (owner, name) in STAGES.items():
        setattr(owner, name, add_timer(gauge, stage, getattr(owner, name)))
    gevent.signal_handler(signal.SIGUSR1, reset_histograms)
    return node_main.main(arguments)


if __name__ == '__main__':
    sys.exit(main())
