"""Watches of the three channels at the source."""

import math
import random
from collections.abc import Callable, Collection
from typing import Any

import attrs
import gevent
from gevent import event

from jayseam.core import clocks
from jayseam.core import digests
from jayseam.core import logs
from jayseam.core import loops
from jayseam.core import versionnumbers
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.presets import schemas
from jayseam.source import backoff
from jayseam.source import client as source_client
from jayseam.source import errors

CHANNELS = ('preset', 'keys', 'vms')
_log = logs.get_logger(__name__)


@attrs.frozen
class SourceUpdate:
    """A version that the source offers.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Revision at the source.
      digest: Digest of the manifest; of the raw reply if it is invalid.
      bundle: The content itself, for the VM list, which is not stored in
        parts at the source.
      reasons: Reasons why the reply can't be used; empty if it can.
    """

    channel: str
    version: int
    digest: str
    bundle: documents.Bundle | None = None
    reasons: tuple[str, ...] = ()


@attrs.frozen
class SourceConfirmation:
    """The source's statement that a version is its newest.

    Attributes:
      channel: ``preset``, ``keys`` or ``vms``.
      version: Version confirmed.
      confirmed_at: Time at which the version certainly was the newest, in
        seconds.
    """

    channel: str
    version: int
    confirmed_at: float


@attrs.frozen
class KnownVms:
    """The VM list that a node holds when it becomes a reader.

    Attributes:
      confirmed_at: Time of its last confirmation, in seconds; None without one.
      live_vms: VMs that are live in it.
    """

    confirmed_at: float | None = None
    live_vms: frozenset[str] = frozenset()


@attrs.frozen
class KnownVersion:
    """The greatest version of a channel that a reader knows.

    Attributes:
      version: Version; zero if there is none.
      digest: Digest of its content; empty if it isn't known.
    """

    version: int
    digest: str = ''


NO_VERSION = KnownVersion(0)


@attrs.frozen
class OutageGrace:
    """Grace period for entries that a VM list lost in an outage of the source.

    Backend servers that could not renew their entries during the outage are
    missing from the list for a moment, although they are running.

    Attributes:
      lapse_s: Time without a confirmation after which entries may have expired,
        in seconds.
      grace_s: Time within which entries may reappear, in seconds.
    """

    lapse_s: float = math.inf
    grace_s: float = 0.0

    def compute_end(self, silent_s: float, now: float) -> float:
        """Returns the time until which expired entries may reappear.

        Args:
          silent_s: Seconds between the last two confirmations of the list.
          now: Present time in seconds.
        """
        return now + self.grace_s if silent_s >= self.lapse_s else -math.inf


def compute_grace(
    grace_until: float,
    previous_live: Collection[str],
    listed: Collection[str],
    now: float,
) -> float:
    """Returns the seconds after which the VM list is read again, or zero.

    >>> grace = OutageGrace(lapse_s=4.5, grace_s=1.5)
    >>> grace_until = grace.compute_end(silent_s=5.0, now=100.0)
    >>> compute_grace(grace_until, {'vm-1', 'vm-2'}, {'vm-1'}, now=101.0)
    0.5
    >>> compute_grace(grace_until, {'vm-1'}, {'vm-1', 'vm-3'}, now=101.0)
    0.0

    Args:
      grace_until: End of the grace period, in seconds.
      previous_live: VMs that were live in the previous list.
      listed: All VMs of the new list.
      now: Present time in seconds.
    """
    if set(previous_live) <= set(listed):
        return 0.0
    return max(0.0, grace_until - now)


@attrs.frozen
class ReadOutcome:
    """The meaning of one reply of the source.

    Attributes:
      update: A newer version, if any.
      confirmation: A confirmation, if any.
      is_behind: Whether the replica has an older version than one seen before.
    """

    update: SourceUpdate | None = None
    confirmation: SourceConfirmation | None = None
    is_behind: bool = False


def interpret_reply(
    channel: str, after: int | None, wait_s: float, reply: source_client.Reply
) -> ReadOutcome:
    """Interprets a reply to a reader that has seen the version ``after``.

    A 304 reply confirms the version at the end of the wait or at the receipt of
    the reply, whichever is earlier. The later time is not used because a
    process that was paused would count the pause as confirmed time.

    Args:
      channel: Channel that was read.
      after: Greatest version seen; None at the first read.
      wait_s: Time that the request allowed the source to wait, in seconds.
      reply: Reply of the source.
    """
    if reply.body is None:
        if reply.revision is not None and reply.revision != after:
            return ReadOutcome(is_behind=True)
        elapsed_s = reply.received_at - reply.requested_at
        confirmed_at = reply.requested_at + min(wait_s, elapsed_s)
        return ReadOutcome(
            confirmation=SourceConfirmation(channel, after, confirmed_at)
        )
    if after is not None and reply.revision < after:
        return ReadOutcome(is_behind=True)
    confirmation = SourceConfirmation(
        channel, reply.revision, reply.requested_at
    )
    return ReadOutcome(_parse_update(channel, reply), confirmation)


