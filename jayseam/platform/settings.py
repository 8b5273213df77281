"""Translates the platform's settings file into settings of a node."""

import hashlib
import pathlib
from collections.abc import Callable, Mapping

import attrs

from jayseam import settings as node_settings
from jayseam.core import descriptors
from jayseam.core import memory
from jayseam.platform import durations
from jayseam.platform import errors
from jayseam.platform import mirrors

# Part of the platform's deadline for a stop, at its end, in which calls need no
# longer be worked on. Half of it is for closing and half for the exit of the
# process.
CLOSING_SHARE = 1 / 6
# Time by which calls are worked on past that part's begin, in seconds. The
# platform counts from the sending of the signal, and a call's own deadline
# takes effect a little earlier.
CLOSING_DELAY_S = 0.1
# Time in which a stopping node still serves new calls, in seconds. The platform
# checks readiness once a second and removes a node after two failed checks;
# callers keep sending calls to the node until then.
STOP_NOTICE_S = 2.3
# Share of the platform's deadline for the revocation of keys in which keys are
# trusted without a new confirmation. The rest covers the time that a
# confirmation takes between nodes.
KEY_TRUST_SHARE = 0.9
# Most retries that the retry budget of a workspace at one node can hold.
MAX_SAVED_RETRIES = 2.0
# Share of the platform's limit on retries that the nodes divide among
# themselves. A run that is repeated makes its nested calls again, and these
# count as retries at their service, too, although nothing marks them. The rest
# covers nodes that restart.
FLEET_RETRY_SHARE = 0.4
# Number of nodes in a zone that read the store. Such a node receives a change
# even while it is disconnected from its peers. In large zones, whole
# configurations for all nodes would saturate the slowest links, so the other
# nodes fetch parts from peers.
READERS_PER_ZONE = 4
# Number of readers by which a node with a slow link decides whether it is one,
# and the bandwidth below which a link is slow. A whole configuration occupies a
# link of 10 Mbit/s for a quarter of a second, and calls wait behind it.
READERS_PER_ZONE_ON_SLOW_LINKS = 2
SLOW_LINK_MBPS = 50.0
# Longest time that a new node waits before it first reads the store, in
# seconds. It is short because callers wait meanwhile and because the store can
# handle simultaneous reads of all nodes.
JOIN_WAIT_S = 0.1
# The store removes the entry of a backend server that misses three heartbeats.
EXPIRY_HEARTBEATS = 3
# Time after an outage of the store in which expired entries may reappear, in
# seconds. The platform's limit is two seconds; within it, the removal of
# entries that are still missing must also reach all nodes.
RETURN_GRACE_S = 1.6
# Time after a restore of the store in which its writers write again what it has
# lost, in seconds. The platform's deadlines apply a second later.
RESTORE_HOLD_S = 2.0
# Used share of the excess over the rate of a cold backend server that the
# platform tolerates. The rest covers calls that arrive closer together than
# they were sent.
COLD_EXCESS_SHARE = 0.4
# Load of the own zone from which calls go to other zones too. Traffic between
# zones is expensive on this platform, and a call that waits behind a quarter of
# the slots still meets its latency objective.
SPILL_LOAD = 1.25
# Amount by which the load of a backend server in another zone must be below
# that of the own zone. A smaller difference shortens the wait by less than a
# quarter of a call's duration, at the cost of an answer that crosses zones.
SPILL_GAIN = 0.25
# Strategy of the fleet-wide rate limits. The platform tolerates a quarter more
# than rate and burst, and a fleet that has just started must not refuse calls
# within rate and burst.
LIMIT_STRATEGY = 'replicated'

# Selection strategies of deployments with workspaces and of those without.
STRATEGY = 'two_choices'
STRATEGY_FOR_KINDS = 'expected_time'
# Share of the time left to a call that an answer from another zone must save.
# Traffic between zones is expensive on this platform.
ZONE_PRICE = 0.25
# Queue of deployments without workspaces. There is nobody to share a backend
# server fairly with, and kinds of calls compete by their latency objectives.
QUEUE_FOR_KINDS = 'objective'

