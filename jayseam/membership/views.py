"""Immutable views of the members."""

import functools
import types
from collections.abc import Collection, Iterable, Mapping

import attrs
import xxhash

from jayseam.membership import records

BUCKETS = 64
# A suspicion that nobody confirms or refutes within this time counts as
# confirmed for the choice of members, because its observer may have failed.
MAX_SUSPICION_S = 3.0

Records = tuple[records.MemberRecord, ...]


@functools.lru_cache(maxsize=8192)
def find_bucket(vm: str) -> int:
    """Returns the digest bucket of a VM."""
    return xxhash.xxh64_intdigest(vm.encode()) % BUCKETS


@attrs.frozen(slots=False)
class View:
    """The members that one node knows, rebuilt on every change.

    Attributes:
      members: Record by VM name, including dead members for a while.
      since: Time in seconds at which this node saw the state begin, by VM.
      buckets: XOR of the record hashes of each bucket.
    """

    members: Mapping[str, records.MemberRecord]
    since: Mapping[str, float]
    buckets: tuple[int, ...]

    @functools.cached_property
    def digest(self) -> bytes:
        """Eight bytes that are equal for views with equal live records."""
        data = b''.join(bucket.to_bytes(8, 'big') for bucket in self.buckets)
        return xxhash.xxh64_digest(data)

    def in_zone(self, zone: str) -> Records:
        """Returns the members of an availability zone that are not dead."""
        return self._zones.get(zone, ())

    def live_in_zone(self, zone: str) -> Records:
        """Returns the alive and suspect members of an availability zone."""
        return tuple(filter(is_live, self.in_zone(zone)))

    def of_service(self, service: str) -> Records:
        """Returns the members of a service that are not dead."""
        return self._services.get(service, ())

    def at_upstream(self, upstream: str) -> Records:
        """Returns the members at a position that are not dead, holder first."""
        return self._upstreams.get(upstream, ())

    def holder(self, upstream: str) -> records.MemberRecord | None:
        """Returns the member of highest incarnation at a position, or None."""
        held = self.at_upstream(upstream)
        return held[0] if held else None

    def usable(self, now: float) -> Records:
        """Returns the members that may take new calls, alive ones first.

        Suspect members follow for as long as the suspicion is fresh. Members
        known only from the VM list have the backend state ``down`` and are
        left out, as are positions' former holders.
        """
        fresh = [
            record
            for record in self._suspects
            if now - self.since[record.vm] <= MAX_SUSPICION_S
        ]
        return self._alive + tuple(fresh)

    def live(self) -> Records:
        """Returns the alive and suspect members."""
        return self._live

    def bucket_members(self, bucket: int) -> Records:
        """Returns the records of a digest bucket, including dead ones."""
        return self._by_bucket.get(bucket, ())

    def update(
        self, received: Iterable[records.MemberRecord], now: float
    ) -> tuple['View', Records]:
        """Returns the view after a merge and the records that changed it."""
        changes = records.merge_all(self.members, received)
        if not changes:
            return self, ()
        members, since = dict(self.members), dict(self.since)
        buckets = list(self.buckets)
        for vm, record in changes.items():
            old = members.get(vm)
            members[vm] = record
            if old is None or old.state != record.state:
                since[vm] = now
            bucket = find_bucket(vm)
            if old is not None:
                buckets[bucket] ^= records.hash_record(old)
            buckets[bucket] ^= records.hash_record(record)
        return _build(members, since, buckets), tuple(changes.values())

    def without(self, vms: Collection[str]) -> 'View':
        """Returns the view without some dead members."""
        members = {k: v for k, v in self.members.items() if k not in vms}
        since = {k: v for k, v in self.since.items() if k not in vms}
        return _build(members, since, self.buckets)

    @functools.cached_property
    def _live(self) -> Records:
        return tuple(filter(is_live, self.members.values()))

    @functools.cached_property
    def _usable(self) -> Records:
        return tuple(
            record
            for record in self._live
            if record.backend in ('cold', 'ready')
            and self.holder(record.upstream) is record
        )

    @functools.cached_property
    def _alive(self) -> Records:
        return tuple(r for r in self._usable if r.state == 'alive')

    @functools.cached_property
    def _suspects(self) -> Records:
        return tuple(r for r in self._usable if r.state == 'suspect')

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
    """Tells whether a member is alive or suspect."""
    return record.state in ('alive', 'suspect')


def create_view(received: Iterable[records.MemberRecord], now: float) -> View:
    """Returns a view of the given records.

    >>> create_view([], now=0.0).holder('u-1') is None
    True
    """
    view, _ = _build({}, {}, [0] * BUCKETS).update(received, now)
    return view


def _build(members: dict, since: dict, buckets: Iterable[int]) -> View:
    return View(
        types.MappingProxyType(members),
        types.MappingProxyType(since),
        tuple(buckets),
    )


def _group(members: Iterable[records.MemberRecord], key) -> dict[str, Records]:
    groups: dict[str, list] = {}
    for record in members:
        if record.state != 'dead':
            groups.setdefault(key(record), []).append(record)
    return {name: tuple(group) for name, group in groups.items()}
