"""Sample deployments: the two of the design page, and large ones.

They are used by the demo, tests and measurements. The same arguments always
produce the same deployment.
"""

import random
from collections.abc import Mapping, Sequence

import attrs

from jayseam.presets import keys
from jayseam.presets import model

DEFAULT_RAMP = model.Ramp(initial_slots=2, duration_s=10.0)


@attrs.frozen
class Deployment:
    """A preset with its key set and the plaintext keys.

    Attributes:
      preset: The preset.
      key_set: One key for each workspace.
      plaintexts: Plaintext key by workspace.
    """

    preset: model.Preset
    key_set: model.KeySet
    plaintexts: Mapping[str, str]


def build_agence(
    seed: int = 1,
    rate_factor: float = 1.0,
    ramp: model.Ramp = DEFAULT_RAMP,
    name: str = 'ordinary',
) -> Deployment:
    """Builds the deployment of the battery take-back agency.

    It has 3 availability zones, 4 services with one upstream in each zone, and
    8 workspaces, two of them large.

    >>> deployment = build_agence()
    >>> len(deployment.preset.upstreams), len(deployment.preset.workspaces)
    (12, 8)

    Args:
      seed: Seed of the keys.
      rate_factor: Factor on every workspace's rate and burst.
      ramp: Cold start of every upstream.
      name: Name of the preset.
    """
    zones = _build_zones('wallonia', ('charleroi', 'liege', 'namur'))
    services = ('credits', 'drop-off-points', 'pickups', 'refunds')
    routes = (
        _build_read_route(
            'drop-off-points-read', '/drop-off-points', is_public=True
        ),
        _build_read_route('credits-read', '/credits'),
        _build_write_route('credits-post', '/credits', True, timeout_ms=20_000),
        _build_read_route('pickups-read', '/pickups'),
        _build_write_route('pickups-book', '/pickups', False),
        _build_read_route('refunds-read', '/refunds'),
        _build_write_route('refunds-pay', '/refunds', False),
    )
    workspaces = _build_workspaces(
        {'bureau': 60.0, 'recyclers': 60.0},
        ('andenne', 'bastogne', 'dinant', 'eupen', 'huy', 'mons'),
        rate_factor,
    )
    upstreams = _build_upstreams(services, list(zones), 10, 100, ramp)
    preset = _build_preset(name, services, upstreams, zones, routes, workspaces)
    return _add_keys(preset, seed)


def build_leeuwenhoek(
    seed: int = 1,
    rate_factor: float = 1.0,
    ramp: model.Ramp = DEFAULT_RAMP,
    name: str = 'ordinary',
) -> Deployment:
    """Builds the deployment of Van Leeuwenhoek & Zonen.

    It has 4 availability zones, 4 services with one upstream in each zone, and
    8 workspaces, two of them large.

    >>> deployment = build_leeuwenhoek()
    >>> len(deployment.preset.upstreams), len(deployment.preset.zones)
    (16, 4)

    Args:
      seed: Seed of the keys.
      rate_factor: Factor on every workspace's rate and burst.
      ramp: Cold start of every upstream.
      name: Name of the preset.
    """
    names = ('delft', 'groningen', 'utrecht', 'zwolle')
    zones = _build_zones('netherlands', names)
    services = ('calendars', 'extensions', 'reminders', 'submissions')
    routes = (
        _build_read_route('calendars-read', '/calendars', is_public=True),
        _build_read_route('extensions-read', '/extensions'),
        _build_write_route('extensions-ask', '/extensions', True),
        _build_read_route('reminders-read', '/reminders'),
        _build_write_route('reminders-set', '/reminders', True),
        _build_read_route('submissions-read', '/submissions'),
        _build_write_route(
            'submissions-lodge', '/submissions', False, timeout_ms=10_000
        ),
    )
    workspaces = _build_workspaces(
        {'foundation': 120.0, 'museum': 120.0},
        ('almshouse', 'choir', 'foodbank', 'hospice', 'library', 'shelter'),
        rate_factor,
    )
    upstreams = _build_upstreams(services, list(zones), 20, 100, ramp)
    preset = _build_preset(name, services, upstreams, zones, routes, workspaces)
    return _add_keys(preset, seed)


