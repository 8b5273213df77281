"""What a node holds: the store of versions, their content and confirmations."""

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
    """What is in force at a node. It is replaced whole, never changed.

    Attributes:
      preset: Preset in force, None before the first. The upstreams that the
        VM list names are part of it.
      preset_version: Its version, zero before the first.
      keys: Key set in force, None before the first.
      keys_version: Its version, zero before the first.
      vms: VM list, None before the first.
      vms_version: Its version, zero before the first.
      published: The preset as operators published it.
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
    """Everything that a swap replaces, so that one assignment does it.

    Attributes:
      store: Versions held and rejected.
      snapshot: What is in force.
      caches: Parts of the versions held, by channel.
      confirmed: What is known of the source's confirmations, by channel.
    """

    store: versions.VersionStore = versions.VersionStore()
    snapshot: Snapshot = Snapshot()
    caches: Mapping[str, parts.PartCache] = attrs.field(factory=dict)
    confirmed: Mapping[str, confirmations.ChannelConfirmations] = attrs.field(
        factory=dict
    )

    def cache(self, channel: str) -> parts.PartCache:
        """Returns the parts held of a channel."""
        return self.caches.get(channel, parts.PartCache())

    def find_confirmations(
        self, channel: str
    ) -> confirmations.ChannelConfirmations:
        """Returns what is known of a channel's confirmations."""
        return self.confirmed.get(channel, confirmations.ChannelConfirmations())

    def accept(self, fetched: fetching.Fetched, now: float) -> 'State':
        """Returns the state with a verified version in force.

        It is this state itself if the version is no longer newer.
        """
        version, channel = fetched.version, fetched.version.channel
        store = self.store.accept(channel, version.version, version.digest, now)
        if store is self.store:
            return self
        cache = self.cache(channel).replace(fetched.held)
        known = self.find_confirmations(channel).accept(version.version)
        return State(
            store,
            self.snapshot.replace(channel, fetched.value, version.version),
            {**self.caches, channel: cache},
            {**self.confirmed, channel: known},
        )

    def reject(self, refused: fetching.Refused, now: float) -> 'State':
        """Returns the state that remembers a rejection.

        It is this state itself if the version is known or older.
        """
        version = refused.version
        store = self.store.reject(
            version.channel,
            version.version,
            version.digest,
            refused.reasons,
            now,
        )
        if store is self.store:
            return self
        return attrs.evolve(self, store=store)

    def hear(
        self, channel: str, confirmation: confirmations.Confirmation
    ) -> 'State':
        """Returns the state after a confirmation was heard."""
        known = self.find_confirmations(channel).hear(
            confirmation, self.store.version(channel)
        )
        return attrs.evolve(self, confirmed={**self.confirmed, channel: known})

    def has(self, channel: str, version: int, digest: str) -> bool:
        """Tells whether a version is surely of no news.

        Args:
          channel: Its channel.
          version: Its revision.
          digest: Its digest, or the first characters, or empty.
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
    """Returns the version held and the age of its confirmation."""
    known = state.find_confirmations(channel)
    latest, age_s = known.latest, known.compute_age(now)
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
    """Returns the parts that a peer lacks of the version held."""
    version = state.store.version(pull.channel)
    cache = state.cache(pull.channel)
    held = cache.held
    if version < pull.version or not version:
        return messages.Parts(pull.channel, version, '', b'', {}, True)
    # A peer that names missing parts of this manifest has the manifest.
    is_repeat = bool(pull.wanted) and pull.of_digest == held.digest
    selection = exchange.select_parts(
        held.order,
        cache.known.get(pull.have_digest, ()),
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
