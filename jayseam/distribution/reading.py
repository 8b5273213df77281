"""Reads and watches of the source by a node that is a reader."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from jayseam.core import logs
from jayseam.distribution import exchange
from jayseam.distribution import versions
from jayseam.source import backoff
from jayseam.source import client as source_client
from jayseam.source import errors as source_errors
from jayseam.source import watchers

_log = logs.get_logger(__name__)


@attrs.frozen
class Options:
    """How nodes read the source.

    Attributes:
      readers_per_zone: Number of nodes of a zone that watch the source.
      join_wait_s: Upper bound of the first wait of a fresh node before it reads
        the source, in seconds.
      grace: Treatment of a VM list that is read after an outage of the source.
    """

    readers_per_zone: int = exchange.DEFAULT_READERS_PER_ZONE
    join_wait_s: float = backoff.DEFAULT_CAP_S
    grace: watchers.OutageGrace = watchers.OutageGrace()


class SourceReader:
    """Starts and ends the watches of the three channels."""

    def __init__(
        self,
        vm: str,
        zone: str,
        client: source_client.SourceClient | None,
        watch_wait_s: float,
        send: Callable[[Any], Any],
        read_held: Callable[[str], watchers.KnownVersion],
        count_failure: Callable[[str, Any], None],
        uniform: Callable[[], float],
        options: Options = Options(),
        read_known_vms: Callable[[], watchers.KnownVms] = watchers.KnownVms,
    ):
        """Prepares the reader.

        Args:
          vm: Name of the own VM.
          zone: Own availability zone.
          client: Client of the source; None if the node has none.
          watch_wait_s: Time that one watch request may wait at the source, in
            seconds.
          send: Called with each `SourceUpdate` and `SourceConfirmation`.
          read_held: Returns the version that the node holds of a channel, or
            `watchers.NO_VERSION`.
          count_failure: Called with the channel and the error of a failed read,
            or None if the replica was behind.
          uniform: Returns a random number in [0, 1).
          options: How the source is read.
          read_known_vms: Returns the VM list that the node holds.
        """
        self._options = options
        self._vm = vm
        self._zone = zone
        self._client = client
        self._watch_wait_s = watch_wait_s
        self._send = send
        self._read_held = read_held
        self._count_failure = count_failure
        self._uniform = uniform
        self._read_known_vms = read_known_vms
        self._watchers: list[watchers.SourceWatcher] = []
        self._rank: int | None = None

    @property
    def rank(self) -> int | None:
        """Rank among the readers of the zone; None for other nodes."""
        return self._rank if self._watchers else None

    @property
    def is_watching(self) -> bool:
        """Whether the node watches the source now."""
        return bool(self._watchers)

    @property
    def url(self) -> str | None:
        """URL of the source; None if the node has none."""
        return self._client.url if self._client else None

    def update_role(self, live_vms: Iterable[str]) -> None:
        """Starts or ends the watches when the node's role changes.

        Args:
          live_vms: Live VMs of the own zone.
        """
        if self._client is None:
            return
        rank = exchange.rank_reader(
            self._vm, self._zone, live_vms, self._options.readers_per_zone
        )
        self._rank = rank
        self._client.set_reader_rank(rank)
        if rank is not None and not self._watchers:
            _log.info('distribution.reader_started')
            self._watchers = [self._build_watcher(c) for c in versions.CHANNELS]
            for watcher in self._watchers:
                watcher.start()
        elif rank is None and self._watchers:
            _log.info('distribution.reader_stopped')
            self.stop()

    def stop(self) -> None:
        """Ends the watches."""
        ended, self._watchers = self._watchers, []
        for watcher in ended:
            watcher.stop()

    def read_once(self) -> None:
        """Reads each channel once, unless peers send it meanwhile."""
        if self._client is None:
            return
        for channel in versions.CHANNELS:
            try:
                outcome = watchers.read_channel(self._client, channel)
            except source_errors.SourceError as error:
                self._count_failure(channel, error)
                continue
            if self._read_held(channel).version:
                # The watch compares what it reads with the version held.
                continue
            self._send(outcome.update)
            self._send(outcome.confirmation)

    def _build_watcher(self, channel: str) -> watchers.SourceWatcher:
        return watchers.SourceWatcher(
            self._client,
            channel,
            self._watch_wait_s,
            self._send,
            self._handle_confirmation,
            lambda: self._read_held(channel),
            self._uniform,
            self._count_failure,
            self._options.grace,
            self._read_known_vms,
        )

    def _handle_confirmation(
        self, confirmation: watchers.SourceConfirmation
    ) -> None:
        """Lets the other channels be read again, as the source is there."""
        self._send(confirmation)
        for watcher in self._watchers:
            if watcher.channel != confirmation.channel:
                watcher.wake()