def build_large(
    n_upstreams: int = 670,
    n_services: int = 24,
    n_zones: int = 6,
    n_workspaces: int = 64,
    n_regions: int = 3,
    seed: int = 1,
    ramp: model.Ramp = DEFAULT_RAMP,
) -> Deployment:
    """Builds a deployment of a given size, for measurements.

    Upstreams are assigned to services and zones in turn. Each service has a
    read route and a write route; the calls of every fourth write route may not
    be repeated.
    """
    n_regions = min(n_regions, n_zones)
    zones: dict[str, model.Zone] = {}
    for i in range(n_zones):
        zone = f'zone-{i + 1}'
        zones[zone] = model.Zone(zone, f'region-{i % n_regions + 1}')
    services = [f'service-{i + 1:02}' for i in range(n_services)]
    upstreams = {}
    for i in range(n_upstreams):
        service = services[i % n_services]
        zone = f'zone-{i // n_services % n_zones + 1}'
        upstream = model.Upstream(
            f'position-{i + 1:04}', service, zone, 20, 100, ramp
        )
        upstreams[upstream.name] = upstream
    routes = []
    for i, service in enumerate(services):
        prefix = f'/{service}'
        routes.append(_build_read_route(f'{service}-read', prefix))
        routes.append(
            _build_write_route(f'{service}-write', prefix, i % 4 != 0)
        )
    small = [f'workspace-{i + 1:05}' for i in range(n_workspaces)]
    workspaces = _build_workspaces({}, small, 1.0)
    preset = _build_preset(
        'large', services, upstreams, zones, routes, workspaces
    )
    return _add_keys(preset, seed)


def _build_zones(region: str, names: Sequence[str]) -> dict[str, model.Zone]:
    return {name: model.Zone(name, region) for name in names}


def _build_upstreams(services, zones, slots, connections, ramp):
    upstreams = {}
    for service in services:
        for zone in zones:
            name = f'{service}-{zone}'
            upstreams[name] = model.Upstream(
                name, service, zone, slots, connections, ramp
            )
    return upstreams


def _build_read_route(
    name: str, prefix: str, is_public: bool = False
) -> model.Route:
    service = prefix.strip('/')
    return model.Route(
        name, prefix, ('GET',), ((service, 1),), is_public, True, 5_000
    )


def _build_write_route(
    name: str, prefix: str, repeatable: bool, timeout_ms: int = 5_000
) -> model.Route:
    service = prefix.strip('/')
    return model.Route(
        name, prefix, ('POST',), ((service, 1),), False, repeatable, timeout_ms
    )


def _build_workspaces(large, small, rate_factor):
    rates = {**large, **{name: 20.0 for name in small}}
    return {
        name: model.Workspace(
            name, rate * rate_factor, max(1.0, rate * rate_factor), 1
        )
        for name, rate in rates.items()
    }


def _build_preset(name, services, upstreams, zones, routes, workspaces):
    return model.Preset(
        name=name,
        services={n: model.Service(n) for n in sorted(services)},
        upstreams={n: upstreams[n] for n in sorted(upstreams)},
        zones={n: zones[n] for n in sorted(zones)},
        routes={r.name: r for r in sorted(routes, key=lambda r: r.name)},
        workspaces={n: workspaces[n] for n in sorted(workspaces)},
    )


def _add_keys(preset: model.Preset, seed: int) -> Deployment:
    generator = random.Random(seed)
    plaintexts, entries = {}, []
    for workspace in preset.workspaces:
        plaintexts[workspace], entry = keys.generate_key(
            f'{workspace}-1', workspace, generator.randbytes
        )
        entries.append(entry)
    return Deployment(preset, model.KeySet(tuple(entries)), plaintexts)
