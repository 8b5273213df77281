"""Immutable views of the membership."""

import functools
import types
from collections.abc import Collection, Iterable, Mapping

import attrs
import xxhash

from jayseam.membership import records

BUCKET_COUNT = 64
# A suspicion that is neither confirmed nor refuted within this time counts as
# confirmed when members are chosen, because its observer may have failed.
MAX_SUSPICION_S = 3.0

Records = tuple[records.MemberRecord, ...]


@functools.lru_cache(maxsize=8192)
def find_bucket(vm: str) -> int:
    """Returns the digest bucket of a VM."""
    return xxhash.xxh64_intdigest(vm.encode()) % BUCKET_COUNT


@attrs.frozen(slots=False)
class View:
    """The members that one node knows, rebuilt on every change.

    Attributes:
      members: Records by VM, including dead members for a retention time.
      state_since: Time at which this node saw the state change last, in
        seconds, by VM.
      buckets: XOR of the record hashes of each bucket.
      places: An object that views share while the same VMs are in the same
        zones and states. What follows from these alone can be kept.
    """

    members: Mapping[str, records.MemberRecord]
    state_since: Mapping[str, float]
    buckets: tuple[int, ...]
    places: object = attrs.field(factory=object, eq=False, repr=False)

    @functools.cached_property
    def digest(self) -> bytes:
        """Eight bytes, equal for views with the same non-dead records."""
        data = b''.join(bucket.to_bytes(8, 'big') for bucket in self.buckets)
        return xxhash.xxh64_digest(data)

    def list_zone_members(self, zone: str) -> Records:
        """Returns the members of an availability zone that are not dead."""
        return self._zones.get(zone, ())

    def list_zones(self) -> list[str]:
        """Returns the availability zones of members that are not dead."""
        return sorted(self._zones)

    def list_live_in_zone(self, zone: str) -> Records:
        """Returns the alive and suspect members of an availability zone."""
        return tuple(filter(is_live, self.list_zone_members(zone)))

    def list_service_members(self, service: str) -> Records:
        """Returns the members of a service that are not dead."""
        return self._services.get(service, ())

    def list_upstream_members(self, upstream: str) -> Records:
        """Returns the non-dead members of an upstream, the holder first."""
        return self._upstreams.get(upstream, ())

    def find_holder(self, upstream: str) -> records.MemberRecord | None:
        """Returns the member of an upstream with the highest incarnation."""
        members = self.list_upstream_members(upstream)
        return members[0] if members else None

    def list_eligible(self, now: float) -> Records:
        """Returns the members that may take new calls, alive ones first.

        Suspect members follow until ``MAX_SUSPICION_S`` after their suspicion.
        Members known only from the VM list have the backend state ``down`` and
        are left out, as are former holders of an upstream.
        """
        fresh = [
            record
            for record in self._suspects
            if now - self.state_since[record.vm] <= MAX_SUSPICION_S
        ]
        return self._alive + tuple(fresh)

    def list_live(self) -> Records:
        """Returns the alive and suspect members."""
        return self._live

    def list_bucket_members(self, bucket: int) -> Records:
        """Returns the records of a digest bucket, including dead ones."""
        return self._by_bucket.get(bucket, ())

    def update(
        self, received: Iterable[records.MemberRecord], now: float
    ) -> tuple['View', Records]:
        """Merges records; returns the new view and the changed records."""
        changes = records.merge_all(self.members, received)
        if not changes:
            return self, ()
        members, since = dict(self.members), dict(self.state_since)
        buckets = list(self.buckets)
        places: object | None = self.places
        for vm, record in changes.items():
            old = members.get(vm)
            members[vm] = record
            if old is None or old.state != record.state:
                since[vm] = now
            if old is None or _find_place(old) != _find_place(record):
                places = None
            bucket = find_bucket(vm)
            if old is not None:
                buckets[bucket] ^= records.hash_record(old)
            buckets[bucket] ^= records.hash_record(record)
        view = _build(members, since, buckets, places)
        return view, tuple(changes.values())

    def without(self, vms: Collection[str]) -> 'View':
        """Returns the view without some dead members."""
        members = {k: v for k, v in self.members.items() if k not in vms}
        since = {k: v for k, v in self.state_since.items() if k not in vms}
        return _build(members, since, self.buckets)

    @functools.cached_property
    def _live(self) -> Records:
        return tuple(filter(is_live, self.members.values()))

    @functools.cached_property
    def _eligible(self) -> Records:
        return tuple(
            record
            for record in self._live
            if record.backend in ('cold', 'ready')
            and self.find_holder(record.upstream) is record
        )

    @functools.cached_property
    def _alive(self) -> Records:
        return tuple(r for r in self._eligible if r.state == 'alive')

    @functools.cached_property
    def _suspects(self) -> Records:
        return tuple(r for r in self._eligible if r.state == 'suspect')

    @functools.cached_property
    def _zones(self) -> Mapping[str, Records]:
        return _group(self.members.values(), lambda record: record.zone)

    @functools.cached_property
    def _services(self) -> Mapping[str, Records]:
        return _group(self.members.values(), lambda record: record.service)

    @functools.cached_property
    def _upstreams(self) -> Mapping[str, Records]:
        groups = _group(self.members.values(), lambda record: record.upstream)
        return {
            name: tuple(
                sorted(group, key=lambda r: (r.incarnation, r.vm), reverse=True)
            )
            for name, group in groups.items()
        }

    @functools.cached_property
    def _by_bucket(self) -> Mapping[int, Records]:
        groups: dict[int, list] = {}
        for record in self.members.values():
            groups.setdefault(find_bucket(record.vm), []).append(record)
        return {bucket: tuple(group) for bucket, group in groups.items()}


def is_live(record: records.MemberRecord) -> bool:
    """Returns whether a member is alive or suspect."""
    return record.state in ('alive', 'suspect')


def create_view(received: Iterable[records.MemberRecord], now: float) -> View:
    """Returns a view of the given records.

    >>> create_view([], now=0.0).find_holder('u-1') is None
    True
    """
    view, _ = _build({}, {}, [0] * BUCKET_COUNT).update(received, now)
    return view


def _build(
    members: dict,
    since: dict,
    buckets: Iterable[int],
    places: object | None = None,
) -> View:
    return View(
        types.MappingProxyType(members),
        types.MappingProxyType(since),
        tuple(buckets),
        object() if places is None else places,
    )


def _find_place(record: records.MemberRecord) -> tuple[str, str]:
    return record.zone, record.state


def _group(members: Iterable[records.MemberRecord], key) -> dict[str, Records]:
    groups: dict[str, list] = {}
    for record in members:
        if record.state != 'dead':
            groups.setdefault(key(record), []).append(record)
    return {name: tuple(group) for name, group in groups.items()}
