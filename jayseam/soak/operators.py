"""The operators and backend servers that write to the platform's store.

They keep what they want the store to contain, and write it again after a
restore. Times are seconds of `clocks.read_now`.
"""

import collections
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs
import gevent

from jayseam.core import clocks
from jayseam.platform.tests import samples
from jayseam.soak import fleets
from jayseam.standins import kvstore

CONFIGURATION_KEY = 'op/config'
# Lasting routes for requests that may last up to their timeout.
LONG_SAFE_ROUTE = 'look'
LONG_UNSAFE_ROUTE = 'credit'
LONG_TIMEOUT_S = 5
# Longest time after a restore until an entry is written again.
REWRITE_DELAY_S = 2.0
MAX_COPY_AGE_S = 12.0
_COPY_INTERVAL_S = 0.25
_RETRY_INTERVAL_S = 0.05
# Least and greatest increment of the configuration version.
_VERSION_STEP = (1, 4)
# Least and greatest time between two changes of the configuration.
_CHANGE_GAP_S = (0.4, 3.0)
# Most routes and keys that exist besides the lasting ones.
_MAX_EXTRA = 5
# Rate limit of a tenant, above what the callers send.
_RATE_PER_S = 1000
_TENANT = 'museum'


@attrs.frozen
class Version:
    """A configuration version.

    Attributes:
      number: The number in ``r<number>``.
      routes: Names of the routes that need a key.
      public_routes: Names of the routes that need none.
      keys: API keys of all tenants.
      sent_at: Time at which the operators sent it.
    """

    number: int
    routes: frozenset[str]
    public_routes: frozenset[str]
    keys: frozenset[str]
    sent_at: float


@attrs.define
class Order:
    """An order that some backend servers get no requests.

    Attributes:
      kind: ``evacuated`` or ``draining``.
      name: Zone or instance.
      ips: Addresses of the backend servers.
      sent_at: Time at which the order was sent.
      ended_at: Time at which its end was sent; infinite while it is in force.
    """

    kind: str
    name: str
    ips: Sequence[str]
    sent_at: float
    ended_at: float = float('inf')


@attrs.frozen
class StoreState:
    """What the store contains from a moment on.

    Attributes:
      at: Time of the change.
      version: Number of the configuration version.
      evacuated: Zones that are evacuated.
      draining: Instances that are draining.
    """

    at: float
    version: int
    evacuated: frozenset[str]
    draining: frozenset[str]


@attrs.frozen
class _DatedCopy:
    """A copy of the store and its values by key."""

    at: float
    copy: kvstore.Copy
    contents: dict[str, Any]


