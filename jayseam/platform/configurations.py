"""Translates the operators' configuration into a preset and a key set."""

import hashlib
import math
import re
from collections.abc import Collection, Mapping
from typing import Any

import attrs

from jayseam import presets
from jayseam.platform import durations
from jayseam.platform import errors
from jayseam.presets import documents
from jayseam.presets import errors as preset_errors

_MS_PER_S = 1000
# Kinds of the routes whose calls may run more than once. The answers of
# downloads are large.
_REPEATABLE_KINDS = frozenset(('safe', 'download'))
# The platform names no greatest number. Version numbers have room for more
# digits than these.
_VERSION = re.compile(r'r([0-9]{1,38})')
# A workspace without a rate is unlimited, but a preset requires a rate.
_UNLIMITED_RATE_PER_S = presets.schemas.MAX_RATE_PER_S
_MAX_REASON_CHARS = 200


@attrs.frozen
class Documents:
    """The preset and key set that a configuration translates to.

    Attributes:
      number: Number that the operators gave to the configuration; a newer
        configuration has a greater one.
      preset: Document of the preset.
      keys: Document of the key set.
      preset_bundle: The preset, split for distribution.
      keys_bundle: The key set, split for distribution.
      omissions: What was left out, and why; without any key.
    """

    number: int
    preset: Mapping[str, Any]
    keys: Mapping[str, Any]
    preset_bundle: documents.Bundle
    keys_bundle: documents.Bundle
    omissions: tuple[str, ...] = ()


def decode_configuration(
    value: bytes,
    regions: Mapping[str, str],
    evacuated: Collection[str],
    has_workspaces: bool = True,
) -> Documents:
    """Translates a configuration.

    Args:
      value: Stored bytes.
      regions: Region of each availability zone.
      evacuated: Availability zones that receive no new calls.
      has_workspaces: Whether callers of the deployment belong to workspaces. If
        not, a configuration that names none has public routes only. Otherwise
        such a configuration grants nobody access.

    Raises:
      ValueFormatError: If the bytes are not a valid configuration.
    """
    try:
        document = documents.decode_json(value)
        number = _parse_number(document['version'])
        sections = _group_resources(document['resources'])
        needs_keys = has_workspaces or bool(sections['tenants'])
        preset = {
            'name': document['version'],
            'services': [
                _translate_service(name, spec)
                for name, spec in sections['services']
            ],
            'routes': [
                _translate_route(name, spec, needs_keys)
                for name, spec in sections['routes']
            ],
            'zones': [
                {
                    'name': zone,
                    'region': region,
                    'in_service': zone not in evacuated,
                }
                for zone, region in sorted(regions.items())
            ],
            'workspaces': [
                _translate_workspace(name, spec)
                for name, spec in sections['tenants']
            ],
            'upstreams': [],
        }
        keys, omissions = _translate_keys(sections['tenants'])
        return Documents(
            number,
            preset,
            keys,
            documents.split_preset(preset),
            documents.split_keys(keys),
            omissions,
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        preset_errors.PresetRejectedError,
    ) as error:
        raise errors.ValueFormatError(
            f'{type(error).__name__}: {error}'[:_MAX_REASON_CHARS]
        ) from error


def _parse_number(version: str) -> int:
    match = _VERSION.fullmatch(version)
    if match is None:
        raise ValueError(f'version is not r and a number: {version!r}')
    return int(match[1])


def _group_resources(
    resources: list[Mapping[str, Any]],
) -> dict[str, list[tuple[str, Mapping[str, Any]]]]:
    """Returns the name and spec of each resource by resource type."""
    sections = {'routes': [], 'services': [], 'tenants': [], 'limits': []}
    for resource in resources:
        section = sections.get(resource['resource_type'])
        if section is not None:
            name = resource['metadata'].get('name', '')
            if not isinstance(name, str):
                raise TypeError('the name of a resource is not a string')
            section.append((name, resource['spec']))
    return sections


def _limit(value: float, maximum: float) -> float:
    """Returns a value that a preset accepts and that has the same effect.

    The maximums of presets are beyond what a node can make use of.

    >>> _limit(5, 10), _limit(50, 10)
    (5, 10)

    Raises:
      TypeError: If the value is not a number.
      ValueError: If the value is not finite.
    """
    if not math.isfinite(value):
        raise ValueError(f'not a finite number: {value!r}')
    return min(value, maximum)


