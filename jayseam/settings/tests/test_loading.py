"""Tests of reading and validating settings."""

import json

import pytest

from jayseam.settings import errors
from jayseam.settings import loading

VALID = {
    'vm': 'vm-1',
    'region': 'r1',
    'zone': 'z1',
    'upstream': 'credits-1',
    'caller': {'host': '127.0.0.1', 'port': 8080},
    'link': {'host': '127.0.0.1', 'port': 8081},
    'admin': {'host': '127.0.0.1', 'port': 8082},
    'backend': {'host': '127.0.0.1', 'port': 8083},
    'source': {'urls': ['http://127.0.0.1:9000']},
    'fleet_secrets': ['0123456789abcdef'],
}


def test_valid_settings_get_defaults(tmp_path):
    """A minimal file must be enough to start a node."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(VALID))
    settings = loading.load_node_settings(str(path))
    assert settings.limits.strategy == 'escrow'
    assert settings.link.get_advertised_address() == ('127.0.0.1', 8081)


def test_every_problem_is_listed_with_path_and_value():
    """With only the first problem reported, each would cost another run."""
    wrong = {**VALID, 'codec': 'xml', 'stop': {'deadline_s': -1}, 'extra': 1}
    wrong['caller'] = {'host': 'example.org', 'port': 0}
    with pytest.raises(errors.SettingsError) as caught:
        loading.parse_node_settings(wrong)
    text = '\n'.join(caught.value.problems)
    assert '$.codec: "xml": allowed: enum ["cbor", "cbor-zstd", "json"]' in text
    assert '$.stop.deadline_s: -1' in text
    assert '$.caller.port: 0: allowed: minimum 1' in text
    assert '$.caller.host: "example.org"' in text
    assert "'extra' was unexpected" in text


def test_secrets_are_not_shown():
    """Settings problems are logged, so they must not contain secrets."""
    wrong = {**VALID, 'fleet_secrets': ['short-secret']}
    with pytest.raises(errors.SettingsError) as caught:
        loading.parse_node_settings(wrong)
    assert 'short-secret' not in str(caught.value)
    valid = loading.parse_node_settings(VALID)
    assert '0123456789abcdef' not in repr(valid)


def test_limits_of_callers_can_be_set():
    """An operator must be able to lower what callers may hold."""
    document = {
        **VALID,
        'memory': {'head_bytes': 32_768},
        'connections': {'max_callers': 100, 'reserved': 64},
    }
    settings = loading.parse_node_settings(document)
    assert settings.memory.head_bytes == 32_768
    assert settings.connections.max_callers == 100
    assert settings.connections.reserved == 64
    # Heads within the limits of callers take up to 24 kB.
    document['memory'] = {'head_bytes': 16_384}
    with pytest.raises(errors.SettingsError):
        loading.parse_node_settings(document)