class Operator:
    """Writes configurations, orders and entries, again if they are lost.

    Args:
      fleet: The fleet, whose store is written to.
      generator: Source of all draws.

    Attributes:
      versions: All versions that were sent, in order.
      orders: All orders that were sent.
      states: States of the store in order.
      core_disruptions: Periods in which the store was unavailable, and moments
        of its restores.
    """

    def __init__(self, fleet: fleets.Fleet, generator: random.Random):
        self.versions: list[Version] = []
        self.orders: list[Order] = []
        self.states: list[StoreState] = []
        self.core_disruptions: list[fleets.Span] = []
        self._fleet = fleet
        self._generator = generator
        self._wanted: dict[str, Any] = {}
        self._contents: dict[str, Any] = {}
        self._copies: collections.deque[_DatedCopy] = collections.deque()
        self._outages: dict[str, tuple[kvstore.Faults, bool]] = {}
        self._outage: fleets.Span | None = None
        self._routes: list[str] = []
        self._keys: list[str] = []

    # Configurations.

    @property
    def past_routes(self) -> Sequence[str]:
        """Extra routes in the order in which they were added."""
        return self._list_extra(lambda version: version.routes)

    @property
    def past_keys(self) -> Sequence[str]:
        """Extra keys in the order in which they were added."""
        return self._list_extra(lambda version: version.keys)

    def change_configuration(self) -> None:
        """Adds or removes a route or a key; returns when it is confirmed."""
        items = self._generator.choice((self._routes, self._keys))
        is_full = len(items) >= _MAX_EXTRA
        if is_full or (items and self._generator.random() < 0.4):
            items.remove(self._generator.choice(items))
        else:
            prefix = 'route' if items is self._routes else 'key'
            items.append(f'{prefix}{len(self.versions)}')
        self.send_configuration()

    def send_configuration(self) -> None:
        """Sends a new version; returns when it is confirmed."""
        number = self._generator.randint(*_VERSION_STEP)
        if self.versions:
            number += self.versions[-1].number
        lasting = [
            samples.build_route('view'),
            samples.build_route('book', kind='unsafe'),
            samples.build_route('open', public=True),
            _build_long_route(LONG_SAFE_ROUTE, 'safe'),
            _build_long_route(LONG_UNSAFE_ROUTE, 'unsafe'),
        ]
        routes = lasting + [samples.build_route(name) for name in self._routes]
        document = samples.build_configuration(
            f'r{number}', routes, rate_per_s=_RATE_PER_S
        )
        samples.add_keys(document, _TENANT, self._keys)
        version = Version(
            number,
            frozenset(
                [
                    'view',
                    'book',
                    LONG_SAFE_ROUTE,
                    LONG_UNSAFE_ROUTE,
                    *self._routes,
                ]
            ),
            frozenset(['open']),
            frozenset([*samples.KEYS.values(), *self._keys]),
            clocks.read_now(),
        )
        self.versions.append(version)
        self.write(CONFIGURATION_KEY, document)

    def run_changes(self, duration_s: float) -> None:
        """Changes the configuration again and again."""
        deadline = clocks.read_now() + duration_s
        jobs = []
        while clocks.read_now() < deadline:
            gevent.sleep(self._generator.uniform(*_CHANGE_GAP_S))
            jobs.append(gevent.spawn(self.change_configuration))
        gevent.joinall(jobs, raise_error=True)

    # Orders and entries.

    def evacuate(self, zone: str) -> Order:
        """Orders that a zone gets no requests."""
        order = Order(
            'evacuated', zone, self._fleet.list_ips(zone), clocks.read_now()
        )
        self.orders.append(order)
        self.write(f'op/evacuate/{zone}', {})
        return order

    def take_back(self, order: Order) -> None:
        """Ends the evacuation of a zone."""
        order.ended_at = clocks.read_now()
        self.write(f'op/evacuate/{order.name}', None)

    def register(self, ip: str) -> None:
        """Writes the entry of a backend server that is ready."""
        instance = self._fleet.vms[ip].backend.instance
        entry = self._fleet.build_entry(ip, 'ready', 1)
        self.write(f'servers/{instance}', entry)

    def drain(self, ip: str) -> Order:
        """Reports that a backend server is draining."""
        instance = self._fleet.vms[ip].backend.instance
        order = Order('draining', instance, [ip], clocks.read_now())
        self.orders.append(order)
        entry = {**self._wanted[f'servers/{instance}'], 'state': 'draining'}
        self.write(f'servers/{instance}', {**entry, 'sequence': 2})
        return order

    def replace(self, order: Order) -> None:
        """Replaces a draining backend server by a new one at its address."""
        (ip,) = order.ips
        order.ended_at = clocks.read_now()
        self._fleet.vms[ip].backend.instance = self._fleet.draw_instance()
        self.write(f'servers/{order.name}', None)
        self.register(ip)

    # The store.

    def write(self, key: str, value: Any) -> None:
        """Writes a value, or removes the key if it is None.

        Returns when the store has confirmed it, or when a later write to the
        same key has taken its place.
        """
        self._wanted[key] = value
        while self._is_closed():
            gevent.sleep(_RETRY_INTERVAL_S)
        if self._wanted[key] is value:
            self._store_value(key, value)

    def set_outage(
        self, name: str, faults: kvstore.Faults, total: bool
    ) -> None:
        """Begins an outage of the store.

        Args:
          name: Name of the outage; several may overlap.
          faults: What the store does to the nodes.
          total: Whether operators and backend servers can't write, either.
        """
        if not self._outages:
            self._outage = fleets.Span(clocks.read_now())
            self.core_disruptions.append(self._outage)
        self._outages[name] = (faults, total)
        self._fleet.store.faults = faults

    def clear_outage(self, name: str) -> bool:
        """Ends an outage; returns whether the store is available again."""
        del self._outages[name]
        if self._outages:
            self._fleet.store.faults = list(self._outages.values())[-1][0]
            return False
        self._fleet.store.faults = kvstore.Faults()
        assert self._outage is not None
        self._outage.end = clocks.read_now()
        return True

    def keep_copies(self) -> None:
        """Takes copies of the store until it is killed."""
        while True:
            self.take_copy()
            gevent.sleep(_COPY_INTERVAL_S)

    def take_copy(self) -> None:
        """Takes a copy of the store and drops those that are too old."""
        now = clocks.read_now()
        copy = self._fleet.store.build_copy()
        self._copies.append(_DatedCopy(now, copy, dict(self._contents)))
        while self._copies[0].at < now - MAX_COPY_AGE_S:
            self._copies.popleft()

    def restore(self, age_s: float) -> float:
        """Restores the store from a copy; spawns the writes of what is lost.

        Args:
          age_s: Age of the copy in seconds, if there is one so old.

        Returns:
          The age of the copy in seconds.
        """
        now = clocks.read_now()
        while len(self._copies) > 1 and self._copies[-1].at > now - age_s:
            self._copies.pop()
        chosen = self._copies[-1]
        self._fleet.store.restore(chosen.copy)
        self._contents = dict(chosen.contents)
        self.core_disruptions.append(fleets.Span(now, now))
        self._record_state()
        self._rewrite(self._list_different_keys())
        return now - chosen.at

    def expire_entries(self) -> None:
        """Removes all entries of backend servers, which then write them again.

        The store does so if it has not heard from them for three heartbeats.
        """
        keys = [k for k in self._contents if k.startswith('servers/')]
        for key in keys:
            self._store_value(key, None)
        self._rewrite(keys)

    def _rewrite(self, keys: Iterable[str]) -> None:
        for key in keys:
            delay_s = self._generator.uniform(0.0, REWRITE_DELAY_S)
            gevent.spawn_later(delay_s, self._write_again, key)

    def _write_again(self, key: str) -> None:
        while self._is_closed():
            gevent.sleep(_RETRY_INTERVAL_S)
        if self._contents.get(key) != self._wanted.get(key):
            self._store_value(key, self._wanted.get(key))

    def _list_different_keys(self) -> list[str]:
        keys = sorted({*self._wanted, *self._contents})
        return [k for k in keys if self._wanted.get(k) != self._contents.get(k)]

    def _store_value(self, key: str, value: Any) -> None:
        if value is not None:
            self._fleet.store.put(key, value)
            self._contents[key] = value
        elif self._contents.pop(key, None) is not None:
            self._fleet.store.delete(key)
        self._record_state()

    def _is_closed(self) -> bool:
        return any(total for _, total in self._outages.values())

    def _record_state(self) -> None:
        configuration = self._contents.get(CONFIGURATION_KEY)
        number = int(configuration['version'][1:]) if configuration else 0
        prefix = 'op/evacuate/'
        evacuated = [
            key[len(prefix) :] for key in self._contents if prefix in key
        ]
        draining = [
            key.partition('/')[2]
            for key, value in self._contents.items()
            if key.startswith('servers/') and value['state'] == 'draining'
        ]
        self.states.append(
            StoreState(
                clocks.read_now(),
                number,
                frozenset(evacuated),
                frozenset(draining),
            )
        )

    def _list_extra(
        self, get_names: Callable[[Version], frozenset[str]]
    ) -> list[str]:
        """Returns the names that later versions added to the first."""
        lasting = get_names(self.versions[0])
        names = {n: None for v in self.versions for n in get_names(v)}
        return [name for name in names if name not in lasting]


def _build_long_route(name: str, kind: str) -> dict[str, Any]:
    return samples.build_route(
        name,
        kind=kind,
        timeout=f'{LONG_TIMEOUT_S}s',
        target_latency=f'{LONG_TIMEOUT_S / 2}s',
    )