def read_channel(
    client: source_client.SourceClient,
    channel: str,
    after: int | None = None,
    wait_s: float = 0.0,
    after_digest: str = '',
) -> ReadOutcome:
    """Reads a channel once, or waits for a version newer than ``after``.

    Raises:
      SourceError: If the source gave no valid reply.
    """
    if channel == 'vms':
        reply = client.read_vms(after, wait_s, after_digest)
    else:
        key = f'channels/{channel}'
        reply = client.read_value(key, after, wait_s, after_digest)
    return interpret_reply(channel, after, wait_s, reply)


class SourceWatcher:
    """Watches one channel in a greenlet of its own.

    After a failed read, the watcher backs off with full jitter. After any other
    read it goes on at the pace that the source allows, because a change may
    follow at any time. The source answers the first read without a wait, so a
    held version is confirmed immediately. While another channel is read with
    success, the source is there, so `wake` ends a back-off.
    """

    def __init__(
        self,
        client: source_client.SourceClient,
        channel: str,
        wait_s: float,
        on_update: Callable[[SourceUpdate], Any],
        on_confirmation: Callable[[SourceConfirmation], Any],
        read_held: Callable[[], KnownVersion],
        uniform: Callable[[], float] = random.random,
        on_failure: Callable[[str, errors.SourceError | None], Any] = (
            lambda channel, error: None
        ),
        grace: OutageGrace = OutageGrace(),
        read_known_vms: Callable[[], KnownVms] = KnownVms,
    ):
        """Prepares the watch.

        Args:
          client: Client of the source.
          channel: ``preset``, ``keys`` or ``vms``.
          wait_s: Time that one watch request may wait at the source, in
            seconds.
          on_update: Called with each newer version.
          on_confirmation: Called when the source confirms a version.
          read_held: Returns the version held, or `NO_VERSION`.
          uniform: Returns a random number in [0, 1).
          on_failure: Called with the channel and the error of a failed read,
            or None if the replica was behind.
          grace: Grace period of the VM list after an outage of the source.
          read_known_vms: Returns the VM list held, by which the first list that
            is read is checked.
        """
        self.channel = channel
        self._client = client
        self._wait_s = wait_s
        self._on_update = on_update
        self._on_confirmation = on_confirmation
        self._read_held = read_held
        self._uniform = uniform
        self._on_failure = on_failure
        self._grace = grace
        self._read_known_vms = read_known_vms
        self._seen = NO_VERSION
        self._confirmed_at: float | None = None
        self._grace_until = -math.inf
        self._live_vms: frozenset[str] = frozenset()
        self._is_first = True
        self._stopping = event.Event()
        # Set while no back-off is to be waited for.
        self._awake = event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the watch."""
        self._greenlet = loops.spawn_loop(self._run)

    def stop(self) -> None:
        """Ends the watch, also while it is waiting."""
        self._stopping.set()
        self._awake.set()
        if self._greenlet is not None:
            self._greenlet.kill()

    def wake(self) -> None:
        """Ends the wait of a back-off, if there is one."""
        self._awake.set()

    def _run(self) -> None:
        retry = backoff.RetryTimer(self._uniform)
        while not self._stopping.is_set():
            try:
                pause_s = self._watch_once()
            except Exception:  # pylint: disable=broad-exception-caught
                # Nothing else would read the channel after a bug.
                _log.exception(
                    'source.watch_crashed', extra={'channel': self.channel}
                )
                pause_s = None
            if pause_s is None:
                self._back_off(retry)
                continue
            retry.succeed()
            if pause_s:
                self._stopping.wait(pause_s)

    def _back_off(self, retry: backoff.RetryTimer) -> None:
        """Waits after a failed read, at most until another channel is read."""
        self._awake.clear()
        wait_s = retry.fail(clocks.read_now())
        if self._stopping.is_set():
            return
        was_woken = self._awake.wait(wait_s)
        _log.info(
            'source.backed_off',
            extra={
                'channel': self.channel,
                'failures': retry.failures,
                'wait_s': round(wait_s, 3),
                'was_woken': was_woken,
            },
        )

    def _watch_once(self) -> float | None:
        """Reads once.

        Returns:
          Seconds until the next read; None if this one failed.
        """
        # A version that was seen but rejected or not fetched yet counts too;
        # otherwise the source would send it again without a wait.
        known = max(self._read_held(), self._seen, key=lambda k: k.version)
        after = known.version or None
        wait_s = 0.0 if self._is_first else self._wait_s
        requested_at = clocks.read_now()
        try:
            outcome = read_channel(
                self._client, self.channel, after, wait_s, known.digest
            )
        except errors.SourceError as error:
            _log.warning(
                'source.read_failed',
                extra={'channel': self.channel, 'error': str(error)},
            )
            self._on_failure(self.channel, error)
            return None
        if outcome.is_behind:
            _log.warning('source.behind', extra={'channel': self.channel})
            self._on_failure(self.channel, None)
            return None
        self._is_first = False
        if grace_s := self._update_grace(outcome, clocks.read_now()):
            return grace_s
        self._notify(outcome, known)
        update = outcome.update
        if update is not None and update.version > (after or 0):
            return 0.0
        interval_s = min(wait_s, self._client.min_read_interval_s)
        return max(0.0, requested_at + interval_s - clocks.read_now())

    def _update_grace(self, outcome: ReadOutcome, now: float) -> float:
        """Records a confirmation and checks a VM list for missing entries.

        Returns:
          Seconds after which the VM list is to be read again; zero if the list
          is used as it is.
        """
        confirmation, update = outcome.confirmation, outcome.update
        if confirmation is None:
            return 0.0
        if self._confirmed_at is None:
            known = self._read_known_vms()
            self._confirmed_at = known.confirmed_at
            self._live_vms = known.live_vms
        last_at = self._confirmed_at or confirmation.confirmed_at
        silent_s = confirmation.confirmed_at - last_at
        self._confirmed_at = confirmation.confirmed_at
        self._grace_until = max(
            self._grace_until, self._grace.compute_end(silent_s, now)
        )
        if update is None or update.bundle is None:
            return 0.0
        listed = _read_vm_states(update.bundle)
        grace_s = compute_grace(self._grace_until, self._live_vms, listed, now)
        if grace_s:
            _log.info(
                'source.returned',
                extra={
                    'channel': self.channel,
                    'version': versionnumbers.shorten(update.version),
                    'missing': sorted(self._live_vms.difference(listed)),
                    'grace_s': grace_s,
                },
            )
        else:
            self._live_vms = frozenset(
                vm for vm, state in listed.items() if state == 'live'
            )
        return grace_s

    def _notify(self, outcome: ReadOutcome, known: KnownVersion) -> None:
        update = outcome.update
        if update is not None:
            seen = KnownVersion(update.version, update.digest)
            self._seen = max(known, seen, key=lambda k: k.version)
            self._on_update(update)
        if outcome.confirmation is not None:
            self._on_confirmation(outcome.confirmation)


def _read_vm_states(bundle: documents.Bundle) -> dict[str, Any]:
    """Returns the state of each VM of a VM list, which may be malformed."""
    return {
        entry['vm']: entry.get('state')
        for part in bundle.parts.values()
        for entry in documents.decode_list(part)
        if isinstance(entry.get('vm'), str)
    }


def _parse_update(channel: str, reply: source_client.Reply) -> SourceUpdate:
    try:
        value = documents.decode_json(reply.body)
        if channel == 'vms':
            bundle = documents.split_vms(_keep_known_fields(value))
            return SourceUpdate(channel, reply.revision, bundle.digest, bundle)
        return SourceUpdate(channel, reply.revision, _parse_pointer(value))
    except preset_errors.PresetRejectedError as error:
        digest = digests.compute_digest(reply.body)
        reasons = tuple(error.reasons)
        return SourceUpdate(channel, reply.revision, digest, None, reasons)


def _parse_pointer(value: Any) -> str:
    digest = value.get('manifest') if isinstance(value, dict) else None
    if not documents.is_digest(digest):
        raise preset_errors.PresetRejectedError(['pointer: no manifest digest'])
    return digest


def _keep_known_fields(value: Any) -> Any:
    """Drops VM fields that a later release of the platform may add."""
    if not isinstance(value, dict) or not isinstance(value.get('vms'), list):
        raise preset_errors.PresetRejectedError(['vms: not a list'])
    known = schemas.FIELDS['vms']
    return {
        'vms': [
            {k: v for k, v in item.items() if k in known}
            if isinstance(item, dict)
            else item
            for item in value['vms']
        ]
    }
