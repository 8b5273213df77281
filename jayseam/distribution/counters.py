"""Prometheus metrics of distribution."""

import prometheus_client

from jayseam.distribution import versions


class Counters:
    """The metrics of one node's distribution.

    Attributes:
      offers: Versions offered, by channel and verdict.
      swaps: Versions put in force, by channel.
      rejections: Versions that failed verification, by channel.
      pulls: Pulls, by channel, holder (``peer`` or ``source``) and result.
      corrupt_parts: Parts that differ from their digest, by channel.
      source_failures: Failed reads of the source, by channel and error.
      version: Version held, by channel.
      confirmation_age: Seconds since the source last confirmed a channel, by
        channel; NaN before the first confirmation.
      verify_seconds: Time from a complete download to the result of the
        verification, by channel.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        def create_counter(name, text, *labels):
            return prometheus_client.Counter(
                f'jayseam_distribution_{name}',
                text,
                ('channel', *labels),
                registry=registry,
            )

        self.offers = create_counter('offers', 'Offered versions', 'verdict')
        self.swaps = create_counter('swaps', 'Versions put in force')
        self.rejections = create_counter(
            'rejections', 'Versions that are invalid'
        )
        self.pulls = create_counter('pulls', 'Pulls', 'holder', 'result')
        self.corrupt_parts = create_counter(
            'corrupt_parts', 'Parts with wrong digests'
        )
        self.source_failures = create_counter(
            'source_failures', 'Failed reads of the source', 'error'
        )
        self.version = prometheus_client.Gauge(
            'jayseam_distribution_version',
            'Version held',
            ('channel',),
            registry=registry,
        )
        self.confirmation_age = prometheus_client.Gauge(
            'jayseam_distribution_confirmation_age_seconds',
            'Time since the source confirmed the channel',
            ('channel',),
            registry=registry,
        )
        self.verify_seconds = prometheus_client.Histogram(
            'jayseam_distribution_verify_seconds',
            'Time from a complete download to the verdict',
            ('channel',),
            registry=registry,
        )
        for channel in versions.CHANNELS:
            self.version.labels(channel).set(0)
