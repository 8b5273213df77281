"""A node's mirror of the store, and the channels derived from the mirror."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs

from jayseam.core import logs
from jayseam.platform import configurations
from jayseam.platform import entries
from jayseam.platform import errors
from jayseam.platform import store
from jayseam.presets import documents

CONFIGURATION_KEY = 'op/config'
_EVACUATION_PREFIX = 'op/evacuate/'
_SERVER_PREFIX = 'servers/'

_log = logs.get_logger(__name__)


@attrs.frozen
class DeploymentFacts:
    """Facts about the deployment that the store doesn't contain.

    Attributes:
      regions: Region of each availability zone.
      link_port: Port of the link listeners, the same on all VMs.
    """

    regions: Mapping[str, str]
    link_port: int


@attrs.frozen
class Channel:
    """A version of a channel, derived from the store.

    Attributes:
      version: Revision of the store at which the content last changed.
      bundle: Manifest and parts of the content.
    """

    version: int
    bundle: documents.Bundle


@attrs.frozen
class Mirror:
    """A local copy of the store's content.

    Attributes:
      items: Items by key.
      revision: Revision of the store that the mirror represents.
      confirmed_at: Latest time at which the mirror is known to have been up to
        date, in seconds.
      era: Number of the store's lifetime in which it has this revision.
    """

    items: Mapping[str, store.Item]
    revision: int
    confirmed_at: float
    era: int = 0


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


class Translator:
    """Derives channels from mirrors of the store.

    A channel keeps its version until its content changes. An invalid value is
    logged once. An invalid configuration leaves its channels unchanged; an
    invalid entry of a backend server is left out of the VM list.

    Args:
      deployment_facts: Facts that the store doesn't contain.
    """

    def __init__(self, deployment_facts: DeploymentFacts):
        self._deployment_facts = deployment_facts
        self._channels: dict[str, Channel] = {}
        self._last_inputs: dict[str, Any] = {}
        # Services of the configuration that was translated last.
        self._services: frozenset[str] = frozenset()
        self._logged_revisions: dict[str, int] = {}

    def translate(self, mirror: Mirror) -> Mapping[str, Channel]:
        """Returns the channels derived from a mirror, by name."""
        self._update_configuration(mirror)
        servers = tuple(
            item
            for key, item in sorted(mirror.items.items())
            if key.startswith(_SERVER_PREFIX)
        )
        if self._last_inputs.get('vms') != (servers, self._services):
            self._last_inputs['vms'] = (servers, self._services)
            bundle = documents.split_vms({'vms': self._list_vms(servers)})
            self._update_channel('vms', mirror.revision, bundle)
        return dict(self._channels)

    def _update_configuration(self, mirror: Mirror) -> None:
        item = mirror.items.get(CONFIGURATION_KEY)
        evacuated = frozenset(
            key[len(_EVACUATION_PREFIX) :]
            for key in mirror.items
            if key.startswith(_EVACUATION_PREFIX)
        )
        if item is None or self._last_inputs.get('preset') == (item, evacuated):
            return
        self._last_inputs['preset'] = (item, evacuated)
        try:
            translated = configurations.decode_configuration(
                item.value, self._deployment_facts.regions, evacuated
            )
        except errors.ValueFormatError as error:
            self._log_invalid_value(item, error)
            return
        _log.info(
            'platform.configuration_read',
            extra={
                'number': translated.preset['name'],
                'revision': item.revision,
                'evacuated': sorted(evacuated),
                'era': mirror.era,
            },
        )
        self._services = frozenset(
            service['name'] for service in translated.preset['services']
        )
        self._update_channel(
            'preset', mirror.revision, translated.preset_bundle
        )
        self._update_channel('keys', item.revision, translated.keys_bundle)

    def _update_channel(
        self, channel: str, version: int, bundle: documents.Bundle
    ) -> None:
        current = self._channels.get(channel)
        if current is None or current.bundle.digest != bundle.digest:
            self._channels[channel] = Channel(version, bundle)

    def _list_vms(self, servers: tuple[store.Item, ...]) -> list[Any]:
        """Returns the items of the VM list: one entry of each VM."""
        newest: dict[str, entries.ServerEntry] = {}
        for item in servers:
            try:
                entry = _decode_server(item)
            except errors.ValueFormatError as error:
                self._log_invalid_value(item, error)
                continue
            if entry.zone not in self._deployment_facts.regions:
                self._log_invalid_value(item, f'unknown zone {entry.zone}')
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

    def _build_vm_item(self, entry: entries.ServerEntry) -> dict[str, Any]:
        # The IP address is the only identifier of a VM that is known to its own
        # node and to all other nodes. It also serves as the upstream's name.
        return {
            'vm': entry.host,
            'upstream': entry.host,
            'zone': entry.zone,
            'region': self._deployment_facts.regions[entry.zone],
            'host': entry.host,
            'port': self._deployment_facts.link_port,
            'state': entry.state,
            'service': entry.service,
            'slots': entry.slots,
            'instance': entry.instance,
            'cold': entry.cold,
        }

    def _log_invalid_value(self, item: store.Item, error: object) -> None:
        if self._logged_revisions.get(item.key) == item.revision:
            return
        self._logged_revisions[item.key] = item.revision
        _log.warning(
            'platform.value_unreadable',
            extra={
                'key': item.key,
                'revision': item.revision,
                'error': str(error),
            },
        )


@functools.lru_cache(maxsize=2048)
def _decode_server(item: store.Item) -> entries.ServerEntry:
    return entries.decode_entry(item.key[len(_SERVER_PREFIX) :], item.value)
