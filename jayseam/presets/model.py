"""Immutable values of presets, key sets and VM lists.

Instances come from `verification`, which checks a whole document, so the
classes themselves check nothing.
"""

import functools
from collections.abc import Mapping

import attrs

# A first attempt and two retries.
DEFAULT_ATTEMPTS = 3


@attrs.frozen
class Ramp:
    """How a freshly started backend server takes on load.

    Attributes:
      initial_slots: Slots at the start.
      duration_s: Seconds until all slots are open.
      rate_per_s: Calls per second until then; 0 for no limit on them.
    """

    initial_slots: int
    duration_s: float
    rate_per_s: float = 0.0


@attrs.frozen
class Service:
    """A service that routes point at.

    Attributes:
      name: Unique name.
      shed_retryable: Whether a 503 with ``Shed: not-run`` may be trusted.
      listed: Whether its upstreams come from the VM list; otherwise the preset
        names them.
      connections: Most open connections of a listed upstream; 0 if the
        upstreams have their own numbers.
      cold_s: Seconds for which a listed upstream is cold after a start.
      cold_rate_per_s: Calls per second that a cold upstream bears; 0 if that
        is not known.
    """

    name: str
    shed_retryable: bool = True
    listed: bool = False
    connections: int = 0
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Upstream:
    """A position that one backend server holds at a time.

    Attributes:
      name: Stable name of the position.
      service: Service that the position belongs to.
      zone: Availability zone.
      slots: Most requests in flight.
      connections: Most open connections.
      ramp: Cold start behaviour.
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
      in_service: Whether the zone receives new work.
    """

    name: str
    region: str
    in_service: bool = True


@attrs.frozen
class Route:
    """A path prefix and what serves it.

    Attributes:
      name: Unique name.
      prefix: Path prefix, starting with a slash.
      methods: HTTP methods in upper case.
      targets: Pairs of service and weight; the weights add up to over zero.
      open_to_all: Whether calls need no key.
      repeatable: Whether a call may run more than once.
      timeout_ms: Longest time that a call may take, in milliseconds.
      host: Value of ``Host`` that the route is for; empty for all.
      max_attempts: Upstreams to which one call may be sent.
      rank: Urgency of its calls; 0 is the most urgent.
      keyed: Whether a call that may not be repeated carries an idempotency
        key, under which its outcome is remembered.
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
    """A caller and its limits, which are counted over the whole fleet.

    Attributes:
      name: Unique name.
      rate_per_s: Calls per second.
      burst: Calls that may come at once.
      weight: Share of a contended backend server relative to others.
      zone_weights: Pairs of zone and weight, in order of zone, that say how the
        workspace's calls are spread over the zones they enter in; empty if the
        operators don't say.
      rank: Urgency of its calls, before that of their routes; None if the
        routes decide.
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
      name: Name that operators gave it.
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
        return _group(self.services, self.upstreams, 'service')

    @functools.cached_property
    def upstreams_by_zone(self) -> Mapping[str, tuple[Upstream, ...]]:
        """Upstreams of each availability zone, in order of name."""
        return _group(self.zones, self.upstreams, 'zone')

    @functools.cached_property
    def has_listed_services(self) -> bool:
        """Whether upstreams of some service come from the VM list."""
        return any(service.listed for service in self.services.values())


def _group(groups, upstreams, field) -> dict[str, tuple[Upstream, ...]]:
    members: dict[str, list[Upstream]] = {name: [] for name in groups}
    for name in sorted(upstreams):
        members[getattr(upstreams[name], field)].append(upstreams[name])
    return {name: tuple(group) for name, group in members.items()}


@attrs.frozen
class KeyEntry:
    """A workspace key as the fleet knows it.

    Attributes:
      key_id: Part of the key before the first dot.
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
    """All workspace keys that are granted.

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
    """A VM of the platform's list.

    Attributes:
      vm: Unique name, never reused.
      upstream: Position that the VM holds.
      zone: Availability zone.
      region: Region.
      host: IP address of the link listener.
      port: Port of the link listener.
      state: ``live`` or ``leaving``.
      service: Service of the backend server, if the list says it.
      slots: Slots of the backend server, if the list says it.
      instance: Name of this start of the backend server, if it has one.
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
    """The platform's list of VMs, which lags.

    Attributes:
      vms: Entries in order of name.
    """

    vms: tuple[VmEntry, ...] = ()

    @functools.cached_property
    def by_name(self) -> Mapping[str, VmEntry]:
        """Entries by VM name."""
        return {entry.vm: entry for entry in self.vms}

    def live_in_zone(self, zone: str) -> tuple[str, ...]:
        """Returns the names of the live VMs of an availability zone."""
        return tuple(
            entry.vm
            for entry in self.vms
            if entry.zone == zone and entry.state == 'live'
        )


def add_listed_upstreams(preset: Preset, vm_list: VmList) -> Preset:
    """Returns a preset with the upstreams that the VM list names.

    A VM that leaves, or whose service or zone the preset lacks, adds none.

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
            upstreams[entry.upstream] = _build_listed(entry, service)
    return attrs.evolve(preset, upstreams=upstreams)


def _build_listed(entry: VmEntry, service: Service) -> Upstream:
    return Upstream(
        name=entry.upstream,
        service=service.name,
        zone=entry.zone,
        slots=entry.slots,
        connections=service.connections or entry.slots,
        ramp=Ramp(entry.slots, service.cold_s, service.cold_rate_per_s),
    )
