"""A node's mirror of the store, and the channels derived from the mirror."""

import functools
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jayseam.core import logs
from jayseam.platform import configurations
from jayseam.platform import entries
from jayseam.platform import errors
from jayseam.platform import positions
from jayseam.platform import store
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors
from jayseam.presets import itemcaches
from jayseam.presets import verification

CONFIGURATION_KEY = 'op/config'
_EVACUATION_PREFIX = 'op/evacuate/'
_SERVER_PREFIX = 'servers/'
_LEAVING = 'leaving'
_MAX_LOGGED_REASONS = 5

_log = logs.get_logger(__name__)


@attrs.frozen
class DeploymentFacts:
    """Facts about the deployment that the store doesn't contain.

    Attributes:
      regions: Region of each availability zone.
      link_port: Port of the link listeners, the same on all VMs.
      has_workspaces: Whether callers belong to workspaces. If not, and if the
        configuration names none, calls need no key.
    """

    regions: Mapping[str, str]
    link_port: int
    has_workspaces: bool = True


@attrs.frozen
class Channel:
    """A version of a channel, derived from the store.

    Attributes:
      version: Version of the content; see `positions`.
      bundle: Manifest and parts of the content.
      as_of: Version of the latest state of the store that is known to have this
        content; zero while the store has other content.
      confirmed_at: Latest time at which the store is known to have had this
        content, in seconds.
      is_exact: Whether all nodes derive this content from that state. If not,
        some of it comes from what this node knew before.
    """

    version: int
    bundle: documents.Bundle
    as_of: int = attrs.field(eq=False)
    confirmed_at: float = attrs.field(eq=False)
    is_exact: bool = attrs.field(default=True, eq=False)

    def confirms(self, version: int) -> bool:
        """Returns whether the store has nothing newer than a version.

        A version above the own one has the same content, unless it is outdated;
        see `outdates`.
        """
        return self.version <= version <= self.as_of

    def outdates(self, version: int, digest: str) -> bool:
        """Returns whether a greater version has content that has changed back.

        Another node has read the store while it had other content, between two
        reads of this node.

        Args:
          version: Version that another node may have published.
          digest: Digest of its content; empty if it isn't known.
        """
        return (
            self.is_exact
            and self.version < version < self.as_of
            and digest not in ('', self.bundle.digest)
        )


@attrs.frozen
class Mirror:
    """A local copy of the store's content.

    Attributes:
      items: Items by key.
      revision: Revision of the store that the mirror represents.
      confirmed_at: Latest time at which the mirror is known to have been up to
        date, in seconds.
      era: Number of the store's lifetime in which it has this revision.
      is_settled: Whether the items are all as the store has them; see
        `RestoredEntries`.
    """

    items: Mapping[str, store.Item]
    revision: int
    confirmed_at: float
    era: int = 0
    is_settled: bool = True

    @property
    def position(self) -> positions.Position:
        """State of the store that the mirror represents."""
        return positions.Position(
            self.era, revision=self.revision, is_settled=self.is_settled
        )


def build_mirror(listing: store.Listing) -> Mirror:
    """Returns the mirror that contains a listing of all keys."""
    items = {item.key: item for item in listing.items}
    return Mirror(items, listing.revision, listing.requested_at, listing.era)


def apply_changes(
    mirror: Mirror, changes: store.Changes, wait_s: float
) -> Mirror:
    """Returns the mirror after a watch request.

    A reply without events confirms the mirror up to the end of the wait, or up
    to the arrival of the reply if the reply arrived earlier. The later of both
    times is not used, because a paused process would then count the pause as
    confirmed time.

    Args:
      mirror: The mirror before the request.
      changes: Reply to the request.
      wait_s: Wait that the request allowed the store, in seconds.
    """
    items = dict(mirror.items)
    for event in changes.events:
        current = items.get(event.key)
        if current is not None and current.revision > event.revision:
            # A later page of the listing already contained a newer state.
            continue
        if isinstance(event, store.Item):
            items[event.key] = event
        else:
            items.pop(event.key, None)
    confirmed_at = changes.requested_at
    if not changes.events:
        elapsed_s = changes.received_at - changes.requested_at
        confirmed_at += min(wait_s, elapsed_s)
    revision = max(mirror.revision, changes.revision)
    return Mirror(
        items, revision, max(mirror.confirmed_at, confirmed_at), mirror.era
    )


