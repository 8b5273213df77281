"""Typed values of the settings of a node."""

import attrs

from jayseam.core import memory


@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def as_tuple(self) -> tuple[str, int]:
        """Returns the form that socket functions take."""
        return self.host, self.port


@attrs.frozen
class LinkAddress(Address):
    """Address on which links are accepted, and at which other nodes reach it.

    Behind port forwarding, the advertised address differs from the bound one.
    """

    advertise_host: str = ''
    advertise_port: int = 0

    def get_advertised_address(self) -> tuple[str, int]:
        """Returns the address that other nodes dial."""
        return (
            self.advertise_host or self.host,
            self.advertise_port or self.port,
        )


@attrs.frozen
class Seed:
    """A node that a starting node contacts first."""

    vm: str
    zone: str
    host: str
    port: int


@attrs.frozen
class SourceSettings:
    """How to read from the configuration service, the source.

    Attributes:
      urls: Base URLs of its replicas.
      watch_wait_s: Timeout of one watch request (long poll), in seconds.
      readers_per_zone: Number of nodes in a zone that read from the source; the
        others receive changes from these nodes.
      join_wait_s: Longest time that a new node first waits before it reads from
        the source, if no peer could send it the configuration, in seconds.
      lapse_s: Duration of an outage of the source after which entries of the VM
        list may have expired, in seconds; None if they never expire.
      return_grace_s: Time after an outage in which expired entries may
        reappear, in seconds.
    """

    urls: tuple[str, ...]
    watch_wait_s: float = 10.0
    readers_per_zone: int = 2
    join_wait_s: float = 1.0
    lapse_s: float | None = None
    return_grace_s: float = 0.0


@attrs.frozen
class LimitSettings:
    """How the rate limits of workspaces are enforced fleet-wide.

    Attributes:
      strategy: Name of the strategy.
      tolerance: Share of a rate by which calls may exceed it; only the strategy
        ``replicated`` uses it.
    """

    strategy: str = 'escrow'
    tolerance: float = 0.0


@attrs.frozen
class SelectionSettings:
    """How an upstream is chosen for an attempt.

    Attributes:
      strategy: Name of the strategy.
      spill_load: Load of the own zone from which calls go to other zones too.
      spill_gain: Amount by which the load of a backend server in another zone
        must then be below the load in the own zone; None for no minimum.
      zone_price: Least saving of time, as a share of the time left until the
        latency objective, for which the strategy ``expected_time`` sends a
        call to another zone; 0 where traffic between zones is free.
    """

    strategy: str = 'two_choices'
    spill_load: float = 0.8
    spill_gain: float | None = None
    zone_price: float = 0.0


@attrs.frozen
class AdmissionSettings:
    """How the ingress admits calls to its backend server.

    Attributes:
      fair: Whether the queue orders calls by rank and fairly over workspaces.
      ramp: Whether the concurrency limit ramps up after a start of the backend
        server.
      ramp_variant: Name of a variant in `admission.ramps.VARIANTS`; None for
        ``linear`` or, without ``ramp``, ``none``.
      cold_excess: Share by which calls may exceed the rate of a cold backend
        server, where the operators tolerate more than the rate they state.
      queue: Name of a variant of the queue, as in ``admission.queues``; empty
        for the variant that ``fair`` implies.
    """

    fair: bool = True
    ramp: bool = True
    cold_excess: float = 0.0
    queue: str = ''
    ramp_variant: str | None = None

    def get_queue(self) -> str:
        """Returns the name of the variant of the queue.

        >>> AdmissionSettings().get_queue()
        'ranked'
        """
        return self.queue or ('ranked' if self.fair else 'fifo')

    def get_ramp_variant(self) -> str:
        """Returns the name of the ramp variant in force.

        >>> AdmissionSettings().get_ramp_variant()
        'linear'
        >>> AdmissionSettings(ramp_variant='answers').get_ramp_variant()
        'answers'
        """
        if self.ramp_variant is not None:
            return self.ramp_variant
        return 'linear' if self.ramp else 'none'


@attrs.frozen
class KeySettings:
    """How long keys are trusted without a confirmation, in seconds."""

    max_unconfirmed_s: float = 3600.0


@attrs.frozen
class StopSettings:
    """Times of a graceful shutdown, in seconds.

    Attributes:
      deadline_s: Longest time that the whole shutdown may take.
      notice_s: How long new calls are still served, until callers have learned
        that the node is no longer ready.
      closing_s: Part of the deadline, at its end, in which connections are
        closed and calls are no longer worked on.
    """

    deadline_s: float = 30.0
    notice_s: float = 0.0
    closing_s: float = 1.0


@attrs.frozen
class BackendHealthSettings:
    """Whether the health endpoint of the backend server is polled.

    Without polls, the state of the backend server is derived from calls and the
    VM list.
    """

    polls: bool = True


@attrs.frozen
class RetrySettings:
    """Sizes of retry budgets.

    Attributes:
      share: Retries that each call adds to its workspace's budget at a node.
      max_saved: Most retries that such a budget can hold.
      fleet_share: Retries that all nodes together may make for each call to a
        service; None sets no bound.
      fleet_slack: Retries that all nodes together may make to a service in
        addition, in any time window.
    """

    share: float = 0.1
    max_saved: float = 10.0
    fleet_share: float | None = None
    fleet_slack: float = 0.0


@attrs.frozen
class IdempotencySettings:
    """How long the record of an idempotency key is kept, in seconds."""

    window_s: float = 600.0


@attrs.frozen
class MemorySettings:
    """Memory of the process.

    Attributes:
      message_bytes: Bytes that the heads and bodies of requests and answers in
        progress may hold together.
      head_bytes: Bytes of the head of one request: request line and header
        fields.
    """

    message_bytes: int = memory.DEFAULT_BUDGET_BYTES
    head_bytes: int = 65536


@attrs.frozen
class ConnectionSettings:
    """Connections that the process holds open.

    Attributes:
      max_callers: Most connections of callers; by default all descriptors of
        the process that aren't reserved.
      reserved: Descriptors for links, the backend server, the store and
        operators; by default a third of all, and at most 1,024.
    """

    max_callers: int | None = None
    reserved: int | None = None


@attrs.frozen
class NodeSettings:
    """All settings of one node process.

    Attributes:
      service: Service of the own backend server, which other backend servers
        receive as the calling service; empty if they don't.
      ready: Address of the readiness endpoint for the platform, if any.
    """

    vm: str
    region: str
    zone: str
    upstream: str
    caller: Address
    link: LinkAddress
    admin: Address
    backend: Address
    source: SourceSettings
    fleet_secrets: tuple[str, ...] = attrs.field(repr=False)
    incarnation: int | None = None
    seeds: tuple[Seed, ...] = ()
    limits: LimitSettings = LimitSettings()
    selection: SelectionSettings = SelectionSettings()
    admission: AdmissionSettings = AdmissionSettings()
    keys: KeySettings = KeySettings()
    stop: StopSettings = StopSettings()
    backend_health: BackendHealthSettings = BackendHealthSettings()
    retries: RetrySettings = RetrySettings()
    service: str = ''
    ready: Address | None = None
    idempotency: IdempotencySettings = IdempotencySettings()
    memory: MemorySettings = MemorySettings()
    connections: ConnectionSettings = ConnectionSettings()
    codec: str = 'cbor'
    log_level: str = 'INFO'
