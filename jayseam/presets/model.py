"""Immutable values of presets, key sets and VM lists.

A preset is the routing configuration of the fleet. Instances are created by
`verification`, which checks whole documents, so the classes don't validate
their fields.
"""

import functools
from collections.abc import Mapping

import attrs

# The first attempt and two retries.
DEFAULT_ATTEMPTS = 3


@attrs.frozen
class Ramp:
    """How the load of a backend server is increased after its start.

    The usual term is slow start.

    Attributes:
      initial_slots: Number of available slots directly after the start.
      duration_s: Time until all slots are available, in seconds.
      rate_per_s: Limit on calls per second until then; 0 for no limit.
    """

    initial_slots: int
    duration_s: float
    rate_per_s: float = 0.0


@attrs.frozen
class Service:
    """A service that routes send calls to.

    Attributes:
      name: Unique name.
      shed_retryable: Whether a call may be retried after an answer 503 with
        ``Shed: not-run``, which says that the backend server didn't run it.
      listed: Whether the upstreams come from the VM list; otherwise they are
        part of the preset.
      connections: Most open connections to a listed upstream; 0 to allow as
        many as the upstream has slots.
      cold_s: Duration of the cold start of a listed upstream, in seconds.
      cold_rate_per_s: Calls per second that a listed upstream can handle
        during its cold start; 0 if unknown.
    """

    name: str
    shed_retryable: bool = True
    listed: bool = False
    connections: int = 0
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Upstream:
    """A position in the fleet that one backend server fills at a time.

    Attributes:
      name: Name of the position, which stays when the backend server is
        replaced.
      service: Service that the position belongs to.
      zone: Availability zone.
      slots: Most requests in flight (concurrency limit).
      connections: Most open connections.
      ramp: Increase of the load after a start of the backend server.
    """

    name: str
    service: str
    zone: str
    slots: int
    connections: int
    ramp: Ramp


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
      name: Unique name.
      region: Region that contains the zone.
      in_service: Whether the zone receives new calls.
    """

    name: str
    region: str
    in_service: bool = True


@attrs.frozen
class Route:
    """A path prefix and the services that serve it.

    Attributes:
      name: Unique name.
      prefix: Path prefix, starting with a slash.
      methods: HTTP methods in upper case.
      targets: Pairs of service and weight; the sum of weights is positive.
      open_to_all: Whether calls need no key (public route).
      repeatable: Whether a call may run more than once (idempotent).
      timeout_ms: Longest time that a call may take, in milliseconds.
      host: Value of the ``Host`` field that the route applies to; empty for
        all values.
      max_attempts: Most upstreams to which one call may be sent.
      rank: Priority of the calls; 0 is the most urgent.
      keyed: Whether a call that may not be repeated carries an idempotency
        key, under which its outcome is stored.
      objective_ms: Latency objective in milliseconds; 0 if there is none.
    """

    name: str
    prefix: str
    methods: tuple[str, ...]
    targets: tuple[tuple[str, float], ...]
    open_to_all: bool
    repeatable: bool
    timeout_ms: int
    host: str = ''
    max_attempts: int = DEFAULT_ATTEMPTS
    rank: int = 0
    keyed: bool = True
    objective_ms: int = 0


@attrs.frozen
class Workspace:
    """A caller and its rate limit, which applies to the whole fleet.

    Attributes:
      name: Unique name.
      rate_per_s: Rate limit in calls per second.
      burst: Calls that may arrive at once (capacity of the token bucket).
      weight: Share of a backend server, relative to other workspaces, while
        workspaces compete for the server.
      zone_weights: Pairs of zone and weight, in order of zone: how the calls of
        the workspace are distributed over the zones in which they arrive; empty
        if the operators don't specify it.
      rank: Priority of the calls, which overrides the rank of their routes;
        None to use the rank of the routes.
    """

    name: str
    rate_per_s: float
    burst: float
    weight: float = 1
    zone_weights: tuple[tuple[str, float], ...] = ()
    rank: int | None = None


@attrs.frozen
class Preset:
    """A verified preset.

    Attributes:
      name: Name that the operators chose.
      services: Services by name.
      upstreams: Upstream positions by name.
      zones: Availability zones by name.
      routes: Routes by name.
      workspaces: Workspaces by name.
    """

    name: str
    services: Mapping[str, Service]
    upstreams: Mapping[str, Upstream]
    zones: Mapping[str, Zone]
    routes: Mapping[str, Route]
    workspaces: Mapping[str, Workspace]

    @functools.cached_property
    def upstreams_by_service(self) -> Mapping[str, tuple[Upstream, ...]]:
        """Upstreams of each service, in order of name."""
        return _group_upstreams(self.services, self.upstreams, 'service')

    @functools.cached_property
    def upstreams_by_zone(self) -> Mapping[str, tuple[Upstream, ...]]:
        """Upstreams of each availability zone, in order of name."""
        return _group_upstreams(self.zones, self.upstreams, 'zone')

    @functools.cached_property
    def has_listed_services(self) -> bool:
        """Whether the upstreams of any service come from the VM list."""
        return any(service.listed for service in self.services.values())


def _group_upstreams(
    groups, upstreams, field
) -> dict[str, tuple[Upstream, ...]]:
    members: dict[str, list[Upstream]] = {name: [] for name in groups}
    for name in sorted(upstreams):
        members[getattr(upstreams[name], field)].append(upstreams[name])
    return {name: tuple(group) for name, group in members.items()}


@attrs.frozen
class KeyEntry:
    """A salted hash of a workspace key.

    Attributes:
      key_id: Identifier of the key; see `keys.extract_key_id`.
      workspace: Workspace that the key belongs to.
      salt_hex: Salt in hex.
      hash_hex: SHA-256 of salt and key in hex.
    """

    key_id: str
    workspace: str
    salt_hex: str
    hash_hex: str


@attrs.frozen
class KeySet:
    """All valid workspace keys.

    Attributes:
      keys: Entries in order of ``key_id``, which is unique.
    """

    keys: tuple[KeyEntry, ...] = ()

    @functools.cached_property
    def by_id(self) -> Mapping[str, KeyEntry]:
        """Entries by ``key_id``."""
        return {entry.key_id: entry for entry in self.keys}


@attrs.frozen
class VmEntry:
    """A VM in the platform's list.

    Attributes:
      vm: Unique name, never reused.
      upstream: Name of the upstream position that the VM fills.
      zone: Availability zone.
      region: Region.
      host: IP address of the link listener.
      port: Port of the link listener.
      state: ``live`` or ``leaving``.
      service: Service of the backend server; empty if unknown.
      slots: Number of slots of the backend server; 0 if unknown.
      instance: Identifier of the instance of the backend server, where each
        start is another instance; empty if it has none.
      cold: Whether the backend server is in cold start.
    """

    vm: str
    upstream: str
    zone: str
    region: str
    host: str
    port: int
    state: str
    service: str = ''
    slots: int = 0
    instance: str = ''
    cold: bool = False


@attrs.frozen
class VmList:
    """The platform's list of VMs, which may be out of date.

    Attributes:
      vms: Entries in order of name.
    """

    vms: tuple[VmEntry, ...] = ()

    @functools.cached_property
    def by_name(self) -> Mapping[str, VmEntry]:
        """Entries by VM name."""
        return {entry.vm: entry for entry in self.vms}

    def list_live_vms(self, zone: str) -> tuple[str, ...]:
        """Returns the names of the live VMs of an availability zone."""
        return tuple(
            entry.vm
            for entry in self.vms
            if entry.zone == zone and entry.state == 'live'
        )


def add_listed_upstreams(preset: Preset, vm_list: VmList) -> Preset:
    """Returns a preset extended by the upstreams of the VM list.

    A VM adds no upstream if it is leaving, or if its service or zone is not in
    the preset.

    >>> service = Service('pickups', listed=True, connections=9)
    >>> preset = Preset('p', {'pickups': service}, {}, {'a': Zone('a', 'r')},
    ...                 {}, {})
    >>> entry = VmEntry('vm-1', 'u-1', 'a', 'r', '10.0.0.1', 1, 'live',
    ...                 'pickups', slots=4)
    >>> add_listed_upstreams(preset, VmList((entry,))).upstreams['u-1'].slots
    4
    """
    if not preset.has_listed_services:
        return preset
    upstreams = dict(preset.upstreams)
    for entry in vm_list.vms:
        service = preset.services.get(entry.service)
        if service is None or not service.listed or entry.state != 'live':
            continue
        if entry.zone in preset.zones and entry.slots > 0:
            upstreams[entry.upstream] = _build_listed_upstream(entry, service)
    return attrs.evolve(preset, upstreams=upstreams)


def _build_listed_upstream(entry: VmEntry, service: Service) -> Upstream:
    return Upstream(
        name=entry.upstream,
        service=service.name,
        zone=entry.zone,
        slots=entry.slots,
        connections=service.connections or entry.slots,
        ramp=Ramp(entry.slots, service.cold_s, service.cold_rate_per_s),
    )