@attrs.frozen
class RestoredEntries:
    """Entries of servers that a restored store has brought back.

    A copy holds live entries of servers that have left since, or that are
    leaving. They last until their leases end, but only a server that is running
    writes its entry again, with another sequence number.

    Attributes:
      known: Items by key before the restore.
      copied: Items by key as they were found after it.
      until: Time from which all items count as the store has them, in seconds.
    """

    known: Mapping[str, store.Item]
    copied: Mapping[str, store.Item]
    until: float

    def correct(self, mirror: Mirror, now: float) -> Mirror:
        """Returns the mirror with what was known in place of such entries."""
        if now >= self.until:
            return mirror
        items = dict(mirror.items)
        for key in filter(self._is_outdated, self.copied):
            current = items.get(key)
            if current is None or current.value != self.copied[key].value:
                continue
            if key in self.known:
                items[key] = self.known[key]
            else:
                del items[key]
        return attrs.evolve(mirror, items=items, is_settled=False)

    def _is_outdated(self, key: str) -> bool:
        """Returns whether calls could go to a server that has left since."""
        if not key.startswith(_SERVER_PREFIX):
            return False
        copied = _find_entry(self.copied[key])
        if copied is None or copied.state == _LEAVING:
            return False
        known = _find_entry(self.known.get(key))
        return (
            known is None
            or known.state == _LEAVING
            or known.started_wall_ms > copied.started_wall_ms
        )


def _find_entry(item: store.Item | None) -> entries.ServerEntry | None:
    """Returns the entry of an item; None if it names no server."""
    if item is None:
        return None
    try:
        return _decode_server(item)
    except errors.ValueFormatError:
        # The translator logs the reason.
        return None