def _convert_ms(duration_s: float) -> int:
    """Returns a duration as whole milliseconds, within a preset's maximum.

    >>> _convert_ms(1.5)
    1500
    """
    duration_ms = duration_s * _MS_PER_S
    return int(_limit(duration_ms, presets.schemas.MAX_TIMEOUT_MS))


def _translate_service(name: str, spec: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'name': name,
        'listed': True,
        'connections': _limit(
            spec['max_connections'], presets.schemas.MAX_CONNECTIONS
        ),
        'cold_s': _limit(
            durations.parse_seconds(spec.get('cold_start', '0ms')),
            presets.schemas.MAX_RAMP_S,
        ),
        'cold_rate_per_s': _limit(
            spec.get('cold_per_s', 0), presets.schemas.MAX_RATE_PER_S
        ),
    }


def _translate_route(
    name: str, spec: Mapping[str, Any], needs_keys: bool
) -> dict[str, Any]:
    split = spec.get('traffic_split')
    targets = (
        [[spec['service'], 1]]
        if split is None
        else [[part['service'], part['weight']] for part in split]
    )
    timeout_s = durations.parse_seconds(spec['timeout'])
    # The platform calls the latency objective a target latency.
    objective_s = durations.parse_seconds(spec.get('target_latency', '0ms'))
    return {
        'name': name,
        'host': spec['host'].lower(),
        'prefix': spec['path_prefix'],
        'methods': list(presets.schemas.METHODS),
        'targets': targets,
        'open_to_all': spec.get('public', False) or not needs_keys,
        'repeatable': spec['kind'] in _REPEATABLE_KINDS,
        'timeout_ms': _convert_ms(timeout_s),
        'objective_ms': _convert_ms(objective_s),
        'max_attempts': _limit(
            spec.get('max_attempts', 1), presets.schemas.MAX_ATTEMPTS
        ),
        'rank': _limit(spec.get('priority', 0), presets.schemas.MAX_RANK),
        # Callers on this platform send no idempotency keys: each of their
        # retries counts as a call of its own.
        'keyed': False,
    }


def _translate_workspace(name: str, spec: Mapping[str, Any]) -> dict[str, Any]:
    rank = spec.get('priority')
    return {
        'name': name,
        'rate_per_s': _limit(
            spec.get('rate_per_s') or _UNLIMITED_RATE_PER_S,
            presets.schemas.MAX_RATE_PER_S,
        ),
        'burst': _limit(
            max(1, spec.get('burst') or spec.get('rate_per_s') or 1),
            presets.schemas.MAX_BURST,
        ),
        'rank': None
        if rank is None
        else _limit(rank, presets.schemas.MAX_RANK),
    }


def _translate_keys(
    tenants: list[tuple[str, Mapping[str, Any]]],
) -> tuple[dict[str, Any], tuple[str, ...]]:
    """Returns the key set, and which keys are not in it.

    One key that can't be used must not keep a version out of force. A key of
    several tenants identifies none of them.
    """
    owners: dict[str, set[str]] = {}
    omissions = []
    for name, spec in tenants:
        for index, key in enumerate(spec['api_keys']):
            if not isinstance(key, str) or not key.strip():
                omissions.append(f'{name}: key {index} is no text')
                continue
            owners.setdefault(key, set()).add(name)
    entries = []
    for key, names in owners.items():
        if len(names) == 1:
            entries.append(_translate_key(min(names), key))
        else:
            omissions.append(f'one key of several: {", ".join(sorted(names))}')
    return {'keys': entries}, tuple(omissions)


def _translate_key(workspace: str, key: str) -> dict[str, Any]:
    """Returns the entry of a key, which doesn't contain the key itself.

    The salt is derived from the key, so that all nodes build the same document
    from the same configuration.
    """
    data = key.encode('utf-8', 'surrogatepass')
    salt_hex = hashlib.sha256(b'salt' + data).hexdigest()[:32]
    return attrs.asdict(
        presets.keys.build_entry(key, workspace, salt_hex, is_opaque=True)
    )