# Memory of a process that holds a large configuration and no calls, in
# megabytes.
BASE_MEMORY_MB = 68.0
# Growth of the process for each byte that messages in progress hold: they are
# copied on their way, and freed memory is not reused at once.
MEMORY_PER_MESSAGE_BYTE = 2.2
MIN_MESSAGE_BYTES = 8_000_000
_BYTES_PER_MB = 1_000_000

# Contracts under which the platform states a bound. A deployment without the
# contract may leave the bound out.
CONTRACTS_BY_BOUND = {
    'revoke': 'tenants',
    'quota_overage': 'quota',
    'cold_overage': 'places',
    'retry_budget_ratio': 'retry',
    'budget_slack': 'retry',
}
# The platform calls workspaces tenants.
_WORKSPACE_CONTRACT = 'tenants'

# Descriptors that the platform keeps for files; sockets share the others.
FILE_DESCRIPTORS = 200

# Index of the admin port in ``network.internal_ports``.
_ADMIN_PORT_INDEX = 0


@attrs.frozen
class PlatformSettings:
    """Content of the platform's settings file.

    Attributes:
      node: Settings of the node.
      store_address: ``host:port`` of the store.
      deployment_facts: Facts that the store doesn't contain.
    """

    node: node_settings.model.NodeSettings
    store_address: str
    deployment_facts: mirrors.DeploymentFacts