class Translator:
    """Derives channels from mirrors of the store.

    A channel keeps its version until its content changes. An invalid value is
    logged once. An invalid configuration leaves its channels unchanged, and so
    does one with a lower number than the last one, which comes from a copy of
    the store; neither confirms what is in force. An invalid entry of a backend
    server is left out of the VM list.

    Args:
      deployment_facts: Facts that the store doesn't contain.
      yield_control: Called often while a configuration is verified, to let
        other greenlets run.
    """

    def __init__(
        self,
        deployment_facts: DeploymentFacts,
        yield_control: Callable[[], None] = documents.never_yield,
    ):
        self._deployment_facts = deployment_facts
        self._yield_control = yield_control
        self._valid_preset_items = itemcaches.ValidItemCache()
        self._valid_key_items = itemcaches.ValidItemCache()
        self._channels: dict[str, Channel] = {}
        self._last_inputs: dict[str, Any] = {}
        self._number = -1
        # Services of the configuration that was translated last.
        self._services: frozenset[str] = frozenset()
        self._logged_revisions: dict[str, tuple[int, int]] = {}
        # The last unexpected error of each step that failed.
        self._logged_crashes: dict[str, str] = {}

    def translate(self, mirror: Mirror) -> Mapping[str, Channel]:
        """Returns the channels derived from a mirror, by name."""
        is_configured = self._run_step(self._update_configuration, mirror)
        if is_configured:
            as_of = positions.encode_version(self._number, mirror.position)
            self._confirm_channel('preset', as_of, mirror.confirmed_at)
            self._confirm_channel('keys', as_of, mirror.confirmed_at)
        else:
            self._withdraw_confirmation('preset')
            self._withdraw_confirmation('keys')
        if self._run_step(self._update_vms, mirror):
            position = mirror.position.encode()
            # The list depends on the services of the configuration in force.
            is_exact = mirror.is_settled and is_configured
            self._confirm_channel(
                'vms', position, mirror.confirmed_at, is_exact
            )
        else:
            self._withdraw_confirmation('vms')
        return dict(self._channels)

    def _run_step(
        self, update: Callable[[Mirror], bool], mirror: Mirror
    ) -> bool:
        """Runs one step; returns whether its channels have what the store has.

        An unexpected error must not keep the other step from being done. The
        next translation tries the step again.
        """
        name = update.__name__
        try:
            is_current = update(mirror)
        except Exception as error:  # pylint: disable=broad-exception-caught
            if self._logged_crashes.get(name) != repr(error):
                self._logged_crashes[name] = repr(error)
                _log.exception(
                    'platform.translation_crashed',
                    extra={'step': name, 'revision': mirror.revision},
                )
            return False
        self._logged_crashes.pop(name, None)
        return is_current

    def renew_version(self, name: str) -> Mapping[str, Channel]:
        """Returns the channels after one was published again.

        Its version becomes that of the latest state of the store that is known
        to have its content, and thereby greater than all outdated ones.

        Args:
          name: Name of the channel.
        """
        current = self._channels[name]
        self._channels[name] = attrs.evolve(current, version=current.as_of)
        return dict(self._channels)

    def withdraw_confirmations(self) -> Mapping[str, Channel]:
        """Returns the channels as a store that lacks their content has them."""
        for name in self._channels:
            self._withdraw_confirmation(name)
        return dict(self._channels)

    def _update_configuration(self, mirror: Mirror) -> bool:
        """Returns whether the channels have the store's configuration."""
        item = mirror.items.get(CONFIGURATION_KEY)
        evacuated = frozenset(
            key[len(_EVACUATION_PREFIX) :]
            for key in mirror.items
            if key.startswith(_EVACUATION_PREFIX)
        )
        if item is None:
            return False
        inputs = (mirror.era, item, evacuated)
        if self._last_inputs.get('preset') == inputs:
            return self._last_inputs['is_current']
        try:
            translated = configurations.decode_configuration(
                item.value,
                self._deployment_facts.regions,
                evacuated,
                self._deployment_facts.has_workspaces,
            )
            self._verify(translated)
            is_current = self._apply_configuration(translated, item, mirror)
        except errors.ValueFormatError as error:
            self._log_invalid_value(item, mirror.era, error)
            is_current = False
        self._last_inputs['preset'] = inputs
        self._last_inputs['is_current'] = is_current
        return is_current

    def _update_vms(self, mirror: Mirror) -> bool:
        """Returns whether the channel has the VM list of the store."""
        servers = tuple(
            item
            for key, item in sorted(mirror.items.items())
            if key.startswith(_SERVER_PREFIX)
        )
        inputs = (servers, self._services)
        if self._last_inputs.get('vms') != inputs:
            vms = self._list_vms(servers, mirror.era)
            self._update_channel(
                'vms',
                mirror.position.encode(),
                documents.split_vms({'vms': vms}),
                mirror.confirmed_at,
            )
            self._last_inputs['vms'] = inputs
        return True

    def _verify(self, translated: configurations.Documents) -> None:
        """Checks that nodes will put both documents in force.

        Otherwise they would use the routes of one version with the keys of
        another.

        Raises:
          ValueFormatError: If nodes would reject one of the documents.
        """
        try:
            verification.verify_preset(
                translated.preset, self._yield_control, self._valid_preset_items
            )
            verification.verify_keys(
                translated.keys, self._yield_control, self._valid_key_items
            )
        except preset_errors.PresetRejectedError as error:
            raise errors.ValueFormatError(
                '; '.join(error.reasons[:_MAX_LOGGED_REASONS])
            ) from error

    def _apply_configuration(
        self,
        translated: configurations.Documents,
        item: store.Item,
        mirror: Mirror,
    ) -> bool:
        """Updates the channels unless the configuration is an older one."""
        number = translated.number
        is_current = number >= self._number
        _log.info(
            'platform.configuration_read'
            if is_current
            else 'platform.configuration_outdated',
            extra={
                'number': number,
                'known_number': self._number,
                'era': mirror.era,
                'revision': item.revision,
                'left_out': list(translated.omissions[:_MAX_LOGGED_REASONS]),
            },
        )
        if not is_current:
            return False
        preset_version = positions.encode_version(number, mirror.position)
        keys_version = positions.encode_version(
            number, positions.Position(mirror.era, revision=item.revision)
        )
        self._number = number
        self._services = frozenset(
            service['name'] for service in translated.preset['services']
        )
        self._update_channel(
            'preset',
            preset_version,
            translated.preset_bundle,
            mirror.confirmed_at,
        )
        self._update_channel(
            'keys', keys_version, translated.keys_bundle, mirror.confirmed_at
        )
        return True

    def _update_channel(
        self,
        channel: str,
        version: int,
        bundle: documents.Bundle,
        confirmed_at: float,
    ) -> None:
        current = self._channels.get(channel)
        if current is None or current.bundle.digest != bundle.digest:
            self._channels[channel] = Channel(
                version, bundle, version, confirmed_at
            )

    def _confirm_channel(
        self,
        channel: str,
        as_of: int,
        confirmed_at: float,
        is_exact: bool = True,
    ) -> None:
        current = self._channels.get(channel)
        if current is not None:
            self._channels[channel] = attrs.evolve(
                current,
                as_of=as_of,
                confirmed_at=confirmed_at,
                is_exact=is_exact,
            )

    def _withdraw_confirmation(self, channel: str) -> None:
        """Keeps a channel from being confirmed until the next translation."""
        current = self._channels.get(channel)
        if current is not None:
            self._channels[channel] = attrs.evolve(current, as_of=0)

    def _list_vms(self, servers: tuple[store.Item, ...], era: int) -> list[Any]:
        """Returns the items of the VM list: one entry of each VM."""
        newest: dict[str, entries.ServerEntry] = {}
        for item in servers:
            try:
                entry = _decode_server(item)
                if entry.zone not in self._deployment_facts.regions:
                    raise errors.ValueFormatError(f'unknown zone {entry.zone}')
                self._build_vm_item(entry)
            except errors.ValueFormatError as error:
                self._log_invalid_value(item, era, error)
                continue
            other = newest.get(entry.host)
            if other is None or self._rank(entry) >= self._rank(other):
                newest[entry.host] = entry
        return [self._build_vm_item(entry) for entry in newest.values()]

    def _rank(self, entry: entries.ServerEntry) -> tuple[bool, int]:
        """Returns the rank of an entry among those with the same address.

        An entry of a service that the configuration doesn't name must not
        displace a server that gets calls.
        """
        return entry.service in self._services, entry.started_wall_ms

    def _build_vm_item(self, entry: entries.ServerEntry) -> Mapping[str, Any]:
        facts = self._deployment_facts
        return _build_vm_item(entry, facts.regions[entry.zone], facts.link_port)

    def _log_invalid_value(
        self, item: store.Item, era: int, error: object
    ) -> None:
        if self._logged_revisions.get(item.key) == (era, item.revision):
            return
        self._logged_revisions[item.key] = (era, item.revision)
        _log.warning(
            'platform.value_unreadable',
            extra={
                'key': item.key,
                'revision': item.revision,
                'error': str(error),
            },
        )


@functools.lru_cache(maxsize=2048)
def _build_vm_item(
    entry: entries.ServerEntry, region: str, link_port: int
) -> Mapping[str, Any]:
    """Returns the item of the VM list for an entry.

    Raises:
      ValueFormatError: If a VM list with this item would be rejected as a
        whole.
    """
    # The IP address is the only identifier of a VM that is known to its own
    # node and to all other nodes. It also serves as the upstream's name.
    item = {
        'vm': entry.host,
        'upstream': entry.host,
        'zone': entry.zone,
        'region': region,
        'host': entry.host,
        'port': link_port,
        'state': entry.state,
        'service': entry.service,
        'slots': entry.slots,
        'instance': entry.instance,
        'cold': entry.cold,
    }
    try:
        documents.split_vms({'vms': [item]})
        verification.verify_vms({'vms': [item]})
    except preset_errors.PresetRejectedError as error:
        raise errors.ValueFormatError('; '.join(error.reasons)) from error
    return item


@functools.lru_cache(maxsize=2048)
def _decode_server(item: store.Item) -> entries.ServerEntry:
    return entries.decode_entry(item.key[len(_SERVER_PREFIX) :], item.value)
