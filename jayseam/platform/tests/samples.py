"""Sample configurations, entries and settings in the platform's formats."""

from collections.abc import Iterable
from typing import Any

HOST = 'shop.example'
KEYS = {'museum': 'aaaabbbbccccddddeeee', 'school': 'ffffgggghhhhiiiijjjj'}


def build_route(name: str, **spec: Any) -> dict[str, Any]:
    """Returns a route resource."""
    return {
        'resource_type': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': HOST,
            'path_prefix': f'/{name}/',
            'kind': 'safe',
            'timeout': '1000ms',
            'target_latency': '500ms',
            'priority': 1,
            'service': 'pickups',
            'max_attempts': 2,
            'public': False,
            **spec,
        },
    }


def build_configuration(
    version: str = 'r2',
    routes: list[dict[str, Any]] | None = None,
    keys: dict[str, str] | None = None,
    rate_per_s: int = 100,
) -> dict[str, Any]:
    """Returns a configuration with one service."""
    if routes is None:
        routes = [
            build_route('view'),
            build_route('book', kind='unsafe'),
            build_route('open', public=True),
        ]
    service = {
        'resource_type': 'services',
        'metadata': {'name': 'pickups'},
        'spec': {
            'health_path': '/health',
            'max_connections': 20,
            'protocol': 'h1',
            'tls': False,
            'cold_start': '3s',
            'cold_per_s': 15.0,
        },
    }
    tenants = [
        {
            'resource_type': 'tenants',
            'metadata': {'name': name},
            'spec': {
                'api_keys': [key],
                'priority': 1,
                'rate_per_s': rate_per_s,
                'burst': rate_per_s,
            },
        }
        for name, key in (KEYS if keys is None else keys).items()
    ]
    limits = {
        'resource_type': 'limits',
        'metadata': {},
        'spec': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
    }
    return {
        'version': version,
        'resources': [*routes, service, *tenants, limits],
    }


def add_keys(
    configuration: dict[str, Any], tenant: str, keys: Iterable[str]
) -> None:
    """Adds API keys of a tenant to a configuration."""
    for resource in configuration['resources']:
        if resource['metadata'].get('name') == tenant:
            resource['spec']['api_keys'] += keys


def build_entry(address: str, **fields: Any) -> dict[str, Any]:
    """Returns the entry of a backend server in the store."""
    return {
        'service': 'pickups',
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining': '0ms',
        'sequence': 1,
        'born': 1783980354000,
        **fields,
    }


def build_settings(ip: str, zone: str, store: str, **fields: str) -> str:
    """Returns the text of a settings file."""
    values = {
        'self.node_name': f'node-{ip}',
        'self.ip': ip,
        'self.zone': zone,
        'self.region': 'r',
        'self.app_address': f'{ip}:8080',
        'self.service': 'pickups',
        'network.listen.inbound': f'{ip}:8543',
        'network.listen.outbound': f'{ip}:8548',
        'network.listen.ready': f'{ip}:8546',
        'network.internal_ports': '7000,7015',
        'network.zones.a': 'r',
        'network.zones.b': 'r',
        'platform.heartbeat': '1500ms',
        'platform.platform.address': store,
        'terms.bounds.grace': '6s',
        'terms.bounds.revoke': '5000ms',
        'terms.bounds.quota_overage': '0.25',
        'terms.bounds.cold_overage': '1.5',
        'terms.bounds.retry_budget_ratio': '0.2',
        'terms.bounds.budget_slack': '56',
        **fields,
    }
    return ''.join(f'{name}={value}\n' for name, value in values.items())
