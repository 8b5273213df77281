"""State of a node: the versions it holds, their content and confirmations."""

from collections.abc import Mapping
from typing import Any

import attrs

from jayseam.distribution import confirmations
from jayseam.distribution import exchange
from jayseam.distribution import fetching
from jayseam.distribution import messages
from jayseam.distribution import parts
from jayseam.distribution import versions
from jayseam.presets import model


@attrs.frozen
class Snapshot:
    """The configuration in force at a node, an immutable value.

    Attributes:
      preset: Preset in force, None before the first. It includes the upstreams
        that the VM list names.
      preset_version: Version of the preset, zero before the first.
      keys: Key set in force, None before the first.
      keys_version: Version of the key set, zero before the first.
      vms: VM list, None before the first.
      vms_version: Version of the VM list, zero before the first.
      published: The preset as operators published it, without the upstreams
        that only the VM list names.
    """

    preset: model.Preset | None = None
    preset_version: int = 0
    keys: model.KeySet | None = None
    keys_version: int = 0
    vms: model.VmList | None = None
    vms_version: int = 0
    published: model.Preset | None = None

    def replace(self, channel: str, value: Any, version: int) -> 'Snapshot':
        """Returns the snapshot with another version of a channel."""
        name = 'published' if channel == 'preset' else channel
        changed = attrs.evolve(
            self, **{name: value, f'{channel}_version': version}
        )
        if changed.published is None:
            return changed
        vms = changed.vms or model.VmList()
        preset = model.add_listed_upstreams(changed.published, vms)
        return attrs.evolve(changed, preset=preset)


@attrs.frozen
class State:
    """Everything that a swap changes, as one value that is replaced at once.

    Attributes:
      store: Versions held and rejected.
      snapshot: Configuration in force.
      caches: Parts of the versions held, by channel.
      confirmed: Confirmations by the source, by channel.
    """

    store: versions.VersionStore = versions.VersionStore()
    snapshot: Snapshot = Snapshot()
    caches: Mapping[str, parts.PartCache] = attrs.field(factory=dict)
    confirmed: Mapping[str, confirmations.ChannelConfirmations] = attrs.field(
        factory=dict
    )

    def get_cache(self, channel: str) -> parts.PartCache:
        """Returns the part cache of a channel."""
        return self.caches.get(channel, parts.PartCache())

    def get_confirmations(
        self, channel: str
    ) -> confirmations.ChannelConfirmations:
        """Returns the confirmations of a channel."""
        return self.confirmed.get(channel, confirmations.ChannelConfirmations())

    def accept(self, verified: fetching.VerifiedVersion, now: float) -> 'State':
        """Returns the state with a verified version in force.

        If the version is no longer newer, the result is this state itself.
        """
        version, channel = verified.version, verified.version.channel
        store = self.store.accept(channel, version.version, version.digest, now)
        if store is self.store:
            return self
        cache = self.get_cache(channel).replace(verified.held)
        channel_confirmations = self.get_confirmations(channel).accept(
            version.version
        )
        return State(
            store,
            self.snapshot.replace(channel, verified.value, version.version),
            {**self.caches, channel: cache},
            {**self.confirmed, channel: channel_confirmations},
        )

    def reject(self, invalid: fetching.InvalidVersion, now: float) -> 'State':
        """Returns the state with a rejection added.

        If the version is known or older, the result is this state itself.
        """
        version = invalid.version
        store = self.store.reject(
            version.channel,
            version.version,
            version.digest,
            invalid.reasons,
            now,
        )
        if store is self.store:
            return self
        return attrs.evolve(self, store=store)

    def add_confirmation(
        self, channel: str, confirmation: confirmations.Confirmation
    ) -> 'State':
        """Returns the state after a confirmation was received."""
        channel_confirmations = self.get_confirmations(channel).add(
            confirmation, self.store.version(channel)
        )
        return attrs.evolve(
            self, confirmed={**self.confirmed, channel: channel_confirmations}
        )

    def has(self, channel: str, version: int, digest: str) -> bool:
        """Returns whether a version is the one held or an older one.

        Args:
          channel: Channel of the version.
          version: Revision of the version.
          digest: Digest of the manifest, or its first characters, or empty.
        """
        held = self.store.held.get(channel)
        if held is None or version > held.version:
            return False
        return version < held.version or held.digest.startswith(digest)


def pack_channels(state: State, now: float) -> list:
    """Returns the channel states for a heartbeat or `Sync`."""
    return messages.pack_states(
        describe_channel(state, channel, now) for channel in versions.CHANNELS
    )


def describe_channel(
    state: State, channel: str, now: float
) -> messages.ChannelState:
    """Returns the version held and the age of the last confirmation."""
    channel_confirmations = state.get_confirmations(channel)
    latest, age_s = (
        channel_confirmations.latest,
        channel_confirmations.compute_age(now),
    )
    return messages.ChannelState(
        channel,
        state.store.version(channel),
        state.store.digest(channel)[: exchange.PREFIX_CHARS],
        latest.version if latest else 0,
        latest.origin if latest else '',
        latest.sequence if latest else 0,
        int((age_s or 0.0) * 1000),
    )


def answer_pull(state: State, pull: messages.Pull) -> messages.Parts:
    """Returns the parts of the version held that a peer lacks."""
    version = state.store.version(pull.channel)
    cache = state.get_cache(pull.channel)
    held = cache.held
    if version < pull.version or not version:
        return messages.Parts(pull.channel, version, '', b'', {}, True)
    # A peer that asks for missing parts of this manifest has the manifest.
    is_repeat = bool(pull.wanted) and pull.of_digest == held.digest
    selection = exchange.select_parts(
        held.order,
        cache.digests_by_manifest.get(pull.have_digest, ()),
        pull.wanted if is_repeat else (),
        {digest: len(data) for digest, data in held.compressed.items()},
    )
    return messages.Parts(
        pull.channel,
        version,
        held.digest,
        b'' if is_repeat else held.manifest,
        {digest: held.compressed[digest] for digest in selection.digests},
        selection.complete,
    )
