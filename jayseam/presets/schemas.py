"""JSON schemas of the items in presets, key sets and VM lists.

Each schema describes one item. Because items are validated one at a time, the
validation can be interrupted between items, and each reason for a rejection can
name its item.

References:
  JSON Schema, draft 2020-12.
"""

from collections.abc import Mapping
from typing import Any

import jsonschema_rs

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_RAMP_S = 3600
MAX_WEIGHT = 1_000_000
MAX_RATE_PER_S = 10_000_000
MAX_BURST = 10_000_000
# A planned stop ends calls that last longer than it may take.
MAX_TIMEOUT_MS = 3_600_000
MAX_ATTEMPTS = 16
MAX_RANK = 1000
METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')

# End of the string. In some regex dialects $ also matches before a final
# newline.
_END = r'(?![\s\S])'
_NAME = {
    'type': 'string',
    'pattern': r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}' + _END,
}
_KEY_ID = {'type': 'string', 'pattern': r'^[A-Za-z0-9_-]{1,64}' + _END}
_BOOLEAN = {'type': 'boolean'}


def _build_range(kind: str, minimum: float, maximum: float) -> dict[str, Any]:
    return {'type': kind, 'minimum': minimum, 'maximum': maximum}


def _build_positive(maximum: float) -> dict[str, Any]:
    return {'type': 'number', 'exclusiveMinimum': 0, 'maximum': maximum}


def _build_object(required: dict[str, Any], **optional: Any) -> dict[str, Any]:
    return {
        'type': 'object',
        'properties': {**required, **optional},
        'required': list(required),
        'additionalProperties': False,
    }


_RAMP = _build_object(
    {
        'initial_slots': _build_range('integer', 1, MAX_SLOTS),
        'duration_s': _build_range('number', 0, MAX_RAMP_S),
    },
    rate_per_s=_build_range('number', 0, MAX_RATE_PER_S),
)
_TARGET = {
    'type': 'array',
    'prefixItems': [_NAME, _build_range('number', 0, MAX_WEIGHT)],
    'items': False,
    'minItems': 2,
}
_ITEMS = {
    'services': _build_object(
        {'name': _NAME},
        shed_retryable=_BOOLEAN,
        listed=_BOOLEAN,
        connections=_build_range('integer', 0, MAX_CONNECTIONS),
        cold_s=_build_range('number', 0, MAX_RAMP_S),
        cold_rate_per_s=_build_range('number', 0, MAX_RATE_PER_S),
    ),
    'upstreams': _build_object(
        {
            'name': _NAME,
            'service': _NAME,
            'zone': _NAME,
            'slots': _build_range('integer', 1, MAX_SLOTS),
            'connections': _build_range('integer', 1, MAX_CONNECTIONS),
            'ramp': _RAMP,
        }
    ),
    'zones': _build_object(
        {'name': _NAME, 'region': _NAME}, in_service=_BOOLEAN
    ),
    'routes': _build_object(
        {
            'name': _NAME,
            'prefix': {
                'type': 'string',
                'pattern': r'^/[!$&-;=@-Z_a-z~%]*' + _END,
                'maxLength': 512,
            },
            'methods': {
                'type': 'array',
                'items': {'enum': list(METHODS)},
                'minItems': 1,
                'uniqueItems': True,
            },
            'targets': {'type': 'array', 'items': _TARGET, 'minItems': 1},
            'open_to_all': _BOOLEAN,
            'repeatable': _BOOLEAN,
            'timeout_ms': _build_range('integer', 1, MAX_TIMEOUT_MS),
        },
        host={'type': 'string', 'maxLength': 255},
        max_attempts=_build_range('integer', 1, MAX_ATTEMPTS),
        rank=_build_range('integer', 0, MAX_RANK),
        keyed=_BOOLEAN,
        objective_ms=_build_range('integer', 0, MAX_TIMEOUT_MS),
    ),
    'workspaces': _build_object(
        {
            'name': _NAME,
            'rate_per_s': _build_positive(MAX_RATE_PER_S),
            'burst': _build_range('number', 1, MAX_BURST),
        },
        weight=_build_positive(MAX_WEIGHT),
        rank={
            **_build_range('integer', 0, MAX_RANK),
            'type': ['integer', 'null'],
        },
        zone_weights={
            'type': 'object',
            'propertyNames': _NAME,
            'additionalProperties': _build_range('number', 0, MAX_WEIGHT),
        },
    ),
    'keys': _build_object(
        {
            'key_id': _KEY_ID,
            'workspace': _NAME,
            'salt_hex': {
                'type': 'string',
                'pattern': r'^([0-9a-f]{2}){8,64}' + _END,
            },
            'hash_hex': {'type': 'string', 'pattern': r'^[0-9a-f]{64}' + _END},
        }
    ),
    'vms': _build_object(
        {
            'vm': _NAME,
            'upstream': _NAME,
            'zone': _NAME,
            'region': _NAME,
            'host': {'type': 'string', 'maxLength': 64},
            'port': _build_range('integer', 1, 65535),
            'state': {'enum': ['live', 'leaving']},
        },
        service={'type': 'string', 'maxLength': 64},
        slots=_build_range('integer', 0, MAX_SLOTS),
        instance={'type': 'string', 'maxLength': 255},
        cold=_BOOLEAN,
    ),
}
VALIDATORS: Mapping[str, jsonschema_rs.Draft202012Validator] = {
    section: jsonschema_rs.Draft202012Validator(schema)
    for section, schema in _ITEMS.items()
}
FIELDS: Mapping[str, frozenset[str]] = {
    section: frozenset(schema['properties'])
    for section, schema in _ITEMS.items()
}
