"""JSON Schema of the settings of a node.

References:
  JSON Schema, draft 2020-12.
"""

from typing import Any


def _build_object(
    properties: dict[str, Any], required: tuple[str, ...] = ()
) -> dict[str, Any]:
    return {
        'type': 'object',
        'properties': properties,
        'required': list(required),
        'additionalProperties': False,
    }


_NAME = {'type': 'string', 'pattern': r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'}
_HOST = {
    'type': 'string',
    'anyOf': [{'format': 'ipv4'}, {'format': 'ipv6'}],
}
_PORT = {'type': 'integer', 'minimum': 1, 'maximum': 65535}
_ADDRESS = {'host': _HOST, 'port': _PORT}
_POSITIVE_S = {'type': 'number', 'exclusiveMinimum': 0, 'maximum': 86400}
_MIN_SECRET_LENGTH = 16

NODE_SCHEMA = _build_object(
    {
        'vm': _NAME,
        'incarnation': {'type': 'integer', 'minimum': 1},
        'region': _NAME,
        'zone': _NAME,
        'upstream': _NAME,
        'caller': _build_object(_ADDRESS, ('host', 'port')),
        'link': _build_object(
            {**_ADDRESS, 'advertise_host': _HOST, 'advertise_port': _PORT},
            ('host', 'port'),
        ),
        'admin': _build_object(_ADDRESS, ('host', 'port')),
        'backend': _build_object(_ADDRESS, ('host', 'port')),
        'source': _build_object(
            {
                'urls': {
                    'type': 'array',
                    'minItems': 1,
                    'items': {'type': 'string', 'pattern': '^http://'},
                },
                'watch_wait_s': {
                    'type': 'number',
                    'minimum': 0.1,
                    'maximum': 60,
                },
                'join_wait_s': _POSITIVE_S,
                'lapse_s': _POSITIVE_S,
                'return_grace_s': {
                    'type': 'number',
                    'minimum': 0,
                    'maximum': 60,
                },
                'readers_per_zone': {
                    'type': 'integer',
                    'minimum': 1,
                    'maximum': 1000,
                },
            },
            ('urls',),
        ),
        'seeds': {
            'type': 'array',
            'items': _build_object(
                {'vm': _NAME, 'zone': _NAME, **_ADDRESS},
                ('vm', 'zone', 'host', 'port'),
            ),
        },
        'fleet_secrets': {
            'type': 'array',
            'minItems': 1,
            'maxItems': 2,
            'items': {'type': 'string', 'minLength': _MIN_SECRET_LENGTH},
        },
        'limits': _build_object(
            {
                'strategy': {
                    'enum': ['escrow', 'owner', 'replicated', 'static']
                },
                'tolerance': {'type': 'number', 'minimum': 0, 'maximum': 1},
            }
        ),
        'selection': _build_object(
            {
                'strategy': {
                    'enum': ['expected_time', 'two_choices', 'round_robin']
                },
                'zone_price': {'type': 'number', 'minimum': 0, 'maximum': 1},
                'spill_load': {'type': 'number', 'minimum': 0, 'maximum': 10},
                'spill_gain': {
                    'type': ['number', 'null'],
                    'minimum': 0,
                    'maximum': 10,
                },
            }
        ),
        'admission': _build_object(
            {
                'fair': {'type': 'boolean'},
                'ramp': {'type': 'boolean'},
                'cold_excess': {'type': 'number', 'minimum': 0, 'maximum': 1},
                'queue': {'enum': ['', 'fifo', 'fair', 'ranked', 'objective']},
                'ramp_variant': {'enum': ['answers', 'linear', 'none', None]},
            }
        ),
        'keys': _build_object({'max_unconfirmed_s': _POSITIVE_S}),
        'stop': _build_object(
            {
                'deadline_s': _POSITIVE_S,
                'notice_s': {'type': 'number', 'minimum': 0, 'maximum': 60},
                'closing_s': {'type': 'number', 'minimum': 0, 'maximum': 60},
            }
        ),
        'backend_health': _build_object({'polls': {'type': 'boolean'}}),
        'retries': _build_object(
            {
                'share': {'type': 'number', 'minimum': 0, 'maximum': 1},
                'max_saved': {'type': 'number', 'minimum': 0, 'maximum': 1000},
                'fleet_share': {'type': 'number', 'minimum': 0, 'maximum': 1},
                'fleet_slack': {
                    'type': 'number',
                    'minimum': 0,
                    'maximum': 100_000,
                },
            }
        ),
        'service': {'type': 'string', 'maxLength': 64},
        'ready': _build_object(_ADDRESS, ('host', 'port')),
        'idempotency': _build_object({'window_s': _POSITIVE_S}),
        'memory': _build_object(
            {
                'message_bytes': {'type': 'integer', 'minimum': 4_000_000},
                # A head within the limits of callers has up to 24 kB.
                'head_bytes': {
                    'type': 'integer',
                    'minimum': 32_768,
                    'maximum': 262_144,
                },
            }
        ),
        'connections': _build_object(
            {
                'max_callers': {'type': 'integer', 'minimum': 1},
                'reserved': {'type': 'integer', 'minimum': 32},
            }
        ),
        'codec': {'enum': ['cbor', 'cbor-zstd', 'json']},
        'log_level': {'enum': ['DEBUG', 'INFO', 'WARNING', 'ERROR']},
    },
    (
        'vm',
        'region',
        'zone',
        'upstream',
        'caller',
        'link',
        'admin',
        'backend',
        'source',
        'fleet_secrets',
    ),
)