def load_settings(path: str) -> PlatformSettings:
    """Reads the settings file.

    Raises:
      SettingsError: With every problem of the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise node_settings.errors.SettingsError(
            [f'{path}: {error}']
        ) from error
    return read_settings(parse_lines(text))


def parse_lines(text: str) -> dict[str, str]:
    """Parses lines such as ``a.b=value``; returns the values by name.

    >>> parse_lines('self.zone=a\\n\\nself.ip=10.0.0.1')
    {'self.zone': 'a', 'self.ip': '10.0.0.1'}
    """
    pairs = (line.partition('=') for line in text.splitlines() if line.strip())
    return {name.strip(): value.strip() for name, _, value in pairs}


def read_settings(fields: Mapping[str, str]) -> PlatformSettings:
    """Translates the fields of a settings file.

    Raises:
      SettingsError: With every problem found.
    """
    reader = _Reader(fields)
    regions = reader.read_table('network.zones.')
    link = reader.read_address('network.listen.inbound')
    ip = reader.read_text('self.ip')
    ports = [
        reader.parse_port(port, 'network.internal_ports')
        for port in reader.read_text('network.internal_ports').split(',')
    ]
    grace_s = reader.read_seconds('terms.bounds.grace')
    heartbeat_s = reader.read_seconds('platform.heartbeat')
    revoke_s = reader.read_bound('revoke', reader.read_seconds)
    overage = reader.read_bound('quota_overage', reader.read_number)
    # A factor on the rate of a cold backend server, not the excess over it.
    cold_factor = reader.read_bound('cold_overage', reader.read_number)
    retry_share = reader.read_bound('retry_budget_ratio', reader.read_number)
    retry_slack = reader.read_bound('budget_slack', reader.read_number)
    memory_mb = reader.read_optional_number('self.limits.memory_mb')
    store_address = reader.read_text('platform.platform.address')
    if reader.problems:
        raise node_settings.errors.SettingsError(reader.problems)
    model = node_settings.model
    zone = fields.get('self.zone', '')
    has_workspaces = reader.has_contract(_WORKSPACE_CONTRACT)
    node = model.NodeSettings(
        vm=ip,
        region=fields.get('self.region', ''),
        zone=zone,
        upstream=ip,
        caller=reader.read_address('network.listen.outbound'),
        link=model.LinkAddress(link.host, link.port),
        admin=model.Address(ip, ports[_ADMIN_PORT_INDEX]),
        backend=reader.read_address('self.app_address'),
        source=model.SourceSettings(
            (f'http://{store_address}',),
            readers_per_zone=count_readers(
                reader.read_optional_number('self.limits.link_mbps')
            ),
            join_wait_s=JOIN_WAIT_S,
            lapse_s=heartbeat_s * EXPIRY_HEARTBEATS,
            return_grace_s=RETURN_GRACE_S,
        ),
        fleet_secrets=(derive_fleet_secret(fields),),
        selection=model.SelectionSettings(
            strategy=STRATEGY if has_workspaces else STRATEGY_FOR_KINDS,
            spill_load=SPILL_LOAD,
            spill_gain=SPILL_GAIN,
            zone_price=ZONE_PRICE,
        ),
        admission=model.AdmissionSettings(
            cold_excess=COLD_EXCESS_SHARE
            * max(0.0, (cold_factor or 1.0) - 1.0),
            queue='' if has_workspaces else QUEUE_FOR_KINDS,
        ),
        limits=model.LimitSettings(LIMIT_STRATEGY, overage or 0.0),
        keys=build_key_settings(revoke_s),
        stop=build_stop_settings(grace_s),
        backend_health=model.BackendHealthSettings(polls=False),
        retries=build_retry_settings(retry_share, retry_slack),
        service=fields.get('self.service', ''),
        ready=reader.read_address('network.listen.ready'),
        memory=model.MemorySettings(compute_message_bytes(memory_mb)),
        connections=model.ConnectionSettings(
            count_caller_connections(
                reader.read_optional_number('self.limits.max_fds')
            )
        ),
        # Traffic between zones is priced, so messages are compressed.
        codec='cbor-zstd',
    )
    if reader.problems:
        raise node_settings.errors.SettingsError(reader.problems)
    deployment_facts = mirrors.DeploymentFacts(
        regions, link.port, has_workspaces
    )
    return PlatformSettings(node, store_address, deployment_facts)


def build_key_settings(
    revoke_s: float | None,
) -> node_settings.model.KeySettings:
    """Returns how long keys are trusted; the default without a bound.

    >>> build_key_settings(5.0)
    KeySettings(max_unconfirmed_s=4.5)
    """
    if revoke_s is None:
        return node_settings.model.KeySettings()
    return node_settings.model.KeySettings(revoke_s * KEY_TRUST_SHARE)


def build_retry_settings(
    share: float | None, slack: float | None
) -> node_settings.model.RetrySettings:
    """Returns the retry budgets; the default without bounds.

    Args:
      share: Retries that the fleet may make for each call to a service.
      slack: Retries that it may make to a service in addition.
    """
    if share is None or slack is None:
        return node_settings.model.RetrySettings()
    return node_settings.model.RetrySettings(
        share=share,
        max_saved=MAX_SAVED_RETRIES,
        fleet_share=share * FLEET_RETRY_SHARE,
        fleet_slack=slack * FLEET_RETRY_SHARE,
    )


def build_stop_settings(
    grace_s: float,
) -> node_settings.model.StopSettings:
    """Returns the times of a stop that the platform ends after ``grace_s``.

    >>> build_stop_settings(6.0)
    StopSettings(deadline_s=5.5, notice_s=2.3, closing_s=0.4)
    """
    last_s = grace_s * CLOSING_SHARE
    closing_s = last_s / 2 - min(CLOSING_DELAY_S, last_s / 4)
    return node_settings.model.StopSettings(
        grace_s - last_s / 2,
        min(STOP_NOTICE_S, grace_s / 2),
        closing_s,
    )


def compute_message_bytes(memory_mb: float | None) -> int:
    """Returns the bytes that messages in progress may hold together.

    Args:
      memory_mb: Memory of the process in megabytes; None if it is unknown.

    >>> compute_message_bytes(150.0)
    37272727
    """
    if memory_mb is None:
        return memory.DEFAULT_BUDGET_BYTES
    free_mb = (memory_mb - BASE_MEMORY_MB) / MEMORY_PER_MESSAGE_BYTE
    return max(MIN_MESSAGE_BYTES, int(free_mb * _BYTES_PER_MB))


def count_readers(link_mbps: float | None) -> int:
    """Returns the number of readers per zone, as this node counts them.

    >>> count_readers(10.0), count_readers(200.0), count_readers(None)
    (2, 4, 4)

    Args:
      link_mbps: Bandwidth of the link of the VM; None if it is unknown.
    """
    if link_mbps is not None and link_mbps < SLOW_LINK_MBPS:
        return READERS_PER_ZONE_ON_SLOW_LINKS
    return READERS_PER_ZONE


def count_caller_connections(n_descriptors: float | None) -> int | None:
    """Returns the most connections of callers; None for the default.

    The platform's limit may be lower than that of the process.

    >>> count_caller_connections(4100)
    2876
    """
    if n_descriptors is None:
        return None
    n_sockets = max(1, int(n_descriptors) - FILE_DESCRIPTORS)
    return descriptors.compute_limits(n_sockets).callers


def derive_fleet_secret(fields: Mapping[str, str]) -> str:
    """Returns the secret with which the nodes of a deployment authenticate.

    The platform provides no secret, so by default the secret is derived from
    settings that all nodes of a deployment share. It separates deployments from
    each other, but doesn't protect against an attacker who knows these
    settings. An operator who has a secret sets ``fleet.secret``.
    """
    configured = fields.get('fleet.secret')
    if configured:
        return configured
    shared = [
        f'{name}={fields[name]}'
        for name in sorted(fields)
        if name.startswith(('platform.platform.address', 'network.zones.'))
    ]
    return hashlib.sha256('\n'.join(shared).encode()).hexdigest()


class _Reader:
    """Reads fields and collects the problems that it finds."""

    def __init__(self, fields: Mapping[str, str]):
        self._fields = fields
        self.problems: list[str] = []

    def read_text(self, name: str) -> str:
        """Returns the text of a required field; empty if it is missing."""
        value = self._fields.get(name, '')
        if not value:
            self.problems.append(f'{name}: is missing')
        return value

    def read_table(self, prefix: str) -> dict[str, str]:
        """Returns the fields with a prefix, by the rest of their names."""
        table = {
            name[len(prefix) :]: value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }
        if not table:
            self.problems.append(f'{prefix}*: is missing')
        return table

    def read_seconds(self, name: str) -> float:
        """Returns a duration in seconds; zero if it is invalid."""
        text = self.read_text(name)
        try:
            return durations.parse_seconds(text) if text else 0.0
        except errors.ValueFormatError as error:
            self.problems.append(f'{name}: {error}')
            return 0.0

    def read_number(self, name: str) -> float:
        """Returns a non-negative number; zero if it is invalid."""
        text = self.read_text(name)
        try:
            number = float(text) if text else 0.0
        except ValueError:
            number = -1.0
        if not 0 <= number < float('inf'):
            self.problems.append(f'{name}: {text!r} is not a number')
            return 0.0
        return number

    def has_contract(self, contract: str) -> bool:
        """Returns whether a contract is in force.

        Without a list of contracts, all are.
        """
        contracts = self._fields.get('terms.contracts', '')
        return not contracts or contract in contracts.split(',')

    def read_bound(
        self, name: str, read: Callable[[str], float]
    ) -> float | None:
        """Returns a bound; None if it is missing and its contract too."""
        field = f'terms.bounds.{name}'
        is_required = self.has_contract(CONTRACTS_BY_BOUND[name])
        if not is_required and not self._fields.get(field):
            return None
        return read(field)

    def read_optional_number(self, name: str) -> float | None:
        """Returns a non-negative number; None if the field is missing."""
        return self.read_number(name) if self._fields.get(name) else None

    def read_address(self, name: str) -> node_settings.model.Address:
        """Returns an address such as ``10.0.0.1:80``."""
        text = self.read_text(name)
        host, _, port = text.rpartition(':')
        if text and not host:
            self.problems.append(f'{name}: {text!r} is not host:port')
        number = self.parse_port(port, name) if text else 0
        return node_settings.model.Address(host, number)

    def parse_port(self, text: str, name: str) -> int:
        """Returns a port; zero if it is invalid."""
        if text.isdigit() and 0 < int(text) < 65536:
            return int(text)
        self.problems.append(f'{name}: {text!r} is not a port')
        return 0
